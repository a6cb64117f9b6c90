// Tests of the records of workers on which lasting tasks run: what a new term may conclude from them, on a virtual
// clock.
#include "scheduler/run_record.h"
#include "scheduler_world.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing;
using namespace lacewing::test;

// ms from the begin of a term until tasks run again that no unreachable worker can hold: two reports, a record, a plan
constexpr Millis maxStartMs = 500;
// ms after the end of its last run within which a lasting task runs again while workers have capacity for it
constexpr Millis maxDownMs = 9000;
constexpr Millis forGood = 1000000;

class RunRecordTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RunRecordTest);
    CPPUNIT_TEST(endsReadByANewTermFreeTheirTasksBesideASilentWorker);
    CPPUNIT_TEST(endsOfLaterRunsFreeTheirTasksBesideASilentWorker);
    CPPUNIT_TEST(tasksWaitingForRoomDoNotWaitForOtherWorkers);
    CPPUNIT_TEST(tasksOfARemovedWorkerDoNotWaitForOtherWorkers);
    CPPUNIT_TEST(tasksOfAWorkerRemovedByAFormerTermAreFreeAtOnce);
    CPPUNIT_TEST(endsOfEarlierRunsDoNotFreeATaskOfASilentWorker);
    CPPUNIT_TEST(unreadableRecordsAreNotReliedOn);
    CPPUNIT_TEST(recordsBeforeATermOfAnotherVersionAreNotReliedOn);
    CPPUNIT_TEST(lastingTasksStartAgainOnTheirWorkerWhileTheStoreFails);
    CPPUNIT_TEST(otherWorkersWaitForTheRecordWhileTheStoreFails);
    CPPUNIT_TEST(choicesAreStoredBeforeOtherRecords);
    CPPUNIT_TEST(roomOfAChosenWorkerIsNotGivenAway);
    CPPUNIT_TEST(randomFaultsNeverRunALastingTaskTwice);
    CPPUNIT_TEST_SUITE_END();

    static SimWorker& hostOf(World& world, const std::string& task)
    {
        const auto found = std::find_if(world.workers().begin(), world.workers().end(),
            [&](const SimWorker& worker) { return worker.running.count(task) > 0; });
        CPPUNIT_ASSERT_MESSAGE(task + " does not run", found != world.workers().end());
        return *found;
    }

    static bool isRunning(World& world, const std::string& task)
    {
        return std::any_of(world.workers().begin(), world.workers().end(),
            [&](const SimWorker& worker) { return worker.running.count(task) > 0; });
    }

    // A worker that holds a lease and none of the tasks.
    static SimWorker& workerWithout(World& world, const std::vector<std::string>& tasks)
    {
        const auto found = std::find_if(world.workers().begin(), world.workers().end(), [&](const SimWorker& worker) {
            return worker.leaseEndsAt > world.now()
                && std::none_of(tasks.begin(), tasks.end(),
                    [&](const std::string& task) { return worker.running.count(task) > 0; });
        });
        CPPUNIT_ASSERT(found != world.workers().end());
        return *found;
    }

    static void fail(World& world, const std::string& task)
    {
        SimRun& run = hostOf(world, task).running.at(task);
        run.endsAt = world.now() + 1;
        run.willFail = true;
    }

    static Millis downTime(World& world, const std::string& task, Millis longest)
    {
        const Millis begin = world.now();
        while (world.now() - begin < longest && !isRunning(world, task))
            world.step();
        return world.now() - begin;
    }

    static void assertStartsWithin(World& world, const std::string& task, Millis bound)
    {
        const Millis down = downTime(world, task, 20000);
        CPPUNIT_ASSERT_MESSAGE(task + " started after " + std::to_string(down) + " ms", down <= bound);
        CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
    }

    // The run ends while no daemon schedules and another worker becomes unreachable; then a new term begins.
    static void endBetweenTerms(World& world, const std::string& task)
    {
        SimWorker& silent = workerWithout(world, { task });
        silent.unreachableUntil = world.now() + forGood;
        world.faults.isLeaderless = true;
        fail(world, task);
        world.run(2000);
        CPPUNIT_ASSERT(!isRunning(world, task));
        world.faults.isLeaderless = false;
        world.replaceTerm();
    }

