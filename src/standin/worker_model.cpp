// Transitions of a worker.
#include "standin/worker_model.h"

#include <algorithm>

namespace lacewing::standin {

namespace {

    constexpr std::size_t maxSamples = 5000; // oldest ones are dropped

    TaskRecord& recordOf(WorkerModel& worker, const std::string& task) { return worker.ledger->tasks[task]; }

    void end(WorkerModel& worker, const std::string& name, TaskRun& run, TaskState state)
    {
        run.state = state;
        TaskRecord& record = recordOf(worker, name);
        --record.running;
        record.finished += state == TaskState::Finished ? 1 : 0;
        record.failed += state == TaskState::Failed ? 1 : 0;
        record.stopped += state == TaskState::Stopped ? 1 : 0;
        record.expired += state == TaskState::Expired ? 1 : 0;
    }

    std::int64_t actualCpu(const WorkerModel& worker, const TaskRun& run)
    {
        const auto wanted = static_cast<std::int64_t>(static_cast<double>(run.resources.cpuMilli) * worker.usageFactor);
        return run.throttleMilli > 0 ? std::min(run.throttleMilli, wanted) : wanted;
    }

    // Share of the processors that each task gets; below 1 when the tasks use more than there is.
    double processorShare(const WorkerModel& worker)
    {
        std::int64_t used = 0;
        for (const auto& [name, run] : worker.tasks)
            used += isRunning(run.state) ? actualCpu(worker, run) : 0;
        if (used <= worker.capacity.cpuMilli)
            return 1.0;
        return static_cast<double>(worker.capacity.cpuMilli) / static_cast<double>(used);
    }

    // Speed relative to the declared run time.
    double speedOf(const WorkerModel& worker, const TaskRun& run, double share)
    {
        const std::int64_t wanted = std::max<std::int64_t>(1, run.resources.cpuMilli);
        const double throttled = run.throttleMilli > 0
            ? std::min(1.0, static_cast<double>(run.throttleMilli) / static_cast<double>(wanted))
            : 1.0;
        return share * throttled / worker.durationFactor;
    }

    base::Duration scaled(base::Duration duration, double factor)
    {
        return base::Duration(static_cast<base::Duration::rep>(static_cast<double>(duration.count()) * factor));
    }

    void moveTask(WorkerModel& worker, const std::string& name, TaskRun& run, base::TimePoint now, double share)
    {
        // A task does no work after its lease has run out.
        const base::TimePoint until = std::min(now, run.leaseUntil);
        const base::Duration elapsed = std::max(base::Duration(0), until - worker.movedTo);
        run.progress = std::min(run.duration, run.progress + scaled(elapsed, speedOf(worker, run, share)));
        if (run.state == TaskState::Checkpointing) {
            run.checkpointLeft -= elapsed;
            if (run.checkpointLeft <= base::Duration(0)) {
                run.checkpoint = run.progress;
                run.state = TaskState::Running;
            }
        }
        if (run.progress >= run.duration)
            end(worker, name, run, TaskState::Finished);
        else if (now >= run.leaseUntil)
            end(worker, name, run, TaskState::Expired);
    }

    void sample(WorkerModel& worker, base::TimePoint now, double share)
    {
        if (now - worker.sampledAt < worker.reportInterval)
            return;
        worker.sampledAt = now;
        for (const auto& [name, run] : worker.tasks) {
            if (!isRunning(run.state))
                continue;
            const auto memory
                = static_cast<std::int64_t>(static_cast<double>(run.resources.memoryMb) * worker.usageFactor);
            worker.samples.push_back({ now, name, run.attempt, actualCpu(worker, run), memory, 1.0 / share });
        }
        while (worker.samples.size() > maxSamples)
            worker.samples.pop_front();
    }

    TaskRun* find(WorkerModel& worker, const std::string& task, std::uint64_t attempt)
    {
        const auto found = worker.tasks.find(task);
        return found != worker.tasks.end() && found->second.attempt == attempt ? &found->second : nullptr;
    }

