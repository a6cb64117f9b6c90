// Tests of the reports on a new term: which worker delays its accounting, and how far the term has come.
#include "scheduler/internal.h"
#include "scheduler_world.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

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
    CPPUNIT_TEST_SUITE_END();

    // A deployment of three workers in a new term that w2 does not answer.
    struct Term {
        World world { 1, 3 };
        std::vector<Decision> decisions;

        Term()
        {
            world.submit("job", { lastingStep(1, 1000, "image") });
            world.submit("batch", { plainStep(1, 1000, 60000) });
            world.run(2000);
            world.replaceTerm();
            world.faults = {};
        }

        Scheduler& state() { return world.scheduler(); }

        void report(int index, bool isEndListTruncated = false)
        {
            scheduler::WorkerReport report;
            report.clockMs = world.now();
            report.incarnationUnixMs = 1;
            report.isEndListTruncated = isEndListTruncated;
            scheduler::applyReport(state(), world.worker(index).entry.id, report, world.now(), world.now());
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
                scheduler::setWorkers(state(), entries, now);
                state().validUntil = now + 1000;
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
        term.planFor(50);
        for (int i = 0; i < 3; ++i)
            term.report(i);
        CPPUNIT_ASSERT_EQUAL(scheduler::Millis(0), term.state().recovery.firstFreedStartAt);
        CPPUNIT_ASSERT_EQUAL(2, term.planFor(50));
        CPPUNIT_ASSERT_EQUAL(term.world.now(), term.state().recovery.accountedAt);
        CPPUNIT_ASSERT_EQUAL(term.world.now(), term.state().recovery.firstFreedStartAt);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), inputOf(term.eventsOf("termAccounted").front(), "freedTasks"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecoveryReportTest);

} // namespace
