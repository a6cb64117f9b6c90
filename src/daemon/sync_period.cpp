// Period from the processor time of one message.
#include "daemon/sync_period.h"

#include <algorithm>

namespace lacewing::daemon {

namespace {

    constexpr double messageMs = 0.13; // ms of a core for a request and its reply (docs/CAPACITY.md)
    constexpr double maxLoad = 0.08;   // of the scheduling daemon's share of a core, for the messages of all followers
    constexpr int shortestPeriodMs = 50; // ms; the commit of records takes as long

} // namespace

int syncPeriodMs(int followers, double share, int longestMs)
{
    if (share <= 0)
        return longestMs;
    const double periodMs = followers * messageMs / (maxLoad * share);
    return static_cast<int>(std::clamp(
        periodMs, static_cast<double>(std::min(shortestPeriodMs, longestMs)), static_cast<double>(longestMs)));
}

} // namespace lacewing::daemon
