// Events of the gateway.
#include "routing/gateway_internal.h"

#include <algorithm>

namespace lacewing::routing {

namespace {

    constexpr base::Duration maintenanceInterval = base::milliseconds(250); // record proposals, loan returns, capacity
    constexpr double windowRefusedFactor = 0.5;
    constexpr double windowLateFactor = 0.9;
    constexpr base::Duration timeoutTolerance = base::milliseconds(1); // time limits are handed out in whole ms

    base::TimePoint deadlineOf(const Gateway& gateway, const IncomingRequest& request, base::TimePoint now)
    {
        const RequestLimits& limits = gateway.limits.request;
        const bool isUrgent = request.requestClass == RequestClass::Urgent;
        const base::Duration fallback = base::milliseconds(isUrgent ? limits.urgentDeadlineMs : limits.slowDeadlineMs);
        const std::int64_t longestMs = std::min(limits.deadlineMaxMs, gateway.limits.slots.longestRequestMs);
        return now + std::min(request.deadline.value_or(fallback), base::milliseconds(longestMs));
    }

    void refuse(Gateway& gateway, RequestId id, Reason reason, Effects& effects)
    {
        ++refusalCounter(gateway.counters, reason);
        effects.emplace_back(ReplyWithProblem { id, httpStatusOf(reason), reason, Executed::No });
    }

    std::optional<Reason> enqueue(Gateway& gateway, GatewayRequest& request, base::TimePoint now)
    {
        const Waiting item { request.incoming.id, request.deadline, now };
        const std::optional<Reason> reason = offer(gateway.queue, request.incoming.requestClass, item, now);
        request.isWaiting = !reason;
        return reason;
    }

    // Sends the new request, puts it in the queue, or gives the reason for the refusal.
    std::optional<Reason> place(Gateway& gateway, GatewayRequest& request, base::TimePoint now, Effects& effects)
    {
        constexpr base::Duration anyDistance = base::Duration::max();
        if (gateway.isDataCentreOut && tryForward(gateway, request, anyDistance, now, effects))
            return std::nullopt;
        const bool isFirst = size(gateway.queue) == 0;
        if (isFirst && trySend(gateway, request, false, now, effects))
            return std::nullopt;
        if (gateway.queue.capacity <= 0) {
            if (tryForward(gateway, request, anyDistance, now, effects))
                return std::nullopt;
            return isForwardAllowed(gateway, request) ? Reason::NoEndpoint : Reason::TooManyHops;
        }
        const base::Duration wait = predictedWait(gateway.queue, request.incoming.requestClass);
        if (tryForward(gateway, request, wait, now, effects))
            return std::nullopt;
        const std::optional<Reason> reason = enqueue(gateway, request, now);
        if (reason && tryForward(gateway, request, anyDistance, now, effects))
            return std::nullopt;
        return reason;
    }

    bool isRetryWorthy(const GatewayRequest& request, const AttemptOutcome& outcome)
    {
        if (!outcome.complete || outcome.endpointSaidNotExecuted)
            return true;
        const bool isUnavailable = outcome.status >= 502 && outcome.status <= 504;
        return isUnavailable && request.incoming.isIdempotent;
    }

    OutcomeKind outcomeKind(const AttemptOutcome& outcome, bool isCancelled)
    {
        // A time limit that runs out after bytes were sent may be the fault of a short deadline. It raises the estimate
        // of the service time, and an endpoint that never answers is ejected by that.
        const bool isDeadline = outcome.timedOut && outcome.bytesSent == BytesSent::Some;
        if (isCancelled || isDeadline)
            return OutcomeKind::Cancelled;
        const bool isSuccess = outcome.complete && outcome.status < 500;
        return isSuccess ? OutcomeKind::Success : OutcomeKind::Failure;
    }

    // Additive increase on results in normal time, decrease on late ones, and stronger on refusals.
    void onForwardResult(
        Gateway& gateway, const GatewayAttempt& attempt, const AttemptOutcome& outcome, base::TimePoint now)
    {
        ForwardWindow& window = gateway.windows[attempt.daemon];
        window.inFlight = std::max(0, window.inFlight - 1);
        const auto peer = std::find_if(gateway.peers.begin(), gateway.peers.end(),
            [&](const PeerInfo& item) { return item.daemon == attempt.daemon; });
        const base::Duration distance = peer == gateway.peers.end() ? base::Duration(0) : peer->distance;
        const auto elapsedUs = static_cast<double>((now - attempt.sentAt - distance).count());
        if (!outcome.complete || outcome.endpointSaidNotExecuted)
            window.size *= windowRefusedFactor;
        else if (gateway.p95Us > 0 && elapsedUs > gateway.p95Us)
            window.size *= windowLateFactor;
        else
            window.size += 1 / window.size;
        window.size = std::clamp(window.size, 1.0, gateway.limits.request.forwardsMax);
    }

