// Placement: decides which waiting task starts on which worker.
//
// Waiting tasks take their turns in the order of placement_order.h. A task that fits nowhere does not block smaller
// ones behind it, except for restarts of lasting tasks, for which room is held (restart_room.h).
#include "scheduler/account_share.h"
#include "scheduler/approval.h"
#include "scheduler/colocation.h"
#include "scheduler/consolidation.h"
#include "scheduler/occurrences.h"
#include "scheduler/open_start.h"
#include "scheduler/placement_order.h"
#include "scheduler/planner.h"
#include "scheduler/restart_room.h"
#include "scheduler/run_number.h"
#include "scheduler/run_record.h"
#include "scheduler/wait_cause.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace lacewing::scheduler {

namespace {

    constexpr double minFillCpuShare = 0.75; // free share of its cpu that a filling task needs to start
    constexpr double slowWorkerRatio = 1.8;  // multiple of the mean slowness above which other workers are preferred
    // Weights of the terms of a worker's score, relative to the free share of its processors.
    constexpr double sameImageWeight = 2;     // share of its serving tasks that have the same image
    constexpr double dataRackWeight = 10;     // on the rack of the data; outweighs all other terms
    constexpr double interferenceWeight = 2;  // interference that a filling task would cause
    constexpr double scarcityWeight = 1;      // demand of other filling images for the worker
    constexpr double vacatedWorkerWeight = 8; // penalty of a vacated worker for serving tasks; outweighs all others
    constexpr double slowWorkerWeight = 5;    // penalty of a slow worker; outweighs all terms but the rack
    constexpr Millis dataRackWaitMs = 1500;   // ms that a task waits for a worker on the rack of its data

    void updateFreeResources(PlannedWorker& planned)
    {
        const Worker& worker = *planned.worker;
        const Capacity& capacity = worker.entry.capacity;
        planned.freeCpu = capacity.cpuMillicores - worker.cpuUsed - planned.held.cpuMillicores;
        planned.freeMemory = capacity.memoryMb - worker.memoryUsed - planned.held.memoryMb;
        planned.freeGpus = capacity.gpus - worker.gpusUsed - planned.held.gpus;
        planned.freeFillCpu
            = worker.overTargetSince == 0 ? freeFillCpu(worker) : -std::numeric_limits<double>::infinity();
    }

    // Higher is better.
    double scoreOf(Planner& planner, PlannedWorker& planned, const Step& step)
    {
        const Worker& worker = *planned.worker;
        const double capacity = std::max(1, worker.entry.capacity.cpuMillicores);
        // Tasks are spread by unallocated processors, filling tasks by idle ones.
        double score = (step.isFilling ? freeFillCpu(worker) : capacity - worker.cpuUsed) / capacity;
        // Serving tasks are packed, those of one image on the same workers, so that the filling images that interfere
        // with them can use the other workers. They leave workers without serving tasks free while such images wait.
        if (step.latencyTargetMs > 0)
            score = sameImageWeight * sameImageShare(worker, step)
                - std::min(1.0, interferenceOnServing(planner, worker, step)) - score
                - (worker.servingCpu == 0 ? scarcityWeight * scarcity(planner, planned) : 0)
                - (worker.vacantUntil > 0 ? vacatedWorkerWeight : 0);
        if (step.isFilling)
            score -= scarcityWeight * scarcity(planner, planned);
        if (!step.dataRack.empty() && hasLabel(worker.entry, step.dataRack))
            score += dataRackWeight;
        if (worker.slowness > slowWorkerRatio * planner.meanSlowness)
            score -= slowWorkerWeight;
        return score - worker.failureScore;
    }

    Pool& poolOf(Planner& planner, const std::string& service)
    {
        const auto found = std::find_if(
            planner.pools.begin(), planner.pools.end(), [&](const Pool& pool) { return pool.service == service; });
        if (found != planner.pools.end())
            return *found;
        Pool& pool = planner.pools.emplace_back();
        pool.service = service;
        return pool;
    }

    // Images are compared by the caller.
    bool isSameShape(const Step& a, const Step& b)
    {
        return a.isFilling == b.isFilling && a.cpuMillicores == b.cpuMillicores && a.memoryMb == b.memoryMb
            && a.gpus == b.gpus && a.latencyTargetMs == b.latencyTargetMs && a.dataRack == b.dataRack
            && a.requiredLabel == b.requiredLabel;
    }

