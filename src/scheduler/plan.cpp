// Placement: which waiting task starts where.
//
// Order of waiting tasks: priority of the queue, then jobs that can still reach their deadline (the longest chain times
// the allowed stretch) before those that cannot, then the deadline itself. A task that fits nowhere does not hold back
// smaller ones behind it.
#include "scheduler/approval.h"
#include "scheduler/colocation.h"
#include "scheduler/planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace lacewing::scheduler {

namespace {

    constexpr double fillShare = 0.75; // a filling task starts with at least this share of its cpu
    constexpr double slowWorker = 1.8; // slowness against the mean at which others are preferred
    // Weights of a worker's score, against the share of its processors that is free.
    constexpr double sameImageWeight = 2;         // of the share of its serving tasks with the same image
    constexpr double dataRackWeight = 10;         // of being on the rack of the data: goes before all others
    constexpr double disturbanceWeight = 2;       // of the level of disturbance that a filling task would cause
    constexpr double scarcityWeight = 1;          // of how much other filling images need the worker
    constexpr double slowWeight = 5;              // against a slow worker: goes before all but the rack
    constexpr Millis dataRackWaitMs = 1500;       // ms that a task waits for room on the rack of its data
    constexpr double shortDemandMemoryMs = 15000; // ms; decay of the remembered need of short tasks
    constexpr double shortShareLimit = 0.15;      // of a service's processors that are kept for short tasks at most

    // Remembers for a while how much room short tasks need: they are worth more for each processor second than lasting
    // tasks, which would otherwise take what is free between two short ones.
    void updateShortDemand(Planner& planner)
    {
        Scheduler& scheduler = planner.scheduler;
        for (const Candidate& candidate : planner.candidates) {
            const Step& step = candidate.job->request.steps[static_cast<std::size_t>(candidate.stepNumber)];
            if (step.isFilling || step.isLasting)
                continue;
            const StepProgress& progress = candidate.occurrence->steps[static_cast<std::size_t>(candidate.stepNumber)];
            for (const Task& task : progress.tasks)
                planner.rooms[candidate.job->policy.service].shortWaiting
                    += task.phase == TaskPhase::Waiting ? step.cpuMillicores : 0;
        }
        for (const auto& [service, workers] : planner.usable) {
            Room& room = planner.rooms[service];
            for (const Worker* worker : workers) {
                room.capacity += worker->entry.capacity.cpuMillicores;
                room.lasting += worker->lastingCpu;
                room.shortRunning += worker->cpuUsed - worker->lastingCpu;
            }
        }
        const auto passed = static_cast<double>(planner.now - scheduler.shortDemandAt);
        scheduler.shortDemandAt = planner.now;
        for (const auto& [service, room] : planner.rooms) {
            double& demand = scheduler.shortDemand[service];
            demand = std::max(demand * std::exp(-passed / shortDemandMemoryMs), room.shortRunning + room.shortWaiting);
        }
    }

    bool leavesRoomForShort(const Planner& planner, const TaskRef& ref)
    {
        const auto room = planner.rooms.find(ref.job->policy.service);
        const auto demand = planner.scheduler.shortDemand.find(ref.job->policy.service);
        if (room == planner.rooms.end() || demand == planner.scheduler.shortDemand.end())
            return true;
        const double kept = std::min(demand->second, room->second.capacity * shortShareLimit);
        return room->second.lasting + ref.step->cpuMillicores + kept <= room->second.capacity;
    }

    bool mayUse(const Planner& planner, const Worker& worker, const TaskRef& ref)
    {
        const std::string& id = worker.entry.id;
        if (worker.avoidUntil > planner.now || worker.fullUntil > planner.now || ref.task->failedWorker == id)
            return false;
        if (!ref.step->requiredLabel.empty() && !hasLabel(worker.entry, ref.step->requiredLabel))
            return false;
        if (ref.step->maxPerWorker <= 0)
            return true;
        const auto count = planner.stepOnWorker.find(id);
        return count == planner.stepOnWorker.end() || count->second < ref.step->maxPerWorker;
    }

    bool fits(const Worker& worker, const Step& step)
    {
        const Capacity& capacity = worker.entry.capacity;
        if (worker.memoryUsed + step.memoryMb > capacity.memoryMb || worker.gpusUsed + step.gpus > capacity.gpus)
            return false;
        if (step.isFilling)
            return worker.hotSince == 0 && fillRoom(worker) >= step.cpuMillicores * fillShare;
        return worker.cpuUsed + step.cpuMillicores <= capacity.cpuMillicores;
    }

