// The promises over the log of runs.
#include "soak/checks.h"

#include "scheduler/scheduler.h"

#include <algorithm>

namespace lacewing::soak {

namespace {

    using platform::standin::RunEvent;

    constexpr std::size_t idLength = 16;

    std::string ofRun(const Checks& checks, const RunEvent& event)
    {
        return event.task + " run " + std::to_string(event.run) + " on " + event.worker + " at "
            + timeText(checks, event.at);
    }

    // Names the runs of the task that were in progress or done.
    std::string otherRuns(const Checks& checks, const TaskFacts& task, const RunFacts* except)
    {
        std::string text;
        for (const RunFacts& run : task.runs) {
            if (&run != except && (run.endedAt == 0 || run.how == "done"))
                text += "; run " + std::to_string(run.number) + " on " + run.worker + " since "
                    + timeText(checks, run.startedAt)
                    + (run.endedAt == 0 ? "" : " " + run.how + " at " + timeText(checks, run.endedAt));
        }
        return text;
    }

    RunFacts* findRun(TaskFacts& task, const RunEvent& event)
    {
        const auto run = std::find_if(task.runs.rbegin(), task.runs.rend(),
            [&](const RunFacts& facts) { return facts.number == event.run && facts.worker == event.worker; });
        return run == task.runs.rend() ? nullptr : &*run;
    }

    void updateRoom(Checks& checks, std::int64_t at)
    {
        constexpr int roomShare = 2; // platform's rule: under half of the capacity is in use
        const bool hasRoom
            = checks.running * platform::standin::taskMillicores * roomShare < checks.workers * workerMillicores;
        if (!hasRoom)
            checks.hasRoomFrom = 0;
        else if (checks.hasRoomFrom == 0)
            checks.hasRoomFrom = at;
    }

    // No start after the last attempt, whose end is acknowledged before or after the start.
    void checkAttempts(Checks& checks, const TaskFacts& task, const std::string& name)
    {
        const RunFacts& last = task.runs.back();
        const auto failed = std::count_if(task.runs.begin(), task.runs.end(), [&](const RunFacts& run) {
            return run.how == "failed" && run.isAcknowledged && run.endedAt < last.startedAt;
        });
        if (failed >= platform::standin::maxAttempts)
            addViolation(checks,
                "start after " + std::to_string(failed) + " failed runs: " + name + " run "
                    + std::to_string(last.number) + " on " + last.worker + " at " + timeText(checks, last.startedAt));
    }

    void applyStart(Checks& checks, const RunEvent& event, JobFacts& job, TaskFacts& task)
    {
        ++checks.starts;
        if (task.running > 0)
            addViolation(checks, "two runs of a task: " + ofRun(checks, event) + otherRuns(checks, task, nullptr));
        if (task.isDoneAcknowledged)
            addViolation(
                checks, "start after an acknowledged end: " + ofRun(checks, event) + otherRuns(checks, task, nullptr));
        if (job.isRefused)
            addViolation(checks, "a refused job runs: " + ofRun(checks, event));
        if (job.cancelledAt > 0 && event.at > job.cancelledAt + cancelMs)
            addViolation(checks,
                "start after the cancel: " + ofRun(checks, event) + ", cancelled at "
                    + timeText(checks, job.cancelledAt));
        if (job.shape.isLasting && !task.runs.empty() && task.running == 0) {
            const auto last = std::max_element(task.runs.begin(), task.runs.end(),
                [](const RunFacts& a, const RunFacts& b) { return a.endedAt < b.endedAt; });
            checks.gaps.push_back({ event.task, last->endedAt, event.at });
        }
        const bool isRepeated = std::any_of(
            task.runs.begin(), task.runs.end(), [&](const RunFacts& run) { return run.number == event.run; });
        checks.repeatedNumbers += isRepeated ? 1 : 0;
        task.isReportedDown = false;
        ++task.running;
        ++checks.running;
        task.runs.push_back({ event.run, event.worker, event.at, 0, {}, false });
        if (!job.shape.isLasting)
            checkAttempts(checks, task, event.task);
    }

    void applyAcknowledgement(
        Checks& checks, const RunEvent& event, const JobFacts& job, TaskFacts& task, RunFacts& run)
    {
        run.isAcknowledged = true;
        if (run.how == "failed" && !job.shape.isLasting)
            checkAttempts(checks, task, event.task);
        if (run.how != "done")
            return;
        task.isDoneAcknowledged = true;
        if (std::any_of(task.runs.begin(), task.runs.end(),
                [&](const RunFacts& other) { return other.startedAt > run.endedAt; }))
            addViolation(checks,
                "start after an end that was then acknowledged: " + ofRun(checks, event)
                    + otherRuns(checks, task, &run));
    }