    // Returns the pool's shape for tasks like those of the step and adds it on first use.
    Shape& shapeOf(Pool& pool, const Step& step, std::size_t image)
    {
        const auto found = std::find_if(pool.shapes.begin(), pool.shapes.end(),
            [&](const Shape& shape) { return shape.image == image && isSameShape(*shape.step, step); });
        if (found != pool.shapes.end())
            return *found;
        Shape& shape = pool.shapes.emplace_back();
        shape.step = &step;
        shape.image = image;
        shape.rated.resize(pool.workers.size());
        for (std::uint32_t i = 0; i < pool.workers.size(); ++i) {
            shape.rated[i].isFitting = fits(pool.workers[i], step);
            if (shape.rated[i].isFitting)
                shape.fitting.push_back(i);
        }
        shape.appliedChanges = pool.changes.size();
        return shape;
    }

    // Invalidates ratings of workers whose tasks have changed since the last refresh.
    void refresh(const Pool& pool, Shape& shape)
    {
        for (; shape.appliedChanges < pool.changes.size(); ++shape.appliedChanges) {
            const std::uint32_t position = pool.changes[shape.appliedChanges];
            WorkerRating& rated = shape.rated[position];
            const bool wasFitting = rated.isFitting;
            rated = {};
            rated.isFitting = fits(pool.workers[position], *shape.step);
            if (rated.isFitting == wasFitting)
                continue;
            const auto place = std::lower_bound(shape.fitting.begin(), shape.fitting.end(), position);
            if (rated.isFitting)
                shape.fitting.insert(place, position);
            else
                shape.fitting.erase(place);
        }
    }

    void rate(Planner& planner, const Shape& shape, PlannedWorker& planned, WorkerRating& rated)
    {
        const Worker& worker = *planned.worker;
        rated.score = scoreOf(planner, planned, *shape.step);
        rated.hasInterference = shape.step->isFilling && worker.servingCpu > 0;
        if (rated.hasInterference) {
            rated.interference = interferenceOfFill(planner, planned, *shape.step, shape.image);
            rated.trialVersion = planner.images.trialVersion;
            rated.score -= interferenceWeight * rated.interference;
        }
        rated.isRated = true;
    }

    const std::vector<std::uint32_t>& workersWithLabel(Pool& pool, const std::string& label)
    {
        if (pool.positionsByLabel.empty()) {
            for (std::uint32_t i = 0; i < pool.workers.size(); ++i) {
                for (const std::string& own : pool.workers[i].worker->entry.labels) {
                    std::vector<std::uint32_t>& positions = pool.positionsByLabel[own];
                    if (positions.empty() || positions.back() != i)
                        positions.push_back(i);
                }
            }
        }
        return pool.positionsByLabel[label];
    }

    bool mayUseApproved(const Planner& planner, const Worker& worker, const TaskRef& ref)
    {
        return mayUse(planner, worker, ref)
            && (!ref.job->policy.approval.isNeeded || isApproved(ref, worker.entry.id, planner.now));
    }

    // The worker that the task should go to (run_record.h); null: any, or it cannot be used.
    PlannedWorker* preferredAmong(
        Planner& planner, Pool& pool, const Shape& shape, const TaskRef& ref, const std::string& rack)
    {
        const std::string* id = preferredWorker(planner.scheduler, ref);
        if (!id)
            return nullptr;
        const auto found = std::lower_bound(pool.workers.begin(), pool.workers.end(), *id,
            [](const PlannedWorker& planned, const std::string& other) { return planned.worker->entry.id < other; });
        const bool isFitting = found != pool.workers.end() && found->worker->entry.id == *id
            && shape.rated[static_cast<std::size_t>(found - pool.workers.begin())].isFitting;
        const bool isOnRack = isFitting && (rack.empty() || hasLabel(found->worker->entry, rack));
        return isOnRack && mayUseApproved(planner, *found->worker, ref) ? &*found : nullptr;
    }

