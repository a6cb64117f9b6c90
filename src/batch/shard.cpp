// State changes of the jobs of one shard.
#include "batch/shard.h"

#include <algorithm>
#include <string>

namespace lacewing::batch {

namespace {

    using Code = ShardError::Code;

    ShardError error(Code code, std::string detail) { return ShardError { code, std::move(detail) }; }

    bool isValidName(std::string_view text, std::size_t maxBytes)
    {
        return text.size() <= maxBytes
            && std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
    }

    ShardResult<Job*> findJob(Shard& shard, const base::JobId& id)
    {
        const auto found = shard.jobs.find(id);
        if (found == shard.jobs.end())
            return error(Code::UnknownJob, "no job " + id.value);
        return &found->second;
    }

    // The job when it is placed and the attempt is its newest.
    ShardResult<Job*> findAttempt(Shard& shard, const base::JobId& id, std::uint32_t attempt)
    {
        BOOST_OUTCOME_TRY(job, findJob(shard, id));
        if (job->attempt != attempt)
            return error(Code::WrongAttempt, "newest attempt is " + std::to_string(job->attempt));
        if (!isPlaced(job->state))
            return error(Code::IllegalState, std::string(base::nameOf(jobStateNames, job->state)));
        return job;
    }

    void dropOldest(Shard& shard, std::size_t keep)
    {
        while (shard.finished.size() > keep) {
            shard.jobs.erase(shard.finished.front());
            shard.finished.pop_front();
        }
    }

    void endJob(Shard& shard, Job& job, JobState state, std::string_view reason, const ShardLimits& limits)
    {
        job.state = state;
        job.reason = std::string(reason.substr(0, limits.maxReasonBytes));
        std::replace_if(
            job.reason.begin(), job.reason.end(), [](char c) { return c < 0x20 || c >= 0x7f; }, '?');
        appendEvent(job, base::nameOf(jobStateNames, state), limits);
        --shard.active;
        shard.finished.push_back(job.spec.id);
        dropOldest(shard, limits.maxFinished);
    }

    void clearPlacement(Job& job)
    {
        job.worker = {};
        job.granted = {};
        job.isConfirmed = false;
    }

    JobState requeue(Shard& shard, Job& job, std::string_view why, const ShardLimits& limits)
    {
        clearPlacement(job);
        if (job.isCancelRequested) {
            endJob(shard, job, JobState::Cancelled, "cancelled", limits);
            return JobState::Cancelled;
        }
        job.state = JobState::Queued;
        appendEvent(job, why, limits);
        return JobState::Queued;
    }

