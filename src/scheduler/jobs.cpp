// Jobs and their tasks: creation, ends of runs, final states, and the selection of records to store.
#include "scheduler/internal.h"
#include "scheduler/occurrences.h"
#include "scheduler/open_start.h"
#include "scheduler/run_record.h"

#include <algorithm>
#include <set>

namespace lacewing::scheduler {

namespace {

    void finishIfDone(Scheduler& scheduler, Job& job, Millis now)
    {
        int ended = job.endedOccurrences.count;
        for (auto& [number, occurrence] : job.occurrences) {
            if (!occurrence.isDone && isOccurrenceDone(job.request, occurrence)) {
                occurrence.isDone = true;
                occurrence.endVersion = job.version;
            }
            ended += occurrence.isDone ? 1 : 0;
        }
        if (ended == occurrenceCount(job.request))
            setState(scheduler, job, JobState::Completed, now);
    }

    void completeTask(StepProgress& progress, Task& task)
    {
        if (task.phase == TaskPhase::Done)
            return;
        task.phase = TaskPhase::Done;
        ++progress.done;
    }

    // Failed attempts of a task. The members of a gang share the number of a run: however many of them fail in it, the
    // gang has failed once.
    std::size_t failedAttempts(const Step& step, const StepProgress& progress, const Task& task)
    {
        if (!step.isGang)
            return task.failedRuns.size();
        std::set<RunNumber> runs;
        for (const Task& member : progress.tasks)
            runs.insert(member.failedRuns.begin(), member.failedRuns.end());
        return runs.size();
    }

} // namespace

bool isOccurrenceDone(const JobRequest& request, const Occurrence& occurrence)
{
    for (std::size_t i = 0; i < request.steps.size(); ++i) {
        const Step& step = request.steps[i];
        if (step.isLasting || occurrence.steps[i].done != step.count)
            return false;
    }
    return true;
}

bool isPlaced(const Task& task) { return task.host != nullptr; }

void markDirty(Scheduler& scheduler, Job& job)
{
    ++job.version;
    scheduler.dirty.insert(job.request.id);
}

void setState(Scheduler& scheduler, Job& job, JobState state, Millis now)
{
    if (isFinal(job.state) || job.state == state)
        return;
    job.state = state;
    markDirty(scheduler, job);
    if (isFinal(state)) {
        logDecision(scheduler,
            { "jobEnded", job.request.id, {}, {}, 0, std::string(nameOf(jobStateNames, state)),
                { { "ageMs", now - job.acceptedAt }, { "version", static_cast<std::int64_t>(job.version) } } });
    }
}

void markStarted(Scheduler& scheduler, Job& job, Millis now)
{
    if (job.hasStarted)
        return;
    job.hasStarted = true;
    setState(scheduler, job, JobState::Running, now);
}

bool isStorable(const JobRequest& request)
{
    const std::int64_t occurrences = occurrenceCount(request);
    const auto steps = static_cast<std::int64_t>(request.steps.size());
    return taskCount(request) * occurrences <= maxTasksPerJob && steps * occurrences <= maxStepsPerJob;
}

Job& addJob(Scheduler& scheduler, JobRequest request, QueuePolicy policy, std::int64_t acceptedUnixMs,
    std::int64_t acceptedRevision, Millis now)
{
    auto& slot = scheduler.jobs[request.id];
    if (slot)
        return *slot;
    slot = std::make_unique<Job>();
    Job& job = *slot;
    job.acceptedAt = now;
    job.acceptedUnixMs = acceptedUnixMs;
    job.acceptedRevision = acceptedRevision;
    job.request = std::move(request);
    job.occurrenceBytes = occurrenceBytes(job.request);
    job.workBytes = workBytes(job.request);
    const bool hasRoom = scheduler.stateBytes + job.occurrenceBytes <= scheduler.limits.stateBytes;
    if (job.request.repeatCount <= 0 && hasRoom) { // otherwise a plan opens its occurrences
        openOccurrence(job, 0);
        scheduler.stateBytes += job.occurrenceBytes;
    }
    job.policy = std::move(policy); // of the version by which the job was accepted
    applyPolicyInForce(scheduler, job);
    scheduler.active.insert(job.request.id);
    return job;
}

void addEndedJob(Scheduler& scheduler, const EndedJob& ended, std::int64_t acceptedRevision)
{
    auto& slot = scheduler.jobs[ended.id];
    if (slot)
        return;
    slot = std::make_unique<Job>();
    Job& job = *slot;
    job.request.id = ended.id;
    job.request.account = ended.account;
    job.acceptedRevision = acceptedRevision;
    job.state = job.committedState = ended.state;
    job.endedUnixMs = ended.endedUnixMs;
    job.isRecordShort = true;
}

void cancelJob(Scheduler& scheduler, const std::string& id, Millis now)
{
    const auto found = scheduler.jobs.find(id);
    if (found == scheduler.jobs.end() || isFinal(found->second->state))
        return;
    setState(scheduler, *found->second, JobState::Cancelled, now);
}

std::string taskName(const std::string& job, int occurrence, int step, int index)
{
    return job + '.' + std::to_string(occurrence) + '.' + std::to_string(step) + '.' + std::to_string(index);
}

std::optional<TaskRef> findTask(Scheduler& scheduler, const std::string& name)
{
    const std::optional<TaskName> parsed = parseTaskName(name);
    const auto found = parsed ? scheduler.jobs.find(std::string(parsed->job)) : scheduler.jobs.end();
    if (found == scheduler.jobs.end())
        return std::nullopt;
    Job& job = *found->second;
    const auto entry = job.occurrences.find(parsed->occurrence);
    if (entry == job.occurrences.end() || parsed->step >= static_cast<int>(job.request.steps.size()))
        return std::nullopt;
    TaskRef ref;
    ref.job = &job;
    ref.occurrence = &entry->second;
    ref.occurrenceNumber = parsed->occurrence;
    ref.stepNumber = parsed->step;
    ref.index = parsed->index;
    ref.step = &job.request.steps[static_cast<std::size_t>(parsed->step)];
    ref.progress = &entry->second.steps[static_cast<std::size_t>(parsed->step)];
    if (parsed->index >= static_cast<int>(ref.progress->tasks.size()))
        return std::nullopt;
    ref.task = &ref.progress->tasks[static_cast<std::size_t>(parsed->index)];
    return ref;
}

std::string nameOf(const TaskRef& ref)
{
    return taskName(ref.job->request.id, ref.occurrenceNumber, ref.stepNumber, ref.index);
}

namespace {