    // Returns the best worker for the task among those that fit its shape; an empty `rack` means any rack.
    //
    // Workers are rated only when the task may use them, because some inputs of a rating are computed on first use and
    // then cached for the rest of the plan.
    PlannedWorker* chooseWorker(Planner& planner, Pool& pool, Shape& shape, const TaskRef& ref, const std::string& rack,
        double interferenceLimit)
    {
        refresh(pool, shape);
        if (shape.fitting.empty())
            return nullptr;
        const bool hasTaskConstraints
            = !ref.task->failedWorker.empty() || ref.step->maxPerWorker > 0 || hasOpenStart(*ref.task, planner.now);
        const bool needsApproval = ref.job->policy.approval.isNeeded;
        if (PlannedWorker* preferred = preferredAmong(planner, pool, shape, ref, rack))
            return preferred;
        PlannedWorker* best = nullptr;
        double bestScore = 0;
        for (const std::uint32_t position : rack.empty() ? shape.fitting : workersWithLabel(pool, rack)) {
            WorkerRating& rated = shape.rated[position];
            if (!rated.isFitting)
                continue;
            PlannedWorker& planned = pool.workers[position];
            const Worker& worker = *planned.worker;
            if ((hasTaskConstraints && !mayUse(planner, worker, ref))
                || (needsApproval && !isApproved(ref, worker.entry.id, planner.now)))
                continue;
            if (!rated.isRated || (rated.hasInterference && rated.trialVersion != planner.images.trialVersion))
                rate(planner, shape, planned, rated);
            if (best && rated.score <= bestScore)
                continue;
            if (rated.hasInterference && rated.interference > interferenceLimitOn(planner, worker, interferenceLimit))
                continue;
            best = &planned;
            bestScore = rated.score;
        }
        return best;
    }

    void reserveOn(Planner& planner, Pool& pool, PlannedWorker& planned, const TaskRef& ref)
    {
        reserveResources(*planned.worker, ref);
        adjustUsage(planner, ref, 1);
        recordChange(pool, planned);
        if (ref.step->maxPerWorker > 0)
            ++planner.stepTasksByWorker[planned.worker];
    }

    void releaseFrom(Planner& planner, Pool& pool, PlannedWorker& planned, const TaskRef& ref)
    {
        releaseResources(ref);
        adjustUsage(planner, ref, -1);
        recordChange(pool, planned);
        if (ref.step->maxPerWorker > 0)
            --planner.stepTasksByWorker[planned.worker];
    }

    RunNumber latestRun(const Task& task) { return std::max(task.run, task.endedRun); }

    // Number for a start; when the numbers are used up, the job's record is stored to get further ones.
    std::optional<RunNumber> takeRun(Scheduler& scheduler, Job& job, RunNumber latest)
    {
        const std::optional<RunNumber> run = nextRun(scheduler, job, latest);
        if (!run && job.version <= job.committedVersion) {
            markDirty(scheduler, job);
            logDecision(scheduler, { "runNumbersUsedUp", job.request.id, {}, {}, latest, "waits for its record", {} });
        }
        return run;
    }

    void startOn(Planner& planner, Pool& pool, const TaskRef& ref, PlannedWorker& planned, RunNumber run)
    {
        Scheduler& scheduler = planner.scheduler;
        Worker& worker = *planned.worker;
        Task& task = *ref.task;
        task.phase = TaskPhase::Starting;
        task.run = run;
        task.phaseSince = planner.now;
        task.startedAt = 0;
        task.percent = 0;
        task.progressAt = planner.now;
        task.reading = 0;
        task.lastStopAt = 0;
        task.isConfirmed = false;
        task.heldWorker.clear();
        task.roomSearchedAt = 0;
        const Millis recordWaitMs = task.chosenAt > 0 ? planner.now - task.chosenAt : 0;
        recordStart(scheduler, ref, worker.entry.id);
        const double wait = static_cast<double>(scheduler.limits.startDeadlineMs) / scheduler.limits.workerClockRate;
        task.startDeadlineAt = planner.now + static_cast<Millis>(wait) + scheduler.limits.leaseSlackMs;
        if (!hasOpenStart(task, planner.now))
            settleOpenStarts(task); // those before are over
        task.openStartUntil = openStartEnd(scheduler.limits, planner.now);
        scheduler.unansweredStarts.insert(nameOf(ref));
        task.startToken = fencingTokenOf(scheduler, worker);
        StartOrder order;
        order.worker = worker.entry.id;
        order.fencingToken = task.startToken;
        order.task = nameOf(ref);
        order.run = run;
        order.payload = ref.job->request.payload;
        order.checkpoint = task.checkpoint;
        order.ticket = ticketFor(ref, order.worker);
        order.deadlineClockMs = latestClock(worker, planner.now) + scheduler.limits.startDeadlineMs;
        worker.incarnation.leaseEndClockMs = std::max(worker.incarnation.leaseEndClockMs, order.deadlineClockMs);
        worker.renewedAt = planner.now;
        logRunDecision(scheduler, ref,
            { "start", ref.job->request.id, order.task, order.worker, run, "ordered",
                { { "freeMillicores", worker.entry.capacity.cpuMillicores - worker.cpuUsed },
                    { "reportAgeMs", planner.now - worker.reportedAt },
                    { "waitedMs", planner.now - ref.progress->readySince }, { "priority", ref.job->policy.priority },
                    { "millicores", ref.step->cpuMillicores }, { "isLasting", ref.step->isLasting ? 1 : 0 },
                    { "recordWaitMs", recordWaitMs }, { "token", task.startToken } },
                ref.step->image });
        if (ref.step->isFilling && worker.servingCpu > 0)
            recordFillStart(planner, planned, *ref.step);
        reserveOn(planner, pool, planned, ref);
        reportStart(scheduler, task, planner.now);
        ++scheduler.starts;
        planner.orders.starts.push_back(std::move(order));
    }

