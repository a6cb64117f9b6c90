// Choice of the worker on which room is held, and the bounds on holds.
#include "scheduler/restart_room.h"

#include "scheduler/approval.h"

#include <algorithm>
#include <vector>

namespace lacewing::scheduler {

namespace {

    constexpr int maxSearchesPerPlan = 2;       // bounds the time of a plan
    constexpr Millis searchPeriodMs = 1000;     // ms between searches for one task
    constexpr double maxHeldWorkersShare = 0.1; // of a service's workers, rounded up; the others go on with short tasks
    constexpr Millis maxHoldMs = 6000;          // ms; longest expected time until the room is there (bound on restarts)
    constexpr Millis lateMs = 1000;             // ms after the expected time until another worker may be chosen

    // A run that ends by itself, or is being stopped, and the step whose resources it frees.
    struct EndingRun {
        Millis leftMs = 0;
        const Step* step = nullptr;
    };

    bool isEnding(const TaskRef& ref) { return !ref.step->isLasting || ref.task->phase == TaskPhase::Stopping; }

    Millis leftMs(const Planner& planner, const TaskRef& ref)
    {
        const Task& task = *ref.task;
        if (task.phase == TaskPhase::Stopping)
            return planner.scheduler.limits.stopTimeoutMs;
        if (task.percent <= 0 || task.startedAt == 0)
            return static_cast<Millis>(ref.step->estimateMs) * (100 - std::clamp(task.percent, 0, 100)) / 100;
        return (planner.now - task.startedAt) * (100 - task.percent) / task.percent;
    }

    Capacity needOf(const Step& step) { return { step.isFilling ? 0 : step.cpuMillicores, step.memoryMb, step.gpus }; }

    void add(Capacity& sum, const Capacity& part)
    {
        sum.cpuMillicores += part.cpuMillicores;
        sum.memoryMb += part.memoryMb;
        sum.gpus += part.gpus;
    }

    bool covers(const Capacity& free, const Capacity& need)
    {
        return free.cpuMillicores >= need.cpuMillicores && free.memoryMb >= need.memoryMb && free.gpus >= need.gpus;
    }

    // Time until the worker is expected to have the resources; nullopt: lasting tasks, or other holds, keep them.
    std::optional<Millis> roomAfterMs(const Planner& planner, const PlannedWorker& planned, const Capacity& need)
    {
        const Capacity freeNow { planned.freeCpu, planned.freeMemory, planned.freeGpus };
        Capacity free = freeNow;
        for (const auto& [name, ref] : planned.worker->tasks) {
            if (isEnding(ref))
                add(free, needOf(*ref.step));
        }
        if (!covers(free, need))
            return std::nullopt;
        std::vector<EndingRun> runs;
        for (const auto& [name, ref] : planned.worker->tasks) {
            if (isEnding(ref))
                runs.push_back({ leftMs(planner, ref), ref.step });
        }
        std::sort(runs.begin(), runs.end(), [](const EndingRun& a, const EndingRun& b) { return a.leftMs < b.leftMs; });
        Millis after = 0;
        free = freeNow;
        for (auto run = runs.begin(); run != runs.end() && !covers(free, need); ++run) {
            after = run->leftMs;
            add(free, needOf(*run->step));
        }
        return after;
    }

    bool isSuitable(const Planner& planner, const PlannedWorker& planned, const TaskRef& ref)
    {
        const Worker& worker = *planned.worker;
        const Step& step = *ref.step;
        return planned.acceptsTasks && (step.requiredLabel.empty() || hasLabel(worker.entry, step.requiredLabel))
            && (step.latencyTargetMs == 0 || worker.vacantUntil == 0) && mayUse(planner, worker, ref);
    }

    bool mayHold(const Pool& pool, const PlannedWorker& planned)
    {
        return planned.isHeld
            || pool.heldWorkers < std::max(1.0, maxHeldWorkersShare * static_cast<double>(pool.workers.size()));
    }

