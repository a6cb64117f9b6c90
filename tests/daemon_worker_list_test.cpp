// Tests of the times at which the scheduling daemon reads the list of workers.
#include "daemon/worker_list.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing::daemon;

constexpr int usualMs = 1000;

bool isDue(const WorkerListCalls& calls, lacewing::scheduler::Millis now, int periodMs = usualMs)
{
    return isWorkerListDue(calls, periodMs, usualMs, now);
}

class DaemonWorkerListTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DaemonWorkerListTest);
    CPPUNIT_TEST(readWithoutAnAnswerDoesNotDelayTheNext);
    CPPUNIT_TEST(slowAnswersAreWaitedFor);
    CPPUNIT_TEST(lateAnswerDoesNotReplaceANewerList);
    CPPUNIT_TEST_SUITE_END();

public:
    // A worker that leaves gets nothing new 2 s after its notice, so one lost answer may not delay the list by its
    // limit.
    void readWithoutAnAnswerDoesNotDelayTheNext()
    {
        const WorkerListCalls calls { .askedAt = 5000, .knownAt = 4000, .tookMs = 10, .inProgress = 1 };
        CPPUNIT_ASSERT(!isDue(calls, 5999));
        CPPUNIT_ASSERT(isDue(calls, 6000));
        CPPUNIT_ASSERT(!isDue(calls, 5999, 300)); // also in a series of notices
        CPPUNIT_ASSERT(isDue({ .askedAt = 5000, .knownAt = 4000, .tookMs = 10, .inProgress = 0 }, 5300, 300));
    }

    void slowAnswersAreWaitedFor()
    {
        CPPUNIT_ASSERT(!isDue({ .askedAt = 5000, .knownAt = 4000, .tookMs = 1500, .inProgress = 1 }, 7999));
        CPPUNIT_ASSERT(isDue({ .askedAt = 5000, .knownAt = 4000, .tookMs = 1500, .inProgress = 1 }, 8000));
        CPPUNIT_ASSERT(!isDue({ .askedAt = 5000, .knownAt = 0, .tookMs = 0, .inProgress = 1 }, 9000)); // first read
        CPPUNIT_ASSERT(!isDue({ .askedAt = 5000, .knownAt = 4000, .tookMs = 10, .inProgress = 3 }, 9000));
    }

    void lateAnswerDoesNotReplaceANewerList()
    {
        WorkerListCalls calls { .askedAt = 6000, .knownAt = 4000, .tookMs = 10, .inProgress = 2 };
        CPPUNIT_ASSERT(applyWorkerListAnswer(calls, 6000, 6020));
        CPPUNIT_ASSERT(!applyWorkerListAnswer(calls, 5000, 6500));
        CPPUNIT_ASSERT(calls.knownAt == 6000 && calls.tookMs == 20);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonWorkerListTest);

} // namespace
