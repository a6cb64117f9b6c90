// Tests of request and reply between daemons on loopback sockets.
#include "peer/peer.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QTcpServer>
#include <QTimer>
#include <cppunit/extensions/HelperMacros.h>
#include <optional>

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

class PeerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PeerTest);
    CPPUNIT_TEST(repliesReachTheirOwnRequests);
    CPPUNIT_TEST(silentPeerEndsInTimeout);
    CPPUNIT_TEST(oversizedRequestIsRefusedLocally);
    CPPUNIT_TEST(lateReplyAfterServerIsGoneIsIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
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
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerTest);

} // namespace
