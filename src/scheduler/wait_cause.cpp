// Why a task does not run: the checks of placement in their order, on the state that the plan has left.
#include "scheduler/wait_cause.h"

#include "scheduler/approval.h"
#include "scheduler/colocation.h"
#include "scheduler/open_start.h"
#include "scheduler/planner.h"
#include "scheduler/run_record.h"

#include <algorithm>
#include <limits>

namespace lacewing::scheduler {

namespace {

    // Worker whose report or lease end the task waits for.
    WaitCause unknownCause(const Planner& planner, const Task& task)
    {
        const Scheduler& scheduler = planner.scheduler;
        WaitCause cause { WaitReason::Unknown, task.formerWorker, {} };
        if (cause.worker.empty())
            cause.worker = scheduler.recovery.lastWorker;
        const auto worker = scheduler.workers.find(cause.worker);
        if (worker != scheduler.workers.end())
            cause.inputs = { { "leftMs", leaseLeftMs(scheduler, worker->second, planner.now) } };
        cause.inputs.emplace_back("isWorkerKnown", task.formerWorker.empty() ? 0 : 1);
        return cause;
    }

    WaitCause placedCause(const Planner& planner, const Task& task)
    {
        if (task.host->contact != Contact::Established)
            return { WaitReason::WorkerLost, task.worker,
                { { "leftMs", leaseLeftMs(planner.scheduler, *task.host, planner.now) } } };
        const WaitReason reason
            = task.phase == TaskPhase::Stopping ? WaitReason::Stopping : WaitReason::StartUnanswered;
        return { reason, task.worker, { { "phaseMs", planner.now - task.phaseSince } } };
    }

    WaitCause noUsableWorkerCause(const Planner& planner, const std::string& service)
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
        return { WaitReason::NoUsableWorker, {},
            { { "knownWorkers", known }, { "unreachable", unreachable }, { "draining", draining } } };
    }

    // What the usable workers of a service lack for a task.
    struct WorkerSurvey {
        // --- Workers with the processors, memory and GPUs ---
        int withRoom = 0; // that accept tasks and have the label
        int avoided = 0;  // that do not accept tasks
        int unlabelled = 0;
        // --- Other workers; the first that applies ---
        int withoutMemory = 0;
        int withoutGpus = 0;
        int overTarget = 0; // have the idle processors for the filling task, but serving tasks over their targets
        int withoutProcessors = 0;
        // --- Part of withRoom; the first that applies ---
        int excluded = 0;   // by the last failure of the task
        int unapproved = 0; // by the advice service, or not asked yet
        int overLimit = 0;  // of interference
        int suitable = 0;
        // --- Interference ---
        int trialLimited = 0; // part of overLimit: an uncertain pair of images runs on as many workers as it may
        double lowestInterference = std::numeric_limits<double>::infinity(); // of the workers over the limit
        std::int64_t members = 0;                                            // tasks that fit on the suitable workers
        // --- Examples; null: none ---
        const PlannedWorker* largest = nullptr; // most free processors
        const PlannedWorker* largestAvoided = nullptr;
        const PlannedWorker* largestWithRoom = nullptr;
        const PlannedWorker* leastDisturbed = nullptr; // lowest interference
    };

    void keepLarger(const PlannedWorker*& best, const PlannedWorker& planned, bool isFilling)
    {
        const auto free = [isFilling](const PlannedWorker& worker) {
            return isFilling ? worker.freeFillCpu : static_cast<double>(worker.freeCpu);
        };
        if (!best || free(planned) > free(*best))
            best = &planned;
    }

    // Tasks of the step that fit on the worker together; at least 1.
    std::int64_t membersOn(const PlannedWorker& planned, const Step& step)
    {
        double members = step.count;
        const auto limitBy = [&members](double free, int needed) {
            if (needed > 0)
                members = std::min(members, free / needed);
        };
        limitBy(step.isFilling ? planned.freeFillCpu : planned.freeCpu, step.cpuMillicores);
        limitBy(planned.freeMemory, step.memoryMb);
        limitBy(planned.freeGpus, step.gpus);
        return std::max<std::int64_t>(1, static_cast<std::int64_t>(members));
    }