    ShardResult<void> checkSpec(const JobSpec& spec, const ShardLimits& limits)
    {
        if (spec.id.empty() || !isValidName(spec.id.value, limits.maxIdBytes))
            return error(Code::InvalidJob, "id: 1 to " + std::to_string(limits.maxIdBytes) + " printable characters");
        if (!isValidName(spec.team.value, limits.maxIdBytes) || !isValidName(spec.service.value, limits.maxIdBytes)
            || !isValidName(spec.dataCentre.value, limits.maxIdBytes))
            return error(Code::InvalidJob, "team, service and dataCentre: printable characters");
        const Resources& size = spec.resources;
        constexpr std::int64_t largest = 1'000'000'000;
        if (size.cpuMilli < 1 || size.memoryMb < 0 || size.accelerators < 0 || size.cpuMilli > largest
            || size.memoryMb > largest || size.accelerators > largest)
            return error(Code::InvalidJob, "resources: cpuMilli at least 1, others at least 0");
        if (spec.durationMs < 0)
            return error(Code::InvalidJob, "durationMs: at least 0");
        return base::success();
    }

} // namespace

void appendEvent(Job& job, std::string_view text, const ShardLimits& limits)
{
    if (job.spec.jobClass != JobClass::Watch)
        return;
    std::string kept(text.substr(0, limits.maxEventBytes));
    std::replace_if(
        kept.begin(), kept.end(), [](char c) { return c < 0x20 || c >= 0x7f; }, '?');
    job.events.push_back({ job.nextCursor++, std::move(kept) });
    if (job.events.size() > limits.maxEventsPerJob)
        job.events.erase(job.events.begin());
}

ShardResult<bool> submit(Shard& shard, const JobSpec& spec, const ShardLimits& limits)
{
    BOOST_OUTCOME_TRY(checkSpec(spec, limits));
    const auto found = shard.jobs.find(spec.id);
    if (found != shard.jobs.end()) {
        if (found->second.spec == spec)
            return false;
        return error(Code::ContentDiffers, "id " + spec.id.value + " exists with other content");
    }
    if (shard.active >= limits.maxJobs)
        return error(Code::Full, std::to_string(shard.active) + " jobs");
    Job job;
    job.spec = spec;
    job.order = shard.nextOrder++;
    appendEvent(job, "queued", limits);
    shard.jobs.emplace(spec.id, std::move(job));
    ++shard.active;
    return true;
}

ShardResult<bool> cancel(Shard& shard, const base::JobId& id, const ShardLimits& limits)
{
    BOOST_OUTCOME_TRY(job, findJob(shard, id));
    if (job->state == JobState::Transferring || job->state == JobState::Moved)
        return error(Code::IllegalState, job->transferTarget);
    if (isTerminal(job->state))
        return true;
    if (job->state == JobState::Queued) {
        endJob(shard, *job, JobState::Cancelled, "cancelled", limits);
        return true;
    }
    job->isCancelRequested = true;
    return false;
}

ShardResult<std::uint32_t> plan(
    Shard& shard, const base::JobId& id, const base::WorkerId& worker, const Resources& granted)
{
    BOOST_OUTCOME_TRY(job, findJob(shard, id));
    if (job->state != JobState::Queued)
        return error(Code::IllegalState, std::string(base::nameOf(jobStateNames, job->state)));
    job->state = JobState::Planned;
    job->worker = worker;
    job->granted = granted;
    job->isConfirmed = false;
    return ++job->attempt;
}

ShardResult<JobState> withdrawPlan(
    Shard& shard, const base::JobId& id, std::uint32_t attempt, const ShardLimits& limits)
{
    BOOST_OUTCOME_TRY(job, findAttempt(shard, id, attempt));
    if (job->isConfirmed)
        return error(Code::IllegalState, "the attempt was started");
    return requeue(shard, *job, "queued", limits);
}

ShardResult<void> onStarted(Shard& shard, const base::JobId& id, std::uint32_t attempt)
{
    BOOST_OUTCOME_TRY(job, findAttempt(shard, id, attempt));
    job->state = JobState::Running;
    job->isConfirmed = true;
    return base::success();
}

ShardResult<void> onFinished(Shard& shard, const base::JobId& id, std::uint32_t attempt, const ShardLimits& limits)
{
    BOOST_OUTCOME_TRY(job, findAttempt(shard, id, attempt));
    clearPlacement(*job);
    endJob(shard, *job, JobState::Finished, {}, limits);
    return base::success();
}

ShardResult<JobState> onFailed(
    Shard& shard, const base::JobId& id, std::uint32_t attempt, std::string_view reason, const ShardLimits& limits)
{
    BOOST_OUTCOME_TRY(job, findAttempt(shard, id, attempt));
    if (std::find(job->failedOn.begin(), job->failedOn.end(), job->worker) == job->failedOn.end())
        job->failedOn.push_back(job->worker);
    if (job->failedOn.size() >= limits.maxFailedWorkers && !job->isCancelRequested) {
        clearPlacement(*job);
        endJob(shard, *job, JobState::Failed, reason, limits);
        return JobState::Failed;
    }
    return requeue(shard, *job, "failed attempt", limits);
}

ShardResult<JobState> onEnded(
    Shard& shard, const base::JobId& id, std::uint32_t attempt, std::int64_t checkpointMs, const ShardLimits& limits)
{
    BOOST_OUTCOME_TRY(job, findAttempt(shard, id, attempt));
    job->checkpointMs = std::max(job->checkpointMs, checkpointMs);
    job->progressMs = job->checkpointMs;
    return requeue(shard, *job, "evicted", limits);
}

ShardResult<void> onProgress(
    Shard& shard, const base::JobId& id, std::uint32_t attempt, std::int64_t checkpointMs, std::int64_t progressMs)
{
    BOOST_OUTCOME_TRY(job, findAttempt(shard, id, attempt));
    job->checkpointMs = std::max(job->checkpointMs, checkpointMs);
    job->progressMs = progressMs;
    return base::success();
}

ShardResult<JobState> onAbsent(Shard& shard, const base::JobId& id, std::uint32_t attempt, const ShardLimits& limits)
{
    BOOST_OUTCOME_TRY(job, findAttempt(shard, id, attempt));
    if (job->isConfirmed)
        return onEnded(shard, id, attempt, 0, limits);
    job->state = JobState::Planned;
    return JobState::Planned;
}

std::size_t onWorkerUnreachable(Shard& shard, const base::WorkerId& worker)
{
    std::size_t changed = 0;
    for (auto& [id, job] : shard.jobs) {
        if (job.worker == worker && (job.state == JobState::Planned || job.state == JobState::Running)) {
            job.state = JobState::Unknown;
            ++changed;
        }
    }
    return changed;
}

ShardResult<void> failJob(Shard& shard, const base::JobId& id, std::string_view reason, const ShardLimits& limits)
{
    BOOST_OUTCOME_TRY(job, findJob(shard, id));
    if (job->state != JobState::Queued)
        return error(Code::IllegalState, std::string(base::nameOf(jobStateNames, job->state)));
    endJob(shard, *job, JobState::Failed, reason, limits);
    return base::success();
}

ShardResult<std::uint64_t> beginTransfer(Shard& source, const base::JobId& id, const ShardKey& target)
{
    BOOST_OUTCOME_TRY(job, findJob(source, id));
    if (job->state != JobState::Queued || target == source.key)
        return error(Code::IllegalState, std::string(base::nameOf(jobStateNames, job->state)));
    job->state = JobState::Transferring;
    job->transferTarget = target;
    job->transferNumber = source.nextTransfer++;
    return job->transferNumber;
}

ShardResult<bool> acceptTransfer(Shard& target, const ShardKey& source, std::uint64_t number,
    std::uint64_t settledBelow, const Job& job, const ShardLimits& limits)
{
    TransferWindow& window = target.transfersFrom[source];
    if (settledBelow > window.floor) {
        window.floor = settledBelow;
        std::erase_if(window.accepted, [&](std::uint64_t accepted) { return accepted < window.floor; });
    }
    const auto place = std::lower_bound(window.accepted.begin(), window.accepted.end(), number);
    if (number < window.floor || (place != window.accepted.end() && *place == number))
        return false;
    if (target.active >= limits.maxJobs)
        return error(Code::Full, std::to_string(target.active) + " jobs");
    window.accepted.insert(place, number);
    const auto found = target.jobs.find(job.spec.id);
    if (found != target.jobs.end()) {
        // A job that returns replaces its own `moved` record, and also a transfer whose acceptance has not been heard:
        // only the shard that accepted it can have passed it on. Any other entry already stands for the job.
        if (found->second.state == JobState::Moved)
            std::erase(target.finished, job.spec.id);
        else if (found->second.state == JobState::Transferring)
            --target.active;
        else
            return true;
        target.jobs.erase(found);
    }
    Job moved = job;
    moved.state = JobState::Queued;
    moved.order = target.nextOrder++;
    moved.transferTarget.clear();
    moved.transferNumber = 0;
    clearPlacement(moved);
    appendEvent(moved, "moved", limits);
    target.jobs.emplace(moved.spec.id, std::move(moved));
    ++target.active;
    return true;
}

ShardResult<void> endTransfer(Shard& source, const base::JobId& id, std::uint64_t number, const ShardLimits& limits)
{
    BOOST_OUTCOME_TRY(job, findJob(source, id));
    if (job->state != JobState::Transferring || job->transferNumber != number)
        return error(Code::IllegalState, "no transfer " + std::to_string(number));
    endJob(source, *job, JobState::Moved, {}, limits);
    return base::success();
}

std::uint64_t lowestOpenTransfer(const Shard& source)
{
    std::uint64_t lowest = source.nextTransfer;
    for (const auto& [id, job] : source.jobs) {
        if (job.state == JobState::Transferring)
            lowest = std::min(lowest, job.transferNumber);
    }
    return lowest;
}

ShardResult<EventPage> eventsAfter(const Shard& shard, const base::JobId& id, std::uint64_t cursor)
{
    const auto found = shard.jobs.find(id);
    if (found == shard.jobs.end())
        return error(Code::UnknownJob, "no job " + id.value);
    const Job& job = found->second;
    EventPage page;
    page.nextCursor = job.nextCursor - 1;
    for (const JobEvent& event : job.events) {
        if (event.cursor > cursor)
            page.events.push_back(event);
    }
    const std::uint64_t oldest = job.events.empty() ? job.nextCursor : job.events.front().cursor;
    page.hasGap = cursor + 1 < oldest;
    return page;
}

} // namespace lacewing::batch
