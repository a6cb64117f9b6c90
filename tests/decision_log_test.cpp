// Tests of the bounded list of decisions that wait to be logged.
#include "scheduler/internal.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing;
using scheduler::Decision;
using scheduler::Scheduler;

class DecisionLogTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DecisionLogTest);
    CPPUNIT_TEST(startsLeaveRoomForTheEndOfAccounting);
    CPPUNIT_TEST(droppedDecisionsAreCounted);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecisionLogTest);

} // namespace
