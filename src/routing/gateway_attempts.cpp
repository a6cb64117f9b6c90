// Attempts, replies, dispatch and estimates of the gateway.
#include "routing/gateway_internal.h"

#include <algorithm>
#include <bit>

namespace lacewing::routing {

namespace {

    constexpr base::Duration capacityInterval = base::milliseconds(100);
    constexpr std::size_t latencySamplesMax = 512;
    constexpr std::size_t latencySamplesPerUpdate = 64;
    constexpr double serviceWeight = 0.02; // weight of one attempt in the mean service time of the queue
    constexpr double hedgeQuantile = 0.95;

    std::int64_t timeoutMs(base::Duration limit) { return std::max<std::int64_t>(1, base::toMilliseconds(limit)); }

    GatewayAttempt& addAttempt(Gateway& gateway, GatewayRequest& request, bool isHedge, base::TimePoint now)
    {
        GatewayAttempt attempt;
        attempt.id = gateway.nextAttempt++;
        attempt.sentAt = now;
        attempt.until = request.deadline;
        onPlanned(request.state, attempt.id, isHedge);
        request.attempts.push_back(attempt);
        return request.attempts.back();
    }

    void planHedge(Gateway& gateway, GatewayRequest& request, base::TimePoint now)
    {
        const bool isCandidate = request.incoming.isIdempotent && !request.isHedgeChecked && gateway.p95Us > 0;
        const base::TimePoint hedgeAt = now + base::Duration(static_cast<base::Duration::rep>(gateway.p95Us));
        setTimer(gateway, request, isCandidate ? std::min(hedgeAt, request.deadline) : request.deadline);
    }

    // Next waiting request; with onlyUrgent an urgent one.
    std::optional<RequestId> takeWaiting(AdmissionQueue& queue, bool onlyUrgent)
    {
        if (!onlyUrgent)
            return next(queue);
        std::deque<Waiting>& urgent = queue.waiting[static_cast<std::size_t>(RequestClass::Urgent)];
        if (urgent.empty())
            return std::nullopt;
        const RequestId id = urgent.front().id;
        urgent.pop_front();
        return id;
    }

    void askForLoan(Gateway& gateway, base::TimePoint now, Effects& effects)
    {
        RequestView view;
        const std::optional<base::EndpointId> endpoint = chooseEndpoint(gateway.router, view, now, gateway.rng);
        if (!endpoint)
            return;
        if (const std::optional<LoanAsk> ask = borrow(gateway.slots, *endpoint, now))
            effects.emplace_back(AskForLoan { ask->owner, ask->request });
    }

