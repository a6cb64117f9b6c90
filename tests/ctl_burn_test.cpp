// Tests of the burn rates and the burn report.
#include "ctl/report_burn.h"

#include <QFile>
#include <QJsonDocument>
#include <QTemporaryDir>
#include <cppunit/extensions/HelperMacros.h>
#include <sstream>

namespace {

using namespace lacewing;
using base::SloCounts;

const base::Objective available { "quote", base::ObjectiveKind::Availability, 0.999, {} };
const base::Objective fast { "quote", base::ObjectiveKind::Latency, 0.99, base::milliseconds(200) };

QByteArray answerOf(const std::string& daemon, const std::string& dataCentre, int failures)
{
    base::Metrics metrics;
    const base::TimePoint now(base::seconds(100'000));
    for (int request = 0; request < 1000; ++request) {
        const bool isFailed = request < failures;
        metrics.recordRequest({ "quote", "<e" + std::to_string(request % 2) + ">" }, base::milliseconds(10),
            isFailed ? base::RequestResult::Failed : base::RequestResult::Answered, base::milliseconds(200), now);
    }
    const auto answer = base::sloResponse(
        metrics, daemon, dataCentre, { available, fast }, base::TimePoint(base::seconds(1)), now, 1'796'367'600'000);
    return QJsonDocument(base::toJson(answer)).toJson();
}

class BurnTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BurnTest);
    CPPUNIT_TEST(ratesFollowTheErrorBudget);
    CPPUNIT_TEST(pageNeedsBothWindowsAndEnoughRequests);
    CPPUNIT_TEST(reportMergesDaemonsAndNamesTheMissing);
    CPPUNIT_TEST(htmlIsSelfContainedAndEscaped);
    CPPUNIT_TEST(invalidAnswersAreNamed);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a wrong error budget: 1% failures at a target of 99.9% are a burn rate of 10.
    void ratesFollowTheErrorBudget()
    {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0, base::burnRate(available, { 1000, 10, 500 }), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(50.0, base::burnRate(fast, { 1000, 0, 500 }), 1e-9);
        CPPUNIT_ASSERT_EQUAL(0.0, base::burnRate(available, {}));
    }

    // Guards against pages for an error burst that has ended, and for failures among very few requests, as at night.
    void pageNeedsBothWindowsAndEnoughRequests()
    {
        const SloCounts bad { 1000, 20, 0 };
        const SloCounts good { 1000, 0, 0 };
        const SloCounts few { 3, 1, 0 };
        CPPUNIT_ASSERT(base::evaluate(available, { bad, bad, bad, bad }).severity == base::Severity::Page);
        CPPUNIT_ASSERT(base::evaluate(available, { good, bad, good, good }).severity == base::Severity::None);
        CPPUNIT_ASSERT(base::evaluate(available, { bad, good, good, good }).severity == base::Severity::None);
        CPPUNIT_ASSERT(base::evaluate(available, { few, few, few, few }).severity == base::Severity::None);
        CPPUNIT_ASSERT(base::evaluate(available, { good, good, bad, bad }).severity == base::Severity::Ticket);
    }

    // Guards against a report that looks complete although a daemon did not answer.
    void reportMergesDaemonsAndNamesTheMissing()
    {
        const std::vector<ctl::DaemonSlo> daemons { ctl::parseSlo("a:1", answerOf("a", "east", 0)),
            ctl::parseSlo("b:1", answerOf("b", "west", 40)), { "c:1", std::nullopt, "connection refused" } };
        std::ostringstream out;
        std::ostringstream err;
        CPPUNIT_ASSERT_EQUAL(0, ctl::runBurnReport(daemons, { true, {} }, out, err));
        const QJsonObject json = QJsonDocument::fromJson(QByteArray::fromStdString(out.str())).object();
        CPPUNIT_ASSERT(
            json[QStringLiteral("missing")][0][QStringLiteral("address")].toString() == QStringLiteral("c:1"));
        const QJsonValue first = json[QStringLiteral("objectives")][0];
        CPPUNIT_ASSERT_DOUBLES_EQUAL(20.0, first[QStringLiteral("burnRates")][QStringLiteral("1h")].toDouble(), 1e-9);
        CPPUNIT_ASSERT(first[QStringLiteral("severity")].toString() == QStringLiteral("page"));
        CPPUNIT_ASSERT(
            first[QStringLiteral("dataCentres")][0][QStringLiteral("name")].toString() == QStringLiteral("west"));
        std::ostringstream text;
        ctl::runBurnReport(daemons, {}, text, err);
        CPPUNIT_ASSERT(text.str().find("MISSING c:1: connection refused") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(3, ctl::runBurnReport({ daemons[2] }, {}, text, err));
    }

    // Guards against names that are not escaped in the HTML, and against a page that loads anything from the network.
    void htmlIsSelfContainedAndEscaped()
    {
        const QTemporaryDir folder;
        const std::string path = folder.filePath(QStringLiteral("r.html")).toStdString();
        std::ostringstream out;
        CPPUNIT_ASSERT_EQUAL(
            0, ctl::runBurnReport({ ctl::parseSlo("a:1", answerOf("a", "east", 40)) }, { false, path }, out, out));
        QFile file(QString::fromStdString(path));
        CPPUNIT_ASSERT(file.open(QIODevice::ReadOnly));
        const QByteArray html = file.readAll();
        CPPUNIT_ASSERT(html.contains("&lt;e0&gt;") && !html.contains("<e0>"));
        CPPUNIT_ASSERT(html.contains("<svg") && !html.contains("http") && !html.contains("<script"));
        CPPUNIT_ASSERT_EQUAL(9,
            ctl::runBurnReport({ ctl::parseSlo("a:1", answerOf("a", "east", 0)) }, { false, path + "/x" }, out, out));
    }

    // Guards against an invalid answer that is accepted in part instead of being reported as an error.
    void invalidAnswersAreNamed()
    {
        CPPUNIT_ASSERT(!ctl::parseSlo("a:1", "[]").answer && !ctl::parseSlo("a:1", "{}").error.empty());
        QByteArray body = answerOf("a", "east", 0);
        body.replace("\"target\": 0.999", "\"target\": 1");
        CPPUNIT_ASSERT_EQUAL(std::string("objectives[0]: not valid"), ctl::parseSlo("a:1", body).error);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BurnTest);

} // namespace
