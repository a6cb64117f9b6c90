// Tests of jobs that wait with nothing running while workers have room: serving tasks spread over all workers, and the
// order of waiting jobs.
#include "scheduler/planner.h"
#include "scheduler_world.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing;
using namespace lacewing::test;
using scheduler::Step;

// ms that a job may have nothing running while workers have room (rule of the platform)
constexpr Millis maxIdleMs = 3000;

Step fillingStep(int count, int cpuMillicores, int estimateMs)
{
    Step step = plainStep(count, cpuMillicores, estimateMs);
    step.isFilling = true;
    step.image = "fill";
    return step;
}

std::string workerOf(World& world, const std::string& task)
{
    for (const SimWorker& worker : world.workers()) {
        if (worker.running.count(task) > 0)
            return worker.entry.id;
    }
    return {};
}

int servingWorkers(World& world)
{
    return static_cast<int>(std::count_if(world.workers().begin(), world.workers().end(), [](const SimWorker& worker) {
        return std::any_of(worker.running.begin(), worker.running.end(),
            [](const auto& entry) { return entry.second.step.latencyTargetMs > 0; });
    }));
}

class SchedulerWaitingJobsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SchedulerWaitingJobsTest);
    CPPUNIT_TEST(spreadServingTasksDoNotKeepFillingTasksWaiting);
    CPPUNIT_TEST(movesLeaveTheOtherTasksOfTheStepAtWork);
    CPPUNIT_TEST(servingTasksStayWithoutRoomElsewhere);
    CPPUNIT_TEST(servingTasksStayWithoutWaitingFillingTasks);
    CPPUNIT_TEST(servingTasksStayOnceNoFillingTaskWaits);
    CPPUNIT_TEST(newServingTasksDoNotOccupyVacatedWorkers);
    CPPUNIT_TEST(servingTasksStayWhenTheFillingTaskFitsNowhere);
    CPPUNIT_TEST(servingTasksThatNeedApprovalStay);
    CPPUNIT_TEST(jobsWithNothingRunningDoNotWaitBehindNewerOnes);
    CPPUNIT_TEST(refusedStartsDoNotDelayTheTurnOfAJob);
    CPPUNIT_TEST(approvalIsAskedForInTheOrderOfPlacement);
    CPPUNIT_TEST(lastingTasksWaitForTheShortReserveForABoundedTime);
    CPPUNIT_TEST_SUITE_END();

    // Leaves serving tasks of `cpuMillicores` on each worker; the jobs are called kept0, kept1 ...
    static void spreadServingTasks(World& world, int cpuMillicores, int tasksPerWorker = 1)
    {
        const int workers = static_cast<int>(world.workers().size());
        for (int i = 0; i < workers; ++i) { // as large as a worker, so that each gets them
            for (int task = 0; task < tasksPerWorker; ++task)
                world.submit(
                    "kept" + std::to_string(i * tasksPerWorker + task), { lastingStep(1, cpuMillicores, "serving") });
            world.submit(
                "ended" + std::to_string(i), { lastingStep(1, 8000 - tasksPerWorker * cpuMillicores, "serving") });
            world.run(200);
        }
        world.run(1000);
        for (int i = 0; i < workers; ++i)
            world.cancel("ended" + std::to_string(i));
        world.run(2000);
        CPPUNIT_ASSERT_EQUAL(workers, servingWorkers(world));
    }

