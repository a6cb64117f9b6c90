// Circuit breaker for the store: after failures in a row it lets single probes through, with jittered backoff.
#pragma once

#include "base/rng.h"
#include "base/time.h"

#include <cstdint>

namespace lacewing::store {

struct BreakerLimits {
    std::uint32_t failuresToOpen = 3;
    base::Duration backoffMin = base::milliseconds(250);
    base::Duration backoffMax = base::seconds(10);
};

enum class BreakerState { Closed, Open, Probing };

struct Breaker {
    BreakerLimits limits;
    BreakerState state = BreakerState::Closed;
    std::uint32_t failures = 0; // in a row
    base::Duration backoff { 0 };
    base::TimePoint probeAt;   // state Open: next probe
    std::uint64_t opened = 0;  // times it opened
    std::uint64_t refused = 0; // calls not sent
};

// Whether a call may be sent now. In state Open the first call after probeAt becomes the probe.
bool allowCall(Breaker& breaker, base::TimePoint now);
void onSuccess(Breaker& breaker);
void onFailure(Breaker& breaker, base::TimePoint now, base::Rng& rng);

} // namespace lacewing::store