    // Reason not to retry after a failed attempt.
    std::optional<Reason> retryRefusal(Gateway& gateway, const GatewayRequest& request, base::TimePoint now)
    {
        if (now + timeoutTolerance >= request.deadline)
            return Reason::DeadlineExpired;
        if (!mayRetry(request.state))
            return Reason::MayHaveExecuted;
        if (static_cast<int>(request.state.attempts.size()) >= gateway.limits.request.attemptsMax)
            return Reason::AttemptsExhausted;
        if (!tryTake(gateway.retryBudget))
            return Reason::RetryBudgetExhausted;
        return std::nullopt;
    }

    void onFailedAttempt(Gateway& gateway, GatewayRequest& request, base::TimePoint now, Effects& effects)
    {
        if (!request.attempts.empty())
            return; // the other attempt may still succeed
        const RequestId id = request.incoming.id;
        if (const std::optional<Reason> reason = retryRefusal(gateway, request, now)) {
            replyProblem(gateway, id, *reason, effects);
            return;
        }
        request.isRetry = true;
        request.isHedgeChecked = true;
        if (trySend(gateway, request, false, now, effects))
            return;
        if (gateway.queue.capacity <= 0) {
            if (!tryForward(gateway, request, base::Duration::max(), now, effects))
                replyProblem(gateway, id, Reason::NoEndpoint, effects);
            return;
        }
        request.isWaiting = true;
        setTimer(gateway, request, request.deadline);
        putBack(gateway.queue, request.incoming.requestClass, { id, request.deadline, now });
    }

    void onTimer(Gateway& gateway, RequestId id, base::TimePoint now, Effects& effects)
    {
        GatewayRequest& request = gateway.requests.at(id);
        if (now >= request.deadline) {
            replyProblem(gateway, id, Reason::DeadlineExpired, effects);
            return;
        }
        // The time to hedge has come.
        request.isHedgeChecked = true;
        setTimer(gateway, request, request.deadline);
        const bool isLoaded = gateway.localInFlight > gateway.limits.request.hedgeLoadMax * gateway.queue.capacity;
        const bool isPossible = request.attempts.size() == 1 && size(gateway.queue) == 0 && !isLoaded
            && static_cast<int>(request.state.attempts.size()) < gateway.limits.request.attemptsMax;
        if (!isPossible || !trySend(gateway, request, true, now, effects))
            ++gateway.counters.hedgesDenied;
    }

    void returnLoans(Gateway& gateway, base::TimePoint now, Effects& effects)
    {
        // Loans are kept while requests wait. Without waiting requests they go back at once, because the owner may need
        // them.
        if (gateway.slots.borrowedCount == 0)
            return;
        const bool all = size(gateway.queue) == 0;
        for (LoanReturn& loan : takeReturns(gateway.slots, all, now))
            effects.emplace_back(GiveLoanBack { std::move(loan) });
    }