    void applyEvent(Checks& checks, const RunEvent& event)
    {
        const std::string id = event.task.substr(0, idLength);
        if (checks.jobs.count(id) == 0)
            addViolation(checks, "a job that nobody submitted runs: " + ofRun(checks, event));
        JobFacts& job = checks.jobs[id];
        TaskFacts& task = checks.tasks[event.task];
        if (event.what == "started") {
            applyStart(checks, event, job, task);
            updateRoom(checks, event.at);
            return;
        }
        RunFacts* run = findRun(task, event);
        if (!run) {
            addViolation(checks, "the log of runs ends a run that it did not start: " + ofRun(checks, event));
        } else if (event.what == "acknowledged") {
            applyAcknowledgement(checks, event, job, task, *run);
        } else {
            --task.running;
            --checks.running;
            run->endedAt = event.at;
            run->how = event.what;
            task.failed += event.what == "failed" ? 1 : 0;
            if (event.what == "done" && task.doneAt == 0)
                task.doneAt = event.at;
            updateRoom(checks, event.at);
        }
    }

    // When the task was last seen running, or when its job was accepted.
    std::int64_t downSince(const Checks& checks, const JobFacts& job, const std::string& name)
    {
        std::int64_t since = job.acceptedAt;
        const auto task = checks.tasks.find(name);
        if (task != checks.tasks.end()) {
            for (const RunFacts& run : task->second.runs)
                since = std::max(since, run.endedAt);
        }
        return since;
    }

    void checkLasting(Checks& checks, const JobFacts& job, const std::string& id)
    {
        for (const std::string& name : firstTasks(checks, id)) {
            TaskFacts& task = checks.tasks[name];
            const std::int64_t since = downSince(checks, job, name);
            if (task.running > 0 || task.isReportedDown || checks.knownUntil - since < lastingDownMs
                || !isCalm(checks.disturbances, checks.knownUntil - absentMs - calmMs, checks.knownUntil))
                continue;
            task.isReportedDown = true;
            addViolation(checks,
                "a lasting task does not run: " + name + " since " + timeText(checks, since) + ", seen at "
                    + timeText(checks, checks.knownUntil) + ", last disturbance ended at "
                    + timeText(checks, lastEnd(checks.disturbances)));
        }
    }

    // A job that is not over has a task whose turn has come.
    void checkIdle(Checks& checks, JobFacts& job, const std::string& id)
    {
        std::int64_t since = std::max(job.acceptedAt, checks.hasRoomFrom);
        int done = 0;
        for (auto it = checks.tasks.lower_bound(id); it != checks.tasks.end() && it->first.rfind(id, 0) == 0; ++it) {
            const TaskFacts& task = it->second;
            if (task.running > 0)
                return;
            for (const RunFacts& run : task.runs)
                since = std::max(since, run.endedAt);
            done += task.doneAt > 0 ? 1 : 0;
            job.isOver = job.isOver || task.failed >= platform::standin::maxAttempts;
        }
        job.isOver = job.isOver || done >= job.shape.firstTasks + job.shape.secondTasks;
        if (job.isOver || checks.hasRoomFrom == 0)
            return;
        checks.longestIdleMs
            = std::max(checks.longestIdleMs, checks.knownUntil - std::max(since, lastEnd(checks.disturbances)));
        const std::int64_t idleFrom = checks.knownUntil - idleMs;
        // Until its lease is over, a task that a worker out of reach may run does not start elsewhere.
        const bool mayRunOutOfReach = idleFrom - calmMs < checks.workerFaultAt + leaseMs;
        if (job.idleReportedFrom == since || since >= idleFrom || mayRunOutOfReach
            || !isCalm(checks.disturbances, idleFrom - calmMs, checks.knownUntil))
            return;
        job.idleReportedFrom = since;
        addViolation(checks,
            "a job has nothing running beside free workers: " + id + " since " + timeText(checks, since) + ", seen at "
                + timeText(checks, checks.knownUntil) + ", last disturbance ended at "
                + timeText(checks, lastEnd(checks.disturbances)));
    }

