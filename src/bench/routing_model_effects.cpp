// Effects of the gateways: attempts on endpoints, forwards, loans, and the outcome for the client.
#include "base/hash.h"
#include "bench/routing_model_state.h"

namespace lacewing::bench::routingModel {

void finish(Model& model, RequestId id, bool isAnswered)
{
    Request& request = model.requests[id];
    if (request.isDone)
        return;
    request.isDone = true;
    if (!request.isMeasured)
        return;
    ++model.measured;
    const base::Duration latency = model.now + base::Duration(model.input.deployment.clientUs) - request.sentAt;
    const std::int64_t deadlineMs = request.requestClass == RequestClass::Urgent ? urgentDeadlineMs : slowDeadlineMs;
    const auto clientTrip = base::Duration(2 * model.input.deployment.clientUs);
    if (!isAnswered || latency > base::milliseconds(deadlineMs) + clientTrip) {
        ++model.refused;
        return;
    }
    ++model.good;
    std::vector<double>& samples = request.requestClass == RequestClass::Urgent ? model.urgentMs : model.slowMs;
    samples.push_back(static_cast<double>(latency.count()) / 1000.0);
}

namespace {

    // --- Endpoints ---

    struct Service {
        base::Duration time { 0 };
        bool isFailure = false;
    };

    // Factor of the batch tasks that run beside the endpoint, between 1 - neighbourSpread and 1 + neighbourSpread.
    double neighbourFactor(const Model& model, int endpoint)
    {
        const auto period = static_cast<std::uint64_t>((model.now - base::TimePoint()) / neighbourInterval);
        const std::string key = std::to_string(endpoint) + '/' + std::to_string(period);
        const std::uint64_t hash = base::stableHash(key, model.input.seed);
        const double share = static_cast<double>(hash >> 11) * 0x1.0p-53;
        return 1 + neighbourSpread * (2 * share - 1);
    }

    Service drawService(Model& model, int endpoint)
    {
        double time = fixedServiceUs + base::exponential(model.rng, randomServiceUs);
        time *= neighbourFactor(model, endpoint);
        const double others = model.inUse[static_cast<std::size_t>(endpoint)] - 1;
        time *= 1 + contention * others / (model.input.deployment.slots - 1);
        const base::Duration elapsed = model.now - base::TimePoint();
        const Situation situation = model.input.situation;
        const bool isFaulty = elapsed >= model.input.warmUp;
        if (situation == Situation::SlowEndpoint && endpoint == 0 && isFaulty)
            time *= slowFactor;
        if (situation == Situation::FailingEndpoints && endpoint % failingEvery == 0 && isFaulty)
            return { base::Duration(failureUs), true };
        const bool isBurst = elapsed >= faultStart && elapsed < burstEnd;
        if (situation == Situation::Burst && endpoint % burstEvery == 0 && isBurst)
            time *= burstFactor;
        return { base::Duration(static_cast<std::int64_t>(time)), false };
    }

    // --- Effects of the gateways ---

} // namespace

void endAttempt(Model& model, int entry, AttemptId id, const AttemptOutcome& outcome)
{
    Attempt& attempt = model.attempts[static_cast<std::size_t>(entry)][id];
    if (attempt.isEnded)
        return;
    attempt.isEnded = true;
    if (attempt.endpoint >= 0)
        --model.inUse[static_cast<std::size_t>(attempt.endpoint)];
    if (!entryAt(model, entry).isAlive)
        return;
    const RequestId request = attempt.request;
    carryOut(model, entry, onAttemptResult(entryAt(model, entry).gateway, request, id, outcome, model.now));
}

namespace {

    Attempt& addAttempt(Model& model, int entry, AttemptId id, RequestId request, int endpoint)
    {
        std::vector<Attempt>& attempts = model.attempts[static_cast<std::size_t>(entry)];
        attempts.resize(std::max<std::size_t>(attempts.size(), id + 1));
        attempts[id].request = request;
        attempts[id].endpoint = endpoint;
        return attempts[id];
    }

    void carryOutSend(Model& model, int entry, const Send& send)
    {
        const int endpoint = numberOf(send.endpoint);
        Attempt& attempt = addAttempt(model, entry, send.attemptId, send.requestId, endpoint);
        int& inUse = model.inUse[static_cast<std::size_t>(endpoint)];
        model.slotsInUseMax = std::max(model.slotsInUseMax, ++inUse);
        const Service service = drawService(model, endpoint);
        attempt.outcome.complete = true;
        attempt.outcome.status = service.isFailure ? 503 : 200;
        attempt.outcome.endpointSaidNotExecuted = service.isFailure;
        Gateway& gateway = entryAt(model, entry).gateway;
        onAttemptStarted(gateway, send.requestId, send.attemptId, model.now);
        const base::Duration trip = base::Duration(2 * model.input.deployment.localUs);
        schedule(model, service.time + trip, EventKind::Result, entry, send.attemptId);
    }