    // Higher is better.
    double scoreOf(Planner& planner, const Worker& worker, const TaskRef& ref)
    {
        const Step& step = *ref.step;
        const double capacity = std::max(1, worker.entry.capacity.cpuMillicores);
        // Tasks spread over what is free, filling ones over what is idle.
        double score = (step.isFilling ? fillRoom(worker) : capacity - worker.cpuUsed) / capacity;
        // Serving tasks are packed, and those of one image share workers: what disturbs them then leaves the other
        // workers usable.
        if (step.latencyTargetMs > 0)
            score = sameImageWeight * sameImageShare(worker, step)
                - std::min(1.0, disturbanceOf(planner.scheduler, worker, step)) - score;
        if (step.isFilling)
            score -= scarcityWeight * scarcity(planner, worker);
        if (!step.dataRack.empty() && hasLabel(worker.entry, step.dataRack))
            score += dataRackWeight;
        if (worker.slowness > slowWorker * planner.meanSlowness)
            score -= slowWeight;
        return score - worker.failureScore;
    }

    Worker* chooseWorker(Planner& planner, const TaskRef& ref, const std::string& rack)
    {
        Worker* best = nullptr;
        double bestScore = 0;
        for (Worker* candidate : planner.usable[ref.job->policy.service]) {
            Worker& worker = *candidate;
            if (!fits(worker, *ref.step) || !mayUse(planner, worker, ref)
                || !isApproved(ref, worker.entry.id, planner.now) || (!rack.empty() && !hasLabel(worker.entry, rack)))
                continue;
            double score = scoreOf(planner, worker, ref);
            if (ref.step->isFilling && worker.servingCpu > 0) {
                const double level = disturbance(planner, worker, *ref.step);
                if (level > disturbanceLimit(planner, worker, ref))
                    continue;
                score -= disturbanceWeight * level;
            }
            if (!best || score > bestScore) {
                best = &worker;
                bestScore = score;
            }
        }
        return best;
    }

    void startOn(Planner& planner, const TaskRef& ref, Worker& worker, int run)
    {
        Scheduler& scheduler = planner.scheduler;
        Task& task = *ref.task;
        task.phase = TaskPhase::Starting;
        task.run = run;
        task.since = planner.now;
        task.startedAt = 0;
        task.percent = 0;
        task.progressAt = planner.now;
        task.reading = 0;
        task.lastStopAt = 0;
        task.isConfirmed = false;
        const double wait = static_cast<double>(scheduler.limits.startDeadlineMs) / scheduler.limits.workerClockRate;
        task.startDeadlineAt = planner.now + static_cast<Millis>(wait) + scheduler.limits.leaseSlackMs;
        StartOrder order;
        order.worker = worker.entry.id;
        order.task = nameOf(ref);
        order.run = run;
        order.payload = ref.job->request.payload;
        order.checkpoint = task.checkpoint;
        order.ticket = ticketFor(ref, order.worker);
        order.deadlineClockMs = latestClock(worker, planner.now) + scheduler.limits.startDeadlineMs;
        worker.grantedClockMs = std::max(worker.grantedClockMs, order.deadlineClockMs);
        note(scheduler,
            { "start", ref.job->request.id, order.task, order.worker, run, "ordered",
                { { "freeMillicores", worker.entry.capacity.cpuMillicores - worker.cpuUsed },
                    { "reportAgeMs", planner.now - worker.reportedAt },
                    { "waitedMs", planner.now - ref.progress->readySince }, { "priority", ref.job->policy.priority },
                    { "millicores", ref.step->cpuMillicores }, { "isLasting", ref.step->isLasting ? 1 : 0 },
                    { "token", scheduler.token } },
                ref.step->image });
        if (ref.step->isFilling && worker.servingCpu > 0)
            countFill(planner, worker, *ref.step);
        takeRoom(worker, ref);
        if (ref.step->maxPerWorker > 0)
            ++planner.stepOnWorker[worker.entry.id];
        ++scheduler.starts;
        planner.orders.starts.push_back(std::move(order));
    }

    void countStep(Planner& planner, const Candidate& candidate)
    {
        planner.stepOnWorker.clear();
        if (candidate.job->request.steps[static_cast<std::size_t>(candidate.stepNumber)].maxPerWorker <= 0)
            return;
        const StepProgress& progress = candidate.occurrence->steps[static_cast<std::size_t>(candidate.stepNumber)];
        for (const Task& task : progress.tasks) {
            if (holdsRun(task))
                ++planner.stepOnWorker[task.worker];
        }
    }

    std::string rackOf(const Worker& worker)
    {
        return worker.entry.labels.empty() ? std::string() : worker.entry.labels.back();
    }

