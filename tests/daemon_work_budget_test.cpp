// Tests of the bound on accepted work: its decisions, and what the gateway tells callers beyond it.
#include "daemon/work_budget.h"

#include "gateway_support.h"
#include "scheduler/occurrences.h"
#include "scheduler/record.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing;
using namespace lacewing::daemon;
using namespace lacewing::test;

constexpr std::int64_t mb = 1'048'576;
const QByteArray newJob = "/old/00000000000000bb";

WorkBudget budgetOf(std::int64_t bytes)
{
    WorkBudget budget;
    budget.ownLimitBytes = bytes;
    return budget;
}

// A job of that many tasks as a caller sends it.
QByteArray bodyOf(int tasks)
{
    return R"({"spec":"s","steps":[{"count":)" + QByteArray::number(tasks) + R"(,"cpu":100}]})";
}

class DaemonWorkBudgetTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DaemonWorkBudgetTest);
    CPPUNIT_TEST(sumOfAcceptedWorkIsBounded);
    CPPUNIT_TEST(urgentWorkIsRefusedLast);
    CPPUNIT_TEST(ownAcceptancesCountUntilTheSchedulingDaemonKnowsThem);
    CPPUNIT_TEST(smallestMemberCounts);
    CPPUNIT_TEST(retryFollowsTheRateOfEnds);
    CPPUNIT_TEST(gatewayRefusesBeyondTheBudget);
    CPPUNIT_TEST(gatewayRefusesWhatIsTooLargeForGood);
    CPPUNIT_TEST(acceptedJobsAreNotRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against accepted jobs whose sum is more than any scheduling daemon can hold (review case 12).
    void sumOfAcceptedWorkIsBounded()
    {
        WorkBudget budget = budgetOf(workLimitBytes(160, 0.3));
        CPPUNIT_ASSERT_EQUAL(48 * mb, budget.ownLimitBytes);
        std::int64_t sum = 0;
        for (int i = 0; i < 1000 && decideWork(budget, mb, 0) == WorkVerdict::Admitted; ++i) {
            beginSubmission(budget, mb);
            endSubmission(budget, mb, true, 1000 + i);
            sum += mb;
        }
        CPPUNIT_ASSERT_EQUAL(48 * mb, sum);
        CPPUNIT_ASSERT(decideWork(budget, mb, 0) == WorkVerdict::Full);
        CPPUNIT_ASSERT(decideWork(budget, 49 * mb, 0) == WorkVerdict::TooLarge);
    }

    // Guards against batch work that leaves no memory for urgent jobs.
    void urgentWorkIsRefusedLast()
    {
        WorkBudget budget = budgetOf(100 * mb);
        applyWorkLoad(budget, { 89 * mb, 100 * mb, 0, 1000 });
        CPPUNIT_ASSERT(decideWork(budget, mb, 1) == WorkVerdict::Admitted);
        CPPUNIT_ASSERT(decideWork(budget, 2 * mb, 1) == WorkVerdict::Full);
        CPPUNIT_ASSERT(decideWork(budget, 2 * mb, 0) == WorkVerdict::Admitted);
        CPPUNIT_ASSERT(decideWork(budget, 12 * mb, 0) == WorkVerdict::Full);
    }

    // Guards against a daemon that accepts more and more between two replies of the scheduling daemon, or counts a job
    // twice when that knows it.
    void ownAcceptancesCountUntilTheSchedulingDaemonKnowsThem()
    {
        WorkBudget budget = budgetOf(100 * mb);
        applyWorkLoad(budget, { 10 * mb, 100 * mb, 0, 1000 });
        beginSubmission(budget, 5 * mb);
        CPPUNIT_ASSERT_EQUAL(15 * mb, usedWork(budget));
        endSubmission(budget, 5 * mb, true, 1500);
        beginSubmission(budget, 3 * mb);
        endSubmission(budget, 3 * mb, false, 1510);
        beginSubmission(budget, 2 * mb);
        endSubmission(budget, 2 * mb, true, 1700);
        CPPUNIT_ASSERT_EQUAL(17 * mb, usedWork(budget));
        applyWorkLoad(budget, { 15 * mb, 100 * mb, 0, 1600 });
        CPPUNIT_ASSERT_EQUAL(17 * mb, usedWork(budget));
        applyWorkLoad(budget, { 17 * mb, 100 * mb, 0, 1800 });
        CPPUNIT_ASSERT_EQUAL(17 * mb, usedWork(budget));
    }

    // Guards against work that a large machine accepts and the next term, on a small one, cannot hold.
    void smallestMemberCounts()
    {
        WorkBudget leader = budgetOf(78 * mb);
        leader.memberLimits = { { "d2", 48 * mb }, { "d3", 60 * mb } };
        measureWork(leader, 10 * mb, 0, 1000, 1000);
        CPPUNIT_ASSERT_EQUAL(48 * mb, workLimit(leader));
        WorkBudget follower = budgetOf(60 * mb);
        CPPUNIT_ASSERT_EQUAL(60 * mb, workLimit(follower));
        applyWorkLoad(follower, leader.load);
        CPPUNIT_ASSERT_EQUAL(48 * mb, workLimit(follower));
        CPPUNIT_ASSERT(decideWork(follower, 39 * mb, 0) == WorkVerdict::Full);
    }

    // Guards against callers that return too early again and again, or all at once.
    void retryFollowsTheRateOfEnds()
    {
        WorkBudget leader = budgetOf(100 * mb);
        measureWork(leader, 100 * mb, 0, 1000, 1000);
        CPPUNIT_ASSERT(workRetrySeconds(leader, mb, 0, "job") >= 60);
        for (std::int64_t second = 2; second <= 60; ++second) // 2 MB end in each second
            measureWork(leader, 100 * mb, second * 2 * mb, second * 1000, second * 1000);
        CPPUNIT_ASSERT(std::abs(leader.load.endedPerSecond - 2 * mb) < mb / 10);
        std::set<int> times;
        for (int i = 0; i < 100; ++i)
            times.insert(workRetrySeconds(leader, 20 * mb, 0, "job" + std::to_string(i)));
        CPPUNIT_ASSERT(*times.begin() >= 10 && *times.rbegin() <= 22);
        CPPUNIT_ASSERT(times.size() >= 5);
        measureWork(leader, 100 * mb, 0, 61000, 61000); // the next term counts anew
        CPPUNIT_ASSERT(leader.load.endedPerSecond > mb);
    }

    // Guards against a submission beyond the budget that is accepted, waits for its deadline, or is refused without a
    // time to come back.
    void gatewayRefusesBeyondTheBudget()
    {
        Entry entry;
        const scheduler::Millis now = nowMs();
        entry.runtime.work.ownLimitBytes = 10 * mb;
        applyWorkLoad(entry.runtime.work, { 10 * mb, 10 * mb, 2 * mb, now });
        const QByteArray refused = entry.ask("POST", newJob);
        CPPUNIT_ASSERT(hasStatus(refused, 503));
        CPPUNIT_ASSERT(refused.contains("Retry-After: 1\r\n"));
        CPPUNIT_ASSERT(refused.contains("not accepted"));
        CPPUNIT_ASSERT_EQUAL(0, entry.store.commits);
        applyWorkLoad(entry.runtime.work, { 9 * mb, 10 * mb, 2 * mb, nowMs() });
        CPPUNIT_ASSERT(hasStatus(entry.ask("POST", newJob), 200));
        CPPUNIT_ASSERT_EQUAL(1, entry.store.commits);
        CPPUNIT_ASSERT(usedWork(entry.runtime.work) > 9 * mb);
    }

    // Guards against a caller that is told to come back with a job that can never be carried.
    void gatewayRefusesWhatIsTooLargeForGood()
    {
        Entry entry;
        entry.body = bodyOf(10000);
        entry.runtime.work.ownLimitBytes = 3 * mb;
        const QByteArray refused = entry.ask("POST", newJob);
        CPPUNIT_ASSERT(hasStatus(refused, 400));
        CPPUNIT_ASSERT(!refused.contains("Retry-After"));
        CPPUNIT_ASSERT(refused.contains("limits.workShare"));
        entry.body = bodyOf(2000);
        CPPUNIT_ASSERT(hasStatus(entry.ask("POST", newJob), 200));
    }

    // Guards against a caller whose first request was accepted, without an answer, and who is told that it was not.
    void acceptedJobsAreNotRefused()
    {
        Entry entry;
        scheduler::AcceptedJob job;
        job.request.id = recordedJob;
        job.request.steps.emplace_back();
        entry.store.record = scheduler::encodeAccepted(job);
        entry.runtime.work.ownLimitBytes = 1;
        CPPUNIT_ASSERT(hasStatus(entry.ask("POST", "/old/" + QByteArray::fromStdString(recordedJob)), 200));
        CPPUNIT_ASSERT_EQUAL(0, entry.store.commits);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonWorkBudgetTest);

} // namespace