    void carryOutForward(Model& model, int entry, const ForwardToDaemon& forward)
    {
        addAttempt(model, entry, forward.attemptId, forward.requestId, -1);
        onAttemptStarted(entryAt(model, entry).gateway, forward.requestId, forward.attemptId, model.now);
        const int target = numberOf(forward.daemon);
        Request child = model.requests[forward.requestId];
        child.parentEntry = entry;
        child.parent = forward.requestId;
        child.parentAttempt = forward.attemptId;
        child.deadlineMs = forward.timeoutMs;
        model.requests.push_back(child);
        const base::Duration delay
            = linkDelay(model, entryAt(model, entry).dataCentre, entryAt(model, target).dataCentre);
        schedule(model, delay, EventKind::Offer, target, model.requests.size() - 1);
    }

} // namespace

void reply(Model& model, int entry, RequestId id, bool isAnswered, bool isExecutedNo)
{
    const Request& request = model.requests[id];
    if (request.parentEntry < 0) {
        finish(model, id, isAnswered);
        return;
    }
    const int parent = request.parentEntry;
    const base::Duration delay = linkDelay(model, entryAt(model, entry).dataCentre, entryAt(model, parent).dataCentre);
    const std::uint64_t result = (isAnswered ? 1U : 0U) | (isExecutedNo ? 2U : 0U);
    schedule(model, delay, EventKind::ForwardReply, parent, request.parentAttempt, result);
}

int homeOf(const Model& model, const base::EndpointId& endpoint, int dataCentre)
{
    std::vector<int> members;
    for (int index = dataCentre; index < model.input.deployment.entries; index += model.input.deployment.dataCentres)
        members.push_back(index);
    return members[static_cast<std::size_t>(numberOf(endpoint) / model.input.deployment.dataCentres) % members.size()];
}

namespace {

    void carryOutLoanAsk(Model& model, int entry, const AskForLoan& ask)
    {
        LoanMessage message;
        message.request = ask.request;
        message.from = entry;
        int owner = numberOf(ask.owner);
        if (model.input.sharing == Sharing::SingleHome) {
            owner = homeOf(model, ask.request.endpoint, entryAt(model, entry).dataCentre);
            if (owner == entry)
                return;
            entryAt(model, entry).gateway.slots.pending[ask.request.request].owner = entryName(owner);
        }
        message.request.count = model.input.limits.slots.loanMaxSlots;
        model.loans.push_back(message);
        schedule(
            model, base::Duration(model.input.deployment.localUs), EventKind::LoanAsk, owner, model.loans.size() - 1);
    }

    void carryOutLoanBack(Model& model, const LoanReturn& back)
    {
        LoanMessage message;
        message.back = back;
        model.loans.push_back(message);
        schedule(model, base::Duration(model.input.deployment.localUs), EventKind::LoanBack, numberOf(back.owner),
            model.loans.size() - 1);
    }

    void wakeUp(Model& model, int index)
    {
        Entry& entry = entryAt(model, index);
        const std::optional<base::TimePoint> at = nextWakeUp(entry.gateway, model.now);
        if (!at)
            return;
        const base::TimePoint due = std::max(*at, model.now + base::Duration(1));
        if (due >= entry.tickAt && entry.tickAt > model.now)
            return;
        entry.tickAt = due;
        schedule(model, due - model.now, EventKind::Tick, index);
    }

} // namespace

void carryOut(Model& model, int entry, const Effects& effects)
{
    for (const Effect& effect : effects) {
        if (const auto* send = std::get_if<Send>(&effect)) {
            carryOutSend(model, entry, *send);
        } else if (const auto* forward = std::get_if<ForwardToDaemon>(&effect)) {
            carryOutForward(model, entry, *forward);
        } else if (const auto* cancel = std::get_if<CancelAttempt>(&effect)) {
            AttemptOutcome outcome;
            outcome.connectionLost = true;
            endAttempt(model, entry, cancel->attemptId, outcome);
        } else if (const auto* answer = std::get_if<ReplyWithAnswer>(&effect)) {
            reply(model, entry, answer->requestId, true, false);
        } else if (const auto* problem = std::get_if<ReplyWithProblem>(&effect)) {
            reply(model, entry, problem->requestId, false, problem->executed == Executed::No);
        } else if (const auto* ask = std::get_if<AskForLoan>(&effect)) {
            carryOutLoanAsk(model, entry, *ask);
        } else if (const auto* back = std::get_if<GiveLoanBack>(&effect)) {
            carryOutLoanBack(model, back->loan);
        }
    }
    wakeUp(model, entry);
}

} // namespace lacewing::bench::routingModel
