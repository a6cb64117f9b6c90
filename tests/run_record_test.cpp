// Tests of what a new term may conclude about the runs of lasting tasks, on a virtual clock.
#include "scheduler_world.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing;
using namespace lacewing::test;

// ms from the begin of a term until tasks run again that no unreachable worker can hold: two reports, a record, a plan
constexpr Millis maxStartMs = 500;
constexpr Millis forGood = 1000000;

class RunRecordTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RunRecordTest);
    CPPUNIT_TEST(endsReadByANewTermFreeTheirTasksBesideASilentWorker);
    CPPUNIT_TEST(endsOfLaterRunsFreeTheirTasksBesideASilentWorker);
    CPPUNIT_TEST(tasksWaitingForRoomDoNotWaitForOtherWorkers);
    CPPUNIT_TEST(endsOfEarlierRunsDoNotFreeATaskOfASilentWorker);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunRecordTest);

} // namespace