    void countStepTasks(Planner& planner, const Candidate& candidate)
    {
        planner.stepTasksByWorker.clear();
        if (candidate.job->request.steps[static_cast<std::size_t>(candidate.stepNumber)].maxPerWorker <= 0)
            return;
        const StepProgress& progress = candidate.occurrence->steps[static_cast<std::size_t>(candidate.stepNumber)];
        for (const Task& task : progress.tasks) {
            if (isPlaced(task))
                ++planner.stepTasksByWorker[task.host];
        }
    }

    std::string rackOf(const Worker& worker)
    {
        return worker.entry.labels.empty() ? std::string() : worker.entry.labels.back();
    }

    const std::map<std::string, std::vector<const Worker*>>& workersByRack(Planner& planner)
    {
        if (planner.workersByRack.empty()) {
            for (const auto& [id, worker] : planner.scheduler.workers)
                planner.workersByRack[rackOf(worker)].push_back(&worker);
        }
        return planner.workersByRack;
    }

    // Racks to try for a step whose tasks should run on one rack, best first; "" means any rack.
    std::vector<std::string> racksFor(Planner& planner, const Candidate& candidate, const Step& step)
    {
        if (!step.isSameRack)
            return { "" };
        for (const Task& task : candidate.occurrence->steps[static_cast<std::size_t>(candidate.stepNumber)].tasks) {
            const auto found = planner.scheduler.workers.find(task.worker);
            if (found != planner.scheduler.workers.end())
                return { rackOf(found->second), "" };
        }
        std::vector<std::pair<double, std::string_view>> sorted;
        for (const auto& [rack, workers] : workersByRack(planner)) {
            double freeCpu = 0;
            for (const Worker* worker : workers)
                freeCpu
                    += step.isFilling ? freeFillCpu(*worker) : worker->entry.capacity.cpuMillicores - worker->cpuUsed;
            sorted.emplace_back(freeCpu + (rack == step.dataRack ? 1e9 : 0), rack);
        }
        std::sort(sorted.rbegin(), sorted.rend());
        std::vector<std::string> racks;
        racks.reserve(sorted.size() + 1);
        for (const auto& [freeCpu, rack] : sorted)
            racks.emplace_back(rack);
        if (planner.now - candidate.occurrence->steps[static_cast<std::size_t>(candidate.stepNumber)].readySince
            > dataRackWaitMs)
            racks.emplace_back("");
        return racks;
    }

    // The start waits for a record that names the worker. Its room is held until then, unless the store is failing.
    void awaitRecord(Planner& planner, Pool& pool, PlannedWorker& planned, const TaskRef& ref)
    {
        if (planner.scheduler.isStoreFailing)
            return;
        recordChoice(planner.scheduler, ref, planned.worker->entry.id, planner.now);
        holdRoom(pool, planned, *ref.step);
        holdUsage(usageOf(planner, *ref.job), *ref.step, 1);
        if (ref.step->maxPerWorker > 0)
            ++planner.stepTasksByWorker[planned.worker];
    }

    struct PlacedMember {
        int index = 0;
        PlannedWorker* worker = nullptr;
    };

