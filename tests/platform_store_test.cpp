// Tests of the store client and the advice client against scripted endpoints.
#include "http_support.h"
#include "platform/advice_link.h"
#include "platform/store.h"

#include <QJsonDocument>
#include <QJsonObject>

namespace {

using namespace lacewing;
using namespace lacewing::test;

QByteArray answer(const QByteArray& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + QByteArray::number(body.size())
        + "\r\n\r\n" + body;
}

class PlatformStoreTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlatformStoreTest);
    CPPUNIT_TEST(overlappingCallsDoNotWaitForEachOther);
    CPPUNIT_TEST(callsExpiredInTheQueueDoNotMarkTheStoreUnreachable);
    CPPUNIT_TEST(approvalsAreAskedAndDecoded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against time-outs of overlapping calls that queue on one connection while the store is slow (bench day
    // trouble-2).
    void overlappingCallsDoNotWaitForEachOther()
    {
        constexpr int slowMs = 300;
        RawEndpoint store([](QTcpSocket& socket, const QByteArray&) {
            QTimer::singleShot(slowMs, &socket,
                [&socket] { socket.write(answer(R"({"key":"k","value":"","revision":5,"created":5,"at":9})")); });
        });
        platform::StoreSettings settings;
        settings.address = "127.0.0.1:" + QString::number(store.port);
        settings.callTimeoutMs = 2 * slowMs;
        platform::Store client(settings);
        int answered = 0;
        int failed = 0;
        for (int i = 0; i < 4; ++i) {
            client.read("k", [&](const base::Result<platform::Item, platform::StoreError>& result) {
                ++answered;
                failed += result.has_error() ? 1 : 0;
            });
        }
        CPPUNIT_ASSERT(waitUntil([&] { return answered == 4; }));
        CPPUNIT_ASSERT_EQUAL(0, failed);
        client.read("k", [&](const base::Result<platform::Item, platform::StoreError>&) { ++answered; });
        CPPUNIT_ASSERT(waitUntil([&] { return answered == 5; }));
        CPPUNIT_ASSERT_EQUAL(4, store.connections); // reused, and no more than needed
    }

    // Guards against reporting the store as unreachable when calls time out because they waited in this process's
    // queue.
    void callsExpiredInTheQueueDoNotMarkTheStoreUnreachable()
    {
        constexpr int slowMs = 300;
        RawEndpoint store([](QTcpSocket& socket, const QByteArray&) {
            QTimer::singleShot(slowMs, &socket,
                [&socket] { socket.write(answer(R"({"key":"k","value":"","revision":5,"created":5,"at":9})")); });
        });
        platform::StoreSettings settings;
        settings.address = "127.0.0.1:" + QString::number(store.port);
        settings.callTimeoutMs = 2 * slowMs - slowMs / 3;
        platform::Store client(settings);
        bool isReachable = true;
        const auto subscription = client.onReachability(
            [&](bool reachable, const std::string&) { isReachable = isReachable && reachable; });
        int done = 0;
        for (int i = 0; i < 20; ++i)
            client.read("k", [&](const base::Result<platform::Item, platform::StoreError>&) { ++done; });
        CPPUNIT_ASSERT(waitUntil([&] { return done == 20; }));
        CPPUNIT_ASSERT(isReachable);
    }

    // Guards against accepting malformed answers of the advice service as approvals.
    void approvalsAreAskedAndDecoded()
    {
        QByteArray reply = R"({"allowed":[["w1","t1"]],"valid_ms":1500})";
        QByteArray seen;
        RawEndpoint service([&](QTcpSocket& socket, const QByteArray& request) {
            seen = request;
            socket.write(answer(reply));
        });
        http::ChannelCounters counters;
        platform::AdviceLink link("127.0.0.1:" + std::to_string(service.port), &counters);
        const scheduler::ApprovalQuestion question { "0123456789abcdef.0.1", { "w1", "w2" }, 50 };
        const auto ask = [&] {
            std::optional<std::optional<scheduler::ApprovalAnswer>> result;
            link.ask(question, [&](std::optional<scheduler::ApprovalAnswer> value) { result = std::move(value); });
            CPPUNIT_ASSERT(waitUntil([&] { return result.has_value(); }));
            return *result;
        };
        const auto approval = ask();
        CPPUNIT_ASSERT(approval.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), approval->approved.size());
        CPPUNIT_ASSERT_EQUAL(std::string("t1"), approval->approved[0].ticket);
        CPPUNIT_ASSERT_EQUAL(scheduler::Millis(1500), approval->validMs);
        CPPUNIT_ASSERT(seen.startsWith("POST /advise"));
        for (const char* other : { "{}", "[]", R"({"allowed":[[1,2]],"valid_ms":1})", R"({"allowed":[]})",
                 R"({"allowed":[["w1","t1"]],"valid_ms":9223372036854775807})",
                 R"({"allowed":[["w1","t1"]],"valid_ms":-1})", R"({"allowed":[["w1","t1"]],"valid_ms":"1500"})",
                 R"({"allowed":[["w1","t1"],7],"valid_ms":1500})" }) {
            reply = other;
            CPPUNIT_ASSERT(!ask().has_value());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformStoreTest);

} // namespace