public:
    // Guards against lasting tasks that stay down until the lease of a worker is over that has nothing to do with them.
    void endsReadByANewTermFreeTheirTasksBesideASilentWorker()
    {
        World world(1, 4);
        world.submit("job", { lastingStep(1, 3000, "image") });
        world.run(1000);
        endBetweenTerms(world, "job.0.0.0");
        assertStartsWithin(world, "job.0.0.0", maxStartMs);
    }

    // Guards against the same for runs after the first one.
    void endsOfLaterRunsFreeTheirTasksBesideASilentWorker()
    {
        World world(1, 6);
        world.submit("job", { lastingStep(1, 3000, "image") });
        world.run(1000);
        SimWorker& first = hostOf(world, "job.0.0.0");
        world.restartWorker(static_cast<int>(&first - world.workers().data()));
        first.unreachableUntil = world.now() + 15000;
        world.run(10000);
        CPPUNIT_ASSERT(&hostOf(world, "job.0.0.0") != &first);
        endBetweenTerms(world, "job.0.0.0");
        assertStartsWithin(world, "job.0.0.0", maxStartMs);
    }

    // Guards against a new term that knows that a run has ended, but not that no other one has started since.
    void tasksWaitingForRoomDoNotWaitForOtherWorkers()
    {
        World world(1, 2);
        world.submit("large", { lastingStep(1, 6000, "image") });
        world.run(1000);
        SimWorker& host = hostOf(world, "large.0.0.0");
        host.entry.isDraining = true;
        host.entry.remainingMs = 60000;
        SimWorker& other = workerWithout(world, { "large.0.0.0" });
        world.submit("filler", { lastingStep(1, 6000, "image") });
        world.run(1000);
        CPPUNIT_ASSERT(!isRunning(world, "large.0.0.0"));
        other.unreachableUntil = world.now() + forGood;
        host.entry.isDraining = false;
        world.replaceTerm();
        assertStartsWithin(world, "large.0.0.0", maxStartMs);
    }

    // Guards against a task that waits for all workers because the one that had it is not known any more.
    void tasksOfARemovedWorkerDoNotWaitForOtherWorkers()
    {
        World world(1, 4);
        world.submit("job", { lastingStep(1, 3000, "image") });
        world.run(1000);
        SimWorker& host = hostOf(world, "job.0.0.0");
        SimWorker& silent = workerWithout(world, { "job.0.0.0" });
        host.isListed = false;
        host.unreachableUntil = world.now() + forGood;
        const Millis leftAt = world.now();
        world.run(1500); // renews the lease of the other workers
        silent.unreachableUntil = world.now() + forGood;
        world.replaceTerm();
        assertStartsWithin(world, "job.0.0.0", leftAt + 6700 + maxStartMs - world.now());
    }

    // Guards against the same for a worker whose lease was over before the term began.
    void tasksOfAWorkerRemovedByAFormerTermAreFreeAtOnce()
    {
        World world(1, 3);
        world.submit("large", { lastingStep(1, 6000, "image") });
        world.run(1000);
        SimWorker& host = hostOf(world, "large.0.0.0");
        host.isListed = false;
        host.unreachableUntil = world.now() + forGood;
        world.submit("filler", { lastingStep(2, 6000, "image") });
        world.run(12000); // the lease is over, and the other workers have no room
        CPPUNIT_ASSERT(!isRunning(world, "large.0.0.0"));
        hostOf(world, "filler.0.0.0").unreachableUntil = world.now() + forGood;
        hostOf(world, "filler.0.0.1").running.clear();
        world.cancel("filler");
        world.replaceTerm();
        assertStartsWithin(world, "large.0.0.0", maxStartMs);
    }

    // Guards against a second run of a task: the end of its first run is read again while the second one goes on.
    void endsOfEarlierRunsDoNotFreeATaskOfASilentWorker()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            World world(seed, 4);
            world.submit("job", { lastingStep(1, 3000, "image") });
            world.run(1000);
            SimWorker& first = hostOf(world, "job.0.0.0");
            first.unreachableUntil = world.now() + 9000;
            world.run(9000 - 50);
            SimWorker& second = hostOf(world, "job.0.0.0");
            CPPUNIT_ASSERT(&first != &second);
            second.unreachableUntil = world.now() + forGood;
            world.replaceTerm(); // reads the end of the run on the first worker
            const Millis leaseLeft = second.leaseEndsAt - world.now();
            const Millis runningUntil = world.now() + leaseLeft;
            while (world.now() + 50 < runningUntil) {
                world.step();
                CPPUNIT_ASSERT_EQUAL(1, world.runningTasks());
            }
            CPPUNIT_ASSERT(leaseLeft > 1000);
            world.run(4000);
            CPPUNIT_ASSERT(isRunning(world, "job.0.0.0"));
            CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
        }
    }

    // Guards against a term that takes a record that it cannot read, or one of another series of terms, for none.
    void unreadableRecordsAreNotReliedOn()
    {
        scheduler::JobRequest request;
        request.id = "0123456789abcdef";
        request.steps = { lastingStep(1, 3000, "image") };
        scheduler::LeaseTable table;
        table.token = 5;
        table.runsRecordedSince = 5;
        const auto hasSingleWorker = [&](const std::optional<QByteArray>& record) {
            scheduler::Scheduler state;
            scheduler::Job& job = scheduler::addJob(state, request, {}, 0, 7, 0);
            if (record)
                scheduler::restoreProgress(job, *record);
            scheduler::beginTerm(state, 9, 0, { true, 10000, { { 5, 1000 }, { 9, 9000 } } });
            scheduler::setFormerLeases(state, table, 0);
            scheduler::applyRunRecords(state);
            const scheduler::Task& task = job.occurrences.at(0).steps[0].tasks[0];
            CPPUNIT_ASSERT(task.recordedWorker.empty());
            return task.hasSingleWorker;
        };
        scheduler::Scheduler former;
        scheduler::Job& job = scheduler::addJob(former, request, {}, 0, 7, 0);
        CPPUNIT_ASSERT(hasSingleWorker(std::nullopt));
        CPPUNIT_ASSERT(hasSingleWorker(scheduler::encodeProgress(job, 5)));
        CPPUNIT_ASSERT(!hasSingleWorker(scheduler::encodeProgress(job, 6)));
        CPPUNIT_ASSERT(!hasSingleWorker(QByteArray("{")));
        job.occurrences.at(0).steps[0].tasks[0].recordedWorker = "w1";
        QByteArray partial = scheduler::encodeProgress(job, 5);
        partial.replace("[0]", "[0,1]");
        CPPUNIT_ASSERT(!hasSingleWorker(partial));
    }

    // Guards against a term that relies on records although a version that does not write them has started tasks since.
    void recordsBeforeATermOfAnotherVersionAreNotReliedOn()
    {
        World world(1, 4);
        world.submit("job", { lastingStep(1, 3000, "image") });
        world.run(1000);
        world.breakRunRecords();
        endBetweenTerms(world, "job.0.0.0");
        world.run(1000);
        CPPUNIT_ASSERT(!isRunning(world, "job.0.0.0"));
        assertStartsWithin(world, "job.0.0.0", maxDownMs);
        endBetweenTerms(world, "job.0.0.0"); // the next term can rely on the records of that one
        assertStartsWithin(world, "job.0.0.0", maxStartMs);
    }

    // Guards against failed lasting tasks that stay down for the whole time of a store outage.
    void lastingTasksStartAgainOnTheirWorkerWhileTheStoreFails()
    {
        World world(1, 4);
        world.submit("job", { lastingStep(1, 3000, "image") });
        world.run(1000);
        const SimWorker& host = hostOf(world, "job.0.0.0");
        world.faults.isStoreUnavailable = true;
        for (int i = 0; i < 3; ++i) {
            world.run(500);
            fail(world, "job.0.0.0");
            world.step();
            assertStartsWithin(world, "job.0.0.0", maxStartMs);
            CPPUNIT_ASSERT(&host == &hostOf(world, "job.0.0.0"));
        }
        endBetweenTerms(world, "job.0.0.0");
        world.faults.isStoreUnavailable = false;
        assertStartsWithin(world, "job.0.0.0", maxStartMs);
    }

    // Guards against a run that no record shows: the term after it would start another one.
    void otherWorkersWaitForTheRecordWhileTheStoreFails()
    {
        World world(1, 4);
        world.submit("job", { lastingStep(1, 3000, "image") });
        world.run(1000);
        world.faults.isStoreUnavailable = true;
        SimWorker& host = hostOf(world, "job.0.0.0");
        world.restartWorker(static_cast<int>(&host - world.workers().data()));
        host.unreachableUntil = world.now() + forGood;
        world.run(10000);
        CPPUNIT_ASSERT(!isRunning(world, "job.0.0.0"));
        world.faults.isStoreUnavailable = false;
        assertStartsWithin(world, "job.0.0.0", maxStartMs);
    }

    // Guards against restarts that wait behind the records of all other jobs.
    void choicesAreStoredBeforeOtherRecords()
    {
        scheduler::Scheduler state;
        scheduler::beginTerm(state, 1, 0);
        const auto add = [&](const std::string& id, const scheduler::Step& step) -> scheduler::Job& {
            scheduler::JobRequest request;
            request.id = id;
            request.steps = { step };
            return scheduler::addJob(state, request, {}, 0, 2, 0);
        };
        for (int i = 0; i < 50; ++i)
            scheduler::cancelJob(state, add("a" + std::to_string(i), plainStep(1, 100, 100)).request.id, 0);
        add("lasting", lastingStep(1, 3000, "image"));
        const auto ref = scheduler::findTask(state, "lasting.0.0.0");
        scheduler::recordChoice(state, *ref, "w1", 10);
        CPPUNIT_ASSERT(!scheduler::mayStartOn(state, *ref, "w1"));
        const std::vector<std::string> batch = scheduler::nextCommitBatch(state, 10);
        CPPUNIT_ASSERT_EQUAL(std::string("lasting"), batch.front());
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1), std::count(batch.begin(), batch.end(), "lasting"));
        scheduler::applyCommit(state, "lasting", ref->job->version, ref->job->state);
        CPPUNIT_ASSERT(scheduler::mayStartOn(state, *ref, "w1"));
        CPPUNIT_ASSERT(!scheduler::mayStartOn(state, *ref, "w2"));
        CPPUNIT_ASSERT(state.awaitedRecords.empty());
    }

    // Guards against a restart that loses its room to another task between its record and its start.
    void roomOfAChosenWorkerIsNotGivenAway()
    {
        World world(1, 3);
        world.submit("job", { lastingStep(1, 6000, "image") });
        world.run(1000);
        SimWorker& host = hostOf(world, "job.0.0.0");
        host.entry.isDraining = true;
        host.entry.remainingMs = 60000;
        world.faults.lostCommit = 1;
        world.run(1000);
        const std::string chosen = scheduler::findTask(world.scheduler(), "job.0.0.0")->task->recordedWorker;
        CPPUNIT_ASSERT(!chosen.empty() && chosen != host.entry.id);
        world.submit("other", { lastingStep(2, 6000, "image") });
        world.run(1000);
        world.faults.lostCommit = 0;
        assertStartsWithin(world, "job.0.0.0", maxStartMs);
        CPPUNIT_ASSERT_EQUAL(chosen, hostOf(world, "job.0.0.0").entry.id);
    }

    // Guards against two runs of a lasting task after any series of lost and resigned terms, outages of the store, lost
    // answers, late starts, cut and restarted workers.
    void randomFaultsNeverRunALastingTaskTwice()
    {
        int starts = 0;
        for (std::uint64_t seed = 1; seed <= 150; ++seed)
            starts += startsUnderRandomFaults(seed, scheduler::Limits().maxLeaseMs);
        CPPUNIT_ASSERT(starts > 3000);
        // Longest leases of the platform below and above the length that the scheduler grants.
        for (const Millis maxLeaseMs : { 3000, 10000, 30000 }) {
            for (std::uint64_t seed = 1; seed <= 50; ++seed)
                startsUnderRandomFaults(seed, maxLeaseMs);
        }
    }

