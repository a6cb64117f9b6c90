// Phases of a term as metrics.
#include "daemon/recovery_watch.h"

namespace lacewing::daemon {

namespace {

    void recordPhase(const TermPhases& phases, base::Metrics& metrics, const char* phase, scheduler::Millis reachedAt)
    {
        metrics
            .latency("lacewing_term_phase_seconds",
                "Time from the beginning of a term of this daemon until it reached a phase.", { { "phase", phase } })
            .record(base::milliseconds(phaseMs(phases, reachedAt)));
    }

    void setUnknownTasks(base::Metrics& metrics, int all, int lasting)
    {
        constexpr auto name = "lacewing_unknown_tasks";
        constexpr auto help = "Tasks that may run on a worker that has not reported in this term, each second.";
        metrics.gauge(name, help, { { "lasting", "true" } }).value = lasting;
        metrics.gauge(name, help, { { "lasting", "false" } }).value = all - lasting;
    }

    void setLastingDown(base::Metrics& metrics, int count)
    {
        metrics.gauge("lacewing_lasting_tasks_down", "Lasting tasks that have not been running for 3 s, each second.")
            .value
            = count;
    }

    using ReasonLines = std::array<std::uint64_t, scheduler::waitReasonNames.size()>;

    // Adds the lines to the counter of their reason, and clears them.
    void countLines(base::Metrics& metrics, const char* name, const char* help, ReasonLines& lines)
    {
        for (std::size_t i = 0; i < lines.size(); ++i) {
            if (lines[i] == 0)
                continue;
            const std::string reason(scheduler::waitReasonNames[i].second);
            metrics.counter(name, help, { { "reason", reason } }).value += lines[i];
            lines[i] = 0;
        }
    }

    void setJobsWithoutRuns(base::Metrics& metrics, const scheduler::WaitingReport& waiting)
    {
        constexpr auto name = "lacewing_jobs_without_runs";
        constexpr auto help = "Jobs with a ready step and without runs for 1 s, by reason, each second.";
        for (std::size_t i = 0; i < waiting.byReason.size(); ++i) {
            const std::string reason(scheduler::waitReasonNames[i].second);
            metrics.gauge(name, help, { { "reason", reason } }).value = waiting.byReason[i];
        }
        metrics.gauge(name, help, { { "reason", "unchecked" } }).value = waiting.unchecked;
    }

} // namespace

scheduler::Millis phaseMs(const TermPhases& phases, scheduler::Millis reachedAt)
{
    return reachedAt > 0 ? reachedAt - phases.begunAt : -1;
}

void recordTermBegun(TermPhases& phases, base::Metrics& metrics, std::int64_t token, scheduler::Millis now)
{
    phases = {};
    phases.token = token;
    phases.begunAt = now;
    ++metrics.counter("lacewing_terms_begun_total", "Terms of this daemon.").value;
}

void recordTermLoaded(TermPhases& phases, base::Metrics& metrics, scheduler::Millis now)
{
    phases.loadedAt = now;
    recordPhase(phases, metrics, "loaded", now);
}

void recordRecovery(TermPhases& phases, base::Metrics& metrics, scheduler::Scheduler& scheduler)
{
    const scheduler::RecoveryReport& report = scheduler.recovery;
    scheduler::DownReport& down = scheduler.down;
    if (phases.accountedAt == 0 && report.accountedAt != 0) {
        phases.accountedAt = report.accountedAt;
        recordPhase(phases, metrics, "accounted", report.accountedAt);
    }
    if (phases.firstFreedStartAt == 0 && report.firstFreedStartAt != 0) {
        phases.firstFreedStartAt = report.firstFreedStartAt;
        recordPhase(phases, metrics, "firstStart", report.firstFreedStartAt);
    }
    setUnknownTasks(metrics, report.unknown.tasks, report.unknown.lasting);
    setLastingDown(metrics, down.tasks);
    countLines(metrics, "lacewing_lasting_task_down_lines_total", "Lines lastingTaskDown by reason.", down.lines);
    scheduler::WaitingReport& waiting = scheduler.waiting;
    if (waiting.hasNewCounts) {
        setJobsWithoutRuns(metrics, waiting);
        countLines(metrics, "lacewing_job_waiting_lines_total", "Lines jobWaiting by reason.", waiting.lines);
        waiting.hasNewCounts = false;
    }
}

void recordTermEnded(base::Metrics& metrics)
{
    setUnknownTasks(metrics, 0, 0);
    setLastingDown(metrics, 0);
    setJobsWithoutRuns(metrics, {});
}

} // namespace lacewing::daemon
