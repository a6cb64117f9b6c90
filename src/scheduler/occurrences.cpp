// Opening and closing of occurrences.
#include "scheduler/occurrences.h"

#include "scheduler/internal.h"
#include "scheduler/run_number.h"

#include <algorithm>
#include <charconv>
#include <tuple>

namespace lacewing::scheduler {

namespace {

    // Bytes beside the sizes of the types: strings, nodes of maps, and what the allocator adds.
    constexpr std::int64_t bytesPerJob = 1500;
    constexpr std::int64_t bytesPerStep = 150;
    constexpr std::int64_t bytesPerTask = 100;
    constexpr Millis deferralLinePeriodMs = 5000; // ms between lines on occurrences that wait for memory

    std::optional<int> parseNumber(std::string_view text)
    {
        int value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size() || value < 0)
            return std::nullopt;
        return value;
    }

    bool isAcceptedInTerm(const Scheduler& scheduler, const Job& job) { return job.acceptedRevision > scheduler.token; }

    // Opens an occurrence in the course of a term. An earlier one may have started it.
    Occurrence& openInTerm(const Scheduler& scheduler, Job& job, int number, Millis now)
    {
        const bool isNew = job.occurrences.count(number) == 0;
        Occurrence& occurrence = openOccurrence(job, number);
        if (!isNew || isAcceptedInTerm(scheduler, job))
            return occurrence;
        const bool mayRun = !scheduler.isReconciled && !scheduler.hasPlacements;
        for (StepProgress& progress : occurrence.steps) {
            for (Task& task : progress.tasks) {
                task.phase = mayRun ? TaskPhase::Unknown : TaskPhase::Waiting;
                task.wasUnknown = mayRun;
                task.mayHaveRun = !mayRun && job.hasStarted;
                task.phaseSince = now;
            }
        }
        return occurrence;
    }

    // The next occurrence that is neither open nor ended; occurrenceCount() if there is none.
    int nextOccurrence(Job& job)
    {
        const int count = occurrenceCount(job.request);
        int& next = job.nextOccurrence;
        while (next < count && (job.occurrences.count(next) > 0 || contains(job.endedOccurrences, next)))
            ++next;
        return next;
    }

    bool isNextDue(const Scheduler& scheduler, Job& job, std::int64_t nowUnixMs)
    {
        if (isFinal(job.state) || nextOccurrence(job) >= occurrenceCount(job.request))
            return false;
        const bool mayBeAhead = !scheduler.isReconciled && !isAcceptedInTerm(scheduler, job);
        return dueUnixMs(job.request, job.nextOccurrence) <= nowUnixMs + (mayBeAhead ? clockDifferenceMs : 0);
    }

    // Closes the ended occurrences of a job that repeats.
    void closeEndedOccurrences(Job& job)
    {
        if (job.request.repeatCount <= 0)
            return;
        for (auto entry = job.occurrences.begin(); entry != job.occurrences.end();) {
            const Occurrence& occurrence = entry->second;
            const bool isOver = occurrence.isDone && job.committedVersion >= occurrence.endVersion
                && std::all_of(occurrence.steps.begin(), occurrence.steps.end(),
                    [](const StepProgress& progress) { return progress.placed == 0; });
            if (!isOver) {
                ++entry;
                continue;
            }
            insert(job.endedOccurrences, entry->first);
            entry = job.occurrences.erase(entry);
        }
    }

    void reportDeferred(Scheduler& scheduler, int jobs, Millis now)
    {
        scheduler.deferredJobs = jobs;
        if (jobs == 0 || (scheduler.deferralLoggedAt != 0 && now - scheduler.deferralLoggedAt < deferralLinePeriodMs))
            return;
        scheduler.deferralLoggedAt = now;
        logDecision(scheduler,
            { "occurrencesDeferred", {}, {}, {}, 0, "due occurrences wait for memory",
                { { "jobs", jobs }, { "stateBytes", scheduler.stateBytes },
                    { "limitBytes", scheduler.limits.stateBytes } } });
    }

} // namespace

int occurrenceCount(const JobRequest& request) { return std::max(1, request.repeatCount); }

std::int64_t taskCount(const JobRequest& request)
{
    std::int64_t tasks = 0;
    for (const Step& step : request.steps)
        tasks += step.count;
    return tasks;
}

std::int64_t dueUnixMs(const JobRequest& request, int number)
{
    return request.repeatCount > 0 ? request.firstStartUnixMs + number * request.intervalMs : 0;
}

std::int64_t occurrenceBytes(const JobRequest& request)
{
    const auto steps = static_cast<std::int64_t>(request.steps.size());
    return steps * static_cast<std::int64_t>(sizeof(StepProgress))
        + taskCount(request) * (static_cast<std::int64_t>(sizeof(Task)) + bytesPerTask);
}

