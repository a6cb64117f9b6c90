// Lasting tasks that do not run. The scan runs once a second and reads only lasting steps; a cause is computed only for
// the tasks that are logged.
#include "scheduler/down_report.h"

#include "scheduler/planner.h"

#include <algorithm>
#include <tuple>

namespace lacewing::scheduler {

namespace {

    constexpr Millis downReportMs = 3000;      // ms without a run before a task is reported; above an ordinary restart
    constexpr Millis downCheckPeriodMs = 1000; // ms between scans
    constexpr Millis downRepeatMs = 5000;      // ms between lines of one task
    constexpr std::size_t downLinesPerCheck = 5; // bounds the lines to 5 a second

    void logDown(Planner& planner, const TaskRef& ref)
    {
        Scheduler& scheduler = planner.scheduler;
        Task& task = *ref.task;
        WaitCause cause = waitCause(planner, ref);
        task.downReportedAt = planner.now;
        ++scheduler.down.lines[static_cast<std::size_t>(cause.reason)];
        Decision decision { "lastingTaskDown", ref.job->request.id, nameOf(ref), cause.worker,
            std::max(task.run, task.endedRun), std::string(nameOf(waitReasonNames, cause.reason)),
            { { "downMs", planner.now - task.downSince },
                { "lastEndMs", task.lastEndAt > 0 ? planner.now - task.lastEndAt : -1 },
                { "endedRun", task.endedRun } },
            ref.step->image };
        decision.inputs.insert(decision.inputs.end(), cause.inputs.begin(), cause.inputs.end());
        decision.texts = std::move(cause.texts);
        if (task.lastEndAt > 0)
            decision.texts.emplace_back("lastEnd", nameOf(endKindNames, task.lastEnd));
        logDecision(scheduler, std::move(decision));
    }

    // Updates the time since which each lasting task of the step is down, and collects those to report.
    void checkStep(Planner& planner, Job& job, Occurrence& occurrence, int occurrenceNumber, int stepNumber,
        std::vector<TaskRef>& due)
    {
        Scheduler& scheduler = planner.scheduler;
        const Candidate candidate { &job, &occurrence, occurrenceNumber, stepNumber };
        StepProgress& progress = occurrence.steps[static_cast<std::size_t>(stepNumber)];
        for (std::size_t i = 0; i < progress.tasks.size(); ++i) {
            Task& task = progress.tasks[i];
            if (isRunning(task)) {
                task.downSince = 0;
                continue;
            }
            if (task.downSince == 0)
                task.downSince = notRunningSince(scheduler, task, planner.now);
            if (planner.now - task.downSince <= downReportMs)
                continue;
            ++scheduler.down.tasks;
            if (task.downReportedAt == 0 || planner.now - task.downReportedAt >= downRepeatMs)
                due.push_back(refOf(candidate, static_cast<int>(i)));
        }
    }

} // namespace

void reportDownTasks(Planner& planner)
{
    DownReport& report = planner.scheduler.down;
    if (report.checkedAt != 0 && planner.now - report.checkedAt < downCheckPeriodMs)
        return;
    report.checkedAt = planner.now;
    report.tasks = 0;
    std::vector<TaskRef> due;
    for (const std::string& id : planner.scheduler.active) {
        Job& job = *planner.scheduler.jobs.at(id);
        for (auto& [number, occurrence] : job.occurrences) {
            if (!isOpen(job, occurrence, planner.nowUnixMs))
                continue;
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                if (job.request.steps[step].isLasting && isReady(occurrence, job.request, job.request.steps[step]))
                    checkStep(planner, job, occurrence, number, static_cast<int>(step), due);
            }
        }
    }
    const std::size_t count = std::min(due.size(), downLinesPerCheck);
    std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(count), due.end(),
        [](const TaskRef& a, const TaskRef& b) {
            return std::tuple(a.task->downReportedAt, a.task->downSince)
                < std::tuple(b.task->downReportedAt, b.task->downSince);
        });
    for (std::size_t i = 0; i < count; ++i)
        logDown(planner, due[i]);
}

} // namespace lacewing::scheduler