    Effects maintain(Gateway& gateway, base::TimePoint now)
    {
        Effects effects;
        update(gateway.slots, now);
        gateway.capacityAt.reset();
        updateCapacity(gateway, now);
        dispatch(gateway, now, effects);
        returnLoans(gateway, now, effects);
        proposeSlotRecord(gateway, now, effects);
        return effects;
    }

} // namespace

void initGateway(
    Gateway& gateway, const GatewayIdentity& identity, const Limits& limits, PolicyName policy, std::uint64_t seed)
{
    gateway.dataCentre = identity.dataCentre;
    gateway.rng = base::Rng(seed);
    gateway.router.policy = policy;
    gateway.router.counters = &gateway.counters;
    gateway.slots.self = identity.daemon;
    gateway.slots.incarnation = identity.incarnation;
    gateway.slots.counters = &gateway.counters;
    setLimits(gateway, limits);
}

void setLimits(Gateway& gateway, const Limits& limits)
{
    gateway.limits = limits;
    gateway.router.limits = limits.router;
    gateway.slots.limits = limits.slots;
    gateway.queue.limits = limits.queue;
    gateway.retryBudget.share = limits.request.retryShare;
    gateway.hedgeBudget.share = limits.request.hedgeShare;
    gateway.retryBudget.burst = limits.request.budgetBurst;
    gateway.hedgeBudget.burst = limits.request.budgetBurst;
}

Effects offer(Gateway& gateway, const IncomingRequest& incoming, base::TimePoint now)
{
    Effects effects;
    ++gateway.counters.offered;
    if (gateway.requests.contains(incoming.id)) {
        ++refusalCounter(gateway.counters, Reason::DuplicateRequest);
        return effects; // a reply would go to the first request of this id
    }
    if (gateway.isDraining) {
        refuse(gateway, incoming.id, Reason::Draining, effects);
        return effects;
    }
    if (incoming.hops > gateway.limits.request.hopsMax) {
        refuse(gateway, incoming.id, Reason::TooManyHops, effects);
        return effects;
    }
    onRequest(gateway.retryBudget);
    onRequest(gateway.hedgeBudget);
    updateCapacity(gateway, now);
    GatewayRequest& request = gateway.requests[incoming.id];
    request.incoming = incoming;
    request.state.isIdempotent = incoming.isIdempotent;
    request.arrivedAt = now;
    request.deadline = deadlineOf(gateway, incoming, now);
    setTimer(gateway, request, request.deadline);
    if (const std::optional<Reason> reason = place(gateway, request, now, effects)) {
        replyProblem(gateway, incoming.id, *reason, effects);
        return effects;
    }
    dispatch(gateway, now, effects);
    return effects;
}

Effects onAttemptStarted(Gateway& gateway, RequestId request, AttemptId attempt, base::TimePoint now)
{
    (void)now;
    const auto found = gateway.requests.find(request);
    if (found != gateway.requests.end())
        onStarted(found->second.state, attempt);
    return {};
}

Effects onAttemptResult(
    Gateway& gateway, RequestId id, AttemptId attemptId, const AttemptOutcome& outcome, base::TimePoint now)
{
    Effects effects;
    const auto found = gateway.requests.find(id);
    if (found == gateway.requests.end())
        return effects;
    GatewayRequest& request = found->second;
    const auto attempt = std::find_if(request.attempts.begin(), request.attempts.end(),
        [attemptId](const GatewayAttempt& item) { return item.id == attemptId; });
    if (attempt == request.attempts.end() || !onEnded(request.state, attemptId, outcome))
        return effects; // repeated result
    const bool isCancelled = findAttempt(request.state, attemptId)->isCancelled;
    if (outcome.timedOut)
        ++gateway.counters.attemptTimeouts;
    if (attempt->hold) {
        const OutcomeKind kind = outcomeKind(outcome, isCancelled);
        release(gateway.slots, *attempt->hold);
        --gateway.localInFlight;
        onOutcome(gateway.router, attempt->hold->endpoint, attempt->sentAt, kind, now);
        if (kind == OutcomeKind::Success)
            recordLatency(gateway, now - attempt->sentAt);
    }
    if (!attempt->hold)
        onForwardResult(gateway, *attempt, outcome, now);
    request.attempts.erase(attempt);
    if (request.state.isReplied) {
        ++gateway.counters.lateResults;
        forgetIfEnded(gateway, id);
    } else if (isRetryWorthy(request, outcome)) {
        onFailedAttempt(gateway, request, now, effects);
    } else {
        replyAnswer(gateway, id, attemptId, effects);
    }
    updateCapacity(gateway, now);
    dispatch(gateway, now, effects);
    returnLoans(gateway, now, effects);
    return effects;
}

Effects onCallerGone(Gateway& gateway, RequestId id, base::TimePoint now)
{
    Effects effects;
    const auto found = gateway.requests.find(id);
    if (found == gateway.requests.end() || found->second.state.isReplied)
        return effects;
    GatewayRequest& request = found->second;
    ++refusalCounter(gateway.counters, Reason::CallerGone);
    clearTimer(gateway, request);
    if (request.isWaiting)
        remove(gateway.queue, request.incoming.requestClass, id);
    request.isWaiting = false;
    // A non-idempotent request that may have started is useful only if it ends; its own time limit bounds it.
    if (request.incoming.isIdempotent || executedField(request.state) == Executed::No)
        cancelAttempts(request, effects);
    request.state.isReplied = true;
    forgetIfEnded(gateway, id);
    dispatch(gateway, now, effects);
    return effects;
}

Effects tick(Gateway& gateway, base::TimePoint now)
{
    Effects effects;
    for (const RequestId id : expire(gateway.queue, now)) {
        gateway.requests.at(id).isWaiting = false;
        replyProblem(gateway, id, Reason::DeadlineExpired, effects);
    }
    while (!gateway.timers.empty() && gateway.timers.begin()->first <= now)
        onTimer(gateway, gateway.timers.begin()->second, now, effects);
    const bool isDue = !gateway.maintainedAt || now >= *gateway.maintainedAt + maintenanceInterval;
    if (isDue) {
        gateway.maintainedAt = now;
        Effects more = maintain(gateway, now);
        std::move(more.begin(), more.end(), std::back_inserter(effects));
    } else {
        dispatch(gateway, now, effects);
    }
    return effects;
}

std::optional<base::TimePoint> nextWakeUp(const Gateway& gateway, base::TimePoint now)
{
    base::TimePoint at = gateway.maintainedAt ? *gateway.maintainedAt + maintenanceInterval : now;
    if (!gateway.timers.empty())
        at = std::min(at, gateway.timers.begin()->first);
    return at;
}

Effects onEndpointList(Gateway& gateway, std::span<const EndpointInfo> list, base::TimePoint now)
{
    std::vector<EndpointInfo> own;
    std::vector<EndpointSize> sizes;
    for (const EndpointInfo& info : list) {
        if (info.dataCentre != gateway.dataCentre)
            continue;
        own.push_back(info);
        sizes.push_back({ info.id, info.slots > 0 ? info.slots : gateway.limits.slots.slotsPerEndpoint });
    }
    onEndpointList(gateway.router, own, now);
    setEndpoints(gateway.slots, sizes);
    return maintain(gateway, now);
}

void onPeers(Gateway& gateway, std::span<const PeerInfo> peers)
{
    gateway.peers.assign(peers.begin(), peers.end());
    std::erase_if(gateway.peers, [&](const PeerInfo& peer) { return peer.daemon == gateway.slots.self; });
    for (const PeerInfo& peer : gateway.peers) {
        ForwardWindow& window = gateway.windows[peer.daemon];
        window.size
            = std::clamp(std::max<double>(peer.freeSlots, window.size), 1.0, gateway.limits.request.forwardsMax);
    }
    std::erase_if(gateway.windows, [&](const auto& item) {
        return item.second.inFlight == 0
            && std::none_of(gateway.peers.begin(), gateway.peers.end(),
                [&](const PeerInfo& peer) { return peer.daemon == item.first; });
    });
}

Effects setDataCentreOut(Gateway& gateway, bool isOut, base::TimePoint now)
{
    gateway.isDataCentreOut = isOut;
    return maintain(gateway, now);
}

Effects onSlotRecord(Gateway& gateway, const SlotRecord& record, base::TimePoint sentAt, base::TimePoint now)
{
    onRecord(gateway.slots, record, sentAt, now);
    return maintain(gateway, now);
}

Effects onSlotRecordFromPeer(Gateway& gateway, const SlotRecord& record, base::TimePoint now)
{
    onRelayedRecord(gateway.slots, record, now);
    return maintain(gateway, now);
}

Effects onSlotAck(Gateway& gateway, const SlotAck& ack, std::optional<base::TimePoint> sentAt, base::TimePoint now)
{
    onAck(gateway.slots, ack, sentAt, now);
    return maintain(gateway, now);
}

SlotAck currentSlotAck(const Gateway& gateway, base::TimePoint now) { return currentAck(gateway.slots, now); }

Effects onDaemonGone(Gateway& gateway, const base::DaemonId& daemon, Incarnation incarnation, base::TimePoint now)
{
    onGone(gateway.slots, daemon, incarnation, now);
    return maintain(gateway, now);
}

LoanReply onLoanRequest(Gateway& gateway, const LoanRequest& request, base::TimePoint now)
{
    // Near full load this daemon needs its slots itself before the loan is back.
    LoanRequest limited = request;
    updateCapacity(gateway, now);
    const bool isLoaded = gateway.localInFlight > gateway.limits.slots.lendLoadMax * gateway.queue.capacity;
    if (size(gateway.queue) > 0 || isLoaded)
        limited.count = 0;
    return lend(gateway.slots, limited, now);
}

Effects onLoanReply(Gateway& gateway, const LoanReply& reply, base::TimePoint now)
{
    Effects effects;
    if (std::optional<LoanReturn> unused = onLoanReply(gateway.slots, reply, now))
        effects.emplace_back(GiveLoanBack { std::move(*unused) });
    dispatch(gateway, now, effects);
    return effects;
}

Effects onLoanReturn(Gateway& gateway, const LoanReturn& loan, base::TimePoint now)
{
    Effects effects;
    onLoanReturn(gateway.slots, loan);
    dispatch(gateway, now, effects);
    return effects;
}

Effects beginDrain(Gateway& gateway, base::TimePoint now)
{
    gateway.isDraining = true;
    return maintain(gateway, now);
}

bool isIdle(const Gateway& gateway)
{
    const bool isUnused
        = std::all_of(gateway.slots.endpoints.begin(), gateway.slots.endpoints.end(), [](const auto& item) {
              const EndpointSlots& state = item.second;
              return state.inUse == 0 && state.lent == 0 && state.borrowed.empty();
          });
    return gateway.requests.empty() && isUnused;
}

std::optional<SlotRecord> closeSlots(Gateway& gateway) { return closeTable(gateway.slots); }

} // namespace lacewing::routing
