// Tests of the admission of events to a bounded queue.
#include "base/event_budget.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing::base;

class EventBudgetTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EventBudgetTest);
    CPPUNIT_TEST(routineEventsLeaveTheShareOfSignificantOnes);
    CPPUNIT_TEST(routineEventsLeaveAShareOfTrackedOnes);
    CPPUNIT_TEST(trackedEventsLeaveTheRestToSignificantOnes);
    CPPUNIT_TEST(oneKindLeavesRoomForRareKinds);
    CPPUNIT_TEST(theLimitHoldsForAllEvents);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t limit = 320;

    EventBudget m_budget;
    std::size_t m_used = 0;

    bool admit(Significance significance, const std::string& kind)
    {
        const bool isAdmitted = admitEvent(m_budget, significance, kind, m_used, 1, limit);
        m_used += isAdmitted ? 1 : 0;
        return isAdmitted;
    }

    int admitMany(Significance significance, const std::string& kind)
    {
        int admitted = 0;
        for (std::size_t i = 0; i < 2 * limit; ++i)
            admitted += admit(significance, kind) ? 1 : 0;
        return admitted;
    }

public:
    // Guards against significant events that are dropped in favour of routine ones.
    void routineEventsLeaveTheShareOfSignificantOnes()
    {
        CPPUNIT_ASSERT_EQUAL(240, admitMany(Significance::Routine, "start"));
        for (int i = 0; i < 70; ++i)
            CPPUNIT_ASSERT(admit(Significance::Significant, "workerContact"));
    }

    // Guards against holes in a record of few events that are dropped in favour of routine ones.
    void routineEventsLeaveAShareOfTrackedOnes()
    {
        admitMany(Significance::Routine, "start");
        for (int i = 0; i < 40; ++i)
            CPPUNIT_ASSERT(admit(Significance::Tracked, "start"));
        CPPUNIT_ASSERT(!admit(Significance::Routine, "start"));
    }

    // Guards against significant events that are dropped in favour of tracked ones, of one kind or of many.
    void trackedEventsLeaveTheRestToSignificantOnes()
    {
        CPPUNIT_ASSERT_EQUAL(280, admitMany(Significance::Tracked, "start"));
        CPPUNIT_ASSERT_EQUAL(0, admitMany(Significance::Tracked, "taskEnded"));
        CPPUNIT_ASSERT_EQUAL(30, admitMany(Significance::Significant, "workerContact"));
        CPPUNIT_ASSERT(admit(Significance::Significant, "termEnded"));
    }

    // Guards against the loss of many workers at once that hides the change of term that it causes.
    void oneKindLeavesRoomForRareKinds()
    {
        CPPUNIT_ASSERT_EQUAL(310, admitMany(Significance::Significant, "workerContact"));
        CPPUNIT_ASSERT(admit(Significance::Significant, "termEnded"));
        CPPUNIT_ASSERT(!admit(Significance::Significant, "workerContact"));
        renew(m_budget);
        CPPUNIT_ASSERT(admit(Significance::Significant, "workerContact"));
    }

    // Guards against a queue that grows without bound, also with more kinds than are counted.
    void theLimitHoldsForAllEvents()
    {
        for (int i = 0; i < 2000; ++i)
            admit(Significance::Significant, "kind" + std::to_string(i % 100));
        CPPUNIT_ASSERT_EQUAL(limit, m_used);
        m_used = 0;
        for (int i = 0; i < 2000; ++i)
            admit(Significance::Significant, "kind" + std::to_string(i));
        CPPUNIT_ASSERT(m_used <= limit);
        CPPUNIT_ASSERT(m_budget.admitted.size() <= maxKinds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventBudgetTest);

} // namespace
