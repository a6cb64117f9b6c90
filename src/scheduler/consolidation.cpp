// Selection of the workers to vacate, and moves of the serving tasks on them.
#include "scheduler/consolidation.h"

#include "scheduler/approval.h"

#include <algorithm>

namespace lacewing::scheduler {

namespace {

    constexpr Millis consolidationPeriodMs = 250; // ms between passes
    constexpr Millis demandWaitMs = 1000;         // ms; filling tasks that have waited longer count as demand
    constexpr Millis vacantMs = 4000; // ms without demand after which a vacated worker takes serving tasks again
    constexpr double maxVacatedShare
        = 0.6;                          // of a worker's processors; workers with more serving tasks stay as they are
    constexpr Millis moveMs = 5000;     // ms that a move may take
    constexpr Millis vacatingMs = 6000; // ms after which a worker that still has serving tasks keeps them
    constexpr Millis minStayMs = 15000; // ms between two moves of a task, and between two choices of a worker
    constexpr int maxUnfitWorkers = 8;  // that a pass examines without result; bounds its cost
    constexpr int workersPerMove = 12;  // of a service, for each serving task that may be on the move
    // Demand that is worth vacating a worker, as a share of its processors; for a job with nothing running, any is.
    constexpr double minDemandShare = 0.5;

    bool isServing(const Step& step) { return step.latencyTargetMs > 0; }

    bool isVacated(const Worker& worker) { return worker.vacantUntil > 0; }

    bool isAtWork(const Task& task)
    {
        return task.phase == TaskPhase::Running && task.percent >= 100 && task.host
            && task.host->contact == Contact::Established;
    }

    // The approval of another worker could take longer than a move.
    bool isMovable(Planner& planner, const TaskRef& ref)
    {
        const Millis now = planner.now;
        return mayReturn(usageOf(planner, *ref.job)) && !ref.job->policy.approval.isNeeded
            && (ref.task->movedAt == 0 || now - ref.task->movedAt >= minStayMs);
    }

    // Moves make one task of a step unavailable at a time, and none while another one is down for any reason.
    bool mayMove(Planner& planner, const TaskRef& ref)
    {
        return isMovable(planner, ref) && std::all_of(ref.progress->tasks.begin(), ref.progress->tasks.end(), isAtWork);
    }

    bool isMoving(const Task& task, Millis now)
    {
        return task.movedAt > 0 && now - task.movedAt < moveMs && !isAtWork(task);
    }

    // Free resources of a worker that may receive serving tasks.
    struct Room {
        const Worker* worker = nullptr;
        int cpuMillicores = 0;
        int memoryMb = 0;
        int gpus = 0;
    };

    bool hasRoomFor(const Room& room, const TaskRef& ref)
    {
        const Step& step = *ref.step;
        const auto isOnWorker = [&](const Task& task) { return task.host == room.worker; };
        return room.worker != ref.task->host && room.cpuMillicores >= step.cpuMillicores
            && room.memoryMb >= step.memoryMb && room.gpus >= step.gpus
            && (step.requiredLabel.empty() || hasLabel(room.worker->entry, step.requiredLabel))
            && (step.maxPerWorker <= 0
                || std::count_if(ref.progress->tasks.begin(), ref.progress->tasks.end(), isOnWorker)
                    < step.maxPerWorker);
    }

    // Takes the room for the task from the fullest worker that has it; false: there is none.
    bool takeRoom(std::vector<Room>& rooms, const TaskRef& ref)
    {
        Room* fullest = nullptr;
        for (Room& room : rooms) {
            if (hasRoomFor(room, ref) && (!fullest || room.cpuMillicores < fullest->cpuMillicores))
                fullest = &room;
        }
        if (!fullest)
            return false;
        fullest->cpuMillicores -= ref.step->cpuMillicores;
        fullest->memoryMb -= ref.step->memoryMb;
        fullest->gpus -= ref.step->gpus;
        return true;
    }

    std::vector<TaskRef> servingTasks(const Worker& worker)
    {
        std::vector<TaskRef> tasks;
        for (const auto& [name, ref] : worker.tasks) {
            if (isServing(*ref.step))
                tasks.push_back(ref);
        }
        return tasks;
    }

    // Filling tasks of a service that have waited for long.
    struct Demand {
        double millicores = 0;
        bool hasIdleJob = false; // a job with nothing running is among them
    };

