// Periods of reading from workers that leave at short notice.
#include "scheduler/departure.h"

#include "scheduler/internal.h"

#include <algorithm>

namespace lacewing::scheduler {

namespace {

    constexpr Millis shortNoticeMs = 4000;    // ms; longest notice that is called short
    constexpr Millis shortListPeriodMs = 300; // ms; while workers leave at short notice
    constexpr Millis noticeSeriesMs = 5000;   // ms after a short notice in which another one is expected
    // ms of lease beyond the announced time from which on it is withheld; workers leave a little later than announced
    constexpr Millis departureMarginMs = 3000;
    // ms of lease below which it is renewed again; above a report and a write of the lease table
    constexpr Millis minWithheldLeaseMs = 1500;
    constexpr Millis overdueMs = 2000;         // ms after the announced time from which on a worker counts as staying
    constexpr Millis unstoredEndsWaitMs = 300; // ms; longest delay of a report while reported ends are being stored

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

void updateWithheldLease(Worker& worker, Millis now)
{
    const bool isLeaving = worker.drainEndsAt != 0 && now < worker.drainEndsAt + overdueMs;
    if (!isLeaving || worker.incarnation.clockReadAt == 0 || worker.incarnation.confirmedLeaseEndClockMs == 0) {
        worker.isLeaseWithheld = false;
        return;
    }
    const std::int64_t leaseLeftMs = worker.incarnation.confirmedLeaseEndClockMs - latestClock(worker, now);
    const Millis drainLeftMs = std::max<Millis>(0, worker.drainEndsAt - now);
    // Both times run down alike: a lease that is withheld must not be renewed because it has become shorter.
    const Millis neededMs = worker.isLeaseWithheld ? minWithheldLeaseMs : drainLeftMs + departureMarginMs;
    worker.isLeaseWithheld = leaseLeftMs >= neededMs;
}

bool isReportHeldBack(const Scheduler& scheduler, const Worker& worker, Millis now)
{
    return worker.drainEndsAt == 0 && !worker.incarnation.unacknowledged.empty()
        && now - worker.reportedAt < unstoredEndsWaitMs
        && scheduler.dirty.count(worker.incarnation.unacknowledged.back().job) > 0;
}

} // namespace lacewing::scheduler
