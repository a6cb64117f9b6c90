// Tests of reading from workers that leave at short notice: the next notices and the ends of stops are read in time.
#include "scheduler/departure.h"
#include "scheduler_world.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing;
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
    CPPUNIT_TEST(noticesReadLateCountFromTheListBefore);
    CPPUNIT_TEST(tasksDoNotWaitForLeasesRenewedAfterTheNotice);
    CPPUNIT_TEST(leasesAreNotRenewedAgainWhileAnAnnouncedWorkerIsStillThere);
    CPPUNIT_TEST(workersThatStayLongerThanAnnouncedKeepTheirLease);
    CPPUNIT_TEST(leasesAreRenewedWhileADepartureIsFarAway);
    CPPUNIT_TEST_SUITE_END();

    static test::SimWorker& hostOf(test::World& world, const std::string& task)
    {
        return *std::find_if(world.workers().begin(), world.workers().end(),
            [&](const test::SimWorker& worker) { return worker.running.count(task) > 0; });
    }

    static void drain(test::SimWorker& worker, Millis remainingMs)
    {
        worker.entry.isDraining = true;
        worker.entry.remainingMs = remainingMs;
    }

public:
    // Guards against stops that are ordered too late, because a notice is older than the list that shows it.
    void noticesReadLateCountFromTheListBefore()
    {
        Scheduler state;
        setWorkers(state, { entryOf("a", true, 2000) }, 9900, 10000);
        CPPUNIT_ASSERT_EQUAL(Millis(12000), state.workers.at("a").drainEndsAt); // no list before it
        setWorkers(state, { entryOf("a", false, 0) }, 10900, 11000);
        CPPUNIT_ASSERT_EQUAL(Millis(0), state.workers.at("a").drainEndsAt);
        setWorkers(state, { entryOf("a", true, 2000) }, 11900, 12000);
        CPPUNIT_ASSERT_EQUAL(Millis(12900), state.workers.at("a").drainEndsAt);
        setWorkers(state, { entryOf("a", true, 1000) }, 12900, 13000); // the same notice
        CPPUNIT_ASSERT_EQUAL(Millis(12900), state.workers.at("a").drainEndsAt);
    }

    // Guards against tasks that stay down for the whole length of a lease after their worker has left.
    void tasksDoNotWaitForLeasesRenewedAfterTheNotice()
    {
        constexpr Millis noticeMs = 2000;
        constexpr Millis leaseOverMs = 6700; // after the last renewal: the slowest clock, a call in flight, the margin
        constexpr Millis restartMs = 500;
        for (const bool isTermLost : { false, true }) {
            test::World world(1, 4);
            world.submit("job", { test::lastingStep(1, 3000, "image") });
            world.run(1000);
            world.faults.lostStop = 1;
            test::SimWorker& host = hostOf(world, "job.0.0.0");
            drain(host, noticeMs);
            const Millis noticeAt = world.now();
            world.run(noticeMs);
            host.running.clear();
            host.unreachableUntil = world.now() + 1000000;
            if (isTermLost) {
                world.faults.isLeaderless = true;
                world.run(2500);
                world.faults.isLeaderless = false;
                world.replaceTerm();
            }
            while (world.runningTasks() == 0 && world.now() - noticeAt < 20000)
                world.step();
            const Millis down = world.now() - noticeAt;
            CPPUNIT_ASSERT_MESSAGE(
                "started " + std::to_string(down) + " ms after the notice, term lost: " + std::to_string(isTermLost),
                down <= leaseOverMs + restartMs);
            CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
        }
    }

    // Guards against a full lease for a worker that leaves a little later than announced.
    void leasesAreNotRenewedAgainWhileAnAnnouncedWorkerIsStillThere()
    {
        constexpr Millis delayMs = 1000; // from the announced time to the departure
        for (const Millis noticeMs : { 2000, 4000, 6000, 12000 }) {
            test::World world(1, 4);
            world.submit("job", { test::lastingStep(1, 3000, "image") });
            world.run(1000);
            world.faults.lostStop = 1;
            test::SimWorker& host = hostOf(world, "job.0.0.0");
            drain(host, noticeMs);
            const Millis announcedAt = world.now() + noticeMs;
            world.run(noticeMs + delayMs);
            CPPUNIT_ASSERT_MESSAGE("notice of " + std::to_string(noticeMs) + " ms, lease until "
                    + std::to_string(host.leaseEndsAt - announcedAt) + " ms after the announced time",
                host.leaseEndsAt <= announcedAt + 4000);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), host.running.count("job.0.0.0"));
        }
    }

    // Guards against runs that lapse on a worker that is still there after the announced time.
    void workersThatStayLongerThanAnnouncedKeepTheirLease()
    {
        test::World world(1, 4);
        world.submit("job", { test::lastingStep(1, 3000, "image") });
        world.run(1000);
        world.faults.lostStop = 1;
        test::SimWorker& host = hostOf(world, "job.0.0.0");
        drain(host, 2000);
        world.run(30000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), host.running.count("job.0.0.0"));
        CPPUNIT_ASSERT_EQUAL(1, world.starts("job.0.0.0"));
        CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
    }

    // Guards against runs that could finish before a distant departure and lapse with a lost leader.
    void leasesAreRenewedWhileADepartureIsFarAway()
    {
        test::World world(1, 2);
        world.submit("job", { test::lastingStep(1, 3000, "image") });
        world.run(1000);
        world.faults.lostStop = 1;
        test::SimWorker& host = hostOf(world, "job.0.0.0");
        drain(host, 20000);
        for (const Millis end = world.now() + 15000; world.now() < end;) {
            world.step();
            CPPUNIT_ASSERT(host.leaseEndsAt - world.now() >= 5800);
        }
    }

    // Guards against short notices that are read up to a whole period late although others came just before.
    void noticesInSeriesAreReadSooner()
    {
        Scheduler state;
        setWorkers(state, { entryOf("a", false, 0) }, 10000, 10000);
        CPPUNIT_ASSERT_EQUAL(usualMs, workerListPeriodMs(state, usualMs, 10000));
        setWorkers(state, { entryOf("a", true, 2000) }, 11000, 11000);
        for (Millis now = 11000; now <= 15000; now += 1000)
            CPPUNIT_ASSERT(workerListPeriodMs(state, usualMs, now) <= 300);
        CPPUNIT_ASSERT_EQUAL(Millis(200), workerListPeriodMs(state, 200, 12000));
        // The worker that stays listed is no new notice.
        setWorkers(state, { entryOf("a", true, 2000) }, 15000, 15000);
        CPPUNIT_ASSERT_EQUAL(usualMs, workerListPeriodMs(state, usualMs, 16000));
        setWorkers(state, { entryOf("a", true, 2000), entryOf("b", true, 2500) }, 17000, 17000);
        CPPUNIT_ASSERT(workerListPeriodMs(state, usualMs, 17000) <= 300);
    }

    // Guards against more calls to the store in a planned scale-in, whose notices leave time for the stops.
    void longNoticesDoNotCostMoreLists()
    {
        Scheduler state;
        setWorkers(state, { entryOf("a", true, 7000) }, 10000, 10000);
        CPPUNIT_ASSERT_EQUAL(usualMs, workerListPeriodMs(state, usualMs, 10000));
    }

    // Guards against the end of a stop that is not read before the worker is gone, so that its task waits for the
    // lease.
    void reportsOfDrainingWorkersAreNotHeldBack()
    {
        Scheduler state;
        setWorkers(state, { entryOf("a", false, 0) }, 10000, 10000);
        Worker& worker = state.workers.at("a");
        worker.reportedAt = 10000;
        worker.incarnation.unacknowledged.push_back({ 1, "job", "job.0.0.0", 1 });
        CPPUNIT_ASSERT(!isReportHeldBack(state, worker, 10100));
        state.dirty.insert("job");
        CPPUNIT_ASSERT(isReportHeldBack(state, worker, 10100));
        CPPUNIT_ASSERT(!isReportHeldBack(state, worker, 10300));
        setWorkers(state, { entryOf("a", true, 2000) }, 10100, 10100);
        CPPUNIT_ASSERT(!isReportHeldBack(state, worker, 10100));
        setWorkers(state, { entryOf("a", false, 0) }, 10200, 10200);
        CPPUNIT_ASSERT(isReportHeldBack(state, worker, 10200));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DepartureTest);

} // namespace
