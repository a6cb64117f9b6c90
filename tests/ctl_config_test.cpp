// Tests of the config commands against fake daemons.
#include "ctl/config_view.h"
#include "ctl_support.h"

namespace {

using namespace lacewing; // NOLINT(google-build-using-namespace)
using ctl::ExitCode;
using test::FakeDaemons;
using test::run;
using test::Run;
using test::Terminal;
using test::TestFolder;

config::Files filesWith(const std::string& team) { return { { "a.json", R"({"teams":{")" + team + R"(":{}}})" } }; }

void assertCode(ExitCode expected, const Run& result)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.out + result.err, static_cast<int>(expected), static_cast<int>(result.code));
}

QJsonObject statusOf(const QByteArray& json) { return QJsonDocument::fromJson(json).object(); }

class CtlConfigTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CtlConfigTest);
    CPPUNIT_TEST(checkReportsEveryFault);
    CPPUNIT_TEST(applyShowsTheEffectAndAsks);
    CPPUNIT_TEST(applyOutsideATerminalNeedsYes);
    CPPUNIT_TEST(conflictShowsWhatTheOthersChanged);
    CPPUNIT_TEST(folderWrittenFromAnOldRevisionIsAConflict);
    CPPUNIT_TEST(lostReplyIsResolvedByTheSameOperation);
    CPPUNIT_TEST(unresolvedResultIsATimeoutThatNamesTheOperation);
    CPPUNIT_TEST(laggingDaemonDoesNotDecide);
    CPPUNIT_TEST(emptyFolderIsRefused);
    CPPUNIT_TEST(waitEndsWhenEveryDaemonReportsTheRevision);
    CPPUNIT_TEST(missingRevisionNamesDaemonsAndDataCentres);
    CPPUNIT_TEST(showWritesAFolderThatCanBeApplied);
    CPPUNIT_TEST(showRefusesNamesThatLeaveTheFolder);
    CPPUNIT_TEST(historyListsWhoAndWhat);
    CPPUNIT_TEST(documentationListsEveryKey);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a check that stops at the first error, so that an operator sees the next one only after a repair.
    void checkReportsEveryFault()
    {
        FakeDaemons daemons;
        const TestFolder folder(
            { { "a.json", "{\"teams\":{\"t\":{\"share\":-1}},\n\"batsch\":{}}" }, { "notes.txt", "" } });
        const Run result = run(daemons, { "config", "check", folder.path() });
        assertCode(ExitCode::Refused, result);
        CPPUNIT_ASSERT(result.has("a.json:1: teams.t.share: value out of range (value -1, accepted number 0..1000)"));
        CPPUNIT_ASSERT(result.has("a.json:2: batsch: unknown key, did you mean \"batch\"?"));
        CPPUNIT_ASSERT(result.has("ignored, because the name does not end in .json: notes.txt"));
        const Run json = run(daemons, { "--json", "config", "check", folder.path() });
        assertCode(ExitCode::Refused, json);
        CPPUNIT_ASSERT_EQUAL(qsizetype(2), json.json()["error"]["errors"].toArray().size());
        assertCode(ExitCode::NotFound, run(daemons, { "config", "check", folder.path() + "/none" }));
        assertCode(ExitCode::Ok, run(daemons, { "config", "check", LACEWING_SOURCE_DIR "/examples/config" }));
    }

    // Guards against a change that is put in force without its effect being shown and confirmed.
    void applyShowsTheEffectAndAsks()
    {
        FakeDaemons daemons;
        daemons.changeBy("bob", filesWith("t"));
        const TestFolder folder(filesWith("u"));
        const Run refused = run(daemons, { "config", "apply", folder.path() }, Terminal { true, false, "n\n" });
        assertCode(ExitCode::Aborted, refused);
        CPPUNIT_ASSERT(refused.has("+ teams.u {}  (a.json:1)"));
        CPPUNIT_ASSERT(refused.has("- teams.t {}"));
        CPPUNIT_ASSERT_EQUAL(0, daemons.count("POST"));
        const Run applied
            = run(daemons, { "config", "apply", folder.path(), "-m", "why" }, Terminal { true, false, "y\n" });
        assertCode(ExitCode::Ok, applied);
        CPPUNIT_ASSERT(applied.has("revision 2 accepted"));
        CPPUNIT_ASSERT_EQUAL(std::string("ana"), daemons.stored.author);
        CPPUNIT_ASSERT_EQUAL(std::string("why"), daemons.stored.comment);
        const Run again = run(daemons, { "config", "apply", folder.path() });
        assertCode(ExitCode::Ok, again);
        CPPUNIT_ASSERT(again.has("revision 2 already has this content"));
    }

    // Guards against a script that hangs at the confirmation prompt, or applies a change without --yes.
    void applyOutsideATerminalNeedsYes()
    {
        FakeDaemons daemons;
        const TestFolder folder(filesWith("u"));
        assertCode(ExitCode::Usage, run(daemons, { "config", "apply", folder.path() }));
        const Run applied = run(daemons, { "config", "apply", "--yes", "--json", folder.path() });
        assertCode(ExitCode::Ok, applied);
        CPPUNIT_ASSERT_EQUAL(1, applied.json()["revision"].toInt());
        CPPUNIT_ASSERT_EQUAL(std::string("added"), applied.json()["changes"][0]["kind"].toString().toStdString());
    }

    // Guards against a conflict report without the changes of the other operators.
    void conflictShowsWhatTheOthersChanged()
    {
        FakeDaemons daemons;
        daemons.changeBy("bob", filesWith("t"));
        const TestFolder folder(config::Files { { "a.json", R"({"teams":{"t":{"share":2}}})" } });
        // Carl's change is accepted between ana's read and ana's proposal.
        FakeDaemons* daemonsToChange = &daemons;
        std::ostringstream out;
        std::ostringstream err;
        std::istringstream in;
        ctl::Environment environment { out, err, in };
        environment.user = "ana";
        environment.daemons = "a:1";
        environment.transport = [&](const std::string& address, const ctl::Call& call, int) {
            if (call.method == "POST" && daemonsToChange != nullptr) {
                daemonsToChange->changeBy("carl", { { "a.json", R"({"teams":{"t":{"share":3}}})" } });
                daemonsToChange = nullptr;
            }
            return daemons.handle(address, call);
        };
        environment.sleepMs = [](int) {};
        environment.nowMs = [] { return std::int64_t(0); };
        environment.generateId = [] { return std::string("op"); };
        const ExitCode code = ctl::runProgram({ "config", "apply", "--yes", folder.path() }, environment, "1");
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(ExitCode::Conflict), static_cast<int>(code));
        CPPUNIT_ASSERT(err.str().find("revision 2 by carl at 2023-11-14 22:13:20Z") != std::string::npos);
        CPPUNIT_ASSERT(err.str().find("+ teams.t.share 3") != std::string::npos);
        CPPUNIT_ASSERT(err.str().find("both changed: teams.t.share") != std::string::npos);
        CPPUNIT_ASSERT(err.str().find("you saw revision 1") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::string("carl"), daemons.stored.author);
    }

    // Guards against a folder exported from an old revision that silently reverts later changes.
    void folderWrittenFromAnOldRevisionIsAConflict()
    {
        FakeDaemons daemons;
        daemons.changeBy("bob", filesWith("t"));
        const TestFolder folder;
        assertCode(ExitCode::Ok, run(daemons, { "config", "show", "--to", folder.path() }));
        CPPUNIT_ASSERT_EQUAL(std::string("1\n"), folder.read(".lacewing-revision"));
        daemons.changeBy("carl", filesWith("v"));
        folder.write("b.json", R"({"teams":{"w":{}}})");
        const Run stale = run(daemons, { "config", "apply", "--yes", "--json", folder.path() });
        assertCode(ExitCode::Conflict, stale);
        CPPUNIT_ASSERT_EQUAL(std::string("carl"), stale.json()["error"]["since"][0]["author"].toString().toStdString());
        CPPUNIT_ASSERT_EQUAL(qsizetype(1), stale.json()["error"]["since"].toArray().size());
        CPPUNIT_ASSERT_EQUAL(0, daemons.count("POST"));
        assertCode(ExitCode::Ok, run(daemons, { "config", "apply", "--yes", "--expect", "2", folder.path() }));
        CPPUNIT_ASSERT_EQUAL(std::string("3\n"), folder.read(".lacewing-revision"));
    }

    // Guards against a change that conflicts with itself or is applied twice, because it is retried after a lost reply.
    void lostReplyIsResolvedByTheSameOperation()
    {
        FakeDaemons daemons;
        daemons.changeBy("bob", filesWith("t"));
        daemons.lostReplies = 2;
        const TestFolder folder(filesWith("u"));
        const Run result = run(daemons, { "config", "apply", "--yes", folder.path() });
        assertCode(ExitCode::Ok, result);
        CPPUNIT_ASSERT(result.has("revision 2 accepted"));
        CPPUNIT_ASSERT_EQUAL(3, daemons.count("POST"));
        CPPUNIT_ASSERT_EQUAL(base::Revision(2), daemons.stored.revision);
    }

    // Guards against a change that is reported as failed although it may have been accepted.
    void unresolvedResultIsATimeoutThatNamesTheOperation()
    {
        FakeDaemons daemons;
        daemons.changeBy("bob", filesWith("t"));
        daemons.lostReplies = 1000;
        const TestFolder folder(filesWith("u"));
        const Run result = run(daemons, { "config", "apply", "--yes", "--operation", "op-7", folder.path() });
        assertCode(ExitCode::Timeout, result);
        CPPUNIT_ASSERT(result.has("--operation op-7 --expect 1"));
        daemons.lostReplies = 0;
        assertCode(ExitCode::Ok,
            run(daemons, { "config", "apply", "--yes", "--operation", "op-7", "--expect", "1", folder.path() }));
        CPPUNIT_ASSERT_EQUAL(base::Revision(2), daemons.stored.revision);
    }

    // Guards against a false success when a lagging daemon reports the content of the folder as current, although the
    // store already has a later revision.
    void laggingDaemonDoesNotDecide()
    {
        FakeDaemons daemons;
        daemons.changeBy("bob", filesWith("t"));
        FakeDaemons lagging = daemons;
        daemons.changeBy("carl", filesWith("v"));
        const TestFolder folder(filesWith("t"));
        std::ostringstream out;
        std::ostringstream err;
        std::istringstream in;
        ctl::Environment environment { out, err, in };
        environment.user = "ana";
        environment.daemons = "a:1";
        environment.transport = [&](const std::string& address, const ctl::Call& call, int) {
            return (call.method == "GET" && call.path == "/v1/config" ? lagging : daemons).handle(address, call);
        };
        environment.sleepMs = [](int) {};
        environment.nowMs = [] { return std::int64_t(0); };
        environment.generateId = [] { return std::string("op"); };
        const ExitCode code = ctl::runProgram({ "config", "apply", "--yes", folder.path() }, environment, "1");
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(ExitCode::Conflict), static_cast<int>(code));
        CPPUNIT_ASSERT(err.str().find("revision 2 by carl") != std::string::npos);
    }

    // Guards against a mistyped path to an empty folder, which would reset the whole configuration.
    void emptyFolderIsRefused()
    {
        FakeDaemons daemons;
        daemons.changeBy("bob", filesWith("t"));
        const TestFolder folder;
        assertCode(ExitCode::Refused, run(daemons, { "config", "apply", "--yes", folder.path() }));
        CPPUNIT_ASSERT_EQUAL(0, daemons.count("POST"));
        assertCode(ExitCode::Ok, run(daemons, { "config", "apply", "--yes", "--allow-empty", folder.path() }));
        CPPUNIT_ASSERT(daemons.stored.files.empty());
    }

    // Guards against --wait that ends while a daemon still has the earlier revision, or that ignores its time limit.
    void waitEndsWhenEveryDaemonReportsTheRevision()
    {
        FakeDaemons daemons;
        int polls = 0;
        daemons.handleOther = [&](const ctl::Call&) {
            const int peer = ++polls < 4 ? 0 : 1;
            return FakeDaemons::json(200,
                { { "daemon", "n1" }, { "revision", 1 }, { "dataCentre", "north" },
                    { "members",
                        QJsonArray {
                            QJsonObject { { "name", "n2" }, { "state", "alive" }, { "revision", peer } } } } });
        };
        const TestFolder folder(filesWith("u"));
        const Run result
            = run(daemons, { "config", "apply", "--yes", "--wait", folder.path() }, Terminal { true, false, "" });
        assertCode(ExitCode::Ok, result);
        CPPUNIT_ASSERT_EQUAL(4, polls);
        CPPUNIT_ASSERT(result.has("waiting for revision 1: n2 (revision 0)"));
        CPPUNIT_ASSERT(result.has("revision 1 is in force everywhere"));
        polls = -1'000'000;
        folder.write("b.json", "{}");
        const Run late
            = run(daemons, { "config", "apply", "--yes", "--wait", "--wait-timeout-s", "3", "--json", folder.path() });
        assertCode(ExitCode::Timeout, late);
        CPPUNIT_ASSERT_EQUAL(2, late.json()["error"]["revision"].toInt());
        CPPUNIT_ASSERT_EQUAL(qsizetype(2), late.json()["error"]["missing"].toArray().size());
    }

    // Guards against a wait for a stopped daemon, and against a wait that ignores an unreachable data centre.
    void missingRevisionNamesDaemonsAndDataCentres()
    {
        const QJsonObject status = statusOf(R"({"daemon":"n1","dataCentre":"north","revision":5,
            "members":[{"name":"n1","state":"alive","revision":3},{"name":"n2","state":"suspected","revision":4},
                       {"name":"n3","state":"stopped","revision":1},{"name":"n4","state":"alive","revision":6}],
            "dataCentres":[{"name":"north","reachable":true,"lowestRevision":3},{"name":"south","reachable":true,"lowestRevision":4},
                           {"name":"west","reachable":false,"lowestRevision":5},{"name":"east","reachable":true,"lowestRevision":5}]})");
        const std::vector<std::string> expected { "n2 (revision 4)", "data centre south (revision 4)",
            "data centre west (unreachable)" };
        CPPUNIT_ASSERT(ctl::missingRevision(status, 5) == expected);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), ctl::missingRevision(status, 7).size() - 1);
    }

    // Guards against a configuration that changes when it is written to a folder and read back.
    void showWritesAFolderThatCanBeApplied()
    {
        FakeDaemons daemons;
        assertCode(ExitCode::NotFound, run(daemons, { "config", "show" }));
        daemons.changeBy("bob", filesWith("t"));
        const TestFolder folder;
        assertCode(ExitCode::Ok, run(daemons, { "config", "show", "--to", folder.path() }));
        CPPUNIT_ASSERT_EQUAL(filesWith("t")["a.json"], folder.read("a.json"));
        CPPUNIT_ASSERT(run(daemons, { "config", "diff", folder.path() }).has("no difference"));
        CPPUNIT_ASSERT(run(daemons, { "config", "show", "--file", "a.json" }).out == filesWith("t")["a.json"]);
        assertCode(ExitCode::NotFound, run(daemons, { "config", "show", "--file", "b.json" }));
        CPPUNIT_ASSERT(run(daemons, { "config", "show" }).has("revision 1 by bob at 2023-11-14 22:13:20Z"));
        CPPUNIT_ASSERT(run(daemons, { "config", "show", "--merged" }).json()["teams"].toObject().contains("t"));
        folder.write("other.json", "{}");
        assertCode(ExitCode::Failed, run(daemons, { "config", "show", "--to", folder.path() }));
        const TestFolder second(filesWith("z"));
        const Run diff = run(daemons, { "config", "diff", folder.path(), second.path(), "--json" });
        assertCode(ExitCode::Ok, diff);
        CPPUNIT_ASSERT_EQUAL(qsizetype(2), diff.json()["changes"].toArray().size());
    }

    // Guards against path traversal: a file name in a daemon's answer must not cause a write outside the folder.
    void showRefusesNamesThatLeaveTheFolder()
    {
        FakeDaemons daemons;
        daemons.stored.revision = 1;
        daemons.stored.files["../escaped.json"] = "{}";
        const TestFolder folder;
        assertCode(ExitCode::Failed, run(daemons, { "config", "show", "--to", folder.path() + "/in" }));
        CPPUNIT_ASSERT_EQUAL(std::string("absent"), folder.read("escaped.json"));
    }

    // Guards against a history without authors or changes, and against control characters printed from comments.
    void historyListsWhoAndWhat()
    {
        FakeDaemons daemons;
        daemons.changeBy("bob", filesWith("t"));
        daemons.changeBy("carl", filesWith("u"));
        daemons.history[0].comment = "red \033[31m\n";
        const Run table = run(daemons, { "config", "history" });
        assertCode(ExitCode::Ok, table);
        CPPUNIT_ASSERT_EQUAL(std::string("REVISION  TIME                  AUTHOR  CHANGES  COMMENT\n"
                                         "       2  2023-11-14 22:13:20Z  carl          2  red ?[31m?\n"
                                         "       1  2023-11-14 22:13:20Z  bob           1  by bob\n"),
            table.out);
        CPPUNIT_ASSERT(run(daemons, { "config", "history", "--changes" }).has("+ teams.u {}  (a.json:1)"));
        CPPUNIT_ASSERT_EQUAL(qsizetype(1),
            run(daemons, { "config", "history", "--limit", "1", "--json" }).json()["entries"].toArray().size());
    }

    // Guards against a configuration key that docs/configuration.md omits or describes differently.
    void documentationListsEveryKey()
    {
        QFile file(LACEWING_SOURCE_DIR "/docs/configuration.md");
        CPPUNIT_ASSERT(file.open(QIODevice::ReadOnly));
        const std::string page = file.readAll().toStdString();
        FakeDaemons daemons;
        const std::string table = run(daemons, { "config", "schema" }).out;
        CPPUNIT_ASSERT_MESSAGE(
            "replace the table of docs/configuration.md by the output of 'lacewingctl config schema'",
            page.find(table) != std::string::npos);
        CPPUNIT_ASSERT(run(daemons, { "config", "schema", "--json" }).json()["keys"].toArray().size() > 40);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CtlConfigTest);

} // namespace