    void endReply(Gateway& gateway, GatewayRequest& request, Effects& effects)
    {
        clearTimer(gateway, request);
        if (request.isWaiting)
            remove(gateway.queue, request.incoming.requestClass, request.incoming.id);
        request.isWaiting = false;
        cancelAttempts(request, effects);
        request.state.isReplied = true;
    }

} // namespace

void setTimer(Gateway& gateway, GatewayRequest& request, base::TimePoint at)
{
    gateway.timers.erase({ request.timerAt, request.incoming.id });
    request.timerAt = at;
    gateway.timers.emplace(at, request.incoming.id);
}

void clearTimer(Gateway& gateway, const GatewayRequest& request)
{
    gateway.timers.erase({ request.timerAt, request.incoming.id });
}

bool trySend(Gateway& gateway, GatewayRequest& request, bool isHedge, base::TimePoint now, Effects& effects)
{
    RequestView view;
    view.slots = &gateway.slots;
    view.timeLimit = request.deadline - now;
    view.excluded = request.tried;
    const double waitUs = static_cast<double>(predictedWait(gateway.queue, request.incoming.requestClass).count());
    view.mayUseSlow = !isHedge && waitUs > gateway.limits.router.lastResortWait * gateway.router.medianUs;
    const std::optional<base::EndpointId> endpoint = chooseEndpoint(gateway.router, view, now, gateway.rng);
    if (!endpoint)
        return false;
    // A hedge on the endpoint that is already slow would only add load.
    const bool isTried = std::find(request.tried.begin(), request.tried.end(), *endpoint) != request.tried.end();
    if (isHedge && (isTried || !tryTake(gateway.hedgeBudget)))
        return false;
    std::optional<SlotHold> hold = acquire(gateway.slots, *endpoint, view.timeLimit, now);
    if (!hold)
        return false;
    GatewayAttempt& attempt = addAttempt(gateway, request, isHedge, now);
    attempt.hold = std::move(hold);
    request.tried.push_back(*endpoint);
    onSent(gateway.router, *endpoint, now);
    ++gateway.localInFlight;
    ++gateway.counters.attempts;
    if (isHedge)
        ++gateway.counters.hedges;
    else if (request.isRetry)
        ++gateway.counters.retries;
    request.isRetry = false;
    effects.emplace_back(Send { request.incoming.id, attempt.id, *endpoint, timeoutMs(view.timeLimit) });
    if (isHedge)
        setTimer(gateway, request, request.deadline);
    else
        planHedge(gateway, request, now);
    return true;
}

bool isForwardAllowed(const Gateway& gateway, const GatewayRequest& request)
{
    return request.incoming.hops < gateway.limits.request.hopsMax;
}

bool tryForward(
    Gateway& gateway, GatewayRequest& request, base::Duration maxDistance, base::TimePoint now, Effects& effects)
{
    if (!isForwardAllowed(gateway, request))
        return false;
    const base::Duration margin = base::milliseconds(gateway.limits.request.forwardMarginMs);
    const auto room = [&](const PeerInfo& peer) -> std::uint64_t {
        const bool isTried = std::find(request.triedDaemons.begin(), request.triedDaemons.end(), peer.daemon)
            != request.triedDaemons.end();
        if (peer.distance > maxDistance || isTried || now + peer.distance + margin >= request.deadline)
            return 0;
        const ForwardWindow& window = gateway.windows[peer.daemon];
        return static_cast<std::uint64_t>(std::max(0.0, window.size - window.inFlight));
    };
    // Random choice weighted by the room in the windows: several daemons read the same digest.
    std::uint64_t total = 0;
    for (const PeerInfo& peer : gateway.peers)
        total += room(peer);
    if (total == 0)
        return false;
    std::uint64_t drawn = base::below(gateway.rng, total);
    for (const PeerInfo& peer : gateway.peers) {
        const std::uint64_t free = room(peer);
        if (drawn >= free) {
            drawn -= free;
            continue;
        }
        ++gateway.windows[peer.daemon].inFlight;
        GatewayAttempt& attempt = addAttempt(gateway, request, false, now);
        attempt.daemon = peer.daemon;
        request.triedDaemons.push_back(peer.daemon);
        request.isRetry = false;
        ++gateway.counters.forwarded;
        const std::int64_t limit = timeoutMs(request.deadline - now - margin);
        effects.emplace_back(
            ForwardToDaemon { request.incoming.id, attempt.id, peer.daemon, limit, request.incoming.hops + 1 });
        setTimer(gateway, request, request.deadline);
        return true;
    }
    return false;
}

void dispatch(Gateway& gateway, base::TimePoint now, Effects& effects)
{
    bool onlyUrgent = false;
    while (size(gateway.queue) > 0) {
        const std::optional<RequestId> id = takeWaiting(gateway.queue, onlyUrgent);
        if (!id)
            break;
        GatewayRequest& request = gateway.requests.at(*id);
        request.isWaiting = false;
        if (isLate(gateway.queue, request.deadline, now)) {
            replyProblem(gateway, *id, Reason::DeadlineExpired, effects);
            continue;
        }
        const bool isSent = trySend(gateway, request, false, now, effects)
            || (gateway.queue.capacity <= 0 && tryForward(gateway, request, base::Duration::max(), now, effects));
        if (isSent)
            continue;
        request.isWaiting = true;
        putBack(gateway.queue, request.incoming.requestClass, { *id, request.deadline, now });
        // A slow request may fail to use a borrowed slot whose lease is too short for it; an urgent one may fit.
        if (onlyUrgent || request.incoming.requestClass == RequestClass::Urgent)
            break;
        onlyUrgent = true;
    }
    if (size(gateway.queue) > 0)
        askForLoan(gateway, now, effects);
}

void cancelAttempts(GatewayRequest& request, Effects& effects)
{
    for (const GatewayAttempt& attempt : request.attempts) {
        AttemptState* state = findAttempt(request.state, attempt.id);
        if (state->isCancelled)
            continue;
        state->isCancelled = true;
        effects.emplace_back(CancelAttempt { request.incoming.id, attempt.id });
    }
}

void forgetIfEnded(Gateway& gateway, RequestId id)
{
    const auto found = gateway.requests.find(id);
    if (found == gateway.requests.end() || !found->second.state.isReplied || !found->second.attempts.empty())
        return;
    clearTimer(gateway, found->second);
    gateway.requests.erase(found);
}

void replyProblem(Gateway& gateway, RequestId id, Reason reason, Effects& effects)
{
    GatewayRequest& request = gateway.requests.at(id);
    // After CancelAttempt the daemon hands out no byte, so an attempt that has not started has not executed.
    endReply(gateway, request, effects);
    ++refusalCounter(gateway.counters, reason);
    effects.emplace_back(ReplyWithProblem { id, httpStatusOf(reason), reason, executedField(request.state) });
    forgetIfEnded(gateway, id);
}

void replyAnswer(Gateway& gateway, RequestId id, AttemptId attempt, Effects& effects)
{
    GatewayRequest& request = gateway.requests.at(id);
    // The answer first: it is on the way while the other attempts are cancelled.
    effects.emplace_back(ReplyWithAnswer { id, attempt });
    endReply(gateway, request, effects);
    ++gateway.counters.answered;
    forgetIfEnded(gateway, id);
}

void updateCapacity(Gateway& gateway, base::TimePoint now)
{
    if (gateway.capacityAt && now < *gateway.capacityAt + capacityInterval)
        return;
    gateway.capacityAt = now;
    int slots = 0;
    if (!isStopped(gateway.slots, now)) {
        for (const EndpointState& endpoint : gateway.router.endpoints) {
            const auto found = gateway.slots.endpoints.find(endpoint.info.id);
            const bool isUsed = endpoint.info.status == EndpointStatus::Live && !endpoint.isEjected;
            if (!isUsed || found == gateway.slots.endpoints.end())
                continue;
            slots += std::popcount(found->second.granted & ~found->second.lent);
            for (const Borrowed& loan : found->second.borrowed)
                slots += std::popcount(loan.slots);
        }
    }
    gateway.queue.capacity = slots;
}

void recordLatency(Gateway& gateway, base::Duration latency)
{
    const auto value = static_cast<double>(latency.count());
    double& mean = gateway.queue.serviceUs;
    mean = mean > 0 ? mean + serviceWeight * (value - mean) : value;
    if (gateway.latenciesUs.size() < latencySamplesMax) {
        gateway.latenciesUs.push_back(value);
    } else {
        gateway.latenciesUs[gateway.latencyNext % latencySamplesMax] = value;
    }
    ++gateway.latencyNext;
    const bool isEnough
        = gateway.latenciesUs.size() >= static_cast<std::size_t>(gateway.limits.request.hedgeSamplesMin);
    if (!isEnough || (gateway.latencyNext % latencySamplesPerUpdate != 0 && gateway.p95Us > 0))
        return;
    std::vector<double> sorted = gateway.latenciesUs;
    const auto position = static_cast<std::ptrdiff_t>(static_cast<double>(sorted.size() - 1) * hedgeQuantile);
    std::nth_element(sorted.begin(), sorted.begin() + position, sorted.end());
    gateway.p95Us = sorted[static_cast<std::size_t>(position)];
    gateway.queue.finishUs = gateway.p95Us;
}

void proposeSlotRecord(Gateway& gateway, base::TimePoint now, Effects& effects)
{
    const base::Duration pause = base::milliseconds(gateway.limits.slots.proposalPauseMs);
    if (gateway.isDraining || (gateway.proposedAt && now < *gateway.proposedAt + pause))
        return;
    const std::optional<SlotRecord> record = proposeRecord(gateway.slots, now);
    if (!record)
        return;
    gateway.proposedAt = now;
    effects.emplace_back(WriteSlotRecord { *record });
}

} // namespace lacewing::routing