    // True when starts of members wait for records of their workers.
    bool awaitRecords(
        Planner& planner, Pool& pool, const Candidate& candidate, const std::vector<PlacedMember>& members)
    {
        const bool mayStart = std::all_of(members.begin(), members.end(), [&](const PlacedMember& member) {
            return mayStartOn(planner.scheduler, refOf(candidate, member.index), member.worker->worker->entry.id);
        });
        if (mayStart)
            return false;
        for (const PlacedMember& member : members)
            awaitRecord(planner, pool, *member.worker, refOf(candidate, member.index));
        return true;
    }

    // Members that have to start on a certain worker come first, before others take its room.
    std::vector<int> gangOrder(const Planner& planner, const Candidate& candidate, const Step& step)
    {
        std::vector<int> order(static_cast<std::size_t>(step.count));
        std::iota(order.begin(), order.end(), 0);
        std::stable_partition(order.begin(), order.end(),
            [&](int index) { return hasOpenStart(*refOf(candidate, index).task, planner.now); });
        return order;
    }

    // Places all members, now or once their records are stored, or none. Resources are reserved during the search and
    // released before the starts are ordered.
    bool placeGang(Planner& planner, Pool& pool, Shape& shape, const Candidate& candidate, const std::string& rack)
    {
        const Step& step = candidate.job->request.steps[static_cast<std::size_t>(candidate.stepNumber)];
        std::vector<PlacedMember> placed;
        const double limit
            = interferenceLimit(planner, candidate.occurrence->steps[static_cast<std::size_t>(candidate.stepNumber)]);
        RunNumber latest = 0;
        const Task* saved = nullptr; // member with the latest checkpoint; it is valid for all
        for (const int i : gangOrder(planner, candidate, step)) {
            const TaskRef ref = refOf(candidate, i);
            latest = std::max(latest, latestRun(*ref.task));
            if (!ref.task->checkpoint.empty() && (!saved || ref.task->checkpointRun > saved->checkpointRun))
                saved = ref.task;
            PlannedWorker* worker = chooseWorker(planner, pool, shape, ref, rack, limit);
            if (!worker)
                break;
            reserveOn(planner, pool, *worker, ref);
            placed.push_back({ i, worker });
        }
        for (const PlacedMember& member : placed)
            releaseFrom(planner, pool, *member.worker, refOf(candidate, member.index));
        if (static_cast<int>(placed.size()) < step.count)
            return false;
        if (awaitRecords(planner, pool, candidate, placed))
            return true;
        const std::optional<RunNumber> run = takeRun(planner.scheduler, *candidate.job, latest);
        if (!run)
            return false;
        const std::string checkpoint = saved ? saved->checkpoint : std::string();
        const RunNumber checkpointRun = saved ? saved->checkpointRun : 0;
        for (const PlacedMember& member : placed) {
            const TaskRef ref = refOf(candidate, member.index);
            ref.task->checkpoint = checkpoint;
            ref.task->checkpointRun = checkpointRun;
            startOn(planner, pool, ref, *member.worker, *run);
        }
        return true;
    }

    // Each member on another worker than that of its last failure, if there is room; a retry there is better than none.
    void placeGangOnRacks(
        Planner& planner, Pool& pool, Shape& shape, const Candidate& candidate, const std::vector<std::string>& racks)
    {
        const auto place = [&] {
            return std::any_of(racks.begin(), racks.end(),
                [&](const std::string& rack) { return placeGang(planner, pool, shape, candidate, rack); });
        };
        const std::vector<Task>& members
            = candidate.occurrence->steps[static_cast<std::size_t>(candidate.stepNumber)].tasks;
        const bool hasFailed = std::any_of(
            members.begin(), members.end(), [](const Task& member) { return !member.failedWorker.empty(); });
        if (place() || !hasFailed)
            return;
        planner.mayRetryOnSameWorker = true;
        place();
        planner.mayRetryOnSameWorker = false;
    }

    // Steps with a limit per worker, rack constraints or approvals may fail for reasons that other steps with the same
    // requirements don't have.
    bool hasStepConstraints(const Candidate& candidate, const Step& step)
    {
        return step.maxPerWorker > 0 || step.isSameRack || !step.dataRack.empty()
            || candidate.job->policy.approval.isNeeded;
    }

    // True when a step of that shape asks for no more.
    bool asksForNoMore(const UnplacedShape& shape, const Step& step, std::size_t image, double interferenceLimit)
    {
        const Step& other = *shape.step;
        return shape.image == image && step.cpuMillicores >= other.cpuMillicores && step.memoryMb >= other.memoryMb
            && step.gpus >= other.gpus && step.isFilling == other.isFilling && step.requiredLabel == other.requiredLabel
            && (!step.isFilling || interferenceLimit <= shape.interferenceLimit);
    }