std::int64_t workBytes(const JobRequest& request)
{
    const auto steps = static_cast<std::int64_t>(request.steps.size());
    return bytesPerJob + static_cast<std::int64_t>(request.payload.size())
        + steps * (static_cast<std::int64_t>(sizeof(Step)) + bytesPerStep) + occurrenceBytes(request);
}

std::int64_t acceptedWorkBytes(const Scheduler& scheduler)
{
    std::int64_t bytes = 0;
    for (const std::string& id : scheduler.active)
        bytes += scheduler.jobs.at(id)->workBytes;
    return bytes;
}

Occurrence& openOccurrence(Job& job, int number)
{
    const auto [entry, isNew] = job.occurrences.try_emplace(number);
    Occurrence& occurrence = entry->second;
    if (!isNew)
        return occurrence;
    occurrence.dueUnixMs = dueUnixMs(job.request, number);
    for (const Step& step : job.request.steps) {
        StepProgress progress;
        progress.tasks.resize(static_cast<std::size_t>(step.count));
        occurrence.steps.push_back(std::move(progress));
    }
    return occurrence;
}

void updateOccurrences(Scheduler& scheduler, Millis now, std::int64_t nowUnixMs)
{
    scheduler.stateBytes = 0;
    std::vector<Job*> due;
    for (const std::string& id : scheduler.active) {
        Job& job = *scheduler.jobs.at(id);
        closeEndedOccurrences(job);
        scheduler.stateBytes += static_cast<std::int64_t>(job.occurrences.size()) * job.occurrenceBytes;
        if (isNextDue(scheduler, job, nowUnixMs))
            due.push_back(&job);
    }
    // Each job runs something before others run several occurrences at a time; urgent and older jobs go first.
    std::stable_sort(due.begin(), due.end(), [](const Job* a, const Job* b) {
        return std::tuple(!a->occurrences.empty(), a->policy.priority, a->acceptedRevision)
            < std::tuple(!b->occurrences.empty(), b->policy.priority, b->acceptedRevision);
    });
    int deferred = 0;
    for (Job* job : due) {
        while (isNextDue(scheduler, *job, nowUnixMs)) {
            const bool hasRoom = scheduler.stateBytes + job->occurrenceBytes <= scheduler.limits.stateBytes;
            if (!hasRoom && scheduler.stateBytes > 0) {
                ++deferred;
                break;
            }
            openInTerm(scheduler, *job, job->nextOccurrence, now);
            scheduler.stateBytes += job->occurrenceBytes;
        }
    }
    reportDeferred(scheduler, deferred, now);
}

void dropWork(Scheduler& scheduler, Job& job)
{
    job.request.payload.clear();
    job.request.payload.shrink_to_fit();
    // Runs of an ended job that are not located count against the cap of its account.
    if (job.request.account.empty() || scheduler.isReconciled)
        job.occurrences.clear();
    scheduler.endedWorkBytes += job.workBytes;
}

std::optional<TaskName> parseTaskName(std::string_view name)
{
    const std::size_t third = name.rfind('.');
    const std::size_t second
        = third == std::string_view::npos || third == 0 ? std::string_view::npos : name.rfind('.', third - 1);
    const std::size_t first
        = second == std::string_view::npos || second == 0 ? std::string_view::npos : name.rfind('.', second - 1);
    if (first == std::string_view::npos)
        return std::nullopt;
    const auto occurrence = parseNumber(name.substr(first + 1, second - first - 1));
    const auto step = parseNumber(name.substr(second + 1, third - second - 1));
    const auto index = parseNumber(name.substr(third + 1));
    if (!occurrence || !step || !index)
        return std::nullopt;
    return TaskName { name.substr(0, first), *occurrence, *step, *index };
}

std::optional<TaskRef> findReportedTask(Scheduler& scheduler, const std::string& name, RunNumber run, Millis now)
{
    std::optional<TaskRef> ref = findTask(scheduler, name);
    const std::optional<TaskName> parsed = ref ? std::nullopt : parseTaskName(name);
    if (!parsed)
        return ref;
    const auto found = scheduler.jobs.find(std::string(parsed->job));
    if (found == scheduler.jobs.end())
        return ref;
    Job& job = *found->second;
    const bool isOpenable = !isFinal(job.state) && parsed->occurrence < occurrenceCount(job.request)
        && !contains(job.endedOccurrences, parsed->occurrence) && run < runLimit(scheduler, job);
    if (!isOpenable)
        return ref;
    openInTerm(scheduler, job, parsed->occurrence, now);
    return findTask(scheduler, name);
}

bool isOfEndedOccurrence(const Scheduler& scheduler, const std::string& name)
{
    const std::optional<TaskName> parsed = parseTaskName(name);
    const auto job = parsed ? scheduler.jobs.find(std::string(parsed->job)) : scheduler.jobs.end();
    return job != scheduler.jobs.end()
        && (isFinal(job->second->state) || contains(job->second->endedOccurrences, parsed->occurrence));
}

} // namespace lacewing::scheduler
