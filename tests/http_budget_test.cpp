// Tests of the budget for clients: decisions over plain holdings, and servers that share a small budget.
#include "http_support.h"

#include "http/guard.h"

#include <rapidcheck.h>

namespace {

using namespace lacewing;
using namespace lacewing::http;
using namespace lacewing::test;

constexpr qint64 mb = 1024LL * 1024;
const base::TimePoint start { base::seconds(1000) };

std::shared_ptr<Budget> makeBudget(qint64 bytes, std::size_t connections = 1000)
{
    auto budget = std::make_shared<Budget>();
    budget->limits = { bytes, connections, 8 };
    return budget;
}

struct EchoServer {
    explicit EchoServer(std::shared_ptr<Budget> budget, qint64 responseBytes = 10, const ServerLimits& limits = {})
        : server(
            limits,
            [responseBytes](const Request& request, const Responder& responder) {
                responder.respond(textResponse(200,
                    "got " + QByteArray::number(request.body.size()) + ' '
                        + QByteArray(static_cast<qsizetype>(responseBytes), 'r')));
            },
            std::move(budget))
        , port(listenOnLoopback(server))
    {
    }

    Server server;
    std::uint16_t port;
};

QByteArray post(qint64 length)
{
    return "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: " + QByteArray::number(length) + "\r\n\r\n";
}

class HttpBudgetTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HttpBudgetTest);
    CPPUNIT_TEST(sumsMatchTheHoldings);
    CPPUNIT_TEST(largestAndSlowestIsClosedFirst);
    CPPUNIT_TEST(smallestMachineHasRoomForDocumentedRequests);
    CPPUNIT_TEST(memoryIsReturnedAfterALargeFallOnly);
    CPPUNIT_TEST(unfinishedBodiesGiveWayToOthers);
    CPPUNIT_TEST(requestsBeingAnsweredAreKept);
    CPPUNIT_TEST(slowConnectionsGiveTheirPlace);
    CPPUNIT_TEST(unreadResponsesAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a sum that drifts from the holdings, by which a daemon would refuse everything or nothing.
    void sumsMatchTheHoldings()
    {
        const bool isHeld = rc::check("sums match the holdings", [] {
            Budget budget;
            std::vector<std::unique_ptr<Holding>> holdings;
            for (const unsigned step : *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 40000U))) {
                if (holdings.empty() || step % 4 == 0) {
                    holdings.push_back(std::make_unique<Holding>());
                    holdings.back()->bytes = step;
                    addHolding(budget, *holdings.back());
                } else if (step % 4 == 1) {
                    const auto position = holdings.begin() + step % holdings.size();
                    removeHolding(budget, **position);
                    removeHolding(budget, **position); // no effect
                    holdings.erase(position);
                } else {
                    const auto state = static_cast<Holding::State>(step / 4 % 4);
                    setHolding(budget, *holdings[step % holdings.size()], state, step);
                }
                std::int64_t bytes = 0;
                std::size_t closing = 0;
                for (const auto& holding : holdings) {
                    bytes += holding->bytes;
                    closing += holding->state == Holding::State::Closing ? 1 : 0;
                }
                RC_ASSERT(budget.usedBytes == bytes);
                RC_ASSERT(budget.closing == closing);
                RC_ASSERT(openConnections(budget) == holdings.size() - closing);
            }
        });
        CPPUNIT_ASSERT(isHeld);
    }

    // Guards against a choice that hits requests being answered, responses being read, or small new requests.
    void largestAndSlowestIsClosedFirst()
    {
        using State = Holding::State;
        Budget budget;
        std::vector<Holding> holdings {
            { State::Answering, 8 * mb, start - base::seconds(60) },
            { State::Closing, 8 * mb, start - base::seconds(60) },
            { State::Sending, 4 * mb, start - base::seconds(1) },
            { State::Waiting, 20000, start },
            { State::Waiting, mb, start - base::seconds(1) },
            { State::Waiting, mb, start - base::seconds(5) },
            { State::Sending, 2 * mb, start - base::seconds(3) },
        };
        for (Holding& holding : holdings)
            addHolding(budget, holding);
        for (const std::size_t expected : { 6U, 5U, 4U, 3U }) {
            Holding* next = nextToClose(budget, start, base::Duration(0));
            CPPUNIT_ASSERT(next == &holdings[expected]);
            removeHolding(budget, *next);
        }
        CPPUNIT_ASSERT(nextToClose(budget, start, base::Duration(0)) == nullptr);
    }

    // Guards against limits below what docs/http.md promises: one request at the limit, and 100 callers with some KB.
    void smallestMachineHasRoomForDocumentedRequests()
    {
        for (const int memoryMb : { 1, 160, 256, 512 }) {
            const BudgetLimits limits = budgetLimits(memoryMb, 0.25, 4100);
            CPPUNIT_ASSERT(limits.bytes >= 2 * ServerLimits {}.bodyBytes + 100 * (connectionBytes + 8LL * 1024));
            CPPUNIT_ASSERT(limits.bytes <= std::max<qint64>(8, memoryMb / 4) * mb);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2050), budgetLimits(160, 0.25, 4100).connections);
        CPPUNIT_ASSERT_EQUAL(std::size_t(16), budgetLimits(160, 0.25, 1).connections);
    }

    // Guards against trims for ordinary changes, and against several within a second.
    void memoryIsReturnedAfterALargeFallOnly()
    {
        Budget budget;
        Holding holding;
        addHolding(budget, holding);
        const auto hold = [&](qint64 bytes) { setHolding(budget, holding, Holding::State::Waiting, bytes); };
        hold(7 * mb);
        hold(0);
        CPPUNIT_ASSERT(!takeTrim(budget, start));
        hold(20 * mb);
        hold(0);
        CPPUNIT_ASSERT(takeTrim(budget, start));
        CPPUNIT_ASSERT(!takeTrim(budget, start + base::seconds(5)));
        hold(20 * mb);
        hold(0);
        CPPUNIT_ASSERT(takeTrim(budget, start + base::seconds(6)));
        hold(20 * mb);
        hold(0);
        CPPUNIT_ASSERT(!takeTrim(budget, start + base::milliseconds(6500)));
    }

    // Guards against unfinished bodies that exhaust the memory, on any server that shares the budget.
    void unfinishedBodiesGiveWayToOthers()
    {
        auto budget = makeBudget(4 * mb);
        EchoServer first(budget);
        EchoServer second(budget);
        std::vector<std::unique_ptr<RawCaller>> held;
        for (int index = 0; index < 12; ++index) {
            held.push_back(std::make_unique<RawCaller>(index % 2 == 0 ? first.port : second.port));
            held.back()->send(post(mb) + QByteArray(900000, 'x'));
        }
        const auto refused = [&] {
            return refusals(first.server, Refusal::OverBudget) + refusals(second.server, Refusal::OverBudget);
        };
        CPPUNIT_ASSERT(waitUntil([&] { return refused() >= 8; }));
        CPPUNIT_ASSERT(waitUntil([&] { return budget->usedBytes <= budget->limits.bytes; }));
        RawCaller caller(second.port);
        caller.send(post(1000) + QByteArray(1000, 'x'));
        CPPUNIT_ASSERT(caller.receive("got 1000 "));
        // The refusal says that nothing was executed, and when to come back.
        std::size_t answered = 0;
        for (const auto& client : held) {
            waitUntil(
                [&] {
                    return client->socket.bytesAvailable() > 0
                        || client->socket.state() != QAbstractSocket::ConnectedState;
                },
                200);
            const QByteArray text = client->socket.readAll();
            if (text.startsWith("HTTP/1.1 503 ") && text.contains("\"executed\":\"no\"")
                && text.contains("Retry-After: "))
                ++answered;
        }
        CPPUNIT_ASSERT(answered > 0);
        held.clear();
        CPPUNIT_ASSERT(waitUntil([&] { return openConnections(*budget) <= 1; }));
        CPPUNIT_ASSERT(budget->usedBytes < mb);
        // A single request within the limits is served.
        RawCaller large(first.port);
        large.send(post(mb) + QByteArray(mb, 'x'));
        CPPUNIT_ASSERT(large.receive("got 1048576 "));
    }

    // Guards against a request that is closed while the handler works on it, and may have been executed.
    void requestsBeingAnsweredAreKept()
    {
        auto budget = makeBudget(4 * mb);
        std::vector<Responder> responders;
        Server server(
            {}, [&](const Request&, const Responder& responder) { responders.push_back(responder); }, budget);
        const std::uint16_t port = listenOnLoopback(server);
        RawCaller handled(port);
        handled.send(post(mb) + QByteArray(mb, 'x'));
        CPPUNIT_ASSERT(waitUntil([&] { return responders.size() == 1; }));
        std::vector<std::unique_ptr<RawCaller>> others;
        for (int index = 0; index < 6; ++index) {
            others.push_back(std::make_unique<RawCaller>(port));
            others.back()->send(post(mb) + QByteArray(900000, 'x'));
        }
        CPPUNIT_ASSERT(waitUntil([&] { return refusals(server, Refusal::OverBudget) >= 3; }));
        CPPUNIT_ASSERT(responders[0].isConnected());
        CPPUNIT_ASSERT(responders[0].respond(textResponse(200, "done")));
        CPPUNIT_ASSERT(handled.receive("done"));
    }

    // Guards against abandoned connections that keep all places for the idle time-out.
    void slowConnectionsGiveTheirPlace()
    {
        auto budget = makeBudget(100 * mb, 4);
        EchoServer echo(budget);
        constexpr int places = 4;
        std::vector<std::unique_ptr<RawCaller>> idle;
        idle.reserve(places);
        for (int index = 0; index < places; ++index)
            idle.push_back(std::make_unique<RawCaller>(echo.port));
        CPPUNIT_ASSERT(waitUntil([&] { return echo.server.openConnections() == places; }));
        RawCaller early(echo.port); // all others are new, too
        CPPUNIT_ASSERT(early.receive("tooManyConnections"));
        runFor(1100);
        RawCaller caller(echo.port);
        caller.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
        CPPUNIT_ASSERT(caller.receive("got 0 "));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), refusals(echo.server, Refusal::ClosedForBudget));
    }

    // Guards against large responses to callers that do not read.
    void unreadResponsesAreBounded()
    {
        auto budget = makeBudget(8 * mb);
        EchoServer echo(budget, mb);
        std::vector<std::unique_ptr<RawCaller>> held;
        for (int index = 0; index < 20; ++index) {
            held.push_back(std::make_unique<RawCaller>(echo.port));
            held.back()->socket.setReadBufferSize(1);
            held.back()->send(QByteArray("GET /a HTTP/1.1\r\nHost: x\r\n\r\n").repeated(20));
        }
        CPPUNIT_ASSERT(waitUntil([&] { return refusals(echo.server, Refusal::OverBudget) > 0; }));
        CPPUNIT_ASSERT(budget->usedBytes <= budget->limits.bytes + mb + 2 * mb);
        CPPUNIT_ASSERT(waitUntil([&] { return refusals(echo.server, Refusal::ClosedForBudget) > 0; }, 10000)
            || budget->usedBytes <= budget->limits.bytes);
        // Others are served again once the first responses have not been read for some time.
        bool isServed = false;
        for (int attempt = 0; attempt < 100 && !isServed; ++attempt) {
            RawCaller caller(echo.port);
            caller.send("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            CPPUNIT_ASSERT(caller.isClosedByPeer());
            isServed = caller.received.contains("got 0 ");
            runFor(100);
        }
        CPPUNIT_ASSERT(isServed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpBudgetTest);

} // namespace
