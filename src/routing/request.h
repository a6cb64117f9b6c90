// State of one request: at most once, and what a refusal may claim.
//
// Invariants:
// - A non-idempotent request is not sent again once any byte of it may have been handed out, unless the endpoint said
//   that it did not execute it.
// - `executed: no` is reported only when no attempt handed out a byte, or each such attempt was declined by its
// endpoint.
// - An attempt without a result counts as executed once it was reported as started.
#pragma once

#include "base/ids.h"
#include "base/names.h"
#include "base/time.h"

#include <cstdint>
#include <vector>

namespace lacewing::routing {

using AttemptId = std::uint64_t; // unique in one daemon process

enum class Executed { No, Unknown };
inline constexpr base::EnumNames<Executed, 2> executedNames { {
    { Executed::No, "no" },
    { Executed::Unknown, "unknown" },
} };

enum class BytesSent { None, Some };

// Result of one attempt. Every attempt gets exactly one result, also after CancelAttempt.
struct AttemptOutcome {
    BytesSent bytesSent = BytesSent::Some; // Some when any byte of the request may have been handed to a connection
    int status = 0;                        // HTTP status; 0 when no complete header arrived
    bool endpointSaidNotExecuted = false;  // `Lacewing-Executed: no`, or problem details with `executed: no`
    bool connectionLost = false;
    bool timedOut = false;
    bool complete = false; // the complete answer arrived
};

enum class AttemptPhase { Planned, Started, Ended };

struct AttemptState {
    AttemptId id = 0;
    AttemptPhase phase = AttemptPhase::Planned;
    bool mayHaveExecuted = false; // set at Started; cleared only by a result that proves the contrary
    bool isHedge = false;
    bool isCancelled = false; // CancelAttempt was emitted; the result is still to come
};

struct RequestState {
    bool isIdempotent = false;
    bool isReplied = false; // the one reply was given; later results are dropped
    std::vector<AttemptState> attempts;
};

AttemptState* findAttempt(RequestState& request, AttemptId attempt);
void onPlanned(RequestState& request, AttemptId attempt, bool isHedge);
void onStarted(RequestState& request, AttemptId attempt);
// Gives false when the attempt is unknown or had ended before.
bool onEnded(RequestState& request, AttemptId attempt, const AttemptOutcome& outcome);

// True when another attempt is safe: the request is idempotent, or certainly no attempt has executed or can execute it.
bool mayRetry(const RequestState& request);
// What a problem reply may state now.
Executed executedField(const RequestState& request);
int attemptsInFlight(const RequestState& request);

} // namespace lacewing::routing
