// Tests of request and reply between daemons on loopback sockets.
#include "peer/peer.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QTcpServer>
#include <QTimer>
#include <atomic>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <random>
#include <thread>

namespace {

using namespace lacewing;

// Address with a port that was free at the time of the call.
std::string freeAddress()
{
    QTcpServer probe;
    probe.listen(QHostAddress::LocalHost);
    return "127.0.0.1:" + std::to_string(probe.serverPort());
}

// Runs the event loop until the condition holds or 20 s have passed.
template <typename Condition> bool waitFor(Condition condition)
{
    QElapsedTimer timer;
    timer.start();
    while (!condition() && timer.elapsed() < 20000)
        QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
    return condition();
}

// Ends the process when the event loop makes no progress for 10 s: a blocked call cannot be interrupted.
class Watchdog {
public:
    Watchdog()
        : m_thread([this] { watch(); })
    {
    }

    ~Watchdog()
    {
        m_isDone = true;
        m_thread.join();
    }

    void reportProgress() { m_progress += 1; }

private:
    void watch()
    {
        int idleTicks = 0;
        for (int seen = -1; !m_isDone; std::this_thread::sleep_for(std::chrono::milliseconds(10))) {
            const int progress = m_progress;
            idleTicks = progress == seen ? idleTicks + 1 : 0;
            seen = progress;
            if (idleTicks < 1000)
                continue;
            std::puts("PeerTest: the event loop is blocked");
            std::fflush(stdout);
            std::_Exit(1);
        }
    }

    std::atomic<int> m_progress = 0;
    std::atomic<bool> m_isDone = false;
    std::thread m_thread;
};

class PeerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PeerTest);
    CPPUNIT_TEST(repliesReachTheirOwnRequests);
    CPPUNIT_TEST(silentPeerEndsInTimeout);
    CPPUNIT_TEST(oversizedRequestIsRefusedLocally);
    CPPUNIT_TEST(lateReplyAfterServerIsGoneIsIgnored);
    CPPUNIT_TEST(clientsDestroyedWhileTheyConnectDoNotBlockTheLoop);
    CPPUNIT_TEST(destroyedClientsRunNoCallback);
    CPPUNIT_TEST_SUITE_END();

