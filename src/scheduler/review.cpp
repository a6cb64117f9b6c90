// Review of open jobs before placement: stops runs that must not go on, and collects the steps with tasks to place.
#include "scheduler/occurrences.h"
#include "scheduler/planner.h"

#include <algorithm>

namespace lacewing::scheduler {

namespace {

    constexpr Millis stopRetryMs = 600;       // ms; a stop without effect is ordered again after this time
    constexpr Millis stalledMs = 2500;        // ms without progress of a running task; above two renewal periods
    constexpr Millis lastingStartupMs = 4000; // ms; a lasting task that takes longer to start up is moved
    constexpr Millis freshReportMs = 2500;    // ms; older reports are not used to judge progress
    constexpr Millis stalledWorkerMs = 4000;  // ms without new tasks for a worker with a stalled task
    constexpr Millis lateFactor = 3; // a late job is of value up to this multiple of its allowed time (platform rule)

    Millis criticalPathMs(const JobRequest& request)
    {
        std::vector<Millis> ends;
        Millis longest = 0;
        for (const Step& step : request.steps) {
            Millis start = 0;
            for (const int before : step.after) {
                if (before >= 0 && before < static_cast<int>(ends.size()))
                    start = std::max(start, ends[static_cast<std::size_t>(before)]);
            }
            ends.push_back(start + step.estimateMs);
            longest = std::max(longest, ends.back());
        }
        return longest;
    }

    // Orders a stop, and repeats it every stopRetryMs while it has no effect.
    void stopRun(Planner& planner, const TaskRef& ref, const std::string& reason)
    {
        const Task& task = *ref.task;
        const bool isOrdered = task.phase != TaskPhase::Running && task.phase != TaskPhase::Starting
            && task.lastStopAt > 0 && planner.now - task.lastStopAt < stopRetryMs;
        if (!isPlaced(task) || isOrdered)
            return;
        orderStop(planner.scheduler, planner.orders, ref, reason,
            { { "percent", task.percent }, { "quietMs", planner.now - task.progressAt } }, planner.now);
    }

    // True when a run has to leave a draining worker because it cannot finish in the time left there.
    bool mustMigrate(const Planner& planner, const Worker& worker, const Step& step, const Task& task)
    {
        if (worker.drainEndsAt == 0)
            return false;
        if (step.isLasting)
            return true;
        const Millis left = worker.drainEndsAt - planner.now;
        if (task.percent <= 0 || task.startedAt == 0)
            return left < planner.scheduler.limits.stopTimeoutMs + step.estimateMs;
        const Millis needed = (planner.now - task.startedAt) * (100 - task.percent) / task.percent;
        return needed > left;
    }

    bool isStalled(const Planner& planner, const Worker& worker, const Step& step, const Task& task)
    {
        if (task.phase != TaskPhase::Running || (step.isGang && !step.isLasting))
            return false;
        const Millis limit = std::max<Millis>(stalledMs, step.estimateMs / 4);
        const bool isLate = step.isLasting ? task.percent < 100 && planner.now - task.phaseSince > lastingStartupMs
                                           : planner.now - task.progressAt > limit;
        return isLate && worker.contact == Contact::Established && planner.now - worker.reportedAt <= freshReportMs;
    }

    // The task must be placed.
    void reviewRun(Planner& planner, const Candidate& candidate, const Step& step, Task& task, int index)
    {
        if (task.phase == TaskPhase::Done || task.phase == TaskPhase::Failed) {
            if (!step.isGang)
                stopRun(planner, refOf(candidate, index), "not needed any more");
            return;
        }
        if (task.phase == TaskPhase::Stopping) {
            stopRun(planner, refOf(candidate, index), "still stopping");
            return;
        }
        Worker& worker = *task.host;
        if (planner.hasDraining && mustMigrate(planner, worker, step, task)) {
            stopRun(planner, refOf(candidate, index), "worker is draining");
        } else if (isStalled(planner, worker, step, task)) {
            worker.avoidUntil = std::max(worker.avoidUntil, planner.now + stalledWorkerMs);
            task.failedWorker = worker.entry.id;
            stopRun(planner, refOf(candidate, index), "no progress");
        }
    }

    // True when no run of an earlier term can be active: a report under this term's token would have listed it, and the
    // worker refuses orders with older fencing tokens from then on.
    bool isFormerRunOver(const Scheduler& scheduler, const Task& task, Millis now)
    {
        if (scheduler.isReconciled || task.formerWorker.empty())
            return scheduler.isReconciled;
        const auto worker = scheduler.workers.find(task.formerWorker);
        if (worker == scheduler.workers.end()) // it has been removed, or holds no lease
            return now > earlierLeaseEndAt(scheduler, task.formerWorker) + scheduler.limits.leaseSlackMs;
        return isAccounted(worker->second);
    }

    // The estimates of the following steps are too inaccurate to be included.
    Timeliness timelinessOf(Millis age, Millis allowed, const Step& step)
    {
        if (step.isLasting)
            return Timeliness::InTime;
        if (age > lateFactor * allowed)
            return Timeliness::PastGracePeriod;
        return age > allowed ? Timeliness::Late : Timeliness::InTime;
    }

