// Jobs with nothing running. The check runs once a second; it computes a cause only for a bounded number of jobs, those
// that have waited longest.
#include "scheduler/waiting_report.h"

#include "scheduler/colocation.h"
#include "scheduler/planner.h"

#include <algorithm>

namespace lacewing::scheduler {

namespace {

    constexpr Millis waitingReportMs = 1000;        // ms without runs before a job is reported
    constexpr Millis waitingCheckPeriodMs = 1000;   // ms between checks
    constexpr Millis waitingRepeatMs = 3000;        // ms between lines of one job, at least
    constexpr std::size_t waitingLinesPerCheck = 8; // bounds the lines to 8 a second
    constexpr std::size_t maxWorkerVisits = 20000;  // of all causes of a check
    constexpr std::size_t maxCauses = 500;          // of a check

    // A job with a ready step and nothing running.
    struct IdleJob {
        TaskRef ref;      // the task whose cause stands for the job
        Millis since = 0; // when it was first ready or its last run ended
    };

    // Starts are answered soon; one without an answer for longer does not count.
    bool runsOrStarts(const Task& task, Millis now)
    {
        const bool isStarting = task.phase == TaskPhase::Starting && now - task.phaseSince < waitingReportMs;
        return isRunning(task) || isStarting;
    }

    // The task that is nearest to a start: one that may be placed, then one that is placed, then any that is open.
    int nearestTask(const StepProgress& progress)
    {
        int nearest = -1;
        int highest = 0;
        for (std::size_t i = 0; i < progress.tasks.size(); ++i) {
            const Task& task = progress.tasks[i];
            if (task.phase == TaskPhase::Waiting)
                return static_cast<int>(i);
            const bool isOpenTask = task.phase != TaskPhase::Done && task.phase != TaskPhase::Failed;
            const int rank = !isOpenTask ? 0 : task.host ? 2 : 1;
            if (rank > highest) {
                highest = rank;
                nearest = static_cast<int>(i);
            }
        }
        return nearest;
    }

    Millis waitingSince(const Scheduler& scheduler, const TaskRef& ref, Millis now)
    {
        const Millis readySince = ref.progress->readySince > 0 ? ref.progress->readySince : scheduler.termStartedAt;
        if (ref.task->phase == TaskPhase::Waiting)
            return readySince;
        return std::max(readySince, notRunningSince(scheduler, *ref.task, now));
    }

    // nullopt: the job runs something, or has no ready step.
    std::optional<IdleJob> idleJob(const Planner& planner, Job& job)
    {
        std::optional<IdleJob> idle;
        Millis lastEndAt = 0;
        for (auto& [number, occurrence] : job.occurrences) {
            if (!isOpen(job, occurrence, planner.nowUnixMs))
                continue;
            for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
                const StepProgress& progress = occurrence.steps[i];
                lastEndAt = std::max(lastEndAt, progress.lastEndAt);
                if (progress.placed > 0
                    && std::any_of(progress.tasks.begin(), progress.tasks.end(),
                        [&](const Task& task) { return runsOrStarts(task, planner.now); }))
                    return std::nullopt;
                const Step& step = job.request.steps[i];
                if (progress.done == step.count || !isReady(occurrence, job.request, step))
                    continue;
                const int index = nearestTask(progress);
                if (index < 0)
                    continue;
                const TaskRef ref = refOf({ &job, &occurrence, number, static_cast<int>(i) }, index);
                const Millis since = waitingSince(planner.scheduler, ref, planner.now);
                if (!idle || since < idle->since)
                    idle = IdleJob { ref, since };
            }
        }
        if (idle)
            idle->since = std::max(idle->since, lastEndAt);
        return idle;
    }

    // The jobs that have waited longest come first.
    std::vector<IdleJob> idleJobs(const Planner& planner)
    {
        std::vector<IdleJob> jobs;
        for (const std::string& id : planner.scheduler.active) {
            const std::optional<IdleJob> idle = idleJob(planner, *planner.scheduler.jobs.at(id));
            if (idle && planner.now - idle->since >= waitingReportMs)
                jobs.push_back(*idle);
        }
        std::stable_sort(
            jobs.begin(), jobs.end(), [](const IdleJob& a, const IdleJob& b) { return a.since < b.since; });
        return jobs;
    }

    // The time between two lines of a job grows with its wait, so that the lines reach all jobs.
    bool isLineDue(const Planner& planner, const IdleJob& idle)
    {
        const Millis reportedAt = idle.ref.job->waitingReportedAt;
        return reportedAt == 0 || planner.now - reportedAt >= std::max(waitingRepeatMs, reportedAt - idle.since);
    }

