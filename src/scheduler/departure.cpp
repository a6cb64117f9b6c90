// Periods of reading from workers that leave at short notice.
#include "scheduler/departure.h"

#include <algorithm>

namespace lacewing::scheduler {

namespace {

    constexpr Millis shortNoticeMs = 4000;    // ms; longest notice that is called short
    constexpr Millis shortListPeriodMs = 300; // ms; while workers leave at short notice
    constexpr Millis noticeSeriesMs = 5000;   // ms after a short notice in which another one is expected

} // namespace

void recordNotice(Scheduler& scheduler, Millis remainingMs, Millis now)
{
    if (remainingMs <= shortNoticeMs)
        scheduler.shortNoticeAt = now;
}

Millis workerListPeriodMs(const Scheduler& scheduler, Millis usualMs, Millis now)
{
    const bool isSeries = scheduler.shortNoticeAt > 0 && now - scheduler.shortNoticeAt < noticeSeriesMs;
    return isSeries ? std::min(usualMs, shortListPeriodMs) : usualMs;
}

} // namespace lacewing::scheduler
