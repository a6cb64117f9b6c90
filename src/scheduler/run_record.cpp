// Choice of the worker for a restart, and what a new term learns from the records of earlier ones.
#include "scheduler/run_record.h"

#include "scheduler/internal.h"

namespace lacewing::scheduler {

namespace {

    // No earlier term can have started a task of the job.
    bool isAcceptedInTerm(const Scheduler& scheduler, const Job& job) { return job.acceptedRevision > scheduler.token; }

    bool isRecordStored(const Job& job, const Task& task) { return job.committedVersion >= task.recordedVersion; }

    struct LocatedTasks {
        int located = 0; // tasks whose worker is known
        int single = 0;  // tasks on one worker that is not known
        int others = 0;  // tasks that may be on any worker
    };

    void locate(const Scheduler& scheduler, const Job& job, Task& task, LocatedTasks& count)
    {
        const bool isOfSeries = job.storedRunsRecordedSince == scheduler.runsRecordedSince;
        task.recordedWorker = isOfSeries ? task.storedWorker : "";
        task.recordedVersion = 0;
        if (task.phase != TaskPhase::Unknown || scheduler.hasPlacements)
            return;
        task.formerWorker = task.recordedWorker;
        task.hasSingleWorker = task.recordedWorker.empty() && (isOfSeries || !job.hasStoredProgress)
            && job.acceptedRevision > scheduler.runsRecordedSince;
        ++(!task.recordedWorker.empty() ? count.located : task.hasSingleWorker ? count.single : count.others);
    }

} // namespace

bool mayStartOn(const Scheduler& scheduler, const TaskRef& ref, const std::string& worker)
{
    const Task& task = *ref.task;
    if (!ref.step->isLasting)
        return true;
    if (task.recordedWorker == worker && isRecordStored(*ref.job, task))
        return true;
    if (task.lastWorker.empty())
        return task.recordedWorker.empty() && isAcceptedInTerm(scheduler, *ref.job);
    // After a choice, the store may name either worker.
    return task.chosenAt == 0 && task.lastWorker == worker && task.recordedWorker == worker;
}

const std::string* preferredWorker(const Scheduler& scheduler, const TaskRef& ref)
{
    const Task& task = *ref.task;
    if (task.chosenAt > 0)
        return &task.recordedWorker;
    const bool isOnLastWorker = scheduler.isStoreFailing && ref.step->isLasting && !task.lastWorker.empty();
    return isOnLastWorker && mayStartOn(scheduler, ref, task.lastWorker) ? &task.lastWorker : nullptr;
}

bool isRecordAwaited(const Scheduler& scheduler, const TaskRef& ref)
{
    const Task& task = *ref.task;
    if (task.chosenAt > 0)
        return !isRecordStored(*ref.job, task);
    return scheduler.isStoreFailing && ref.step->isLasting
        && !(task.lastWorker.empty() && task.recordedWorker.empty() && isAcceptedInTerm(scheduler, *ref.job));
}

void recordChoice(Scheduler& scheduler, const TaskRef& ref, const std::string& worker, Millis now)
{
    Task& task = *ref.task;
    if (task.chosenAt > 0 && task.recordedWorker == worker)
        return;
    markDirty(scheduler, *ref.job);
    logRunDecision(scheduler, ref,
        { "workerChosen", ref.job->request.id, nameOf(ref), worker, task.run, "waits for its record",
            { { "waitedMs", now - task.phaseSince }, { "version", static_cast<std::int64_t>(ref.job->version) },
                { "isAgain", task.chosenAt > 0 ? 1 : 0 } },
            ref.step->image });
    task.recordedWorker = worker;
    task.recordedVersion = ref.job->version;
    task.chosenAt = now;
    scheduler.awaitedRecords[ref.job->request.id] = ref.job->version;
}

void recordStart(Scheduler& scheduler, const TaskRef& ref, const std::string& worker)
{
    if (!ref.step->isLasting)
        return;
    ref.task->chosenAt = 0;
    recordRun(scheduler, ref, worker);
}

void recordRun(Scheduler& scheduler, const TaskRef& ref, const std::string& worker)
{
    Task& task = *ref.task;
    if (!ref.step->isLasting)
        return;
    task.lastWorker = worker;
    if (task.recordedWorker == worker)
        return;
    markDirty(scheduler, *ref.job);
    task.recordedWorker = worker;
    task.recordedVersion = ref.job->version;
}

void applyRunRecords(Scheduler& scheduler)
{
    if (scheduler.formerLeases && scheduler.formerLeases->runsRecordedSince > 0)
        scheduler.runsRecordedSince = scheduler.formerLeases->runsRecordedSince;
    LocatedTasks count;
    for (const std::string& id : scheduler.active) {
        Job& job = *scheduler.jobs.at(id);
        for (auto& [number, occurrence] : job.occurrences) {
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                if (!job.request.steps[step].isLasting)
                    continue;
                for (Task& task : occurrence.steps[step].tasks)
                    locate(scheduler, job, task, count);
            }
        }
    }
    logDecision(scheduler,
        { "runRecordsApplied", {}, {}, {}, 0, "tasks may be free once their worker is accounted for",
            { { "recordedSince", scheduler.runsRecordedSince }, { "located", count.located },
                { "single", count.single }, { "others", count.others } } });
}

} // namespace lacewing::scheduler