    // True when a step that asks for no more has found no worker in this plan.
    bool isKnownUnplaceable(const Pool& pool, const Step& step, std::size_t image, double interferenceLimit)
    {
        return std::any_of(pool.unplaced.begin(), pool.unplaced.end(),
            [&](const UnplacedShape& shape) { return asksForNoMore(shape, step, image, interferenceLimit); });
    }

    // Places at most maxStarts tasks of the step; a gang as a whole.
    void placeStep(Planner& planner, const Turn& turn, int maxStarts)
    {
        const Candidate& candidate = *turn.candidate;
        const Step& step = candidate.job->request.steps[static_cast<std::size_t>(candidate.stepNumber)];
        StepProgress& progress = candidate.occurrence->steps[static_cast<std::size_t>(candidate.stepNumber)];
        Pool& pool = poolOf(planner, candidate.job->policy.service);
        const std::size_t image = imageNumber(planner, step.image);
        const bool isPlacedGang = step.isGang && progress.placed > 0; // in an earlier turn of this plan
        if (isPlacedGang || !admitToCap(planner, turn))
            return;
        countStepTasks(planner, candidate);
        if (isKnownUnplaceable(pool, step, image, interferenceLimit(planner, progress))) {
            holdRestartRoom(planner, pool, candidate);
            return;
        }
        Shape& shape = shapeOf(pool, step, image);
        refresh(pool, shape);
        const std::vector<std::string> racks
            = shape.fitting.empty() ? std::vector<std::string> { "" } : racksFor(planner, candidate, step);
        if (step.isGang) {
            placeGangOnRacks(planner, pool, shape, candidate, racks);
            return;
        }
        int started = 0;
        for (int i = 0; i < step.count && started < maxStarts; ++i) {
            const TaskRef ref = refOf(candidate, i);
            if (isStartLimitReached(planner))
                return;
            if (ref.task->phase != TaskPhase::Waiting)
                continue;
            if (started > 0 && !admitToCap(planner, turn))
                return;
            if (step.isLasting && !hasEverRun(*ref.task) && !leavesShortReserve(planner, ref))
                continue;
            const double limit = interferenceLimit(planner, progress);
            PlannedWorker* worker = nullptr;
            for (const std::string& rack : racks) {
                worker = chooseWorker(planner, pool, shape, ref, rack, limit);
                if (worker)
                    break;
            }
            if (!worker && hasOpenStart(*ref.task, planner.now))
                continue;
            if (!worker && !ref.task->failedWorker.empty()) { // a retry on that worker is better than none
                ref.task->failedWorker.clear();
                continue;
            }
            const bool isOffDataRack
                = worker && !step.dataRack.empty() && !hasLabel(worker->worker->entry, step.dataRack);
            if (isOffDataRack && planner.now - progress.readySince < dataRackWaitMs)
                continue;
            if (!worker) { // the other tasks of the step have the same shape
                if (!hasStepConstraints(candidate, step))
                    pool.unplaced.push_back({ &step, image, limit, planner.triedTurns });
                holdRestartRoom(planner, pool, candidate);
                return;
            }
            if (!mayStartOn(planner.scheduler, ref, worker->worker->entry.id)) {
                awaitRecord(planner, pool, *worker, ref);
                ++started;
                planner.serviceCpu[ref.job->policy.service].lasting += step.cpuMillicores;
                continue;
            }
            const std::optional<RunNumber> run = takeRun(planner.scheduler, *candidate.job, latestRun(*ref.task));
            if (!run)
                continue;
            startOn(planner, pool, ref, *worker, *run);
            ++started;
            if (step.isLasting)
                planner.serviceCpu[ref.job->policy.service].lasting += step.cpuMillicores;
        }
    }

    void collectWorkers(Planner& planner)
    {
        for (auto& [id, worker] : planner.scheduler.workers) {
            if (!isUsable(planner.scheduler, worker))
                continue;
            PlannedWorker planned;
            planned.worker = &worker;
            planned.acceptsTasks = worker.avoidUntil <= planner.now && worker.fullUntil <= planner.now;
            updateFreeResources(planned);
            poolOf(planner, worker.entry.service).workers.push_back(std::move(planned));
        }
    }