private:
    static int startsUnderRandomFaults(std::uint64_t seed, Millis maxLeaseMs)
    {
        int starts = 0;
        base::Rng rng(seed);
        World world(seed, 5);
        if (world.limits.maxLeaseMs != maxLeaseMs) {
            world.limits.maxLeaseMs = maxLeaseMs;
            world.replaceTerm();
        }
        world.faults.lostAnswer = 0.1;
        world.faults.delayedStart = 0.1;
        world.faults.lostStop = 0.2;
        world.faults.failedRun = 0;
        world.faults.partitionPerStep = 0.004;
        world.faults.crashPerStep = 0.001;
        world.faults.termPerStep = 0.01;
        world.faults.resignPerStep = 0.003;
        world.faults.lostCommit = 0.2;
        world.faults.lostCommitAnswer = 0.2;
        for (int i = 0; i < 6; ++i)
            world.submit("job" + std::to_string(i), { lastingStep(2, 2000, "image") });
        for (int i = 0; i < 60; ++i) {
            world.faults.isStoreUnavailable = base::chance(rng, 0.15);
            world.run(500);
            for (SimWorker& worker : world.workers()) {
                worker.isListed = worker.isListed ? !base::chance(rng, 0.03) : base::chance(rng, 0.2);
                worker.entry.isDraining = worker.entry.isDraining ? !base::chance(rng, 0.3) : base::chance(rng, 0.03);
                worker.entry.remainingMs = 2000;
                for (auto& [task, run] : worker.running) {
                    if (!base::chance(rng, 0.1))
                        continue;
                    run.endsAt = world.now() + 1;
                    run.willFail = true;
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed) + ", " + std::to_string(maxLeaseMs) + " ms",
            std::string(), world.violation());
        for (int i = 0; i < 6; ++i)
            starts += world.starts("job" + std::to_string(i) + ".0.0.0");
        return starts;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunRecordTest);

} // namespace