    void countServing(Worker& worker, const Step& step, int change)
    {
        if (step.latencyTargetMs <= 0)
            return;
        ServingImage& image = worker.servingImages[step.image];
        image.tasks += change;
        image.targetMs = image.targetMs == 0 ? step.latencyTargetMs : std::min(image.targetMs, step.latencyTargetMs);
        if (image.tasks <= 0)
            worker.servingImages.erase(step.image);
    }

    // change: 1 reserves the resources of a task of the step, -1 releases them.
    void adjustResources(Worker& worker, const Step& step, int change)
    {
        const int cpu = change * step.cpuMillicores;
        worker.memoryUsed += change * step.memoryMb;
        worker.gpusUsed += change * step.gpus;
        (step.isFilling ? worker.fillCpu : worker.cpuUsed) += cpu;
        worker.servingCpu += step.latencyTargetMs > 0 ? cpu : 0;
        worker.lastingCpu += step.isLasting && !step.isFilling ? cpu : 0;
        countServing(worker, step, change);
    }

} // namespace

void reserveResources(Worker& worker, const TaskRef& ref)
{
    if (!worker.tasks.emplace(nameOf(ref), ref).second)
        return;
    ref.progress->placed += isPlaced(*ref.task) ? 0 : 1;
    ref.task->worker = worker.entry.id;
    ref.task->host = &worker;
    adjustResources(worker, *ref.step, 1);
}

void releaseResources(const TaskRef& ref)
{
    if (!isPlaced(*ref.task))
        return;
    Worker& worker = *ref.task->host;
    ref.task->worker.clear();
    ref.task->host = nullptr;
    --ref.progress->placed;
    if (worker.tasks.erase(nameOf(ref)) > 0)
        adjustResources(worker, *ref.step, -1);
}

void orderStop(Scheduler& scheduler, Orders& orders, const TaskRef& ref, const std::string& reason,
    std::vector<std::pair<const char*, std::int64_t>> inputs, Millis now)
{
    Task& task = *ref.task;
    if (task.phase == TaskPhase::Running || task.phase == TaskPhase::Starting) {
        task.phase = TaskPhase::Stopping;
        task.phaseSince = now;
    }
    task.lastStopAt = now;
    const std::string name = nameOf(ref);
    orders.stops.push_back({ task.worker, name, task.run, fencingTokenOf(scheduler, *task.host) });
    logRunDecision(scheduler, ref,
        { "stop", ref.job->request.id, name, task.worker, task.run, reason, std::move(inputs), ref.step->image });
}

bool isCurrentRun(const Task& task, const std::string& worker, RunNumber run)
{
    return isPlaced(task) && task.run == run && task.worker == worker;
}

void endRun(
    Scheduler& scheduler, const TaskRef& ref, const std::string& worker, EndKind kind, RunNumber run, Millis now)
{
    Task& task = *ref.task;
    Job& job = *ref.job;
    const bool isCurrent = isCurrentRun(task, worker, run);
    const bool hasBegun = !isCurrent || task.isConfirmed;
    const bool isOnSingleWorker = task.phase == TaskPhase::Unknown && task.hasSingleWorker;
    if (isCurrent) {
        keepOpenStart(scheduler, ref, now);
        releaseResources(ref);
        task.heldWorker.clear();
    }
    // Lasting tasks fail without limit: their failed runs are not listed, and late ends of earlier runs are not
    // counted.
    const bool isCounted = ref.step->isLasting
        ? !isCurrent && run <= task.endedRun
        : std::find(task.failedRuns.begin(), task.failedRuns.end(), run) != task.failedRuns.end();
    const bool isNewFailure = kind == EndKind::Failed && !isCounted; // reports of workers arrive in any order
    if (!isCurrent && run <= task.endedRun && kind != EndKind::Done && !isNewFailure)
        return;
    if (isNewFailure && !ref.step->isLasting)
        task.failedRuns.push_back(run);
    task.endedRun = std::max(task.endedRun, run);
    if (!isPlaced(task))
        task.run = std::max(task.run, run);
    task.lastEndAt = now;
    task.lastEnd = kind;
    if (hasBegun)
        ref.progress->lastEndAt = now;
    if (isCurrent || isOnSingleWorker)
        recordRun(scheduler, ref, worker);
    markDirty(scheduler, job);
    if (task.phase == TaskPhase::Done || task.phase == TaskPhase::Failed)
        return;
    scheduler.failedRuns += isNewFailure ? 1 : 0;
    scheduler.evictions += kind == EndKind::Stopped && !isFinal(job.state) ? 1 : 0;
    if (kind == EndKind::Done && !ref.step->isLasting) {
        ++scheduler.doneTasks;
        completeTask(*ref.progress, task);
        if (ref.step->isGang) { // the end of one member completes the whole gang
            for (Task& member : ref.progress->tasks)
                completeTask(*ref.progress, member);
        }
        finishIfDone(scheduler, job, now);
        return;
    }
    const std::size_t failures = failedAttempts(*ref.step, *ref.progress, task);
    const bool isOutOfAttempts
        = !ref.step->isLasting && failures >= static_cast<std::size_t>(std::max(1, job.policy.maxAttempts));
    if (isPlaced(task) && !isOutOfAttempts) // another run is active
        return;
    // The end of an earlier run does not rule out a later run on a worker that has not reported in this term.
    const bool mayRunElsewhere = task.phase == TaskPhase::Unknown && !scheduler.isReconciled && !isOnSingleWorker;
    if (!mayRunElsewhere || isOutOfAttempts)
        task.phase = isOutOfAttempts ? TaskPhase::Failed : TaskPhase::Waiting;
    task.phaseSince = now;
    if (isOutOfAttempts)
        setState(scheduler, job, JobState::Failed, now);
}

std::vector<std::string> nextCommitBatch(Scheduler& scheduler, std::size_t limit)
{
    std::vector<std::string> ids;
    for (const auto& [id, version] : scheduler.awaitedRecords) {
        if (ids.size() < limit && scheduler.dirty.count(id) > 0)
            ids.push_back(id);
    }
    const auto next = scheduler.dirty.upper_bound(scheduler.commitCursor);
    const auto take = [&](auto begin, auto end, bool wantsFinal) {
        for (auto id = begin; id != end && ids.size() < limit; ++id) {
            if (isFinal(scheduler.jobs.at(*id)->state) == wantsFinal && scheduler.awaitedRecords.count(*id) == 0)
                ids.push_back(*id);
        }
    };
    for (const bool wantsFinal : { true, false }) { // final states first, because callers wait for them
        take(next, scheduler.dirty.end(), wantsFinal);
        take(scheduler.dirty.begin(), next, wantsFinal);
    }
    if (!ids.empty())
        scheduler.commitCursor = ids.back();
    return ids;
}

void applyCommit(Scheduler& scheduler, const std::string& id, std::uint64_t version, JobState state)
{
    const auto found = scheduler.jobs.find(id);
    if (found == scheduler.jobs.end())
        return;
    Job& job = *found->second;
    job.committedVersion = std::max(job.committedVersion, version);
    ++job.commitsInTerm;
    if (job.committedVersion >= job.version)
        scheduler.dirty.erase(id);
    if (const auto awaited = scheduler.awaitedRecords.find(id);
        awaited != scheduler.awaitedRecords.end() && awaited->second <= job.committedVersion)
        scheduler.awaitedRecords.erase(awaited);
    if (job.committedState != state && !isFinal(job.committedState)) {
        job.committedState = state;
        scheduler.changes.push_back({ id, state, job.request.account });
    }
}

void retireJob(Scheduler& scheduler, Job& job)
{
    scheduler.active.erase(job.request.id);
    dropWork(scheduler, job);
    if (!job.isRecordShort)
        scheduler.retired.push_back(job.request.id);
}

namespace {

