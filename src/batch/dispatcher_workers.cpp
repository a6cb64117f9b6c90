// Requests to workers, their answers, and the comparison of what a worker runs with what the shard records.
#include "batch/dispatcher_state.h"

#include <algorithm>
#include <cmath>

namespace lacewing::batch {

namespace {

    constexpr base::Duration urgentPoll = base::milliseconds(250); // while something on the worker is about to change

    FleetTask fleetTaskOf(Dispatcher& d, const Job& job)
    {
        return { job.spec.id, job.spec.jobClass, classOf(d.interference, job.spec.service), job.granted, {}, false };
    }

    // Removes the job from the failures of all workers: it fails everywhere, which says nothing about them.
    void forgiveWorkers(ShardSlot& slot, const base::JobId& job, std::size_t quarantineJobs)
    {
        for (auto& [id, worker] : slot.workers) {
            std::erase_if(worker.failedJobs, [&](const FailedJob& failed) { return failed.job == job; });
            if (worker.isQuarantined && !worker.isProbe && worker.failedJobs.size() < quarantineJobs)
                worker.isQuarantined = false;
        }
    }

    void noteFailure(Dispatcher& d, WorkerSlot& worker, const base::JobId& job, base::TimePoint now)
    {
        std::erase_if(worker.failedJobs,
            [&](const FailedJob& failed) { return failed.job == job || now - failed.at > d.limits.quarantine; });
        worker.failedJobs.push_back({ job, now });
        if (!worker.isProbe && worker.failedJobs.size() < d.limits.quarantineJobs)
            return;
        if (!worker.isQuarantined)
            ++d.counters.quarantines;
        worker.isQuarantined = true;
        worker.isProbe = false;
        worker.quarantinedUntil = now + d.limits.quarantine;
    }

    void onAttemptFinished(Dispatcher& d, ShardSlot& slot, WorkerSlot& worker, const Job& job)
    {
        observeDuration(d.usage, job.spec.service, job.spec.durationMs, std::max<std::int64_t>(job.progressMs, 1));
        releaseJob(d, slot, job);
        const base::JobId id = job.spec.id;
        if (onFinished(slot.shard, id, job.attempt, d.limits.shard))
            ++d.counters.finished;
        if (worker.isProbe) {
            worker.isProbe = false;
            worker.failedJobs.clear();
        }
    }

    void onAttemptFailed(Dispatcher& d, ShardSlot& slot, WorkerSlot& worker, const Job& job, base::TimePoint now)
    {
        releaseJob(d, slot, job);
        ++d.counters.failures;
        const base::JobId id = job.spec.id;
        noteFailure(d, worker, id, now);
        const ShardResult<JobState> state = onFailed(slot.shard, id, job.attempt, "failedOnWorkers", d.limits.shard);
        if (state && state.value() == JobState::Failed)
            forgiveWorkers(slot, id, d.limits.quarantineJobs);
    }

    void onAttemptEnded(Dispatcher& d, ShardSlot& slot, Job& job, std::int64_t checkpointMs)
    {
        const auto runtime = slot.runtime.find(job.spec.id);
        if (runtime != slot.runtime.end() && runtime->second.isEvicting && !job.isCancelRequested) {
            ++d.counters.evictions;
            ++job.evictions;
        }
        releaseJob(d, slot, job);
        const base::JobId id = job.spec.id;
        static_cast<void>(onEnded(slot.shard, id, job.attempt, checkpointMs, d.limits.shard));
    }

    void addOrphan(Dispatcher& d, ShardSlot& slot, const base::WorkerId& id, WorkerSlot& worker,
        const TaskReport& report, base::TimePoint, Effects& out)
    {
        // The shard does not place this attempt here (cancelled, or given up after its lease): it must end.
        const base::JobId orphan { "\x01" + report.task.value + "/" + std::to_string(report.attempt) };
        adoptTask(slot.fleet, worker.fleetIndex, { orphan, JobClass::Batch, 0, report.resources, {}, true });
        worker.orphans.push_back(orphan);
        out.emplace_back(StopTask { slot.key, id, slot.shard.epoch, report.task, report.attempt, d.nextRequest++ });
    }

