#include "scheduler/restart_room.h"

#include "scheduler/approval.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace lacewing::scheduler {

namespace {

    constexpr int maxSearchesPerPlan = 4;       // bounds the time of a plan
    constexpr double maxHeldWorkersShare = 0.1; // of a service; all other workers go on with shorter tasks

    // A run that ends by itself, or is being stopped, and the step whose resources it frees.
    struct EndingRun {
        Millis leftMs = 0;
        const Step* step = nullptr;
    };

    Millis leftMs(const Planner& planner, const TaskRef& ref)
    {
        const Task& task = *ref.task;
        if (task.phase == TaskPhase::Stopping)
            return planner.scheduler.limits.stopTimeoutMs;
        if (task.percent <= 0 || task.startedAt == 0)
            return ref.step->estimateMs;
        return (planner.now - task.startedAt) * (100 - task.percent) / task.percent;
    }

    void release(Capacity& free, const Step& step)
    {
        free.cpuMillicores += step.isFilling ? 0 : step.cpuMillicores;
        free.memoryMb += step.memoryMb;
        free.gpus += step.gpus;
    }

    bool suffices(const Capacity& free, const Step& step)
    {
        return free.cpuMillicores >= step.cpuMillicores && free.memoryMb >= step.memoryMb && free.gpus >= step.gpus;
    }

    // Time until the worker is expected to have the resources of the step; nullopt: lasting tasks, or held room, use
    // them.
    std::optional<Millis> roomAfterMs(const Planner& planner, const PlannedWorker& planned, const Step& step)
    {
        const Capacity freeNow { planned.freeCpu, planned.freeMemory, planned.freeGpus };
        Capacity free = freeNow;
        const auto isEnding
            = [](const TaskRef& ref) { return !ref.step->isLasting || ref.task->phase == TaskPhase::Stopping; };
        for (const auto& [name, ref] : planned.worker->tasks) {
            if (isEnding(ref))
                release(free, *ref.step);
        }
        if (!suffices(free, step))
            return std::nullopt;
        std::vector<EndingRun> runs;
        for (const auto& [name, ref] : planned.worker->tasks) {
            if (isEnding(ref))
                runs.push_back({ leftMs(planner, ref), ref.step });
        }
        std::sort(runs.begin(), runs.end(), [](const EndingRun& a, const EndingRun& b) { return a.leftMs < b.leftMs; });
        Millis after = 0;
        free = freeNow;
        for (auto run = runs.begin(); run != runs.end() && !suffices(free, step); ++run) {
            after = run->leftMs;
            release(free, *run->step);
        }
        return after;
    }

    bool isSuitable(const Planner& planner, const PlannedWorker& planned, const TaskRef& ref)
    {
        const Worker& worker = *planned.worker;
        const Step& step = *ref.step;
        return planned.acceptsTasks && (step.requiredLabel.empty() || hasLabel(worker.entry, step.requiredLabel))
            && mayUse(planner, worker, ref)
            && (!ref.job->policy.approval.isNeeded || isApproved(ref, worker.entry.id, planner.now));
    }

    // The worker that is expected to have room first; null: none will.
    PlannedWorker* findWorker(Planner& planner, Pool& pool, const TaskRef& ref)
    {
        PlannedWorker* best = nullptr;
        Millis bestMs = std::numeric_limits<Millis>::max();
        for (PlannedWorker& planned : pool.workers) {
            if (!isSuitable(planner, planned, ref))
                continue;
            const std::optional<Millis> after = roomAfterMs(planner, planned, *ref.step);
            if (after && *after < bestMs) {
                best = &planned;
                bestMs = *after;
            }
        }
        return best;
    }

    // The worker chosen by an earlier plan; null: none, or it can no longer be used.
    PlannedWorker* chosenWorker(const Planner& planner, Pool& pool, const TaskRef& ref)
    {
        const auto found = std::find_if(pool.workers.begin(), pool.workers.end(),
            [&](const PlannedWorker& planned) { return planned.worker->entry.id == ref.task->heldWorker; });
        const bool isUsable = found != pool.workers.end() && isSuitable(planner, *found, ref)
            && roomAfterMs(planner, *found, *ref.step);
        return isUsable ? &*found : nullptr;
    }

    bool isHeld(const PlannedWorker& planned) { return planned.held.cpuMillicores > 0 || planned.held.memoryMb > 0; }

    bool mayHold(const Pool& pool, const PlannedWorker& planned)
    {
        const auto held = static_cast<double>(std::count_if(pool.workers.begin(), pool.workers.end(), isHeld));
        return isHeld(planned) || held < std::max(1.0, maxHeldWorkersShare * static_cast<double>(pool.workers.size()));
    }

    void logHold(Planner& planner, const PlannedWorker& planned, const TaskRef& ref)
    {
        logRunDecision(planner.scheduler, ref,
            { "roomHeld", ref.job->request.id, nameOf(ref), planned.worker->entry.id, ref.task->run, "held",
                { { "expectedMs", roomAfterMs(planner, planned, *ref.step).value_or(-1) },
                    { "waitedMs", planner.now - ref.task->phaseSince }, { "freeMillicores", planned.freeCpu },
                    { "freeMb", planned.freeMemory } },
                ref.step->image });
    }

    void hold(Planner& planner, Pool& pool, const TaskRef& ref)
    {
        PlannedWorker* planned = ref.task->heldWorker.empty() ? nullptr : chosenWorker(planner, pool, ref);
        if (!planned) {
            ref.task->heldWorker.clear();
            if (planner.restartSearches >= maxSearchesPerPlan)
                return;
            ++planner.restartSearches;
            planned = findWorker(planner, pool, ref);
        }
        if (!planned || !mayHold(pool, *planned))
            return;
        if (ref.task->heldWorker.empty())
            logHold(planner, *planned, ref);
        ref.task->heldWorker = planned->worker->entry.id;
        planned->held.cpuMillicores += ref.step->cpuMillicores;
        planned->held.memoryMb += ref.step->memoryMb;
        planned->held.gpus += ref.step->gpus;
        recordChange(pool, *planned);
    }

} // namespace

void holdRestartRoom(Planner& planner, Pool& pool, const Candidate& candidate)
{
    if (!candidate.isRestart)
        return;
    const Step& step = candidate.job->request.steps[static_cast<std::size_t>(candidate.stepNumber)];
    for (int i = 0; i < step.count; ++i) {
        const TaskRef ref = refOf(candidate, i);
        if (ref.task->phase == TaskPhase::Waiting && hasEverRun(*ref.task))
            hold(planner, pool, ref);
    }
}

} // namespace lacewing::scheduler
