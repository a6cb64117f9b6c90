// Tests of Channel: no request is sent twice, responses are not mixed up, an unresponsive connection is replaced.
#include "http/channel.h"
#include "http_support.h"

#include <QTcpServer>
#include <QThread>
#include <QTimer>
#include <arpa/inet.h>
#include <chrono>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace {

using namespace lacewing;
using namespace lacewing::http;
using namespace lacewing::test;

// Accepts connections and passes every received byte to the test.
struct RawServer {
    RawServer()
    {
        QObject::connect(&server, &QTcpServer::newConnection, &server, [this] {
            QTcpSocket* socket = server.nextPendingConnection();
            ++connections;
            QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
                received += socket->readAll();
                onData(socket);
            });
        });
        CPPUNIT_ASSERT(server.listen(QHostAddress::LocalHost, 0));
    }

    QString address() const { return "127.0.0.1:" + QString::number(server.serverPort()); }

    QTcpServer server;
    QByteArray received;
    int connections = 0;
    std::function<void(QTcpSocket*)> onData = [](QTcpSocket*) {};
};

// Responds to each request after delayMs, on a thread of its own.
struct ThreadedServer {
    explicit ThreadedServer(int delayMs)
    {
        CPPUNIT_ASSERT(m_listener.listen(QHostAddress::LocalHost, 0));
        m_port = m_listener.serverPort();
        m_listener.moveToThread(&m_thread);
        QObject::connect(&m_listener, &QTcpServer::newConnection, &m_listener, [this, delayMs] {
            QTcpSocket* socket = m_listener.nextPendingConnection();
            QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket, delayMs] {
                if (socket->readAll().contains("POST "))
                    QTimer::singleShot(
                        delayMs, socket, [socket] { socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"); });
            });
        });
        m_thread.start();
    }

    ~ThreadedServer()
    {
        QMetaObject::invokeMethod(
            &m_listener,
            [this] {
                m_listener.close();
                m_listener.moveToThread(m_owner);
            },
            Qt::BlockingQueuedConnection);
        m_thread.quit();
        m_thread.wait();
    }

    QString address() const { return "127.0.0.1:" + QString::number(m_port); }

private:
    QThread* m_owner = QThread::currentThread();
    QThread m_thread;
    QTcpServer m_listener;
    quint16 m_port = 0;
};

// Listener with a full backlog: the system drops further connection requests, as in a network partition.
struct FullListener {
    FullListener()
    {
        sockaddr_in any {};
        any.sin_family = AF_INET;
        any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof any;
        CPPUNIT_ASSERT_EQUAL(0, ::bind(m_descriptors[0], reinterpret_cast<sockaddr*>(&any), length));
        CPPUNIT_ASSERT_EQUAL(0, ::listen(m_descriptors[0], 0));
        CPPUNIT_ASSERT_EQUAL(0, ::getsockname(m_descriptors[0], reinterpret_cast<sockaddr*>(&any), &length));
        m_port = ntohs(any.sin_port);
        CPPUNIT_ASSERT_EQUAL(0, ::connect(m_descriptors[1], reinterpret_cast<sockaddr*>(&any), length));
    }

    ~FullListener()
    {
        for (const int descriptor : m_descriptors)
            ::close(descriptor);
    }

    FullListener(const FullListener&) = delete;
    FullListener& operator=(const FullListener&) = delete;

    QString address() const { return "127.0.0.1:" + QString::number(m_port); }

private:
    int m_descriptors[2] = { ::socket(AF_INET, SOCK_STREAM, 0), ::socket(AF_INET, SOCK_STREAM, 0) };
    quint16 m_port = 0;
};

class HttpChannelTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HttpChannelTest);
    CPPUNIT_TEST(requestsShareOneConnection);
    CPPUNIT_TEST(requestIsNotResentAfterLostAnswer);
    CPPUNIT_TEST(unresponsiveConnectionIsReplaced);
    CPPUNIT_TEST(abandonedRequestsFailAtOnce);
    CPPUNIT_TEST(refusedConnectionSentNothing);
    CPPUNIT_TEST(answersThatArrivedInTimeAreNotTimeouts);
    CPPUNIT_TEST(waitingRequestsFailAtTheirOwnDeadline);
    CPPUNIT_TEST(expiredRequestsOpenNoConnections);
    CPPUNIT_TEST(refusedConnectionIsTriedOnceForAllQueued);
    CPPUNIT_TEST(requestsBehindAnExpiredOneAreSent);
    CPPUNIT_TEST(requestsBehindExpiredOnesAreSent);
    CPPUNIT_TEST(steadyRequestsAreSentAfterAnExpiry);
    CPPUNIT_TEST(requestsFailInTimeWhileAnOldConnectionAttemptHangs);
    CPPUNIT_TEST(channelsMayBeDestroyedWhenTheirConnectionIsRefused);
    CPPUNIT_TEST(longResponseIsLimitedByItsProgress);
    CPPUNIT_TEST(stalledResponseFailsEarly);
    CPPUNIT_TEST_SUITE_END();

    static ChannelRequest post(int timeoutMs = 2000)
    {
        ChannelRequest request;
        request.method = "POST";
        request.target = "/run-start";
        request.body = "{}";
        request.timeoutMs = timeoutMs;
        return request;
    }

