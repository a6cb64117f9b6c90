// Tests of the caps of client accounts: what counts against them, and that nothing else waits for them.
#include "scheduler_world.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing;
using scheduler::Account;
using scheduler::Millis;
using scheduler::Step;
using test::lastingStep;
using test::plainStep;
using test::World;

constexpr int workerCpu = 8000; // of the workers of World

scheduler::QueuePolicy policyOf(int priority = 0)
{
    scheduler::QueuePolicy policy;
    policy.name = "queue";
    policy.maxAttempts = 1000;
    policy.priority = priority;
    return policy;
}

Step fillingStep(int count, int cpuMillicores, int estimateMs)
{
    Step step = plainStep(count, cpuMillicores, estimateMs);
    step.isFilling = true;
    step.hasCheckpoints = true;
    step.image = "fill";
    return step;
}

Step gangStep(int count, int cpuMillicores, int estimateMs)
{
    Step step = plainStep(count, cpuMillicores, estimateMs);
    step.isGang = true;
    return step;
}

int cpuOf(const World& world, const std::string& account) { return world.runningOf(account).cpuMillicores; }

// Highest use of processors by the account until the end.
int highestCpu(World& world, const std::string& account, Millis length)
{
    int highest = 0;
    for (const Millis end = world.now() + length; world.now() < end;) {
        world.step();
        highest = std::max(highest, cpuOf(world, account));
    }
    return highest;
}

int linesOf(World& world, const std::string& event, const std::string& outcome, Millis length)
{
    int lines = 0;
    for (const Millis end = world.now() + length; world.now() < end;) {
        world.step();
        lines += static_cast<int>(std::count_if(world.decisions().begin(), world.decisions().end(),
            [&](const auto& decision) { return decision.event == event && decision.outcome == outcome; }));
    }
    return lines;
}

class AccountCapTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AccountCapTest);
    CPPUNIT_TEST(stepsWiderThanTheCapRunInWaves);
    CPPUNIT_TEST(othersDoNotWaitForACap);
    CPPUNIT_TEST(fillingTasksCount);
    CPPUNIT_TEST(gangsStartAsAWhole);
    CPPUNIT_TEST(aTaskLargerThanTheCapRunsAlone);
    CPPUNIT_TEST(aLoweredCapStopsNothing);
    CPPUNIT_TEST(lastingTasksReturnWithinTheCap);
    CPPUNIT_TEST(aWideTaskIsNotStarved);
    CPPUNIT_TEST(aWideTaskBesideALongOneDoesNotStopItsAccount);
    CPPUNIT_TEST(aNewTermCountsStartsInFlight);
    CPPUNIT_TEST(aNewTermStartsWhereEnoughIsAccountedFor);
    CPPUNIT_TEST(cancelledRunsCountInTheNextTerm);
    CPPUNIT_TEST(cancelledRunsCountOverSeveralTerms);
    CPPUNIT_TEST(noRoomIsKeptForATaskWithoutAWorker);
    CPPUNIT_TEST(strayRunsCount);
    CPPUNIT_TEST(roomIsHeldOnlyWithinTheCap);
    CPPUNIT_TEST(movesDependOnTheCaps);
    CPPUNIT_TEST(randomSchedulesStayWithinTheCaps);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a cap that is checked once per step, and against one that binds where there is no limit.
    void stepsWiderThanTheCapRunInWaves()
    {
        World world(1, 10);
        world.setAccounts({ { "a", 1, { 5000, 0, 0 } }, { "b", 1, {} } });
        world.submit("wide", { plainStep(20, 1000, 1000) }, policyOf(), "a");
        world.submit("free", { plainStep(20, 1000, 1000) }, policyOf(), "b");
        world.step();
        world.step();
        CPPUNIT_ASSERT_EQUAL(5000, cpuOf(world, "a"));
        CPPUNIT_ASSERT_EQUAL(20000, cpuOf(world, "b"));
        CPPUNIT_ASSERT_EQUAL(5000, highestCpu(world, "a", 7000));
        CPPUNIT_ASSERT(world.committedState("wide") == scheduler::JobState::Completed);
    }

    // Guards against the plan skipping equal tasks of other accounts after one has waited for its cap.
    void othersDoNotWaitForACap()
    {
        World world(1, 10);
        world.setAccounts({ { "a", 1, { 1000, 0, 0 } }, { "b", 1, { 50000, 0, 0 } } });
        world.submit("a", { plainStep(10, 1000, 60000) }, policyOf(), "a");
        world.submit("b", { plainStep(10, 1000, 60000) }, policyOf(), "b");
        world.submit("none", { plainStep(10, 1000, 60000) }, policyOf());
        world.submit("unknown", { plainStep(10, 1000, 60000) }, policyOf(), "gone");
        world.run(200);
        CPPUNIT_ASSERT_EQUAL(1000, cpuOf(world, "a"));
        CPPUNIT_ASSERT_EQUAL(10000, cpuOf(world, "b"));
        CPPUNIT_ASSERT_EQUAL(10000, cpuOf(world, ""));
        CPPUNIT_ASSERT_EQUAL(10000, cpuOf(world, "gone"));
    }

    // Guards against filling tasks that are left out because they do not count against processors of workers.
    void fillingTasksCount()
    {
        World world(1, 10);
        world.setAccounts({ { "a", 1, { 4000, 0, 0 } }, { "m", 1, { 0, 300, 0 } } });
        world.submit("a", { fillingStep(20, 1000, 2000), plainStep(5, 1000, 2000) }, policyOf(), "a");
        world.submit("m", { fillingStep(20, 1000, 2000) }, policyOf(), "m");
        CPPUNIT_ASSERT_EQUAL(4000, highestCpu(world, "a", 6000));
        CPPUNIT_ASSERT_EQUAL(3000, highestCpu(world, "m", 6000));
    }

    // Guards against a gang of which a part starts, and against one that exceeds a lowered cap.
    void gangsStartAsAWhole()
    {
        World world(1, 10);
        world.setAccounts({ { "a", 1, { 5000, 0, 0 } } });
        world.submit("first", { plainStep(1, 2000, 1000) }, policyOf(), "a");
        world.step();
        world.step();
        world.submit("gang", { gangStep(4, 1000, 3000) }, policyOf(), "a");
        world.submit("larger", { gangStep(6, 1000, 3000) }, policyOf(), "a");
        world.run(500);
        CPPUNIT_ASSERT_EQUAL(2000, cpuOf(world, "a"));
        CPPUNIT_ASSERT_EQUAL(4000, highestCpu(world, "a", 6000));
        CPPUNIT_ASSERT(world.committedState("gang") == scheduler::JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(0, world.starts("larger.0.0.0"));
    }

    // Guards against a task that never runs, and against one that runs beside others.
    void aTaskLargerThanTheCapRunsAlone()
    {
        World world(1, 10);
        world.setAccounts({ { "a", 1, { 3000, 0, 0 } } });
        world.submit("small", { plainStep(4, 1000, 500) }, policyOf(), "a");
        world.submit("large", { plainStep(2, 6000, 500) }, policyOf(), "a");
        CPPUNIT_ASSERT_EQUAL(6000, highestCpu(world, "a", 8000));
        CPPUNIT_ASSERT(world.committedState("small") == scheduler::JobState::Completed);
        CPPUNIT_ASSERT(world.committedState("large") == scheduler::JobState::Completed);
    }

    // Guards against stops for a lowered cap, and against starts before the usage leaves room.
    void aLoweredCapStopsNothing()
    {
        World world(1, 10);
        world.setAccounts({ { "a", 1, { 8000, 0, 0 } } });
        world.submit("first", { plainStep(8, 1000, 3000) }, policyOf(), "a");
        world.run(200);
        world.setAccounts({ { "a", 1, { 2000, 0, 0 } } });
        world.submit("next", { plainStep(4, 1000, 1000) }, policyOf(), "a");
        CPPUNIT_ASSERT_EQUAL(1, linesOf(world, "accountCap", "reached", 2000));
        CPPUNIT_ASSERT_EQUAL(8000, cpuOf(world, "a"));
        CPPUNIT_ASSERT_EQUAL(0, world.starts("next.0.0.0"));
        CPPUNIT_ASSERT_EQUAL(1, linesOf(world, "accountCap", "below", 10000));
        CPPUNIT_ASSERT(world.committedState("next") == scheduler::JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(1, world.starts("first.0.0.7"));
    }

    // Guards against short tasks that take the cap while a lasting task restarts.
    void lastingTasksReturnWithinTheCap()
    {
        World world(1, 4);
        world.setAccounts({ { "a", 1, { 8000, 0, 0 } } });
        world.submit("serving", { lastingStep(4, 1500, "s") }, policyOf(), "a");
        world.run(500);
        for (int i = 0; i < 40; ++i)
            world.submit("short" + std::to_string(i), { plainStep(2, 500, 700) }, policyOf(), "a");
        world.run(500);
        for (int i = 0; i < 4; ++i) {
            world.restartWorker(i);
            world.run(2500);
            CPPUNIT_ASSERT(cpuOf(world, "a") >= 4 * 1500);
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
    }

    // Guards against small tasks of an account that take its cap for ever before a wide one.
    void aWideTaskIsNotStarved()
    {
        World world(1, 10);
        world.setAccounts({ { "a", 100, { 8000, 0, 0 } } });
        for (int i = 0; i < 200; ++i) {
            world.submit("small" + std::to_string(i), { plainStep(4, 1000, 700) }, policyOf(), "a");
            if (i == 10)
                world.submit("wide", { plainStep(1, 6000, 700) }, policyOf(), "a");
            world.run(200);
            if (world.committedState("wide") == scheduler::JobState::Completed)
                break;
        }
        CPPUNIT_ASSERT(world.now() < 100000 + 2200 + 6000);
    }

    // Guards against room that is kept for a wide task until a long one ends, although the account uses little of its
    // cap: its small jobs must not wait for the 3000 ms after which they count as lost.
    void aWideTaskBesideALongOneDoesNotStopItsAccount()
    {
        World world(1, 10);
        world.setAccounts({ { "a", 100, { 8000, 0, 0 } } });
        world.submit("long", { plainStep(1, 1000, 600000) }, policyOf(), "a");
        world.run(500);
        world.submit("wide", { plainStep(1, 7500, 700) }, policyOf(), "a");
        world.run(3000);
        for (int i = 0; i < 10; ++i) {
            const std::string id = "small" + std::to_string(i);
            world.submit(id, { plainStep(1, 500, 300) }, policyOf(), "a");
            world.run(2900);
            CPPUNIT_ASSERT_MESSAGE(id, world.starts(id + ".0.0.0") > 0);
        }
    }

    // Guards against a term that begins with starts in flight and forgets them: the worker that executed them cannot be
    // reached, so that only its lease ends them.
    void aNewTermCountsStartsInFlight()
    {
        World world(3, 4);
        world.setAccounts({ { "a", 1, { 9000, 0, 0 } } });
        world.faults.lostAnswer = 1;
        world.submit("old", { plainStep(9, 1000, 60000) }, policyOf(), "a");
        world.step();
        world.step();
        CPPUNIT_ASSERT_EQUAL(9000, cpuOf(world, "a"));
        world.faults.lostAnswer = 0;
        for (int i = 0; i < 2; ++i)
            world.worker(i).unreachableUntil = world.now() + 5000;
        world.replaceTerm();
        world.submit("new", { plainStep(9, 1000, 60000) }, policyOf(), "a");
        CPPUNIT_ASSERT_EQUAL(9000, highestCpu(world, "a", 15000));
        CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
    }

    // Guards against an account that waits for one unreachable worker although it has room for all that this one can
    // run: the backlog of tasks that never started does not count further.
    void aNewTermStartsWhereEnoughIsAccountedFor()
    {
        World world(3, 10);
        world.setAccounts({ { "a", 100, { 40000, 0, 0 } }, { "b", 100, { workerCpu, 0, 0 } } });
        world.submit("old", { plainStep(200, 1000, 60000) }, policyOf(), "a");
        world.submit("filled", { plainStep(200, 1000, 60000) }, policyOf(), "b");
        world.run(200);
        world.worker(0).unreachableUntil = world.now() + 3000;
        world.replaceTerm();
        world.submit("new", { plainStep(8, 1000, 500) }, policyOf(-1), "a");
        world.submit("blocked", { plainStep(1, 1000, 500) }, policyOf(-1), "b");
        for (std::size_t i = 1; i < world.workers().size(); ++i) {
            for (auto& [task, run] : world.workers()[i].running)
                run.endsAt = run.account == "a" ? world.now() + 100 : 0;
        }
        world.run(800);
        CPPUNIT_ASSERT(world.starts("new.0.0.0") > 0);
        CPPUNIT_ASSERT_EQUAL(0, world.starts("blocked.0.0.0"));
        CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
    }

    // Guards against runs of ended jobs that a new term does not count while their worker is unreachable.
    void cancelledRunsCountInTheNextTerm()
    {
        World world(3, 2);
        world.setAccounts({ { "a", 1, { 6000, 0, 0 } } });
        world.submit("old", { plainStep(6, 1000, 60000) }, policyOf(), "a");
        world.run(200);
        for (int i = 0; i < 2; ++i)
            world.worker(i).unreachableUntil = world.now() + (i == 0 ? 6000 : 100);
        world.cancel("old");
        world.step();
        world.replaceTerm();
        world.submit("new", { plainStep(6, 1000, 60000) }, policyOf(), "a");
        CPPUNIT_ASSERT_EQUAL(6000, highestCpu(world, "a", 15000));
        CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
    }

    // Guards against a second change of term for which the record of the ended job no longer names its account.
    void cancelledRunsCountOverSeveralTerms()
    {
        World world(3, 2);
        world.setAccounts({ { "a", 1, { 6000, 0, 0 } } });
        world.submit("old", { plainStep(6, 1000, 60000) }, policyOf(), "a");
        world.run(200);
        world.cancel("old");
        world.worker(0).unreachableUntil = world.now() + 6000;
        world.step();
        for (int i = 0; i < 3; ++i) {
            world.replaceTerm();
            world.run(300);
        }
        world.submit("new", { plainStep(6, 1000, 60000) }, policyOf(), "a");
        CPPUNIT_ASSERT_EQUAL(6000, highestCpu(world, "a", 15000));
    }

    // Guards against room under the cap that is kept for a task that has no worker.
    void noRoomIsKeptForATaskWithoutAWorker()
    {
        World world(1, 4);
        world.setAccounts({ { "a", 100, { 8000, 0, 0 } } });
        world.submit("running", { plainStep(4, 1000, 60000) }, policyOf(), "a");
        Step wide = plainStep(1, 6000, 1000);
        wide.requiredLabel = "missing";
        world.submit("wide", { wide }, policyOf(), "a");
        world.run(3000);
        world.submit("small", { plainStep(4, 1000, 60000) }, policyOf(), "a");
        world.run(200);
        CPPUNIT_ASSERT_EQUAL(8000, cpuOf(world, "a"));
    }

    // Guards against runs that no task needs and that are left out until their stop arrives.
    void strayRunsCount()
    {
        World world(3, 2);
        world.setAccounts({ { "a", 1, { 6000, 0, 0 } } });
        world.submit("old", { plainStep(6, 1000, 4000) }, policyOf(), "a");
        world.run(200);
        world.faults.lostStop = 1;
        world.cancel("old");
        world.step();
        for (int i = 0; i < 3; ++i) { // the later terms must not have forgotten the account of the ended job
            world.replaceTerm();
            world.run(300);
        }
        world.submit("new", { plainStep(6, 1000, 1000) }, policyOf(), "a");
        CPPUNIT_ASSERT_EQUAL(6000, highestCpu(world, "a", 8000));
        CPPUNIT_ASSERT(world.committedState("new") == scheduler::JobState::Completed);
    }

    // Guards against room that is held for more restarts than the cap has room for: two tasks lose their workers, the
    // others are full, and the cap has been lowered so that one may return.
    void roomIsHeldOnlyWithinTheCap()
    {
        World world(1, 4);
        world.setAccounts({ { "a", 1, { 6000, 0, 0 } } });
        Step serving = lastingStep(4, 1500, "s");
        serving.maxPerWorker = 1;
        world.submit("serving", { serving }, policyOf(), "a");
        world.run(500);
        world.setAccounts({ { "a", 1, { 4500, 0, 0 } } });
        world.scheduler().jobs.at("serving")->request.steps.front().maxPerWorker = 0;
        world.submit("other", { plainStep(400, 1000, 2500) }, policyOf());
        world.run(500);
        for (int i = 0; i < 2; ++i)
            world.worker(i).unreachableUntil = world.now() + 60000;
        std::set<std::string> tasks;
        for (int i = 0; i < 300; ++i) {
            world.step();
            for (const scheduler::Decision& decision : world.decisions()) {
                if (decision.event == "roomHeld")
                    tasks.insert(decision.task);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), tasks.size());
    }

    // Guards against serving tasks that are moved although their account, whose cap has been lowered, has no room for
    // them to return, and against moves for filling tasks that wait for a cap.
    void movesDependOnTheCaps()
    {
        const std::vector<std::pair<Account, bool>> cases { { { "f", 1, {} }, true },
            { { "a", 1, { 6000, 0, 0 } }, false }, { { "f", 1, { 4000, 0, 0 } }, false } };
        for (const auto& [account, hasMoves] : cases) {
            World world(1, 8);
            for (int i = 0; i < 8; ++i) { // one task on each worker
                world.submit("kept" + std::to_string(i), { lastingStep(1, 1500, "serving") }, policyOf(), "a");
                world.submit("ended" + std::to_string(i), { lastingStep(1, 6500, "serving") }, policyOf());
                world.run(200);
            }
            world.run(1000);
            for (int i = 0; i < 8; ++i)
                world.cancel("ended" + std::to_string(i));
            world.run(2000);
            world.submit("plain", { plainStep(1, 4000, 60000) }, policyOf(), "f");
            world.run(200);
            world.setAccounts({ account });
            world.submit("fill", { fillingStep(60, 4000, 1000) }, policyOf(), "f");
            const int vacated = linesOf(world, "workerVacated", "vacating", 8000);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(account.name, hasMoves, vacated > 0);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(account.name, hasMoves, world.scheduler().servingMoves > 0);
        }
    }

    // Guards against starts beyond a cap with lost answers, partitions, crashes and changes of term.
    void randomSchedulesStayWithinTheCaps()
    {
        for (std::uint64_t seed = 1; seed <= 12; ++seed) {
            World world(seed, 6);
            world.faults.lostAnswer = 0.1;
            world.faults.lostStop = 0.1;
            world.faults.failedRun = 0.05;
            world.faults.partitionPerStep = 0.004;
            world.faults.crashPerStep = 0.002;
            world.faults.termPerStep = 0.006;
            world.faults.resignPerStep = 0.002;
            world.faults.lostCommitAnswer = 0.05;
            world.faults.delayedStart = seed % 2 == 0 ? 0.03 : 0;
            world.faults.stopMs = seed % 3 == 0 ? 300 : 0;
            world.setAccounts({ { "a", 5, { 9000, 2000, 0 } }, { "b", 5, { 4000, 0, 0 } }, { "c", 5, {} } });
            base::Rng rng(seed);
            for (int i = 0; i < 60; ++i) {
                const std::string account(1, static_cast<char>('a' + base::below(rng, 3)));
                Step step = plainStep(1 + static_cast<int>(base::below(rng, 6)), 1000, 600);
                step.isFilling = base::chance(rng, 0.2);
                step.isGang = !step.isFilling && step.count <= 4 && base::chance(rng, 0.3);
                step.isLasting = !step.isFilling && !step.isGang && step.count <= 2 && base::chance(rng, 0.2);
                const std::string id = "j" + std::to_string(i);
                world.submit(id, { step }, policyOf(), account);
                world.run(500);
                if (base::chance(rng, 0.3))
                    world.cancel("j" + std::to_string(base::below(rng, static_cast<std::uint64_t>(i) + 1)));
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(), world.violation());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AccountCapTest);

} // namespace
