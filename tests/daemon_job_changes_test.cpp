// Tests of the encoding of job state changes.
#include "base/rng.h"
#include "daemon/job_changes.h"
#include "daemon/job_table.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing;
using namespace lacewing::daemon;

class DaemonJobChangesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DaemonJobChangesTest);
    CPPUNIT_TEST(changesKeepTheirForm);
    CPPUNIT_TEST(accountsPassBetweenVersions);
    CPPUNIT_TEST(anyIdIsEncodedAsQtDoes);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a change of the format, which daemons of another version could not read.
    void changesKeepTheirForm()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("[]"), encodeChanges({}).toStdString());
        const std::vector<scheduler::JobChange> changes { { "0123456789abcdef", scheduler::JobState::Queued },
            { "nightly-1", scheduler::JobState::Running } };
        CPPUNIT_ASSERT_EQUAL(std::string(R"([["0123456789abcdef","queued"],["nightly-1","running"]])"),
            encodeChanges(changes).toStdString());
    }

    // Guards against a job that loses its account on the way to another daemon, whose callers could then all read it,
    // and against changes of an earlier version, without accounts, that are not read any more or remove an account.
    void accountsPassBetweenVersions()
    {
        const std::vector<scheduler::JobChange> changes { { "a", scheduler::JobState::Queued, "shop \"1\"" },
            { "b", scheduler::JobState::Running } };
        const QByteArray text = encodeChanges(changes);
        CPPUNIT_ASSERT_EQUAL(std::string(R"([["a","queued","shop \"1\""],["b","running"]])"), text.toStdString());
        JobTable table;
        for (const QByteArray& message : { text, QByteArray(R"([["a","running"],["b","lost"],["b","failed"],7])") }) {
            for (const auto& change : decodeChanges(QJsonDocument::fromJson(message).array()))
                applyState(table, change.id, change.account, change.state, 1);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), table.jobs.size());
        CPPUNIT_ASSERT_EQUAL(std::string("shop \"1\""), *accountOf(table, "a"));
        CPPUNIT_ASSERT(table.jobs.at("a").state == scheduler::JobState::Running);
        CPPUNIT_ASSERT(table.jobs.at("b").state == scheduler::JobState::Failed && accountOf(table, "b")->empty());
        applyState(table, "b", "late", scheduler::JobState::Failed, 2);
        CPPUNIT_ASSERT_EQUAL(std::string("late"), *accountOf(table, "b"));
    }

    // Guards against ids that make the reply invalid JSON or are decoded as another id.
    void anyIdIsEncodedAsQtDoes()
    {
        for (std::uint64_t seed = 1; seed <= 500; ++seed) {
            base::Rng rng(seed);
            std::vector<scheduler::JobChange> changes(base::below(rng, 5));
            QJsonArray expected;
            for (scheduler::JobChange& change : changes) {
                const std::uint64_t values = base::chance(rng, 0.5) ? 128 : 256; // bytes; above 127 no valid UTF-8
                for (std::uint64_t i = base::below(rng, 20); i > 0; --i)
                    change.id += static_cast<char>(base::below(rng, values));
                change.state = scheduler::jobStateNames[base::below(rng, scheduler::jobStateNames.size())].first;
                expected.append(QJsonArray {
                    QString::fromStdString(change.id), QLatin1String(nameOf(scheduler::jobStateNames, change.state)) });
            }
            CPPUNIT_ASSERT_EQUAL(QJsonDocument(expected).toJson(QJsonDocument::Compact).toStdString(),
                encodeChanges(changes).toStdString());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonJobChangesTest);

} // namespace
