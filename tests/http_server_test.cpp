// Tests of the HTTP server and its guard with well-behaved and hostile callers.
#include "http_support.h"

#include "http/problem.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <sys/resource.h>

namespace {

using namespace lacewing::http;
using namespace lacewing::test;

const QByteArray plainGet = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

// Server that holds each request until the test responds to it.
struct HeldServer {
    explicit HeldServer(const ServerLimits& limits = {})
        : server(limits,
            [this](const Request& request, const Responder& responder) {
                requests.push_back(request);
                responders.push_back(responder);
            })
        , port(listenOnLoopback(server))
    {
    }

    bool waitForRequests(std::size_t count) const
    {
        return waitUntil([&] { return requests.size() >= count; });
    }

    std::vector<Request> requests;
    std::vector<Responder> responders;
    Server server;
    std::uint16_t port;
};

// Server that responds to each request at once with method, path and body.
struct EchoServer {
    explicit EchoServer(const ServerLimits& limits = {})
        : server(limits,
            [](const Request& request, const Responder& responder) {
                responder.respond(textResponse(200, request.method + ' ' + request.path + ' ' + request.body));
            })
        , port(listenOnLoopback(server))
    {
    }

    Server server;
    std::uint16_t port;
};

class HttpServerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HttpServerTest);
    CPPUNIT_TEST(requestArrivesComplete);
    CPPUNIT_TEST(malformedRequestsAreRefused);
    CPPUNIT_TEST(bodyInAnyPiecesAndChunks);
    CPPUNIT_TEST(pipelinedAnswersKeepTheirOrder);
    CPPUNIT_TEST(answerAfterTheCallerLeft);
    CPPUNIT_TEST(callerLeavesWhileTheAnswerIsWritten);
    CPPUNIT_TEST(responderOutlivesTheServer);
    CPPUNIT_TEST(unansweredRequestGetsServerError);
    CPPUNIT_TEST(closeIsHonoured);
    CPPUNIT_TEST(expectContinue);
    CPPUNIT_TEST(slowHeadersAndBodiesTimeOut);
    CPPUNIT_TEST(idleConnectionsAreClosed);
    CPPUNIT_TEST(callerThatReadsNothingIsDisconnected);
    CPPUNIT_TEST(connectionLimit);
    CPPUNIT_TEST(manyIdleConnectionsDoNotBlockOthers);
    CPPUNIT_TEST(acceptingResumesAfterDescriptorsRanOut);
    CPPUNIT_TEST(drainLetsRequestsFinish);
    CPPUNIT_TEST(drainServesRequestsInTheAcceptBacklog);
    CPPUNIT_TEST(headerValuesCannotSplitAResponse);
    CPPUNIT_TEST(headAnswerHasNoBody);
    CPPUNIT_TEST(forwardedHeadAnswerDeclaresNoWrongLength);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against lost headers, a decoded target or a wrong peer address.
    void requestArrivesComplete()
    {
        HeldServer held;
        RawCaller caller(held.port);
        caller.send(
            "POST /a%20b/c%2Fd?x=%201&y=a+b HTTP/1.1\r\nHost: h\r\nX-One: 1\r\nx-one: 2\r\nUpgrade: websocket\r\n"
            "Connection: upgrade\r\nContent-Length: 4\r\n\r\nbody");
        CPPUNIT_ASSERT(held.waitForRequests(1));
        const Request& request = held.requests[0];
        CPPUNIT_ASSERT(request.method == "POST");
        CPPUNIT_ASSERT(request.path == "/a%20b/c%2Fd");
        CPPUNIT_ASSERT(request.query == "x=%201&y=a+b");
        CPPUNIT_ASSERT(queryValue(request, "x") == " 1");
        CPPUNIT_ASSERT(queryValue(request, "y") == "a b");
        CPPUNIT_ASSERT(request.body == "body");
        CPPUNIT_ASSERT(headerValue(request.headers, "HOST") == "h");
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), request.headers.size());
        CPPUNIT_ASSERT(request.peerAddress == "127.0.0.1");
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(caller.socket.localPort()), static_cast<int>(request.peerPort));
        CPPUNIT_ASSERT(held.responders[0].respond(jsonResponse(202, "{}")));
        CPPUNIT_ASSERT(caller.receive("\r\n\r\n{}"));
        CPPUNIT_ASSERT(caller.received.startsWith("HTTP/1.1 202 Accepted\r\n"));
        CPPUNIT_ASSERT(caller.received.contains("Content-Length: 2\r\n"));
    }

    // Guards against requests that two parsers could delimit differently, and against refusals without a specific
    // status.
    void malformedRequestsAreRefused()
    {
        struct Case {
            QByteArray bytes;
            int status;
        };
        const QByteArray post = "POST / HTTP/1.1\r\nHost: x\r\n";
        ServerLimits limits;
        limits.headerTimeoutMs = testTimeoutMs;
        limits.bodyTimeoutMs = testTimeoutMs;
        const std::vector<Case> cases {
            { QByteArray("\x16\x03\x01\x02", 4), 400 },
            { "get / HTTP/1.1\r\nHost: x\r\n\r\n", 400 },
            { "GET /\r\n\r\n", 400 },
            { "GET / HTTP/2.0\r\nHost: x\r\n\r\n", 505 },
            { "GET / FTP/1.1\r\nHost: x\r\n\r\n", 400 },
            { "GET x HTTP/1.1\r\nHost: x\r\n\r\n", 400 },
            { "GET  / HTTP/1.1\r\nHost: x\r\n\r\n", 400 },
            { "GET / HTTP/1.1\r\n\r\n", 400 },
            { "GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", 400 },
            { "GET / HTTP/1.1\r\nHost: x\r\nA : b\r\n\r\n", 400 },
            { "GET / HTTP/1.1\r\nHost: x\r\n folded\r\n\r\n", 400 },
            { "GET / HTTP/1.1\r\nHost: x\r\nA: b\nC: d\r\n\r\n", 400 },
            { QByteArray("GET / HTTP/1.1\r\nHost: x\r\nA: \0\r\n\r\n", 33), 400 },
            { "TRACE / HTTP/1.1\r\nHost: x\r\n\r\n", 405 },
            { "CONNECT a:1 HTTP/1.1\r\nHost: x\r\n\r\n", 405 },
            { "BREW / HTTP/1.1\r\nHost: x\r\n\r\n", 501 },
            { post + "\r\n", 411 },
            { post + "Content-Length: -1\r\n\r\n", 400 },
            { post + "Content-Length: 1a\r\n\r\n", 400 },
            { post + "Content-Length: 99999999999999999999\r\n\r\n", 400 },
            { post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400 },
            { post + "Content-Length: 1, 2\r\n\r\nab", 400 },
            { post + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400 },
            { post + "Transfer-Encoding: gzip, chunked\r\n\r\n", 501 },
            { post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400 },
            { post + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc", 400 },
            { post + "Transfer-Encoding: chunked\r\n\r\n" + QByteArray(1000, '0'), 400 },
            { post + "Transfer-Encoding: chunked\r\n\r\n100001\r\n", 413 },
            { post + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + QByteArray(20000, 'a'), 431 },
            { post + "Content-Length: 1048577\r\n\r\n", 413 },
            { post + "Expect: miracle\r\nContent-Length: 1\r\n\r\n", 417 },
            { "GET / HTTP/1.1\r\nHost: x\r\nA: " + QByteArray(17000, 'a'), 431 },
            { "GET / HTTP/1.1\r\nHost: x\r\nA: " + QByteArray(17000, 'a') + "\r\n\r\n", 431 },
            { "GET / HTTP/1.1\r\nHost: x\r\n" + QByteArray("A: b\r\n").repeated(100) + "\r\n", 431 },
        };
        HeldServer held(limits);
        for (const Case& entry : cases) {
            RawCaller caller(held.port);
            caller.send(entry.bytes);
            const std::string label = entry.bytes.left(80).toStdString();
            CPPUNIT_ASSERT_MESSAGE(label, caller.isClosedByPeer());
            const QByteArray expected = "HTTP/1.1 " + QByteArray::number(entry.status) + ' ';
            CPPUNIT_ASSERT_MESSAGE(
                label + " got " + caller.received.left(20).toStdString(), caller.received.startsWith(expected));
            const QByteArray json = caller.received.mid(caller.received.indexOf("\r\n\r\n") + 4);
            const QJsonObject problem = QJsonDocument::fromJson(json).object();
            CPPUNIT_ASSERT_EQUAL(entry.status, problem["status"].toInt());
            CPPUNIT_ASSERT(problem["executed"].toString() == "no");
            CPPUNIT_ASSERT(!problem["code"].toString().isEmpty());
        }
        CPPUNIT_ASSERT(held.requests.empty());
        std::uint64_t refused = 0;
        for (const std::uint64_t count : held.server.counters().refusals)
            refused += count;
        CPPUNIT_ASSERT_EQUAL(static_cast<std::uint64_t>(cases.size()), refused);
    }

    // Guards against a body that depends on how the network splits it, and against a wrong body limit for a path.
    void bodyInAnyPiecesAndChunks()
    {
        EchoServer echo;
        const QByteArray chunked = "PUT /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                                   "5;ext=1\r\nhello\r\n00A\r\n world 123\r\n0\r\nTrailer: x\r\n\r\n";
        for (const qsizetype piece : { 1, 2, 7, 1000 }) {
            RawCaller caller(echo.port);
            for (qsizetype start = 0; start < chunked.size(); start += piece) {
                caller.send(chunked.mid(start, piece));
                QCoreApplication::processEvents();
            }
            CPPUNIT_ASSERT(caller.receive("\r\n\r\nPUT /c hello world 123"));
        }
        const QByteArray large(3LL * 1024 * 1024, 'b');
        RawCaller caller(echo.port);
        caller.send("PUT /svc/x HTTP/1.1\r\nHost: x\r\nContent-Length: " + QByteArray::number(large.size()) + "\r\n\r\n"
            + large);
        CPPUNIT_ASSERT(caller.receive("\r\n\r\nPUT /svc/x " + large));
    }

    // Guards against responses to pipelined requests that are mixed up, as in QHttpServer (invariant I5).
    void pipelinedAnswersKeepTheirOrder()
    {
        HeldServer held;
        RawCaller caller(held.port);
        QByteArray requests;
        for (int index = 0; index < 5; ++index)
            requests += "POST /" + QByteArray::number(index) + " HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n"
                + QByteArray::number(index);
        caller.send(requests);
        for (std::size_t index = 0; index < 5; ++index) {
            CPPUNIT_ASSERT(held.waitForRequests(index + 1));
            runFor(5);
            CPPUNIT_ASSERT_EQUAL(index + 1, held.requests.size()); // the next one waits for the response
            CPPUNIT_ASSERT(held.requests[index].body == QByteArray::number(static_cast<int>(index)));
            CPPUNIT_ASSERT(held.responders[index].respond(textResponse(200, "<" + held.requests[index].path + ">")));
        }
        CPPUNIT_ASSERT(caller.receive("</4>"));
        qsizetype last = -1;
        for (int index = 0; index < 5; ++index) {
            const qsizetype at = caller.received.indexOf("</" + QByteArray::number(index) + ">");
            CPPUNIT_ASSERT(at > last);
            last = at;
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), held.server.counters().pipelined);
    }

    // Guards against the crash of QHttpServer when a response is written after the caller has disconnected.
    void answerAfterTheCallerLeft()
    {
        HeldServer held;
        int calls = 0;
        {
            RawCaller caller(held.port);
            caller.send(plainGet);
            CPPUNIT_ASSERT(held.waitForRequests(1));
            held.responders[0].onDisconnect([&] { ++calls; });
            CPPUNIT_ASSERT(held.responders[0].isConnected());
            caller.socket.abort();
        }
        CPPUNIT_ASSERT(waitUntil([&] { return calls == 1; }));
        CPPUNIT_ASSERT(!held.responders[0].isConnected());
        runFor(20);
        CPPUNIT_ASSERT(!held.responders[0].respond(textResponse(200, "late")));
        CPPUNIT_ASSERT(!held.responders[0].respond(textResponse(200, "twice")));
        held.responders[0].onDisconnect([&] { ++calls; });
        CPPUNIT_ASSERT_EQUAL(1, calls);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), held.server.counters().callersDisconnected);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), held.server.counters().droppedResponses);
        CPPUNIT_ASSERT_EQUAL(0, held.server.openConnections());
    }

    // Guards against a crash or wrong counters when the caller disconnects in the middle of a large response.
    void callerLeavesWhileTheAnswerIsWritten()
    {
        HeldServer held;
        RawCaller caller(held.port);
        caller.socket.setReadBufferSize(1000);
        caller.send(plainGet);
        CPPUNIT_ASSERT(held.waitForRequests(1));
        CPPUNIT_ASSERT(held.responders[0].respond(textResponse(200, QByteArray(16LL * 1024 * 1024, 'x'))));
        runFor(20);
        CPPUNIT_ASSERT_EQUAL(1, held.server.openRequests());
        caller.socket.abort();
        CPPUNIT_ASSERT(waitUntil([&] { return held.server.openConnections() == 0; }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), held.server.counters().responses);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), held.server.counters().callersDisconnected);
    }

    // Guards against a Responder that accesses a destroyed server.
    void responderOutlivesTheServer()
    {
        std::vector<Responder> responders;
        {
            HeldServer held;
            RawCaller caller(held.port);
            caller.send(plainGet);
            CPPUNIT_ASSERT(held.waitForRequests(1));
            responders = held.responders;
        }
        runFor(5);
        CPPUNIT_ASSERT(!responders[0].isConnected());
        CPPUNIT_ASSERT(!responders[0].respond(textResponse(200, "late")));
    }

    // Guards against a caller that waits forever, because the handler destroyed its Responder without a response.
    void unansweredRequestGetsServerError()
    {
        HeldServer held;
        RawCaller caller(held.port);
        caller.send(plainGet);
        CPPUNIT_ASSERT(held.waitForRequests(1));
        held.responders.clear();
        CPPUNIT_ASSERT(caller.receive("noAnswer"));
        CPPUNIT_ASSERT(caller.received.startsWith("HTTP/1.1 500 "));
        CPPUNIT_ASSERT(caller.received.contains("\"executed\":\"unknown\""));
    }

    // Guards against ignoring `Connection: close`, as QHttpServer does, and against an HTTP/1.0 caller that waits for
    // the connection to close.
    void closeIsHonoured()
    {
        EchoServer echo;
        for (const QByteArray request :
            { "GET /a HTTP/1.1\r\nHost: x\r\nConnection: Close\r\n\r\n", "GET /a HTTP/1.0\r\n\r\n" }) {
            RawCaller caller(echo.port);
            caller.send(request);
            CPPUNIT_ASSERT(caller.isClosedByPeer());
            CPPUNIT_ASSERT(caller.received.contains("Connection: close\r\n"));
            CPPUNIT_ASSERT(caller.received.endsWith("\r\n\r\nGET /a "));
        }
        RawCaller kept(echo.port);
        kept.send(plainGet);
        CPPUNIT_ASSERT(kept.receive("GET /a "));
        kept.received.clear();
        kept.send(plainGet);
        CPPUNIT_ASSERT(kept.receive("GET /a "));
    }

    // Guards against a caller that does not send its body, because it gets no `100 Continue`.
    void expectContinue()
    {
        EchoServer echo;
        RawCaller caller(echo.port);
        caller.send("POST /e HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
        CPPUNIT_ASSERT(caller.receive("HTTP/1.1 100 Continue\r\n\r\n"));
        caller.send("ab");
        CPPUNIT_ASSERT(caller.receive("POST /e ab"));
    }

    // Guards against slow senders that occupy a connection.
    void slowHeadersAndBodiesTimeOut()
    {
        ServerLimits limits;
        limits.headerTimeoutMs = 200;
        limits.bodyTimeoutMs = 200;
        HeldServer held(limits);
        const std::vector<std::pair<QByteArray, Refusal>> cases {
            { "GET / HT", Refusal::HeaderTimeout },
            { "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9999\r\n\r\nabc", Refusal::BodyTimeout },
            { "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\nhel", Refusal::BodyTimeout },
        };
        for (const auto& [bytes, refusal] : cases) {
            const std::uint64_t before = refusals(held.server, refusal);
            RawCaller caller(held.port);
            caller.send(bytes);
            // Sending one byte at a time does not extend the time limit.
            const QDeadlineTimer deadline(testTimeoutMs);
            while (!deadline.hasExpired() && !caller.received.startsWith("HTTP/1.1 408 ")) {
                runFor(20);
                caller.send("1");
                caller.received += caller.socket.readAll();
            }
            CPPUNIT_ASSERT(caller.received.startsWith("HTTP/1.1 408 "));
            CPPUNIT_ASSERT(caller.isClosedByPeer());
            CPPUNIT_ASSERT_EQUAL(before + 1, refusals(held.server, refusal));
        }
        CPPUNIT_ASSERT(held.requests.empty());
    }

    // Guards against idle connections that are never closed.
    void idleConnectionsAreClosed()
    {
        ServerLimits limits;
        limits.idleTimeoutMs = 100;
        EchoServer echo(limits);
        RawCaller fresh(echo.port);
        RawCaller used(echo.port);
        used.send(plainGet);
        CPPUNIT_ASSERT(used.receive("GET /a "));
        CPPUNIT_ASSERT(fresh.isClosedByPeer());
        CPPUNIT_ASSERT(used.isClosedByPeer());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), refusals(echo.server, Refusal::IdleTimeout));
    }

    // Guards against a response that stays in memory, because the caller does not read it.
    void callerThatReadsNothingIsDisconnected()
    {
        ServerLimits limits;
        limits.writeTimeoutMs = 200;
        HeldServer held(limits);
        RawCaller caller(held.port);
        caller.socket.setReadBufferSize(1000);
        caller.send(plainGet);
        CPPUNIT_ASSERT(held.waitForRequests(1));
        CPPUNIT_ASSERT(held.responders[0].respond(textResponse(200, QByteArray(32LL * 1024 * 1024, 'x'))));
        CPPUNIT_ASSERT(waitUntil([&] { return held.server.openConnections() == 0; }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), refusals(held.server, Refusal::WriteTimeout));
    }

    // Guards against more connections than the limit, and against closed connections that still count towards it.
    void connectionLimit()
    {
        ServerLimits limits;
        limits.connections = 3;
        EchoServer echo(limits);
        std::vector<std::unique_ptr<RawCaller>> callers;
        for (int index = 0; index < 3; ++index) {
            callers.push_back(std::make_unique<RawCaller>(echo.port));
            callers.back()->send(plainGet);
            CPPUNIT_ASSERT(callers.back()->receive("GET /a "));
        }
        RawCaller extra(echo.port);
        CPPUNIT_ASSERT(extra.isClosedByPeer());
        CPPUNIT_ASSERT(extra.received.startsWith("HTTP/1.1 503 "));
        CPPUNIT_ASSERT(extra.received.contains("tooManyConnections"));
        CPPUNIT_ASSERT(extra.received.contains("Retry-After: "));
        CPPUNIT_ASSERT_EQUAL(3, echo.server.openConnections());
        callers.pop_back();
        CPPUNIT_ASSERT(waitUntil([&] { return echo.server.openConnections() == 2; }));
        RawCaller next(echo.port);
        next.send(plainGet);
        CPPUNIT_ASSERT(next.receive("GET /a "));
    }

    // Guards against idle connections that slow down or block others.
    void manyIdleConnectionsDoNotBlockOthers()
    {
        EchoServer echo;
        std::vector<std::unique_ptr<RawCaller>> idle;
        idle.reserve(300);
        for (int index = 0; index < 300; ++index)
            idle.push_back(std::make_unique<RawCaller>(echo.port));
        RawCaller caller(echo.port);
        caller.send(plainGet);
        CPPUNIT_ASSERT(caller.receive("GET /a "));
        CPPUNIT_ASSERT(waitUntil([&] { return echo.server.openConnections() == 301; }));
        CPPUNIT_ASSERT_EQUAL(0, echo.server.openRequests());
    }

    // Guards against a server that accepts no more connections: QTcpServer stops accepting permanently after accept()
    // failed with EMFILE.
    void acceptingResumesAfterDescriptorsRanOut()
    {
        EchoServer echo;
        QTcpSocket waiting;
        rlimit old {};
        CPPUNIT_ASSERT_EQUAL(0, getrlimit(RLIMIT_NOFILE, &old));
        const int next = dup(0);
        CPPUNIT_ASSERT(next >= 0);
        close(next);
        // Exactly one more descriptor can be opened: the caller's.
        rlimit tight = old;
        tight.rlim_cur = static_cast<rlim_t>(next) + 1;
        CPPUNIT_ASSERT_EQUAL(0, setrlimit(RLIMIT_NOFILE, &tight));
        waiting.connectToHost(QHostAddress::LocalHost, echo.port);
        const bool isConnected = waitUntil([&] { return waiting.state() == QAbstractSocket::ConnectedState; });
        runFor(300);
        const std::uint64_t accepted = echo.server.counters().connectionsAccepted;
        CPPUNIT_ASSERT_EQUAL(0, setrlimit(RLIMIT_NOFILE, &old));
        CPPUNIT_ASSERT(isConnected);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), accepted);
        RawCaller caller(echo.port);
        caller.send(plainGet);
        CPPUNIT_ASSERT(caller.receive("GET /a "));
    }

    // Guards against a planned stop that interrupts a request, accepts new work, or never ends (invariant I9).
    void drainLetsRequestsFinish()
    {
        HeldServer held;
        RawCaller handled(held.port);
        handled.send(plainGet);
        CPPUNIT_ASSERT(held.waitForRequests(1));
        RawCaller idle(held.port);
        RawCaller sending(held.port);
        sending.send("POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\na");
        CPPUNIT_ASSERT(
            waitUntil([&] { return held.server.openRequests() == 2 && held.server.openConnections() == 3; }));
        bool isDrained = false;
        held.server.onDrained([&] { isDrained = true; });
        held.server.beginDrain();
        QTcpSocket late;
        late.connectToHost(QHostAddress::LocalHost, held.port);
        CPPUNIT_ASSERT(waitUntil([&] { return late.error() == QAbstractSocket::ConnectionRefusedError; }));
        CPPUNIT_ASSERT(idle.isClosedByPeer());
        sending.send("b");
        CPPUNIT_ASSERT(held.waitForRequests(2));
        CPPUNIT_ASSERT(!isDrained);
        CPPUNIT_ASSERT(held.responders[1].respond(textResponse(200, "second")));
        CPPUNIT_ASSERT(held.responders[0].respond(textResponse(200, "first")));
        CPPUNIT_ASSERT(handled.isClosedByPeer());
        CPPUNIT_ASSERT(sending.isClosedByPeer());
        CPPUNIT_ASSERT(handled.received.endsWith("first") && handled.received.contains("Connection: close"));
        CPPUNIT_ASSERT(sending.received.endsWith("second"));
        CPPUNIT_ASSERT(waitUntil([&] { return isDrained; }));
        CPPUNIT_ASSERT_EQUAL(0, held.server.openRequests());
    }

    // Guards against a drain that resets connections in the backlog, which the system has accepted and the server has
    // not.
    void drainServesRequestsInTheAcceptBacklog()
    {
        EchoServer echo;
        QTcpSocket socket;
        socket.connectToHost(QHostAddress::LocalHost, echo.port);
        CPPUNIT_ASSERT(socket.waitForConnected(testTimeoutMs)); // does not run the server's events
        socket.write(plainGet);
        CPPUNIT_ASSERT(socket.waitForBytesWritten(testTimeoutMs));
        CPPUNIT_ASSERT_EQUAL(0, echo.server.openConnections());
        echo.server.beginDrain();
        QByteArray received;
        CPPUNIT_ASSERT(waitUntil([&] {
            received += socket.readAll();
            return received.endsWith("GET /a ");
        }));
    }

    // Guards against response splitting by a forwarded header value.
    void headerValuesCannotSplitAResponse()
    {
        HeldServer held;
        RawCaller caller(held.port);
        caller.send(plainGet);
        CPPUNIT_ASSERT(held.waitForRequests(1));
        Response response = textResponse(200, "body");
        response.headers.push_back({ "X-Bad", "a\r\nSet-Cookie: b" });
        response.headers.push_back({ "Content-Length", "999" });
        response.headers.push_back({ "Transfer-Encoding", "chunked" });
        response.headers.push_back({ "X-Good", "1" });
        CPPUNIT_ASSERT(held.responders[0].respond(response));
        CPPUNIT_ASSERT(caller.receive("\r\n\r\nbody"));
        CPPUNIT_ASSERT(!caller.received.contains("Set-Cookie") && !caller.received.contains("chunked"));
        CPPUNIT_ASSERT(caller.received.contains("Content-Length: 4\r\n") && caller.received.contains("X-Good: 1\r\n"));
    }

    // Guards against a body after a response to HEAD: the caller would read it as the next response.
    void headAnswerHasNoBody()
    {
        EchoServer echo;
        RawCaller caller(echo.port);
        caller.send("HEAD /h HTTP/1.1\r\nHost: x\r\n\r\n" + plainGet);
        CPPUNIT_ASSERT(caller.receive("GET /a "));
        CPPUNIT_ASSERT(caller.received.contains("Content-Length: 8\r\n"));
        CPPUNIT_ASSERT(!caller.received.contains("HEAD /h"));
    }

    // Guards against `Content-Length: 0` for a forwarded HEAD response whose length the handler has dropped.
    void forwardedHeadAnswerDeclaresNoWrongLength()
    {
        HeldServer held;
        RawCaller caller(held.port);
        caller.send("HEAD /h HTTP/1.1\r\nHost: x\r\n\r\n" + plainGet);
        CPPUNIT_ASSERT(held.waitForRequests(1));
        CPPUNIT_ASSERT(held.responders[0].respond(textResponse(200, "")));
        CPPUNIT_ASSERT(held.waitForRequests(2));
        CPPUNIT_ASSERT(caller.receive("\r\n\r\n"));
        CPPUNIT_ASSERT(!caller.received.contains("Content-Length"));
        Response declared = textResponse(200, "");
        declared.headers.push_back({ "Content-Length", "7" });
        caller.received.clear();
        CPPUNIT_ASSERT(held.responders[1].respond(declared)); // GET: the length of the body is declared
        CPPUNIT_ASSERT(caller.receive("Content-Length: 0\r\n"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

} // namespace
