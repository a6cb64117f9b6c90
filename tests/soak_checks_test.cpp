// Tests of the soak's checks: each promise that is broken in a log of runs is reported, and what is allowed is not.
#include "soak/checks.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing;
using namespace lacewing::soak;

const std::string job = "00000000000000aa";
const std::string task = job + ".0.0.0";

struct Log {
    Checks checks;

    explicit Log(bool isLasting)
    {
        checks.jobs[job].shape.isLasting = isLasting;
        checks.jobs[job].acceptedAt = 1;
    }

    // Events of the task's runs in the order of the log.
    void add(std::int64_t at, const std::string& what, int run, const std::string& worker = "w0")
    {
        applyRuns(checks, { { { checks.lastEvent + 1, at, what, task, run, worker } }, at });
        checkRunning(checks);
    }

    // The log is read at that time and has no new event.
    void readAt(std::int64_t at)
    {
        applyRuns(checks, { {}, at });
        checkRunning(checks);
    }

    bool hasViolation(const std::string& begin) const
    {
        return checks.violations.size() == 1 && checks.violations[0].rfind(begin, 0) == 0;
    }
};

class SoakChecksTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SoakChecksTest);
    CPPUNIT_TEST(runsInTurnAreAllowed);
    CPPUNIT_TEST(twoRunsOfATaskAreReported);
    CPPUNIT_TEST(startsAfterAnAcknowledgedEndAreReported);
    CPPUNIT_TEST(startsBeforeTheEndIsAcknowledgedAreReported);
    CPPUNIT_TEST(runsOfRefusedAndUnknownJobsAreReported);
    CPPUNIT_TEST(startsAfterACancelAreReported);
    CPPUNIT_TEST(lastingTasksThatStayDownAreReported);
    CPPUNIT_TEST(lastingTasksMayBeDownBesideDisturbances);
    CPPUNIT_TEST(jobsCompletedTooEarlyAreReported);
    CPPUNIT_TEST(answersByAReplacedConfigurationAreReported);
    CPPUNIT_TEST_SUITE_END();

    void runsInTurnAreAllowed()
    {
        Log log(false);
        log.add(10, "started", 1);
        log.add(20, "lost", 1);
        log.add(30, "started", 2, "w1");
        log.add(40, "done", 2, "w1");
        log.add(50, "acknowledged", 2, "w1");
        checkFinalState(log.checks, job, scheduler::JobState::Completed);
        CPPUNIT_ASSERT(log.checks.violations.empty());
    }

    void twoRunsOfATaskAreReported()
    {
        Log log(false);
        log.add(10, "started", 1);
        log.add(20, "started", 2, "w1");
        CPPUNIT_ASSERT(log.hasViolation("two runs"));
    }

    void startsAfterAnAcknowledgedEndAreReported()
    {
        Log log(false);
        log.add(10, "started", 1);
        log.add(20, "done", 1);
        log.add(30, "acknowledged", 1);
        log.add(40, "started", 2, "w1");
        CPPUNIT_ASSERT(log.hasViolation("start after an acknowledged end"));
    }

    void startsBeforeTheEndIsAcknowledgedAreReported()
    {
        Log log(false);
        log.add(10, "started", 1);
        log.add(20, "done", 1);
        log.add(30, "started", 2, "w1");
        CPPUNIT_ASSERT(log.checks.violations.empty());
        log.add(40, "acknowledged", 1);
        CPPUNIT_ASSERT(log.hasViolation("start after an end that was then acknowledged"));
    }

    void runsOfRefusedAndUnknownJobsAreReported()
    {
        Log refused(false);
        refused.checks.jobs[job].isRefused = true;
        refused.add(10, "started", 1);
        CPPUNIT_ASSERT(refused.hasViolation("a refused job"));
        Log unknown(false);
        unknown.checks.jobs.clear();
        unknown.add(10, "started", 1);
        CPPUNIT_ASSERT(unknown.hasViolation("a job that nobody submitted"));
    }

    void startsAfterACancelAreReported()
    {
        Log log(false);
        log.checks.jobs[job].cancelSentAt = 100;
        log.checks.jobs[job].cancelledAt = 110;
        log.add(110 + cancelMs, "started", 1);
        CPPUNIT_ASSERT(log.checks.violations.empty());
        log.add(111 + cancelMs, "stopped", 1);
        log.add(112 + cancelMs, "started", 2);
        CPPUNIT_ASSERT(log.hasViolation("start after the cancel"));
        Log disturbed(false);
        disturbed.checks.jobs[job].cancelSentAt = 100;
        disturbed.checks.jobs[job].cancelledAt = 110;
        disturbed.checks.disturbances.push_back({ 100, 120, false });
        disturbed.add(111 + cancelMs, "started", 1);
        CPPUNIT_ASSERT(disturbed.hasViolation("start after the cancel"));
    }

    void lastingTasksThatStayDownAreReported()
    {
        Log log(true);
        log.add(10, "started", 1);
        log.add(20, "lapsed", 1);
        log.readAt(19 + lastingDownMs);
        CPPUNIT_ASSERT(log.checks.violations.empty());
        log.readAt(20 + lastingDownMs);
        CPPUNIT_ASSERT(log.hasViolation("a lasting task does not run"));
    }

    void lastingTasksMayBeDownBesideDisturbances()
    {
        Log log(true);
        const std::int64_t disturbedUntil = 5000;
        log.checks.disturbances.push_back({ 0, disturbedUntil, false });
        log.add(10, "started", 1);
        log.add(20, "lapsed", 1);
        log.readAt(disturbedUntil + calmMs + absentMs);
        CPPUNIT_ASSERT(log.checks.violations.empty());
        log.readAt(disturbedUntil + calmMs + absentMs + 1);
        CPPUNIT_ASSERT(log.hasViolation("a lasting task does not run"));
    }

    void jobsCompletedTooEarlyAreReported()
    {
        Log log(false);
        log.add(10, "started", 1);
        checkFinalState(log.checks, job, scheduler::JobState::Completed);
        CPPUNIT_ASSERT(log.hasViolation("a job is shown as completed"));
    }

    void answersByAReplacedConfigurationAreReported()
    {
        const int added = 4;
        const int removing = added + keptVersions;
        std::map<int, VersionFacts> versions;
        versions[added] = { 1000, 1010 };
        CPPUNIT_ASSERT(!isOutdated(versions, added, 404, 3010, 3020)); // within the bound
        CPPUNIT_ASSERT(isOutdated(versions, added, 404, 3011, 3020));
        CPPUNIT_ASSERT(!isOutdated(versions, added, 503, 3011, 3020));
        CPPUNIT_ASSERT(!isOutdated(versions, added, 200, 3011, 3020));
        versions[removing] = { 4000, 0 };
        CPPUNIT_ASSERT(!isOutdated(versions, added, 404, 3900, 4100)); // the version may have been accepted
        CPPUNIT_ASSERT(!isOutdated(versions, added, 200, 9000, 9010)); // or not
        versions[removing].acceptedAt = 4010;
        CPPUNIT_ASSERT(!isOutdated(versions, added, 200, 6010, 6020));
        CPPUNIT_ASSERT(isOutdated(versions, added, 200, 6011, 6020));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoakChecksTest);

} // namespace
