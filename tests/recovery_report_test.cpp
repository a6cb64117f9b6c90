// Tests of the reports for operators: which worker delays the accounting of a term, how far the term has come, and why
// lasting tasks do not run.
#include "scheduler/internal.h"
#include "scheduler_world.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <map>
#include <set>

namespace {

using namespace lacewing;
using namespace lacewing::test;
using scheduler::AccountingDelay;
using scheduler::Decision;
using scheduler::Scheduler;

class RecoveryReportTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RecoveryReportTest);
    CPPUNIT_TEST(theWorkerThatDelaysATermIsNamed);
    CPPUNIT_TEST(waitingIsLoggedOnceASecond);
    CPPUNIT_TEST(truncatedEndListsAreCounted);
    CPPUNIT_TEST(theFirstFreedStartIsRecorded);
    CPPUNIT_TEST(unknownTasksNameTheWorkerTheyWaitFor);
    CPPUNIT_TEST(locatedTasksNameTheirOwnWorker);
    CPPUNIT_TEST(tasksOnLostWorkersAreReported);
    CPPUNIT_TEST(unansweredStartsAreReported);
    CPPUNIT_TEST(eachCauseOfAWaitingTaskIsTold);
    CPPUNIT_TEST(theReserveForShortTasksIsTold);
    CPPUNIT_TEST(runningTasksAreNotReported);
    CPPUNIT_TEST(linesAreBoundedAndCoverAllTasks);
    CPPUNIT_TEST_SUITE_END();

    // A deployment of three workers in a new term that w2 does not answer.
    struct Term {
        World world { 1, 3 };
        std::vector<Decision> decisions;
        scheduler::Millis validMs = 1000; // that the term is valid after each plan

        std::string host; // of job.0.0.0 in the former term

        explicit Term(bool hasRunRecords = true)
        {
            world.submit("job", { lastingStep(1, 1000, "image") });
            world.submit("batch", { plainStep(1, 1000, 60000) });
            world.run(2000);
            host = state().jobs.at("job")->occurrences.at(0).steps[0].tasks[0].worker;
            if (!hasRunRecords)
                world.breakRunRecords();
            world.replaceTerm();
            world.faults = {};
        }

        Scheduler& state() { return world.scheduler(); }

        void reportAll()
        {
            planFor(50);
            for (int i = 0; i < 3; ++i)
                report(i);
        }

        void report(int index, bool isEndListTruncated = false)
        {
            scheduler::WorkerReport report;
            report.clockMs = world.now();
            report.incarnationUnixMs = 1;
            report.isEndListTruncated = isEndListTruncated;
            scheduler::applyReport(state(), world.worker(index).entry.id, report, world.now(), world.now());
            scheduler::applyLeaseTable(state(), scheduler::nextLeaseTable(state(), true, world.now()), world.now());
        }

        // Plans every 50 ms without any further answer of a worker; returns the starts.
        int planFor(scheduler::Millis length)
        {
            std::vector<scheduler::WorkerEntry> entries;
            for (const SimWorker& worker : world.workers())
                entries.push_back(worker.entry);
            int starts = 0;
            for (scheduler::Millis passed = 0; passed < length; passed += 50) {
                const scheduler::Millis now = world.now() + passed;
                scheduler::setWorkers(state(), entries, now, now);
                state().validUntil = now + validMs;
                starts += static_cast<int>(scheduler::plan(state(), now, now).starts.size());
                for (Decision& decision : scheduler::takeDecisions(state()))
                    decisions.push_back(std::move(decision));
            }
            return starts;
        }

        std::vector<Decision> eventsOf(std::string_view event) const
        {
            std::vector<Decision> found;
            std::copy_if(decisions.begin(), decisions.end(), std::back_inserter(found),
                [&](const Decision& decision) { return decision.event == event; });
            return found;
        }
    };

    static std::int64_t inputOf(const Decision& decision, std::string_view key)
    {
        for (const auto& [name, value] : decision.inputs) {
            if (key == name)
                return value;
        }
        CPPUNIT_FAIL("no input " + std::string(key));
        return 0;
    }

