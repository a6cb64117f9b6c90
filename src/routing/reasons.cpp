// Mapping of reasons to HTTP status codes.
#include "routing/reasons.h"

namespace lacewing::routing {

int httpStatusOf(Reason reason)
{
    switch (reason) {
    case Reason::DeadlineExpired:
        return 504;
    case Reason::RetryBudgetExhausted:
    case Reason::AttemptsExhausted:
    case Reason::MayHaveExecuted:
        return 502;
    case Reason::DuplicateRequest:
        return 409;
    case Reason::TooManyHops:
        return 508;
    case Reason::Draining:
    case Reason::QueueFull:
    case Reason::DeadlineTooShort:
    case Reason::NoEndpoint:
    case Reason::CallerGone:
        break;
    }
    return 503;
}

} // namespace lacewing::routing
