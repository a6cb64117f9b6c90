// Tests of restarts of lasting tasks on a virtual clock: tasks that need more room than any worker has free, beside
// shorter tasks that take whatever becomes free.
#include "scheduler/open_start.h"
#include "scheduler_world.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing;
using namespace lacewing::test;
using scheduler::Step;

// ms after the end of its last run within which a lasting task runs again while workers have capacity for it: the
// platform grants 6000 ms, and reports the task as lost when it does not run for another 3000 ms.
constexpr Millis maxDownMs = 9000;

class SchedulerRestartTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SchedulerRestartTest);
    CPPUNIT_TEST(largeRestartsDoNotStarveBehindSmallTasks);
    CPPUNIT_TEST(restartsDoNotStarveBehindTheMemoryOfSmallTasks);
    CPPUNIT_TEST(restartsThatNeedApprovalDoNotStarveBehindSmallTasks);
    CPPUNIT_TEST(severalRestartsOfOneImageAllGetRoom);
    CPPUNIT_TEST(roomIsHeldOnFewWorkers);
    CPPUNIT_TEST(roomIsNotHeldWhereLastingTasksKeepIt);
    CPPUNIT_TEST(cancelledRestartsHoldNoRoom);
    CPPUNIT_TEST(restartsWithoutAnyWorkerDoNotUseUpTheSearches);
    CPPUNIT_TEST(anotherWorkerIsChosenWhenTheRoomDoesNotCome);
    CPPUNIT_TEST(roomForAGpuDoesNotKeepOtherTasksOut);
    CPPUNIT_TEST(noRoomIsHeldBehindLongTasks);
    CPPUNIT_TEST(restartsKeepTheirPlaceOverAResignationWithoutTheStore);
    CPPUNIT_TEST(unansweredStartsStayOnTheirWorkerUntilTheyAreOver);
    CPPUNIT_TEST(startsThatWereGivenUpDoNotRunBesideTheNextRun);
    CPPUNIT_TEST(openStartsOfALostTermDoNotRunBesideTheNextRun);
    CPPUNIT_TEST(startsSentRightBeforeATermIsLostDoNotRunBesideTheNextRun);
    CPPUNIT_TEST(openStartsOfOneTaskDoNotRunBesideEachOther);
    CPPUNIT_TEST(answeredStartsDoNotHoldTasksToTheirWorkerOverTerms);
    CPPUNIT_TEST(openStartsOfGoneWorkersDoNotHoldTasks);
    CPPUNIT_TEST(malformedTablesOfOpenStartsAreRejected);
    CPPUNIT_TEST_SUITE_END();

    static bool isRunning(World& world, const std::string& task)
    {
        return std::any_of(world.workers().begin(), world.workers().end(),
            [&](const SimWorker& worker) { return worker.running.count(task) > 0; });
    }

    static int runningOf(World& world, const std::string& prefix)
    {
        int count = 0;
        for (const SimWorker& worker : world.workers())
            count += static_cast<int>(std::count_if(worker.running.begin(), worker.running.end(),
                [&](const auto& run) { return run.first.rfind(prefix, 0) == 0; }));
        return count;
    }

    // Enough short tasks to keep the workers of the tests busy for a minute; their ends are spread over time.
    static void submitSmallTasks(World& world, int cpuMillicores, int memoryMb, const std::string& name = "small")
    {
        for (int i = 0; i < 1200; ++i) {
            Step step = plainStep(1, cpuMillicores, 700 + (i * 377) % 1300);
            step.memoryMb = memoryMb;
            world.submit(name + '-' + std::to_string(i), { step });
        }
    }

    static void drain(World& world, const std::string& id)
    {
        for (SimWorker& worker : world.workers()) {
            if (worker.entry.id == id) {
                worker.entry.isDraining = true;
                worker.entry.remainingMs = 2000;
            }
        }
    }

    static std::string hostOf(World& world, const std::string& task)
    {
        return scheduler::findTask(world.scheduler(), task)->task->worker;
    }

    // Time until all tasks run; at most `longest`.
    static Millis downTime(World& world, const std::vector<std::string>& tasks, Millis longest)
    {
        const Millis begin = world.now();
        while (world.now() - begin < longest && !std::all_of(tasks.begin(), tasks.end(), [&](const std::string& task) {
            return isRunning(world, task);
        }))
            world.step();
        return world.now() - begin;
    }

    static void assertDownTime(World& world, const std::vector<std::string>& tasks)
    {
        const Millis down = downTime(world, tasks, 30000);
        CPPUNIT_ASSERT_MESSAGE("down for " + std::to_string(down) + " ms", down <= maxDownMs);
        CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
    }

    static std::vector<std::string> startsOf(World& world, const std::string& task, Millis length)
    {
        std::vector<std::string> workers;
        for (const Millis end = world.now() + length; world.now() < end;) {
            world.step();
            for (const scheduler::Decision& decision : world.decisions()) {
                if (decision.event == "start" && decision.task == task)
                    workers.push_back(decision.worker);
            }
        }
        return workers;
    }

