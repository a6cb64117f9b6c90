// Circuit breaker.
#include "store/breaker.h"

#include <algorithm>

namespace lacewing::store {

bool allowCall(Breaker& breaker, base::TimePoint now)
{
    if (breaker.state == BreakerState::Closed)
        return true;
    if (breaker.state == BreakerState::Open && now >= breaker.probeAt) {
        breaker.state = BreakerState::Probing;
        return true;
    }
    ++breaker.refused;
    return false;
}

void onSuccess(Breaker& breaker)
{
    breaker.state = BreakerState::Closed;
    breaker.failures = 0;
    breaker.backoff = base::Duration(0);
}

void onFailure(Breaker& breaker, base::TimePoint now, base::Rng& rng)
{
    ++breaker.failures;
    if (breaker.state == BreakerState::Closed && breaker.failures < breaker.limits.failuresToOpen)
        return;
    // A reply to a call from before the breaker opened must not move the next probe.
    if (breaker.state == BreakerState::Open)
        return;
    if (breaker.state == BreakerState::Closed)
        ++breaker.opened;
    breaker.backoff = std::clamp(breaker.backoff * 2, breaker.limits.backoffMin, breaker.limits.backoffMax);
    // Between half and all of the backoff, so that daemons do not probe together.
    const auto range = static_cast<std::uint64_t>(breaker.backoff.count() / 2);
    const auto wait
        = breaker.backoff / 2 + base::Duration(static_cast<base::Duration::rep>(base::below(rng, range + 1)));
    breaker.state = BreakerState::Open;
    breaker.probeAt = now + wait;
}

} // namespace lacewing::store