    void onPlacedReport(
        Dispatcher& d, ShardSlot& slot, WorkerSlot& worker, Job& job, const TaskReport& report, base::TimePoint now)
    {
        JobRuntime& runtime = slot.runtime[job.spec.id];
        const std::uint32_t attempt = job.attempt;
        const base::JobId id = job.spec.id;
        if (hasEnded(report.status)) {
            job.progressMs = std::max(job.progressMs, report.progressMs);
            if (report.status == TaskStatus::Finished)
                onAttemptFinished(d, slot, worker, job);
            else if (report.status == TaskStatus::Failed)
                onAttemptFailed(d, slot, worker, job, now);
            else
                onAttemptEnded(d, slot, job, report.checkpointMs);
            touch(slot);
            worker.acknowledges.push_back({ id, attempt, slot.change });
            return;
        }
        runtime.isInherited = false;
        runtime.awaitsPoll = false;
        const bool isNewState = job.state != JobState::Running || !job.isConfirmed;
        const bool isNewCheckpoint = report.checkpointMs > job.checkpointMs;
        if (isNewState) {
            static_cast<void>(onStarted(slot.shard, id, attempt));
            appendEvent(job, "running", d.limits.shard);
        }
        static_cast<void>(onProgress(slot.shard, id, attempt, report.checkpointMs, report.progressMs));
        if (isNewState || isNewCheckpoint)
            touch(slot);
    }

    void onAbsentJob(Dispatcher& d, ShardSlot& slot, Job& job, JobRuntime& runtime)
    {
        const bool isOlder = runtime.isOlderAttempt;
        runtime.isInherited = false;
        runtime.awaitsPoll = false;
        if (job.isConfirmed) {
            onAttemptEnded(d, slot, job, 0);
            touch(slot);
        } else if (isOlder) {
            // The worker refuses this attempt for ever: take the next number.
            const base::JobId id = job.spec.id;
            const std::uint32_t attempt = job.attempt;
            releaseJob(d, slot, job);
            static_cast<void>(withdrawPlan(slot.shard, id, attempt, d.limits.shard));
            touch(slot);
        } else if (job.state != JobState::Planned) {
            static_cast<void>(onAbsent(slot.shard, job.spec.id, job.attempt, d.limits.shard));
            touch(slot);
        }
    }

    // `request`: number of the fence or poll that the state answers.
    void reconcile(Dispatcher& d, ShardSlot& slot, const base::WorkerId& id, WorkerSlot& worker,
        const WorkerState& state, RequestId request, base::TimePoint now, Effects& out)
    {
        for (const base::JobId& orphan : worker.orphans)
            releaseTask(slot.fleet, worker.fleetIndex, orphan);
        worker.orphans.clear();
        std::set<base::JobId> listed;
        for (const TaskReport& report : state.tasks) {
            const auto found = slot.shard.jobs.find(report.task);
            Job* job = found == slot.shard.jobs.end() ? nullptr : &found->second;
            const bool isPlacedHere
                = job && isPlaced(job->state) && job->worker == id && job->attempt == report.attempt;
            if (isPlacedHere) {
                listed.insert(report.task);
                onPlacedReport(d, slot, worker, *job, report, now);
            } else if (!hasEnded(report.status)) {
                addOrphan(d, slot, id, worker, report, now, out);
            } else {
                const bool isQueued = std::any_of(worker.acknowledges.begin(), worker.acknowledges.end(),
                    [&](const PendingAcknowledge& p) { return p.task == report.task && p.attempt == report.attempt; });
                if (!isQueued)
                    worker.acknowledges.push_back({ report.task, report.attempt, slot.change });
            }
        }
        std::vector<base::JobId> absent;
        for (const auto& [job, runtime] : slot.runtime) {
            const bool isHere = slot.shard.jobs.at(job).worker == id;
            if (isHere && !listed.contains(job) && runtime.startRequest == 0 && request >= runtime.absentAfter)
                absent.push_back(job);
        }
        for (const base::JobId& job : absent) {
            const auto runtime = slot.runtime.find(job);
            if (runtime != slot.runtime.end())
                onAbsentJob(d, slot, slot.shard.jobs.at(job), runtime->second);
        }
        runDurable(d, slot, out);
    }

