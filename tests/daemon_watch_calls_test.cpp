// Tests of the calls of a watch: on the virtual clock, and against a store that answers when the test says so.
#include "base/rng.h"
#include "daemon/store_watch.h"
#include "http_support.h"

#include <QPointer>

#include <algorithm>
#include <string>
#include <vector>

namespace {

using namespace lacewing;
using namespace lacewing::daemon;
using namespace lacewing::test;
using scheduler::Millis;

constexpr int boundMs = 2000;
constexpr WatchTimes times = { .waitMs = 750, .overdueMs = 250, .gapMs = 150, .retryMs = 250 };

// A watch whose list was answered at 1000 with the revision 5.
WatchCalls listedCalls()
{
    WatchCalls calls;
    const WatchCall list = beginCall(calls, times, 990);
    CPPUNIT_ASSERT(applyAnswer(calls, times, list, 5, true, 1000));
    return calls;
}

// One run on the virtual clock: a store that leaves calls unanswered in some spans, and answers the others with a
// delay.
struct SimulatedWatch {
    struct Answer {
        WatchCall call;
        Millis at = 0;
        bool isLost = false;
    };

    explicit SimulatedWatch(std::uint64_t seed)
        : rng(seed)
    {
    }

    // A call that was sent, or waited, in the span is never answered and given up after `limitMs`.
    Answer answerTo(const WatchCall& call)
    {
        const Millis answerAt
            = call.sentAt + (call.isList ? 0 : times.waitMs) + 1 + static_cast<Millis>(base::below(rng, 40));
        const bool isLost = call.sentAt < silentUntil && answerAt > silentFrom;
        return { call, isLost ? call.sentAt + limitMs : answerAt, isLost };
    }

    // Returns the largest age of the knowledge from `fromMs` on.
    Millis run(Millis fromMs, Millis untilMs)
    {
        Millis largestAge = 0;
        for (now = 1; now <= untilMs; ++now) {
            for (std::size_t i = 0; i < answers.size();) {
                const Answer answer = answers[i];
                if (answer.at > now) {
                    ++i;
                    continue;
                }
                answers.erase(answers.begin() + static_cast<std::ptrdiff_t>(i));
                if (answer.isLost)
                    applyFailure(calls, times, answer.call, false, now);
                else
                    applyAnswer(calls, times, answer.call, ++revision, base::chance(rng, 0.3), now);
            }
            if (isCallDue(calls, now))
                answers.push_back(answerTo(beginCall(calls, times, now)));
            CPPUNIT_ASSERT(calls.inProgress.size() <= maxWatchCalls);
            if (now >= fromMs)
                largestAge = std::max(largestAge, now - calls.askedAt);
        }
        return largestAge;
    }

    static constexpr Millis limitMs = 2000;
    base::Rng rng;
    Millis silentFrom = 0;
    Millis silentUntil = 0;
    Millis now = 0;
    std::int64_t revision = 5;
    WatchCalls calls;
    std::vector<Answer> answers;
};

// A watch on a store that answers when the test says so.
struct ManualStore {
    struct Call {
        QPointer<QTcpSocket> socket;
        QByteArray target;
    };

    ManualStore()
        : endpoint([this](QTcpSocket& socket, const QByteArray& request) {
            asked.push_back({ &socket, request.split(' ').at(1) });
        })
        , runtime(settings(endpoint.port))
        , watch(runtime, "test", "op/", times, [this](const StoreWatch::Changes& changes) {
            for (const platform::Item& item : changes.items)
                delivered.push_back(item.revision);
        })
    {
        watch.start();
        CPPUNIT_ASSERT(waitUntil([this] { return !asked.empty(); }));
    }

    static Settings settings(std::uint16_t port)
    {
        Settings values;
        values.storeAddress = "127.0.0.1:" + std::to_string(port);
        return values;
    }

    static QByteArray head(const QByteArray& body)
    {
        return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + QByteArray::number(body.size())
            + "\r\n\r\n";
    }

    void write(std::size_t call, const QByteArray& bytes)
    {
        asked.at(call).socket->write(bytes);
        asked.at(call).socket->flush();
    }

    void answer(std::size_t call, const QByteArray& body) { write(call, head(body) + body); }