public:
    // Guards against a term that takes seconds and whose log does not tell for which worker.
    void theWorkerThatDelaysATermIsNamed()
    {
        Term term;
        term.planFor(50);
        term.report(0);
        term.report(1);
        scheduler::applyContactLoss(term.state(), "w2", term.world.now());
        term.planFor(10000);
        const std::vector<Decision> waiting = term.eventsOf("termWaiting");
        CPPUNIT_ASSERT(waiting.size() >= 2);
        CPPUNIT_ASSERT_EQUAL(std::string("notReported"), waiting.front().outcome);
        CPPUNIT_ASSERT_EQUAL(std::string("w2"), waiting.back().worker);
        CPPUNIT_ASSERT_EQUAL(std::string("leaseNotOver"), waiting.back().outcome);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), inputOf(waiting.back(), "leaseNotOver"));
        const std::vector<Decision> accounted = term.eventsOf("termAccounted");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), accounted.size());
        CPPUNIT_ASSERT_EQUAL(std::string("w2"), accounted.front().worker);
        CPPUNIT_ASSERT_EQUAL(std::string("leaseNotOver"), accounted.front().texts.front().second);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), inputOf(accounted.front(), "unreachable"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), inputOf(accounted.front(), "workers"));
    }

    // Guards against a wait that fills the log, and against a remaining time that does not lead to its end.
    void waitingIsLoggedOnceASecond()
    {
        Term term;
        term.planFor(10000);
        const std::vector<Decision> waiting = term.eventsOf("termWaiting");
        const std::vector<Decision> accounted = term.eventsOf("termAccounted");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), accounted.size());
        const std::int64_t tookMs = inputOf(accounted.front(), "sinceMs");
        CPPUNIT_ASSERT(static_cast<std::int64_t>(waiting.size()) <= tookMs / 1000 + 1);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), inputOf(waiting.front(), "unknownTasks"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), inputOf(waiting.front(), "unknownLasting"));
        for (const Decision& line : waiting) {
            const std::int64_t expectedMs = inputOf(line, "sinceMs") + inputOf(line, "leftMs");
            CPPUNIT_ASSERT(std::abs(expectedMs - tookMs) <= 50); // one plan
        }
    }

    // Guards against a worker whose missing ends cannot be told from a complete report.
    void truncatedEndListsAreCounted()
    {
        Term term;
        term.planFor(50);
        term.report(0, true);
        term.report(1);
        CPPUNIT_ASSERT(scheduler::accountingDelay(term.state().workers.at("w0")) == AccountingDelay::EndListTruncated);
        CPPUNIT_ASSERT(scheduler::accountingDelay(term.state().workers.at("w1")) == AccountingDelay::None);
        const scheduler::AccountingStatus status = scheduler::accountingStatus(term.state(), term.world.now());
        CPPUNIT_ASSERT_EQUAL(1, status.byDelay[static_cast<std::size_t>(AccountingDelay::EndListTruncated)]);
    }

    // Guards against a term that is accounted for, but starts nothing, without a trace of it.
    void theFirstFreedStartIsRecorded()
    {
        Term term;
        term.reportAll();
        CPPUNIT_ASSERT_EQUAL(scheduler::Millis(0), term.state().recovery.firstFreedStartAt);
        CPPUNIT_ASSERT_EQUAL(2, term.planFor(50));
        CPPUNIT_ASSERT_EQUAL(term.world.now(), term.state().recovery.accountedAt);
        CPPUNIT_ASSERT_EQUAL(term.world.now(), term.state().recovery.firstFreedStartAt);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), inputOf(term.eventsOf("termAccounted").front(), "freedTasks"));
    }

    // Guards against a lasting task that waits for the account of all workers without a line that says so.
    void unknownTasksNameTheWorkerTheyWaitFor()
    {
        Term term(false);
        term.planFor(50);
        term.report(0);
        term.report(1);
        scheduler::applyContactLoss(term.state(), "w2", term.world.now());
        term.planFor(5000);
        const std::vector<Decision> lines = term.eventsOf("lastingTaskDown");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), lines.size());
        CPPUNIT_ASSERT_EQUAL(std::string("job.0.0.0"), lines.front().task);
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), lines.front().outcome);
        CPPUNIT_ASSERT_EQUAL(std::string("w2"), lines.front().worker);
        CPPUNIT_ASSERT(inputOf(lines.front(), "leftMs") > 0);
        CPPUNIT_ASSERT(inputOf(lines.front(), "downMs") > 3000);
    }

    // Guards against a lasting task that waits for the worker of its record while another one is blamed.
    void locatedTasksNameTheirOwnWorker()
    {
        Term term;
        term.planFor(50);
        for (int i = 0; i < 3; ++i) {
            if (term.world.worker(i).entry.id != term.host)
                term.report(i);
        }
        scheduler::applyContactLoss(term.state(), term.host, term.world.now());
        term.planFor(5000);
        const std::vector<Decision> lines = term.eventsOf("lastingTaskDown");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), lines.size());
        CPPUNIT_ASSERT_EQUAL(std::string("job.0.0.0"), lines.front().task);
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), lines.front().outcome);
        CPPUNIT_ASSERT_EQUAL(term.host, lines.front().worker);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), inputOf(lines.front(), "isWorkerKnown"));
        CPPUNIT_ASSERT(inputOf(lines.front(), "leftMs") > 0);
    }

    // Guards against a task that counts as running although its worker does not answer any more.
    void tasksOnLostWorkersAreReported()
    {
        Term term;
        term.world.run(2000);
        const std::string worker = term.state().jobs.at("job")->occurrences.at(0).steps[0].tasks[0].worker;
        scheduler::applyContactLoss(term.state(), worker, term.world.now());
        term.planFor(5000);
        const std::vector<Decision> lines = term.eventsOf("lastingTaskDown");
        CPPUNIT_ASSERT(!lines.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("workerLost"), lines.front().outcome);
        CPPUNIT_ASSERT_EQUAL(worker, lines.front().worker);
        CPPUNIT_ASSERT(inputOf(lines.front(), "leftMs") > 0);
    }

    // Guards against a start without an answer that looks like one that was never ordered.
    void unansweredStartsAreReported()
    {
        Term term;
        term.reportAll();
        term.planFor(5000);
        const std::vector<Decision> lines = term.eventsOf("lastingTaskDown");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), lines.size());
        CPPUNIT_ASSERT_EQUAL(std::string("startUnanswered"), lines.front().outcome);
        CPPUNIT_ASSERT(!lines.front().worker.empty() && lines.front().run > 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
            term.state().down.lines[static_cast<std::size_t>(scheduler::WaitReason::StartUnanswered)]);
    }

    // Guards against causes of a late start that the log cannot tell apart.
    void eachCauseOfAWaitingTaskIsTold()
    {
        struct Case {
            std::string reason;
            std::function<void(Term&)> prepare;
        };
        const auto avoidAll = [](Term& term) {
            for (auto& [id, worker] : term.state().workers)
                worker.avoidUntil = term.world.now() + 60000;
        };
        const Case cases[] = {
            { "noConfiguration", [](Term& term) { term.validMs = 0; } },
            { "termNotValid",
                [](Term& term) {
                    term.validMs = 0;
                    term.state().configuration.version = 1;
                } },
            { "noUsableWorker",
                [](Term& term) {
                    term.world.withdraw("dc0");
                    term.world.withdraw("dc1");
                } },
            { "noRoom",
                [](Term& term) {
                    for (auto& [id, worker] : term.state().workers)
                        worker.cpuUsed = worker.entry.capacity.cpuMillicores;
                } },
            { "avoidedWorkers", avoidAll },
            { "startLimit", [](Term& term) { term.state().startLimit = 0; } },
        };
        for (const Case& entry : cases) {
            Term term;
            term.reportAll();
            entry.prepare(term);
            term.planFor(5000);
            const std::vector<Decision> lines = term.eventsOf("lastingTaskDown");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(entry.reason, std::size_t(1), lines.size());
            CPPUNIT_ASSERT_EQUAL(entry.reason, lines.front().outcome);
        }
    }

    // Guards against first runs that are held back for short tasks and look like a want of room.
    void theReserveForShortTasksIsTold()
    {
        Term term;
        term.world.submit("wide", { lastingStep(2, 7000, "wide") });
        term.reportAll();
        term.planFor(100);
        term.world.submit("later", { lastingStep(1, 6000, "wide") });
        term.world.submit("short", { plainStep(100, 9000, 1000) }); // fits nowhere and waits: a demand that lasts
        term.planFor(6000);
        // 15% of 24,000 millicores are kept: the two wide tasks fit beside them and beside that of `job`.
        std::set<std::string> reserved;
        for (const Decision& line : term.eventsOf("jobWaiting")) {
            if (line.outcome == "shortReserve")
                reserved.insert(line.job);
        }
        CPPUNIT_ASSERT(reserved == std::set<std::string> { "later" });
        const std::vector<Decision> starts = term.eventsOf("start");
        const auto start
            = std::find_if(starts.begin(), starts.end(), [](const Decision& line) { return line.job == "later"; });
        CPPUNIT_ASSERT(start != starts.end()); // the reserve gives way
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5000), inputOf(*start, "waitedMs"));
    }

    // Guards against lines about tasks that serve their users.
    void runningTasksAreNotReported()
    {
        Term term;
        term.world.run(2000);
        term.planFor(10000);
        CPPUNIT_ASSERT(term.eventsOf("lastingTaskDown").empty());
        CPPUNIT_ASSERT_EQUAL(0, term.state().down.tasks);
    }

    // Guards against a loss of many tasks that fills the log, or that shows the same few tasks each time.
    void linesAreBoundedAndCoverAllTasks()
    {
        Term term;
        term.world.submit("wide", { lastingStep(40, 9000, "wide") });
        term.reportAll();
        term.planFor(14000); // the first lines after 4 s, then 5 a second
        const std::vector<Decision> lines = term.eventsOf("lastingTaskDown");
        CPPUNIT_ASSERT(lines.size() <= std::size_t(50));
        std::map<std::string, int> byTask;
        for (const Decision& line : lines)
            ++byTask[line.task];
        CPPUNIT_ASSERT_EQUAL(std::size_t(41), byTask.size());
        for (const auto& [task, count] : byTask)
            CPPUNIT_ASSERT_MESSAGE(task, count <= 3);
        CPPUNIT_ASSERT_EQUAL(41, term.state().down.tasks);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecoveryReportTest);

} // namespace
