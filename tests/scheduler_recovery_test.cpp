// Tests of recovery on a virtual clock: how long lasting tasks stay down when workers and terms are lost, over the
// number of workers, of unreachable workers and of terms in a row.
#include "scheduler_world.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing;
using namespace lacewing::test;

// ms after the end of its last run within which a lasting task runs again while workers have capacity for it: the
// platform grants 6000 ms, and reports the task as lost when it does not run for another 3000 ms.
constexpr Millis maxDownMs = 9000;
// ms from the begin of a term until tasks run again that no unreachable worker can hold: two reports and a plan
constexpr Millis maxStartMs = 500;

// Measures how long the tasks of lasting jobs are without a run.
class DownTimes {
public:
    explicit DownTimes(World& world)
        : m_world(world)
    {
    }

    void run(Millis length)
    {
        for (const Millis end = m_world.now() + length; m_world.now() < end;) {
            m_world.step();
            std::set<std::string> running;
            for (const SimWorker& worker : m_world.workers()) {
                for (const auto& [task, run] : worker.running)
                    running.insert(task);
            }
            for (const std::string& task : running) {
                m_downSince.erase(task);
                m_known.insert(task);
            }
            for (const std::string& task : m_known) {
                if (running.count(task) == 0)
                    m_longest = std::max(
                        m_longest, m_world.now() - m_downSince.try_emplace(task, m_world.now()).first->second);
            }
        }
    }

    Millis longest() const { return m_longest; }
    std::size_t down() const { return m_downSince.size(); }
    std::size_t known() const { return m_known.size(); }

private:
    World& m_world;
    std::set<std::string> m_known;
    std::map<std::string, Millis> m_downSince;
    Millis m_longest = 0;
};

struct Losses {
    int workers = 8;
    int unreachable = 1;
    int terms = 1;
    Millis betweenTermsMs = 2000;
};

// Runs one lasting task for each worker, cuts workers off for good and replaces the term several times in a row.
Millis longestDownTime(const Losses& losses)
{
    World world(1, losses.workers);
    for (int i = 0; i < losses.workers; ++i)
        world.submit("job" + std::to_string(i), { lastingStep(1, 3000, "image") });
    DownTimes times(world);
    times.run(1000);
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(losses.workers), times.known());
    for (int i = 0; i < losses.unreachable; ++i)
        world.worker(i).unreachableUntil = world.now() + 1000000;
    for (int i = 0; i < losses.terms; ++i) {
        times.run(losses.betweenTermsMs);
        world.replaceTerm();
    }
    times.run(20000);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), times.down());
    CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
    return times.longest();
}

class SchedulerRecoveryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SchedulerRecoveryTest);
    CPPUNIT_TEST(termsInARowDoNotBeginTheWaitForWorkersAnew);
    CPPUNIT_TEST(workersThatNeverAnsweredDoNotDelayATerm);
    CPPUNIT_TEST(workersLostAfterTheirReportDoNotDelayATerm);
    CPPUNIT_TEST(downTimeDoesNotGrowWithTheDeployment);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against tasks of a lost worker that stay down while each of several leaders in a row waits out the longest
    // lease.
    void termsInARowDoNotBeginTheWaitForWorkersAnew()
    {
        for (const int terms : { 1, 2, 3, 6, 10 }) {
            const Millis down = longestDownTime({ 8, 1, terms, 2000 });
            CPPUNIT_ASSERT_MESSAGE(
                std::to_string(terms) + " terms: down for " + std::to_string(down) + " ms", down <= maxDownMs);
        }
    }

    // Guards against an announced worker that nobody can reach, such as an odd entry, that delays each new term.
    void workersThatNeverAnsweredDoNotDelayATerm()
    {
        World world(1, 4);
        world.worker(3).unreachableUntil = world.now() + 1000000;
        world.submit("job", { lastingStep(3, 3000, "image") });
        DownTimes times(world);
        times.run(10000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), times.known());
        world.restartWorker(0);
        world.restartWorker(1);
        world.restartWorker(2);
        world.replaceTerm();
        times.run(maxStartMs);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), times.down());
        CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
    }

    // Guards against a term that waits again for workers that have reported to it and are lost one after the other.
    void workersLostAfterTheirReportDoNotDelayATerm()
    {
        World world(1, 12);
        world.submit("job", { lastingStep(12, 3000, "image") });
        DownTimes times(world);
        times.run(1000);
        world.worker(0).unreachableUntil = world.now() + 1000000;
        world.replaceTerm();
        for (int i = 1; i < 11; ++i) { // one of them is unreachable at any time
            times.run(1000);
            world.worker(i).unreachableUntil = world.now() + 1500;
        }
        times.run(1000);
        CPPUNIT_ASSERT_MESSAGE("down for " + std::to_string(times.longest()) + " ms", times.longest() <= maxDownMs);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), times.down());
        CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
    }

    // Guards against a recovery that takes longer the more workers there are, are unreachable, or the more terms there
    // were.
    void downTimeDoesNotGrowWithTheDeployment()
    {
        for (const int workers : { 8, 40, 160 }) {
            for (const int unreachable : { 1, workers / 4 }) {
                for (const int terms : { 1, 3, 8 }) {
                    const Millis down = longestDownTime({ workers, unreachable, terms, 1500 });
                    CPPUNIT_ASSERT_MESSAGE(std::to_string(workers) + " workers, " + std::to_string(unreachable)
                            + " unreachable, " + std::to_string(terms) + " terms: down for " + std::to_string(down)
                            + " ms",
                        down <= maxDownMs);
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerRecoveryTest);

} // namespace
