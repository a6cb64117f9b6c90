// Tests of the stand-in's state machines without sockets. A stand-in that breaks its own rules would hide or invent
// faults of the daemon.
#include "standin/endpoint_model.h"
#include "standin/settings.h"
#include "standin/store_model.h"
#include "standin/worker_model.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace lacewing;
using namespace lacewing::standin;

base::TimePoint at(std::int64_t ms) { return base::TimePoint(base::milliseconds(ms)); }

StartRequest startOf(
    const std::string& task, std::uint64_t attempt, std::uint64_t epoch, std::int64_t durationMs = 1000)
{
    return { task, attempt, epoch, { 4000, 1000, 0 }, base::milliseconds(durationMs), {}, base::seconds(10) };
}

class StandinModelTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StandinModelTest);
    CPPUNIT_TEST(writesNeedTheExpectedVersion);
    CPPUNIT_TEST(versionsRiseAcrossRemoval);
    CPPUNIT_TEST(watchesSeeEachWriteOrMustListAgain);
    CPPUNIT_TEST(leasesTakeTheirKeys);
    CPPUNIT_TEST(lowerEpochChangesNothing);
    CPPUNIT_TEST(repeatedStartRunsOnce);
    CPPUNIT_TEST(capacityIsNeverExceeded);
    CPPUNIT_TEST(leaseEndsATaskAlsoAfterAPause);
    CPPUNIT_TEST(checkpointSavesProgress);
    CPPUNIT_TEST(throttleAndOverloadSlowTasksDown);
    CPPUNIT_TEST(reportsAreLate);
    CPPUNIT_TEST(endedAttemptIsRememberedUntilAcknowledged);
    CPPUNIT_TEST(ledgerShowsASecondRun);
    CPPUNIT_TEST(endpointCountsMaximaAndRepeats);
    CPPUNIT_TEST(wrongSettingsAreReported);
    CPPUNIT_TEST_SUITE_END();

    static WorkerModel makeWorker(TaskLedger& ledger, const std::string& id = "w1")
    {
        WorkerModel worker;
        worker.id = id;
        worker.dataCentre = "dc1";
        worker.ledger = &ledger;
        worker.movedTo = at(0);
        return worker;
    }

    static TaskState stateOf(WorkerModel& worker, const std::string& task) { return worker.tasks.at(task).state; }

