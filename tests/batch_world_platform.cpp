// The store and the workers of the dispatcher tests, with lost, late and refused calls.
#include "batch_world.h"

#include <algorithm>

namespace lacewing::batch::test {

// --- Store ---

void World::applyWrite(const WriteShard& write)
{
    FakeEntry& entry = store[write.key];
    entry.version = write.expectedVersion + 1;
    entry.value = write.value;
    entry.operation = write.operation;
    const ShardResult<Shard> shard = decode(write.value, ShardLimits());
    if (!shard) {
        violate("written value cannot be decoded: " + shard.error().detail);
        return;
    }
    entry.owner = shard.value().owner;
    for (const auto& [id, job] : shard.value().jobs) {
        if (isTerminal(job.state) && job.state != JobState::Moved)
            durableEnd[id] = job.state;
    }
    if (write.value.size() >= ShardLimits().maxValueBytes)
        violate("value too large");
}

void World::toStore(std::size_t index, const WriteShard& write)
{
    ++storeWrites;
    const std::uint64_t incarnation = daemons[index].incarnation;
    const TimePoint issued = now;
    const bool isCut = now < daemons[index].storeCutUntil;
    const double lossRate = isCalm ? 0 : now < lossyUntil ? 0.4 : options.lostWriteReplies;
    const bool isLost = base::chance(rng, lossRate);
    const bool isReplyLost = base::chance(rng, lossRate);
    // A lost write may take effect after its time-out.
    const Duration delay = isLost ? randomDuration(rng, milliseconds(1), seconds(3))
                                  : randomDuration(rng, milliseconds(1), milliseconds(20));
    const auto unknown = [key = write.key, operation = write.operation](TimePoint at) {
        return [key, operation, at](Dispatcher& d, Effects& out) { onShardWriteUnknown(d, key, operation, at, out); };
    };
    if (isCut || (isLost && base::chance(rng, 0.5))) {
        after(seconds(1), [=, this] { answer(index, incarnation, Duration(0), unknown(now)); });
        return;
    }
    if (isLost)
        after(seconds(1), [=, this] { answer(index, incarnation, Duration(0), unknown(now)); });
    after(delay, [=, this] {
        if (!isStoreUp()) {
            if (!isLost)
                answer(index, incarnation, milliseconds(300), unknown(now));
            return;
        }
        const FakeEntry current = store.contains(write.key) ? store.at(write.key) : FakeEntry();
        const bool applies = current.version == write.expectedVersion;
        if (applies)
            applyWrite(write);
        if (isLost)
            return;
        if (isReplyLost) {
            answer(index, incarnation, seconds(1), unknown(now));
            return;
        }
        answer(index, incarnation, randomDuration(rng, milliseconds(1), milliseconds(10)),
            [=, this](Dispatcher& d, Effects& out) {
                if (applies)
                    onShardWritten(d, write.key, write.operation, write.expectedVersion + 1, issued, now, out);
                else
                    onShardWriteConflict(d, write.key, write.operation, current.version, current.operation, now, out);
            });
    });
}

void World::toStore(std::size_t index, const ReadShard& read)
{
    ++storeReads;
    const std::uint64_t incarnation = daemons[index].incarnation;
    const TimePoint issued = now;
    const bool isCut = now < daemons[index].storeCutUntil;
    after(randomDuration(rng, milliseconds(1), milliseconds(20)), [=, this] {
        const bool isLost = isCut || !isStoreUp() || (!isCalm && base::chance(rng, now < lossyUntil ? 0.4 : 0.01));
        const FakeEntry current = store.contains(read.key) ? store.at(read.key) : FakeEntry();
        answer(
            index, incarnation, isLost ? milliseconds(500) : milliseconds(2), [=, this](Dispatcher& d, Effects& out) {
                if (isLost)
                    onShardReadFailed(d, read.key, now, out);
                else
                    onShardRead(d, read.key, current.version, current.operation, current.value, issued, now, out);
            });
    });
}

// --- Workers ---

FakeWorker& World::workerOf(const base::WorkerId& id)
{
    return *std::find_if(workers.begin(), workers.end(), [&](const FakeWorker& w) { return w.info.id == id; });
}

WorkerState World::stateOf(const FakeWorker& worker) const
{
    WorkerState state { worker.info, worker.epoch, {} };
    for (const auto& [id, task] : worker.tasks)
        state.tasks.push_back({ id, task.attempt, task.status, task.resources,
            static_cast<std::int64_t>(task.progressMs), task.checkpointMs });
    return state;
}

void World::advanceTasks()
{
    const double elapsedMs = static_cast<double>(base::toMilliseconds(now - m_lastAdvance));
    m_lastAdvance = now;
    for (FakeWorker& worker : workers) {
        for (auto& [id, task] : worker.tasks) {
            if (hasEnded(task.status))
                continue;
            task.progressMs += elapsedMs;
            if (now > task.leaseUntil)
                task.status = TaskStatus::Expired;
            else if (task.isFailing && task.progressMs > 500)
                task.status = TaskStatus::Failed;
            else if (task.progressMs >= static_cast<double>(task.durationMs))
                task.status = TaskStatus::Finished;
        }
    }
}

std::size_t World::runningOn(const base::JobId& id) const
{
    return static_cast<std::size_t>(std::count_if(workers.begin(), workers.end(), [&](const FakeWorker& worker) {
        const auto task = worker.tasks.find(id);
        return task != worker.tasks.end() && !hasEnded(task->second.status);
    }));
}

std::size_t World::running() const
{
    std::size_t count = 0;
    for (const FakeWorker& worker : workers) {
        for (const auto& [id, task] : worker.tasks)
            count += hasEnded(task.status) ? 0 : 1;
    }
    return count;
}

// I1 to I4 and the rules behind them, at the moment a worker starts a task.
void World::checkStart(const FakeWorker& worker, const StartTask& start)
{
    Resources total;
    for (const auto& [id, task] : worker.tasks) {
        if (!hasEnded(task.status))
            total += task.resources;
    }
    if (!total.fitsIn(worker.info.capacity))
        violate("I1: " + worker.info.id.value + " is committed beyond its capacity");
    if (runningOn(start.task) > 1)
        violate("I2: " + start.task.value + " runs in two places");
    const bool isRepeat = ++attemptsStarted[{ start.task, start.attempt }] > 1;
    if (isRepeat && !memoryLost.contains(start.task))
        violate("I3: attempt " + std::to_string(start.attempt) + " of " + start.task.value + " started twice");
    std::uint32_t& last = lastAttempt[start.task];
    if (start.attempt < last)
        violate("I3: " + start.task.value + " resumed with an older attempt");
    last = std::max(last, start.attempt);
    const auto out = outSince.find(worker.info.dataCentre);
    if (out != outSince.end() && now - out->second > seconds(3))
        violate("I4: " + start.task.value + " started in a data centre out of service");
    const auto end = durableEnd.find(start.task);
    if (end != durableEnd.end())
        violate("start of " + start.task.value + " after its recorded end");
    const auto entry = store.find(start.key);
    const ShardResult<Shard> shard = decode(entry == store.end() ? "" : entry->second.value, ShardLimits());
    const bool isRecorded = shard && shard.value().jobs.contains(start.task)
        && shard.value().jobs.at(start.task).attempt >= start.attempt;
    if (!isRecorded)
        violate("start of " + start.task.value + " without a durable plan");
}

// Delivers a request within the time-out or not at all.
void World::toWorker(std::size_t index, const base::WorkerId& id, Duration timeout,
    std::function<Answer(FakeWorker&)> serve, const Answer& lost)
{
    const std::uint64_t incarnation = daemons[index].incarnation;
    const bool isSlow = !isCalm && base::chance(rng, 0.02);
    const Duration delay = isSlow ? randomDuration(rng, milliseconds(50), timeout)
                                  : randomDuration(rng, milliseconds(1), milliseconds(20));
    const bool isRequestLost = !isCalm && base::chance(rng, options.lossRate);
    const bool isReplyLost = !isCalm && base::chance(rng, options.lossRate);
    const TimePoint sentAt = now;
    after(delay, [=, this, serve = std::move(serve)] {
        FakeWorker& worker = workerOf(id);
        const bool isCut = now < worker.unreachableUntil || (worker.cutDaemon == index && now < worker.cutUntil);
        if (isCut || isRequestLost) {
            answer(index, incarnation, timeout - (now - sentAt), lost);
            return;
        }
        Answer reply = serve(worker);
        const Duration back = randomDuration(rng, milliseconds(1), milliseconds(20));
        const bool isTooLate = now - sentAt + back > timeout;
        if (isReplyLost || isTooLate)
            answer(index, incarnation, std::max(Duration(0), timeout - (now - sentAt)), lost);
        else
            answer(index, incarnation, back, std::move(reply));
    });
}

void World::serveStart(std::size_t index, const StartTask& start)
{
    const auto reply = [=, this](StartResult result) -> Answer {
        return [=, this](Dispatcher& d, Effects& out) {
            onStartReply(d, start.key, start.worker, start.request, start.task, start.attempt, result, now, out);
        };
    };
    if (options.checksNotAfter && now > start.notAfter) {
        answer(index, daemons[index].incarnation, Duration(0), reply(StartResult::NotSent));
        return;
    }
    const auto serve = [=, this](FakeWorker& worker) -> Answer {
        if (options.checksEpoch && start.epoch != worker.epoch)
            return reply(StartResult::StaleEpoch);
        const auto known = worker.tasks.find(start.task);
        if (known != worker.tasks.end()) {
            if (known->second.attempt == start.attempt && !hasEnded(known->second.status))
                return reply(StartResult::Already);
            if (known->second.attempt >= start.attempt || !hasEnded(known->second.status))
                return reply(StartResult::OlderAttempt);
        }
        Resources total = start.resources;
        for (const auto& [id, task] : worker.tasks) {
            if (!hasEnded(task.status))
                total += task.resources;
        }
        if (options.checksCapacity && !total.fitsIn(worker.info.capacity))
            return reply(StartResult::Capacity);
        FakeTask task;
        task.attempt = start.attempt;
        task.resources = start.resources;
        task.durationMs = std::max<std::int64_t>(start.durationMs, 1);
        task.progressMs = static_cast<double>(start.checkpointMs);
        task.checkpointMs = start.checkpointMs;
        task.leaseUntil
            = now + Duration(static_cast<Duration::rep>(static_cast<double>(start.leaseMs) * 1000 / worker.clockRate));
        task.isFailing = worker.failsEverything || start.task.value.starts_with("poison");
        worker.tasks[start.task] = task;
        ++startsAccepted;
        checkStart(worker, start);
        return reply(StartResult::Accepted);
    };
    toWorker(index, start.worker, seconds(1), serve, reply(StartResult::Unknown));
}

void World::send(std::size_t index, const Effect& effect)
{
    if (const auto* write = std::get_if<WriteShard>(&effect)) {
        toStore(index, *write);
    } else if (const auto* read = std::get_if<ReadShard>(&effect)) {
        toStore(index, *read);
    } else if (const auto* fence = std::get_if<FenceWorker>(&effect)) {
        const FenceWorker request = *fence;
        const auto serve = [=, this](FakeWorker& worker) -> Answer {
            const bool isFenced = request.epoch >= worker.epoch;
            worker.epoch = std::max(worker.epoch, request.epoch);
            const WorkerState state = stateOf(worker);
            return [=, this](Dispatcher& d, Effects& out) {
                onFenceReply(d, request.key, request.worker, request.request, isFenced, state, now, out);
            };
        };
        toWorker(index, request.worker, seconds(2), serve, [=, this](Dispatcher& d, Effects& out) {
            onWorkerUnreachable(d, request.key, request.worker, request.request, now, out);
        });
    } else if (const auto* poll = std::get_if<PollWorker>(&effect)) {
        const PollWorker request = *poll;
        const auto serve = [=, this](FakeWorker& worker) -> Answer {
            const WorkerState state = stateOf(worker);
            return [=, this](Dispatcher& d, Effects& out) {
                onWorkerState(d, request.key, request.worker, request.request, state, now, out);
            };
        };
        toWorker(index, request.worker, seconds(2), serve, [=, this](Dispatcher& d, Effects& out) {
            onWorkerUnreachable(d, request.key, request.worker, request.request, now, out);
        });
    } else if (const auto* start = std::get_if<StartTask>(&effect)) {
        serveStart(index, *start);
    } else if (const auto* renew = std::get_if<RenewWorker>(&effect)) {
        const RenewWorker request = *renew;
        if (now > request.notAfter)
            return;
        const auto serve = [=, this](FakeWorker& worker) -> Answer {
            const bool isRenewed = !options.checksEpoch || request.epoch == worker.epoch;
            for (auto& [id, task] : worker.tasks) {
                if (isRenewed && !hasEnded(task.status))
                    task.leaseUntil = now
                        + Duration(
                            static_cast<Duration::rep>(static_cast<double>(request.leaseMs) * 1000 / worker.clockRate));
            }
            return [=, this](Dispatcher& d, Effects& out) {
                onRenewReply(d, request.key, request.worker, request.request, isRenewed, now, out);
            };
        };
        toWorker(index, request.worker, seconds(2), serve, [](Dispatcher&, Effects&) {});
    } else if (const auto* checkpoint = std::get_if<CheckpointTask>(&effect)) {
        const CheckpointTask request = *checkpoint;
        const auto serve = [=](FakeWorker& worker) -> Answer {
            const auto task = worker.tasks.find(request.task);
            if (task != worker.tasks.end() && task->second.attempt == request.attempt && request.epoch == worker.epoch)
                task->second.checkpointMs = static_cast<std::int64_t>(task->second.progressMs);
            return [](Dispatcher&, Effects&) {};
        };
        toWorker(index, request.worker, seconds(2), serve, [](Dispatcher&, Effects&) {});
    } else if (const auto* stop = std::get_if<StopTask>(&effect)) {
        const StopTask request = *stop;
        const auto serve = [=](FakeWorker& worker) -> Answer {
            const auto task = worker.tasks.find(request.task);
            if (task != worker.tasks.end() && task->second.attempt == request.attempt && request.epoch == worker.epoch
                && !hasEnded(task->second.status))
                task->second.status = TaskStatus::Stopped;
            return [](Dispatcher&, Effects&) {};
        };
        toWorker(index, request.worker, seconds(2), serve, [](Dispatcher&, Effects&) {});
    } else if (const auto* acknowledge = std::get_if<AcknowledgeTask>(&effect)) {
        const AcknowledgeTask request = *acknowledge;
        const auto serve = [=](FakeWorker& worker) -> Answer {
            const auto task = worker.tasks.find(request.task);
            if (task != worker.tasks.end() && task->second.attempt == request.attempt && hasEnded(task->second.status))
                worker.tasks.erase(task);
            return [](Dispatcher&, Effects&) {};
        };
        toWorker(index, request.worker, seconds(2), serve, [](Dispatcher&, Effects&) {});
    } else if (const auto* offer = std::get_if<OfferTransfer>(&effect)) {
        // Delivered late, twice or never.
        const int copies = isCalm ? 1 : static_cast<int>(base::below(rng, 3));
        for (int copy = 0; copy < copies; ++copy) {
            const Duration delay
                = base::chance(rng, isCalm ? 0 : 0.1) ? randomDuration(rng, seconds(1), seconds(60)) : milliseconds(3);
            for (std::size_t other = 0; other < daemons.size(); ++other) {
                answer(
                    other, daemons[other].incarnation, delay, [=, this, request = *offer](Dispatcher& d, Effects& out) {
                        onTransferOffered(d, request, now, out);
                    });
            }
        }
    } else if (const auto* accept = std::get_if<AcceptTransfer>(&effect)) {
        if (!isCalm && base::chance(rng, 0.1))
            return;
        for (std::size_t other = 0; other < daemons.size(); ++other) {
            answer(other, daemons[other].incarnation, milliseconds(3),
                [=, this, request = *accept](
                    Dispatcher& d, Effects& out) { onTransferAccepted(d, request, now, out); });
        }
    }
}

} // namespace lacewing::batch::test