public:
    // Guards against lasting tasks that wait for a reserve from the demand of a burst that is long over, while
    // processors are idle (bench day scale-2 of the large deployment: up to 17 s).
    void lastingTasksWaitForTheShortReserveForABoundedTime()
    {
        constexpr Millis boundMs = 3000;                           // lasting tasks count as down after this
        World world(11, 8);                                        // 64 cores
        world.submit("kept", { lastingStep(7, 7500, "serving") }); // leaves 11.5 cores, less than a worker's reserve
        world.run(1000);
        world.submit("burst", { plainStep(20, 500, 400) }); // the peak demand stays at 10 cores for long
        world.run(2000);
        CPPUNIT_ASSERT(world.committedState("burst") == scheduler::JobState::Completed);
        world.submit("late", { lastingStep(4, 1500, "serving") });
        const Millis submittedAt = world.now();
        while (world.now() - submittedAt < 20000 && world.starts("late.0.0.3") == 0)
            world.step();
        CPPUNIT_ASSERT(world.now() - submittedAt <= boundMs);
        CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
    }

    // Guards against filling tasks without a worker because each worker keeps the last few of its serving tasks.
    void spreadServingTasksDoNotKeepFillingTasksWaiting()
    {
        World world(1, 8);
        spreadServingTasks(world, 1500);
        world.submit("fill", { fillingStep(60, 4000, 1000) });
        world.run(15000);
        CPPUNIT_ASSERT(servingWorkers(world) <= 3); // two workers hold them
        CPPUNIT_ASSERT(world.committedState("fill") == scheduler::JobState::Completed);
        CPPUNIT_ASSERT(world.scheduler().servingMoves <= 8); // each at most once
        CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
    }

    // Guards against moves that make several tasks of one serving step unavailable.
    void movesLeaveTheOtherTasksOfTheStepAtWork()
    {
        World world(1, 6);
        Step spread = lastingStep(6, 1500, "serving");
        spread.maxPerWorker = 1;
        spread.maxUnavailable = 1;
        world.submit("spread", { spread });
        world.run(1000);
        for (int i = 0; i < 6; ++i)
            world.submit("single" + std::to_string(i), { lastingStep(1, 1500, "serving") });
        world.run(1000);
        world.submit("fill", { fillingStep(60, 4000, 1000) });
        for (int i = 0; i < 300; ++i) {
            world.step();
            int atWork = 0;
            for (int task = 0; task < 6; ++task)
                atWork += workerOf(world, "spread.0.0." + std::to_string(task)).empty() ? 0 : 1;
            CPPUNIT_ASSERT(atWork >= 5);
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
    }

    // Guards against stops of serving tasks that would find no other worker.
    void servingTasksStayWithoutRoomElsewhere()
    {
        World world(1, 6);
        for (int i = 0; i < 6; ++i)
            world.submit("serving" + std::to_string(i), { lastingStep(1, 4500, "serving") });
        world.run(1000);
        world.submit("fill", { fillingStep(60, 4000, 1000) });
        world.run(15000);
        for (int i = 0; i < 6; ++i)
            CPPUNIT_ASSERT_EQUAL(1, world.starts("serving" + std::to_string(i) + ".0.0.0"));
    }

    // Guards against moves that help nobody.
    void servingTasksStayWithoutWaitingFillingTasks()
    {
        World world(1, 6);
        spreadServingTasks(world, 1500);
        world.run(10000);
        for (int i = 0; i < 6; ++i)
            CPPUNIT_ASSERT_EQUAL(1, world.starts("kept" + std::to_string(i) + ".0.0.0"));
    }

    // Guards against moves off a vacated worker that go on after the filling tasks they were for are gone.
    void servingTasksStayOnceNoFillingTaskWaits()
    {
        World world(1, 8);
        spreadServingTasks(world, 750, 3); // a worker that is vacated has several to move, one at a time
        world.submit("fill", { fillingStep(60, 4000, 1000) });
        for (int i = 0; i < 100 && world.scheduler().servingMoves == 0; ++i)
            world.step();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), world.scheduler().servingMoves);
        world.cancel("fill");
        world.run(10000);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), world.scheduler().servingMoves);
        CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
    }

    // Guards against workers that are vacated for filling tasks and taken by the next serving tasks.
    void newServingTasksDoNotOccupyVacatedWorkers()
    {
        World world(1, 8);
        spreadServingTasks(world, 1500);
        world.submit("fill", { fillingStep(200, 4000, 2000) });
        world.run(10000);
        const int before = servingWorkers(world);
        for (int i = 0; i < 4; ++i)
            world.submit("new" + std::to_string(i), { lastingStep(1, 1000, "other") });
        world.run(3000);
        CPPUNIT_ASSERT(servingWorkers(world) <= before + 1);
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT_EQUAL(1, world.starts("new" + std::to_string(i) + ".0.0.0"));
    }

    // Guards against moves for filling tasks that wait for something else than processors free of serving tasks.
    void servingTasksStayWhenTheFillingTaskFitsNowhere()
    {
        World world(1, 6);
        spreadServingTasks(world, 1500);
        Step step = fillingStep(1, 1000, 1000);
        step.requiredLabel = "missing";
        world.submit("label", { step });
        step.requiredLabel.clear();
        step.gpus = 1;
        world.submit("gpu", { step });
        world.run(10000);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), world.scheduler().servingMoves);
    }

    // Guards against serving tasks that are stopped and then wait for the approval of their next worker.
    void servingTasksThatNeedApprovalStay()
    {
        World world(1, 6);
        for (int i = 0; i < 6; ++i) {
            world.submit("serving" + std::to_string(i), { lastingStep(1, 1500, "image" + std::to_string(i)) }, 3, 0,
                { true, 20, 1, 5000 });
            world.run(500);
        }
        world.run(2000);
        world.submit("fill", { fillingStep(60, 4000, 1000) });
        world.run(10000);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), world.scheduler().servingMoves);
    }

    // Guards against a job past its deadline that gets nothing as long as newer jobs keep the workers busy.
    void jobsWithNothingRunningDoNotWaitBehindNewerOnes()
    {
        World world(1, 2);                                 // room for four tasks
        world.submit("old", { plainStep(2000, 4000, 1) }); // the estimate gives it a deadline that has passed at once
        Millis lastRunAt = world.now();
        Millis longestIdle = 0;
        for (int i = 0; i < 400; ++i) {
            if (world.scheduler().active.size() < 3)
                world.submit("new" + std::to_string(i), { plainStep(8, 4000, 600) });
            world.step();
            const auto& workers = world.workers();
            const bool isRunning = std::any_of(workers.begin(), workers.end(), [](const SimWorker& worker) {
                return std::any_of(worker.running.begin(), worker.running.end(),
                    [](const auto& entry) { return entry.first.rfind("old.", 0) == 0; });
            });
            if (isRunning)
                lastRunAt = world.now();
            longestIdle = std::max(longestIdle, world.now() - lastRunAt);
        }
        CPPUNIT_ASSERT(longestIdle <= maxIdleMs);
    }

    // Guards against a job that goes to the end of the order with each start that its worker refuses.
    void refusedStartsDoNotDelayTheTurnOfAJob()
    {
        World world(1, 2);
        world.run(500);
        world.submit("job", { plainStep(1, 1000, 1000) });
        scheduler::Scheduler& state = world.scheduler();
        const scheduler::Orders orders = scheduler::plan(state, world.now(), world.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), orders.starts.size());
        const Millis later = world.now() + 1000;
        scheduler::applyStart(state, orders.starts.front(), scheduler::StartOutcome::NoCapacity, later);
        scheduler::Planner planner { state, later, later };
        scheduler::reviewJob(planner, *state.jobs.at("job"), 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), planner.candidates.size());
        CPPUNIT_ASSERT_EQUAL(world.now(), planner.candidates.front().idleSince);
    }

    // Guards against questions about a step for which there is no hurry.
    void approvalIsAskedForInTheOrderOfPlacement()
    {
        World world(1, 2);
        world.run(500);
        const scheduler::ApprovalPolicy approval { true, 20, 1, 5000 };
        world.submit("a", { plainStep(1, 1000, 1000) }, 3, 1, approval);
        world.submit("b", { plainStep(1, 1000, 1000) }, 3, 0, approval);
        const scheduler::Orders orders = scheduler::plan(world.scheduler(), world.now(), world.now());
        CPPUNIT_ASSERT(orders.question.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("b.0.0"), orders.question->step);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerWaitingJobsTest);

} // namespace