    // Racks to try for a step whose tasks should stay together, best first; "" stands for any rack.
    std::vector<std::string> racksFor(const Planner& planner, const Candidate& candidate, const Step& step)
    {
        if (!step.isSameRack)
            return { "" };
        for (const Task& task : candidate.occurrence->steps[static_cast<std::size_t>(candidate.stepNumber)].tasks) {
            const auto found = planner.scheduler.workers.find(task.worker);
            if (found != planner.scheduler.workers.end())
                return { rackOf(found->second), "" };
        }
        std::map<std::string, double> free;
        for (const auto& [id, worker] : planner.scheduler.workers)
            free[rackOf(worker)]
                += step.isFilling ? fillRoom(worker) : worker.entry.capacity.cpuMillicores - worker.cpuUsed;
        std::vector<std::pair<double, std::string>> sorted;
        sorted.reserve(free.size());
        for (const auto& [rack, room] : free)
            sorted.emplace_back(room + (rack == step.dataRack ? 1e9 : 0), rack);
        std::sort(sorted.rbegin(), sorted.rend());
        std::vector<std::string> racks;
        racks.reserve(sorted.size() + 1);
        for (const auto& [room, rack] : sorted)
            racks.push_back(rack);
        if (planner.now - candidate.occurrence->steps[static_cast<std::size_t>(candidate.stepNumber)].readySince
            > dataRackWaitMs)
            racks.emplace_back("");
        return racks;
    }

    struct Placed {
        int index = 0;
        Worker* worker = nullptr;
    };

    // Places all members or none: room is taken while looking and given back when it does not suffice.
    bool placeGang(Planner& planner, const Candidate& candidate, const std::string& rack)
    {
        const Step& step = candidate.job->request.steps[static_cast<std::size_t>(candidate.stepNumber)];
        std::vector<Placed> placed;
        int run = 0;
        std::string checkpoint;
        for (int i = 0; i < step.count; ++i) {
            const TaskRef ref = refOf(candidate, i);
            run = std::max({ run, ref.task->run, ref.task->endedRun });
            if (checkpoint.empty())
                checkpoint = ref.task->checkpoint;
            Worker* worker = chooseWorker(planner, ref, rack);
            if (!worker)
                break;
            takeRoom(*worker, ref);
            if (step.maxPerWorker > 0)
                ++planner.stepOnWorker[worker->entry.id];
            placed.push_back({ i, worker });
        }
        for (const Placed& member : placed) {
            if (step.maxPerWorker > 0)
                --planner.stepOnWorker[member.worker->entry.id];
            releaseRoom(refOf(candidate, member.index));
        }
        if (static_cast<int>(placed.size()) < step.count)
            return false;
        for (const Placed& member : placed) {
            const TaskRef ref = refOf(candidate, member.index);
            ref.task->checkpoint = checkpoint;
            startOn(planner, ref, *member.worker, run + 1);
        }
        return true;
    }

    // Steps with a limit for each worker, racks to choose from, or approvals may fail for reasons of their own.
    bool hasOwnReasons(const Candidate& candidate, const Step& step)
    {
        return step.maxPerWorker > 0 || step.isSameRack || !step.dataRack.empty()
            || candidate.job->policy.approval.isNeeded;
    }

    bool isUnplaced(const Planner& planner, const Candidate& candidate, const Step& step)
    {
        return std::any_of(planner.unplaced.begin(), planner.unplaced.end(), [&](const UnplacedShape& shape) {
            const Step& other = *shape.step;
            const bool isSameKind = step.isFilling == other.isFilling && step.image == other.image
                && step.requiredLabel == other.requiredLabel && *shape.service == candidate.job->policy.service;
            return isSameKind && step.cpuMillicores >= other.cpuMillicores && step.memoryMb >= other.memoryMb
                && step.gpus >= other.gpus;
        });
    }

    bool isLimitReached(const Planner& planner)
    {
        return static_cast<int>(planner.orders.starts.size()) >= planner.scheduler.startLimit;
    }

