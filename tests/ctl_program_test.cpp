// Tests of the command line, calls to daemons, job, status, drain and report commands, and text output.
#include "ctl/commands.h"
#include "ctl_support.h"
#include "http/server.h"

#include <QHostAddress>
#include <set>

namespace {

using namespace lacewing; // NOLINT(google-build-using-namespace)
using ctl::ExitCode;
using ctl::Reply;
using test::FakeDaemons;
using test::run;
using test::Run;
using test::Terminal;

void assertCode(ExitCode expected, const Run& result)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.out + result.err, static_cast<int>(expected), static_cast<int>(result.code));
}

const std::vector<std::string> submit { "job", "submit", "--team", "t", "--service", "s", "--cpu-milli", "500",
    "--memory-mb", "64", "--duration-ms", "60000" };

std::vector<std::string> submitWith(std::vector<std::string> more)
{
    more.insert(more.begin(), submit.begin(), submit.end());
    return more;
}

class CtlProgramTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CtlProgramTest);
    CPPUNIT_TEST(wrongCommandLinesAreUsageErrors);
    CPPUNIT_TEST(everyCommandHasHelpWithExamples);
    CPPUNIT_TEST(completionAndManualNameEveryCommandAndOption);
    CPPUNIT_TEST(nextDaemonIsAskedWhenOneIsUnreachable);
    CPPUNIT_TEST(unavailableDaemonsAreAskedAgainOnlyForResults);
    CPPUNIT_TEST(answersArePassedOnUnchanged);
    CPPUNIT_TEST(unrepeatableCallsAreSentAtMostOnce);
    CPPUNIT_TEST(httpTransportTellsSentFromNotReached);
    CPPUNIT_TEST(repeatedSubmissionsCarryOneIdentity);
    CPPUNIT_TEST(submitWaitFollowsTheJob);
    CPPUNIT_TEST(submitReadsFilesAndOptions);
    CPPUNIT_TEST(answersMapToExitCodes);
    CPPUNIT_TEST(drainIsNeverSentToAnotherDaemon);
    CPPUNIT_TEST(statusShowsWhatNeedsAttention);
    CPPUNIT_TEST(statusPutsTheNumbersOfJobsUnderTheirHeadings);
    CPPUNIT_TEST(accountsShowLimitsAndRefusals);
    CPPUNIT_TEST(reportBatchSumsDaemons);
    CPPUNIT_TEST(colourOnlyWhenEnabled);
    CPPUNIT_TEST(tablesAlignAndHideControlCharacters);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a mistyped command line that is executed as something else.
    void wrongCommandLinesAreUsageErrors()
    {
        FakeDaemons daemons;
        const std::vector<std::vector<std::string>> lines { {}, { "config" }, { "confg", "check" },
            { "config", "chck" }, { "config", "check" }, { "config", "check", "a", "b" }, { "status", "extra" },
            { "status", "--unknown" }, { "status", "--timeout-ms", "x" }, { "status", "--timeout-ms", "0" },
            { "--daemon", "nocolon", "status" }, { "--daemon", "h:0", "status" },
            { "--daemon", "http://h:1", "status" }, { "--daemon" }, { "config", "apply", "--expect", "-1", "d" } };
        for (const auto& line : lines) {
            const Run result = run(daemons, line);
            assertCode(ExitCode::Usage, result);
            CPPUNIT_ASSERT(result.has("see --help"));
        }
        CPPUNIT_ASSERT(daemons.callLog.empty());
        for (const char* address : { "10.0.0.1:80", "host-1:65535", "[::1]:8080" })
            CPPUNIT_ASSERT_MESSAGE(address, ctl::isAddress(address));
        for (const char* address : { "", ":1", "a:", "a:65536", "::1:80", "a:b", "a/b:1" })
            CPPUNIT_ASSERT_MESSAGE(address, !ctl::isAddress(address));
    }

    // Guards against a command without help text, examples or an entry in the overview.
    void everyCommandHasHelpWithExamples()
    {
        FakeDaemons daemons;
        CPPUNIT_ASSERT_EQUAL(std::string("lacewingctl 1.2.3\n"), run(daemons, { "--version" }).out);
        const std::string overview = run(daemons, { "--help" }).out;
        for (const ctl::Command* command : ctl::commands()) {
            std::vector<std::string> line { std::string(command->name), "--help" };
            if (!command->group.empty())
                line.insert(line.begin(), std::string(command->group));
            const Run help = run(daemons, line);
            assertCode(ExitCode::Ok, help);
            CPPUNIT_ASSERT(
                help.has("Examples:\n  ") && help.has("lacewingctl") && help.has("--json") && help.has("Exit codes:"));
            CPPUNIT_ASSERT(overview.find(command->summary) != std::string::npos);
        }
        CPPUNIT_ASSERT(run(daemons, { "job", "--help" }).has("job cancel ID"));
        CPPUNIT_ASSERT(!run(daemons, { "job", "--help" }).has("config check"));
    }

    // Guards against a command or option that is missing from the shell completion or the manual page.
    void completionAndManualNameEveryCommandAndOption()
    {
        const auto read = [](const char* name) {
            QFile file(name);
            CPPUNIT_ASSERT_MESSAGE(name, file.open(QIODevice::ReadOnly));
            return file.readAll().toStdString();
        };
        const std::string completion = read(LACEWING_SOURCE_DIR "/packaging/lacewingctl.bash");
        const std::string manual = read(LACEWING_SOURCE_DIR "/docs/man/lacewingctl.md");
        for (const ctl::Command* command : ctl::commands()) {
            const std::string words
                = std::string(command->group) + (command->group.empty() ? "" : " ") + std::string(command->name);
            CPPUNIT_ASSERT_MESSAGE(words, completion.find("\"" + words + "\")") != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(words, manual.find("`" + words) != std::string::npos);
            cxxopts::Options options("x");
            if (command->addOptions != nullptr)
                command->addOptions(options);
            for (const std::string& group : options.groups()) {
                for (const auto& option : options.group_help(group).options) {
                    const std::string name = "--" + option.l.front();
                    CPPUNIT_ASSERT_MESSAGE(name, completion.find(name) != std::string::npos);
                    CPPUNIT_ASSERT_MESSAGE(name, manual.find("`" + name) != std::string::npos);
                }
            }
        }
        for (const auto& doc : ctl::exitCodeDocs)
            CPPUNIT_ASSERT_MESSAGE(std::string(doc.doc), manual.find(doc.doc) != std::string::npos);
    }

    // Guards against a failed command when one daemon is stopped and another one could answer.
    void nextDaemonIsAskedWhenOneIsUnreachable()
    {
        FakeDaemons daemons;
        daemons.handleOther = [](const ctl::Call&) { return FakeDaemons::json(200, { { "daemon", "b" } }); };
        daemons.faults = { { "a:1", Reply::Kind::NotSent }, { "c:3", Reply::Kind::Unknown } };
        assertCode(ExitCode::Ok, run(daemons, { "--daemon", "a:1", "--daemon=c:3", "status", "--daemon", "b:2" }));
        CPPUNIT_ASSERT_EQUAL(std::string("b:2 GET /v1/status"), daemons.callLog.back());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), daemons.callLog.size());
        const Run none = run(daemons, { "--daemon", "a:1,c:3", "status", "--json" });
        assertCode(ExitCode::Timeout, none);
        const Run unreachable = run(daemons, { "--daemon", "a:1", "status", "--json" });
        assertCode(ExitCode::Unreachable, unreachable);
        CPPUNIT_ASSERT_EQUAL(3, unreachable.json()["error"]["exitCode"].toInt());
    }

    // Guards against a submission that fails during a short store outage, and against needless retries of reads: only
    // calls that need a result are retried while all daemons answer 503.
    void unavailableDaemonsAreAskedAgainOnlyForResults()
    {
        FakeDaemons daemons;
        daemons.handleOther = [](const ctl::Call&) { return FakeDaemons::json(202, { { "id", "j" } }); };
        daemons.unavailableReplies = 3;
        assertCode(ExitCode::Ok, run(daemons, submit));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), daemons.callLog.size());
        daemons.unavailableReplies = 1000;
        assertCode(ExitCode::Unreachable, run(daemons, submit));
        daemons.unavailableReplies = 1;
        assertCode(ExitCode::Unreachable, run(daemons, { "job", "list" }));
        CPPUNIT_ASSERT_EQUAL(0, daemons.unavailableReplies);
    }

    // Guards against fields that the client adds to an answer: looking up a key with the non-const operator[] of
    // QJsonObject inserts it, so that a list was printed with "executed": null.
    void answersArePassedOnUnchanged()
    {
        const QByteArray body = R"({"jobs":[]})";
        const ctl::Client client { { "a:1" },
            [&](const std::string&, const ctl::Call&, int) {
                return Reply { Reply::Kind::Answered, 200, body, "" };
            },
            [](int) {}, [] { return std::int64_t { 0 }; } };
        const ctl::Answer answer = ctl::call(client, { "GET", "/v1/jobs" });
        CPPUNIT_ASSERT(answer.body.keys() == QStringList { "jobs" });
    }

    // Guards against a call that is not idempotent and is executed by two daemons because the first answer was lost.
    // Such a call goes to the next daemon only when no byte of it was sent.
    void unrepeatableCallsAreSentAtMostOnce()
    {
        std::vector<Reply::Kind> script;
        std::size_t calls = 0;
        const ctl::Client client { { "a:1", "b:2" },
            [&](const std::string&, const ctl::Call&, int) {
                return Reply { script[calls++], 200, {}, "" };
            },
            [](int) {}, [] { return std::int64_t(0); } };
        const ctl::Call once { "POST", "/v1/drain", {}, false };
        script = { Reply::Kind::Unknown, Reply::Kind::Answered };
        CPPUNIT_ASSERT(ctl::call(client, once).kind == ctl::Answer::Kind::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), calls);
        calls = 0;
        script = { Reply::Kind::NotSent, Reply::Kind::Answered };
        CPPUNIT_ASSERT(ctl::call(client, once).kind == ctl::Answer::Kind::Answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), calls);
    }

    // Guards against a transport that reports NotSent although the request was sent. Uses real sockets on loopback.
    void httpTransportTellsSentFromNotReached()
    {
        const ctl::Transport transport = ctl::httpTransport();
        std::uint16_t port = 0;
        {
            std::vector<http::Responder> held;
            http::Server server({}, [&](const http::Request& request, const http::Responder& responder) {
                if (request.path == "/hold")
                    held.push_back(responder);
                else
                    responder.respond(http::jsonResponse(
                        409, request.method + " " + request.path + "?" + request.query + " " + request.body));
            });
            port = server.listen(QHostAddress::LocalHost, 0).value();
            const std::string address = "127.0.0.1:" + std::to_string(port);
            const Reply answered = transport(address, { "POST", "/v1/x?y=1", "{}" }, 5000);
            CPPUNIT_ASSERT(answered.kind == Reply::Kind::Answered);
            CPPUNIT_ASSERT_EQUAL(409, answered.status);
            CPPUNIT_ASSERT_EQUAL(std::string("POST /v1/x?y=1 {}"), answered.body.toStdString());
            CPPUNIT_ASSERT(transport(address, { "GET", "/hold" }, 100).kind == Reply::Kind::Unknown);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), held.size());
        }
        CPPUNIT_ASSERT(
            transport("127.0.0.1:" + std::to_string(port), { "GET", "/" }, 2000).kind == Reply::Kind::NotSent);
    }

    // Guards against two jobs from one submission: when an answer is lost, the retries must carry the same id.
    void repeatedSubmissionsCarryOneIdentity()
    {
        FakeDaemons daemons;
        std::set<std::string> ids;
        int calls = 0;
        daemons.handleOther = [&](const ctl::Call& call) {
            ids.insert(QJsonDocument::fromJson(call.body)["id"].toString().toStdString());
            return ++calls < 3 ? Reply { Reply::Kind::Unknown, 0, {}, "lost" }
                               : FakeDaemons::json(202, { { "id", "x" } });
        };
        assertCode(ExitCode::Ok, run(daemons, submit));
        CPPUNIT_ASSERT_EQUAL(3, calls);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), ids.size());
        CPPUNIT_ASSERT(ids.begin()->starts_with("job-id-"));
    }

    // Guards against a wait that reports success for a failed job, or ends at the first failed status query.
    void submitWaitFollowsTheJob()
    {
        FakeDaemons daemons;
        std::string last = "finished";
        int polls = 0;
        daemons.handleOther = [&](const ctl::Call& call) {
            if (call.method == "POST")
                return FakeDaemons::json(202, { { "id", "x" } });
            if (++polls == 2)
                return FakeDaemons::json(404, { { "detail", "no such job" } });
            const QString state = polls < 4 ? "running" : QString::fromStdString(last);
            return FakeDaemons::json(200,
                { { "id", "x" }, { "state", state }, { "reason", "no worker fits" },
                    { "tasks",
                        QJsonArray { QJsonObject { { "phase", "done" } }, QJsonObject { { "phase", "running" } } } } });
        };
        const Run finished = run(daemons, submitWith({ "--id", "x", "--wait" }), Terminal { true, false, "" });
        assertCode(ExitCode::Ok, finished);
        CPPUNIT_ASSERT(finished.has("x running, 1 of 2 tasks done"));
        polls = 0;
        last = "failed";
        const Run failed = run(daemons, submitWith({ "--id", "x", "--wait", "--json" }));
        assertCode(ExitCode::JobFailed, failed);
        CPPUNIT_ASSERT(failed.has("ended as failed: no worker fits"));
        last = "running";
        assertCode(ExitCode::Timeout, run(daemons, submitWith({ "--wait", "--wait-timeout-s", "5" })));
        daemons.handleOther = [&](const ctl::Call& call) {
            return FakeDaemons::json(call.method == "POST" ? 202 : 404, { { "id", "x" } });
        };
        assertCode(ExitCode::NotFound, run(daemons, submitWith({ "--wait" })));
    }

    // Guards against options that are ignored when --file is given.
    void submitReadsFilesAndOptions()
    {
        FakeDaemons daemons;
        QJsonObject sent;
        daemons.handleOther = [&](const ctl::Call& call) {
            sent = QJsonDocument::fromJson(call.body).object();
            return FakeDaemons::json(202, { { "id", sent["id"] } });
        };
        const std::string file = R"({"team":"t","service":"s","durationMs":5,"resources":{"cpuMilli":1,"memoryMb":2}})";
        const Run result
            = run(daemons, { "job", "submit", "--file", "-", "--memory-mb", "9", "--class", "urgent", "--id", "x" },
                Terminal { false, false, file });
        assertCode(ExitCode::Ok, result);
        CPPUNIT_ASSERT_EQUAL(std::string("x\n"), result.out);
        CPPUNIT_ASSERT_EQUAL(9, std::as_const(sent)["resources"]["memoryMb"].toInt());
        CPPUNIT_ASSERT_EQUAL(1, std::as_const(sent)["resources"]["cpuMilli"].toInt());
        CPPUNIT_ASSERT(sent["class"].toString() == "urgent");
        assertCode(ExitCode::Refused, run(daemons, { "job", "submit", "--file", "-" }, Terminal { false, false, "{" }));
        assertCode(ExitCode::NotFound, run(daemons, { "job", "submit", "--file", "/none.json" }));
        assertCode(ExitCode::Usage, run(daemons, { "job", "submit", "--team", "t" }));
    }

    // Guards against failures that scripts cannot distinguish: each kind of HTTP status has its own exit code.
    void answersMapToExitCodes()
    {
        FakeDaemons daemons;
        int status = 200;
        daemons.handleOther = [&](const ctl::Call&) {
            return FakeDaemons::json(status, { { "detail", "why" }, { "field", "team" }, { "code", "c" } });
        };
        const std::vector<std::pair<int, ExitCode>> cases { { 200, ExitCode::Ok }, { 400, ExitCode::Refused },
            { 422, ExitCode::Refused }, { 404, ExitCode::NotFound }, { 409, ExitCode::Conflict },
            { 503, ExitCode::Unreachable }, { 504, ExitCode::Timeout }, { 500, ExitCode::Failed } };
        for (const auto& [answered, code] : cases) {
            status = answered;
            assertCode(code, run(daemons, { "job", "status", "x/y" }));
        }
        CPPUNIT_ASSERT_EQUAL(std::string("a:1 GET /v1/jobs/x%2Fy"), daemons.callLog.back());
        status = 404;
        const Run cancelled = run(daemons, { "job", "cancel", "x", "--json" });
        CPPUNIT_ASSERT_EQUAL(std::string("c"), cancelled.json()["error"]["code"].toString().toStdString());
        CPPUNIT_ASSERT_EQUAL(
            std::string("a:1: team: why"), cancelled.json()["error"]["detail"].toString().toStdString());
    }

    // Guards against a drain that fails over and stops a daemon other than the one given.
    void drainIsNeverSentToAnotherDaemon()
    {
        FakeDaemons daemons;
        daemons.faults = { { "a:1", Reply::Kind::Unknown } };
        daemons.handleOther = [&](const ctl::Call&) { return FakeDaemons::json(202, {}); };
        assertCode(ExitCode::Usage, run(daemons, { "--daemon", "a:1,b:2", "drain", "--yes" }));
        assertCode(ExitCode::Usage, run(daemons, { "--daemon", "a:1", "drain" }));
        CPPUNIT_ASSERT(daemons.callLog.empty());
        assertCode(ExitCode::Timeout, run(daemons, { "--daemon", "a:1", "drain", "--yes" }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), daemons.callLog.size());
        int answers = 0;
        daemons.handleOther = [&](const ctl::Call& call) {
            return call.method == "POST" || ++answers < 3 ? FakeDaemons::json(202, {})
                                                          : Reply { Reply::Kind::NotSent, 0, {}, "closed" };
        };
        assertCode(
            ExitCode::Ok, run(daemons, { "--daemon", "b:2", "drain", "--wait" }, Terminal { true, false, "y\n" }));
        CPPUNIT_ASSERT_EQUAL(3, answers);
        assertCode(ExitCode::Aborted, run(daemons, { "--daemon", "b:2", "drain" }, Terminal { true, false, "" }));
    }

    // Guards against status output that omits an ejected endpoint together with the live ones.
    void statusShowsWhatNeedsAttention()
    {
        FakeDaemons daemons;
        daemons.handleOther = [](const ctl::Call&) {
            const QJsonArray endpoints { QJsonObject { { "id", "e1" }, { "state", "live" }, { "serviceMs", 12.4 } },
                QJsonObject { { "id", "e2" }, { "state", "live" }, { "ejected", true } },
                QJsonObject { { "id", "e3" }, { "state", "leaving" } } };
            return FakeDaemons::json(200,
                { { "daemon", "n1" }, { "dataCentre", "north" }, { "state", "ready" }, { "revision", 7 },
                    { "upSeconds", 7300 }, { "endpoints", endpoints },
                    { "members",
                        QJsonArray { QJsonObject { { "name", "n2" }, { "state", "suspected" }, { "revision", 7 } } } },
                    { "batch",
                        QJsonObject { { "shards",
                            QJsonArray { QJsonObject { { "key", "north/1" }, { "epoch", 3 },
                                { "jobs", QJsonObject { { "running", 4 } } } } } } } } });
        };
        const Run status = run(daemons, { "status" });
        CPPUNIT_ASSERT(status.has("n1 in north: ready, up 2 h 1 min\nrevision 7 provisional"));
        CPPUNIT_ASSERT(
            status.has("e2") && status.has("e3") && !status.has("e1") && status.has("1 of 3 endpoints are live"));
        CPPUNIT_ASSERT(status.has("n2") && status.has("suspected") && status.has("north/1"));
        CPPUNIT_ASSERT(run(daemons, { "status", "--all" }).has("e1"));
        CPPUNIT_ASSERT_EQUAL(7, run(daemons, { "status", "--json" }).json()["revision"].toInt());
    }

    // Guards against numbers that the asked daemon does not have being shown as 0.
    void accountsShowLimitsAndRefusals()
    {
        FakeDaemons daemons;
        daemons.handleOther = [](const ctl::Call&) {
            const QJsonObject present { { "name", "a\nb" }, { "weight", 2.5 }, { "running", 3 }, { "waiting", 0 },
                { "cap", QJsonObject { { "cpuMilli", 64000 }, { "memoryMb", 0 } } },
                { "refusals", QJsonObject { { "overCap", 4 }, { "tooMany", 1 } } } };
            const QJsonObject removed { { "name", "gone" }, { "isRemoved", true } };
            return FakeDaemons::json(200,
                { { "hasAccounts", true }, { "accounts", QJsonArray { present, removed } },
                    { "refusalsWithoutAccount", QJsonObject { { "unknownKey", 7 } } } });
        };
        const Run accounts = run(daemons, { "accounts" });
        CPPUNIT_ASSERT_EQUAL(std::string("GET /v1/accounts"), daemons.callLog.back().substr(4));
        CPPUNIT_ASSERT(accounts.has("a?b") && accounts.has("64000") && accounts.has("overCap 4, tooMany 1"));
        CPPUNIT_ASSERT(accounts.has("gone     removed          -          -     -        -        -  -"));
        CPPUNIT_ASSERT(accounts.has("refused without an account: unknownKey 7"));
        CPPUNIT_ASSERT(run(daemons, { "accounts", "--json" }).json()["hasAccounts"].toBool());
    }

    void statusPutsTheNumbersOfJobsUnderTheirHeadings()
    {
        FakeDaemons daemons;
        daemons.handleOther = [](const ctl::Call&) {
            const QJsonObject jobs { { "queued", 1 }, { "running", 22 }, { "finished", 333 }, { "failed", 4 },
                { "cancelled", 5 } };
            return FakeDaemons::json(200,
                { { "daemon", "n1" }, { "platformVersion", 12 }, { "configurationAgeMs", 840 },
                    { "batch",
                        QJsonObject { { "shards",
                            QJsonArray { QJsonObject { { "key", "all" }, { "epoch", 3 }, { "jobs", jobs } } } } } } });
        };
        const Run status = run(daemons, { "status" });
        CPPUNIT_ASSERT(status.has("SHARD  EPOCH  QUEUED  RUNNING  FINISHED  FAILED  CANCELLED\n"
                                  "all        3       1       22       333       4          5\n"));
        CPPUNIT_ASSERT(status.has("platform configuration 12, known as of 840 ms ago\n"));
    }

    // Guards against a report that omits a daemon that did not answer without naming it.
    void reportBatchSumsDaemons()
    {
        FakeDaemons daemons;
        daemons.faults = { { "c:3", Reply::Kind::NotSent } };
        daemons.handleOther = [](const ctl::Call&) {
            return FakeDaemons::json(200,
                { { "daemon", "n" },
                    { "batch", QJsonObject { { "starts", 10 }, { "finished", 8 }, { "evictions", 2 } } } });
        };
        const Run report = run(daemons, { "--daemon", "a:1,b:2,c:3", "report", "batch" });
        assertCode(ExitCode::Ok, report);
        CPPUNIT_ASSERT(report.has("total       20        16          4") && report.has("0.250")
            && report.has("no answer from c:3"));
        CPPUNIT_ASSERT_EQUAL(qsizetype(1),
            run(daemons, { "--daemon", "a:1,c:3", "report", "batch", "--json" })
                .json()["unreachable"]
                .toArray()
                .size());
    }

    // Guards against escape sequences in output to files and pipes.
    void colourOnlyWhenEnabled()
    {
        FakeDaemons daemons;
        daemons.handleOther = [](const ctl::Call&) {
            return FakeDaemons::json(200, { { "daemon", "n1" }, { "state", "ready" } });
        };
        CPPUNIT_ASSERT(run(daemons, { "status" }).out.find('\033') == std::string::npos);
        CPPUNIT_ASSERT(
            run(daemons, { "status" }, Terminal { true, true, "" }).out.find("\033[32mready") != std::string::npos);
        CPPUNIT_ASSERT(
            run(daemons, { "status", "--json" }, Terminal { true, true, "" }).out.find('\033') == std::string::npos);
    }

    // Guards against columns misaligned by multi-byte characters, and against control characters in the output.
    void tablesAlignAndHideControlCharacters()
    {
        ctl::Table table;
        table.header = { "N", "NAME", "X" };
        table.rightAligned = { 0 };
        table.rows = { { std::string("7"), std::string("\xC3\xA4\xC3\xB6"), std::string("1") },
            { std::string("12"), std::string("abc\x1b"), std::string() } };
        CPPUNIT_ASSERT_EQUAL(
            std::string(" N  NAME  X\n 7  \xC3\xA4\xC3\xB6    1\n12  abc?\n"), ctl::render(table, false));
        CPPUNIT_ASSERT_EQUAL(std::string("a?b?c"),
            ctl::printable("a\nb\xC2\x9b"
                           "c"));
        CPPUNIT_ASSERT_EQUAL(std::string("850 ms"), ctl::durationText(850));
        CPPUNIT_ASSERT_EQUAL(std::string("3 d 4 h"), ctl::durationText((3 * 24 + 4) * 3'600'000LL));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CtlProgramTest);

} // namespace
