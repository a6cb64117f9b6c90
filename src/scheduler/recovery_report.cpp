// Follows the accounting of a term for the log. Tasks are counted only for a line, so at most once a second.
#include "scheduler/recovery_report.h"

#include "scheduler/internal.h"

#include <algorithm>
#include <utility>

namespace lacewing::scheduler {

namespace {

    constexpr Millis waitingPeriodMs = 1000; // ms between lines `termWaiting`
} // namespace

AccountingDelay accountingDelay(const Worker& worker)
{
    if (isAccounted(worker))
        return AccountingDelay::None;
    if (worker.contact == Contact::Established)
        return AccountingDelay::EndListTruncated;
    return worker.contact == Contact::New ? AccountingDelay::NotReported : AccountingDelay::LeaseNotOver;
}

Millis leaseLeftMs(const Scheduler& scheduler, const Worker& worker, Millis now)
{
    if (worker.contact == Contact::Established || worker.isLeaseExpired)
        return 0;
    Millis left = worker.earlierLeaseEndAt + scheduler.limits.leaseSlackMs - now;
    if (worker.incarnation.leaseEndClockMs != 0 && worker.incarnation.clockReadAt > 0) {
        const std::int64_t clockMs = worker.incarnation.leaseEndClockMs + scheduler.limits.leaseSlackMs
            - earliestClock(scheduler, worker, now);
        left = std::max(left, static_cast<Millis>(static_cast<double>(clockMs) / scheduler.limits.workerClockRate));
    }
    return std::max<Millis>(0, left);
}

AccountingStatus accountingStatus(const Scheduler& scheduler, Millis now)
{
    AccountingStatus status;
    status.workers = static_cast<int>(scheduler.workers.size());
    for (const auto& [id, worker] : scheduler.workers) {
        const AccountingDelay delay = accountingDelay(worker);
        status.unreachable += worker.contact == Contact::Lost ? 1 : 0;
        ++status.byDelay[static_cast<std::size_t>(delay)];
        if (delay == AccountingDelay::None)
            continue;
        const Millis left = leaseLeftMs(scheduler, worker, now);
        // A worker that does not answer rather than one that may answer at any moment.
        if (!status.lastWorker.empty() && std::pair(delay, left) <= std::pair(status.lastDelay, status.lastLeftMs))
            continue;
        status.lastWorker = id;
        status.lastDelay = delay;
        status.lastLeftMs = left;
    }
    return status;
}

UnknownTasks countUnknownTasks(const Scheduler& scheduler)
{
    UnknownTasks unknown;
    for (const std::string& id : scheduler.active) {
        const Job& job = *scheduler.jobs.at(id);
        if (isFinal(job.state))
            continue;
        for (const auto& [number, occurrence] : job.occurrences) {
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                const std::vector<Task>& tasks = occurrence.steps[step].tasks;
                const auto count = static_cast<int>(std::count_if(
                    tasks.begin(), tasks.end(), [](const Task& task) { return task.phase == TaskPhase::Unknown; }));
                unknown.tasks += count;
                unknown.lasting += job.request.steps[step].isLasting ? count : 0;
            }
        }
    }
    return unknown;
}

void reportAccounting(Scheduler& scheduler, Millis now)
{
    RecoveryReport& report = scheduler.recovery;
    if (report.accountedAt != 0)
        return;
    const AccountingStatus status = accountingStatus(scheduler, now);
    const auto count = [&](AccountingDelay delay) { return status.byDelay[static_cast<std::size_t>(delay)]; };
    Decision decision { {}, {}, {}, {}, 0, {}, { { "token", scheduler.token } } };
    if (scheduler.isReconciled) {
        report.accountedAt = now;
        report.unknown = countUnknownTasks(scheduler);
        decision.event = "termAccounted";
        decision.worker = report.lastWorker;
        decision.outcome = "unknown tasks may start";
        decision.texts.emplace_back("waitedFor", nameOf(accountingDelayNames, report.lastDelay));
        decision.inputs.insert(decision.inputs.end(),
            { { "sinceMs", now - scheduler.termStartedAt }, { "workers", status.workers },
                { "unreachable", status.unreachable }, { "endListTruncated", count(AccountingDelay::EndListTruncated) },
                { "freedTasks", report.unknown.tasks }, { "freedLasting", report.unknown.lasting } });
        report.unknown = {};
        logDecision(scheduler, std::move(decision));
        return;
    }
    if (!status.lastWorker.empty()) {
        report.lastWorker = status.lastWorker;
        report.lastDelay = status.lastDelay;
    }
    if (report.waitingReportedAt != 0 && now - report.waitingReportedAt < waitingPeriodMs)
        return;
    report.waitingReportedAt = now;
    report.unknown = countUnknownTasks(scheduler);
    decision.event = "termWaiting";
    decision.worker = status.lastWorker;
    decision.outcome = scheduler.hasWorkerList ? nameOf(accountingDelayNames, status.lastDelay) : "noWorkerList";
    decision.inputs.insert(decision.inputs.end(),
        { { "sinceMs", now - scheduler.termStartedAt }, { "leftMs", status.lastLeftMs },
            { "unknownTasks", report.unknown.tasks }, { "unknownLasting", report.unknown.lasting },
            { "workers", status.workers }, { "unreachable", status.unreachable },
            { "notReported", count(AccountingDelay::NotReported) },
            { "leaseNotOver", count(AccountingDelay::LeaseNotOver) },
            { "endListTruncated", count(AccountingDelay::EndListTruncated) } });
    logDecision(scheduler, std::move(decision));
}

void reportStart(Scheduler& scheduler, Task& task, Millis now)
{
    if (task.wasUnknown && scheduler.recovery.firstFreedStartAt == 0)
        scheduler.recovery.firstFreedStartAt = now;
    task.wasUnknown = false;
}

} // namespace lacewing::scheduler
