// Tests of the soak's waits.
#include "soak/wait.h"

#include <QObject>
#include <QThread>
#include <QTimer>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <sys/wait.h>
#include <unistd.h>

namespace {

using namespace lacewing;

class SoakWaitTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SoakWaitTest);
    CPPUNIT_TEST(eventsThatWaitAtTheLimitAreHandled);
    CPPUNIT_TEST(conditionsThatDoNotHoldFailAtTheLimit);
    CPPUNIT_TEST(processesHaveExitedBeforeTheyAreReleased);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a daemon that ended in time and is reported as running, because the soak was held up until after
    // the limit and had not yet read its end (soak seed 49).
    void eventsThatWaitAtTheLimitAreHandled()
    {
        bool hasEnded = false;
        QObject receiver;
        QTimer::singleShot(0, &receiver, [&] {
            QMetaObject::invokeMethod(
                &receiver, [&] { hasEnded = true; }, Qt::QueuedConnection);
            QThread::msleep(100);
        });
        CPPUNIT_ASSERT(soak::waitUntil([&] { return hasEnded; }, 50));
    }

    void conditionsThatDoNotHoldFailAtTheLimit()
    {
        bool hasEnded = false;
        QObject receiver;
        QTimer::singleShot(300, &receiver, [&] { hasEnded = true; });
        CPPUNIT_ASSERT(!soak::waitUntil([&] { return hasEnded; }, 50));
    }

    // Guards against a daemon that has exited and is reported as running, because the kernel takes seconds to release
    // it (soak seeds 41 and 49).
    void processesHaveExitedBeforeTheyAreReleased()
    {
        const pid_t running = ::fork();
        if (running == 0) {
            ::pause();
            ::_exit(0);
        }
        CPPUNIT_ASSERT(running > 0 && !soak::hasExited(running));
        CPPUNIT_ASSERT_EQUAL(0, ::kill(running, SIGKILL));
        CPPUNIT_ASSERT(soak::waitUntil([&] { return soak::hasExited(running); }, 10000));
        CPPUNIT_ASSERT_EQUAL(running, ::waitpid(running, nullptr, 0));
        CPPUNIT_ASSERT(!soak::hasExited(running));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoakWaitTest);

} // namespace