    void surveyRoom(
        Planner& planner, PlannedWorker& planned, const TaskRef& ref, std::size_t image, WorkerSurvey& survey)
    {
        const Worker& worker = *planned.worker;
        ++survey.withRoom;
        keepLarger(survey.largestWithRoom, planned, ref.step->isFilling);
        if (!ref.task->failedWorker.empty() && ref.task->failedWorker == worker.entry.id) {
            ++survey.excluded;
            return;
        }
        if (ref.job->policy.approval.isNeeded && !isApproved(ref, worker.entry.id, planner.now)) {
            ++survey.unapproved;
            return;
        }
        if (ref.step->isFilling && worker.servingCpu > 0) {
            const double interference = interferenceOfFill(planner, planned, *ref.step, image);
            if (interference > interferenceLimitOn(planner, worker, interferenceLimit(planner, *ref.progress))) {
                ++survey.overLimit;
                survey.trialLimited += isTrialLimited(planner, planned, image) ? 1 : 0;
                if (interference < survey.lowestInterference) {
                    survey.lowestInterference = interference;
                    survey.leastDisturbed = &planned;
                }
                return;
            }
        }
        ++survey.suitable;
        survey.members += membersOn(planned, *ref.step);
    }

    WorkerSurvey surveyOf(Planner& planner, Pool& pool, const TaskRef& ref)
    {
        const Step& step = *ref.step;
        const std::size_t image = imageNumber(planner, step.image);
        WorkerSurvey survey;
        for (PlannedWorker& planned : pool.workers) {
            const Worker& worker = *planned.worker;
            keepLarger(survey.largest, planned, step.isFilling);
            if (step.memoryMb > planned.freeMemory) {
                ++survey.withoutMemory;
            } else if (step.gpus > planned.freeGpus) {
                ++survey.withoutGpus;
            } else if (!hasProcessors(planned, step)) {
                const bool isOverTarget
                    = step.isFilling && worker.overTargetSince != 0 && suffices(freeFillCpu(worker), step);
                ++(isOverTarget ? survey.overTarget : survey.withoutProcessors);
            } else if (!step.requiredLabel.empty() && !hasLabel(worker.entry, step.requiredLabel)) {
                ++survey.unlabelled;
            } else if (!planned.acceptsTasks) {
                ++survey.avoided;
                keepLarger(survey.largestAvoided, planned, step.isFilling);
            } else {
                surveyRoom(planner, planned, ref, image, survey);
            }
        }
        return survey;
    }

    WaitReason roomReason(const WorkerSurvey& survey, const Step& step)
    {
        if (survey.avoided > 0)
            return WaitReason::AvoidedWorkers;
        if (survey.overTarget > 0)
            return WaitReason::ServingOverTarget;
        if (survey.unlabelled > 0)
            return WaitReason::Label;
        return step.isFilling && survey.withoutProcessors > 0 ? WaitReason::NoFillingRoom : WaitReason::NoRoom;
    }

    WaitReason constraintReason(const Planner& planner, const WorkerSurvey& survey, const TaskRef& ref, bool isSkipped)
    {
        const Step& step = *ref.step;
        if (step.isLasting && !hasEverRun(*ref.task) && !leavesShortReserve(planner, ref))
            return WaitReason::ShortReserve;
        if (survey.suitable == 0) {
            if (survey.overLimit > 0)
                return WaitReason::Interference;
            return survey.unapproved > 0 ? WaitReason::NoApproval : WaitReason::StepConstraint;
        }
        if (isSkipped)
            return WaitReason::Skipped;
        if (step.isGang && survey.members < step.count)
            return WaitReason::NoGangRoom;
        if (waitsForRack(planner, step, *ref.progress))
            return WaitReason::Rack;
        const bool isConstrained = step.maxPerWorker > 0 || step.isSameRack || !step.dataRack.empty()
            || !ref.task->failedWorker.empty() || ref.job->policy.approval.isNeeded;
        return isConstrained ? WaitReason::StepConstraint : WaitReason::PassedOver;
    }

    std::int64_t percentOf(double ratio) { return static_cast<std::int64_t>(100 * ratio); }