    // Whether a worker has everything for the task but serving tasks that tolerate it.
    bool isHeldUpByServing(const Planner& planner, const Pool& pool, const TaskRef& ref)
    {
        return std::any_of(pool.workers.begin(), pool.workers.end(), [&](const PlannedWorker& planned) {
            return planned.worker->servingCpu > 0 && hasRoom(planned, *ref.step)
                && isApproved(ref, planned.worker->entry.id, planner.now);
        });
    }

    Demand waitingDemand(const Planner& planner, const Pool& pool)
    {
        Demand demand;
        for (const Candidate& candidate : planner.candidates) {
            const auto index = static_cast<std::size_t>(candidate.stepNumber);
            const Step& step = candidate.job->request.steps[index];
            const StepProgress& progress = candidate.occurrence->steps[index];
            if (!step.isFilling || candidate.job->policy.service != pool.service
                || !hasCapRoom(candidate.account, step, tasksTogether(step))
                || planner.now - progress.readySince < demandWaitMs)
                continue;
            if (!isHeldUpByServing(planner, pool, refOf(candidate, 0)))
                continue;
            const auto waiting = std::min<std::ptrdiff_t>(candidate.startable,
                std::count_if(progress.tasks.begin(), progress.tasks.end(),
                    [](const Task& task) { return task.phase == TaskPhase::Waiting; }));
            demand.millicores += static_cast<double>(waiting) * step.cpuMillicores;
            demand.hasIdleJob = demand.hasIdleJob || (candidate.idleSince > 0 && progress.placed == 0);
        }
        return demand;
    }

    // Lasting tasks that lost their run get the room first.
    bool isRestartWaiting(const Planner& planner, const std::string& service)
    {
        const auto isRecent = [&](const Task& task) {
            return task.phase == TaskPhase::Waiting && planner.now - task.phaseSince < moveMs;
        };
        return std::any_of(planner.candidates.begin(), planner.candidates.end(), [&](const Candidate& candidate) {
            const auto index = static_cast<std::size_t>(candidate.stepNumber);
            const StepProgress& progress = candidate.occurrence->steps[index];
            const Step& step = candidate.job->request.steps[index];
            return candidate.isRestart && mayFitCap(candidate.account, step, tasksTogether(step))
                && candidate.job->policy.service == service
                && std::any_of(progress.tasks.begin(), progress.tasks.end(), isRecent);
        });
    }

    // One pass over the workers of a service.
    struct Consolidation {
        Planner& planner;
        Pool& pool;
        Demand demand = {};
        double vacating = 0; // millicores of the workers that are being vacated
        int moving = 0;      // serving tasks that were stopped to be moved and are not at work yet
        int maxMoving = 1;
        std::vector<Room> rooms = {}; // of workers that keep their serving tasks
    };

    void updateVacated(Consolidation& pass, Worker& worker)
    {
        if (!isVacated(worker))
            return;
        const Millis now = pass.planner.now;
        const bool isStuck = worker.servingCpu > 0 && now - worker.vacatedAt >= vacatingMs;
        if (pass.demand.millicores > 0 && !isStuck)
            worker.vacantUntil = now + vacantMs;
        if (now < worker.vacantUntil && !isStuck)
            return;
        worker.vacantUntil = 0;
        logDecision(pass.planner.scheduler,
            { "workerVacated", {}, {}, worker.entry.id, 0, "takes serving tasks again",
                { { "servingMillicores", worker.servingCpu } } });
    }

    void survey(Consolidation& pass)
    {
        for (PlannedWorker& planned : pass.pool.workers) {
            Worker& worker = *planned.worker;
            updateVacated(pass, worker);
            for (const TaskRef& ref : servingTasks(worker))
                pass.moving += isMoving(*ref.task, pass.planner.now) ? 1 : 0;
            if (worker.servingCpu == 0)
                continue;
            if (isVacated(worker))
                pass.vacating += worker.entry.capacity.cpuMillicores;
            else if (planned.acceptsTasks)
                pass.rooms.push_back({ &worker, planned.freeCpu, planned.freeMemory, planned.freeGpus });
        }
        for (const PlannedWorker& planned : pass.pool.workers) { // tasks that are being stopped need their room soon
            for (const TaskRef& ref : servingTasks(*planned.worker)) {
                if (ref.task->phase == TaskPhase::Stopping)
                    takeRoom(pass.rooms, ref);
            }
        }
    }