public:
    // Guards against a store that lets two writers win.
    void writesNeedTheExpectedVersion()
    {
        StoreModel store;
        CPPUNIT_ASSERT(writeValue(store, { "k", "a", 1, "o0", 0 }).outcome == WriteOutcome::Conflict);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), writeValue(store, { "k", "a", 0, "o1", 0 }).version);
        const WriteResult lost = writeValue(store, { "k", "b", 0, "o2", 0 });
        CPPUNIT_ASSERT(lost.outcome == WriteOutcome::Conflict);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), lost.version);
        CPPUNIT_ASSERT_EQUAL(std::string("o1"), lost.operation);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), writeValue(store, { "k", "b", 1, "o3", 0 }).version);
        CPPUNIT_ASSERT(
            writeValue(store, { "k", std::string(1'000'001, 'x'), 2, "o4", 0 }).outcome == WriteOutcome::TooLarge);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), *findValue(store, "k")->value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), store.revision);
    }

    // Guards against a version that is used twice: an old writer would win against a key that was removed and made
    // anew.
    void versionsRiseAcrossRemoval()
    {
        StoreModel store;
        writeValue(store, { "k", "a", 0, "o1", 0 });
        CPPUNIT_ASSERT(removeValue(store, "k", 9, "o2").outcome == WriteOutcome::Conflict);
        CPPUNIT_ASSERT(removeValue(store, "k", 1, "o3").outcome == WriteOutcome::Written);
        CPPUNIT_ASSERT(findValue(store, "k") == nullptr);
        CPPUNIT_ASSERT(removeValue(store, "k", 1, "o3").operation == "o3");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), writeValue(store, { "k", "b", 0, "o4", 0 }).version);
        CPPUNIT_ASSERT(writeValue(store, { "k", "c", 1, "o5", 0 }).outcome == WriteOutcome::Conflict);
    }

    // Guards against a watch that misses a write without being told.
    void watchesSeeEachWriteOrMustListAgain()
    {
        CPPUNIT_ASSERT(
            rc::check("events after a revision are exactly the later writes, or the watch must list again", [] {
                StoreModel store;
                store.eventsKept = 5;
                const auto writes = *rc::gen::inRange<std::uint64_t>(0, 20);
                for (std::uint64_t index = 0; index < writes; ++index)
                    writeValue(store, { "a/" + std::to_string(index), "v", 0, "o", 0 });
                const auto after = *rc::gen::inRange<std::uint64_t>(0, 25);
                const auto events = eventsAfter(store, "a/", after);
                const bool isKnown = after <= writes && writes - after <= 5;
                RC_ASSERT(events.has_value() == isKnown);
                if (events)
                    RC_ASSERT(events->size() == writes - after);
            }));
        StoreModel store;
        writeValue(store, { "a", "v", 0, "o", 0 });
        forgetEvents(store);
        CPPUNIT_ASSERT(!eventsAfter(store, "", 1));
        CPPUNIT_ASSERT(eventsAfter(store, "", store.revision)->empty());
    }

    // Guards against keys that outlive their lease, and against a lease that is renewed after its end.
    void leasesTakeTheirKeys()
    {
        StoreModel store;
        const std::uint64_t lease = createLease(store, base::seconds(1), at(0));
        writeValue(store, { "k", "a", 0, "o", lease });
        CPPUNIT_ASSERT(renewLease(store, lease, at(900)));
        expireLeases(store, at(1500));
        CPPUNIT_ASSERT(findValue(store, "k") != nullptr);
        CPPUNIT_ASSERT(!renewLease(store, lease, at(1900)));
        expireLeases(store, at(1900));
        CPPUNIT_ASSERT(findValue(store, "k") == nullptr);
        CPPUNIT_ASSERT(writeValue(store, { "k", "b", 0, "o", lease }).outcome == WriteOutcome::NoLease);
    }

    // Guards against a worker that obeys an owner that was replaced (I2).
    void lowerEpochChangesNothing()
    {
        TaskLedger ledger;
        WorkerModel worker = makeWorker(ledger);
        CPPUNIT_ASSERT(start(worker, startOf("t", 1, 5), at(0)) == WorkerAnswer::Done);
        CPPUNIT_ASSERT(fence(worker, 7, "d2", at(1)) == WorkerAnswer::Done);
        CPPUNIT_ASSERT(fence(worker, 6, "d1", at(1)) == WorkerAnswer::StaleEpoch);
        CPPUNIT_ASSERT(start(worker, startOf("u", 1, 6), at(2)) == WorkerAnswer::StaleEpoch);
        CPPUNIT_ASSERT(stop(worker, "t", 1, 6, at(2)) == WorkerAnswer::StaleEpoch);
        CPPUNIT_ASSERT(renew(worker, 6, base::seconds(9), at(2)) == WorkerAnswer::StaleEpoch);
        CPPUNIT_ASSERT(checkpoint(worker, "t", 1, 6, at(2)) == WorkerAnswer::StaleEpoch);
        CPPUNIT_ASSERT(throttle(worker, "t", 1, 6, 1, at(2)) == WorkerAnswer::StaleEpoch);
        CPPUNIT_ASSERT(stateOf(worker, "t") == TaskState::Running);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), worker.tasks.size());
        CPPUNIT_ASSERT_EQUAL(std::string("d2"), worker.owner);
    }

    // Guards against a repeated or late start that runs a task twice (I2, I3).
    void repeatedStartRunsOnce()
    {
        TaskLedger ledger;
        WorkerModel worker = makeWorker(ledger);
        CPPUNIT_ASSERT(start(worker, startOf("t", 2, 1), at(0)) == WorkerAnswer::Done);
        CPPUNIT_ASSERT(start(worker, startOf("t", 2, 1), at(1)) == WorkerAnswer::Already);
        CPPUNIT_ASSERT(start(worker, startOf("t", 1, 1), at(1)) == WorkerAnswer::OlderAttempt);
        CPPUNIT_ASSERT(start(worker, startOf("t", 3, 1), at(2)) == WorkerAnswer::Done);
        CPPUNIT_ASSERT_EQUAL(1, ledger.tasks["t"].running);
        CPPUNIT_ASSERT_EQUAL(1, ledger.tasks["t"].maxRunning);
        moveTo(worker, at(5000));
        CPPUNIT_ASSERT(stateOf(worker, "t") == TaskState::Finished);
        CPPUNIT_ASSERT(start(worker, startOf("t", 3, 1), at(5001)) == WorkerAnswer::OlderAttempt);
        CPPUNIT_ASSERT_EQUAL(1, ledger.tasks["t"].finished);
    }

    // Guards against a worker that takes more than it has (I1).
    void capacityIsNeverExceeded()
    {
        CPPUNIT_ASSERT(rc::check("running tasks fit into the capacity", [] {
            TaskLedger ledger;
            WorkerModel worker = makeWorker(ledger);
            worker.capacity = { 10, 10, 2 };
            const auto count = *rc::gen::inRange(1, 30);
            for (int index = 0; index < count; ++index) {
                StartRequest request = startOf("t" + std::to_string(index), 1, 1);
                request.resources = { *rc::gen::inRange(0, 8), *rc::gen::inRange(0, 8), *rc::gen::inRange(0, 2) };
                start(worker, request, at(std::int64_t(index) * 100));
                const Resources used = committed(worker);
                RC_ASSERT(used.cpuMilli <= 10 && used.memoryMb <= 10 && used.accelerators <= 2);
            }
        }));
        TaskLedger ledger;
        WorkerModel worker = makeWorker(ledger);
        for (int index = 0; index < 4; ++index)
            CPPUNIT_ASSERT(start(worker, startOf(std::to_string(index), 1, 1), at(0)) == WorkerAnswer::Done);
        CPPUNIT_ASSERT(start(worker, startOf("5", 1, 1), at(0)) == WorkerAnswer::Capacity);
    }

    // Guards against a task that goes on after its lease: it may have been resumed elsewhere (I2).
    void leaseEndsATaskAlsoAfterAPause()
    {
        TaskLedger ledger;
        WorkerModel worker = makeWorker(ledger);
        start(worker, startOf("t", 1, 1, 60'000), at(0));
        start(worker, startOf("u", 1, 1, 60'000), at(0));
        CPPUNIT_ASSERT(renew(worker, 1, base::seconds(10), at(5'000)) == WorkerAnswer::Done);
        moveTo(worker, at(14'900));
        CPPUNIT_ASSERT(stateOf(worker, "t") == TaskState::Running);
        // Paused until after the lease: the renewal that waited must not revive the task.
        CPPUNIT_ASSERT(renew(worker, 1, base::seconds(10), at(100'000)) == WorkerAnswer::Done);
        CPPUNIT_ASSERT(stateOf(worker, "t") == TaskState::Expired);
        CPPUNIT_ASSERT(worker.tasks.at("t").progress <= base::seconds(15));
        CPPUNIT_ASSERT_EQUAL(0, ledger.tasks["t"].running);
    }

    // Guards against a checkpoint that saves nothing, or more than was done.
    void checkpointSavesProgress()
    {
        TaskLedger ledger;
        WorkerModel worker = makeWorker(ledger);
        StartRequest request = startOf("t", 1, 1, 5000);
        request.checkpoint = base::seconds(1);
        start(worker, request, at(0));
        CPPUNIT_ASSERT(checkpoint(worker, "t", 1, 1, at(500)) == WorkerAnswer::Done);
        CPPUNIT_ASSERT(stateOf(worker, "t") == TaskState::Checkpointing);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1000), base::toMilliseconds(worker.tasks.at("t").checkpoint));
        moveTo(worker, at(560));
        CPPUNIT_ASSERT(stateOf(worker, "t") == TaskState::Running);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1560), base::toMilliseconds(worker.tasks.at("t").checkpoint));
        moveTo(worker, at(4000));
        CPPUNIT_ASSERT(stateOf(worker, "t") == TaskState::Finished);
    }

    // Guards against interference that cannot be seen.
    void throttleAndOverloadSlowTasksDown()
    {
        TaskLedger ledger;
        WorkerModel worker = makeWorker(ledger);
        start(worker, startOf("t", 1, 1), at(0));
        throttle(worker, "t", 1, 1, 1000, at(0)); // a quarter of 4,000
        moveTo(worker, at(1000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(250), base::toMilliseconds(worker.tasks.at("t").progress));
        throttle(worker, "t", 1, 1, 0, at(1000));
        worker.usageFactor = 8; // 32,000 of 16,000
        moveTo(worker, at(1200));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(350), base::toMilliseconds(worker.tasks.at("t").progress));
    }

    // Guards against reports that are newer than the lag allows.
    void reportsAreLate()
    {
        TaskLedger ledger;
        WorkerModel worker = makeWorker(ledger);
        start(worker, startOf("t", 1, 1, 60'000), at(0));
        moveTo(worker, at(1000));
        CPPUNIT_ASSERT(visibleReports(worker, at(2500)).empty());
        const std::vector<UsageSample> reports = visibleReports(worker, at(3100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reports.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(4000), reports[0].cpuMilli);
        CPPUNIT_ASSERT(reports[0].at == at(1000));
    }

    // Guards against an owner that learns of an end too late, because the worker forgot it.
    void endedAttemptIsRememberedUntilAcknowledged()
    {
        TaskLedger ledger;
        WorkerModel worker = makeWorker(ledger);
        worker.failsEverything = true;
        CPPUNIT_ASSERT(start(worker, startOf("t", 1, 1), at(0)) == WorkerAnswer::Done);
        CPPUNIT_ASSERT(stateOf(worker, "t") == TaskState::Failed);
        CPPUNIT_ASSERT(acknowledge(worker, "t", 2, 1, at(1)) == WorkerAnswer::NotFound);
        CPPUNIT_ASSERT(acknowledge(worker, "t", 1, 1, at(1)) == WorkerAnswer::Done);
        CPPUNIT_ASSERT(worker.tasks.empty());
        worker.failsEverything = false;
        start(worker, startOf("u", 1, 1), at(2));
        CPPUNIT_ASSERT(acknowledge(worker, "u", 1, 1, at(3)) == WorkerAnswer::NotFound);
    }

    // Guards against a ledger that cannot show a violation of I2 and I3.
    void ledgerShowsASecondRun()
    {
        TaskLedger ledger;
        WorkerModel first = makeWorker(ledger, "w1");
        WorkerModel second = makeWorker(ledger, "w2");
        start(first, startOf("t", 1, 1), at(0));
        start(second, startOf("t", 2, 1), at(10));
        CPPUNIT_ASSERT_EQUAL(2, ledger.tasks["t"].maxRunning);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), ledger.tasks["t"].starts.size());
        lose(first, at(20));
        moveTo(second, at(5000));
        CPPUNIT_ASSERT_EQUAL(0, ledger.tasks["t"].running);
        CPPUNIT_ASSERT_EQUAL(1, ledger.tasks["t"].finished);
    }

    // Guards against counts that cannot show a violation of I7 and I11.
    void endpointCountsMaximaAndRepeats()
    {
        EndpointModel endpoint;
        onConnectionOpened(endpoint);
        onConnectionOpened(endpoint);
        onConnectionClosed(endpoint);
        CPPUNIT_ASSERT(onRequest(endpoint, "r1") && onRequest(endpoint, "r1"));
        onRequestDone(endpoint);
        endpoint.mode = EndpointMode::Refuse;
        CPPUNIT_ASSERT(!onRequest(endpoint, "r2"));
        CPPUNIT_ASSERT_EQUAL(2, endpoint.maxConnections);
        CPPUNIT_ASSERT_EQUAL(2, endpoint.maxInProgress);
        CPPUNIT_ASSERT_EQUAL(2, endpoint.executions["r1"]);
        CPPUNIT_ASSERT(!endpoint.executions.contains("r2"));
    }

    // Guards against a misspelt setting that is ignored.
    void wrongSettingsAreReported()
    {
        const auto good = parseSettings(
            R"({"dataCentres":["a"],"workers":3,"entries":[{"id":"d1","dataCentre":"a","port":90}]})", "f");
        CPPUNIT_ASSERT(good.has_value());
        CPPUNIT_ASSERT_EQUAL(3, good.value().workers);
        CPPUNIT_ASSERT_EQUAL(6, good.value().endpoints);
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1"), good.value().entries.at(0).address);
        for (const char* text : { "", "[]", R"({"worker":3})", R"({"workers":-1})", R"({"entries":[{"id":"x"}]})" })
            CPPUNIT_ASSERT_MESSAGE(text, !parseSettings(text, "f").has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandinModelTest);

} // namespace
