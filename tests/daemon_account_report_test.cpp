// Tests of the list of client accounts for operators.
#include "daemon/account_report.h"

#include <QJsonArray>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing;
using namespace lacewing::daemon;

class DaemonAccountReportTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DaemonAccountReportTest);
    CPPUNIT_TEST(reportsListAccountsWithJobsAndRefusals);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an account that disappears from the operators' list while its jobs go on, and against numbers of
    // jobs by a daemon that does not know them.
    void reportsListAccountsWithJobsAndRefusals()
    {
        scheduler::Scheduler state;
        for (const char* account : { "a", "a", "removed", "" }) {
            scheduler::JobRequest job;
            job.id = std::to_string(state.jobs.size());
            job.account = account;
            job.steps.emplace_back();
            scheduler::addJob(state, job, {}, 0, 1, 0);
        }
        state.jobs.at("0")->hasStarted = true;
        AccountRefusals refusals;
        countRefusal(refusals, "b", RefusalCause::OverCap);
        countRefusal(refusals, "", RefusalCause::UnknownKey);
        scheduler::Configuration configuration;
        configuration.accounts["a"].name = "a";
        configuration.accounts["b"].name = "b";
        const QJsonObject report = accountReport(configuration, refusals, &state);
        const QJsonArray accounts = report["accounts"].toArray();
        CPPUNIT_ASSERT_EQUAL(qsizetype(3), accounts.size());
        CPPUNIT_ASSERT(accounts[0]["running"].toInt() == 1 && accounts[0]["waiting"].toInt() == 1);
        CPPUNIT_ASSERT(accounts[1]["name"].toString() == "b" && accounts[1]["refusals"]["overCap"].toInt() == 1);
        CPPUNIT_ASSERT(accounts[2]["isRemoved"].toBool() && accounts[2]["waiting"].toInt() == 1);
        CPPUNIT_ASSERT_EQUAL(1, report["refusalsWithoutAccount"]["unknownKey"].toInt());
        const QJsonObject follower = accountReport(configuration, refusals, nullptr);
        CPPUNIT_ASSERT(follower["accounts"][0]["running"].isUndefined());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonAccountReportTest);

} // namespace