public:
    void tearDown() override
    {
        CPPUNIT_ASSERT(waitFor([] { return peer::pendingCloses() == 0; }));
    }

    // Guards against replies that are matched to the wrong request when they are sent out of order.
    void repliesReachTheirOwnRequests()
    {
        const std::string address = freeAddress();
        auto server
            = peer::Server::listen(address, {}, [](const QByteArray& request, const peer::ReplyFunction& reply) {
                  const int delayMs = request == "0" ? 50 : 0;
                  QTimer::singleShot(delayMs, [request, reply] { reply("answer " + request); });
              });
        CPPUNIT_ASSERT(server.has_value());
        peer::PeerLimits limits;
        limits.requestTimeoutMs = 20000;
        auto client = peer::Client::dial(address, limits);
        CPPUNIT_ASSERT(client.has_value());
        int answered = 0;
        int wrong = 0;
        for (int index = 0; index < 6; ++index) {
            const QByteArray request = QByteArray::number(index);
            client.value()->request(request, [&, request](const base::Result<QByteArray, peer::PeerError>& reply) {
                answered += 1;
                if (!reply.has_value() || reply.value() != "answer " + request)
                    wrong += 1;
            });
        }
        CPPUNIT_ASSERT(waitFor([&] { return answered == 6; }));
        CPPUNIT_ASSERT_EQUAL(0, wrong);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), server.value()->traffic().messagesReceived);
    }

    // Guards against a request that never completes because nobody listens at the address.
    void silentPeerEndsInTimeout()
    {
        peer::PeerLimits limits;
        limits.requestTimeoutMs = 100;
        auto client = peer::Client::dial(freeAddress(), limits);
        CPPUNIT_ASSERT(client.has_value());
        std::optional<peer::PeerCode> code;
        client.value()->request(
            "x", [&](const base::Result<QByteArray, peer::PeerError>& reply) { code = reply.error().code; });
        CPPUNIT_ASSERT(waitFor([&] { return code.has_value(); }));
        CPPUNIT_ASSERT(code == peer::PeerCode::Timeout);
    }

    // Guards against sending a message that the receiver would drop without a reply.
    void oversizedRequestIsRefusedLocally()
    {
        peer::PeerLimits limits;
        limits.maxMessageBytes = 10;
        auto client = peer::Client::dial(freeAddress(), limits);
        CPPUNIT_ASSERT(client.has_value());
        std::optional<peer::PeerCode> code;
        client.value()->request("longer than ten",
            [&](const base::Result<QByteArray, peer::PeerError>& reply) { code = reply.error().code; });
        CPPUNIT_ASSERT(waitFor([&] { return code.has_value(); }));
        CPPUNIT_ASSERT(code == peer::PeerCode::TooLarge);
    }

    // Guards against a use of freed memory when a handler replies after its server was destroyed.
    void lateReplyAfterServerIsGoneIsIgnored()
    {
        const std::string address = freeAddress();
        std::optional<peer::ReplyFunction> pending;
        auto server = peer::Server::listen(
            address, {}, [&](const QByteArray&, const peer::ReplyFunction& reply) { pending = reply; });
        CPPUNIT_ASSERT(server.has_value());
        auto client = peer::Client::dial(address, {});
        CPPUNIT_ASSERT(client.has_value());
        client.value()->request("x", [](const base::Result<QByteArray, peer::PeerError>&) {});
        CPPUNIT_ASSERT(waitFor([&] { return pending.has_value(); }));
        server.value().reset();
        (*pending)("late");
        CPPUNIT_ASSERT(waitFor([] { return peer::pendingCloses() == 0; }));
        (*pending)("later");
    }

    // Guards against a daemon that hangs when it drops the connection to the scheduling daemon with requests in flight.
    void clientsDestroyedWhileTheyConnectDoNotBlockTheLoop()
    {
        Watchdog watchdog;
        const std::string address = freeAddress();
        // Never closed: nng leaks connections that a listener is still negotiating when it closes.
        static const auto* server = new auto(peer::Server::listen(
            address, {}, [](const QByteArray& request, const peer::ReplyFunction& reply) { reply(request); }));
        CPPUNIT_ASSERT(server->has_value());
        peer::PeerLimits limits;
        limits.requestTimeoutMs = 200;
        std::mt19937 random(1);
        for (int round = 0; round < 1000; ++round) {
            auto client = peer::Client::dial(address, limits);
            CPPUNIT_ASSERT(client.has_value());
            const auto requests = random() % 4;
            for (std::size_t index = 0; index < requests; ++index)
                client.value()->request("x", [](const base::Result<QByteArray, peer::PeerError>&) {});
            const auto lifeUs = static_cast<qint64>(random() % 2000);
            QElapsedTimer timer;
            timer.start();
            while (timer.nsecsElapsed() / 1000 < lifeUs)
                QCoreApplication::processEvents(QEventLoop::AllEvents, 1);
            client.value().reset();
            watchdog.reportProgress();
        }
    }

    // Guards against a callback into an object that destroyed its client.
    void destroyedClientsRunNoCallback()
    {
        peer::PeerLimits limits;
        limits.requestTimeoutMs = 100;
        limits.maxMessageBytes = 10;
        auto client = peer::Client::dial(freeAddress(), limits);
        CPPUNIT_ASSERT(client.has_value());
        int callbacks = 0;
        const auto count = [&](const base::Result<QByteArray, peer::PeerError>&) { callbacks += 1; };
        client.value()->request("x", count);
        client.value()->request("longer than ten", count);
        client.value().reset();
        CPPUNIT_ASSERT(waitFor([] { return peer::pendingCloses() == 0; }));
        CPPUNIT_ASSERT_EQUAL(0, callbacks);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerTest);

} // namespace
