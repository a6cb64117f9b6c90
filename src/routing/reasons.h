// Reason codes of refusals and problems, and the counters of the routing module.
//
// Every refusal carries one Reason. The name of the reason is the field `code` of the problem details, and one counter
// exists for each reason.
#pragma once

#include "base/names.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lacewing::routing {

enum class Reason {
    Draining,             // this daemon is stopping
    QueueFull,            // the queue of the request's class is at its limit
    DeadlineTooShort,     // the predicted wait exceeds the deadline
    DeadlineExpired,      // the deadline passed
    NoEndpoint,           // no endpoint may be used and no daemon can take the request
    TooManyHops,          // a forwarded request cannot be served here and must not be forwarded again
    RetryBudgetExhausted, // an attempt failed and the retry budget is empty
    AttemptsExhausted,    // the limit of attempts for one request is reached
    MayHaveExecuted,      // an attempt failed after bytes were handed out; a non-idempotent request is not sent again
    DuplicateRequest,     // the request id is already in use
    CallerGone,           // the caller left; nobody receives the reply
};

inline constexpr std::size_t reasonCount = 11;
inline constexpr base::EnumNames<Reason, reasonCount> reasonNames { {
    { Reason::Draining, "draining" },
    { Reason::QueueFull, "queueFull" },
    { Reason::DeadlineTooShort, "deadlineTooShort" },
    { Reason::DeadlineExpired, "deadlineExpired" },
    { Reason::NoEndpoint, "noEndpoint" },
    { Reason::TooManyHops, "tooManyHops" },
    { Reason::RetryBudgetExhausted, "retryBudgetExhausted" },
    { Reason::AttemptsExhausted, "attemptsExhausted" },
    { Reason::MayHaveExecuted, "mayHaveExecuted" },
    { Reason::DuplicateRequest, "duplicateRequest" },
    { Reason::CallerGone, "callerGone" },
} };

// HTTP status of the reply for a reason: 504 DeadlineExpired, 502 failed attempts, 409 DuplicateRequest, 508
// TooManyHops, otherwise 503.
int httpStatusOf(Reason reason);

// Counts since the start of the daemon. All values only rise.
struct Counters {
    std::uint64_t offered = 0;           // requests offered
    std::uint64_t answered = 0;          // requests that received an endpoint's answer
    std::uint64_t forwarded = 0;         // attempts sent to another daemon
    std::uint64_t attempts = 0;          // attempts sent to an endpoint
    std::uint64_t retries = 0;           // attempts after the first, without hedges
    std::uint64_t hedges = 0;            // attempts sent in parallel to a slow one
    std::uint64_t hedgesDenied = 0;      // hedges that the hedge budget refused
    std::uint64_t attemptTimeouts = 0;   // attempts cancelled at their time limit
    std::uint64_t lateResults = 0;       // results that arrived after the reply, dropped
    std::uint64_t ejections = 0;         // endpoints ejected
    std::uint64_t ejectionsCapped = 0;   // ejections that the 30% cap refused
    std::uint64_t panicChoices = 0;      // choices made under the panic rule
    std::uint64_t slotRefusals = 0;      // acquisitions refused for lack of a usable slot
    std::uint64_t isolationRefusals = 0; // acquisitions refused because this daemon may be isolated
    std::uint64_t loansGiven = 0;        // slots lent
    std::uint64_t loansReceived = 0;     // slots borrowed
    std::uint64_t loansDiscarded = 0;    // loan replies not used (late, repeated, or of another record version)
    std::array<std::uint64_t, reasonCount> refusals {}; // by Reason, in the order of reasonNames
};

inline std::uint64_t& refusalCounter(Counters& counters, Reason reason)
{
    return counters.refusals[static_cast<std::size_t>(reason)];
}

} // namespace lacewing::routing
