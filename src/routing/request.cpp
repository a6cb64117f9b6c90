// State of one request. Facts about attempts only; the decision to retry also depends on budgets, see gateway.
#include "routing/request.h"

#include <algorithm>

namespace lacewing::routing {

AttemptState* findAttempt(RequestState& request, AttemptId attempt)
{
    const auto found = std::find_if(request.attempts.begin(), request.attempts.end(),
        [attempt](const AttemptState& state) { return state.id == attempt; });
    return found == request.attempts.end() ? nullptr : &*found;
}

void onPlanned(RequestState& request, AttemptId attempt, bool isHedge)
{
    AttemptState state;
    state.id = attempt;
    state.isHedge = isHedge;
    request.attempts.push_back(state);
}

void onStarted(RequestState& request, AttemptId attempt)
{
    AttemptState* state = findAttempt(request, attempt);
    if (!state || state->phase != AttemptPhase::Planned)
        return;
    state->phase = AttemptPhase::Started;
    state->mayHaveExecuted = true;
}

bool onEnded(RequestState& request, AttemptId attempt, const AttemptOutcome& outcome)
{
    AttemptState* state = findAttempt(request, attempt);
    if (!state || state->phase == AttemptPhase::Ended)
        return false;
    state->phase = AttemptPhase::Ended;
    // A statement of the endpoint is believed only with a status; without one no header arrived.
    const bool isDeclined = outcome.endpointSaidNotExecuted && outcome.status != 0;
    state->mayHaveExecuted = outcome.bytesSent == BytesSent::Some && !isDeclined;
    return true;
}

bool mayRetry(const RequestState& request)
{
    if (request.isReplied)
        return false;
    if (request.isIdempotent)
        return true;
    return std::all_of(request.attempts.begin(), request.attempts.end(),
        [](const AttemptState& attempt) { return attempt.phase == AttemptPhase::Ended && !attempt.mayHaveExecuted; });
}

Executed executedField(const RequestState& request)
{
    const bool isCertain = std::none_of(request.attempts.begin(), request.attempts.end(),
        [](const AttemptState& attempt) { return attempt.mayHaveExecuted; });
    return isCertain ? Executed::No : Executed::Unknown;
}

int attemptsInFlight(const RequestState& request)
{
    return static_cast<int>(std::count_if(request.attempts.begin(), request.attempts.end(),
        [](const AttemptState& attempt) { return attempt.phase != AttemptPhase::Ended; }));
}

} // namespace lacewing::routing