    void reviewStep(
        Planner& planner, Job& job, Occurrence& occurrence, int occurrenceNumber, int stepNumber, int jobRank)
    {
        const auto index = static_cast<std::size_t>(stepNumber);
        const Step& step = job.request.steps[index];
        StepProgress& progress = occurrence.steps[index];
        Candidate candidate { &job, &occurrence, occurrenceNumber, stepNumber };
        bool hasUnknown = false;
        if (progress.placed == 0 && progress.resolvedToken == planner.scheduler.token) {
            candidate.waiting = step.count - progress.done;
        } else {
            bool hasFailed = false;
            for (int i = 0; i < step.count; ++i) {
                Task& task = progress.tasks[static_cast<std::size_t>(i)];
                if (task.phase == TaskPhase::Unknown && isFormerRunOver(planner.scheduler, task, planner.now)) {
                    task.phase = TaskPhase::Waiting;
                    task.formerWorker.clear();
                    task.hasSingleWorker = false;
                    task.phaseSince = planner.now;
                    task.mayHaveRun = true;
                }
                if (task.host)
                    reviewRun(planner, candidate, step, task, i);
                candidate.waiting += task.phase == TaskPhase::Waiting ? 1 : 0;
                hasUnknown = hasUnknown || task.phase == TaskPhase::Unknown;
                hasFailed = hasFailed || task.phase == TaskPhase::Failed;
            }
            if (!hasUnknown && !hasFailed)
                progress.resolvedToken = planner.scheduler.token;
        }
        const bool hasRun = progress.placed > 0 || hasUnknown;
        if (candidate.waiting == 0 || (step.isGang && hasRun) || !isReady(occurrence, job.request, step))
            return;
        if (progress.readySince == 0)
            progress.readySince = planner.now;
        if (job.criticalPathMs < 0)
            job.criticalPathMs = criticalPathMs(job.request);
        const Millis criticalPath = job.criticalPathMs;
        const auto allowed
            = static_cast<Millis>(static_cast<double>(criticalPath) * job.policy.stretch) + job.policy.goalMs;
        const std::int64_t begun = std::max(job.acceptedUnixMs, occurrence.dueUnixMs);
        candidate.isRestart = step.isLasting
            && std::any_of(progress.tasks.begin(), progress.tasks.end(),
                [](const Task& task) { return task.phase == TaskPhase::Waiting && hasEverRun(task); });
        candidate.deadlineUnixMs = begun + allowed;
        candidate.timeliness = timelinessOf(planner.nowUnixMs - begun, allowed, step);
        candidate.priority = job.policy.priority;
        candidate.jobRank = jobRank;
        if (!step.isLasting && !hasRuns(job))
            candidate.idleSince = std::max(progress.readySince, progress.lastEndAt);
        planner.candidates.push_back(candidate);
    }

} // namespace

bool hasEverRun(const Task& task) { return task.run > 0 || task.mayHaveRun; }

bool isReady(const Occurrence& occurrence, const JobRequest& request, const Step& step)
{
    return std::all_of(step.after.begin(), step.after.end(), [&](int before) {
        const auto index = static_cast<std::size_t>(before);
        return index < occurrence.steps.size() && occurrence.steps[index].done == request.steps[index].count;
    });
}

TaskRef refOf(const Candidate& candidate, int index)
{
    TaskRef ref;
    ref.job = candidate.job;
    ref.occurrence = candidate.occurrence;
    ref.occurrenceNumber = candidate.occurrenceNumber;
    ref.stepNumber = candidate.stepNumber;
    ref.index = index;
    const auto step = static_cast<std::size_t>(candidate.stepNumber);
    ref.step = &candidate.job->request.steps[step];
    ref.progress = &candidate.occurrence->steps[step];
    ref.task = &ref.progress->tasks[static_cast<std::size_t>(index)];
    return ref;
}

void reviewJob(Planner& planner, Job& job, int jobRank)
{
    for (auto& [number, occurrence] : job.occurrences) {
        const bool isDue = occurrence.dueUnixMs <= planner.nowUnixMs;
        for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
            if (isFinal(job.state)) {
                if (occurrence.steps[i].placed == 0)
                    continue;
                const Candidate candidate { &job, &occurrence, number, static_cast<int>(i) };
                for (int index = 0; index < job.request.steps[i].count; ++index)
                    stopRun(planner, refOf(candidate, index), "job has ended");
            } else if (isDue) {
                reviewStep(planner, job, occurrence, number, static_cast<int>(i), jobRank);
            }
        }
    }
}

bool hasRuns(const Job& job)
{
    for (const auto& [number, occurrence] : job.occurrences) {
        for (const StepProgress& progress : occurrence.steps) {
            if (progress.placed > 0)
                return true;
        }
    }
    return false;
}

void stopStrays(Planner& planner)
{
    for (auto& [id, worker] : planner.scheduler.workers) {
        if (worker.contact != Contact::Established)
            continue;
        for (auto& [name, stray] : worker.strays) {
            const std::optional<TaskRef> ref = findTask(planner.scheduler, name);
            if ((!ref && !planner.scheduler.isReconciled && !isOfEndedOccurrence(planner.scheduler, name))
                || (stray.lastStopAt > 0 && planner.now - stray.lastStopAt < stopRetryMs))
                continue;
            stray.lastStopAt = planner.now;
            planner.orders.stops.push_back({ id, name, stray.run, fencingTokenOf(planner.scheduler, worker) });
            Decision decision { "stop", name.substr(0, name.find('.')), name, id, stray.run, "stray run", {} };
            decision.isOfLastingTask = ref && ref->step->isLasting;
            logDecision(planner.scheduler, std::move(decision));
        }
    }
}

} // namespace lacewing::scheduler
