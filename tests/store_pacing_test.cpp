// Tests of the call budget, the group commit interval and the circuit breaker.
#include "store/breaker.h"
#include "store/call_budget.h"
#include "store/group_commit.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing::store;
using namespace lacewing::base;

class StorePacingTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StorePacingTest);
    CPPUNIT_TEST(budgetBoundsCalls);
    CPPUNIT_TEST(intervalFollowsTheStore);
    CPPUNIT_TEST(breakerProbesWithBackoff);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a daemon that exceeds its part of the store's capacity.
    void budgetBoundsCalls()
    {
        TimePoint now { seconds(100) };
        CallBudget budget(10, 20, now);
        int taken = 0;
        for (int step = 0; step < 1000; ++step, now += milliseconds(10))
            taken += takeWrite(budget, now) ? 1 : 0;
        CPPUNIT_ASSERT(taken >= 105 && taken <= 110); // 10 s at 10/s and one burst
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1000 - taken), budget.writes.refused);
        CPPUNIT_ASSERT(takeRead(budget, now));
    }

    // Guards against writes at full rate while the store is slow, and right after it.
    void intervalFollowsTheStore()
    {
        TimePoint now { seconds(100) };
        CallBudget budget(100, 100, now);
        GroupCommit commit;
        for (int second = 0; second < 20; ++second, now += seconds(1)) {
            onReplyTime(commit, milliseconds(800));
            commitInterval(commit, budget, now);
        }
        CPPUNIT_ASSERT(commit.interval == commit.limits.largest);
        const Duration slow = commit.interval;
        for (int reply = 0; reply < 40; ++reply)
            onReplyTime(commit, milliseconds(3));
        now += seconds(1);
        CPPUNIT_ASSERT(commitInterval(commit, budget, now) >= slow * 8 / 10);
        for (int second = 0; second < 60; ++second, now += seconds(1))
            commitInterval(commit, budget, now);
        CPPUNIT_ASSERT(commit.interval == commit.limits.smallest);
    }

    // Guards against a storm of calls to a store that is down, and against a breaker that never closes.
    void breakerProbesWithBackoff()
    {
        TimePoint now { seconds(100) };
        const TimePoint start = now;
        Rng rng(7);
        Breaker breaker;
        int calls = 0;
        TimePoint last = now;
        Duration longest { 0 };
        for (; now < start + seconds(600); now += milliseconds(10)) {
            if (!allowCall(breaker, now))
                continue;
            ++calls;
            longest = std::max(longest, now - last);
            last = now;
            onFailure(breaker, now, rng);
        }
        CPPUNIT_ASSERT(calls < 130);
        CPPUNIT_ASSERT(longest <= breaker.limits.backoffMax + milliseconds(10));
        while (!allowCall(breaker, now))
            now += milliseconds(10);
        CPPUNIT_ASSERT(!allowCall(breaker, now)); // one probe at a time
        onSuccess(breaker);
        CPPUNIT_ASSERT(allowCall(breaker, now));
        onFailure(breaker, now, rng);
        CPPUNIT_ASSERT(allowCall(breaker, now)); // one failure does not open it
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StorePacingTest);

} // namespace
