// Tests of the age of the configuration that requests are handled by, against a store that leaves calls unanswered.
#include "gateway_support.h"

#include <QElapsedTimer>

namespace {

using namespace lacewing;
using namespace lacewing::daemon;
using namespace lacewing::test;

class DaemonConfigurationTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DaemonConfigurationTest);
    CPPUNIT_TEST(unansweredWatchDoesNotDelayTheNextVersion);
    CPPUNIT_TEST(requestsAreNotHandledByAnOutdatedConfiguration);
    CPPUNIT_TEST(missingQueueIsNotClaimedByAnOutdatedConfiguration);
    CPPUNIT_TEST_SUITE_END();

public:
    void unansweredWatchDoesNotDelayTheNextVersion()
    {
        Entry entry;
        entry.store.fallSilent();
        CPPUNIT_ASSERT(waitUntil([&] { return entry.store.unanswered > 0; }));
        entry.store.isSilent = false;
        QElapsedTimer sinceAccepted;
        sinceAccepted.start();
        entry.store.accept(2, "/new/");
        CPPUNIT_ASSERT(waitUntil([&] { return entry.configuration.current().version == 2; }));
        CPPUNIT_ASSERT(sinceAccepted.elapsed() <= configurationMs);
    }

    void requestsAreNotHandledByAnOutdatedConfiguration()
    {
        Entry entry;
        entry.becomeOutdated();
        entry.store.isSilent = false;
        CPPUNIT_ASSERT(hasStatus(entry.ask("GET", "/new/"), 200));
        CPPUNIT_ASSERT(hasStatus(entry.ask("GET", "/old/"), 404));
        CPPUNIT_ASSERT(hasStatus(entry.ask("POST", "/old/00000000000000bb"), 404));
        CPPUNIT_ASSERT(hasStatus(entry.ask("POST", "/new/00000000000000bb"), 200));
        CPPUNIT_ASSERT_EQUAL(1, entry.store.commits);
    }

    void missingQueueIsNotClaimedByAnOutdatedConfiguration()
    {
        Entry entry;
        entry.becomeOutdated();
        QElapsedTimer waited;
        waited.start();
        const QByteArray count = entry.ask("GET", "/new/");
        CPPUNIT_ASSERT(hasStatus(count, 503) && count.contains("Retry-After: "));
        CPPUNIT_ASSERT(waited.elapsed() < configurationMs / 2);
        CPPUNIT_ASSERT(hasStatus(entry.ask("GET", "/old/"), 503));
        // States of jobs are served on while the store is away.
        CPPUNIT_ASSERT(hasStatus(entry.ask("GET", "/old/" + QByteArray::fromStdString(knownJob)), 200));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonConfigurationTest);

} // namespace