    void markUnreachable(Dispatcher& d, ShardSlot& slot, const base::WorkerId& id, WorkerSlot& worker)
    {
        if (worker.phase != WorkerPhase::Unreachable) {
            worker.phase = WorkerPhase::Unreachable;
            slot.isPlanDue = true;
        }
        // A plan that was never sent, by this process or an earlier owner, is simply withdrawn.
        std::vector<base::JobId> unsent;
        for (const auto& [job, runtime] : slot.runtime) {
            const Job& entry = slot.shard.jobs.at(job);
            if (entry.worker == id && entry.state == JobState::Planned && !runtime.isInherited && !runtime.wasSent)
                unsent.push_back(job);
        }
        for (const base::JobId& job : unsent) {
            const std::uint32_t attempt = slot.shard.jobs.at(job).attempt;
            releaseJob(d, slot, slot.shard.jobs.at(job));
            static_cast<void>(withdrawPlan(slot.shard, job, attempt, d.limits.shard));
            touch(slot);
        }
        if (onWorkerUnreachable(slot.shard, id) > 0)
            touch(slot);
    }

    void sendRequest(
        Dispatcher& d, ShardSlot& slot, const base::WorkerId& id, WorkerSlot& worker, base::TimePoint now, Effects& out)
    {
        worker.request = d.nextRequest++;
        worker.requestSentAt = now;
        if (worker.phase == WorkerPhase::Fenced)
            out.emplace_back(PollWorker { slot.key, id, worker.request });
        else
            out.emplace_back(FenceWorker { slot.key, id, slot.shard.epoch, worker.request });
    }

    void driveRenewal(
        Dispatcher& d, ShardSlot& slot, const base::WorkerId& id, WorkerSlot& worker, base::TimePoint now, Effects& out)
    {
        const bool hasTasks = worker.hasCapacity && !slot.fleet.workers[worker.fleetIndex].tasks.empty();
        if (!hasTasks || now < worker.nextRenew || !isProven(d, slot, now))
            return;
        worker.nextRenew = now + d.limits.renewInterval;
        const base::TimePoint notAfter = now + d.limits.callTimeout;
        const base::TimePoint leaseGone = notAfter + d.limits.callTimeout + base::leaseExpiryBound(d.limits.taskLease);
        worker.leaseGoneAt = std::max(worker.leaseGoneAt, leaseGone);
        out.emplace_back(RenewWorker {
            slot.key, id, slot.shard.epoch, base::toMilliseconds(d.limits.taskLease), notAfter, d.nextRequest++ });
    }

