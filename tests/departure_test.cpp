// Tests of reading from workers that leave at short notice: the next notices and the ends of stops are read in time.
#include "scheduler/departure.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing::scheduler;

constexpr Millis usualMs = 1000;

WorkerEntry entryOf(const std::string& id, bool isDraining, Millis remainingMs)
{
    WorkerEntry entry;
    entry.id = id;
    entry.address = "10.0.0.1:80";
    entry.isDraining = isDraining;
    entry.remainingMs = remainingMs;
    return entry;
}

class DepartureTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DepartureTest);
    CPPUNIT_TEST(noticesInSeriesAreReadSooner);
    CPPUNIT_TEST(longNoticesDoNotCostMoreLists);
    CPPUNIT_TEST(reportsOfDrainingWorkersAreNotHeldBack);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against short notices that are read up to a whole period late although others came just before.
    void noticesInSeriesAreReadSooner()
    {
        Scheduler state;
        setWorkers(state, { entryOf("a", false, 0) }, 10000);
        CPPUNIT_ASSERT_EQUAL(usualMs, workerListPeriodMs(state, usualMs, 10000));
        setWorkers(state, { entryOf("a", true, 2000) }, 11000);
        for (Millis now = 11000; now <= 15000; now += 1000)
            CPPUNIT_ASSERT(workerListPeriodMs(state, usualMs, now) <= 300);
        CPPUNIT_ASSERT_EQUAL(Millis(200), workerListPeriodMs(state, 200, 12000));
        // The worker that stays listed is no new notice.
        setWorkers(state, { entryOf("a", true, 2000) }, 15000);
        CPPUNIT_ASSERT_EQUAL(usualMs, workerListPeriodMs(state, usualMs, 16000));
        setWorkers(state, { entryOf("a", true, 2000), entryOf("b", true, 2500) }, 17000);
        CPPUNIT_ASSERT(workerListPeriodMs(state, usualMs, 17000) <= 300);
    }

    // Guards against more calls to the store in a planned scale-in, whose notices leave time for the stops.
    void longNoticesDoNotCostMoreLists()
    {
        Scheduler state;
        setWorkers(state, { entryOf("a", true, 7000) }, 10000);
        CPPUNIT_ASSERT_EQUAL(usualMs, workerListPeriodMs(state, usualMs, 10000));
    }

    // Guards against the end of a stop that is not read before the worker is gone, so that its task waits for the
    // lease.
    void reportsOfDrainingWorkersAreNotHeldBack()
    {
        Scheduler state;
        setWorkers(state, { entryOf("a", false, 0) }, 10000);
        Worker& worker = state.workers.at("a");
        worker.reportedAt = 10000;
        worker.unacknowledged.push_back({ 1, "job", "job.0.0.0", 1 });
        CPPUNIT_ASSERT(!isReportHeldBack(state, worker, 10100));
        state.dirty.insert("job");
        CPPUNIT_ASSERT(isReportHeldBack(state, worker, 10100));
        CPPUNIT_ASSERT(!isReportHeldBack(state, worker, 10300));
        setWorkers(state, { entryOf("a", true, 2000) }, 10100);
        CPPUNIT_ASSERT(!isReportHeldBack(state, worker, 10100));
        setWorkers(state, { entryOf("a", false, 0) }, 10200);
        CPPUNIT_ASSERT(isReportHeldBack(state, worker, 10200));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DepartureTest);

} // namespace
