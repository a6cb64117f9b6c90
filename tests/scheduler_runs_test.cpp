// Tests of the identity of runs: reports of runs and ends that earlier terms started and did not record.
#include "scheduler/run_number.h"
#include "scheduler_world.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace lacewing;
using namespace lacewing::test;
using scheduler::EndKind;
using scheduler::JobState;
using scheduler::Step;

constexpr Millis cutMs = 8200; // longer than a lease on the slowest clock, so that the task starts elsewhere

SimWorker* workerRunning(World& world, const std::string& task)
{
    for (SimWorker& worker : world.workers()) {
        if (worker.running.count(task) > 0)
            return &worker;
    }
    return nullptr;
}

const scheduler::Task& taskOf(scheduler::Scheduler& state) { return *scheduler::findTask(state, "job.0.0.0")->task; }

scheduler::WorkerReport reportOf(const World& world)
{
    scheduler::WorkerReport report;
    report.clockMs = world.now();
    report.incarnationUnixMs = 1;
    return report;
}

// Steps of a random schedule; each acts on one worker or on the whole deployment.
enum class Event {
    FailRun,
    RestartWorker,
    RestartWorkerSilently,
    CutWorker,
    ReplaceTerm,
    ResignTerm,
    LoseStore,
    RegainStore,
    Wait
};
constexpr int eventKinds = 9;

void apply(World& world, Event event, int worker)
{
    switch (event) {
    case Event::FailRun:
        for (auto& [task, run] : world.worker(worker).running) {
            run.endsAt = world.now();
            run.willFail = true;
        }
        break;
    case Event::RestartWorker:
        world.restartWorker(worker);
        break;
    case Event::RestartWorkerSilently:
        world.restartWorkerSilently(worker);
        break;
    case Event::CutWorker:
        world.worker(worker).unreachableUntil = world.now() + cutMs;
        break;
    case Event::ReplaceTerm:
        world.replaceTerm();
        break;
    case Event::ResignTerm:
        world.resignTerm();
        break;
    case Event::LoseStore:
        world.faults.isStoreUnavailable = true;
        break;
    case Event::RegainStore:
        world.faults.isStoreUnavailable = false;
        break;
    case Event::Wait:
        break;
    }
}

class SchedulerRunsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SchedulerRunsTest);
    CPPUNIT_TEST(lateEndsOfUnrecordedRunsLeaveTheCurrentRunAlone);
    CPPUNIT_TEST(endsOfAnotherWorkerLeaveTheCurrentRunAlone);
    CPPUNIT_TEST(rowsOfAnotherRunDoNotHideTheEndOfTheCurrentOne);
    CPPUNIT_TEST(checkpointsOfEarlierRunsDoNotReplaceLaterOnes);
    CPPUNIT_TEST(impossibleRunNumbersDoNotUseUpTheNumbers);
    CPPUNIT_TEST(unrecordedStartsOfATermAreBounded);
    CPPUNIT_TEST(failuresOfLastingTasksDoNotFillTheRecord);
    CPPUNIT_TEST(termsNumberRunsInBlocksOfTheirOwn);
    CPPUNIT_TEST(randomSchedulesKeepOneRunOfATask);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a second run of a task after the late end of a run that an earlier term did not record.
    void lateEndsOfUnrecordedRunsLeaveTheCurrentRunAlone()
    {
        for (int unrecorded = 1; unrecorded <= 4; ++unrecorded) {
            World world(1, 8);
            const std::string task = "job.0.0.0";
            world.submit("job", { plainStep(1, 1000, 60000) }, 20);
            world.run(500);
            world.faults.isStoreUnavailable = true;
            std::vector<SimWorker*> former;
            for (int i = 0; i < unrecorded; ++i) {
                SimWorker* worker = workerRunning(world, task);
                CPPUNIT_ASSERT(worker);
                former.push_back(worker);
                worker->running.at(task).endsAt = world.now();
                worker->running.at(task).willFail = true;
                world.run(200);
            }
            former.push_back(workerRunning(world, task));
            CPPUNIT_ASSERT(former.back());
            for (SimWorker* worker : former)
                worker->unreachableUntil = world.now() + cutMs;
            world.faults.isStoreUnavailable = false;
            world.replaceTerm();
            world.run(cutMs - 100);
            SimWorker* current = workerRunning(world, task);
            CPPUNIT_ASSERT(current);
            const int starts = world.starts(task);
            world.run(2000);
            CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
            CPPUNIT_ASSERT_EQUAL(starts, world.starts(task));
            CPPUNIT_ASSERT(workerRunning(world, task) == current);
        }
    }

    // Guards against a run that is taken for ended because another worker ended a run of the same number, which terms
    // of earlier versions may have given twice.
    void endsOfAnotherWorkerLeaveTheCurrentRunAlone()
    {
        World world(1, 3);
        Step step = plainStep(1, 1000, 60000);
        step.hasCheckpoints = true;
        world.submit("job", { step });
        world.run(500);
        auto& state = world.scheduler();
        const scheduler::Task& task = taskOf(state);
        const std::string host = task.worker;
        const scheduler::RunNumber run = task.run;
        for (const EndKind kind : { EndKind::Lapsed, EndKind::Failed }) {
            scheduler::WorkerReport report = reportOf(world);
            report.ended.push_back({ kind == EndKind::Lapsed ? 1 : 2, "job.0.0.0", run, kind, {} });
            scheduler::applyReport(state, host == "w0" ? "w1" : "w0", report, world.now(), world.now());
            CPPUNIT_ASSERT_EQUAL(host, task.worker);
            CPPUNIT_ASSERT(task.phase == scheduler::TaskPhase::Running);
            CPPUNIT_ASSERT(scheduler::plan(state, world.now(), world.now()).starts.empty());
        }
        scheduler::WorkerReport report = reportOf(world);
        report.running.push_back({ "job.0.0.0", run, "saved", 40, 0 });
        scheduler::applyReport(state, host, report, world.now(), world.now());
        CPPUNIT_ASSERT_EQUAL(40, task.percent);
        CPPUNIT_ASSERT_EQUAL(std::string("saved"), task.checkpoint);
        report.running.clear();
        report.ended.push_back({ 1, "job.0.0.0", run, EndKind::Lapsed, {} });
        scheduler::applyReport(state, host, report, world.now(), world.now());
        CPPUNIT_ASSERT(task.phase == scheduler::TaskPhase::Waiting && task.worker.empty());
    }

    // Guards against a lost run that counts as running while its worker runs another run of the task.
    void rowsOfAnotherRunDoNotHideTheEndOfTheCurrentOne()
    {
        World world(1, 2);
        world.submit("job", { plainStep(1, 1000, 60000) });
        world.run(500);
        auto& state = world.scheduler();
        const scheduler::Task& task = taskOf(state);
        const std::string host = task.worker;
        scheduler::WorkerReport report = reportOf(world);
        report.running.push_back({ "job.0.0.0", task.run + 1, {}, 0, 0 });
        scheduler::applyReport(state, host, report, world.now(), world.now());
        CPPUNIT_ASSERT(task.phase == scheduler::TaskPhase::Waiting);
        CPPUNIT_ASSERT_EQUAL(task.run + 1, state.workers.at(host).strays.at("job.0.0.0").run);
    }

    // Guards against work that is done again because the late end of an earlier run brings back its checkpoint.
    void checkpointsOfEarlierRunsDoNotReplaceLaterOnes()
    {
        World world(1, 3);
        world.submit("job", { plainStep(1, 1000, 60000) });
        world.run(500);
        auto& state = world.scheduler();
        const scheduler::Task& task = taskOf(state);
        scheduler::WorkerReport report = reportOf(world);
        report.ended.push_back({ 1, "job.0.0.0", 5, EndKind::Lapsed, "later" });
        scheduler::applyReport(state, "w0", report, world.now(), world.now());
        report.ended = { { 1, "job.0.0.0", 4, EndKind::Lapsed, "earlier" } };
        scheduler::applyReport(state, "w1", report, world.now(), world.now());
        CPPUNIT_ASSERT_EQUAL(std::string("later"), task.checkpoint);
    }

    // Guards against a task that gets no number any more after a process that is no worker has reported the highest
    // one.
    void impossibleRunNumbersDoNotUseUpTheNumbers()
    {
        World world(1, 3);
        world.submit("job", { plainStep(1, 1000, 60000) });
        world.run(500);
        auto& state = world.scheduler();
        const scheduler::Task& task = taskOf(state);
        const scheduler::RunNumber run = task.run;
        constexpr scheduler::RunNumber highest = 9'007'199'254'740'991;
        scheduler::WorkerReport report = reportOf(world);
        report.running.push_back({ "job.0.0.0", highest, {}, 0, 0 });
        report.ended.push_back({ 1, "job.0.0.0", highest, EndKind::Failed, {} });
        scheduler::applyReport(state, task.worker == "w0" ? "w1" : "w0", report, world.now(), world.now());
        CPPUNIT_ASSERT(task.endedRun < run && task.run == run && task.failedRuns.empty());
    }

    // Guards against terms that use more numbers without a record than their blocks hold, and against tasks that wait
    // for a record that is not written.
    void unrecordedStartsOfATermAreBounded()
    {
        World world(1, 4);
        const std::string task = "job.0.0.0";
        world.submit("job", { plainStep(1, 1000, 60000) }, 1);
        world.run(500);
        world.faults.isStoreUnavailable = true;
        const auto restartRuns = [&](int times) {
            for (int i = 0; i < times; ++i) {
                for (int worker = 0; worker < 4; ++worker) {
                    if (world.worker(worker).running.count(task) > 0)
                        world.restartWorker(worker);
                }
                world.run(100);
            }
        };
        restartRuns(2 * scheduler::runsPerRevision);
        const scheduler::Job& job = *world.scheduler().jobs.at("job");
        CPPUNIT_ASSERT(!workerRunning(world, task));
        CPPUNIT_ASSERT(world.starts(task) > scheduler::runsPerRevision / 2);
        CPPUNIT_ASSERT(taskOf(world.scheduler()).run < scheduler::runLimit(world.scheduler(), job));
        world.faults.isStoreUnavailable = false;
        world.run(300);
        CPPUNIT_ASSERT(workerRunning(world, task));
        restartRuns(2 * scheduler::runsPerRevision);
        world.replaceTerm();
        world.run(8000);
        CPPUNIT_ASSERT(workerRunning(world, task));
        CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
    }

    // Guards against a record that grows with each failure of a task that may fail without limit.
    void failuresOfLastingTasksDoNotFillTheRecord()
    {
        World world(1, 4);
        const std::string task = "service.0.0.0";
        world.submit("service", { lastingStep(1, 1000, "image") });
        world.run(500);
        constexpr int failures = 40;
        for (int i = 0; i < failures; ++i) {
            SimWorker* worker = workerRunning(world, task);
            CPPUNIT_ASSERT(worker);
            worker->running.at(task).endsAt = world.now();
            worker->running.at(task).willFail = true;
            world.run(300);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(failures), world.scheduler().failedRuns);
        CPPUNIT_ASSERT(scheduler::findTask(world.scheduler(), task)->task->failedRuns.empty());
    }

    // Guards against numbers that two terms can give, whatever they have stored.
    void termsNumberRunsInBlocksOfTheirOwn()
    {
        CPPUNIT_ASSERT(rc::check("numbers of terms do not overlap", [] {
            scheduler::JobRequest request;
            request.id = "job";
            request.steps.resize(1);
            const auto accepted = *rc::gen::inRange<std::int64_t>(1, 1'000'000'000'000);
            std::int64_t revision = std::max<std::int64_t>(1, accepted - *rc::gen::inRange<std::int64_t>(0, 1000));
            scheduler::RunNumber highest = 0;
            for (int term = 0; term < 5; ++term) {
                scheduler::Scheduler state;
                scheduler::Job& job = scheduler::addJob(state, request, {}, 0, accepted, 0);
                scheduler::beginTerm(state, revision, 0);
                revision = std::max(revision, accepted);
                const scheduler::RunNumber first = scheduler::firstRun(state, job);
                RC_ASSERT(first > highest);
                RC_ASSERT(scheduler::nextRun(state, job, 0) == first);
                job.commitsInTerm = *rc::gen::inRange(0, 10);
                revision += job.commitsInTerm;
                highest = scheduler::runLimit(state, job) - 1;
                RC_ASSERT(scheduler::nextRun(state, job, highest - 1) == highest);
                RC_ASSERT(!scheduler::nextRun(state, job, highest));
                revision += *rc::gen::inRange(1, 100);
            }
        }));
        scheduler::Scheduler state;
        scheduler::beginTerm(state, 3200, 0);
        const scheduler::Job& job = scheduler::addJob(state, {}, {}, 0, 3201, 0);
        CPPUNIT_ASSERT_EQUAL(scheduler::RunNumber(1), scheduler::nextRun(state, job, 0).value());
    }

    // Guards against ends, reports and records of one run that are taken for those of another one.
    void randomSchedulesKeepOneRunOfATask()
    {
        CPPUNIT_ASSERT(rc::check("a task has one run at a time, and each run its own number", [] {
            constexpr int workers = 4;
            World world(*rc::gen::arbitrary<std::uint64_t>(), workers);
            Step gang = plainStep(2, 1000, 1500);
            gang.isGang = true;
            world.submit("job", { plainStep(2, 1000, 2000), gang }, 1000);
            world.submit("service", { lastingStep(2, 1000, "image") });
            const auto length = *rc::gen::inRange(10, 40);
            for (int i = 0; i < length; ++i) {
                const auto event = static_cast<Event>(*rc::gen::inRange(0, eventKinds));
                apply(world, event, *rc::gen::inRange(0, workers));
                world.run(*rc::gen::element<Millis>(100, 400, 1600));
                RC_ASSERT(world.violation() == std::string());
            }
            world.faults = {};
            world.run(25000, 100);
            RC_ASSERT(world.violation() == std::string());
            RC_ASSERT(world.committedState("job") == JobState::Completed);
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerRunsTest);

} // namespace
