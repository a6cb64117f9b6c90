// Tests of recovery on a virtual clock: how long lasting tasks stay down when workers and terms are lost, over the
// number of workers, of unreachable workers and of terms in a row.
#include "scheduler_world.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing;
using namespace lacewing::test;

// ms after the end of its last run within which a lasting task runs again while workers have capacity for it: the
// platform grants 6000 ms, and reports the task as lost when it does not run for another 3000 ms.
constexpr Millis maxDownMs = 9000;
// ms from the begin of a term until tasks run again that no unreachable worker can hold: two reports and a plan
constexpr Millis maxStartMs = 500;

// Measures how long the tasks of lasting jobs are without a run.
class DownTimes {
public:
    explicit DownTimes(World& world)
        : m_world(world)
    {
    }

    void run(Millis length)
    {
        for (const Millis end = m_world.now() + length; m_world.now() < end;) {
            m_world.step();
            std::set<std::string> running;
            for (const SimWorker& worker : m_world.workers()) {
                for (const auto& [task, run] : worker.running)
                    running.insert(task);
            }
            for (const std::string& task : running) {
                m_downSince.erase(task);
                m_known.insert(task);
            }
            for (const std::string& task : m_known) {
                if (running.count(task) == 0)
                    m_longest = std::max(
                        m_longest, m_world.now() - m_downSince.try_emplace(task, m_world.now()).first->second);
            }
        }
    }

    Millis longest() const { return m_longest; }
    std::size_t down() const { return m_downSince.size(); }
    std::size_t known() const { return m_known.size(); }

private:
    World& m_world;
    std::set<std::string> m_known;
    std::map<std::string, Millis> m_downSince;
    Millis m_longest = 0;
};

struct Losses {
    int workers = 8;
    int unreachable = 1;
    int terms = 1;
    Millis betweenTermsMs = 2000;
};

// Runs one lasting task for each worker, cuts workers off for good and replaces the term several times in a row.
Millis longestDownTime(const Losses& losses)
{
    World world(1, losses.workers);
    for (int i = 0; i < losses.workers; ++i)
        world.submit("job" + std::to_string(i), { lastingStep(1, 3000, "image") });
    DownTimes times(world);
    times.run(1000);
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(losses.workers), times.known());
    for (int i = 0; i < losses.unreachable; ++i)
        world.worker(i).unreachableUntil = world.now() + 1000000;
    for (int i = 0; i < losses.terms; ++i) {
        times.run(losses.betweenTermsMs);
        world.replaceTerm();
    }
    times.run(20000);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), times.down());
    CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
    return times.longest();
}

class SchedulerRecoveryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SchedulerRecoveryTest);
    CPPUNIT_TEST(termsInARowDoNotBeginTheWaitForWorkersAnew);
    CPPUNIT_TEST(workersThatNeverAnsweredDoNotDelayATerm);
    CPPUNIT_TEST(workersLostAfterTheirReportDoNotDelayATerm);
    CPPUNIT_TEST(downTimeDoesNotGrowWithTheDeployment);
    CPPUNIT_TEST(longLeasesDoNotKeepTasksOfSilentWorkersDown);
    CPPUNIT_TEST(longLeasesOfRestartedWorkersAreKeptOverTerms);
    CPPUNIT_TEST(restartedWorkersGetNothingByATableThatWasWrittenBefore);
    CPPUNIT_TEST(noWorkerGetsALeaseBeforeTheTableGrantsIt);
    CPPUNIT_TEST(releasedWorkersGetNoLeaseUntilTheyAreGrantedAgain);
    CPPUNIT_TEST(leasesOfATermEndWithTheNextOne);
    CPPUNIT_TEST(unknownHistoryWaitsForEveryWorker);
    CPPUNIT_TEST(longLeasesOfUnknownTermsAreKeptOverTermsInARow);
    CPPUNIT_TEST(tablesOfOtherTermsThanTheRecentOnesAreIgnored);
    CPPUNIT_TEST(lostTermRecordsDoNotHideFormerWorkers);
    CPPUNIT_TEST(releasesOfTermsWithUnknownHistoryNameTheLongestLease);
    CPPUNIT_TEST(malformedLeaseTablesAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against tasks of a lost worker that stay down while each of several leaders in a row waits out the longest
    // lease.
    void termsInARowDoNotBeginTheWaitForWorkersAnew()
    {
        for (const int terms : { 1, 2, 3, 6, 10 }) {
            const Millis down = longestDownTime({ 8, 1, terms, 2000 });
            CPPUNIT_ASSERT_MESSAGE(
                std::to_string(terms) + " terms: down for " + std::to_string(down) + " ms", down <= maxDownMs);
        }
    }

    // Guards against an announced worker that nobody can reach, such as an odd entry, that delays each new term.
    void workersThatNeverAnsweredDoNotDelayATerm()
    {
        World world(1, 4);
        world.worker(3).unreachableUntil = world.now() + 1000000;
        world.submit("job", { lastingStep(3, 3000, "image") });
        DownTimes times(world);
        times.run(10000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), times.known());
        world.restartWorker(0);
        world.restartWorker(1);
        world.restartWorker(2);
        world.replaceTerm();
        times.run(maxStartMs);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), times.down());
        CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
    }

    // Guards against a term that waits again for workers that have reported to it and are lost one after the other.
    void workersLostAfterTheirReportDoNotDelayATerm()
    {
        World world(1, 12);
        world.submit("job", { lastingStep(12, 3000, "image") });
        DownTimes times(world);
        times.run(1000);
        world.worker(0).unreachableUntil = world.now() + 1000000;
        world.replaceTerm();
        for (int i = 1; i < 11; ++i) { // one of them is unreachable at any time
            times.run(1000);
            world.worker(i).unreachableUntil = world.now() + 1500;
        }
        times.run(1000);
        CPPUNIT_ASSERT_MESSAGE("down for " + std::to_string(times.longest()) + " ms", times.longest() <= maxDownMs);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), times.down());
        CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
    }

    // Guards against a recovery that takes longer the more workers there are, are unreachable, or the more terms there
    // were.
    void downTimeDoesNotGrowWithTheDeployment()
    {
        for (const int workers : { 8, 40, 160 }) {
            for (const int unreachable : { 1, workers / 4 }) {
                for (const int terms : { 1, 3, 8 }) {
                    const Millis down = longestDownTime({ workers, unreachable, terms, 1500 });
                    CPPUNIT_ASSERT_MESSAGE(std::to_string(workers) + " workers, " + std::to_string(unreachable)
                            + " unreachable, " + std::to_string(terms) + " terms: down for " + std::to_string(down)
                            + " ms",
                        down <= maxDownMs);
                }
            }
        }
    }

    // Guards against tasks of a worker that is gone for good that stay down until a lease of the platform's longest
    // length is over.
    void longLeasesDoNotKeepTasksOfSilentWorkersDown()
    {
        World world(1, 8);
        world.limits.maxLeaseMs = 10000;
        world.replaceTerm();
        world.submit("job", { lastingStep(8, 3000, "image") });
        DownTimes times(world);
        times.run(1000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), times.known());
        world.restartWorker(0);
        world.worker(0).unreachableUntil = world.now() + 1000000;
        times.run(20000);
        CPPUNIT_ASSERT_MESSAGE("down for " + std::to_string(times.longest()) + " ms", times.longest() <= maxDownMs);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), times.down());
        CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
    }

    // Guards against a second run beside one whose lease a call to the worker's former incarnation has extended.
    void longLeasesOfRestartedWorkersAreKeptOverTerms()
    {
        for (const Millis maxLeaseMs : { 3000, 6000, 10000, 30000 }) {
            for (const int terms : { 1, 2, 3 }) {
                World world(1, 2);
                world.limits.maxLeaseMs = maxLeaseMs;
                world.replaceTerm();
                world.run(500);
                world.restartWorker(0);
                world.worker(0).leaseEndsAt = world.now() + maxLeaseMs; // by a call that names a time on the old clock
                world.submit("job", { plainStep(8, 1000, 60000) });
                world.run(500);
                CPPUNIT_ASSERT_EQUAL(8, world.runningTasks());
                world.worker(0).unreachableUntil = world.now() + 1000000;
                for (int term = 0; term < terms; ++term) {
                    world.replaceTerm();
                    world.run(300);
                }
                world.run(maxLeaseMs + 2000);
                const std::string load = std::to_string(maxLeaseMs) + " ms, " + std::to_string(terms) + " terms: ";
                CPPUNIT_ASSERT_EQUAL(load, load + world.violation());
                CPPUNIT_ASSERT_EQUAL(8, world.runningTasks());
            }
        }
    }

    // Guards against a lease table on its way to the store that is taken to know of a restart after it was written.
    void restartedWorkersGetNothingByATableThatWasWrittenBefore()
    {
        World world(1, 1);
        world.limits.maxLeaseMs = 10000;
        world.replaceTerm();
        world.run(500);
        scheduler::Scheduler& state = world.scheduler();
        const scheduler::LeaseTable before = scheduler::nextLeaseTable(state, true, world.now());
        scheduler::WorkerReport report;
        report.clockMs = 10;
        report.incarnationUnixMs = 2;
        scheduler::applyReport(state, world.worker(0).entry.id, report, world.now(), world.now());
        CPPUNIT_ASSERT(scheduler::applyLeaseTable(state, before, world.now()).empty());
        CPPUNIT_ASSERT(scheduler::hasUngrantedWorkers(state));
        const scheduler::LeaseTable after = scheduler::nextLeaseTable(state, true, world.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), after.longest.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), scheduler::applyLeaseTable(state, after, world.now()).size());
    }

    // Guards against a start that a new term does not know to wait for.
    void noWorkerGetsALeaseBeforeTheTableGrantsIt()
    {
        World world(1, 2);
        world.faults.isStoreUnavailable = true;
        world.submit("job", { lastingStep(2, 3000, "image") });
        world.run(3000);
        CPPUNIT_ASSERT_EQUAL(0, world.runningTasks());
        for (const SimWorker& worker : world.workers())
            CPPUNIT_ASSERT_EQUAL(Millis(0), worker.leaseEndsAt);
        world.faults.isStoreUnavailable = false;
        world.run(200);
        CPPUNIT_ASSERT_EQUAL(2, world.runningTasks());
    }

    // Guards against a lease that is renewed after the table has stated the time of its last renewal.
    void releasedWorkersGetNoLeaseUntilTheyAreGrantedAgain()
    {
        World world(1, 1);
        world.run(500);
        scheduler::Scheduler& state = world.scheduler();
        const std::string id = world.worker(0).entry.id;
        CPPUNIT_ASSERT(scheduler::leaseRequest(state, id, world.now()).expiresClockMs > 0);
        scheduler::applyContactLoss(state, id, world.now());
        const scheduler::LeaseTable released = scheduler::nextLeaseTable(state, true, world.now());
        CPPUNIT_ASSERT(released.granted.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), released.released.size());
        scheduler::WorkerReport report;
        report.clockMs = world.now() + world.worker(0).clockOffset;
        report.incarnationUnixMs = 1;
        scheduler::applyReport(state, id, report, world.now(), world.now());
        scheduler::applyLeaseTable(state, released, world.now());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), scheduler::leaseRequest(state, id, world.now()).expiresClockMs);
        CPPUNIT_ASSERT(scheduler::hasUngrantedWorkers(state));
        scheduler::applyLeaseTable(state, scheduler::nextLeaseTable(state, true, world.now()), world.now());
        CPPUNIT_ASSERT(scheduler::leaseRequest(state, id, world.now()).expiresClockMs > 0);
    }

    // Guards against a second run on a worker whose lease a later one of several former terms may have renewed.
    void leasesOfATermEndWithTheNextOne()
    {
        scheduler::LeaseTable table;
        table.granted = { { "first", 10 }, { "second", 20 }, { "last", 30 } };
        table.released = { { "released", 450 } };
        const scheduler::TermHistory history { true, 900, { { 20, 300 }, { 30, 600 }, { 40, 800 } } };
        CPPUNIT_ASSERT_EQUAL(Millis(300), *scheduler::lastRenewalClock(table, history, "first"));
        CPPUNIT_ASSERT_EQUAL(Millis(600), *scheduler::lastRenewalClock(table, history, "second"));
        CPPUNIT_ASSERT_EQUAL(Millis(800), *scheduler::lastRenewalClock(table, history, "last"));
        CPPUNIT_ASSERT_EQUAL(Millis(450), *scheduler::lastRenewalClock(table, history, "released"));
        CPPUNIT_ASSERT(!scheduler::lastRenewalClock(table, history, "other"));
        CPPUNIT_ASSERT_EQUAL(Millis(900), *scheduler::lastRenewalClock(table, { true, 900, {} }, "last"));
    }

    // Guards against starts beside runs of a leader of a version that stores no lease table.
    void unknownHistoryWaitsForEveryWorker()
    {
        scheduler::Scheduler state;
        scheduler::beginTerm(state, 7, 1000, { false, 0, { { 7, 0 } } });
        scheduler::setFormerLeases(state, {}, 1000);
        scheduler::WorkerEntry entry;
        entry.id = "w";
        scheduler::setWorkers(state, { entry }, 1000, 1000);
        scheduler::plan(state, 1000 + state.limits.maxLeaseMs, 0);
        CPPUNIT_ASSERT(!state.isReconciled);
        scheduler::plan(state, 1000 + 2 * state.limits.maxLeaseMs, 0);
        CPPUNIT_ASSERT(state.isReconciled);
    }

    // Guards against a second run beside one whose lease a version without a lease table granted, two terms ago.
    void longLeasesOfUnknownTermsAreKeptOverTermsInARow()
    {
        scheduler::WorkerEntry entry;
        entry.id = "w";
        scheduler::Scheduler first;
        first.limits.maxLeaseMs = 10000;
        scheduler::beginTerm(first, 7, 1000, { false, 0, { { 7, 0 } } });
        scheduler::setWorkers(first, { entry }, 1000, 1000);
        scheduler::plan(first, 1500, 0);
        scheduler::LeaseTable table = scheduler::nextLeaseTable(first, true, 1500);

        scheduler::Scheduler second;
        second.limits.maxLeaseMs = 10000;
        scheduler::beginTerm(second, 8, 2000, { true, 1000, { { 7, 0 }, { 8, 900 } } });
        scheduler::setFormerLeases(second, std::move(table), 2000);
        scheduler::setWorkers(second, { entry }, 2000, 2000);
        scheduler::plan(second, 1000 + second.limits.maxLeaseMs, 0);
        CPPUNIT_ASSERT(!second.isReconciled);
        scheduler::plan(second, 1000 + 2 * second.limits.maxLeaseMs, 0);
        CPPUNIT_ASSERT(second.isReconciled);
    }

    // Guards against a table that was stored before a term of a version without one, and does not list its leases.
    void tablesOfOtherTermsThanTheRecentOnesAreIgnored()
    {
        scheduler::Scheduler former;
        scheduler::beginTerm(former, 3, 1000, { true, 100000, { { 3, 99000 } } });
        scheduler::LeaseTable table = scheduler::nextLeaseTable(former, true, 1000);

        // The term 5 granted leases without a table, and the term 7 ended before it had stored one.
        scheduler::Scheduler state;
        scheduler::beginTerm(state, 8, 50000, { true, 40000, { { 7, 0 }, { 8, 39000 } } });
        scheduler::setFormerLeases(state, std::move(table), 50000);
        scheduler::WorkerEntry entry;
        entry.id = "w";
        scheduler::setWorkers(state, { entry }, 50000, 50000);
        scheduler::plan(state, 51000, 0);
        CPPUNIT_ASSERT(!state.isReconciled);
        scheduler::plan(state, 51000 + 2 * state.limits.maxLeaseMs, 0);
        CPPUNIT_ASSERT(state.isReconciled);
    }

    // Guards against starts beside runs of earlier terms when the record of the term has been removed from the store.
    void lostTermRecordsDoNotHideFormerWorkers()
    {
        scheduler::WorkerEntry entry;
        entry.id = "w";
        scheduler::LeaseTable table;
        table.token = 3;
        table.granted = { { "w", 3 } };
        for (const bool hasTable : { true, false }) {
            scheduler::Scheduler state;
            scheduler::beginTerm(state, 7, 1000, { true, 3600000, { { 7, 3600000 } } });
            if (hasTable)
                scheduler::setFormerLeases(state, table, 1000);
            scheduler::addFormerWorkers(state, { entry }, 1000);
            scheduler::setWorkers(state, { entry }, 1000, 1000);
            scheduler::plan(state, 2000, 0);
            CPPUNIT_ASSERT(!state.isReconciled);
            scheduler::plan(state, 1000 + 2 * state.limits.maxLeaseMs, 0);
            CPPUNIT_ASSERT(state.isReconciled);
        }
    }

    // Guards against a released worker of a term with unknown history whose lease is taken for one of the granted
    // length.
    void releasesOfTermsWithUnknownHistoryNameTheLongestLease()
    {
        scheduler::WorkerEntry entry;
        entry.id = "w";
        scheduler::Scheduler first;
        first.limits.maxLeaseMs = 10000;
        scheduler::beginTerm(first, 7, 1000, { false, 0, { { 7, 0 } } });
        scheduler::setWorkers(first, { entry }, 1000, 1000);
        const Millis leaseEndAt = first.workers.at("w").earlierLeaseEndAt;
        const scheduler::LeaseTable table = scheduler::nextLeaseTable(first, true, 1500);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.released.count("w"));

        scheduler::Scheduler second;
        second.limits.maxLeaseMs = 10000;
        scheduler::beginTerm(second, 8, 12000, { true, 11000, { { 7, 0 }, { 8, 10900 } } });
        scheduler::setFormerLeases(second, table, 12000);
        CPPUNIT_ASSERT(second.workers.at("w").earlierLeaseEndAt >= leaseEndAt);
    }

    // Guards against a damaged lease table that is taken for an empty one.
    void malformedLeaseTablesAreRejected()
    {
        for (const char* text : { "", "[]", "{}", "{\"granted\":{},\"released\":{}}",
                 "{\"token\":1,\"granted\":[],\"released\":{}}", "{\"token\":1,\"granted\":{\"x\":[]},\"released\":{}}",
                 "{\"token\":1,\"granted\":{\"1\":7},\"released\":{}}",
                 "{\"token\":1,\"granted\":{},\"released\":{\"w\":\"1\"}}",
                 "{\"token\":1,\"granted\":{},\"released\":{},\"longest\":[1]}" })
            CPPUNIT_ASSERT(!scheduler::decodeLeaseTable(text));
        scheduler::LeaseTable table;
        table.granted = { { "a", 1 }, { "b", 2 }, { "c", 1 } };
        table.released = { { "d", 5 } };
        table.token = 3;
        const auto copy = scheduler::decodeLeaseTable(scheduler::encodeLeaseTable(table));
        CPPUNIT_ASSERT(
            copy && copy->token == table.token && copy->granted == table.granted && copy->released == table.released);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerRecoveryTest);

} // namespace
