// Clock readings for services; decision code receives them as arguments.
#include "base/time.h"

#include <ctime>

namespace lacewing::base {

namespace {

    // CLOCK_BOOTTIME includes the time the machine is suspended; leases expire during that time too.
    std::chrono::nanoseconds readBootClock()
    {
        timespec now {};
        ::clock_gettime(CLOCK_BOOTTIME, &now);
        return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
    }

} // namespace

TimePoint monotonicNow()
{
    const auto sinceBoot = readBootClock();
    return TimePoint(std::chrono::duration_cast<Duration>(sinceBoot));
}

std::int64_t wallClockMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace lacewing::base