    void placeStep(Planner& planner, const Candidate& candidate)
    {
        const Step& step = candidate.job->request.steps[static_cast<std::size_t>(candidate.stepNumber)];
        StepProgress& progress = candidate.occurrence->steps[static_cast<std::size_t>(candidate.stepNumber)];
        if (isUnplaced(planner, candidate, step))
            return;
        countStep(planner, candidate);
        const std::vector<std::string> racks = racksFor(planner, candidate, step);
        if (step.isGang) {
            for (const std::string& rack : racks) {
                if (placeGang(planner, candidate, rack))
                    return;
            }
            return;
        }
        for (int i = 0; i < step.count; ++i) {
            const TaskRef ref = refOf(candidate, i);
            if (isLimitReached(planner))
                return;
            if (ref.task->phase != TaskPhase::Waiting)
                continue;
            const bool isFirstRun = ref.task->run == 0;
            if (step.isLasting && isFirstRun && !leavesRoomForShort(planner, ref))
                continue;
            Worker* worker = nullptr;
            for (const std::string& rack : racks) {
                worker = chooseWorker(planner, ref, rack);
                if (worker)
                    break;
            }
            if (!worker && !ref.task->failedWorker.empty()) { // better there again than not at all
                ref.task->failedWorker.clear();
                continue;
            }
            const bool isAway = worker && !step.dataRack.empty() && !hasLabel(worker->entry, step.dataRack);
            if (isAway && planner.now - progress.readySince < dataRackWaitMs)
                continue;
            if (!worker) { // the other tasks of the step have the same shape
                if (!hasOwnReasons(candidate, step))
                    planner.unplaced.push_back({ &candidate.job->policy.service, &step });
                return;
            }
            startOn(planner, ref, *worker, std::max(ref.task->run, ref.task->endedRun) + 1);
            if (step.isLasting)
                planner.rooms[ref.job->policy.service].lasting += step.cpuMillicores;
        }
    }

} // namespace

bool isUsable(const Scheduler& scheduler, const Worker& worker)
{
    return worker.contact == Contact::Held && worker.isListed && !worker.entry.isDraining
        && scheduler.withdrawn.count(worker.entry.dataCentre) == 0;
}

bool hasLabel(const WorkerEntry& entry, const std::string& label)
{
    return std::find(entry.labels.begin(), entry.labels.end(), label) != entry.labels.end();
}

void setConfiguration(Scheduler& scheduler, Configuration configuration)
{
    if (configuration.version < scheduler.configuration.version)
        return;
    scheduler.configuration = std::move(configuration);
    for (const std::string& id : scheduler.active) {
        Job& job = *scheduler.jobs.at(id);
        for (const Queue& queue : scheduler.configuration.queues) {
            if (queue.policy.name == job.policy.name)
                job.policy = queue.policy;
        }
    }
}

void setWithdrawn(Scheduler& scheduler, std::set<std::string> dataCentres)
{
    scheduler.withdrawn = std::move(dataCentres);
}

Orders plan(Scheduler& scheduler, Millis now, std::int64_t nowUnixMs)
{
    Planner planner { scheduler, now, nowUnixMs, {}, {}, 1, {}, {}, {}, {}, false, {}, {}, {} };
    accountWorkers(scheduler, now);
    std::vector<std::string> finished;
    for (const std::string& id : scheduler.active) {
        Job& job = *scheduler.jobs.at(id);
        if (isFinal(job.state) && job.endedUnixMs == 0)
            job.endedUnixMs = nowUnixMs;
        reviewJob(planner, job);
        if (isFinal(job.committedState) && !hasRuns(job))
            finished.push_back(id);
    }
    for (const std::string& id : finished)
        scheduler.active.erase(id);
    stopStrays(planner);
    relievePressure(scheduler, planner.orders, now);
    if (now >= scheduler.validUntil || !scheduler.hasWorkerList)
        return std::move(planner.orders);
    for (auto& [id, worker] : scheduler.workers) {
        if (isUsable(scheduler, worker))
            planner.usable[worker.entry.service].push_back(&worker);
    }
    updateShortDemand(planner);
    updateFillDemand(planner);
    double sum = 0;
    for (const auto& [id, worker] : scheduler.workers)
        sum += worker.slowness;
    planner.meanSlowness = scheduler.workers.empty() ? 1 : sum / static_cast<double>(scheduler.workers.size());
    std::sort(planner.candidates.begin(), planner.candidates.end(), [](const Candidate& a, const Candidate& b) {
        return std::tuple(!a.isRestart, a.job->policy.priority, a.timeliness, a.deadlineUnixMs, a.job->request.id)
            < std::tuple(!b.isRestart, b.job->policy.priority, b.timeliness, b.deadlineUnixMs, b.job->request.id);
    });
    for (const Candidate& candidate : planner.candidates) {
        if (isLimitReached(planner))
            break;
        placeStep(planner, candidate);
    }
    planner.stepOnWorker.clear();
    planner.orders.question = nextQuestion(planner, [&](const Worker& worker, const TaskRef& ref) {
        const bool isPossible = isUsable(scheduler, worker) && worker.entry.service == ref.job->policy.service
            && fits(worker, *ref.step) && mayUse(planner, worker, ref);
        return isPossible ? std::optional(scoreOf(planner, worker, ref)) : std::nullopt;
    });
    scheduler.hasQuestion = scheduler.hasQuestion || planner.orders.question.has_value();
    return std::move(planner.orders);
}

} // namespace lacewing::scheduler
