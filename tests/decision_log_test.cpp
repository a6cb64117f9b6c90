// Tests of the bounded list of decisions that wait to be logged.
#include "scheduler/internal.h"
#include "scheduler_world.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace {

using namespace lacewing;
using scheduler::Decision;
using scheduler::Scheduler;

// Each step begins with more starts of short tasks than fit into the list.
class BusyWorld : public test::World {
public:
    using World::World;

protected:
    void updateRuns(test::Millis /*length*/) override
    {
        for (int i = 0; i < 10000; ++i)
            scheduler::logDecision(scheduler(), { "start", "job", "job.0.0.0", "worker", 1, "ordered", {} });
    }
};

// Events of the tasks of job `kept` that are logged while starts, answers and stops are lost, workers restart and terms
// change.
std::set<std::string> loggedEvents(const scheduler::Step& step, int steps)
{
    BusyWorld world(1, 4);
    world.faults.delayedStart = 0.1;
    world.faults.failedRun = 0.1;
    world.submit("kept", { step });
    world.submit("cancelled", { step });
    std::set<std::string> events;
    for (int i = 0; i < steps; ++i) {
        if (i % 40 == 20)
            world.restartWorker(i / 40 % 4);
        if (i % 100 == 50)
            world.replaceTerm();
        if (i == steps / 2)
            world.cancel("cancelled");
        world.step();
        for (const Decision& decision : world.decisions()) {
            if (decision.job == "kept" || decision.job == "cancelled")
                events.insert(std::string(decision.event));
        }
    }
    return events;
}

class DecisionLogTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DecisionLogTest);
    CPPUNIT_TEST(startsLeaveRoomForTheEndOfAccounting);
    CPPUNIT_TEST(droppedDecisionsAreCounted);
    CPPUNIT_TEST(burstsOfShortTasksLeaveTheLinesOfLastingTasks);
    CPPUNIT_TEST(linesOfShortTasksStayWithinTheirShare);
    CPPUNIT_TEST(linesOfLastingTasksLeaveRoomForLostWorkers);
    CPPUNIT_TEST_SUITE_END();

    static void logStarts(Scheduler& state, int count)
    {
        for (int i = 0; i < count; ++i)
            scheduler::logDecision(state, { "start", "job", "job.0.0.0", "worker", 1, "ordered", {} });
    }

public:
    // Guards against `termAccounted` and lost workers that are missing from the log because many tasks start at once.
    void startsLeaveRoomForTheEndOfAccounting()
    {
        Scheduler state;
        logStarts(state, 10000);
        for (int i = 0; i < 350; ++i)
            scheduler::logDecision(state, { "workerContact", {}, {}, "worker", 0, "lost", {} });
        scheduler::logDecision(state, { "termAccounted", {}, {}, {}, 0, "unknown tasks may start", {} });
        const std::vector<Decision> taken = scheduler::takeDecisions(state);
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(350),
            std::count_if(taken.begin(), taken.end(), [](const Decision& d) { return d.event == "workerContact"; }));
        CPPUNIT_ASSERT(taken.back().event == "termAccounted");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), state.droppedDecisions.significant);
    }

    // Guards against decisions that are dropped without a count.
    void droppedDecisionsAreCounted()
    {
        Scheduler state;
        logStarts(state, 10000);
        const auto kept = static_cast<std::uint64_t>(scheduler::takeDecisions(state).size());
        CPPUNIT_ASSERT(kept <= 2000);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10000), kept + state.droppedDecisions.routine);
        CPPUNIT_ASSERT(state.decisions.empty());
    }

    // Guards against holes in the record of a single lasting task on seconds with many starts of short tasks.
    void burstsOfShortTasksLeaveTheLinesOfLastingTasks()
    {
        const std::set<std::string> events = loggedEvents(test::lastingStep(4, 1000, "serving"), 400);
        for (const char* event : { "runMissing", "start", "startAnswered", "stop", "taskAdopted", "taskEnded" })
            CPPUNIT_ASSERT_MESSAGE(event, events.count(event) > 0);
    }

    // Guards against a share that is used up by the lines that it is kept from.
    void linesOfShortTasksStayWithinTheirShare()
    {
        const std::set<std::string> events = loggedEvents(test::plainStep(4, 1000, 600), 100);
        for (const char* event : { "runMissing", "start", "startAnswered", "stop", "taskAdopted", "taskEnded" })
            CPPUNIT_ASSERT_MESSAGE(event, events.count(event) == 0);
    }

    // Guards against lost workers that are missing from the log because all lasting tasks start at once.
    void linesOfLastingTasksLeaveRoomForLostWorkers()
    {
        Scheduler state;
        for (int i = 0; i < 10000; ++i) {
            Decision decision { "start", "job", "job.0.0.0", "worker", 1, "ordered", {} };
            decision.isOfLastingTask = true;
            scheduler::logDecision(state, std::move(decision));
        }
        const auto kept = static_cast<std::uint64_t>(state.decisions.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10000), kept + state.droppedDecisions.significant);
        for (int i = 0; i < 150; ++i)
            scheduler::logDecision(state, { "workerContact", {}, {}, "worker", 0, "lost", {} });
        scheduler::logDecision(state, { "termAccounted", {}, {}, {}, 0, "unknown tasks may start", {} });
        CPPUNIT_ASSERT_EQUAL(std::size_t(kept) + 151, scheduler::takeDecisions(state).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecisionLogTest);

} // namespace
