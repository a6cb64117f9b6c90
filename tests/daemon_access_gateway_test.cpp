// Tests of requests with keys at the gateway, against a store that leaves calls unanswered.
#include "gateway_support.h"
#include "scheduler/record.h"

namespace {

using namespace lacewing;
using namespace lacewing::daemon;
using namespace lacewing::test;

const QByteArray tenants
    = R"(,"tenants":[{"name":"a","api_keys":["ka"],"cap":{"cpu":150}},{"name":"b","api_keys":["kb"]}])";
const QByteArray keyA = "Authorization: Bearer ka\r\n";
const QByteArray keyB = "Authorization: Bearer kb\r\n";
const QByteArray wrongKey = "Authorization: Bearer kc\r\n";
const QByteArray newJob = "/old/00000000000000bb";
const QByteArray known = "/old/" + QByteArray::fromStdString(knownJob);
const QByteArray recorded = "/old/" + QByteArray::fromStdString(recordedJob);

class DaemonAccessGatewayTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DaemonAccessGatewayTest);
    CPPUNIT_TEST(requestsNeedAKeyOfAnAccount);
    CPPUNIT_TEST(jobsOfOtherAccountsAreUnknown);
    CPPUNIT_TEST(strictRevocationRefusesWithoutTheStore);
    CPPUNIT_TEST(gangsAboveTheCapAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestsNeedAKeyOfAnAccount()
    {
        Entry entry(tenants);
        for (const char* method : { "POST", "GET", "DELETE", "PUT" }) {
            for (const QByteArray& path : { QByteArray("/old/"), newJob, known, QByteArray("/old/odd") }) {
                const QByteArray answer = entry.ask(method, path, wrongKey);
                CPPUNIT_ASSERT(hasStatus(answer, 401) && answer.contains("WWW-Authenticate: Bearer\r\n"));
                CPPUNIT_ASSERT(hasStatus(entry.ask(method, path, keyA + keyA), 401));
            }
        }
        CPPUNIT_ASSERT_EQUAL(0, entry.store.commits);
        CPPUNIT_ASSERT(hasStatus(entry.ask("GET", "/old/", keyA), 200));
        CPPUNIT_ASSERT(hasStatus(entry.ask("POST", newJob, keyA), 200));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), *accountOf(entry.table, "00000000000000bb"));
        CPPUNIT_ASSERT(hasStatus(entry.ask("POST", "/open/00000000000000dd", wrongKey), 200));
        CPPUNIT_ASSERT(accountOf(entry.table, "00000000000000dd")->empty());
        CPPUNIT_ASSERT(entry.gateway.refusals().byAccount.at("").at(RefusalCause::UnknownKey) > 0);
    }

    // Guards against a job that another account, or a caller of a public queue, reads, cancels or takes for its own,
    // by the table of jobs and by the store.
    void jobsOfOtherAccountsAreUnknown()
    {
        Entry entry(tenants);
        entry.table.jobs[knownJob].account = "a";
        scheduler::AcceptedJob job;
        job.request.id = recordedJob;
        job.request.account = "a";
        job.request.steps.emplace_back();
        entry.store.record = scheduler::encodeAccepted(job);
        const QByteArray publicKnown = "/open/" + QByteArray::fromStdString(knownJob);
        const QByteArray publicRecorded = "/open/" + QByteArray::fromStdString(recordedJob);
        for (const QByteArray& path : { known, recorded, publicKnown, publicRecorded }) {
            const bool isRecorded = path.endsWith(QByteArray::fromStdString(recordedJob));
            for (const char* method : { "POST", "DELETE", "GET" }) {
                if (isRecorded)
                    entry.table.jobs.erase(recordedJob);
                const QByteArray answer = entry.ask(method, path, keyB);
                CPPUNIT_ASSERT_MESSAGE(
                    (method + path + answer).toStdString(), hasStatus(answer, method[0] == 'P' ? 409 : 410));
            }
        }
        CPPUNIT_ASSERT_EQUAL(0, entry.store.commits);
        entry.table.jobs.erase(recordedJob);
        for (const char* method : { "POST", "GET", "DELETE" })
            CPPUNIT_ASSERT(hasStatus(entry.ask(method, recorded, keyA), 200));
        CPPUNIT_ASSERT(hasStatus(entry.ask("GET", known, keyA), 200));
    }

    // Guards against a daemon without the store that goes on serving keys where revocation is enforced, or refuses
    // them for good by what it knew.
    void strictRevocationRefusesWithoutTheStore()
    {
        for (const bool isStrict : { false, true }) {
            Entry entry(tenants, isStrict ? 5000 : 0);
            CPPUNIT_ASSERT(hasStatus(entry.ask("GET", known, keyA), 200));
            entry.becomeOutdated();
            CPPUNIT_ASSERT(hasStatus(entry.ask("GET", known, wrongKey), 503));
            CPPUNIT_ASSERT(hasStatus(entry.ask("GET", known), 503));
            const QByteArray answer = entry.ask("GET", known, keyA);
            CPPUNIT_ASSERT(hasStatus(answer, isStrict ? 503 : 200));
            CPPUNIT_ASSERT_EQUAL(isStrict, answer.contains("Retry-After: "));
            CPPUNIT_ASSERT(hasStatus(entry.ask("GET", "/open/" + QByteArray::fromStdString(knownJob)), 200));
        }
    }

    void gangsAboveTheCapAreRefused()
    {
        Entry entry(tenants);
        entry.body = R"({"spec":"s","steps":[{"count":2,"cpu":100,"gang":true}]})";
        CPPUNIT_ASSERT(hasStatus(entry.ask("POST", newJob, keyA), 400));
        CPPUNIT_ASSERT(hasStatus(entry.ask("POST", newJob, keyB), 200));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonAccessGatewayTest);

} // namespace
