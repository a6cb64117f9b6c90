// Tests of the gateway: one reply for each request, at most one execution of non-idempotent requests, truthful
// refusals, time limits, hedging, forwarding and the planned stop.
#include "routing/gateway.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <set>

namespace {

using namespace lacewing;
using namespace lacewing::routing;

base::TimePoint at(std::int64_t ms) { return base::TimePoint(base::milliseconds(ms)); }

template <typename Wanted> std::vector<Wanted> pick(const Effects& effects)
{
    std::vector<Wanted> found;
    for (const Effect& effect : effects) {
        if (const auto* wanted = std::get_if<Wanted>(&effect))
            found.push_back(*wanted);
    }
    return found;
}

// Gateway that owns all slots of the endpoints of its data centre.
struct Fixture {
    explicit Fixture(int endpoints = 4, int slots = 8, const Limits& limits = {})
    {
        initGateway(gateway, { { "self" }, 1, { "dc1" } }, limits, PolicyName::LatencyAware, 1);
        for (int index = 0; index < endpoints; ++index) {
            EndpointInfo info;
            info.id = { "endpoint" + std::to_string(index) };
            info.dataCentre = { "dc1" };
            info.slots = slots;
            list.push_back(info);
        }
        onEndpointList(gateway, list, at(0));
        const SlotRecord record { 1, { { { "self" }, 1 } } };
        onSlotRecord(gateway, record, at(0), at(0));
    }

    Effects offerOne(RequestId id, std::int64_t nowMs, bool isIdempotent = false, std::int64_t deadlineMs = 1000)
    {
        IncomingRequest request;
        request.id = id;
        request.isIdempotent = isIdempotent;
        request.deadline = base::milliseconds(deadlineMs);
        return offer(gateway, request, at(nowMs));
    }

    Effects answer(const Send& send, std::int64_t nowMs, int status = 200)
    {
        onAttemptStarted(gateway, send.requestId, send.attemptId, at(nowMs));
        AttemptOutcome outcome;
        outcome.status = status;
        outcome.complete = true;
        return onAttemptResult(gateway, send.requestId, send.attemptId, outcome, at(nowMs));
    }

    Effects lose(const Send& send, std::int64_t nowMs, BytesSent bytes)
    {
        if (bytes == BytesSent::Some)
            onAttemptStarted(gateway, send.requestId, send.attemptId, at(nowMs));
        AttemptOutcome outcome;
        outcome.bytesSent = bytes;
        outcome.connectionLost = true;
        return onAttemptResult(gateway, send.requestId, send.attemptId, outcome, at(nowMs));
    }

    // Answers enough requests for the retry budget, the hedge budget and the p95 estimate.
    void warmUp(int count = 400)
    {
        for (int index = 0; index < count; ++index) {
            const Effects effects = offerOne(1000000 + static_cast<RequestId>(index), 0);
            answer(pick<Send>(effects).at(0), 5);
        }
    }

