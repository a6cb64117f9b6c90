// Tests of placement where filling tasks slow serving tasks: no accepted job may have nothing running while workers
// have room, and serving tasks keep their targets.
//
// LACEWING_COLOCATION="seeds=1-20 heavy=0.8 workers=48 ..." (see seriesOf) makes printsMeasuresOfSeeds play whole
// courses and print their measures.
#include "colocation_world.h"

#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <iostream>
#include <sstream>

namespace {

using namespace lacewing;
using scheduler::Millis;
using test::ColocationMeasures;
using test::ColocationOptions;
using test::ColocationWorld;
using test::World;

struct Series {
    std::uint64_t firstSeed = 1;
    std::uint64_t lastSeed = 1;
    bool hasTable = false;
    ColocationOptions options;
};

Series seriesOf(const std::string& text)
{
    Series series;
    std::istringstream words(text);
    for (std::string word; words >> word;) {
        const std::size_t equals = word.find('=');
        const std::string name = word.substr(0, equals);
        const std::string value = equals == std::string::npos ? std::string() : word.substr(equals + 1);
        ColocationOptions& options = series.options;
        if (name == "seeds") {
            series.firstSeed = series.lastSeed = std::stoull(value);
            if (const std::size_t dash = value.find('-'); dash != std::string::npos)
                series.lastSeed = std::stoull(value.substr(dash + 1));
        } else if (name == "table") {
            series.hasTable = true;
        } else if (name == "heavy") {
            options.heavyShare = std::stod(value);
        } else if (name == "slope") {
            options.heavySlope = std::stod(value);
        } else if (name == "slopeSwing") {
            options.slopeSwing = std::stod(value);
        } else if (name == "workers") {
            options.workers = std::stoi(value);
        } else if (name == "stepMs") {
            options.stepMs = std::stoll(value);
        } else if (name == "servingImages") {
            options.servingImages = std::stoi(value);
        } else if (name == "fillingImages") {
            options.fillingImages = std::stoi(value);
        } else if (name == "servingJobs") {
            options.servingJobs = std::stod(value);
        } else if (name == "servingRate") {
            options.servingRate = std::stod(value);
        } else if (name == "fillingRate") {
            options.fillingRate = std::stod(value);
        } else if (name == "plainRate") {
            options.plainRate = std::stod(value);
        } else if (name == "stayS") {
            options.stayS = std::stod(value);
        } else if (name == "apart") {
            options.apartShare = std::stod(value);
        } else if (name == "outageFromMs") {
            options.outageFromMs = std::stoll(value);
        } else if (name == "outageMs") {
            options.outageMs = std::stoll(value);
        } else if (name == "trafficToMs") {
            options.trafficToMs = std::stoll(value);
        } else if (name == "endMs") {
            options.endMs = std::stoll(value);
        } else if (name == "emptyTable") {
            options.isTableStored = false;
        } else {
            CPPUNIT_FAIL("unknown word in LACEWING_COLOCATION: " + word);
        }
    }
    return series;
}

void print(const ColocationMeasures& measures, std::uint64_t seed, const std::string& violation)
{
    std::cout << "seed " << seed << ": lost " << measures.lostJobs << ", waiting " << measures.waitingJobs
              << ", longest wait " << measures.longestWaitMs << " ms, over target " << std::lround(measures.overTargetS)
              << " s, longest " << measures.longestOverTargetMs << " ms, harmed " << measures.harmedTasks << ", timely "
              << measures.timelyJobs << " of " << measures.jobs << ", filling " << std::lround(measures.fillingS)
              << " core-s, serving workers " << measures.servingWorkers << " needed " << measures.neededServingWorkers
              << " excess " << std::lround(measures.excessWorkerS) << " worker-s, reserved "
              << std::lround(100 * measures.reservedShare) << "%, starts " << measures.starts << ", evictions "
              << measures.evictions << ", pairs overrated " << measures.overratedPairs << " underrated "
              << measures.underratedPairs << " unknown " << measures.unknownPairs
              << (violation.empty() ? "" : ", VIOLATION " + violation) << std::endl;
}

// Table of one pair of images without uncertainty. Readings of 0 leave it as it is.
scheduler::Interference knownSlope(const std::string& serving, const std::string& fill, double aloneMs, double slope)
{
    scheduler::ServingModel model;
    model.indices[fill] = 1;
    model.estimates = { std::log(aloneMs), slope };
    model.covariance = { 0.001, 0, 0, 0.001 };
    model.lastSeenReading = { 0, 0 };
    scheduler::Interference table;
    table.models[serving] = model;
    return table;
}

scheduler::Step fillingStep(int count, int cpuMillicores, int estimateMs)
{
    scheduler::Step step = test::plainStep(count, cpuMillicores, estimateMs);
    step.isFilling = step.hasCheckpoints = true;
    step.image = "fill";
    return step;
}

// Longest time that a job may have nothing running while workers have room (platform rule).
constexpr Millis maxWaitMs = 3000;
constexpr Millis stepMs = 50;
constexpr double aloneMs = 5;
// Growth of ln(tail) up to the target of lastingStep.
const double headroom = std::log(20 / aloneMs);

// Time until a task has run; at most `limit`.
Millis waitOf(World& world, const std::string& task, Millis limit)
{
    const Millis since = world.now();
    while (world.starts(task) == 0 && world.now() - since < limit)
        world.step(stepMs);
    return world.now() - since;
}

// A deployment of 8-core workers with one task of 3.2 cores of a serving job s0, s1, ... on each.
void serveOnAllWorkers(World& world, double slope)
{
    world.step(stepMs);
    world.scheduler().interference = knownSlope("serving", "fill", aloneMs, slope);
    scheduler::Step step = test::lastingStep(static_cast<int>(world.workers().size()), 3200, "serving");
    step.maxPerWorker = 1;
    world.submit("s", { step });
    world.run(1000);
}

void playCourses(ColocationOptions options, const std::vector<std::uint64_t>& seeds)
{
    int lostJobs = 0;
    for (const std::uint64_t seed : seeds) {
        options.seed = seed;
        ColocationWorld world(options);
        const ColocationMeasures measures = world.play();
        CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
        CPPUNIT_ASSERT_EQUAL(0, measures.harmedTasks);
        lostJobs += measures.lostJobs;
    }
    CPPUNIT_ASSERT_EQUAL(0, lostJobs);
}

class SchedulerColocationTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SchedulerColocationTest);
    CPPUNIT_TEST(interferingJobsRunWhileServingTasksLeaveHalfOfTheProcessors);
    CPPUNIT_TEST(interferingJobsRunAfterAnOutageOfAllDaemons);
    CPPUNIT_TEST(fewServingTasksDoNotOccupyAllWorkers);
    CPPUNIT_TEST(servingTasksOfManyImagesDoNotOccupyAllWorkers);
    CPPUNIT_TEST(jobWithoutRunsIsNotHeldUpByAWideJob);
    CPPUNIT_TEST(jobThatHasWaitedIsNotSkippedBecauseANewerOneWasRefused);
    CPPUNIT_TEST(trialsDoNotBecomeRarerWithMoreWorkers);
    CPPUNIT_TEST(printsMeasuresOfSeeds);
    CPPUNIT_TEST_SUITE_END();