    // Jobs with a run that no task needs and whose stop has not been confirmed.
    std::set<std::string_view> jobsWithStrays(const Scheduler& scheduler)
    {
        std::set<std::string_view> ids;
        for (const auto& [id, worker] : scheduler.workers) {
            if (worker.isLeaseExpired)
                continue;
            for (const auto& [name, stray] : worker.strays)
                ids.insert(std::string_view(name).substr(0, name.find('.')));
        }
        return ids;
    }

} // namespace

std::vector<std::string> jobsToShorten(Scheduler& scheduler, std::size_t limit)
{
    std::vector<std::string> ids;
    if (scheduler.retired.empty())
        return ids;
    const std::set<std::string_view> withStrays
        = scheduler.configuration.accounts.empty() ? std::set<std::string_view> {} : jobsWithStrays(scheduler);
    for (std::size_t left = scheduler.retired.size(); left > 0 && ids.size() < limit; --left) {
        std::string id = std::move(scheduler.retired.front());
        scheduler.retired.pop_front();
        const auto job = scheduler.jobs.find(id);
        if (job == scheduler.jobs.end()) // removed meanwhile
            continue;
        // The short record has no account: a run that is left would not count against its cap in the next term.
        const bool mayHaveRuns = !scheduler.configuration.accounts.empty() && !job->second->request.account.empty()
            && (!scheduler.isReconciled || withStrays.count(id) > 0);
        if (mayHaveRuns || scheduler.dirty.count(id) > 0) { // dirty: a late end changed its record
            scheduler.retired.push_back(std::move(id));
            continue;
        }
        job->second->isRecordShort = true;
        ids.push_back(std::move(id));
    }
    return ids;
}

std::vector<std::string> expiredJobs(Scheduler& scheduler, std::int64_t nowUnixMs, Millis keepMs, std::size_t limit)
{
    std::vector<std::string> expired;
    for (auto& [id, job] : scheduler.jobs) {
        if (expired.size() >= limit)
            break;
        if (!isFinal(job->committedState) || scheduler.active.count(id) > 0 || scheduler.dirty.count(id) > 0)
            continue;
        if (job->endedUnixMs == 0) // no recorded end time: counts from now
            job->endedUnixMs = nowUnixMs;
        if (nowUnixMs - job->endedUnixMs >= keepMs)
            expired.push_back(id);
    }
    return expired;
}

void removeJob(Scheduler& scheduler, const std::string& id) { scheduler.jobs.erase(id); }

std::map<std::string, int> pendingJobs(const Scheduler& scheduler)
{
    std::map<std::string, int> pending;
    for (const std::string& id : scheduler.active) {
        const Job& job = *scheduler.jobs.at(id);
        if (!job.hasStarted && !isFinal(job.state))
            ++pending[job.policy.name];
    }
    return pending;
}

} // namespace lacewing::scheduler