    void logWaiting(Planner& planner, const IdleJob& idle, WaitCause cause)
    {
        const TaskRef& ref = idle.ref;
        Scheduler& scheduler = planner.scheduler;
        ref.job->waitingReportedAt = planner.now;
        ++scheduler.waiting.lines[static_cast<std::size_t>(cause.reason)];
        Decision decision { "jobWaiting", ref.job->request.id, nameOf(ref), cause.worker,
            std::max(ref.task->run, ref.task->endedRun), std::string(nameOf(waitReasonNames, cause.reason)),
            { { "waitedMs", ref.progress->readySince > 0 ? planner.now - ref.progress->readySince : -1 },
                { "withoutRunsMs", planner.now - idle.since }, { "ageMs", planner.nowUnixMs - ref.job->acceptedUnixMs },
                { "priority", ref.job->policy.priority }, { "tasks", ref.step->count },
                { "doneTasks", ref.progress->done }, { "placedTasks", ref.progress->placed },
                { "isFilling", ref.step->isFilling ? 1 : 0 } },
            ref.step->image };
        decision.inputs.insert(decision.inputs.end(), cause.inputs.begin(), cause.inputs.end());
        decision.texts = std::move(cause.texts);
        if (const Turn* turn = turnOf(planner, *ref.progress)) {
            decision.texts.emplace_back("timeliness", nameOf(timelinessNames, turn->candidate->timeliness));
            decision.texts.emplace_back("order", nameOf(orderNames, turn->order));
        }
        logDecision(scheduler, std::move(decision));
    }

    // Usable workers and the processors that serving tasks leave idle on them.
    struct IdleRoom {
        int workers = 0;
        int withoutServing = 0;
        int overTarget = 0; // with serving tasks over their latency targets
        double millicoresWithoutServing = 0;
        double millicoresBesideServing = 0; // that filling tasks may use
        double millicoresOverTarget = 0;    // that they may not use
    };

    IdleRoom idleRoom(const Planner& planner)
    {
        IdleRoom room;
        for (const auto& [id, worker] : planner.scheduler.workers) {
            if (!isUsable(planner.scheduler, worker))
                continue;
            ++room.workers;
            const bool isOverTarget = worker.overTargetSince != 0;
            room.withoutServing += worker.servingCpu == 0 ? 1 : 0;
            room.overTarget += isOverTarget ? 1 : 0;
            double& millicores = isOverTarget ? room.millicoresOverTarget
                : worker.servingCpu == 0      ? room.millicoresWithoutServing
                                              : room.millicoresBesideServing;
            millicores += std::max(0.0, freeFillCpu(worker));
        }
        return room;
    }

    void logPlacement(Planner& planner)
    {
        Scheduler& scheduler = planner.scheduler;
        const IdleRoom room = idleRoom(planner);
        std::int64_t waitingFilling = 0;
        std::int64_t waitingLasting = 0;
        std::int64_t waitingPlain = 0;
        for (const Candidate& candidate : planner.candidates) {
            const Step& step = candidate.job->request.steps[static_cast<std::size_t>(candidate.stepNumber)];
            (step.isFilling ? waitingFilling : step.isLasting ? waitingLasting : waitingPlain) += candidate.waiting;
        }
        const bool isPlanned = planner.now < scheduler.validUntil && scheduler.hasWorkerList;
        Decision decision { "placement", {}, {}, {}, 0, isPlanned ? "planned" : "notAllowed",
            { { "workers", room.workers }, { "workersWithoutServing", room.withoutServing },
                { "workersOverTarget", room.overTarget },
                { "idleMillicoresWithoutServing", static_cast<std::int64_t>(room.millicoresWithoutServing) },
                { "idleMillicoresBesideServing", static_cast<std::int64_t>(room.millicoresBesideServing) },
                { "idleMillicoresOverTarget", static_cast<std::int64_t>(room.millicoresOverTarget) },
                { "waitingFilling", waitingFilling }, { "waitingLasting", waitingLasting },
                { "waitingPlain", waitingPlain }, { "jobsWithoutRuns", scheduler.waiting.jobs },
                { "unchecked", scheduler.waiting.unchecked } } };
        for (std::size_t i = 0; i < scheduler.waiting.byReason.size(); ++i) {
            if (scheduler.waiting.byReason[i] > 0) // the names are literals
                decision.inputs.emplace_back(waitReasonNames[i].second.data(), scheduler.waiting.byReason[i]);
        }
        logDecision(scheduler, std::move(decision));
    }

} // namespace

void reportWaitingJobs(Planner& planner)
{
    WaitingReport& report = planner.scheduler.waiting;
    if (report.checkedAt != 0 && planner.now - report.checkedAt < waitingCheckPeriodMs)
        return;
    report.checkedAt = planner.now;
    report.hasNewCounts = true;
    report.byReason = {};
    const std::vector<IdleJob> jobs = idleJobs(planner);
    const std::size_t affordable = maxWorkerVisits / std::max<std::size_t>(1, planner.scheduler.workers.size());
    const std::size_t causes = std::min(jobs.size(), std::clamp(affordable, waitingLinesPerCheck, maxCauses));
    report.jobs = static_cast<int>(jobs.size());
    report.unchecked = static_cast<int>(jobs.size() - causes);
    std::size_t lines = 0;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        const bool isLogged = lines < waitingLinesPerCheck && isLineDue(planner, jobs[i]);
        if (i >= causes && !isLogged)
            continue;
        WaitCause cause = waitCause(planner, jobs[i].ref);
        if (i < causes)
            ++report.byReason[static_cast<std::size_t>(cause.reason)];
        if (isLogged) {
            ++lines;
            logWaiting(planner, jobs[i], std::move(cause));
        }
    }
    logPlacement(planner);
}

} // namespace lacewing::scheduler