    // The worker that is expected to have the room first; null: none within maxHoldMs, or the task waits for something
    // else.
    PlannedWorker* findWorker(Planner& planner, Pool& pool, const TaskRef& ref)
    {
        PlannedWorker* best = nullptr;
        Millis bestMs = maxHoldMs + 1;
        const Capacity need = needOf(*ref.step);
        for (PlannedWorker& planned : pool.workers) {
            if (!isSuitable(planner, planned, ref) || !wasApproved(ref, planned.worker->entry.id))
                continue;
            if (fits(planned, *ref.step) && isApproved(ref, planned.worker->entry.id, planner.now))
                return nullptr;
            const std::optional<Millis> after
                = mayHold(pool, planned) ? roomAfterMs(planner, planned, need) : std::nullopt;
            if (after && *after < bestMs) {
                best = &planned;
                bestMs = *after;
            }
        }
        if (!best)
            return nullptr;
        ref.task->heldWorker = best->worker->entry.id;
        ref.task->heldUntil = planner.now + bestMs + lateMs;
        logRunDecision(planner.scheduler, ref,
            { "roomHeld", ref.job->request.id, nameOf(ref), best->worker->entry.id, ref.task->run, "held",
                { { "expectedMs", bestMs }, { "waitedMs", planner.now - ref.task->phaseSince },
                    { "freeMillicores", best->freeCpu }, { "freeMb", best->freeMemory } },
                ref.step->image });
        return best;
    }

    // The worker chosen by an earlier plan; null: none, or it can no longer be used, or its room does not come.
    PlannedWorker* chosenWorker(const Planner& planner, Pool& pool, const TaskRef& ref)
    {
        if (ref.task->heldWorker.empty() || planner.now > ref.task->heldUntil)
            return nullptr;
        const auto found = std::lower_bound(pool.workers.begin(), pool.workers.end(), ref.task->heldWorker,
            [](const PlannedWorker& planned, const std::string& id) { return planned.worker->entry.id < id; });
        const bool isUsable = found != pool.workers.end() && found->worker->entry.id == ref.task->heldWorker
            && isSuitable(planner, *found, ref) && wasApproved(ref, ref.task->heldWorker) && mayHold(pool, *found);
        return isUsable ? &*found : nullptr;
    }

    void hold(Planner& planner, Pool& pool, const TaskRef& ref)
    {
        Task& task = *ref.task;
        PlannedWorker* planned = chosenWorker(planner, pool, ref);
        if (!planned) {
            task.heldWorker.clear();
            const bool isRecent = task.roomSearchedAt > 0 && planner.now - task.roomSearchedAt < searchPeriodMs;
            if (isRecent || planner.roomSearches >= maxSearchesPerPlan)
                return;
            ++planner.roomSearches;
            task.roomSearchedAt = planner.now;
            planned = findWorker(planner, pool, ref);
        }
        if (!planned)
            return;
        pool.heldWorkers += planned->isHeld ? 0 : 1;
        planned->isHeld = true;
        holdRoom(pool, *planned, *ref.step);
        holdUsage(usageOf(planner, *ref.job), *ref.step, 1);
    }

} // namespace

void holdRoom(Pool& pool, PlannedWorker& planned, const Step& step)
{
    add(planned.held, needOf(step));
    recordChange(pool, planned);
}

std::optional<Millis> expectedRoomMs(const Planner& planner, const Worker& worker, const TaskRef& ref)
{
    for (const Pool& pool : planner.pools) {
        if (pool.service != ref.job->policy.service)
            continue;
        const auto found = std::lower_bound(pool.workers.begin(), pool.workers.end(), worker.entry.id,
            [](const PlannedWorker& planned, const std::string& id) { return planned.worker->entry.id < id; });
        if (found == pool.workers.end() || found->worker != &worker || !isSuitable(planner, *found, ref))
            return std::nullopt;
        const std::optional<Millis> after = roomAfterMs(planner, *found, needOf(*ref.step));
        return after && *after <= maxHoldMs ? after : std::nullopt;
    }
    return std::nullopt;
}

void holdRestartRoom(Planner& planner, Pool& pool, const Candidate& candidate)
{
    const Step& step = candidate.job->request.steps[static_cast<std::size_t>(candidate.stepNumber)];
    if (!candidate.isRestart || step.isGang)
        return;
    for (int i = 0; i < step.count; ++i) {
        if (!hasCapRoom(candidate.account, step, 1))
            return;
        const TaskRef ref = refOf(candidate, i);
        if (ref.task->phase == TaskPhase::Waiting && hasEverRun(*ref.task))
            hold(planner, pool, ref);
    }
}

} // namespace lacewing::scheduler
