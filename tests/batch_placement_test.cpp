// Tests of placement, interference, pressure, quotas and usage learning.
#include "batch/placement.h"
#include "batch/pressure.h"
#include "batch/quotas.h"
#include "batch/usage.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace lacewing::batch;
using namespace lacewing::base;

Fleet fleetOf(std::size_t count, PlacementPolicy policy = PlacementPolicy::InterferenceAware)
{
    Fleet fleet;
    fleet.policy = policy;
    for (std::size_t index = 0; index < count; ++index)
        addWorker(fleet,
            { { "w" + std::to_string(index) }, { "dc" }, { "r" + std::to_string(index / 8) }, { 16'000, 60'000, 0 },
                false });
    return fleet;
}

TaskRequest request(int number, JobClass jobClass, std::int64_t cpuMilli, std::int64_t memoryMb = 1000)
{
    return { { "t" + std::to_string(number) }, jobClass, 0, { cpuMilli, memoryMb, 0 }, {} };
}

FleetTask taskOf(const TaskRequest& r) { return { r.id, r.jobClass, r.service, r.resources, {}, false }; }

class BatchPlacementTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchPlacementTest);
    CPPUNIT_TEST(capacityHoldsForEveryPolicy);
    CPPUNIT_TEST(roomIsFoundWhenThereIsAny);
    CPPUNIT_TEST(headroomStaysForUrgentWork);
    CPPUNIT_TEST(urgentWorkEvictsBatchOnly);
    CPPUNIT_TEST(tooLargeIsNever);
    CPPUNIT_TEST(tasksOfAServiceSpreadOverRacks);
    CPPUNIT_TEST(noisyNeighbourIsLearnedAndAvoided);
    CPPUNIT_TEST(pressureStepsHaveHysteresis);
    CPPUNIT_TEST(quotaAndShare);
    CPPUNIT_TEST(sizesFollowMeasuredUse);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against overcommitment (I1) by any policy, and against a free tree that differs from the workers.
    void capacityHoldsForEveryPolicy()
    {
        CPPUNIT_ASSERT(rc::check([] {
            const auto policy = placementPolicyNames[*rc::gen::inRange<std::size_t>(0, 4)].first;
            Fleet fleet = fleetOf(*rc::gen::inRange<std::size_t>(1, 40), policy);
            Interference interference;
            Rng rng(*rc::gen::arbitrary<std::uint64_t>());
            std::vector<std::pair<std::size_t, JobId>> placed;
            for (int number = 0; number < 200; ++number) {
                const bool isRelease = !placed.empty() && chance(rng, 0.3);
                if (isRelease) {
                    const std::size_t index = below(rng, placed.size());
                    releaseTask(fleet, placed[index].first, placed[index].second);
                    placed.erase(placed.begin() + static_cast<std::ptrdiff_t>(index));
                    continue;
                }
                const TaskRequest r = request(number, chance(rng, 0.3) ? JobClass::Urgent : JobClass::Batch,
                    500 + static_cast<std::int64_t>(below(rng, 9000)), static_cast<std::int64_t>(below(rng, 40'000)));
                const Decision decision = place(fleet, interference, r, rng);
                if (decision.kind != DecisionKind::Placed)
                    continue;
                RC_ASSERT(commitTask(fleet, decision.worker, taskOf(r)));
                placed.emplace_back(decision.worker, r.id);
            }
            for (const FleetWorker& worker : fleet.workers)
                RC_ASSERT(worker.committed.fitsIn(worker.info.capacity));
        }));
    }

    // Guards against a sampling policy that reports no room although a worker has some.
    void roomIsFoundWhenThereIsAny()
    {
        Rng rng(3);
        Interference interference;
        for (std::size_t free = 0; free < 100; ++free) {
            Fleet fleet = fleetOf(100);
            for (std::size_t index = 0; index < 100; ++index) {
                if (index != free)
                    commitTask(fleet, index, taskOf(request(static_cast<int>(index), JobClass::Batch, 14'000)));
            }
            const Decision decision = place(fleet, interference, request(1000, JobClass::Batch, 4000), rng);
            CPPUNIT_ASSERT(decision.kind == DecisionKind::Placed);
            CPPUNIT_ASSERT_EQUAL(free, decision.worker);
        }
    }

    // Guards against batch work that takes the room reserved for urgent starts.
    void headroomStaysForUrgentWork()
    {
        Rng rng(3);
        Interference interference;
        Fleet fleet = fleetOf(4);
        int number = 0;
        for (;; ++number) {
            const TaskRequest r = request(number, JobClass::Batch, 1000);
            const Decision decision = place(fleet, interference, r, rng);
            if (decision.kind != DecisionKind::Placed)
                break;
            CPPUNIT_ASSERT(commitTask(fleet, decision.worker, taskOf(r)));
        }
        CPPUNIT_ASSERT_EQUAL(4 * 14, number); // 16 processors, 10% of them reserved
        CPPUNIT_ASSERT(
            place(fleet, interference, request(99, JobClass::Urgent, 1500), rng).kind == DecisionKind::Placed);
    }

    // Guards against eviction of urgent work or watches, and of more batch work than needed.
    void urgentWorkEvictsBatchOnly()
    {
        Rng rng(3);
        Interference interference;
        Fleet fleet = fleetOf(1);
        commitTask(fleet, 0, taskOf(request(1, JobClass::Urgent, 6000)));
        commitTask(fleet, 0, taskOf(request(2, JobClass::Batch, 4000)));
        commitTask(fleet, 0, taskOf(request(3, JobClass::Batch, 2000)));
        commitTask(fleet, 0, taskOf(request(4, JobClass::Watch, 4000)));
        const Decision decision = place(fleet, interference, request(5, JobClass::Urgent, 3000), rng);
        CPPUNIT_ASSERT(decision.kind == DecisionKind::Evict);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), decision.evict.size());
        CPPUNIT_ASSERT_EQUAL(std::string("t2"), decision.evict[0].value);
        CPPUNIT_ASSERT(place(fleet, interference, request(6, JobClass::Urgent, 7000), rng).kind == DecisionKind::Wait);
    }

    // Guards against a job that waits for ever because no worker can hold it.
    void tooLargeIsNever()
    {
        Rng rng(3);
        Interference interference;
        Fleet fleet = fleetOf(20);
        CPPUNIT_ASSERT(
            place(fleet, interference, request(1, JobClass::Batch, 17'000), rng).kind == DecisionKind::Never);
        // The headroom does not rule out a task that needs a whole worker.
        CPPUNIT_ASSERT(
            place(fleet, interference, request(1, JobClass::Batch, 16'000), rng).kind == DecisionKind::Placed);
    }

    // Guards against the loss of a whole service with one rack.
    void tasksOfAServiceSpreadOverRacks()
    {
        Rng rng(3);
        Interference interference;
        static_cast<void>(classOf(interference, { "service" }));
        Fleet fleet = fleetOf(32);
        for (int number = 0; number < 32; ++number) {
            const TaskRequest r = request(number, JobClass::Urgent, 1000);
            CPPUNIT_ASSERT(commitTask(fleet, place(fleet, interference, r, rng).worker, taskOf(r)));
        }
        std::map<std::uint32_t, std::size_t> perRack;
        for (const FleetWorker& worker : fleet.workers)
            perRack[worker.rackIndex] += worker.tasks.size();
        for (const auto& [rack, count] : perRack)
            CPPUNIT_ASSERT(count <= 16);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), perRack.size());
    }

    // Guards against urgent work beside a neighbour that is known to slow it down, when there is other room.
    void noisyNeighbourIsLearnedAndAvoided()
    {
        Rng rng(3);
        Interference interference;
        const ClassIndex urgent = classOf(interference, { "urgent" });
        const ClassIndex noisy = classOf(interference, { "noisy" });
        const ClassIndex quiet = classOf(interference, { "quiet" });
        for (int round = 0; round < 200; ++round) {
            const Neighbour loud { noisy, 0.5 };
            const Neighbour calm { quiet, 0.5 };
            observe(interference, urgent, std::span(&loud, 1), 2.0);
            observe(interference, urgent, std::span(&calm, 1), 1.05);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, coefficientOf(interference, urgent, noisy), 0.2);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, coefficientOf(interference, urgent, quiet), 0.1);
        Fleet fleet = fleetOf(10);
        for (std::size_t index = 0; index < 10; ++index) {
            TaskRequest r = request(static_cast<int>(index), JobClass::Batch, 8000);
            r.service = index < 9 ? noisy : quiet;
            commitTask(fleet, index, taskOf(r));
        }
        TaskRequest r = request(100, JobClass::Urgent, 1000);
        r.service = urgent;
        CPPUNIT_ASSERT_EQUAL(std::size_t(9), place(fleet, interference, r, rng).worker);
    }

    // Guards against steps that flap, and against a step that is skipped.
    void pressureStepsHaveHysteresis()
    {
        Pressure pressure;
        const PressureLimits limits;
        TimePoint now { seconds(100) };
        CPPUNIT_ASSERT(updatePressure(pressure, limits, 0.9, now));
        CPPUNIT_ASSERT(pressure.step == PressureStep::Throttle);
        CPPUNIT_ASSERT(!updatePressure(pressure, limits, 0.9, now + seconds(29)));
        now += seconds(30);
        CPPUNIT_ASSERT(!updatePressure(pressure, limits, 0.8, now)); // between the bounds
        CPPUNIT_ASSERT(updatePressure(pressure, limits, 0.9, now));
        CPPUNIT_ASSERT(pressure.step == PressureStep::NoAdmit);
        CPPUNIT_ASSERT(!updatePressure(pressure, limits, 0.1, now + seconds(10)));
        CPPUNIT_ASSERT(updatePressure(pressure, limits, 0.1, now + seconds(30)));
        CPPUNIT_ASSERT(pressure.step == PressureStep::Throttle);
    }

    // Guards against a team that exceeds its quota, and a share that is ignored.
    void quotaAndShare()
    {
        TeamLedger ledger;
        ledger.policies[{ "a" }] = { 4000, 1 };
        ledger.policies[{ "b" }] = { 0, 3 };
        addUse(ledger, { "a" }, 3000);
        addUse(ledger, { "b" }, 6000);
        CPPUNIT_ASSERT(fitsQuota(ledger, { "a" }, { 1000, 0, 0 }));
        CPPUNIT_ASSERT(!fitsQuota(ledger, { "a" }, { 1001, 0, 0 }));
        CPPUNIT_ASSERT(fitsQuota(ledger, { "b" }, { 100'000, 0, 0 }));
        CPPUNIT_ASSERT(!isKnownTeam(ledger, { "c" }));
        CPPUNIT_ASSERT(fairPosition(ledger, { "b" }) < fairPosition(ledger, { "a" }));
        ledger.elsewhere[{ "a" }] = { 1000 };
        CPPUNIT_ASSERT(!fitsQuota(ledger, { "a" }, { 1000, 0, 0 }));
    }

    // Guards against declared sizes that waste or overload workers for ever.
    void sizesFollowMeasuredUse()
    {
        UsageModel model;
        const Resources declared { 8000, 10'000, 1 };
        CPPUNIT_ASSERT(sizeFor(model, { "s" }, declared) == declared);
        for (int round = 0; round < 50; ++round)
            observeUse(model, { "s" }, declared, { 2000, 15'000, 1 });
        const Resources size = sizeFor(model, { "s" }, declared);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2200), size.cpuMilli);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(16'500), size.memoryMb);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), size.accelerators);
        // Use measured now counts when it is above what is committed.
        Fleet fleet = fleetOf(1);
        commitTask(fleet, 0, taskOf(request(1, JobClass::Batch, 4000)));
        findTask(fleet, 0, { "t1" })->measured = { 15'000, 1000, 0 };
        refreshWorker(fleet, 0);
        Rng rng(1);
        CPPUNIT_ASSERT(place(fleet, Interference(), request(2, JobClass::Batch, 4000), rng).kind == DecisionKind::Wait);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchPlacementTest);

} // namespace