    // Orders the stops of as many serving tasks of a vacated worker as may move now. A worker stays vacated for a while
    // after the demand has gone, but its remaining tasks stay.
    void moveTasks(Consolidation& pass, Worker& worker)
    {
        if (pass.demand.millicores <= 0)
            return;
        Scheduler& scheduler = pass.planner.scheduler;
        for (const TaskRef& ref : servingTasks(worker)) {
            if (pass.moving >= pass.maxMoving)
                return;
            if (!mayMove(pass.planner, ref) || !takeRoom(pass.rooms, ref))
                continue;
            ++pass.moving;
            ++scheduler.servingMoves;
            ref.task->movedAt = pass.planner.now;
            orderStop(scheduler, pass.planner.orders, ref, "worker is vacated",
                { { "demandMillicores", static_cast<std::int64_t>(pass.demand.millicores) },
                    { "servingMillicores", worker.servingCpu } },
                pass.planner.now);
        }
    }

    bool isWorthVacating(const Consolidation& pass, const Worker& worker)
    {
        const int capacity = worker.entry.capacity.cpuMillicores;
        const bool isWanted = pass.demand.millicores - pass.vacating >= minDemandShare * capacity
            || (pass.demand.hasIdleJob && pass.vacating == 0);
        const bool isRested = worker.vacatedAt == 0 || pass.planner.now - worker.vacatedAt >= minStayMs;
        return isWanted && isRested && !isVacated(worker) && worker.servingCpu > 0
            && worker.servingCpu <= maxVacatedShare * capacity;
    }

    // Workers that are worth vacating, those with the smallest share of serving tasks first.
    std::vector<Worker*> vacatableWorkers(const Consolidation& pass)
    {
        std::vector<Worker*> workers;
        for (const PlannedWorker& planned : pass.pool.workers) {
            if (isWorthVacating(pass, *planned.worker))
                workers.push_back(planned.worker);
        }
        std::sort(workers.begin(), workers.end(), [](const Worker* a, const Worker* b) {
            return cpuShareOf(*a, a->servingCpu) < cpuShareOf(*b, b->servingCpu);
        });
        return workers;
    }

    // False when other workers do not have room for all serving tasks of the worker.
    bool vacate(Consolidation& pass, Worker& worker)
    {
        std::vector<Room> others;
        std::copy_if(pass.rooms.begin(), pass.rooms.end(), std::back_inserter(others),
            [&](const Room& room) { return room.worker != &worker; });
        std::vector<Room> left = others;
        const std::vector<TaskRef> tasks = servingTasks(worker);
        if (!std::all_of(tasks.begin(), tasks.end(),
                [&](const TaskRef& ref) { return isMovable(pass.planner, ref) && takeRoom(left, ref); }))
            return false;
        pass.rooms = std::move(others);
        pass.vacating += worker.entry.capacity.cpuMillicores;
        worker.vacatedAt = pass.planner.now;
        worker.vacantUntil = pass.planner.now + vacantMs;
        logDecision(pass.planner.scheduler,
            { "workerVacated", {}, {}, worker.entry.id, 0, "vacating",
                { { "servingMillicores", worker.servingCpu },
                    { "demandMillicores", static_cast<std::int64_t>(pass.demand.millicores) } } });
        return true;
    }

    void consolidatePool(Planner& planner, Pool& pool)
    {
        Consolidation pass { planner, pool };
        pass.demand = waitingDemand(planner, pool);
        pass.maxMoving = std::max(1, static_cast<int>(pool.workers.size()) / workersPerMove);
        survey(pass);
        for (PlannedWorker& planned : pool.workers) {
            if (isVacated(*planned.worker))
                moveTasks(pass, *planned.worker);
        }
        int unfit = 0;
        for (Worker* worker : vacatableWorkers(pass)) {
            if (pass.moving >= pass.maxMoving || unfit >= maxUnfitWorkers)
                return;
            if (!isWorthVacating(pass, *worker))
                continue;
            if (vacate(pass, *worker))
                moveTasks(pass, *worker);
            else
                ++unfit;
        }
    }

} // namespace

void consolidateServing(Planner& planner)
{
    Scheduler& scheduler = planner.scheduler;
    if (planner.now - scheduler.consolidatedAt < consolidationPeriodMs || !scheduler.isReconciled)
        return;
    scheduler.consolidatedAt = planner.now;
    for (Pool& pool : planner.pools) {
        if (!isRestartWaiting(planner, pool.service))
            consolidatePool(planner, pool);
    }
}

} // namespace lacewing::scheduler
