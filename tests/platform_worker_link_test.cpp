// Tests of the worker client: request bodies are valid JSON for any text, answers are decoded to reports and outcomes.
#include "http_support.h"
#include "platform/worker_link.h"

#include <QJsonDocument>
#include <QJsonObject>

namespace {

using namespace lacewing;
using namespace lacewing::platform;
using namespace lacewing::test;

// Answers every request with the same answer and keeps the last request.
struct Worker {
    Worker()
    {
        QObject::connect(&server, &QTcpServer::newConnection, &server, [this] {
            QTcpSocket* socket = server.nextPendingConnection();
            QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
                received += socket->readAll();
                const qsizetype head = received.indexOf("\r\n\r\n");
                const QByteArray name = "Content-Length: ";
                const qsizetype length = received.indexOf(name);
                if (head < 0 || length < 0)
                    return;
                const qsizetype end = received.indexOf("\r\n", length);
                const int size = received.mid(length + name.size(), end - length - name.size()).toInt();
                if (received.size() < head + 4 + size)
                    return;
                request = received.left(head);
                body = received.mid(head + 4);
                received.clear();
                socket->write("HTTP/1.1 " + status + "\r\nContent-Length: " + QByteArray::number(answer.size())
                    + "\r\n\r\n" + answer);
            });
        });
        CPPUNIT_ASSERT(server.listen(QHostAddress::LocalHost, 0));
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(server.serverPort()); }
    QJsonObject json() const
    {
        QJsonParseError error;
        const QJsonDocument document = QJsonDocument::fromJson(body, &error);
        CPPUNIT_ASSERT_EQUAL(QJsonParseError::NoError, error.error);
        return document.object();
    }

    QTcpServer server;
    QByteArray received;
    QByteArray request;
    QByteArray body;
    QByteArray status = "200 OK";
    QByteArray answer = "{}";
};

class PlatformWorkerLinkTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlatformWorkerLinkTest);
    CPPUNIT_TEST(startEscapesAnyText);
    CPPUNIT_TEST(emptyTextsAreLeftOut);
    CPPUNIT_TEST(stopNamesTaskAndRun);
    CPPUNIT_TEST(renewalCarriesLeaseAndWait);
    CPPUNIT_TEST(reportIsDecoded);
    CPPUNIT_TEST(reportsOutOfRangeAreRefused);
    CPPUNIT_TEST(roughFiguresOfAReportAreClamped);
    CPPUNIT_TEST(refusalsAreDecoded);
    CPPUNIT_TEST(ordersQueuedBehindASilentWorkerAreNotUnsent);
    CPPUNIT_TEST_SUITE_END();

    static StartResult start(Worker& worker, const scheduler::StartOrder& order)
    {
        http::ChannelCounters counters;
        WorkerLink link(worker.address(), "worker-1", {}, &counters);
        std::optional<StartResult> answer;
        link.start(7, order, [&](const StartResult& result) { answer = result; });
        CPPUNIT_ASSERT(waitUntil([&] { return answer.has_value(); }));
        return *answer;
    }

    static base::Result<scheduler::WorkerReport, LinkError> renew(
        Worker& worker, const scheduler::LeaseRequest& lease, int waitMs)
    {
        http::ChannelCounters counters;
        WorkerLink link(worker.address(), "worker-1", {}, &counters);
        std::optional<base::Result<scheduler::WorkerReport, LinkError>> answer;
        link.renew(7, lease, waitMs,
            [&](base::Result<scheduler::WorkerReport, LinkError> result) { answer.emplace(std::move(result)); });
        CPPUNIT_ASSERT(waitUntil([&] { return answer.has_value(); }));
        return *answer;
    }

