// Clock readings for services; decision code receives them as arguments.
#include "base/time.h"

namespace lacewing::base {

TimePoint monotonicNow()
{
    const auto sinceBoot = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint(std::chrono::duration_cast<Duration>(sinceBoot));
}

std::int64_t wallClockMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace lacewing::base
