// Why lasting tasks do not run: the checks of placement in their order. The scan for tasks that are down runs once a
// second and reads only lasting steps; a cause is computed only for the tasks that are logged.
#include "scheduler/down_report.h"

#include "scheduler/planner.h"

#include <algorithm>
#include <tuple>

namespace lacewing::scheduler {

namespace {

    constexpr Millis downReportMs = 3000;      // ms without a run before a task is reported; above an ordinary restart
    constexpr Millis downCheckPeriodMs = 1000; // ms between scans
    constexpr Millis downRepeatMs = 5000;      // ms between lines of one task
    constexpr std::size_t downLinesPerCheck = 5; // bounds the lines to 5 a second

    bool isOpen(const Job& job, const Occurrence& occurrence, std::int64_t nowUnixMs)
    {
        return !isFinal(job.state) && occurrence.dueUnixMs <= nowUnixMs;
    }

    // A run that its worker has confirmed goes on until its end is reported.
    bool isRunning(const Task& task)
    {
        const bool isUp = task.phase == TaskPhase::Running || (task.phase == TaskPhase::Stopping && task.isConfirmed);
        return isUp && task.host && task.host->contact == Contact::Established;
    }

    Millis downSince(const Scheduler& scheduler, const Task& task, Millis now)
    {
        if (task.phase == TaskPhase::Unknown)
            return scheduler.termStartedAt;
        if (task.host && task.host->contact != Contact::Established && task.host->reportedAt > 0)
            return task.host->reportedAt;
        return task.phaseSince > 0 ? task.phaseSince : now;
    }

    // Worker whose report or lease end the task waits for.
    DownCause unknownCause(const Planner& planner, const Task& task)
    {
        const Scheduler& scheduler = planner.scheduler;
        DownCause cause { DownReason::Unknown, task.formerWorker, {} };
        if (cause.worker.empty())
            cause.worker = scheduler.recovery.lastWorker;
        const auto worker = scheduler.workers.find(cause.worker);
        if (worker != scheduler.workers.end())
            cause.inputs = { { "leftMs", leaseLeftMs(scheduler, worker->second, planner.now) } };
        cause.inputs.emplace_back("isWorkerKnown", task.formerWorker.empty() ? 0 : 1);
        return cause;
    }

    DownCause placedCause(const Planner& planner, const Task& task)
    {
        if (task.host->contact != Contact::Established)
            return { DownReason::WorkerLost, task.worker,
                { { "leftMs", leaseLeftMs(planner.scheduler, *task.host, planner.now) } } };
        const DownReason reason
            = task.phase == TaskPhase::Stopping ? DownReason::Stopping : DownReason::StartUnanswered;
        return { reason, task.worker, { { "phaseMs", planner.now - task.phaseSince } } };
    }

    DownCause noUsableWorkerCause(const Planner& planner, const std::string& service)
    {
        int known = 0;
        int unreachable = 0;
        int draining = 0;
        for (const auto& [id, worker] : planner.scheduler.workers) {
            if (worker.entry.service != service)
                continue;
            ++known;
            unreachable += worker.contact != Contact::Established ? 1 : 0;
            draining += worker.entry.isDraining ? 1 : 0;
        }
        return { DownReason::NoUsableWorker, {},
            { { "knownWorkers", known }, { "unreachable", unreachable }, { "draining", draining } } };
    }

    DownReason constraintOf(const Planner& planner, const TaskRef& ref)
    {
        if (isStartLimitReached(planner))
            return DownReason::StartLimit;
        if (ref.task->run == 0 && !leavesShortReserve(planner, ref))
            return DownReason::ShortReserve;
        return ref.job->policy.approval.isNeeded ? DownReason::NoApproval : DownReason::StepConstraint;
    }

    DownCause waitingCause(Planner& planner, const TaskRef& ref)
    {
        const Scheduler& scheduler = planner.scheduler;
        if (planner.now >= scheduler.validUntil)
            return { scheduler.configuration.version == 0 ? DownReason::NoConfiguration : DownReason::TermNotValid, {},
                {} };
        if (!scheduler.hasWorkerList)
            return { DownReason::NoWorkerList, {}, {} };
        const std::string& service = ref.job->policy.service;
        const auto pool = std::find_if(
            planner.pools.begin(), planner.pools.end(), [&](const Pool& entry) { return entry.service == service; });
        if (pool == planner.pools.end() || pool->workers.empty())
            return noUsableWorkerCause(planner, service);
        int withRoom = 0;
        int avoided = 0;
        const PlannedWorker* roomiest = nullptr;
        const PlannedWorker* roomiestAvoided = nullptr;
        const PlannedWorker* largest = nullptr;
        const auto keepRoomier = [](const PlannedWorker*& best, const PlannedWorker& planned) {
            if (!best || planned.freeCpu > best->freeCpu)
                best = &planned;
        };
        for (const PlannedWorker& planned : pool->workers) {
            keepRoomier(largest, planned);
            if (!hasRoom(planned, *ref.step))
                continue;
            ++(planned.acceptsTasks ? withRoom : avoided);
            keepRoomier(planned.acceptsTasks ? roomiest : roomiestAvoided, planned);
        }
        DownCause cause;
        cause.reason = withRoom > 0 ? constraintOf(planner, ref)
            : avoided > 0           ? DownReason::AvoidedWorkers
                                    : DownReason::NoRoom;
        const PlannedWorker* example = withRoom > 0 ? roomiest : avoided > 0 ? roomiestAvoided : largest;
        cause.worker = example->worker->entry.id;
        cause.inputs = { { "usableWorkers", static_cast<std::int64_t>(pool->workers.size()) }, { "withRoom", withRoom },
            { "avoided", avoided }, { "millicores", ref.step->cpuMillicores }, { "memoryMb", ref.step->memoryMb },
            { "freeMillicores", example->freeCpu }, { "freeMemoryMb", example->freeMemory },
            { "startsOrdered", static_cast<std::int64_t>(planner.orders.starts.size()) },
            { "startLimit", scheduler.startLimit } };
        return cause;
    }

