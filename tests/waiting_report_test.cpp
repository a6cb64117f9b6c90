// Tests of the report on jobs with nothing running: the reasons, the order and the number of its lines.
#include "scheduler/internal.h"
#include "scheduler_world.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <set>

namespace {

using namespace lacewing;
using namespace lacewing::test;
using scheduler::Decision;
using scheduler::Step;
using scheduler::WaitReason;
using scheduler::Worker;

class WaitingReportTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WaitingReportTest);
    CPPUNIT_TEST(eachReasonIsTold);
    CPPUNIT_TEST(interferenceNamesTheLimitAndTheNearestWorker);
    CPPUNIT_TEST(theOrderOfThePlanIsTold);
    CPPUNIT_TEST(stepsAreNotSkippedForNewerOnesOfTheirImage);
    CPPUNIT_TEST(unknownRunsNameTheWorkerTheyWaitFor);
    CPPUNIT_TEST(runsOnLostWorkersDoNotCount);
    CPPUNIT_TEST(startsWithoutAnswerAreTold);
    CPPUNIT_TEST(jobsWithRunsAreNotReported);
    CPPUNIT_TEST(theLongestWaitComesFirst);
    CPPUNIT_TEST(linesAreBoundedAndReachAllJobs);
    CPPUNIT_TEST(causesAreBoundedOnManyWorkers);
    CPPUNIT_TEST(theSummaryCountsRoomAndReasons);
    CPPUNIT_TEST_SUITE_END();

    // Three workers of 8000 millicores whose serving tasks of "serve" have their target at twice their baseline.
    struct Cluster {
        World world;
        std::vector<Decision> decisions;
        Millis now = 0;
        Millis validMs = 1000; // that the term is valid after each plan

        explicit Cluster(int workers = 3)
            : world(1, workers)
        {
            world.run(1000);
            now = world.now();
        }

        scheduler::Scheduler& state() { return world.scheduler(); }

        template <typename Change> void changeWorkers(Change change)
        {
            for (auto& [id, worker] : state().workers)
                change(worker);
        }

        // "fill" takes the serving tasks to 1.5 times their tail on a quarter of a worker.
        void learnInterference()
        {
            for (int i = 0; i < 200; ++i) {
                scheduler::learn(state().interference, "serve", 100, {});
                scheduler::learn(state().interference, "serve", 150, { { "fill", 0.25 } });
            }
            changeWorkers([](Worker& worker) {
                worker.servingCpu = 1000;
                worker.cpuUsed = 1000;
                worker.servingImages["serve"] = { 1, 200 };
            });
        }

        // Plans every 50 ms without an answer of a worker.
        void planFor(Millis length)
        {
            for (const Millis end = now + length; now < end; now += 50) {
                state().validUntil = now + validMs;
                scheduler::plan(state(), now, now);
                for (Decision& decision : scheduler::takeDecisions(state()))
                    decisions.push_back(std::move(decision));
            }
        }

        std::vector<Decision> linesOf(std::string_view event, const std::string& job = {}) const
        {
            std::vector<Decision> found;
            std::copy_if(decisions.begin(), decisions.end(), std::back_inserter(found), [&](const Decision& decision) {
                return decision.event == event && (job.empty() || decision.job == job);
            });
            return found;
        }
    };

    static Step step(int millicores, const std::string& image = "plain")
    {
        Step step = plainStep(1, millicores, 1000);
        step.image = image;
        return step;
    }

    static Step fillingStep(int millicores)
    {
        Step step = WaitingReportTest::step(millicores, "fill");
        step.isFilling = true;
        return step;
    }

    static std::int64_t inputOf(const Decision& decision, std::string_view key)
    {
        for (const auto& [name, value] : decision.inputs) {
            if (key == name)
                return value;
        }
        CPPUNIT_FAIL("no input " + std::string(key));
        return 0;
    }

    static std::string textOf(const Decision& decision, std::string_view key)
    {
        for (const auto& [name, value] : decision.texts) {
            if (key == name)
                return value;
        }
        CPPUNIT_FAIL("no text " + std::string(key));
        return {};
    }

    static void fillProcessors(Worker& worker) { worker.cpuUsed = worker.entry.capacity.cpuMillicores; }

    // No reading of the worker follows that would end it.
    static void holdOverTarget(Worker& worker)
    {
        worker.overTargetSince = 1;
        worker.modelUpdatedAt = worker.reportedAt;
    }