    void addInterference(Planner& planner, const WorkerSurvey& survey, const TaskRef& ref, WaitCause& cause)
    {
        const Worker& worker = *survey.leastDisturbed->worker;
        cause.inputs.insert(cause.inputs.end(),
            { { "overLimit", survey.overLimit }, { "trialLimited", survey.trialLimited },
                { "interferencePercent", percentOf(survey.lowestInterference) },
                { "limitPercent",
                    percentOf(interferenceLimitOn(planner, worker, interferenceLimit(planner, *ref.progress))) },
                { "lastTrialMs", planner.scheduler.lastTrialAt > 0 ? planner.now - planner.scheduler.lastTrialAt : -1 },
                { "lastEvictionMs", worker.lastFillEvictionAt > 0 ? planner.now - worker.lastFillEvictionAt : -1 } });
        cause.texts.emplace_back("trial", nameOf(trialStateNames, trialState(planner, worker, *ref.progress)));
    }

    bool waitsForCap(const AccountUsage* usage, const Step& step)
    {
        const int tasks = tasksTogether(step);
        return !mayFitCap(usage, step, tasks) || (usage && usage->isReserved && !hasCapRoom(usage, step, tasks));
    }

    WaitCause capCause(const AccountUsage& usage, const TaskRef& ref)
    {
        const Capacity& cap = usage.account->cap;
        return { WaitReason::AccountCap, {},
            { { "millicores", ref.step->cpuMillicores }, { "memoryMb", ref.step->memoryMb }, { "gpus", ref.step->gpus },
                { "accountMillicores", usage.placed.cpuMillicores }, { "accountMemoryMb", usage.placed.memoryMb },
                { "accountGpus", usage.placed.gpus }, { "unlocatedMillicores", usage.unlocated.cpuMillicores },
                { "heldMillicores", usage.held.cpuMillicores }, { "capMillicores", cap.cpuMillicores },
                { "capMemoryMb", cap.memoryMb }, { "capGpus", cap.gpus } },
            { { "account", ref.job->request.account } } };
    }

    // Whether the turn came after those of other accounts, and the task waits for room.
    bool isHeldUpByShare(const Turn* turn, WaitReason reason)
    {
        const bool isAboveShare = turn && (turn->candidate->isBeyondRate || turn->isDeferred);
        switch (reason) {
        case WaitReason::Order:
        case WaitReason::NoRoom:
        case WaitReason::NoFillingRoom:
        case WaitReason::Skipped:
        case WaitReason::NoGangRoom:
            return isAboveShare;
        default:
            return false;
        }
    }