public:
    static ColocationOptions smallOptions()
    {
        ColocationOptions options;
        options.workers = 12;
        options.stepMs = 100;
        options.heavyShare = 0.8;
        return options;
    }

    // Guards against jobs without runs that wait for workers without serving tasks.
    void interferingJobsRunWhileServingTasksLeaveHalfOfTheProcessors()
    {
        ColocationOptions options = smallOptions();
        options.stayS = 35;
        options.outageMs = 0;
        options.trafficToMs = 25000;
        options.endMs = 39000;
        playCourses(options, { 19, 21, 26 });
    }

    // Guards against the same failure when all jobs wait at the start of a term.
    void interferingJobsRunAfterAnOutageOfAllDaemons() { playCourses(smallOptions(), { 8, 28 }); }

    // Guards against serving tasks that stay on all workers as others end: 20 of 64 cores, one task on each worker.
    void fewServingTasksDoNotOccupyAllWorkers()
    {
        World world(1, 8);
        world.step(stepMs);
        world.scheduler().interference = knownSlope("serving", "fill", aloneMs, 8 * headroom);
        for (int i = 0; i < 8; ++i) { // together as large as a worker
            world.submit("s" + std::to_string(i), { test::lastingStep(1, 2500, "serving") });
            world.submit("ended" + std::to_string(i), { test::lastingStep(1, 5500, "serving") });
            world.run(200);
        }
        world.run(1000);
        CPPUNIT_ASSERT_EQUAL(16, world.runningTasks());
        for (int i = 0; i < 8; ++i)
            world.cancel("ended" + std::to_string(i));
        world.run(1000);
        CPPUNIT_ASSERT_EQUAL(8, world.runningTasks());
        world.submit("f", { fillingStep(1, 2000, 1000) });
        CPPUNIT_ASSERT(waitOf(world, "f.0.0.0", 4 * maxWaitMs) <= maxWaitMs);
    }

    // Guards against serving tasks of many images that take an empty worker each: 20 of 64 cores.
    void servingTasksOfManyImagesDoNotOccupyAllWorkers()
    {
        World world(1, 8);
        world.step(stepMs);
        for (int i = 0; i < 8; ++i) {
            const std::string image = "serving" + std::to_string(i);
            world.scheduler().interference.models[image]
                = knownSlope(image, "fill", aloneMs, 8 * headroom).models.at(image);
            world.submit("s" + std::to_string(i), { test::lastingStep(1, 2500, image) });
        }
        world.run(1000);
        CPPUNIT_ASSERT_EQUAL(8, world.runningTasks());
        world.submit("f", { fillingStep(1, 2000, 1000) });
        CPPUNIT_ASSERT(waitOf(world, "f.0.0.0", 4 * maxWaitMs) <= maxWaitMs);
    }

    // Guards against an order by deadline alone: the wide job, also late, takes each processor that becomes free.
    void jobWithoutRunsIsNotHeldUpByAWideJob()
    {
        World world(1, 2);
        world.step(stepMs);
        world.submit("wide", { fillingStep(200, 1000, 1000) });
        world.run(200);
        world.submit("narrow", { fillingStep(1, 1000, 100) });
        CPPUNIT_ASSERT(waitOf(world, "narrow.0.0.0", 20000) <= maxWaitMs);
    }

    // Guards against a refusal that is taken over for a job whose interference limit is higher.
    void jobThatHasWaitedIsNotSkippedBecauseANewerOneWasRefused()
    {
        World world(1, 1);
        const double share = 0.25; // of the processors
        serveOnAllWorkers(world, 0.42 * headroom / share);
        world.submit("alone", { fillingStep(1, 2000, 1000) }, 3, 1);
        CPPUNIT_ASSERT(waitOf(world, "alone.0.0.0", 4 * maxWaitMs) <= maxWaitMs);
        world.run(maxWaitMs);
        world.submit("old", { fillingStep(1, 2000, 1000) }, 3, 1);
        const Millis since = world.now();
        for (int i = 0; world.starts("old.0.0.0") == 0 && world.now() - since < 4 * maxWaitMs; ++i) {
            const std::string id = "new" + std::to_string(i);
            world.submit(id, { fillingStep(1, 2000, 1000) }, 3, 0);
            world.run(500);
            world.cancel(id);
        }
        CPPUNIT_ASSERT(world.now() - since <= maxWaitMs);
    }

    // Guards against a limit of trials for all workers together.
    void trialsDoNotBecomeRarerWithMoreWorkers()
    {
        World world(1, 12);
        const double share = 0.25; // of the processors
        serveOnAllWorkers(world, 0.42 * headroom / share);
        for (int i = 0; i < 12; ++i)
            world.submit("f" + std::to_string(i), { fillingStep(1, 2000, 10000) });
        world.run(maxWaitMs);
        int started = 0;
        for (int i = 0; i < 12; ++i)
            started += world.starts("f" + std::to_string(i) + ".0.0.0");
        CPPUNIT_ASSERT_EQUAL(12, started);
    }

    // Plays nothing unless LACEWING_COLOCATION is set.
    void printsMeasuresOfSeeds()
    {
        const char* text = std::getenv("LACEWING_COLOCATION");
        if (!text)
            return;
        const Series series = seriesOf(text);
        ColocationMeasures total;
        int lostSeeds = 0;
        for (std::uint64_t seed = series.firstSeed; seed <= series.lastSeed; ++seed) {
            ColocationOptions options = series.options;
            options.seed = seed;
            ColocationWorld world(options);
            const ColocationMeasures measures = world.play(series.hasTable ? &std::cout : nullptr);
            print(measures, seed, world.violation());
            lostSeeds += measures.lostJobs > 0 ? 1 : 0;
            total.jobs += measures.jobs;
            total.timelyJobs += measures.timelyJobs;
            total.lostJobs += measures.lostJobs;
            total.waitingJobs += measures.waitingJobs;
            total.longestWaitMs = std::max(total.longestWaitMs, measures.longestWaitMs);
            total.overTargetS += measures.overTargetS;
            total.longestOverTargetMs = std::max(total.longestOverTargetMs, measures.longestOverTargetMs);
            total.harmedTasks += measures.harmedTasks;
            total.fillingS += measures.fillingS;
            total.evictions += measures.evictions;
        }
        std::cout << "all: seeds with lost jobs " << lostSeeds << ", lost " << total.lostJobs << ", waiting "
                  << total.waitingJobs << ", longest wait " << total.longestWaitMs << " ms, over target "
                  << std::lround(total.overTargetS) << " s, longest " << total.longestOverTargetMs << " ms, harmed "
                  << total.harmedTasks << ", timely " << total.timelyJobs << " of " << total.jobs << ", filling "
                  << std::lround(total.fillingS) << " core-s, evictions " << total.evictions << std::endl;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerColocationTest);

} // namespace