public:
    // Guards against causes of a wait that the log cannot tell apart.
    void eachReasonIsTold()
    {
        struct Case {
            std::string reason;
            Step step;
            std::function<void(Cluster&)> prepare;
            scheduler::ApprovalPolicy approval = {};
        };
        Step labelled = step(1000);
        labelled.requiredLabel = "gpu";
        Step gang = step(5000);
        gang.count = 4;
        gang.isGang = true;
        Step withGpu = step(1000);
        withGpu.gpus = 1;
        Step rack = step(1000);
        rack.dataRack = "rackNone";
        const auto nothing = [](Cluster&) {};
        const auto fillAll = [](Cluster& cluster) { cluster.changeWorkers(fillProcessors); };
        const auto holdAllOverTarget = [](Cluster& cluster) {
            cluster.learnInterference();
            cluster.changeWorkers(holdOverTarget);
        };
        const Case cases[] = {
            { "noConfiguration", step(1000), [](Cluster& cluster) { cluster.validMs = 0; } },
            { "termNotValid", step(1000),
                [](Cluster& cluster) {
                    cluster.validMs = 0;
                    cluster.state().configuration.version = 1;
                } },
            { "noWorkerList", step(1000), [](Cluster& cluster) { cluster.state().hasWorkerList = false; } },
            { "noUsableWorker", step(1000),
                [](Cluster& cluster) {
                    scheduler::setWithdrawn(cluster.state(), { "dc0", "dc1" });
                } },
            { "startLimit", step(1000), [](Cluster& cluster) { cluster.state().startLimit = 0; } },
            { "noRoom", step(1000), fillAll },
            { "noRoom", withGpu, nothing },
            { "noFillingRoom", fillingStep(1000), fillAll },
            { "servingOverTarget", fillingStep(1000), holdAllOverTarget },
            { "label", labelled, nothing },
            { "avoidedWorkers", step(1000),
                [](Cluster& cluster) {
                    cluster.changeWorkers([&](Worker& worker) { worker.avoidUntil = cluster.now + 60000; });
                } },
            { "noApproval", step(1000), nothing, { true, 100, 10, 1000 } },
            { "interference", fillingStep(4000),
                [](Cluster& cluster) {
                    cluster.learnInterference();
                    cluster.changeWorkers([&](Worker& worker) { worker.lastFillEvictionAt = cluster.now; });
                } },
            { "noGangRoom", gang, nothing },
            { "rack", rack, nothing },
        };
        for (const Case& entry : cases) {
            Cluster cluster;
            entry.prepare(cluster);
            cluster.world.submit("job", { entry.step }, 3, 0, entry.approval);
            cluster.planFor(1100);
            const std::vector<Decision> lines = cluster.linesOf("jobWaiting", "job");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(entry.reason, std::size_t(1), lines.size());
            CPPUNIT_ASSERT_EQUAL(entry.reason, lines.front().outcome);
            CPPUNIT_ASSERT_EQUAL(entry.step.image, lines.front().image);
        }
    }

    // Guards against a wait for interference whose line does not tell which worker came nearest, and what forbids it.
    void interferenceNamesTheLimitAndTheNearestWorker()
    {
        Cluster cluster;
        cluster.learnInterference();
        cluster.changeWorkers([&](Worker& worker) { worker.lastFillEvictionAt = cluster.now; });
        cluster.state().workers.at("w1").servingImages["serve"].targetMs = 300;
        cluster.world.submit("job", { fillingStep(4000) });
        cluster.planFor(8000);
        const std::vector<Decision> lines = cluster.linesOf("jobWaiting", "job");
        CPPUNIT_ASSERT(!lines.empty());
        const Decision& line = lines.front();
        CPPUNIT_ASSERT_EQUAL(std::string("interference"), line.outcome);
        CPPUNIT_ASSERT_EQUAL(std::string("w1"), line.worker);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), inputOf(line, "overLimit"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(35), inputOf(line, "limitPercent"));
        CPPUNIT_ASSERT(inputOf(line, "interferencePercent") > 35);
        CPPUNIT_ASSERT_EQUAL(std::string("shortWait"), textOf(line, "trial"));
        CPPUNIT_ASSERT_EQUAL(std::string("inTime"), textOf(line, "timeliness"));
    }

    // Guards against a job behind the limit of starts that looks like one without room.
    void theOrderOfThePlanIsTold()
    {
        Cluster cluster;
        cluster.state().startLimit = 1;
        cluster.world.submit("job", { step(1000) }, 3, 1);
        for (int i = 0; i < 25; ++i) {
            cluster.world.submit("first" + std::to_string(i), { step(100) });
            cluster.planFor(50);
        }
        const std::vector<Decision> lines = cluster.linesOf("jobWaiting", "job");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), lines.size());
        CPPUNIT_ASSERT_EQUAL(std::string("order"), lines.front().outcome);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), inputOf(lines.front(), "position"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), inputOf(lines.front(), "startsOrdered"));
    }

    // Guards against a step that might start by its own wait, but is skipped for a newer one of its image.
    void stepsAreNotSkippedForNewerOnesOfTheirImage()
    {
        Cluster cluster;
        cluster.learnInterference();
        cluster.world.submit("job", { fillingStep(4000) }, 3, 1);
        for (int i = 0; i < 10; ++i) {
            const std::string newer = "newer" + std::to_string(i);
            cluster.world.submit(newer, { fillingStep(4000) });
            cluster.planFor(1000);
            scheduler::cancelJob(cluster.state(), newer, cluster.now);
        }
        for (const Decision& line : cluster.linesOf("jobWaiting", "job"))
            CPPUNIT_ASSERT(line.outcome != "skipped");
        CPPUNIT_ASSERT(!cluster.linesOf("start", "job").empty());
    }

    // Guards against an unknown run that looks like a want of room.
    void unknownRunsNameTheWorkerTheyWaitFor()
    {
        Cluster cluster;
        cluster.world.submit("job", { step(1000) });
        cluster.world.run(500);
        cluster.world.replaceTerm();
        cluster.now = cluster.world.now();
        cluster.planFor(1100);
        const std::vector<Decision> lines = cluster.linesOf("jobWaiting", "job");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), lines.size());
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), lines.front().outcome);
        CPPUNIT_ASSERT(!lines.front().worker.empty());
    }

    // Guards against a job that counts as running although its worker does not answer.
    void runsOnLostWorkersDoNotCount()
    {
        Cluster cluster;
        cluster.world.submit("job", { lastingStep(1, 1000, "serve") });
        cluster.world.run(1000);
        cluster.now = cluster.world.now();
        const std::string worker = cluster.state().jobs.at("job")->occurrences.at(0).steps[0].tasks[0].worker;
        scheduler::applyContactLoss(cluster.state(), worker, cluster.now);
        cluster.planFor(2100);
        const std::vector<Decision> lines = cluster.linesOf("jobWaiting", "job");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), lines.size());
        CPPUNIT_ASSERT_EQUAL(std::string("workerLost"), lines.front().outcome);
        CPPUNIT_ASSERT_EQUAL(worker, lines.front().worker);
    }

    // Guards against a start without an answer that looks like a run.
    void startsWithoutAnswerAreTold()
    {
        Cluster cluster;
        cluster.world.submit("job", { step(1000) });
        cluster.planFor(2100);
        const std::vector<Decision> lines = cluster.linesOf("jobWaiting", "job");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), lines.size());
        CPPUNIT_ASSERT_EQUAL(std::string("startUnanswered"), lines.front().outcome);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t(1), cluster.state().waiting.lines[static_cast<std::size_t>(WaitReason::StartUnanswered)]);
    }

    // Guards against lines about jobs of which a part runs.
    void jobsWithRunsAreNotReported()
    {
        Cluster cluster;
        cluster.world.submit("job", { lastingStep(4, 7000, "serve") }); // three of four tasks have room
        cluster.world.run(2000);
        cluster.now = cluster.world.now();
        cluster.planFor(5000);
        CPPUNIT_ASSERT_EQUAL(3, cluster.state().jobs.at("job")->occurrences.at(0).steps[0].placed);
        CPPUNIT_ASSERT(cluster.linesOf("jobWaiting").empty());
        CPPUNIT_ASSERT_EQUAL(0, cluster.state().waiting.jobs);
    }

    // Guards against a limit of lines that hides the jobs that have waited longest.
    void theLongestWaitComesFirst()
    {
        Cluster cluster;
        cluster.changeWorkers(fillProcessors);
        for (int i = 0; i < 60; ++i) {
            cluster.world.submit("job" + std::to_string(100 - i), { step(1000) });
            cluster.planFor(50);
        }
        cluster.decisions.clear();
        cluster.planFor(1000);
        const std::vector<Decision> lines = cluster.linesOf("jobWaiting");
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), lines.size());
        for (std::size_t i = 1; i < lines.size(); ++i)
            CPPUNIT_ASSERT(inputOf(lines[i - 1], "withoutRunsMs") > inputOf(lines[i], "withoutRunsMs"));
    }

    // Guards against a shortage that fills the log, or that shows the same few jobs each time.
    void linesAreBoundedAndReachAllJobs()
    {
        Cluster cluster;
        cluster.changeWorkers(fillProcessors);
        for (int i = 0; i < 100; ++i)
            cluster.world.submit("job" + std::to_string(100 + i), { step(1000) });
        cluster.planFor(30000);
        const std::vector<Decision> lines = cluster.linesOf("jobWaiting");
        CPPUNIT_ASSERT(lines.size() <= std::size_t(8 * 30));
        std::set<std::string> reported;
        for (const Decision& line : lines)
            reported.insert(line.job);
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), reported.size());
        CPPUNIT_ASSERT_EQUAL(100, cluster.state().waiting.jobs);
    }

    // Guards against a check whose time grows with the product of jobs and workers.
    void causesAreBoundedOnManyWorkers()
    {
        Cluster cluster(1000);
        cluster.changeWorkers(fillProcessors);
        for (int i = 0; i < 100; ++i)
            cluster.world.submit("job" + std::to_string(100 + i), { step(1000) });
        cluster.planFor(1100);
        CPPUNIT_ASSERT_EQUAL(100, cluster.state().waiting.jobs);
        CPPUNIT_ASSERT_EQUAL(80, cluster.state().waiting.unchecked); // 20 causes on 1,000 workers
        CPPUNIT_ASSERT_EQUAL(20, cluster.state().waiting.byReason[static_cast<std::size_t>(WaitReason::NoRoom)]);
    }

    // Guards against waiting jobs whose log does not tell what room was left.
    void theSummaryCountsRoomAndReasons()
    {
        Cluster cluster;
        cluster.learnInterference();
        holdOverTarget(cluster.state().workers.at("w0"));
        Worker& empty = cluster.state().workers.at("w2");
        empty.servingImages.clear();
        empty.servingCpu = empty.cpuUsed = 0;
        cluster.world.submit("fill", { fillingStep(4000) });
        cluster.world.submit("plain", { step(9000) });
        cluster.planFor(1100);
        const std::vector<Decision> lines = cluster.linesOf("placement");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), lines.size());
        const Decision& line = lines.back();
        CPPUNIT_ASSERT_EQUAL(std::string("planned"), line.outcome);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), inputOf(line, "workers"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), inputOf(line, "workersWithoutServing"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), inputOf(line, "workersOverTarget"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(4000), inputOf(line, "idleMillicoresWithoutServing"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7550), inputOf(line, "idleMillicoresBesideServing"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7550), inputOf(line, "idleMillicoresOverTarget"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), inputOf(line, "waitingPlain"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), inputOf(line, "noRoom"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitingReportTest);

} // namespace
