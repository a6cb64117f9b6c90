// Start of a term and its planned end: which tasks may still run on a worker, and the placements that a resigning term
// hands over to the next one.
#include "scheduler/internal.h"
#include "scheduler/occurrences.h"
#include "scheduler/open_start.h"

#include <algorithm>

namespace lacewing::scheduler {

namespace {

    const std::string ambiguousWorker = "*"; // not a valid worker id

} // namespace

void beginTerm(Scheduler& scheduler, std::int64_t token, Millis now, TermHistory history)
{
    scheduler.token = token;
    scheduler.termStartedAt = now;
    scheduler.history = std::move(history);
    scheduler.formerLeases.reset();
    scheduler.isReconciled = false;
    scheduler.hasWorkerList = false;
    scheduler.recovery = {};
    scheduler.runsRecordedSince = token;
    scheduler.hasPlacements = false;
    scheduler.awaitedRecords.clear();
    scheduler.accounts.clear();
    scheduler.endedUnlocated.reset();
    for (auto& [id, job] : scheduler.jobs) {
        job->commitsInTerm = 0;
        job->entitledUnixMs = -1;
        for (auto& [number, occurrence] : job->occurrences) {
            for (StepProgress& progress : occurrence.steps) {
                for (Task& task : progress.tasks) {
                    if (task.phase != TaskPhase::Done && task.phase != TaskPhase::Failed)
                        task.phase = TaskPhase::Unknown;
                    task.formerWorker.clear();
                    task.hasSingleWorker = false;
                    task.lastWorker.clear();
                    task.recordedWorker.clear();
                    task.chosenAt = 0;
                    task.heldWorker.clear();
                    task.mayHaveRun = false;
                    task.wasUnknown = task.phase == TaskPhase::Unknown;
                }
            }
        }
    }
}

void hideHistoryOfFirstTerm(Scheduler& scheduler)
{
    if (scheduler.history.terms.size() <= 1)
        scheduler.history.isKnown = false;
}

void setFormerLeases(Scheduler& scheduler, LeaseTable table, Millis now)
{
    if (!scheduler.history.isKnown)
        return;
    if (!isOfKnownTerm(table, scheduler.history)) {
        hideHistoryOfFirstTerm(scheduler);
        return;
    }
    std::vector<WorkerEntry> unknown; // their addresses are known once they are listed
    const auto add = [&](const std::string& id) {
        WorkerEntry entry;
        entry.id = id;
        unknown.push_back(std::move(entry));
    };
    for (const auto& [id, token] : table.granted)
        add(id);
    for (const auto& [id, clockMs] : table.released)
        add(id);
    scheduler.formerLeases = std::move(table);
    addFormerWorkers(scheduler, unknown, now);
}

std::optional<Placements> collectPlacements(const Scheduler& scheduler, Millis now)
{
    Placements result;
    result.token = scheduler.token;
    for (const std::string& id : scheduler.active) {
        const Job& job = *scheduler.jobs.at(id);
        if (isFinal(job.committedState))
            continue;
        for (const auto& [number, occurrence] : job.occurrences) {
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                const std::vector<Task>& tasks = occurrence.steps[step].tasks;
                for (std::size_t i = 0; i < tasks.size(); ++i) {
                    const Task& task = tasks[i];
                    const bool isUnknown = task.phase == TaskPhase::Unknown;
                    if (isUnknown && task.formerWorker.empty())
                        return std::nullopt;
                    if (!isUnknown && !isPlaced(task) && !hasOpenStart(task, now))
                        continue;
                    const std::string name = taskName(id, number, static_cast<int>(step), static_cast<int>(i));
                    if (isUnknown || isPlaced(task))
                        result.tasks.push_back({ name, isUnknown ? task.formerWorker : task.worker, task.run,
                            std::max<Millis>(0, task.openStartUntil - now) });
                    if (hasOpenStart(task, now))
                        result.tasks.push_back({ name, task.openWorker, task.run, task.openUntil - now });
                }
            }
        }
    }
    for (const auto& [id, worker] : scheduler.workers) {
        for (const UnacknowledgedEnd& end : worker.incarnation.unacknowledged) {
            const auto job = scheduler.jobs.find(end.job);
            if (job != scheduler.jobs.end() && job->second->committedVersion < end.version)
                result.tasks.push_back({ end.task, id, 0 });
        }
    }
    return result;
}

void applyPlacements(Scheduler& scheduler, const Placements& placements, Millis now)
{
    for (const Placement& placement : placements.tasks) {
        const std::optional<TaskRef> ref = findReportedTask(scheduler, placement.task, placement.run, now);
        if (!ref || ref->task->phase != TaskPhase::Unknown)
            continue;
        Task& task = *ref->task;
        // A run on one worker and an unstored end on another one: both workers have to report.
        const bool isElsewhere = !task.formerWorker.empty() && task.formerWorker != placement.worker;
        task.formerWorker = isElsewhere ? ambiguousWorker : placement.worker;
        task.run = std::max(task.run, placement.run);
        if (placement.openMs > 0) {
            task.openWorker = placement.worker;
            task.openUntil = std::max(task.openUntil, now + placement.openMs);
            scheduler.openTasks.insert(placement.task);
        }
    }
    scheduler.hasPlacements = true; // occurrences that are opened from now on have no runs of earlier terms
    int free = 0;
    for (const std::string& id : scheduler.active) {
        Job& job = *scheduler.jobs.at(id);
        for (auto& [number, occurrence] : job.occurrences) {
            for (StepProgress& progress : occurrence.steps) {
                for (Task& task : progress.tasks) {
                    if (task.phase == TaskPhase::Unknown && task.formerWorker.empty()) {
                        task.phase = TaskPhase::Waiting;
                        task.phaseSince = now;
                        task.mayHaveRun = job.hasStarted; // the end of its run may not be in the record
                        ++free;
                    } else if (task.formerWorker == ambiguousWorker) {
                        task.formerWorker.clear();
                    }
                }
            }
        }
    }
    logDecision(scheduler,
        { "placementsApplied", {}, {}, {}, 0, "tasks that were nowhere may start",
            { { "formerToken", placements.token }, { "placed", static_cast<int>(placements.tasks.size()) },
                { "free", free } } });
}

} // namespace lacewing::scheduler