public:
    // Guards against a task that starts elsewhere while a call with its former start may be carried out, and against
    // one that waits again and again for the same worker, which leaves starts unanswered.
    void unansweredStartsStayOnTheirWorkerUntilTheyAreOver()
    {
        std::size_t repeated = 0;
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            World world(seed, 3);
            world.run(500);
            world.faults.delayedStart = 1;
            world.submit("job", { lastingStep(1, 3000, "image") });
            const Millis callsMs = world.limits.startDeadlineMs + world.limits.lateOrderMs;
            const std::vector<std::string> workers = startsOf(world, "job.0.0.0", callsMs);
            CPPUNIT_ASSERT(!workers.empty() && workers.size() <= 4);
            CPPUNIT_ASSERT_EQUAL(workers.front(), workers.back());
            repeated += workers.size() - 1;
            const std::vector<std::string> later = startsOf(world, "job.0.0.0", 8000);
            if (world.runningTasks() == 0)
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), !later.empty() && later[0] != workers[0]);
            CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
        }
        CPPUNIT_ASSERT(repeated >= 5);
    }

    // Guards against a start that was given up and is carried out by the worker's next incarnation beside the next run
    // (review case 8).
    void startsThatWereGivenUpDoNotRunBesideTheNextRun()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            World world(seed, 3);
            world.run(500);
            world.faults.delayedStart = 1;
            world.submit("job", { plainStep(1, 3000, 20000) });
            const std::vector<std::string> workers = startsOf(world, "job.0.0.0", 100);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), workers.size());
            world.faults = {};
            world.run(2500);
            const auto first = std::find_if(world.workers().begin(), world.workers().end(),
                [&](const SimWorker& worker) { return worker.entry.id == workers[0]; });
            const auto index = static_cast<int>(first - world.workers().begin());
            for (int i = 0; i < 250; ++i) { // a late call reaches the worker before any call with a higher token
                world.restartWorker(index);
                world.step();
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(), world.violation());
            world.run(30000, 100);
            CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
            CPPUNIT_ASSERT(world.committedState("job") == scheduler::JobState::Completed);
        }
    }

private:
    static int indexOf(World& world, const std::string& id)
    {
        const auto found = std::find_if(world.workers().begin(), world.workers().end(),
            [&](const SimWorker& worker) { return worker.entry.id == id; });
        return static_cast<int>(found - world.workers().begin());
    }

    // The only task of a job is started by a call without an answer. Some time after it, the term is lost; others may
    // be lost in a row. The worker's next incarnations carry the call out before any call with a higher token.
    static void loseTermAfterUnansweredStart(World& world, const Step& step, Millis lostAfterMs, int terms)
    {
        world.run(500);
        world.submit("other", { plainStep(2, 3000, 120) }); // the third worker is the best one for the job, until then
        world.run(100);
        world.faults.delayedStart = 1;
        world.submit("job", { step });
        const std::vector<std::string> workers = startsOf(world, "job.0.0.0", 50);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), workers.size());
        world.faults = {};
        world.run(lostAfterMs);
        for (int i = 0; i < terms; ++i) {
            world.replaceTerm();
            world.run(300);
        }
        for (int i = 0; i < 250; ++i) {
            world.restartWorker(indexOf(world, workers[0]));
            world.step();
        }
    }