    void logDown(Planner& planner, const TaskRef& ref)
    {
        Scheduler& scheduler = planner.scheduler;
        Task& task = *ref.task;
        DownCause cause = downCause(planner, ref);
        task.downReportedAt = planner.now;
        ++scheduler.down.lines[static_cast<std::size_t>(cause.reason)];
        Decision decision { "lastingTaskDown", ref.job->request.id, nameOf(ref), cause.worker,
            std::max(task.run, task.endedRun), std::string(nameOf(downReasonNames, cause.reason)),
            { { "downMs", planner.now - task.downSince },
                { "lastEndMs", task.lastEndAt > 0 ? planner.now - task.lastEndAt : -1 },
                { "endedRun", task.endedRun } },
            ref.step->image };
        decision.inputs.insert(decision.inputs.end(), cause.inputs.begin(), cause.inputs.end());
        if (task.lastEndAt > 0)
            decision.texts.emplace_back("lastEnd", nameOf(endKindNames, task.lastEnd));
        logDecision(scheduler, std::move(decision));
    }

    // Updates the time since which each lasting task of the step is down, and collects those to report.
    void checkStep(Planner& planner, Job& job, Occurrence& occurrence, int occurrenceNumber, int stepNumber,
        std::vector<TaskRef>& due)
    {
        Scheduler& scheduler = planner.scheduler;
        const Candidate candidate { &job, &occurrence, occurrenceNumber, stepNumber };
        StepProgress& progress = occurrence.steps[static_cast<std::size_t>(stepNumber)];
        for (std::size_t i = 0; i < progress.tasks.size(); ++i) {
            Task& task = progress.tasks[i];
            if (isRunning(task)) {
                task.downSince = 0;
                continue;
            }
            if (task.downSince == 0)
                task.downSince = downSince(scheduler, task, planner.now);
            if (planner.now - task.downSince <= downReportMs)
                continue;
            ++scheduler.down.tasks;
            if (task.downReportedAt == 0 || planner.now - task.downReportedAt >= downRepeatMs)
                due.push_back(refOf(candidate, static_cast<int>(i)));
        }
    }

} // namespace

DownCause downCause(Planner& planner, const TaskRef& ref)
{
    const Task& task = *ref.task;
    if (task.host)
        return placedCause(planner, task);
    if (task.phase == TaskPhase::Unknown)
        return unknownCause(planner, task);
    if (task.phase == TaskPhase::Failed || task.phase == TaskPhase::Done)
        return { DownReason::Failed, {}, {} };
    return waitingCause(planner, ref);
}

void reportDownTasks(Planner& planner)
{
    DownReport& report = planner.scheduler.down;
    if (report.checkedAt != 0 && planner.now - report.checkedAt < downCheckPeriodMs)
        return;
    report.checkedAt = planner.now;
    report.tasks = 0;
    std::vector<TaskRef> due;
    for (const std::string& id : planner.scheduler.active) {
        Job& job = *planner.scheduler.jobs.at(id);
        for (auto& [number, occurrence] : job.occurrences) {
            if (!isOpen(job, occurrence, planner.nowUnixMs))
                continue;
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                if (job.request.steps[step].isLasting && isReady(occurrence, job.request, job.request.steps[step]))
                    checkStep(planner, job, occurrence, number, static_cast<int>(step), due);
            }
        }
    }
    const std::size_t count = std::min(due.size(), downLinesPerCheck);
    std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(count), due.end(),
        [](const TaskRef& a, const TaskRef& b) {
            return std::tuple(a.task->downReportedAt, a.task->downSince)
                < std::tuple(b.task->downReportedAt, b.task->downSince);
        });
    for (std::size_t i = 0; i < count; ++i)
        logDown(planner, due[i]);
}

} // namespace lacewing::scheduler
