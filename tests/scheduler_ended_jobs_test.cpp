// Tests of the short records that take the place of accepted jobs once they have ended.
#include "scheduler_world.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing;
using namespace lacewing::test;
using scheduler::JobState;

class SchedulerEndedJobsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SchedulerEndedJobsTest);
    CPPUNIT_TEST(recordsAreToldApart);
    CPPUNIT_TEST(recordsNameTheAccountOfTheJob);
    CPPUNIT_TEST(jobsAreShortenedOnceTheirEndIsStored);
    CPPUNIT_TEST(endedJobsStayEndedOverTerms);
    CPPUNIT_TEST(runsOfShortenedJobsAreStopped);
    CPPUNIT_TEST_SUITE_END();

public:
    void recordsAreToldApart()
    {
        const QByteArray ended = scheduler::encodeEnded({ "0123456789abcdef", JobState::Cancelled, 77 });
        const auto decoded = scheduler::decodeEnded(ended);
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("0123456789abcdef"), decoded->id);
        CPPUNIT_ASSERT(decoded->state == JobState::Cancelled);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(77), decoded->endedUnixMs);
        CPPUNIT_ASSERT(!scheduler::decodeAccepted(ended).has_value());
        scheduler::AcceptedJob job;
        job.request.id = "0123456789abcdef";
        job.request.steps = { plainStep(2, 1000, 100) };
        const QByteArray accepted = scheduler::encodeAccepted(job);
        CPPUNIT_ASSERT(scheduler::decodeAccepted(accepted).has_value());
        CPPUNIT_ASSERT(!scheduler::decodeEnded(accepted).has_value());
        for (const char* other : { "", "{}", "[]", R"({"id":"a","ended":"running"})", R"({"id":7,"ended":"completed"})",
                 R"({"id":"a","ended":"nothing"})" })
            CPPUNIT_ASSERT(!scheduler::decodeEnded(other).has_value());
    }

    // Guards against a job that other accounts can read once it has ended, or once a new term has loaded it; against
    // records of ended jobs too long to be told from accepted ones; and against other records without accounts.
    void recordsNameTheAccountOfTheJob()
    {
        const std::string id = "0123456789abcdef";
        scheduler::AcceptedJob job;
        job.request.id = id;
        job.request.steps = { plainStep(2, 1000, 100) };
        const QByteArray plain = scheduler::encodeAccepted(job);
        CPPUNIT_ASSERT(!plain.contains("account") && scheduler::decodeAccount(plain).empty());
        CPPUNIT_ASSERT(!scheduler::encodeEnded({ id, JobState::Completed, 77 }).contains("account"));
        CPPUNIT_ASSERT(scheduler::decodeAccount("no json").empty());
        for (const std::string& name : { std::string("a"), std::string(64, '"'), std::string(64, '\\') }) {
            job.request.account = name;
            const QByteArray accepted = scheduler::encodeAccepted(job);
            CPPUNIT_ASSERT_EQUAL(name, scheduler::decodeAccount(accepted));
            CPPUNIT_ASSERT_EQUAL(name, scheduler::decodeAccepted(accepted)->request.account);
            const QByteArray ended = scheduler::encodeEnded({ id, JobState::Completed, 1781000000000, name });
            CPPUNIT_ASSERT_EQUAL(name, scheduler::decodeAccount(ended));
            scheduler::Scheduler state;
            scheduler::addEndedJob(state, scheduler::decodeEnded(ended).value(), 5);
            CPPUNIT_ASSERT_EQUAL(name, state.jobs.at(id)->request.account);
        }
    }

    // Guards against losing the steps of a job that still needs them.
    void jobsAreShortenedOnceTheirEndIsStored()
    {
        World world(1, 2);
        world.faults.isStoreUnavailable = true;
        world.submit("job", { plainStep(2, 1000, 300) });
        world.run(2000);
        CPPUNIT_ASSERT(world.scheduler().retired.empty()); // it has ended, but its end is not stored
        world.faults.isStoreUnavailable = false;
        world.run(500);
        const scheduler::Job& job = *world.scheduler().jobs.at("job");
        CPPUNIT_ASSERT(job.committedState == JobState::Completed);
        CPPUNIT_ASSERT(job.isRecordShort);
        CPPUNIT_ASSERT(scheduler::jobsToShorten(world.scheduler(), 10).empty()); // each once
    }

    // Guards against running a job again, or showing another end, after a term has read its short record.
    void endedJobsStayEndedOverTerms()
    {
        World world(3, 4);
        for (int i = 0; i < 20; ++i)
            world.submit("done" + std::to_string(i), { plainStep(2, 500, 200) });
        world.submit("cancelled", { plainStep(1, 500, 60000) });
        world.submit("open", { plainStep(1, 500, 60000) });
        world.run(300);
        world.cancel("cancelled");
        world.run(5000);
        const int starts = world.starts("done3.0.0.0");
        for (int term = 0; term < 3; ++term) {
            world.replaceTerm();
            world.run(3000);
        }
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT(world.committedState("done" + std::to_string(i)) == JobState::Completed);
        CPPUNIT_ASSERT(world.scheduler().jobs.at("done3")->request.steps.empty());
        CPPUNIT_ASSERT(world.committedState("cancelled") == JobState::Cancelled);
        CPPUNIT_ASSERT(world.committedState("open") == JobState::Running);
        CPPUNIT_ASSERT_EQUAL(starts, world.starts("done3.0.0.0"));
        CPPUNIT_ASSERT_EQUAL(1, world.starts("open.0.0.0"));
        CPPUNIT_ASSERT_EQUAL(std::string(), world.violation());
    }

    // Guards against a run that goes on because no record says what it belongs to.
    void runsOfShortenedJobsAreStopped()
    {
        World world(5, 2);
        world.submit("cancelled", { plainStep(1, 500, 600000) });
        world.run(500);
        SimRun run = world.worker(0).running.empty() ? world.worker(1).running.begin()->second
                                                     : world.worker(0).running.begin()->second;
        world.cancel("cancelled");
        world.run(3000);
        CPPUNIT_ASSERT_EQUAL(0, world.runningTasks());
        world.replaceTerm();
        world.run(1000);
        world.worker(0).running["cancelled.0.0.0"] = run; // as if a late start had been executed
        world.run(2000);
        CPPUNIT_ASSERT_EQUAL(0, world.runningTasks());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerEndedJobsTest);

} // namespace