    void checkCancelled(Checks& checks, const JobFacts& job, const std::string& id)
    {
        const std::int64_t from = checks.knownUntil - cancelMs - stopTimeoutMs;
        if (job.cancelledAt > from || !isCalm(checks.disturbances, from - calmMs, checks.knownUntil))
            return;
        for (auto it = checks.tasks.lower_bound(id); it != checks.tasks.end() && it->first.rfind(id, 0) == 0; ++it) {
            TaskFacts& task = it->second;
            if (task.running > 0 && !task.isReportedDown) {
                task.isReportedDown = true;
                addViolation(checks,
                    "a cancelled task runs on: " + it->first + " at " + timeText(checks, checks.knownUntil)
                        + ", cancelled at " + timeText(checks, job.cancelledAt));
            }
        }
    }

} // namespace

bool isCalm(const Disturbances& disturbances, std::int64_t from, std::int64_t to)
{
    return std::none_of(disturbances.begin(), disturbances.end(),
        [&](const Disturbance& disturbance) { return disturbance.from <= to && disturbance.to >= from; });
}

bool isCalmButForStops(const Disturbances& disturbances, std::int64_t from, std::int64_t to)
{
    return std::none_of(disturbances.begin(), disturbances.end(), [&](const Disturbance& disturbance) {
        return !disturbance.isPlanned && disturbance.from <= to && disturbance.to >= from;
    });
}

std::int64_t lastEnd(const Disturbances& disturbances)
{
    std::int64_t end = 0;
    for (const Disturbance& disturbance : disturbances)
        end = std::max(end, disturbance.to);
    return end;
}

std::string timeText(const Checks& checks, std::int64_t at) { return std::to_string(at - checks.origin) + " ms"; }

void addViolation(Checks& checks, const std::string& text) { checks.violations.push_back(text); }

void applyRuns(Checks& checks, const platform::standin::RunLog& log)
{
    for (const RunEvent& event : log.events) {
        if (event.number <= checks.lastEvent)
            continue;
        if (event.number != checks.lastEvent + 1)
            addViolation(checks, "the log of runs lacks events before " + std::to_string(event.number));
        checks.lastEvent = event.number;
        applyEvent(checks, event);
    }
    checks.knownUntil = std::max(checks.knownUntil, log.at);
}

void checkFinalState(Checks& checks, const std::string& id, scheduler::JobState state)
{
    const JobFacts& job = checks.jobs[id];
    if (state == scheduler::JobState::Failed && job.shape.failedRuns != platform::standin::failsAlways)
        addViolation(checks, "a job that can be done is shown as failed: " + id);
    if (state == scheduler::JobState::Cancelled && job.cancelSentAt == 0)
        addViolation(checks, "a job that nobody cancelled is shown as cancelled: " + id);
    int done = 0;
    int mostFailures = 0;
    for (auto it = checks.tasks.lower_bound(id); it != checks.tasks.end() && it->first.rfind(id, 0) == 0; ++it) {
        done += it->second.doneAt > 0 ? 1 : 0;
        mostFailures = std::max(mostFailures, it->second.failed);
    }
    if (state == scheduler::JobState::Failed && mostFailures < platform::standin::maxAttempts)
        addViolation(checks, "a job is shown as failed after " + std::to_string(mostFailures) + " failed runs: " + id);
    if (state != scheduler::JobState::Completed)
        return;
    if (job.shape.isLasting || done < job.shape.firstTasks + job.shape.secondTasks)
        addViolation(checks, "a job is shown as completed before its tasks are done: " + id);
}

void checkRunning(Checks& checks)
{
    for (auto& [id, job] : checks.jobs) {
        if (job.cancelledAt > 0)
            checkCancelled(checks, job, id);
        else if (job.shape.isLasting && job.acceptedAt > 0 && job.cancelSentAt == 0)
            checkLasting(checks, job, id);
        else if (!job.shape.isLasting && job.acceptedAt > 0 && job.cancelSentAt == 0 && !job.isOver)
            checkIdle(checks, job, id);
    }
}

bool isOutdated(
    const std::map<int, VersionFacts>& versions, int number, int status, std::int64_t sentAt, std::int64_t answeredAt)
{
    const auto facts = [&](int version) {
        const auto found = versions.find(version);
        return found == versions.end() ? VersionFacts {} : found->second;
    };
    const auto isInForce = [&](const VersionFacts& version) {
        return version.acceptedAt > 0 && sentAt > version.acceptedAt + configurationMs;
    };
    const VersionFacts removal = facts(number + keptVersions);
    const bool mayBeRemoved = removal.sentAt > 0 && removal.sentAt <= answeredAt;
    return (status == 404 && isInForce(facts(number)) && !mayBeRemoved) || (status == 200 && isInForce(removal));
}

std::vector<std::string> firstTasks(const Checks& checks, const std::string& job)
{
    const int tasks = checks.jobs.at(job).shape.firstTasks;
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(tasks));
    for (int i = 0; i < tasks; ++i)
        names.push_back(scheduler::taskName(job, 0, 0, i));
    return names;
}

bool areFirstStepsRunning(const Checks& checks)
{
    for (const auto& [id, job] : checks.jobs) {
        if (job.cancelSentAt > 0 || job.isRefused)
            continue;
        for (const std::string& name : firstTasks(checks, id)) {
            const auto task = checks.tasks.find(name);
            if (task == checks.tasks.end() || task->second.running == 0)
                return false;
        }
    }
    return true;
}

} // namespace lacewing::soak