    Gateway gateway;
    std::vector<EndpointInfo> list;
};

// An attempt that the model of the daemon carries out.
struct Running {
    Send send;
    bool isStarted = false;
    bool isCancelled = false; // no byte may be handed out any more
};

class GatewayTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewayTest);
    CPPUNIT_TEST(answerGoesToItsRequest);
    CPPUNIT_TEST(nonIdempotentRequestIsNotSentTwice);
    CPPUNIT_TEST(unsentRequestIsRetriedElsewhere);
    CPPUNIT_TEST(retriesNeedBudget);
    CPPUNIT_TEST(deadlineEndsRequestWithATrueClaim);
    CPPUNIT_TEST(slotIsHeldUntilTheResult);
    CPPUNIT_TEST(hedgeIsSentOnlyForIdempotentRequests);
    CPPUNIT_TEST(hedgesKeepTheirShare);
    CPPUNIT_TEST(fullDaemonForwardsOnce);
    CPPUNIT_TEST(drainCompletesAcceptedRequests);
    CPPUNIT_TEST(callerGoneFreesWhatItCan);
    CPPUNIT_TEST(requestWithoutEndpointsIsRefused);
    CPPUNIT_TEST(everyRequestGetsOneReply);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against answers that reach another request when they arrive out of order (I5).
    void answerGoesToItsRequest()
    {
        Fixture fixture;
        const Send first = pick<Send>(fixture.offerOne(1, 0)).at(0);
        const Send second = pick<Send>(fixture.offerOne(2, 0)).at(0);
        const auto late = pick<ReplyWithAnswer>(fixture.answer(second, 5)).at(0);
        CPPUNIT_ASSERT(late.requestId == 2 && late.attemptId == second.attemptId);
        CPPUNIT_ASSERT_EQUAL(RequestId { 1 }, pick<ReplyWithAnswer>(fixture.answer(first, 6)).at(0).requestId);
        CPPUNIT_ASSERT(pick<ReplyWithAnswer>(fixture.answer(first, 7)).empty());
        CPPUNIT_ASSERT(isIdle(fixture.gateway));
    }

    // Guards against a second execution after a lost connection (I7).
    void nonIdempotentRequestIsNotSentTwice()
    {
        Fixture fixture;
        fixture.warmUp();
        const Send send = pick<Send>(fixture.offerOne(1, 0)).at(0);
        const Effects effects = fixture.lose(send, 5, BytesSent::Some);
        CPPUNIT_ASSERT(pick<Send>(effects).empty());
        const ReplyWithProblem problem = pick<ReplyWithProblem>(effects).at(0);
        CPPUNIT_ASSERT(problem.code == Reason::MayHaveExecuted && problem.executed == Executed::Unknown);
    }

    // Guards against giving up a request that certainly was not executed.
    void unsentRequestIsRetriedElsewhere()
    {
        Fixture fixture;
        fixture.warmUp();
        const Send send = pick<Send>(fixture.offerOne(1, 10)).at(0);
        const Send retry = pick<Send>(fixture.lose(send, 11, BytesSent::None)).at(0);
        CPPUNIT_ASSERT(retry.endpoint != send.endpoint);
        AttemptOutcome declined;
        declined.status = 503;
        declined.endpointSaidNotExecuted = true;
        declined.complete = true;
        onAttemptStarted(fixture.gateway, 1, retry.attemptId, at(12));
        const Effects effects = onAttemptResult(fixture.gateway, 1, retry.attemptId, declined, at(13));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, pick<Send>(effects).size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, fixture.gateway.counters.retries);
    }

    // Guards against a storm of retries when endpoints fail.
    void retriesNeedBudget()
    {
        Fixture fixture;
        int retries = 0;
        for (RequestId id = 1; id <= 1000; ++id) {
            Effects effects = fixture.offerOne(id, 0, true);
            while (!pick<Send>(effects).empty()) {
                effects = fixture.lose(pick<Send>(effects).at(0), 0, BytesSent::Some);
                retries += pick<Send>(effects).empty() ? 0 : 1;
            }
            const ReplyWithProblem problem = pick<ReplyWithProblem>(effects).at(0);
            CPPUNIT_ASSERT(problem.code == Reason::RetryBudgetExhausted || problem.code == Reason::AttemptsExhausted);
        }
        CPPUNIT_ASSERT(retries > 90 && retries <= 100);
    }

    // Guards against a late reply, and against `executed: no` for a request that was handed out (I6).
    void deadlineEndsRequestWithATrueClaim()
    {
        Fixture fixture;
        const Send started = pick<Send>(fixture.offerOne(1, 0, false, 100)).at(0);
        fixture.offerOne(2, 0, false, 100);
        onAttemptStarted(fixture.gateway, 1, started.attemptId, at(1));
        CPPUNIT_ASSERT(*nextWakeUp(fixture.gateway, at(1)) <= at(100));
        CPPUNIT_ASSERT(pick<ReplyWithProblem>(tick(fixture.gateway, at(99))).empty());
        const Effects effects = tick(fixture.gateway, at(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, pick<CancelAttempt>(effects).size());
        for (const ReplyWithProblem& problem : pick<ReplyWithProblem>(effects)) {
            const Executed expected = problem.requestId == 1 ? Executed::Unknown : Executed::No;
            CPPUNIT_ASSERT(problem.code == Reason::DeadlineExpired && problem.executed == expected);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, pick<ReplyWithProblem>(effects).size());
    }

    // Guards against using a slot again while its cancelled attempt still has a connection (I11).
    void slotIsHeldUntilTheResult()
    {
        Fixture fixture(1, 1);
        const Send send = pick<Send>(fixture.offerOne(1, 0, false, 100)).at(0);
        onAttemptStarted(fixture.gateway, 1, send.attemptId, at(0));
        tick(fixture.gateway, at(100));
        CPPUNIT_ASSERT(pick<Send>(fixture.offerOne(2, 101)).empty());
        CPPUNIT_ASSERT(!isIdle(fixture.gateway));
        AttemptOutcome outcome;
        outcome.connectionLost = true;
        const Effects effects = onAttemptResult(fixture.gateway, 1, send.attemptId, outcome, at(102));
        CPPUNIT_ASSERT_EQUAL(RequestId { 2 }, pick<Send>(effects).at(0).requestId);
        CPPUNIT_ASSERT(pick<ReplyWithAnswer>(effects).empty());
    }

    // Guards against a hedge of a request that must run once, and against two replies.
    void hedgeIsSentOnlyForIdempotentRequests()
    {
        Fixture fixture;
        fixture.warmUp();
        const Send once = pick<Send>(fixture.offerOne(1, 10)).at(0);
        const Send first = pick<Send>(fixture.offerOne(2, 10, true)).at(0);
        const std::vector<Send> hedges = pick<Send>(tick(fixture.gateway, at(16)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, hedges.size());
        CPPUNIT_ASSERT(hedges.at(0).requestId == 2 && hedges.at(0).endpoint != first.endpoint);
        const Effects effects = fixture.answer(hedges.at(0), 17);
        CPPUNIT_ASSERT_EQUAL(hedges.at(0).attemptId, pick<ReplyWithAnswer>(effects).at(0).attemptId);
        CPPUNIT_ASSERT_EQUAL(first.attemptId, pick<CancelAttempt>(effects).at(0).attemptId);
        CPPUNIT_ASSERT(pick<ReplyWithAnswer>(fixture.answer(first, 18)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, pick<ReplyWithAnswer>(fixture.answer(once, 19)).size());
    }

    // Guards against hedges that add more than 5% load.
    void hedgesKeepTheirShare()
    {
        Fixture fixture;
        fixture.warmUp(100);
        int hedges = 0;
        for (RequestId id = 1; id <= 1000; ++id) {
            const auto nowMs = static_cast<std::int64_t>(100 * id);
            const Send first = pick<Send>(fixture.offerOne(id, nowMs, true)).at(0);
            const Effects effects = tick(fixture.gateway, at(nowMs + 20));
            for (const Send& hedge : pick<Send>(effects)) {
                ++hedges;
                fixture.answer(hedge, nowMs + 21);
            }
            fixture.answer(first, nowMs + 22);
        }
        CPPUNIT_ASSERT(hedges > 0 && hedges <= 1100 / 20);
    }

    // Guards against requests that circulate between daemons.
    void fullDaemonForwardsOnce()
    {
        Fixture fixture(1, 1);
        const PeerInfo peer { { "other" }, { "dc2" }, 5, base::milliseconds(1) };
        onPeers(fixture.gateway, { &peer, 1 });
        setDataCentreOut(fixture.gateway, true, at(0));
        const auto forwards = pick<ForwardToDaemon>(fixture.offerOne(1, 0));
        CPPUNIT_ASSERT(forwards.at(0).hops == 1 && forwards.at(0).timeoutMs < 1000);
        IncomingRequest arrived;
        arrived.id = 2;
        arrived.hops = 1;
        CPPUNIT_ASSERT(pick<ForwardToDaemon>(offer(fixture.gateway, arrived, at(0))).empty());
        arrived.id = 3;
        arrived.hops = 2;
        const auto problem = pick<ReplyWithProblem>(offer(fixture.gateway, arrived, at(0))).at(0);
        CPPUNIT_ASSERT(problem.code == Reason::TooManyHops && problem.executed == Executed::No);
    }

    // Guards against a planned stop that breaks off a request (I9).
    void drainCompletesAcceptedRequests()
    {
        Fixture fixture(1, 1);
        const Send running = pick<Send>(fixture.offerOne(1, 0)).at(0);
        CPPUNIT_ASSERT(fixture.offerOne(2, 0).empty()); // waits
        beginDrain(fixture.gateway, at(1));
        const auto problem = pick<ReplyWithProblem>(fixture.offerOne(3, 2)).at(0);
        CPPUNIT_ASSERT(problem.code == Reason::Draining && problem.executed == Executed::No);
        const Effects effects = fixture.answer(running, 5);
        CPPUNIT_ASSERT(!isIdle(fixture.gateway) && !closeSlots(fixture.gateway));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t { 1 }, pick<ReplyWithAnswer>(fixture.answer(pick<Send>(effects).at(0), 9)).size());
        CPPUNIT_ASSERT(isIdle(fixture.gateway));
        CPPUNIT_ASSERT(closeSlots(fixture.gateway)->members.empty());
    }

    // Guards against breaking off a non-idempotent request that runs, and against work for nobody.
    void callerGoneFreesWhatItCan()
    {
        Fixture fixture;
        const Send once = pick<Send>(fixture.offerOne(1, 0)).at(0);
        const Send repeatable = pick<Send>(fixture.offerOne(2, 0, true)).at(0);
        onAttemptStarted(fixture.gateway, 1, once.attemptId, at(0));
        onAttemptStarted(fixture.gateway, 2, repeatable.attemptId, at(0));
        CPPUNIT_ASSERT(onCallerGone(fixture.gateway, 1, at(1)).empty());
        const Effects effects = onCallerGone(fixture.gateway, 2, at(1));
        CPPUNIT_ASSERT_EQUAL(repeatable.attemptId, pick<CancelAttempt>(effects).at(0).attemptId);
        CPPUNIT_ASSERT(fixture.answer(once, 3).empty());
        CPPUNIT_ASSERT(fixture.lose(repeatable, 3, BytesSent::Some).empty());
        CPPUNIT_ASSERT(isIdle(fixture.gateway));
    }

    // Guards against requests that wait for endpoints that do not exist.
    void requestWithoutEndpointsIsRefused()
    {
        Fixture fixture(0);
        const auto problem = pick<ReplyWithProblem>(fixture.offerOne(1, 0)).at(0);
        CPPUNIT_ASSERT(problem.code == Reason::NoEndpoint && problem.executed == Executed::No);
        CPPUNIT_ASSERT_EQUAL(503, problem.httpStatus);
    }

    // Guards against lost or doubled replies, slots that leak, and false claims in random orders of events.
    void everyRequestGetsOneReply()
    {
        const bool isHeld = rc::check("every request gets one reply", [](std::uint64_t seed) {
            base::Rng rng(seed);
            Fixture fixture(2, 2);
            std::vector<Running> running;
            std::map<RequestId, int> replies;
            std::map<RequestId, int> executions;
            std::set<RequestId> idempotent;
            std::set<RequestId> claimedNo;
            std::int64_t nowMs = 0;
            const auto carryOut = [&](const Effects& effects) {
                for (const Effect& effect : effects) {
                    if (const auto* send = std::get_if<Send>(&effect)) {
                        running.push_back({ *send });
                    } else if (const auto* answer = std::get_if<ReplyWithAnswer>(&effect)) {
                        ++replies[answer->requestId];
                    } else if (const auto* problem = std::get_if<ReplyWithProblem>(&effect)) {
                        ++replies[problem->requestId];
                        if (problem->executed == Executed::No)
                            claimedNo.insert(problem->requestId);
                    } else if (const auto* cancel = std::get_if<CancelAttempt>(&effect)) {
                        for (Running& item : running)
                            item.isCancelled = item.isCancelled || item.send.attemptId == cancel->attemptId;
                    }
                }
            };
            const auto step = [&](bool mayOffer) {
                nowMs += static_cast<std::int64_t>(base::below(rng, 30));
                carryOut(tick(fixture.gateway, at(nowMs)));
                if (mayOffer && base::chance(rng, 0.5)) {
                    const RequestId id = replies.size() + 1;
                    replies[id] = 0;
                    if (base::chance(rng, 0.5))
                        idempotent.insert(id);
                    const auto deadlineMs = static_cast<std::int64_t>(1 + base::below(rng, 300));
                    carryOut(fixture.offerOne(id, nowMs, idempotent.contains(id), deadlineMs));
                }
                if (running.empty())
                    return;
                const std::size_t index = base::below(rng, running.size());
                const Send send = running[index].send;
                if (!running[index].isStarted && !running[index].isCancelled && base::chance(rng, 0.7)) {
                    onAttemptStarted(fixture.gateway, send.requestId, send.attemptId, at(nowMs));
                    running[index].isStarted = true;
                    return;
                }
                const bool isStarted = running[index].isStarted;
                running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
                AttemptOutcome outcome;
                outcome.bytesSent = isStarted ? BytesSent::Some : BytesSent::None;
                outcome.connectionLost = !isStarted || base::chance(rng, 0.3);
                outcome.complete = !outcome.connectionLost;
                outcome.status = outcome.complete ? 200 : 0;
                if (outcome.complete && base::chance(rng, 0.3)) {
                    outcome.status = 503;
                    outcome.endpointSaidNotExecuted = base::chance(rng, 0.5);
                }
                if (isStarted && !outcome.endpointSaidNotExecuted)
                    ++executions[send.requestId];
                carryOut(onAttemptResult(fixture.gateway, send.requestId, send.attemptId, outcome, at(nowMs)));
            };
            for (int index = 0; index < 300; ++index)
                step(true);
            for (int index = 0; index < 3000 && !isIdle(fixture.gateway); ++index)
                step(false);
            RC_ASSERT(isIdle(fixture.gateway));
            for (const auto& [id, count] : replies)
                RC_ASSERT(count == 1);
            for (const auto& [id, count] : executions)
                RC_ASSERT((idempotent.contains(id) || count <= 1) && (count == 0 || !claimedNo.contains(id)));
        });
        CPPUNIT_ASSERT(isHeld);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);

} // namespace