    bool fits(const WorkerModel& worker, const Resources& wanted)
    {
        const Resources used = committed(worker);
        return used.cpuMilli + wanted.cpuMilli <= worker.capacity.cpuMilli
            && used.memoryMb + wanted.memoryMb <= worker.capacity.memoryMb
            && used.accelerators + wanted.accelerators <= worker.capacity.accelerators;
    }

} // namespace

bool isRunning(TaskState state) { return state == TaskState::Running || state == TaskState::Checkpointing; }

Resources committed(const WorkerModel& worker)
{
    Resources used;
    for (const auto& [name, run] : worker.tasks) {
        if (!isRunning(run.state))
            continue;
        used.cpuMilli += run.resources.cpuMilli;
        used.memoryMb += run.resources.memoryMb;
        used.accelerators += run.resources.accelerators;
    }
    return used;
}

void moveTo(WorkerModel& worker, base::TimePoint now)
{
    if (now <= worker.movedTo)
        return;
    const double share = processorShare(worker);
    for (auto& [name, run] : worker.tasks) {
        if (isRunning(run.state))
            moveTask(worker, name, run, now, share);
    }
    sample(worker, now, share);
    worker.movedTo = now;
}

WorkerAnswer fence(WorkerModel& worker, std::uint64_t epoch, const std::string& owner, base::TimePoint now)
{
    moveTo(worker, now);
    if (epoch < worker.epoch)
        return WorkerAnswer::StaleEpoch;
    worker.epoch = epoch;
    worker.owner = owner;
    return WorkerAnswer::Done;
}

WorkerAnswer start(WorkerModel& worker, const StartRequest& request, base::TimePoint now)
{
    moveTo(worker, now);
    if (request.epoch < worker.epoch)
        return WorkerAnswer::StaleEpoch;
    worker.epoch = request.epoch;
    if (const auto found = worker.tasks.find(request.task); found != worker.tasks.end()) {
        TaskRun& run = found->second;
        if (request.attempt < run.attempt)
            return WorkerAnswer::OlderAttempt;
        if (request.attempt == run.attempt)
            return isRunning(run.state) ? WorkerAnswer::Already : WorkerAnswer::OlderAttempt;
        // The owner has given the running attempt up: it ends before the later one starts.
        if (isRunning(run.state))
            end(worker, request.task, run, TaskState::Stopped);
    }
    if (!fits(worker, request.resources))
        return WorkerAnswer::Capacity;
    TaskRun run;
    run.attempt = request.attempt;
    run.resources = request.resources;
    run.duration = request.duration;
    run.progress = request.checkpoint;
    run.checkpoint = request.checkpoint;
    run.leaseUntil = now + request.lease;
    TaskRun& stored = worker.tasks[request.task] = run;
    TaskRecord& record = recordOf(worker, request.task);
    record.starts.push_back({ worker.id, worker.dataCentre, request.attempt, now });
    record.maxRunning = std::max(record.maxRunning, ++record.running);
    if (worker.failsEverything)
        end(worker, request.task, stored, TaskState::Failed);
    return WorkerAnswer::Done;
}

WorkerAnswer renew(WorkerModel& worker, std::uint64_t epoch, base::Duration lease, base::TimePoint now)
{
    moveTo(worker, now);
    if (epoch < worker.epoch)
        return WorkerAnswer::StaleEpoch;
    worker.epoch = epoch;
    for (auto& [name, run] : worker.tasks) {
        if (isRunning(run.state))
            run.leaseUntil = std::max(run.leaseUntil, now + lease);
    }
    return WorkerAnswer::Done;
}

WorkerAnswer checkpoint(
    WorkerModel& worker, const std::string& task, std::uint64_t attempt, std::uint64_t epoch, base::TimePoint now)
{
    moveTo(worker, now);
    if (epoch < worker.epoch)
        return WorkerAnswer::StaleEpoch;
    TaskRun* run = find(worker, task, attempt);
    if (run == nullptr || !isRunning(run->state))
        return WorkerAnswer::NotFound;
    if (run->state == TaskState::Running) {
        run->state = TaskState::Checkpointing;
        run->checkpointLeft = worker.checkpointTime;
    }
    return WorkerAnswer::Done;
}

WorkerAnswer throttle(WorkerModel& worker, const std::string& task, std::uint64_t attempt, std::uint64_t epoch,
    std::int64_t cpuMilli, base::TimePoint now)
{
    moveTo(worker, now);
    if (epoch < worker.epoch)
        return WorkerAnswer::StaleEpoch;
    TaskRun* run = find(worker, task, attempt);
    if (run == nullptr || !isRunning(run->state))
        return WorkerAnswer::NotFound;
    run->throttleMilli = cpuMilli;
    return WorkerAnswer::Done;
}

WorkerAnswer stop(
    WorkerModel& worker, const std::string& task, std::uint64_t attempt, std::uint64_t epoch, base::TimePoint now)
{
    moveTo(worker, now);
    if (epoch < worker.epoch)
        return WorkerAnswer::StaleEpoch;
    TaskRun* run = find(worker, task, attempt);
    if (run == nullptr)
        return WorkerAnswer::NotFound;
    if (isRunning(run->state))
        end(worker, task, *run, TaskState::Stopped);
    return WorkerAnswer::Done;
}

WorkerAnswer acknowledge(
    WorkerModel& worker, const std::string& task, std::uint64_t attempt, std::uint64_t epoch, base::TimePoint now)
{
    moveTo(worker, now);
    if (epoch < worker.epoch)
        return WorkerAnswer::StaleEpoch;
    const TaskRun* run = find(worker, task, attempt);
    if (run == nullptr || isRunning(run->state))
        return WorkerAnswer::NotFound;
    worker.tasks.erase(task);
    return WorkerAnswer::Done;
}

std::vector<UsageSample> visibleReports(WorkerModel& worker, base::TimePoint now)
{
    moveTo(worker, now);
    // The newest visible sample of each task.
    std::map<std::string, UsageSample> newest;
    for (const UsageSample& entry : worker.samples) {
        if (now - entry.at >= worker.reportLag)
            newest[entry.task] = entry;
    }
    std::vector<UsageSample> result;
    result.reserve(newest.size());
    for (const auto& [task, entry] : newest) {
        if (worker.tasks.contains(task))
            result.push_back(entry);
    }
    return result;
}

void lose(WorkerModel& worker, base::TimePoint now)
{
    moveTo(worker, now);
    for (auto& [name, run] : worker.tasks) {
        if (isRunning(run.state))
            end(worker, name, run, TaskState::Stopped);
    }
    worker.tasks.clear();
    worker.samples.clear();
    worker.epoch = 0;
    worker.owner.clear();
}

} // namespace lacewing::standin