public:
    // Guards against a missing escape, with which a payload could change other fields of the request.
    void startEscapesAnyText()
    {
        const std::vector<std::string> texts = { "plain", "{\"runMs\":800,\"cpu\":1500}", "\"", "\\", "\\\"\\", "a\\",
            "tab\tline\nnul" + std::string(1, '\0'), "\x7f", "gr\xc3\xbc\xc3\x9f \xf0\x9f\x90\x9d", "\xe2\x80\xa8",
            "broken \xff\xc3" };
        for (const std::string& text : texts) {
            Worker worker;
            worker.answer = "{\"clock_ms\":123456789012345}";
            scheduler::StartOrder order;
            order.task = text;
            order.run = 3;
            order.payload = text;
            order.ticket = text;
            order.checkpoint = text;
            order.deadlineClockMs = 9007199254740993; // not exact as a double
            const StartResult answer = start(worker, order);
            CPPUNIT_ASSERT(answer.outcome == scheduler::StartOutcome::Started);
            CPPUNIT_ASSERT_EQUAL(std::int64_t(123456789012345), answer.clockMs);
            const QJsonObject json = worker.json();
            const QString expected = QString::fromStdString(text);
            for (const char* key : { "task", "spec", "ticket", "checkpointed" })
                CPPUNIT_ASSERT(json[key].toString() == expected);
            CPPUNIT_ASSERT_EQUAL(3, json["run_id"].toInt());
            CPPUNIT_ASSERT_EQUAL(qint64(9007199254740993), json["expires_ms"].toInteger());
            CPPUNIT_ASSERT_EQUAL(qint64(7), json["fencing_token"].toInteger());
            CPPUNIT_ASSERT_EQUAL(qsizetype(7), json.size());
            CPPUNIT_ASSERT(worker.request.startsWith("POST /run-start HTTP/1.1\r\n"));
            CPPUNIT_ASSERT(worker.request.contains("\r\nLacewingloft-Expect-Instance: worker-1"));
        }
    }

    void emptyTextsAreLeftOut()
    {
        Worker worker;
        start(worker, {});
        const QJsonObject json = worker.json();
        CPPUNIT_ASSERT(!json.contains("ticket") && !json.contains("checkpointed"));
        CPPUNIT_ASSERT(json["task"].isString() && json["spec"].isString());
    }

    void stopNamesTaskAndRun()
    {
        Worker worker;
        http::ChannelCounters counters;
        WorkerLink link(worker.address(), "worker-1", {}, &counters);
        scheduler::StopOrder order;
        order.task = "job/0/1";
        order.run = 2;
        std::optional<StopResult> answer;
        link.stop(7, order, [&](const StopResult& result) { answer = result; });
        CPPUNIT_ASSERT(waitUntil([&] { return answer.has_value(); }));
        CPPUNIT_ASSERT(answer->isAnswered);
        const QJsonObject expected { { "task", "job/0/1" }, { "run_id", 2 }, { "fencing_token", 7 } };
        CPPUNIT_ASSERT(worker.json() == expected);
        CPPUNIT_ASSERT(worker.request.startsWith("POST /run-stop HTTP/1.1\r\n"));
    }

    void renewalCarriesLeaseAndWait()
    {
        Worker worker;
        worker.answer = "{\"running\":[],\"finished\":[]}";
        CPPUNIT_ASSERT(renew(worker, { 5000, 12 }, 300).has_value());
        const QJsonObject expected { { "fencing_token", 7 }, { "seen_seq", 12 }, { "expires_ms", 5000 },
            { "wait_ms", 300 } };
        CPPUNIT_ASSERT(worker.json() == expected);
        CPPUNIT_ASSERT(worker.request.startsWith("POST /hold HTTP/1.1\r\n"));
        CPPUNIT_ASSERT(renew(worker, { 0, 12 }, 0).has_value());
        CPPUNIT_ASSERT_EQUAL(qsizetype(2), worker.json().size());
    }

    void reportIsDecoded()
    {
        Worker worker;
        worker.answer = "{\"clock_ms\":1234567890123,\"born\":42,\"running\":[[\"job/0/1\",2,\"c1\",50,310]],"
                        "\"finished\":[[9,\"job/0/2\",1,\"done\",\"c2\"]]}";
        const auto result = renew(worker, {}, 0);
        CPPUNIT_ASSERT(result.has_value());
        const scheduler::WorkerReport& report = result.value();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1234567890123), report.clockMs);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(42), report.incarnationUnixMs);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), report.running.size());
        CPPUNIT_ASSERT(report.running[0].task == "job/0/1" && report.running[0].run == 2);
        CPPUNIT_ASSERT(report.running[0].checkpoint == "c1" && report.running[0].percent == 50);
        CPPUNIT_ASSERT_EQUAL(310, report.running[0].reading);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), report.ended.size());
        CPPUNIT_ASSERT(report.ended[0].number == 9 && report.ended[0].task == "job/0/2");
        CPPUNIT_ASSERT(report.ended[0].kind == scheduler::EndKind::Done && report.ended[0].checkpoint == "c2");
        CPPUNIT_ASSERT(!report.isEndListTruncated);
        worker.answer = "{\"running\":[],\"finished\":[[9,\"job/0/2\",1,\"unheard\",\"\"]]}";
        CPPUNIT_ASSERT(renew(worker, {}, 0).error() == LinkError::Refused);
    }

    // Guards against run numbers, clocks and end numbers that overflow, or hide later ends, when a process that is no
    // worker answers in its place.
    void reportsOutOfRangeAreRefused()
    {
        Worker worker;
        const auto isRefused = [&worker](const QByteArray& body) {
            worker.answer = body;
            const auto result = renew(worker, {}, 0);
            return result.has_error() && result.error() == LinkError::Refused;
        };
        const auto report = [](const QByteArray& clock, const QByteArray& born, const QByteArray& running,
                                const QByteArray& finished) {
            return R"({"clock_ms":)" + clock + R"(,"born":)" + born + R"(,"running":[)" + running + R"(],"finished":[)"
                + finished + "]}";
        };
        CPPUNIT_ASSERT(!isRefused(report("5", "42", R"(["j.0.0.0",1,"",0])", R"([1,"j.0.0.1",1,"done",""])")));
        for (const char* number : { "-1", "1e300", "9223372036854775807", "0.5", "\"5\"", "null", "[]" }) {
            CPPUNIT_ASSERT_MESSAGE(number, isRefused(report(number, "42", "", "")));
            CPPUNIT_ASSERT_MESSAGE(number, isRefused(report("5", number, "", "")));
            const QByteArray text(number);
            CPPUNIT_ASSERT_MESSAGE(number, isRefused(report("5", "42", R"(["j.0.0.0",)" + text + R"(,"",0])", "")));
            CPPUNIT_ASSERT_MESSAGE(number, isRefused(report("5", "42", "", "[" + text + R"(,"j.0.0.1",1,"done",""])")));
            CPPUNIT_ASSERT_MESSAGE(
                number, isRefused(report("5", "42", "", R"([1,"j.0.0.1",)" + text + R"(,"done",""])")));
        }
        for (const char* run : { "9007199254740992", "9223372036854775807", "0" })
            CPPUNIT_ASSERT_MESSAGE(
                run, isRefused(report("5", "42", R"(["j.0.0.0",)" + QByteArray(run) + R"(,"",0])", "")));
        CPPUNIT_ASSERT(!isRefused(report("5", "42", R"(["j.0.0.0",9007199254740991,"",0])", "")));
        for (const char* row : { "7", "[]", R"([7,1,"",0])", R"({"task":"j.0.0.0"})", R"(["",1,"",0])" })
            CPPUNIT_ASSERT_MESSAGE(row, isRefused(report("5", "42", row, "")));
    }

    // Guards against undefined conversions of figures that are rough by contract.
    void roughFiguresOfAReportAreClamped()
    {
        Worker worker;
        const auto first = [&worker](const QByteArray& percent, const QByteArray& reading) {
            worker.answer
                = R"({"clock_ms":5,"running":[["j.0.0.0",1,"",)" + percent + "," + reading + R"(]],"finished":[]})";
            const auto result = renew(worker, {}, 0);
            CPPUNIT_ASSERT(result.has_value());
            return result.value().running.at(0);
        };
        CPPUNIT_ASSERT(first("50", "12.7").percent == 50 && first("50", "12.7").reading == 12);
        CPPUNIT_ASSERT(first("1e300", "1e300").percent == 100);
        CPPUNIT_ASSERT_EQUAL(1'000'000'000, first("1e300", "1e300").reading);
        CPPUNIT_ASSERT(first("-5", "-1e300").percent == 0 && first("-5", "-1e300").reading == 0);
        worker.answer = R"({"clock_ms":-9223372036854775808})";
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), start(worker, {}).clockMs);
        worker.answer = R"({"clock_ms":9223372036854775807})";
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), start(worker, {}).clockMs);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), start(worker, {}).incarnationUnixMs);
        worker.answer = R"({"clock_ms":5,"born":1781000000000})";
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1781000000000), start(worker, {}).incarnationUnixMs);
    }

    void refusalsAreDecoded()
    {
        Worker worker;
        worker.status = "409 Conflict";
        worker.answer = "{\"reason\":\"fence\"}";
        CPPUNIT_ASSERT(renew(worker, {}, 0).error() == LinkError::Fenced);
        const std::vector<std::pair<QByteArray, scheduler::StartOutcome>> reasons = {
            { "fence", scheduler::StartOutcome::Fenced },
            { "old", scheduler::StartOutcome::Outdated },
            { "late", scheduler::StartOutcome::Late },
            { "room", scheduler::StartOutcome::NoCapacity },
            { "ticket", scheduler::StartOutcome::NoTicket },
            { "other", scheduler::StartOutcome::Refused },
        };
        for (const auto& [reason, outcome] : reasons) {
            worker.answer = "{\"reason\":\"" + reason + "\"}";
            CPPUNIT_ASSERT(start(worker, {}).outcome == outcome);
        }
    }

    // Guards against counting the delay of a frozen worker as the daemon's own: orders that time out in the queue
    // behind an unanswered one must not end as Unsent, which would shrink the daemon's window of starts.
    void ordersQueuedBehindASilentWorkerAreNotUnsent()
    {
        RawEndpoint frozen([](QTcpSocket&, const QByteArray&) {});
        http::ChannelCounters traffic;
        platform::WorkerLink link("127.0.0.1:" + std::to_string(frozen.port), "w", platform::LinkTimeouts {}, &traffic);
        int answers = 0;
        int unsent = 0;
        for (int i = 0; i < 4; ++i) {
            scheduler::StartOrder order;
            order.worker = "w";
            order.task = "job.0.0." + std::to_string(i);
            order.run = 1;
            link.start(1, order, [&](const platform::StartResult& answer) {
                ++answers;
                unsent += answer.outcome == scheduler::StartOutcome::Unsent ? 1 : 0;
            });
        }
        CPPUNIT_ASSERT(waitUntil([&] { return answers == 4; }));
        CPPUNIT_ASSERT_EQUAL(0, unsent);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformWorkerLinkTest);

} // namespace