    double returnedShare(const Dispatcher& d, const base::DataCentreId& dataCentre, base::TimePoint now)
    {
        constexpr std::array<double, 4> steps { 0.10, 0.25, 0.50, 1.0 };
        const auto returned = d.returnedAt.find(dataCentre);
        if (returned == d.returnedAt.end())
            return 1;
        const auto step = static_cast<std::size_t>((now - returned->second) / d.limits.returnStep);
        return steps[std::min(step, steps.size() - 1)];
    }

} // namespace

WorkerSlot& workerOf(ShardSlot& slot, const base::WorkerId& id)
{
    const auto [place, isNew] = slot.workers.try_emplace(id);
    if (isNew)
        place->second.info.id = id;
    return place->second;
}

void adoptJob(Dispatcher& d, ShardSlot& slot, const Job& job, bool isInherited)
{
    JobRuntime runtime;
    runtime.isInherited = isInherited;
    runtime.plannedChange = isInherited ? 0 : slot.change;
    slot.runtime[job.spec.id] = runtime;
    addUse(d.teams, job.spec.team, job.granted.cpuMilli);
    const WorkerSlot& worker = workerOf(slot, job.worker);
    if (worker.hasCapacity)
        adoptTask(slot.fleet, worker.fleetIndex, fleetTaskOf(d, job));
}

void releaseJob(Dispatcher& d, ShardSlot& slot, const Job& job)
{
    const auto runtime = slot.runtime.find(job.spec.id);
    if (runtime == slot.runtime.end())
        return;
    WorkerSlot& worker = workerOf(slot, job.worker);
    if (runtime->second.startRequest != 0 && worker.startsInFlight > 0)
        --worker.startsInFlight;
    if (worker.hasCapacity)
        releaseTask(slot.fleet, worker.fleetIndex, job.spec.id);
    addUse(d.teams, job.spec.team, -job.granted.cpuMilli);
    slot.runtime.erase(runtime);
    slot.isPlanDue = true;
}

void updateEligibility(Dispatcher& d, ShardSlot& slot, base::TimePoint now)
{
    const base::DataCentreId& dataCentre = slot.shard.dataCentre;
    const bool isIn = d.hasPolicy && isInService(d, dataCentre);
    const double share = returnedShare(d, dataCentre, now);
    const auto usable = static_cast<std::size_t>(std::ceil(share * static_cast<double>(slot.workers.size())));
    std::size_t position = 0;
    for (auto& [id, worker] : slot.workers) {
        const bool isWithinStep = position++ < usable;
        if (worker.isQuarantined && now >= worker.quarantinedUntil) {
            worker.isQuarantined = false;
            worker.isProbe = true;
        }
        if (!worker.hasCapacity)
            continue;
        FleetWorker& entry = slot.fleet.workers[worker.fleetIndex];
        const bool isEligible = isIn && isWithinStep && worker.phase == WorkerPhase::Fenced && !worker.info.isLeaving
            && !worker.isQuarantined && now >= worker.noStartsBefore;
        const bool admitsBatch = worker.pressure.step < PressureStep::NoAdmit;
        if (entry.isEligible == isEligible && entry.admitsBatch == admitsBatch && entry.isProbe == worker.isProbe)
            continue;
        entry.isEligible = isEligible;
        entry.admitsBatch = admitsBatch;
        entry.isProbe = worker.isProbe;
        refreshWorker(slot.fleet, worker.fleetIndex);
        slot.isPlanDue = true;
    }
}

void driveWorkers(Dispatcher& d, ShardSlot& slot, base::TimePoint now, Effects& out)
{
    bool isFencing = false;
    for (auto& [id, worker] : slot.workers) {
        if (worker.request != 0 && now - worker.requestSentAt > 2 * d.limits.callTimeout)
            onWorkerUnreachable(d, slot.key, id, worker.request, now, out);
        const bool isIdle
            = worker.hasCapacity && slot.fleet.workers[worker.fleetIndex].tasks.empty() && worker.acknowledges.empty();
        // Idle workers are asked seldom, only to notice that they are gone.
        const base::TimePoint due = worker.phase == WorkerPhase::Fenced && isIdle
            ? worker.nextRequest + 4 * d.limits.pollInterval
            : worker.nextRequest;
        if (worker.request == 0 && now >= due)
            sendRequest(d, slot, id, worker, now, out);
        if (worker.phase == WorkerPhase::Fenced)
            driveRenewal(d, slot, id, worker, now, out);
        isFencing |= worker.phase == WorkerPhase::Unfenced;
    }
    if (slot.phase == ShardPhase::Fencing && !isFencing)
        slot.phase = ShardPhase::Owned;
}

void sendStarts(Dispatcher& d, ShardSlot& slot, base::TimePoint now, Effects& out)
{
    const bool mayStart = d.isFresh && now < d.freshUntil && d.hasPolicy && isInService(d, slot.shard.dataCentre)
        && isProven(d, slot, now) && !slot.isReleasing;
    if (!mayStart)
        return;
    for (auto& [id, runtime] : slot.runtime) {
        const Job& job = slot.shard.jobs.at(id);
        const bool isReady = job.state == JobState::Planned && !job.isCancelRequested && runtime.startRequest == 0
            && !runtime.awaitsPoll && !runtime.isInherited && runtime.plannedChange <= slot.durableChange;
        if (!isReady)
            continue;
        WorkerSlot& worker = workerOf(slot, job.worker);
        if (worker.phase != WorkerPhase::Fenced || worker.info.isLeaving || worker.isQuarantined
            || worker.startsInFlight >= d.limits.maxStartsInFlight)
            continue;
        ++worker.startsInFlight;
        ++d.counters.starts;
        runtime.wasSent = true;
        runtime.startRequest = d.nextRequest++;
        runtime.startSentAt = now;
        const base::TimePoint notAfter = std::min(d.freshUntil, now + d.limits.startTimeout);
        const base::TimePoint leaseGone = notAfter + d.limits.startTimeout + base::leaseExpiryBound(d.limits.taskLease);
        worker.leaseGoneAt = std::max(worker.leaseGoneAt, leaseGone);
        out.emplace_back(StartTask { slot.key, job.worker, slot.shard.epoch, id, job.attempt, job.granted,
            durationFor(d.usage, job.spec.service, job.spec.durationMs), job.checkpointMs,
            base::toMilliseconds(d.limits.taskLease), notAfter, runtime.startRequest });
    }
}

void sendStop(Dispatcher& d, ShardSlot& slot, const Job& job, JobRuntime& runtime, base::TimePoint now, Effects& out)
{
    runtime.nextStop = now + d.limits.retryInterval;
    out.emplace_back(StopTask { slot.key, job.worker, slot.shard.epoch, job.spec.id, job.attempt, d.nextRequest++ });
}

void beginEviction(
    Dispatcher& d, ShardSlot& slot, const Job& job, JobRuntime& runtime, base::TimePoint now, Effects& out)
{
    if (runtime.isEvicting || job.state != JobState::Running)
        return;
    runtime.isEvicting = true;
    runtime.evictedAt = now;
    runtime.checkpointBefore = job.checkpointMs;
    WorkerSlot& worker = workerOf(slot, job.worker);
    if (worker.hasCapacity) {
        if (FleetTask* task = findTask(slot.fleet, worker.fleetIndex, job.spec.id))
            task->isEvicting = true;
        refreshWorker(slot.fleet, worker.fleetIndex);
    }
    worker.nextRequest = std::min(worker.nextRequest, now + urgentPoll);
    out.emplace_back(
        CheckpointTask { slot.key, job.worker, slot.shard.epoch, job.spec.id, job.attempt, d.nextRequest++ });
}

void onFenceReply(Dispatcher& d, const ShardKey& key, const base::WorkerId& worker, RequestId request, bool isFenced,
    const WorkerState& state, base::TimePoint now, Effects& out)
{
    ShardSlot* slot = findOwned(d, key);
    if (!slot || !slot->workers.contains(worker) || slot->workers.at(worker).request != request)
        return;
    WorkerSlot& entry = slot->workers.at(worker);
    entry.request = 0;
    entry.misses = 0;
    if (!isFenced || state.epoch > slot->shard.epoch) {
        slot->seenEpoch = std::max(slot->seenEpoch, state.epoch);
        slot->needsRead = true;
        entry.phase = WorkerPhase::Unfenced;
        entry.nextRequest = now + d.limits.retryInterval;
        return;
    }
    entry.phase = WorkerPhase::Fenced;
    if (!entry.wasFenced) {
        entry.wasFenced = true;
        entry.leaseGoneAt = now + base::leaseExpiryBound(d.limits.taskLease);
    }
    entry.nextRequest = now + d.limits.pollInterval;
    const bool isLeaving = entry.info.isLeaving;
    entry.info = state.info;
    entry.info.id = worker;
    entry.info.isLeaving = isLeaving;
    const bool isNew = !entry.hasCapacity;
    entry.hasCapacity = true;
    entry.fleetIndex = addWorker(slot->fleet, entry.info);
    if (isNew) {
        for (const auto& [id, runtime] : slot->runtime) {
            const Job& job = slot->shard.jobs.at(id);
            if (job.worker == worker)
                adoptTask(slot->fleet, entry.fleetIndex, fleetTaskOf(d, job));
        }
    }
    slot->isPlanDue = true;
    reconcile(d, *slot, worker, entry, state, request, now, out);
}

void onWorkerState(Dispatcher& d, const ShardKey& key, const base::WorkerId& worker, RequestId request,
    const WorkerState& state, base::TimePoint now, Effects& out)
{
    ShardSlot* slot = findOwned(d, key);
    if (!slot || !slot->workers.contains(worker) || slot->workers.at(worker).request != request)
        return;
    WorkerSlot& entry = slot->workers.at(worker);
    entry.request = 0;
    entry.misses = 0;
    if (entry.phase != WorkerPhase::Fenced)
        return;
    entry.nextRequest = now + d.limits.pollInterval;
    if (state.epoch != slot->shard.epoch) {
        // Higher: another owner may have fenced it. Lower: it has lost its memory. Both need a fence first.
        slot->seenEpoch = std::max(slot->seenEpoch, state.epoch);
        slot->needsRead = slot->needsRead || state.epoch > slot->shard.epoch;
        entry.phase = WorkerPhase::Unfenced;
        entry.nextRequest = now;
        return;
    }
    reconcile(d, *slot, worker, entry, state, request, now, out);
}

void onWorkerUnreachable(
    Dispatcher& d, const ShardKey& key, const base::WorkerId& worker, RequestId request, base::TimePoint now, Effects&)
{
    ShardSlot* slot = findOwned(d, key);
    if (!slot || !slot->workers.contains(worker) || slot->workers.at(worker).request != request)
        return;
    WorkerSlot& entry = slot->workers.at(worker);
    entry.request = 0;
    entry.nextRequest = now + d.limits.retryInterval;
    // One lost answer of a fenced worker is not enough: each change of state costs a write.
    if (++entry.misses < 2 && entry.phase == WorkerPhase::Fenced) {
        entry.nextRequest = now + urgentPoll;
        return;
    }
    markUnreachable(d, *slot, worker, entry);
}

void onStartReply(Dispatcher& d, const ShardKey& key, const base::WorkerId& worker, RequestId request,
    const base::JobId& task, std::uint32_t attempt, StartResult result, base::TimePoint now, Effects& out)
{
    ShardSlot* slot = findOwned(d, key);
    if (!slot)
        return;
    const auto found = slot->runtime.find(task);
    const bool isCurrent = found != slot->runtime.end() && found->second.startRequest == request;
    if (!isCurrent) {
        const bool hasStarted = result == StartResult::Accepted || result == StartResult::Already;
        if (hasStarted && (found == slot->runtime.end() || slot->shard.jobs.at(task).attempt != attempt))
            out.emplace_back(StopTask { key, worker, slot->shard.epoch, task, attempt, d.nextRequest++ });
        return;
    }
    JobRuntime& runtime = found->second;
    Job& job = slot->shard.jobs.at(task);
    WorkerSlot& entry = workerOf(*slot, worker);
    runtime.startRequest = 0;
    runtime.absentAfter = d.nextRequest;
    entry.startsInFlight -= std::min<std::size_t>(1, entry.startsInFlight);
    switch (result) {
    case StartResult::Accepted:
    case StartResult::Already:
        if (job.state != JobState::Running)
            appendEvent(job, "running", d.limits.shard);
        static_cast<void>(onStarted(slot->shard, task, attempt));
        touch(*slot);
        break;
    case StartResult::Capacity:
        // Nothing runs; the worker's own count differs from ours until the next poll.
        releaseJob(d, *slot, job);
        static_cast<void>(withdrawPlan(slot->shard, task, attempt, d.limits.shard));
        touch(*slot);
        entry.noStartsBefore = now + d.limits.retryInterval;
        entry.nextRequest = now;
        break;
    case StartResult::StaleEpoch:
        runtime.awaitsPoll = true;
        entry.phase = entry.phase == WorkerPhase::Fenced ? WorkerPhase::Unfenced : entry.phase;
        entry.nextRequest = now;
        break;
    case StartResult::OlderAttempt:
        runtime.awaitsPoll = true;
        runtime.isOlderAttempt = true;
        entry.nextRequest = now;
        break;
    case StartResult::Unknown:
        runtime.awaitsPoll = true;
        entry.nextRequest = now;
        break;
    case StartResult::NotSent:
        break;
    }
}

void onRenewReply(Dispatcher& d, const ShardKey& key, const base::WorkerId& worker, RequestId, bool isRenewed,
    base::TimePoint now, Effects&)
{
    ShardSlot* slot = findOwned(d, key);
    if (!slot || !slot->workers.contains(worker) || isRenewed)
        return;
    // Refused or lost: the next poll tells which.
    WorkerSlot& entry = slot->workers.at(worker);
    entry.nextRequest = now;
    entry.nextRenew = std::min(entry.nextRenew, now + d.limits.retryInterval);
}

void onTaskReply(Dispatcher& d, const ShardKey& key, const base::WorkerId& worker, RequestId, const base::JobId&,
    std::uint32_t, bool, base::TimePoint now, Effects&)
{
    ShardSlot* slot = findOwned(d, key);
    if (!slot || !slot->workers.contains(worker))
        return;
    // The worker's state tells what became of the request.
    WorkerSlot& entry = slot->workers.at(worker);
    entry.nextRequest = std::min(entry.nextRequest, now + urgentPoll);
}

void onReports(Dispatcher& d, const ShardKey& key, const WorkerReport& report, base::TimePoint now, Effects& out)
{
    ShardSlot* slot = findOwned(d, key);
    if (!slot || !slot->workers.contains(report.worker))
        return;
    WorkerSlot& entry = slot->workers.at(report.worker);
    if (!entry.hasCapacity)
        return;
    FleetWorker& fleetWorker = slot->fleet.workers[entry.fleetIndex];
    const auto cpu = static_cast<double>(std::max<std::int64_t>(1, fleetWorker.info.capacity.cpuMilli));
    double load = 0;
    for (const UsageReport& usage : report.tasks) {
        const auto found = slot->shard.jobs.find(usage.task);
        FleetTask* task = findTask(slot->fleet, entry.fleetIndex, usage.task);
        if (found == slot->shard.jobs.end() || !task || found->second.attempt != usage.attempt)
            continue;
        Job& job = found->second;
        load += static_cast<double>(usage.used.cpuMilli) / cpu;
        task->measured = usage.used;
        observeUse(d.usage, job.spec.service, job.spec.resources, usage.used);
        if (!usage.event.empty() && job.spec.jobClass == JobClass::Watch) {
            appendEvent(job, usage.event, d.limits.shard);
            touch(*slot);
        }
        std::vector<Neighbour> neighbours;
        for (const FleetTask& other : fleetWorker.tasks) {
            if (other.id != usage.task) {
                const Resources& used = other.measured.cpuMilli > 0 ? other.measured : other.granted;
                neighbours.push_back({ other.service, static_cast<double>(used.cpuMilli) / cpu });
            }
        }
        observe(d.interference, task->service, neighbours, usage.slowdown);
    }
    refreshWorker(slot->fleet, entry.fleetIndex);
    respondToPressure(d, *slot, entry, std::max(load, report.cpuLoad), now, out);
}

} // namespace lacewing::batch