public:
    // Guards against a start of a term that was killed, which a worker carries out after a restart beside the run that
    // the next term has started elsewhere (review case 14).
    void openStartsOfALostTermDoNotRunBesideTheNextRun()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            for (const Millis lostAfterMs : { 200, 800, 2500 }) {
                for (const int terms : { 1, 2 }) {
                    for (const bool isLasting : { false, true }) {
                        World world(seed, 3);
                        loseTermAfterUnansweredStart(world,
                            isLasting ? lastingStep(1, 3000, "image") : plainStep(1, 3000, 20000), lostAfterMs, terms);
                        CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed) + ", lost after "
                                + std::to_string(lostAfterMs) + " ms, " + std::to_string(terms) + " terms",
                            std::string(), world.violation());
                        world.run(30000, 100);
                        CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
                        if (isLasting)
                            CPPUNIT_ASSERT_EQUAL(1, world.runningTasks());
                        else
                            CPPUNIT_ASSERT(world.committedState("job") == scheduler::JobState::Completed);
                    }
                }
            }
        }
    }

    // Guards against the same where the term is lost before the stored table has the start; the worker drains at first.
    void startsSentRightBeforeATermIsLostDoNotRunBesideTheNextRun()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            World world(seed, 3);
            world.leavesOutKnownRed = false;
            world.run(500);
            world.faults.delayedStart = 1;
            world.submit("job", { plainStep(1, 3000, 20000) });
            const std::vector<std::string> workers = startsOf(world, "job.0.0.0", 50);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), workers.size());
            world.faults = {};
            world.replaceTerm();
            SimWorker& first = world.worker(indexOf(world, workers[0]));
            first.entry.isDraining = true;
            first.entry.remainingMs = 2000;
            world.run(150);
            first.entry.isDraining = false;
            for (int i = 0; i < 250; ++i) {
                world.restartWorker(indexOf(world, workers[0]));
                world.step();
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(), world.violation());
        }
    }

    // Guards against two open starts of a task on one worker, whose next incarnation carries both out, the lower run
    // first.
    void openStartsOfOneTaskDoNotRunBesideEachOther()
    {
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            World world(seed, 1);
            world.leavesOutKnownRed = false;
            world.run(500);
            world.faults.delayedStart = 1;
            world.submit("job", { plainStep(1, 3000, 20000) });
            world.run(4000);
            world.faults = {};
            world.restartWorkerSilently(0);
            world.worker(0).reportsLostUntil = world.now() + 9000;
            world.run(9000);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(), world.violation());
        }
    }

    // Guards against tasks that wait after a lost term although no call for them is open: on one worker after another,
    // a run ends while its task could start again elsewhere only.
    void answeredStartsDoNotHoldTasksToTheirWorkerOverTerms()
    {
        World world(1, 4);
        world.run(500);
        world.submit("job", { plainStep(8, 2000, 30000) });
        world.run(1000);
        CPPUNIT_ASSERT_EQUAL(8, world.runningTasks());
        world.replaceTerm();
        world.run(1000);
        CPPUNIT_ASSERT(world.scheduler().openTasks.empty());
        SimWorker& lost = world.worker(0);
        const std::size_t tasks = lost.running.size();
        CPPUNIT_ASSERT(tasks > 0);
        world.restartWorker(0);
        world.worker(0).entry.isDraining = true;
        world.worker(0).entry.remainingMs = 1000;
        world.run(1000);
        CPPUNIT_ASSERT_EQUAL(8, world.runningTasks());
        CPPUNIT_ASSERT(world.worker(0).running.empty());
        CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
    }

    // Guards against a task that waits for a worker which has left for good between the terms.
    void openStartsOfGoneWorkersDoNotHoldTasks()
    {
        World world(1, 3);
        world.run(500);
        world.submit("job", { plainStep(1, 1000, 2000) });
        world.faults.isLeaderless = true;
        scheduler::OpenStartTable table;
        table.token = world.scheduler().token;
        table.starts["job.0.0.0"] = { "gone", 1, 1000000 };
        scheduler::Scheduler& state = world.scheduler();
        scheduler::applyOpenStarts(state, table, world.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), state.openTasks.size());
        world.faults.isLeaderless = false;
        world.run(500);
        CPPUNIT_ASSERT_EQUAL(1, world.runningTasks());
    }

    // Guards against a damaged table that is taken for one without open starts.
    void malformedTablesOfOpenStartsAreRejected()
    {
        scheduler::OpenStartTable table;
        table.token = 7;
        table.starts["a.0.0.1"] = { "w1", 65537, 123456 };
        const QByteArray bytes = scheduler::encodeOpenStarts(table);
        const auto copy = scheduler::decodeOpenStarts(bytes);
        CPPUNIT_ASSERT(copy.has_value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), copy->token);
        CPPUNIT_ASSERT_EQUAL(std::string("w1"), copy->starts.at("a.0.0.1").worker);
        CPPUNIT_ASSERT_EQUAL(scheduler::RunNumber(65537), copy->starts.at("a.0.0.1").run);
        CPPUNIT_ASSERT_EQUAL(Millis(123456), copy->starts.at("a.0.0.1").untilClockMs);
        for (const char* text : { "", "[]", R"({"token":7})", R"({"starts":[]})", R"({"token":7,"starts":[["a"]]})",
                 R"({"token":7,"starts":[["a",1,2,3]]})", R"({"token":7,"starts":[["a","w","r",3]]})" })
            CPPUNIT_ASSERT_MESSAGE(text, !scheduler::decodeOpenStarts(text).has_value());
        CPPUNIT_ASSERT(!scheduler::decodeOpenStarts(bytes.left(bytes.size() - 4)).has_value());
    }

    // Guards against a lasting task that needs most of a worker and never runs again, because small tasks take each
    // processor that becomes free.
    void largeRestartsDoNotStarveBehindSmallTasks()
    {
        World world(1, 4);
        world.submit("large", { lastingStep(1, 6000, "image") });
        world.run(1000);
        submitSmallTasks(world, 1000, 100);
        world.run(2000);
        drain(world, hostOf(world, "large.0.0.0"));
        world.run(100);
        assertDownTime(world, { "large.0.0.0" });
    }

    // Guards against the same for memory.
    void restartsDoNotStarveBehindTheMemoryOfSmallTasks()
    {
        World world(1, 4);
        Step large = lastingStep(1, 2000, "image");
        large.memoryMb = 24000;
        world.submit("large", { large });
        world.run(1000);
        submitSmallTasks(world, 500, 4000);
        world.run(2000);
        drain(world, hostOf(world, "large.0.0.0"));
        world.run(100);
        assertDownTime(world, { "large.0.0.0" });
    }

    // Guards against a lasting task that needs an approval and never runs again: the advice service is asked only about
    // workers with room, and small tasks take the room before it answers (review case 5).
    void restartsThatNeedApprovalDoNotStarveBehindSmallTasks()
    {
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            for (const int cpuMillicores : { 1500, 6000 }) {
                World world(seed, 12);
                const std::string job = "approved" + std::to_string(seed); // the approved workers depend on it
                world.submit(job, { lastingStep(2, cpuMillicores, "image") }, 3, 1, { true, 60, 2, 1500 });
                world.run(2000);
                submitSmallTasks(world, 1000, 100);
                world.run(2000);
                drain(world, hostOf(world, job + ".0.0.0"));
                world.run(100);
                assertDownTime(world, { job + ".0.0.0", job + ".0.0.1" });
            }
        }
    }

    // Guards against a hold that is passed over because an equal step has found no worker in the same plan.
    void severalRestartsOfOneImageAllGetRoom()
    {
        World world(1, 20);
        std::vector<std::string> tasks;
        for (const char* job : { "a", "b", "c" }) {
            world.submit(job, { lastingStep(1, 6000, "image") });
            tasks.push_back(job + std::string(".0.0.0"));
        }
        world.run(1000);
        for (int i = 0; i < 4; ++i)
            submitSmallTasks(world, 1000, 100, "small" + std::to_string(i));
        world.run(2000);
        for (const std::string& task : tasks)
            drain(world, hostOf(world, task));
        world.run(100);
        assertDownTime(world, tasks);
    }

    // Guards against many workers that stand idle for restarts while short tasks wait.
    void roomIsHeldOnFewWorkers()
    {
        World world(1, 12);
        for (int i = 0; i < 6; ++i)
            world.submit("large" + std::to_string(i), { lastingStep(1, 6000, "image") });
        world.run(1000);
        for (int i = 0; i < 2; ++i)
            submitSmallTasks(world, 1000, 100, "small" + std::to_string(i));
        world.run(2000);
        for (int i = 0; i < 6; ++i)
            drain(world, hostOf(world, "large" + std::to_string(i) + ".0.0.0"));
        world.run(1000);
        for (int i = 0; i < 200; ++i) { // six workers are left, and room is held on one of them at a time
            world.step();
            CPPUNIT_ASSERT(runningOf(world, "small") + 6 * runningOf(world, "large") >= 5 * 8);
        }
        CPPUNIT_ASSERT_EQUAL(6, runningOf(world, "large"));
    }

    // Guards against room that is held on a worker whose lasting tasks never leave it.
    void roomIsNotHeldWhereLastingTasksKeepIt()
    {
        World world(1, 3);
        for (int i = 0; i < 3; ++i)
            world.submit("large" + std::to_string(i), { lastingStep(1, 5000, "image") });
        world.run(1000);
        drain(world, hostOf(world, "large0.0.0.0"));
        world.run(1000);
        CPPUNIT_ASSERT(!isRunning(world, "large0.0.0.0"));
        CPPUNIT_ASSERT_EQUAL(std::string(), scheduler::findTask(world.scheduler(), "large0.0.0.0")->task->heldWorker);
        world.submit("small", { plainStep(6, 1000, 1000) });
        world.run(200);
        CPPUNIT_ASSERT_EQUAL(6, runningOf(world, "small"));
    }

    // Guards against room that stays held for a task that is not needed any more.
    void cancelledRestartsHoldNoRoom()
    {
        World world(1, 2);
        world.submit("large", { lastingStep(1, 6000, "image") });
        world.run(1000);
        submitSmallTasks(world, 1000, 100);
        world.run(1000);
        drain(world, hostOf(world, "large.0.0.0"));
        world.run(300);
        world.cancel("large");
        world.run(2500);
        CPPUNIT_ASSERT_EQUAL(8, runningOf(world, "small"));
    }

    // Guards against a few restarts that no worker can take, and whose searches leave none to the others.
    void restartsWithoutAnyWorkerDoNotUseUpTheSearches()
    {
        World world(1, 12);
        world.worker(11).entry.labels.push_back("special");
        for (int i = 0; i < 4; ++i) {
            Step special = lastingStep(1, 1000, "special");
            special.requiredLabel = "special";
            world.submit("special" + std::to_string(i), { special });
        }
        world.run(1000);
        world.submit("large", { lastingStep(1, 6000, "image") });
        world.run(1000);
        for (int i = 0; i < 3; ++i)
            submitSmallTasks(world, 1000, 100, "small" + std::to_string(i));
        world.run(2000);
        drain(world, "w11");
        drain(world, hostOf(world, "large.0.0.0"));
        world.run(100);
        assertDownTime(world, { "large.0.0.0" });
    }

    // Guards against a hold that stays on a worker whose runs take far longer than their estimates.
    void anotherWorkerIsChosenWhenTheRoomDoesNotCome()
    {
        World world(1, 4);
        world.submit("large", { lastingStep(1, 6000, "image") });
        world.run(1000);
        submitSmallTasks(world, 1000, 100);
        world.run(2000);
        drain(world, hostOf(world, "large.0.0.0"));
        const auto held = [&] { return scheduler::findTask(world.scheduler(), "large.0.0.0")->task->heldWorker; };
        for (int i = 0; i < 40 && held().empty(); ++i)
            world.step();
        CPPUNIT_ASSERT(!held().empty());
        for (SimWorker& worker : world.workers()) {
            for (auto& [name, run] : worker.running)
                run.endsAt += worker.entry.id == held() ? 40000 : 0;
        }
        assertDownTime(world, { "large.0.0.0" });
    }

    // Guards against room for a GPU that is not free yet and keeps out tasks that need none.
    void roomForAGpuDoesNotKeepOtherTasksOut()
    {
        World world(1, std::vector<scheduler::Capacity> { { 8000, 32000, 1 }, { 8000, 32000, 1 } });
        Step large = lastingStep(1, 1000, "image");
        large.gpus = 1;
        world.submit("large", { large });
        world.run(500);
        Step gpu = plainStep(1, 1000, 5000);
        gpu.gpus = 1;
        world.submit("gpu", { gpu });
        world.run(500);
        drain(world, hostOf(world, "large.0.0.0"));
        world.run(1000);
        world.submit("small", { plainStep(6, 1000, 1000) });
        world.run(500);
        CPPUNIT_ASSERT_EQUAL(6, runningOf(world, "small"));
    }

    // Guards against processors that stand idle for a restart while long tasks end one by one.
    void noRoomIsHeldBehindLongTasks()
    {
        World world(1, 2);
        world.submit("large", { lastingStep(1, 6000, "image") });
        world.run(1000);
        world.submit("long", { plainStep(5, 1000, 40000) });
        world.run(200);
        submitSmallTasks(world, 1000, 100);
        world.run(1000);
        drain(world, hostOf(world, "large.0.0.0"));
        world.run(4000);
        CPPUNIT_ASSERT_EQUAL(5, runningOf(world, "long"));
        CPPUNIT_ASSERT_EQUAL(3, runningOf(world, "small"));
    }

    // Guards against a task that has run and is taken for one that has not, because its last end was not stored before
    // the term was resigned.
    void restartsKeepTheirPlaceOverAResignationWithoutTheStore()
    {
        World world(1, 4);
        world.submit("large", { lastingStep(1, 6000, "image") });
        world.run(1000);
        submitSmallTasks(world, 1000, 100);
        submitSmallTasks(world, 1000, 100, "more");
        world.run(2000);
        const std::string host = hostOf(world, "large.0.0.0");
        for (SimWorker& worker : world.workers()) {
            if (worker.entry.id == host)
                worker.unreachableUntil = world.now() + 1000000;
        }
        world.faults.isStoreUnavailable = true;
        for (int i = 0; i < 300 && hostOf(world, "large.0.0.0") == host; ++i)
            world.step();
        world.resignTerm();
        world.faults.isStoreUnavailable = false;
        assertDownTime(world, { "large.0.0.0" });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerRestartTest);

} // namespace