    WaitCause waitingCause(Planner& planner, const TaskRef& ref)
    {
        const Scheduler& scheduler = planner.scheduler;
        if (planner.now >= scheduler.validUntil)
            return { scheduler.configuration.version == 0 ? WaitReason::NoConfiguration : WaitReason::TermNotValid, {},
                {} };
        if (!scheduler.hasWorkerList)
            return { WaitReason::NoWorkerList, {}, {} };
        if (isRecordAwaited(scheduler, ref))
            return { WaitReason::RecordNotStored, ref.task->recordedWorker,
                { { "version", static_cast<std::int64_t>(ref.task->recordedVersion) },
                    { "storedVersion", static_cast<std::int64_t>(ref.job->committedVersion) },
                    { "isStoreFailing", scheduler.isStoreFailing ? 1 : 0 } } };
        if (hasOpenStart(*ref.task, planner.now))
            return { WaitReason::OpenStart, ref.task->openWorker,
                { { "leftMs", ref.task->openUntil - planner.now }, { "openStarts", ref.task->openStarts } } };
        const Step& step = *ref.step;
        const std::string& service = ref.job->policy.service;
        const auto pool = std::find_if(
            planner.pools.begin(), planner.pools.end(), [&](const Pool& entry) { return entry.service == service; });
        if (pool == planner.pools.end() || pool->workers.empty())
            return noUsableWorkerCause(planner, service);
        AccountUsage* usage = usageOf(planner, *ref.job);
        if (waitsForCap(usage, step))
            return capCause(*usage, ref);
        const Turn* turn = turnOf(planner, *ref.progress);
        const auto position = turn ? static_cast<std::size_t>(turn - planner.turns.data()) : 0;
        const bool isTried = !turn || position < planner.triedTurns;
        const double limit = interferenceLimit(planner, *ref.progress);
        const bool isSkipped
            = turn && isTried && wasSkipped(*pool, step, imageNumber(planner, step.image), limit, position);
        const WorkerSurvey survey = surveyOf(planner, *pool, ref);
        WaitCause cause;
        const PlannedWorker* example = survey.largest;
        if (survey.withRoom > 0)
            example = survey.suitable == 0 && survey.leastDisturbed ? survey.leastDisturbed : survey.largestWithRoom;
        else if (survey.avoided > 0)
            example = survey.largestAvoided;
        if (!isTried)
            cause.reason = scheduler.startLimit > 0 ? WaitReason::Order : WaitReason::StartLimit;
        else if (survey.withRoom > 0)
            cause.reason = constraintReason(planner, survey, ref, isSkipped);
        else
            cause.reason = roomReason(survey, step);
        cause.worker = example->worker->entry.id;
        cause.inputs = { { "usableWorkers", static_cast<std::int64_t>(pool->workers.size()) },
            { "withRoom", survey.withRoom }, { "suitable", survey.suitable }, { "avoided", survey.avoided },
            { "unlabelled", survey.unlabelled }, { "withoutProcessors", survey.withoutProcessors },
            { "withoutMemory", survey.withoutMemory }, { "withoutGpus", survey.withoutGpus },
            { "overTarget", survey.overTarget }, { "millicores", step.cpuMillicores }, { "memoryMb", step.memoryMb },
            { "gpus", step.gpus }, { "freeMillicores", example->freeCpu },
            { "idleMillicores", static_cast<std::int64_t>(freeFillCpu(*example->worker)) },
            { "freeMemoryMb", example->freeMemory },
            { "startsOrdered", static_cast<std::int64_t>(planner.orders.starts.size()) },
            { "startLimit", scheduler.startLimit }, { "position", turn ? static_cast<std::int64_t>(position) : -1 },
            { "tried", static_cast<std::int64_t>(planner.triedTurns) },
            { "turns", static_cast<std::int64_t>(planner.turns.size()) }, { "isSkipped", isSkipped ? 1 : 0 } };
        if (survey.leastDisturbed)
            addInterference(planner, survey, ref, cause);
        if (isHeldUpByShare(turn, cause.reason)) {
            cause.reason = WaitReason::AccountShare;
            cause.inputs.emplace_back(
                "beyondRateMs", std::max<std::int64_t>(0, ref.job->entitledUnixMs - planner.nowUnixMs));
            cause.texts.emplace_back("account", ref.job->request.account);
        }
        return cause;
    }

} // namespace

bool isOpen(const Job& job, const Occurrence& occurrence, std::int64_t nowUnixMs)
{
    return !isFinal(job.state) && occurrence.dueUnixMs <= nowUnixMs;
}

bool isRunning(const Task& task)
{
    const bool isUp = task.phase == TaskPhase::Running || (task.phase == TaskPhase::Stopping && task.isConfirmed);
    return isUp && task.host && task.host->contact == Contact::Established;
}

Millis notRunningSince(const Scheduler& scheduler, const Task& task, Millis now)
{
    if (task.phase == TaskPhase::Unknown)
        return scheduler.termStartedAt;
    if (task.host && task.host->contact != Contact::Established && task.host->reportedAt > 0)
        return task.host->reportedAt;
    return task.phaseSince > 0 ? task.phaseSince : now;
}

const Turn* turnOf(Planner& planner, const StepProgress& progress)
{
    if (planner.turnsByProgress.empty()) {
        for (std::size_t i = 0; i < planner.turns.size(); ++i) {
            const Candidate& candidate = *planner.turns[i].candidate;
            planner.turnsByProgress.try_emplace(
                &candidate.occurrence->steps[static_cast<std::size_t>(candidate.stepNumber)], i);
        }
    }
    const auto found = planner.turnsByProgress.find(&progress);
    return found == planner.turnsByProgress.end() ? nullptr : &planner.turns[found->second];
}

WaitCause waitCause(Planner& planner, const TaskRef& ref)
{
    const Task& task = *ref.task;
    if (task.host)
        return placedCause(planner, task);
    if (task.phase == TaskPhase::Unknown)
        return unknownCause(planner, task);
    if (task.phase == TaskPhase::Failed || task.phase == TaskPhase::Done)
        return { WaitReason::Failed, {}, {} };
    return waitingCause(planner, ref);
}

} // namespace lacewing::scheduler
