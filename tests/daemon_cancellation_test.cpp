// Tests of cancels of jobs that the store does not know.
#include "daemon/cancellation.h"
#include "daemon/job_table.h"
#include "daemon/runtime.h"
#include "scheduler/record.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>

namespace {

using namespace lacewing;
using namespace lacewing::daemon;

// A store whose transactions are carried out when the test says so.
struct Cells {
    std::map<std::string, QByteArray> values;

    bool carryOut(const platform::Transaction& transaction)
    {
        const bool holds = std::all_of(transaction.conditions.begin(), transaction.conditions.end(),
            [this](const platform::Condition& condition) { return values.count(condition.key) == 0; });
        for (const platform::Write& write : transaction.writes) {
            if (holds)
                values[write.key] = write.value;
        }
        return holds;
    }

    platform::Item item(const std::string& id) const
    {
        platform::Item item;
        item.key = storeKeys::acceptedPrefix + id;
        item.value = values.at(item.key);
        return item;
    }
};

platform::Transaction submissionOf(const std::string& id)
{
    scheduler::AcceptedJob job;
    job.request.id = id;
    job.request.steps.emplace_back();
    platform::Transaction transaction;
    addAcceptance(transaction, id, scheduler::encodeAccepted(job));
    return transaction;
}

class DaemonCancellationTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DaemonCancellationTest);
    CPPUNIT_TEST(lateWritesDoNotAcceptACancelledJob);
    CPPUNIT_TEST(acceptedJobsAreNotTakenForUnknown);
    CPPUNIT_TEST(cancelsOfUnknownJobsAreBounded);
    CPPUNIT_TEST(storedCancelsAreKeptUntilTheyAreTold);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a cancel that is stored while an answer of the scheduling daemon is under way, and not told to it.
    void storedCancelsAreKeptUntilTheyAreTold()
    {
        JobTable table;
        noteStoredCancel(table, "first");
        const std::int64_t told = table.lastCancel;
        noteStoredCancel(table, "second");
        removeToldCancels(table, told);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.storedCancels.size());
        CPPUNIT_ASSERT_EQUAL(std::string("second"), table.storedCancels.front().job);
        for (std::size_t i = 0; i < 2 * maxStoredCancels; ++i)
            noteStoredCancel(table, std::to_string(i));
        CPPUNIT_ASSERT_EQUAL(maxStoredCancels, table.storedCancels.size());
        removeToldCancels(table, 0); // of a request without cancels
        CPPUNIT_ASSERT_EQUAL(maxStoredCancels, table.storedCancels.size());
    }

    // Guards against a job that starts after its cancel was answered with 410, because the store carried out the write
    // of its submission later.
    void lateWritesDoNotAcceptACancelledJob()
    {
        const std::string id = "5c0e7a21d94b36f8";
        Cells store;
        const platform::Transaction late = submissionOf(id);
        CPPUNIT_ASSERT(store.carryOut(cancelUnknown(id, {}, 1781000000000)));
        CPPUNIT_ASSERT(!store.carryOut(late));
        CPPUNIT_ASSERT(isCancelled(store.item(id)));
        scheduler::Scheduler state;
        scheduler::addEndedJob(state, scheduler::decodeEnded(store.item(id).value).value(), 5);
        CPPUNIT_ASSERT(state.active.empty());
        // It expires like other ended jobs.
        CPPUNIT_ASSERT(scheduler::expiredJobs(state, 1781000000000 + 239999, 240000, 8).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), scheduler::expiredJobs(state, 1781000000000 + 240000, 240000, 8).size());
    }

    // Guards against a cancel that replaces the record of a job accepted just before.
    void acceptedJobsAreNotTakenForUnknown()
    {
        const std::string id = "5c0e7a21d94b36f8";
        Cells store;
        CPPUNIT_ASSERT(store.carryOut(submissionOf(id)));
        CPPUNIT_ASSERT(!store.carryOut(cancelUnknown(id, {}, 1781000000000)));
        CPPUNIT_ASSERT(!isCancelled(store.item(id)));
        CPPUNIT_ASSERT(stateOf(store.item(id)) == scheduler::JobState::Queued);
    }

    // Guards against a caller that fills the store with cancels of ids that do not exist.
    void cancelsOfUnknownJobsAreBounded()
    {
        UnknownCancels cancels;
        int allowed = 0;
        for (scheduler::Millis now = 100000; now < 110000; now += 10)
            allowed += mayCancelUnknown(cancels, now) ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(10 * maxUnknownCancelsPerSecond, allowed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonCancellationTest);

} // namespace
