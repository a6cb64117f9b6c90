// Time types that all decision code uses.
//
// Decision code never reads a clock: it receives a TimePoint, so that tests and the bench can use a virtual clock.
// A TimePoint counts microseconds of a monotonic clock of one process; values of two processes must not be compared.
#pragma once

#include <chrono>
#include <cstdint>

namespace lacewing::base {

using Duration = std::chrono::microseconds;

struct MonotonicClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<MonotonicClock, Duration>;
    static constexpr bool isSteady = true;
};

using TimePoint = MonotonicClock::time_point;

constexpr Duration milliseconds(std::int64_t count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::milliseconds(count));
}

constexpr Duration seconds(std::int64_t count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(count));
}

constexpr std::int64_t toMilliseconds(Duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

constexpr double toSeconds(Duration value) { return std::chrono::duration<double>(value).count(); }

// Upper bound of the relative clock drift, used when one process waits for the expiry of another one's lease.
constexpr double clockRateBound = 0.01;

// Time after which a lease of the given length has expired on every clock whose drift is within clockRateBound.
constexpr Duration leaseExpiryBound(Duration lease)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(lease.count()) * (1.0 + clockRateBound)) + 1);
}

// Current monotonic time. Only services and programs call this.
TimePoint monotonicNow();

// Milliseconds since the Unix epoch (UTC), for logs and history. Only services and programs call this.
std::int64_t wallClockMs();

} // namespace lacewing::base