    static constexpr WatchTimes times = { .waitMs = 200, .overdueMs = 300 };
    std::vector<Call> asked;
    std::vector<std::int64_t> delivered; // revisions
    RawEndpoint endpoint;
    Runtime runtime;
    StoreWatch watch;
};

class DaemonWatchCallsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DaemonWatchCallsTest);
    CPPUNIT_TEST(knowledgeIsAsOldAsItsQuestion);
    CPPUNIT_TEST(nextCallIsSentBesideAnOverdueOne);
    CPPUNIT_TEST(regainedStoreIsAskedAtOnce);
    CPPUNIT_TEST(arrivingAnswerIsNotAskedForAgain);
    CPPUNIT_TEST(goneHistoryIsListedOnce);
    CPPUNIT_TEST(knowledgeIsRecentSoonAfterAnyOutage);
    CPPUNIT_TEST(lateAnswerBringsNoOlderChangesBack);
    CPPUNIT_TEST(slowTransferIsNotAskedForAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void knowledgeIsAsOldAsItsQuestion()
    {
        WatchCalls calls = listedCalls();
        CPPUNIT_ASSERT_EQUAL(Millis(990), calls.askedAt);
        const WatchCall watch = beginCall(calls, times, 1000);
        CPPUNIT_ASSERT(applyAnswer(calls, times, watch, 5, false, 1760));
        CPPUNIT_ASSERT_EQUAL(Millis(1000), calls.askedAt);
        beginCall(calls, times, 1760); // one without an answer tells nothing
        CPPUNIT_ASSERT_EQUAL(Millis(1000), calls.askedAt);
    }

    void nextCallIsSentBesideAnOverdueOne()
    {
        WatchCalls calls = listedCalls();
        const WatchCall first = beginCall(calls, times, 1000);
        CPPUNIT_ASSERT(!isCallDue(calls, 1999));
        CPPUNIT_ASSERT(isCallDue(calls, 2000));
        beginCall(calls, times, 2000);
        CPPUNIT_ASSERT(applyAnswer(calls, times, first, 6, true, 2300)); // a slow store
        CPPUNIT_ASSERT_EQUAL(Millis(1000), calls.askedAt);
        CPPUNIT_ASSERT(!isCallDue(calls, 2999)); // the second one is in progress
    }

    void regainedStoreIsAskedAtOnce()
    {
        WatchCalls calls = listedCalls();
        beginCall(calls, times, 1000);
        expectNoAnswer(calls, 1000); // by the answer after which the call was sent
        CPPUNIT_ASSERT(!isCallDue(calls, 1100));
        expectNoAnswer(calls, 1100);
        CPPUNIT_ASSERT(isCallDue(calls, 1100));
    }

    // A configuration that takes seconds over a slow link would take longer beside copies of itself.
    void arrivingAnswerIsNotAskedForAgain()
    {
        WatchCalls calls = listedCalls();
        const WatchCall watch = beginCall(calls, times, 1000);
        applyBegin(calls, watch);
        expectNoAnswer(calls, 1500);
        CPPUNIT_ASSERT(!isCallDue(calls, 60000));
        applyFailure(calls, times, watch, false, 3000); // it stood still
        CPPUNIT_ASSERT(isCallDue(calls, 3250));
        WatchCalls unlisted;
        beginCall(unlisted, times, 1000);
        CPPUNIT_ASSERT(!isCallDue(unlisted, 60000));
        const WatchCall overdue = beginCall(calls, times, 4000);
        beginCall(calls, times, 5000);
        applyBegin(calls, overdue);
        CPPUNIT_ASSERT(isCallDue(calls, 6000)); // the newest is overdue itself
    }

    void goneHistoryIsListedOnce()
    {
        WatchCalls calls = listedCalls();
        const WatchCall first = beginCall(calls, times, 1000);
        const WatchCall second = beginCall(calls, times, 2000);
        applyFailure(calls, times, first, true, 2300);
        CPPUNIT_ASSERT(isCallDue(calls, 2300));
        const WatchCall list = beginCall(calls, times, 2300);
        CPPUNIT_ASSERT(list.isList);
        CPPUNIT_ASSERT(!applyAnswer(calls, times, second, 6, true, 2310)); // some changes are missing before it
        applyFailure(calls, times, second, true, 2310);
        CPPUNIT_ASSERT(applyAnswer(calls, times, list, 9, true, 2320));
        CPPUNIT_ASSERT(!beginCall(calls, times, 2320).isList);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9), calls.revision);
    }

    void knowledgeIsRecentSoonAfterAnyOutage()
    {
        for (std::uint64_t seed = 1; seed <= 300; ++seed) {
            SimulatedWatch watch(seed);
            watch.silentFrom = 3000 + static_cast<Millis>(base::below(watch.rng, 2000));
            watch.silentUntil = watch.silentFrom + static_cast<Millis>(base::below(watch.rng, 9000));
            const Millis age = watch.run(watch.silentUntil + boundMs, watch.silentUntil + 10000);
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " + std::to_string(age), age <= boundMs);
        }
    }

    void lateAnswerBringsNoOlderChangesBack()
    {
        ManualStore store;
        store.answer(0, R"({"items":[],"has_more":false,"at":5})");
        CPPUNIT_ASSERT(waitUntil([&] { return store.asked.size() >= 3; })); // the second watch beside the overdue first
        store.answer(2,
            R"({"events":[{"key":"op/a","value":"","revision":6,"created":6},)"
            R"({"key":"op/a","revision":7,"tombstone":true}],"at":7})");
        CPPUNIT_ASSERT(waitUntil([&] { return store.watch.revision() == 7; }));
        store.answer(1, R"({"events":[{"key":"op/a","value":"","revision":6,"created":6}],"at":6})");
        runFor(30);
        CPPUNIT_ASSERT((store.delivered == std::vector<std::int64_t> { 6, 7 }));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), store.watch.revision());
    }

    void slowTransferIsNotAskedForAgain()
    {
        ManualStore store;
        store.answer(0, R"({"items":[],"has_more":false,"at":5})");
        CPPUNIT_ASSERT(waitUntil([&] { return store.asked.size() >= 2; }));
        const QByteArray body = R"({"events":[{"key":"op/a","value":"","revision":6,"created":6}],"at":6})";
        store.write(1, ManualStore::head(body));
        runFor(800); // longer than an answer takes to be overdue, and shorter than a connection may stand still
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), store.asked.size());
        store.write(1, body);
        CPPUNIT_ASSERT(waitUntil([&] { return store.watch.revision() == 6; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonWatchCallsTest);

} // namespace