    // Starts the task again on the worker where its last start was given up, if it can start there now.
    void repeatOpenStart(Planner& planner, const TaskRef& ref)
    {
        const Step& step = *ref.step;
        if (ref.task->phase != TaskPhase::Waiting || step.isGang || step.maxPerWorker > 0
            || !isOpen(*ref.job, *ref.occurrence, planner.nowUnixMs))
            return;
        Pool& pool = poolOf(planner, ref.job->policy.service);
        const auto found = std::lower_bound(pool.workers.begin(), pool.workers.end(), ref.task->openWorker,
            [](const PlannedWorker& planned, const std::string& id) { return planned.worker->entry.id < id; });
        const bool isUsable = found != pool.workers.end() && found->worker->entry.id == ref.task->openWorker
            && fits(*found, step) && mayUseApproved(planner, *found->worker, ref);
        if (!isUsable || !hasCapRoom(usageOf(planner, *ref.job), step, 1)
            || !mayStartOn(planner.scheduler, ref, ref.task->openWorker))
            return;
        if (const std::optional<RunNumber> run = takeRun(planner.scheduler, *ref.job, latestRun(*ref.task)))
            startOn(planner, pool, ref, *found, *run);
    }

    // Before all turns: other tasks would take the room that a given-up start has left, and its task cannot go
    // elsewhere.
    void repeatOpenStarts(Planner& planner)
    {
        std::set<std::string>& names = planner.scheduler.openTasks;
        for (auto name = names.begin(); name != names.end();) {
            const std::optional<TaskRef> ref = findTask(planner.scheduler, *name);
            if (!ref || !hasOpenStart(*ref->task, planner.now)) {
                name = names.erase(name);
                continue;
            }
            ++name;
            if (isStartLimitReached(planner))
                return;
            repeatOpenStart(planner, *ref);
        }
    }

    // Score of the worker for the task; nullopt when the task cannot start there now.
    std::optional<double> placementScore(Planner& planner, const Worker& worker, const TaskRef& ref)
    {
        if (planner.plannedByWorker.empty()) {
            for (Pool& pool : planner.pools) {
                for (PlannedWorker& planned : pool.workers)
                    planner.plannedByWorker[planned.worker] = &planned;
            }
        }
        const auto found = planner.plannedByWorker.find(&worker);
        const bool isPossible = found != planner.plannedByWorker.end() && fits(*found->second, *ref.step)
            && worker.entry.service == ref.job->policy.service && mayUse(planner, worker, ref);
        return isPossible ? std::optional(scoreOf(planner, *found->second, *ref.step)) : std::nullopt;
    }

} // namespace

bool mayUse(const Planner& planner, const Worker& worker, const TaskRef& ref)
{
    const Task& task = *ref.task;
    if (!allowsStart(ref, worker, planner.now))
        return false;
    const bool isAvoided = !task.failedWorker.empty() && task.failedWorker == worker.entry.id;
    if (isAvoided && !planner.mayRetryOnSameWorker && !hasOpenStart(task, planner.now))
        return false;
    if (ref.step->maxPerWorker <= 0)
        return true;
    const auto count = planner.stepTasksByWorker.find(&worker);
    return count == planner.stepTasksByWorker.end() || count->second < ref.step->maxPerWorker;
}

void recordChange(Pool& pool, PlannedWorker& planned)
{
    updateFreeResources(planned);
    pool.changes.push_back(static_cast<std::uint32_t>(&planned - pool.workers.data()));
}

bool suffices(double freeFillCpu, const Step& step) { return freeFillCpu >= step.cpuMillicores * minFillCpuShare; }

bool hasProcessors(const PlannedWorker& planned, const Step& step)
{
    return step.isFilling ? suffices(planned.freeFillCpu, step) : step.cpuMillicores <= planned.freeCpu;
}

bool wasSkipped(const Pool& pool, const Step& step, std::size_t image, double interferenceLimit, std::size_t position)
{
    return std::any_of(pool.unplaced.begin(), pool.unplaced.end(), [&](const UnplacedShape& shape) {
        return shape.position < position && asksForNoMore(shape, step, image, interferenceLimit);
    });
}

bool waitsForRack(const Planner& planner, const Step& step, const StepProgress& progress)
{
    return (step.isSameRack || !step.dataRack.empty()) && planner.now - progress.readySince <= dataRackWaitMs;
}