public:
    // Guards against responses that grow with the deployment and fail at a fixed time limit although they arrive.
    void longResponseIsLimitedByItsProgress()
    {
        constexpr int pieceMs = 40;
        RawServer server;
        int left = 20;
        QTimer pieces;
        QTcpSocket* caller = nullptr;
        QObject::connect(&pieces, &QTimer::timeout, &pieces, [&] {
            caller->write("x");
            if (--left == 0)
                pieces.stop();
        });
        server.onData = [&](QTcpSocket* socket) {
            caller = socket;
            socket->write("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n");
            pieces.start(pieceMs);
        };
        ChannelCounters counters;
        Channel channel(server.address(), {}, &counters);
        ChannelRequest request;
        request.target = "/";
        request.timeoutMs = testTimeoutMs;
        request.stallTimeoutMs = 10 * pieceMs; // half of the whole response's time
        std::optional<ClientResult> result;
        channel.send(request, [&](ClientResult value) { result = std::move(value); });
        CPPUNIT_ASSERT(waitUntil([&] { return result.has_value(); }));
        CPPUNIT_ASSERT(result->ok());
        CPPUNIT_ASSERT_EQUAL(qsizetype(20), result->body.size());
        CPPUNIT_ASSERT(result->bytesReceived > 20);
    }

    // Guards against waiting for the whole time limit of a long response when its connection has died.
    void stalledResponseFailsEarly()
    {
        for (const bool isBegun : { false, true }) {
            RawServer server;
            server.onData = [&](QTcpSocket* socket) {
                if (isBegun)
                    socket->write("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nxxxxx");
            };
            ChannelCounters counters;
            Channel channel(server.address(), {}, &counters);
            ChannelRequest request;
            request.target = "/";
            request.timeoutMs = 100 * testTimeoutMs;
            request.stallTimeoutMs = 200;
            std::optional<ClientResult> result;
            channel.send(request, [&](ClientResult value) { result = std::move(value); });
            CPPUNIT_ASSERT(waitUntil([&] { return result.has_value(); }));
            CPPUNIT_ASSERT(result->failure == Failure::Timeout);
            CPPUNIT_ASSERT(result->bytesSent == BytesSent::Some);
            CPPUNIT_ASSERT_EQUAL(isBegun, result->bytesReceived > 0);
        }
    }

    void requestsShareOneConnection()
    {
        RawServer server;
        server.onData = [](QTcpSocket* socket) { socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"); };
        ChannelCounters counters;
        Channel channel(server.address(), {}, &counters);
        int answers = 0;
        for (int i = 0; i < 5; ++i)
            channel.send(post(), [&](const ClientResult& result) { answers += result.status == 200 ? 1 : 0; });
        CPPUNIT_ASSERT(waitUntil([&] { return answers == 5; }));
        CPPUNIT_ASSERT_EQUAL(1, server.connections);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), counters.connections);
    }

    // Guards against an order that a worker executes twice, because it is sent again after its response was lost.
    void requestIsNotResentAfterLostAnswer()
    {
        RawServer server;
        server.onData = [](QTcpSocket* socket) { socket->disconnectFromHost(); };
        ChannelCounters counters;
        Channel channel(server.address(), {}, &counters);
        std::optional<ClientResult> answer;
        channel.send(post(), [&](const ClientResult& result) { answer = result; });
        CPPUNIT_ASSERT(waitUntil([&] { return answer.has_value(); }));
        runFor(100);
        CPPUNIT_ASSERT(answer->failure == Failure::ConnectionLost && answer->bytesSent == BytesSent::Some);
        CPPUNIT_ASSERT_EQUAL(qsizetype(1), server.received.count("POST /run-start"));
    }

    // Guards against requests that stay queued forever, because the peer stopped responding without a reset.
    void unresponsiveConnectionIsReplaced()
    {
        RawServer server;
        server.onData = [&](QTcpSocket* socket) {
            if (server.connections > 1)
                socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        };
        ChannelCounters counters;
        Channel channel(server.address(), {}, &counters);
        std::optional<ClientResult> first;
        std::optional<ClientResult> second;
        channel.send(post(100), [&](const ClientResult& result) { first = result; });
        channel.send(post(), [&](const ClientResult& result) { second = result; });
        CPPUNIT_ASSERT(waitUntil([&] { return second.has_value(); }));
        CPPUNIT_ASSERT(first && first->failure == Failure::Timeout);
        CPPUNIT_ASSERT_EQUAL(200, second->status);
        CPPUNIT_ASSERT_EQUAL(2, server.connections);
    }

    // Guards against a lease call to a process that has ended, which keeps calls to the next one waiting.
    void abandonedRequestsFailAtOnce()
    {
        RawServer server;
        server.onData = [&](QTcpSocket* socket) {
            if (server.connections > 1)
                socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        };
        ChannelCounters counters;
        Channel channel(server.address(), {}, &counters);
        std::optional<ClientResult> first;
        std::optional<ClientResult> second;
        channel.send(post(60000), [&](const ClientResult& result) {
            first = result;
            channel.send(post(), [&](const ClientResult& next) { second = next; });
        });
        CPPUNIT_ASSERT(waitUntil([&] { return server.connections == 1; }));
        channel.abandon();
        CPPUNIT_ASSERT(waitUntil([&] { return second.has_value(); }));
        CPPUNIT_ASSERT(first && first->failure != Failure::None);
        CPPUNIT_ASSERT_EQUAL(200, second->status);
    }

    // Guards against reporting that a job may have been stored when the connection was refused and nothing was sent.
    void refusedConnectionSentNothing()
    {
        QString address;
        {
            RawServer server;
            address = server.address();
        }
        ChannelCounters counters;
        Channel channel(address, {}, &counters);
        std::optional<ClientResult> answer;
        channel.send(post(), [&](const ClientResult& result) { answer = result; });
        CPPUNIT_ASSERT(waitUntil([&] { return answer.has_value(); }));
        CPPUNIT_ASSERT(answer->failure == Failure::ConnectFailed && answer->bytesSent == BytesSent::None);
    }

    // Guards against responses that arrived in time but are discarded, because the event loop was blocked past the
    // time-out.
    void answersThatArrivedInTimeAreNotTimeouts()
    {
        ThreadedServer quick(0);
        ThreadedServer slow(50);
        ChannelCounters counters;
        Channel blocking(quick.address(), {}, &counters);
        Channel channel(slow.address(), {}, &counters);
        int done = 0;
        int lost = 0;
        const auto count = [&](const ClientResult& result) {
            ++done;
            lost += result.ok() ? 0 : 1;
        };
        blocking.send(post(), count);
        channel.send(post(), count);
        CPPUNIT_ASSERT(waitUntil([&] { return done == 2; }));
        channel.send(post(100), count);
        blocking.send(post(), [&](const ClientResult& result) {
            count(result);
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
        });
        CPPUNIT_ASSERT(waitUntil([&] { return done == 4; }));
        CPPUNIT_ASSERT_EQUAL(0, lost);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), counters.connections);
    }

    // Guards against expired orders that keep resources reserved for their tasks, because they are queued behind a
    // request to an unresponsive peer.
    void waitingRequestsFailAtTheirOwnDeadline()
    {
        RawServer server;
        ChannelCounters counters;
        Channel channel(server.address(), {}, &counters);
        bool isFirstDone = false;
        int expired = 0;
        channel.send(post(3000), [&](const ClientResult&) { isFirstDone = true; });
        for (int i = 0; i < 5; ++i)
            channel.send(post(100), [&](const ClientResult& result) {
                expired += result.failure == Failure::Timeout && result.bytesSent == BytesSent::None ? 1 : 0;
            });
        CPPUNIT_ASSERT(waitUntil([&] { return expired == 5 || isFirstDone; }));
        CPPUNIT_ASSERT(!isFirstDone);
        CPPUNIT_ASSERT_EQUAL(5, expired);
        CPPUNIT_ASSERT_EQUAL(qsizetype(1), server.received.count("POST /run-start"));
    }

    // Guards against a new connection for each expired order, which would prolong the overload of a daemon.
    void expiredRequestsOpenNoConnections()
    {
        RawServer server;
        ChannelCounters counters;
        Channel channel(server.address(), {}, &counters);
        int failed = 0;
        for (int i = 0; i < 20; ++i)
            channel.send(post(100), [&](const ClientResult& result) { failed += result.ok() ? 0 : 1; });
        CPPUNIT_ASSERT(waitUntil([&] { return failed == 20; }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), counters.connections);
    }

    // Guards against a connection attempt for each order queued for a worker that is down.
    void refusedConnectionIsTriedOnceForAllQueued()
    {
        QString address;
        {
            RawServer server;
            address = server.address();
        }
        ChannelCounters counters;
        Channel channel(address, {}, &counters);
        int refused = 0;
        for (int i = 0; i < 20; ++i)
            channel.send(post(), [&](const ClientResult& result) {
                refused += result.failure == Failure::ConnectFailed && result.bytesSent == BytesSent::None ? 1 : 0;
            });
        CPPUNIT_ASSERT(waitUntil([&] { return refused == 20; }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), counters.connections);
    }

    // Guards against a worker that receives no more orders after the one at the front of the queue has expired.
    void requestsBehindAnExpiredOneAreSent()
    {
        RawServer server;
        server.onData = [&](QTcpSocket* socket) {
            if (server.connections > 1)
                socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        };
        ChannelCounters counters;
        Channel channel(server.address(), {}, &counters);
        int lost = 0;
        std::optional<ClientResult> last;
        for (int i = 0; i < 2; ++i)
            channel.send(post(100), [&](const ClientResult& result) { lost += result.ok() ? 0 : 1; });
        channel.send(post(), [&](const ClientResult& result) { last = result; });
        CPPUNIT_ASSERT(waitUntil([&] { return last.has_value(); }));
        CPPUNIT_ASSERT_EQUAL(2, lost);
        CPPUNIT_ASSERT_EQUAL(200, last->status);
    }

    // Guards against requests that are never sent, because those before them expired while the event loop was delayed.
    void requestsBehindExpiredOnesAreSent()
    {
        RawServer server;
        answerFromSecondConnection(server);
        ChannelCounters counters;
        Channel channel(server.address(), {}, &counters);
        std::optional<ClientResult> third;
        expireTwo(server, channel);
        channel.send(post(), [&](const ClientResult& result) { third = result; });
        CPPUNIT_ASSERT(waitUntil([&] { return third.has_value(); }));
        CPPUNIT_ASSERT_EQUAL(200, third->status);
    }

    // Guards against a worker that receives no orders after an expiry as long as new ones are queued at a steady rate.
    void steadyRequestsAreSentAfterAnExpiry()
    {
        RawServer server;
        answerFromSecondConnection(server);
        ChannelCounters counters;
        Channel channel(server.address(), {}, &counters);
        expireTwo(server, channel);
        int answered = 0;
        for (int i = 0; i < 40; ++i) {
            channel.send(post(400), [&](const ClientResult& result) { answered += result.status == 200 ? 1 : 0; });
            runFor(50);
        }
        CPPUNIT_ASSERT_MESSAGE("answered " + std::to_string(answered), answered > 30);
    }

    // Guards against orders that never time out, because the worker became unreachable during the connection attempt.
    void requestsFailInTimeWhileAnOldConnectionAttemptHangs()
    {
        const FullListener peer;
        ChannelCounters counters;
        ChannelLimits limits;
        limits.connectTimeoutMs = 300;
        Channel channel(peer.address(), limits, &counters);
        int failed = 0;
        const auto count = [&](const ClientResult& result) { failed += result.ok() ? 0 : 1; };
        channel.send(post(100), count);
        CPPUNIT_ASSERT(waitUntil([&] { return failed == 1; }, 3000));
        runFor(50);
        channel.send(post(100), count);
        CPPUNIT_ASSERT(waitUntil([&] { return failed == 2; }, 3000));
    }

    // Guards against memory used after its release when the system refuses a connection at once (seen with sanitizers).
    void channelsMayBeDestroyedWhenTheirConnectionIsRefused()
    {
        for (const char* address : { "127.0.0.1:1", "127.0.0.1:0", "127.0.0.1:70000", "255.255.255.255:80", "" }) {
            ChannelCounters counters;
            auto channel = std::make_unique<Channel>(address, ChannelLimits {}, &counters);
            std::optional<ClientResult> result;
            channel->send(post(3000), [&](ClientResult value) {
                result = std::move(value);
                channel.reset();
            });
            CPPUNIT_ASSERT_MESSAGE(address, waitUntil([&] { return result.has_value(); }));
            CPPUNIT_ASSERT_MESSAGE(address, result->failure == Failure::ConnectFailed);
            CPPUNIT_ASSERT_MESSAGE(address, result->bytesSent == BytesSent::None);
        }
    }

private:
    static void answerFromSecondConnection(RawServer& server)
    {
        server.onData = [&server](QTcpSocket* socket) {
            if (server.connections > 1)
                socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        };
    }

    // Sends two requests that expire in the same iteration of the event loop, the first after it was sent.
    static void expireTwo(RawServer& server, Channel& channel)
    {
        channel.send(post(200), [](const ClientResult&) {});
        channel.send(post(200), [](const ClientResult&) {});
        CPPUNIT_ASSERT(waitUntil([&] { return !server.received.isEmpty(); }));
        std::this_thread::sleep_for(std::chrono::milliseconds(250));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpChannelTest);

} // namespace