bool hasRoom(const PlannedWorker& planned, const Step& step)
{
    if ((step.memoryMb > 0 && step.memoryMb > planned.freeMemory) || (step.gpus > 0 && step.gpus > planned.freeGpus))
        return false;
    return hasProcessors(planned, step)
        && (step.requiredLabel.empty() || hasLabel(planned.worker->entry, step.requiredLabel));
}

bool fits(const PlannedWorker& planned, const Step& step) { return planned.acceptsTasks && hasRoom(planned, step); }

bool isStartLimitReached(const Planner& planner)
{
    return static_cast<int>(planner.orders.starts.size()) >= planner.scheduler.startLimit;
}

bool isUsable(const Scheduler& scheduler, const Worker& worker)
{
    return worker.contact == Contact::Established && worker.isLeaseGranted && worker.isListed
        && !worker.entry.isDraining && scheduler.withdrawn.count(worker.entry.dataCentre) == 0;
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
    scheduler.queuesByName.clear();
    for (std::size_t i = 0; i < scheduler.configuration.queues.size(); ++i)
        scheduler.queuesByName[scheduler.configuration.queues[i].policy.name] = i;
    for (const std::string& id : scheduler.active)
        applyPolicyInForce(scheduler, *scheduler.jobs.at(id));
}

void applyPolicyInForce(const Scheduler& scheduler, Job& job)
{
    const auto found = scheduler.queuesByName.find(job.policy.name);
    if (found != scheduler.queuesByName.end())
        job.policy = scheduler.configuration.queues[found->second].policy;
}

void setWithdrawn(Scheduler& scheduler, std::set<std::string> dataCentres)
{
    scheduler.withdrawn = std::move(dataCentres);
}

Orders plan(Scheduler& scheduler, Millis now, std::int64_t nowUnixMs)
{
    Planner planner { scheduler, now, nowUnixMs };
    reconcileWorkers(scheduler, now);
    reportAccounting(scheduler, now);
    updateOccurrences(scheduler, now, nowUnixMs);
    planner.hasDraining = std::any_of(scheduler.workers.begin(), scheduler.workers.end(),
        [](const auto& entry) { return entry.second.drainEndsAt != 0; });
    std::vector<std::string> finished;
    int jobRank = 0;
    for (const std::string& id : scheduler.active) {
        Job& job = *scheduler.jobs.at(id);
        if (isFinal(job.state) && job.endedUnixMs == 0)
            job.endedUnixMs = nowUnixMs;
        reviewJob(planner, job, jobRank++);
        addUsage(planner, job);
        if (isFinal(job.committedState) && !hasRuns(job))
            finished.push_back(id);
    }
    for (const std::string& id : finished) {
        keepUnlocated(planner, *scheduler.jobs.at(id));
        retireJob(scheduler, *scheduler.jobs.at(id));
    }
    stopStrays(planner);
    protectLatencyTargets(scheduler, planner.orders, now);
    if (now >= scheduler.validUntil || !scheduler.hasWorkerList) {
        reportDownTasks(planner);
        reportWaitingJobs(planner);
        return std::move(planner.orders);
    }
    collectWorkers(planner);
    countUsage(planner);
    applyRates(planner);
    updateShortDemand(planner);
    updateFillDemand(planner);
    double sum = 0;
    for (const auto& [id, worker] : scheduler.workers)
        sum += worker.slowness;
    planner.meanSlowness = scheduler.workers.empty() ? 1 : sum / static_cast<double>(scheduler.workers.size());
    repeatOpenStarts(planner);
    planner.turns = placementOrder(planner);
    for (const Turn& turn : planner.turns) {
        if (isStartLimitReached(planner))
            break;
        if (!isFirstRun(turn))
            placeStep(planner, turn, turn.candidate->waiting);
        else if (!hasRuns(*turn.candidate->job))
            placeStep(planner, turn, 1);
        ++planner.triedTurns;
    }
    planner.stepTasksByWorker.clear();
    planner.orders.question = nextQuestion(
        planner, [&](const Worker& worker, const TaskRef& ref) { return placementScore(planner, worker, ref); });
    scheduler.isQuestionPending = scheduler.isQuestionPending || planner.orders.question.has_value();
    consolidateServing(planner);
    reportCaps(planner);
    reportDownTasks(planner);
    reportWaitingJobs(planner);
    return std::move(planner.orders);
}

} // namespace lacewing::scheduler
