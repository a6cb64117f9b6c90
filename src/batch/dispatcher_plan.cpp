// Planning of queued jobs, eviction, draining, transfers and the response to pressure.
#include "batch/dispatcher_state.h"

#include <algorithm>

namespace lacewing::batch {

namespace {

    bool mayRunIn(const JobSpec& spec, const base::DataCentreId& dataCentre)
    {
        return spec.dataCentre.empty() || spec.dataCentre == dataCentre;
    }

    void beginMove(ShardSlot& slot, const base::JobId& id, const ShardKey& target, base::TimePoint now)
    {
        if (!beginTransfer(slot.shard, id, target))
            return;
        touch(slot);
        slot.transfers[id] = { slot.change, now };
        slot.waitingSince.erase(id);
    }

    std::int64_t roomOf(const ShardSummary& summary, JobClass jobClass)
    {
        return jobClass == JobClass::Urgent ? std::max(summary.urgentCpuMilli, summary.freeCpuMilli)
                                            : summary.freeCpuMilli;
    }

    // A shard that may take the job now, drawn by free processors. Empty: none. The room is taken off the summary, so
    // that moves before the next digest do not count it twice.
    ShardKey chooseTarget(Dispatcher& d, const ShardSlot& slot, const JobSpec& spec, bool needsRoom)
    {
        std::vector<std::pair<ShardSummary*, std::int64_t>> candidates;
        std::int64_t total = 0;
        for (auto& [key, summary] : d.directory) {
            const bool isPossible = key != slot.key && isInService(d, summary.dataCentre)
                && mayRunIn(spec, summary.dataCentre) && !summary.owner.empty()
                && (summary.largest.cpuMilli == 0 || spec.resources.fitsIn(summary.largest));
            if (!isPossible)
                continue;
            const std::int64_t room = std::max<std::int64_t>(0, roomOf(summary, spec.jobClass));
            if (needsRoom && room < 4 * spec.resources.cpuMilli)
                continue;
            candidates.emplace_back(&summary, room + 1);
            total += room + 1;
        }
        if (candidates.empty())
            return {};
        auto drawn = static_cast<std::int64_t>(base::below(d.rng, static_cast<std::uint64_t>(total)));
        std::size_t chosen = 0;
        while (drawn >= candidates[chosen].second)
            drawn -= candidates[chosen++].second;
        ShardSummary& summary = *candidates[chosen].first;
        summary.freeCpuMilli -= spec.resources.cpuMilli;
        summary.urgentCpuMilli -= spec.resources.cpuMilli;
        return summary.key;
    }

    // Jobs that should move: all queued ones of a data centre out of service; else urgent jobs without room here, and
    // batch jobs behind one that has waited long, as far as other shards have room.
    std::vector<std::pair<base::JobId, ShardKey>> chooseMoves(Dispatcher& d, ShardSlot& slot, base::TimePoint now)
    {
        std::erase_if(slot.waitingSince, [&](const auto& entry) {
            const auto job = slot.shard.jobs.find(entry.first);
            return job == slot.shard.jobs.end() || job->second.state != JobState::Queued;
        });
        const bool isOut = !isInService(d, slot.shard.dataCentre);
        const bool isFull = std::any_of(slot.waitingSince.begin(), slot.waitingSince.end(),
            [&](const auto& entry) { return now - entry.second >= d.limits.waitBeforeMove; });
        std::vector<std::pair<base::JobId, ShardKey>> moves;
        if (!isOut && slot.waitingSince.empty())
            return moves;
        for (const auto& [id, job] : slot.shard.jobs) {
            if (moves.size() == d.limits.transfersPerTick)
                break;
            if (job.state != JobState::Queued)
                continue;
            bool shouldMove = isOut || isFull;
            if (!isOut && job.spec.jobClass == JobClass::Urgent) {
                const auto since = slot.waitingSince.find(id);
                shouldMove = since != slot.waitingSince.end() && now - since->second >= d.limits.urgentWaitBeforeMove
                    && !slot.reservations.contains(id);
            }
            if (!shouldMove)
                continue;
            ShardKey target = chooseTarget(d, slot, job.spec, !isOut);
            if (!target.empty())
                moves.emplace_back(id, std::move(target));
        }
        return moves;
    }

    enum class Elsewhere { Possible, Impossible, NotKnown };

    Elsewhere fitsElsewhere(const Dispatcher& d, const ShardSlot& slot, const JobSpec& spec)
    {
        Elsewhere answer = Elsewhere::Impossible;
        for (const auto& [key, summary] : d.directory) {
            if (key == slot.key || !mayRunIn(spec, summary.dataCentre))
                continue;
            if (summary.largest.cpuMilli == 0)
                answer = Elsewhere::NotKnown;
            else if (spec.resources.fitsIn(summary.largest))
                return Elsewhere::Possible;
        }
        return answer;
    }

    // The job is larger than every worker of the shard.
    void onNeverFits(Dispatcher& d, ShardSlot& slot, const Job& job, base::TimePoint now)
    {
        const base::TimePoint since = slot.waitingSince.try_emplace(job.spec.id, now).first->second;
        const Elsewhere elsewhere = fitsElsewhere(d, slot, job.spec);
        // Workers that have not answered yet, here or in other shards, may be larger.
        const int patience = elsewhere == Elsewhere::NotKnown ? 10 : 1;
        if (elsewhere == Elsewhere::Possible || now - since < patience * d.limits.neverAfter)
            return;
        const base::JobId id = job.spec.id;
        if (failJob(slot.shard, id, "tooLargeForEveryWorker", d.limits.shard)) {
            slot.waitingSince.erase(id);
            touch(slot);
        }
    }

    base::JobId reservationId(const base::JobId& id) { return { "\x02" + id.value }; }

    void dropReservation(ShardSlot& slot, const base::JobId& id)
    {
        const auto reservation = slot.reservations.find(id);
        if (reservation == slot.reservations.end())
            return;
        const WorkerSlot& worker = workerOf(slot, reservation->second.worker);
        if (worker.hasCapacity)
            releaseTask(slot.fleet, worker.fleetIndex, reservationId(id));
        slot.reservations.erase(reservation);
    }

    void planOn(Dispatcher& d, ShardSlot& slot, Job& job, std::size_t worker, const Resources& resources)
    {
        if (!plan(slot.shard, job.spec.id, slot.fleet.workers[worker].info.id, resources))
            return;
        touch(slot);
        adoptJob(d, slot, job, false);
        slot.waitingSince.erase(job.spec.id);
    }

    enum class PlanOutcome { Planned, Waits, Gone };

    // The job has a reservation: takes it when the batch tasks have left, and gives it up when that takes too long.
    std::optional<PlanOutcome> useReservation(
        Dispatcher& d, ShardSlot& slot, Job& job, const TaskRequest& request, base::TimePoint now)
    {
        const base::JobId id = job.spec.id;
        const auto found = slot.reservations.find(id);
        if (found == slot.reservations.end())
            return std::nullopt;
        const Reservation reservation = found->second;
        const WorkerSlot& worker = workerOf(slot, reservation.worker);
        dropReservation(slot, id);
        if (!worker.hasCapacity)
            return std::nullopt;
        const FleetWorker& entry = slot.fleet.workers[worker.fleetIndex];
        if (request.resources.fitsIn(freeFor(slot.fleet, entry, FreeKind::ForUrgent))) {
            planOn(d, slot, job, worker.fleetIndex, request.resources);
            return PlanOutcome::Planned;
        }
        if (!entry.isEligible || now >= reservation.until)
            return std::nullopt;
        adoptTask(slot.fleet, worker.fleetIndex,
            { reservationId(id), JobClass::Urgent, request.service, request.resources, {}, false });
        slot.reservations[id] = reservation;
        return PlanOutcome::Waits;
    }

    PlanOutcome planJob(Dispatcher& d, ShardSlot& slot, Job& job, base::TimePoint now, Effects& out)
    {
        const base::JobId id = job.spec.id;
        TaskRequest request { id, job.spec.jobClass, classOf(d.interference, job.spec.service),
            sizeFor(d.usage, job.spec.service, job.spec.resources), job.failedOn };
        if (!fitsQuota(d.teams, job.spec.team, request.resources)) {
            slot.waitingSince.try_emplace(id, now);
            return PlanOutcome::Waits;
        }
        if (const std::optional<PlanOutcome> outcome = useReservation(d, slot, job, request, now))
            return *outcome;
        Decision decision = place(slot.fleet, d.interference, request, d.rng);
        if (decision.kind == DecisionKind::Never && !(request.resources == job.spec.resources)) {
            // The learned size is an estimate; only the declared one can rule a job out.
            request.resources = job.spec.resources;
            decision = place(slot.fleet, d.interference, request, d.rng);
        }
        switch (decision.kind) {
        case DecisionKind::Placed:
            planOn(d, slot, job, decision.worker, request.resources);
            return PlanOutcome::Planned;
        case DecisionKind::Evict: {
            for (const base::JobId& victim : decision.evict) {
                const auto runtime = slot.runtime.find(victim);
                if (runtime != slot.runtime.end())
                    beginEviction(d, slot, slot.shard.jobs.at(victim), runtime->second, now, out);
            }
            constexpr base::Duration stopTime = base::seconds(3); // for the stop to show in a poll
            slot.reservations[id]
                = { slot.fleet.workers[decision.worker].info.id, now + d.limits.evictGrace + stopTime };
            adoptTask(slot.fleet, decision.worker,
                { reservationId(id), JobClass::Urgent, request.service, request.resources, {}, false });
            slot.waitingSince.try_emplace(id, now);
            return PlanOutcome::Waits;
        }
        case DecisionKind::Never:
            onNeverFits(d, slot, job, now);
            return PlanOutcome::Gone;
        case DecisionKind::Wait:
            break;
        }
        slot.waitingSince.try_emplace(id, now);
        const bool failedEverywhere = !job.failedOn.empty() && job.failedOn.size() >= slot.fleet.workers.size()
            && fitsElsewhere(d, slot, job.spec) == Elsewhere::Impossible;
        if (failedEverywhere && failJob(slot.shard, id, "failedOnEveryWorker", d.limits.shard)) {
            slot.waitingSince.erase(id);
            touch(slot);
            return PlanOutcome::Gone;
        }
        return PlanOutcome::Waits;
    }

    struct TeamQueue {
        base::TeamId team;
        std::vector<Job*> jobs; // the oldest last
        std::size_t waits = 0;
    };

    void withdraw(Dispatcher& d, ShardSlot& slot, const Job& job)
    {
        const base::JobId id = job.spec.id;
        const std::uint32_t attempt = job.attempt;
        releaseJob(d, slot, job);
        static_cast<void>(withdrawPlan(slot.shard, id, attempt, d.limits.shard));
        touch(slot);
    }

} // namespace

void planJobs(Dispatcher& d, ShardSlot& slot, base::TimePoint now, Effects& out)
{
    const bool mayPlan = slot.phase == ShardPhase::Owned && !d.isStoreDown && d.hasPolicy && d.isFresh
        && now < d.freshUntil && isInService(d, slot.shard.dataCentre) && !slot.isReleasing;
    if (!mayPlan || (!slot.isPlanDue && now < slot.nextPlan))
        return;
    slot.isPlanDue = false;
    slot.nextPlan = now + base::seconds(1);
    std::vector<base::JobId> unused;
    for (const auto& [id, reservation] : slot.reservations) {
        const auto job = slot.shard.jobs.find(id);
        if (job == slot.shard.jobs.end() || job->second.state != JobState::Queued)
            unused.push_back(id);
    }
    for (const base::JobId& id : unused)
        dropReservation(slot, id);
    std::vector<Job*> urgent;
    std::map<base::TeamId, TeamQueue> teams;
    for (auto& [id, job] : slot.shard.jobs) {
        if (job.state != JobState::Queued)
            continue;
        if (job.spec.jobClass == JobClass::Urgent)
            urgent.push_back(&job);
        else
            teams[job.spec.team].jobs.push_back(&job);
    }
    std::sort(urgent.begin(), urgent.end(), [](const Job* a, const Job* b) { return a->order < b->order; });
    std::size_t planned = 0;
    for (Job* job : urgent) {
        if (planned == d.limits.plansPerTick) {
            slot.isPlanDue = true;
            return;
        }
        planned += planJob(d, slot, *job, now, out) == PlanOutcome::Planned ? 1 : 0;
    }
    for (auto& [team, queue] : teams) {
        queue.team = team;
        std::sort(queue.jobs.begin(), queue.jobs.end(), [](const Job* a, const Job* b) { return a->order > b->order; });
    }
    // The team with the least use for its share goes first, one job at a time. A team leaves the round after a few jobs
    // that find no room, so that a long queue does not cost a search for each of its jobs.
    constexpr std::size_t maxWaits = 4;
    while (!teams.empty()) {
        const auto next = std::min_element(teams.begin(), teams.end(), [&](const auto& a, const auto& b) {
            return fairPosition(d.teams, a.first) < fairPosition(d.teams, b.first);
        });
        TeamQueue& queue = next->second;
        if (planned == d.limits.plansPerTick) {
            slot.isPlanDue = true;
            return;
        }
        Job* job = queue.jobs.back();
        queue.jobs.pop_back();
        const PlanOutcome outcome = planJob(d, slot, *job, now, out);
        planned += outcome == PlanOutcome::Planned ? 1 : 0;
        queue.waits += outcome == PlanOutcome::Waits ? 1 : 0;
        if (queue.jobs.empty() || queue.waits == maxWaits)
            teams.erase(next);
    }
}

void drivePlaced(Dispatcher& d, ShardSlot& slot, base::TimePoint now, Effects& out)
{
    const bool isOut = d.hasPolicy && !isInService(d, slot.shard.dataCentre);
    std::vector<base::JobId> withdrawn;
    std::vector<base::JobId> expired;
    for (auto& [id, runtime] : slot.runtime) {
        const Job& job = slot.shard.jobs.at(id);
        WorkerSlot& worker = workerOf(slot, job.worker);
        const bool mustLeave = isOut || worker.info.isLeaving;
        const bool isSettled = runtime.startRequest == 0 && !runtime.awaitsPoll && !runtime.isInherited;
        if (runtime.startRequest != 0 && now - runtime.startSentAt > 5 * d.limits.startTimeout) {
            // The answer was lost inside this process' daemon; treat it as a time-out.
            runtime.startRequest = 0;
            runtime.awaitsPoll = true;
            runtime.absentAfter = d.nextRequest;
            worker.startsInFlight -= std::min<std::size_t>(1, worker.startsInFlight);
        }
        if (job.state == JobState::Planned && worker.phase == WorkerPhase::Fenced) {
            if (isSettled && (mustLeave || job.isCancelRequested || worker.isQuarantined))
                withdrawn.push_back(id);
        } else if (job.state == JobState::Running && worker.phase == WorkerPhase::Fenced) {
            if (job.isCancelRequested) {
                const bool isDurable = slot.change == slot.durableChange || runtime.nextStop != base::TimePoint();
                if (isDurable && now >= runtime.nextStop)
                    sendStop(d, slot, job, runtime, now, out);
            } else if (mustLeave) {
                beginEviction(d, slot, job, runtime, now, out);
            }
            const bool isSaved = job.checkpointMs > runtime.checkpointBefore;
            const bool isOverdue = now - runtime.evictedAt >= d.limits.evictGrace;
            if (runtime.isEvicting && (isSaved || isOverdue) && now >= runtime.nextStop)
                sendStop(d, slot, job, runtime, now, out);
        } else if (job.state == JobState::Unknown && worker.phase == WorkerPhase::Unreachable) {
            // Daemons of other data centres cannot tell whether the owner still renews under an outage agreement of
            // its own data centre, and an inherited plan may be started by its planner at any time.
            const bool isSure = slot.shard.dataCentre == d.dataCentre && (job.isConfirmed || !runtime.isInherited);
            if (isSure && runtime.startRequest == 0 && now >= worker.leaseGoneAt)
                expired.push_back(id);
        }
    }
    for (const base::JobId& id : withdrawn)
        withdraw(d, slot, slot.shard.jobs.at(id));
    for (const base::JobId& id : expired) {
        Job& job = slot.shard.jobs.at(id);
        const std::uint32_t attempt = job.attempt;
        releaseJob(d, slot, job);
        static_cast<void>(onEnded(slot.shard, id, attempt, 0, d.limits.shard));
        touch(slot);
    }
}

void driveTransfers(Dispatcher& d, ShardSlot& slot, base::TimePoint now, Effects& out)
{
    if (d.hasPolicy && !d.isStoreDown && slot.phase == ShardPhase::Owned && !slot.isReleasing) {
        for (const auto& [id, target] : chooseMoves(d, slot, now))
            beginMove(slot, id, target, now);
    }
    std::erase_if(slot.transfers, [&](const auto& entry) {
        const auto job = slot.shard.jobs.find(entry.first);
        return job == slot.shard.jobs.end() || job->second.state != JobState::Transferring;
    });
    if (slot.transfers.empty())
        return;
    const std::uint64_t lowest = lowestOpenTransfer(slot.shard);
    for (auto& [id, transfer] : slot.transfers) {
        if (transfer.change > slot.durableChange || now < transfer.nextOffer)
            continue;
        const Job& job = slot.shard.jobs.at(id);
        transfer.nextOffer = now + d.limits.transferRetry;
        out.emplace_back(OfferTransfer { slot.key, job.transferTarget, job, job.transferNumber, lowest });
    }
}

void respondToPressure(
    Dispatcher& d, ShardSlot& slot, WorkerSlot& worker, double measuredLoad, base::TimePoint now, Effects& out)
{
    FleetWorker& entry = slot.fleet.workers[worker.fleetIndex];
    const bool hasUrgent = std::any_of(
        entry.tasks.begin(), entry.tasks.end(), [](const FleetTask& t) { return t.jobClass == JobClass::Urgent; });
    // Batch work alone may use the whole worker: nothing urgent suffers.
    const double value = hasUrgent ? std::max(measuredLoad, predictedUrgentSlowdown(entry, d.interference) - 1) : 0;
    const bool hasChanged = updatePressure(worker.pressure, d.limits.pressure, value, now);
    const PressureStep step = worker.pressure.step;
    const bool isThrottled = step >= PressureStep::Throttle;
    const auto cpu = static_cast<double>(std::max<std::int64_t>(1, entry.info.capacity.cpuMilli));
    double excess = value - d.limits.pressure.leave;
    std::vector<base::JobId> batch;
    for (const FleetTask& task : entry.tasks) {
        if (task.jobClass == JobClass::Batch && slot.runtime.contains(task.id))
            batch.push_back(task.id);
    }
    if (isThrottled != worker.isThrottled) {
        for (const base::JobId& id : batch) {
            const Job& job = slot.shard.jobs.at(id);
            const std::int64_t left = isThrottled ? std::max<std::int64_t>(1, job.granted.cpuMilli / 2) : 0;
            out.emplace_back(
                ThrottleTask { slot.key, job.worker, slot.shard.epoch, id, job.attempt, left, d.nextRequest++ });
        }
        worker.isThrottled = isThrottled;
    }
    if (!hasChanged || step < PressureStep::Move)
        return;
    // The largest tasks go first, as many as the excess asks for; step Stop does not wait for a checkpoint.
    std::sort(batch.begin(), batch.end(), [&](const base::JobId& a, const base::JobId& b) {
        return slot.shard.jobs.at(a).granted.cpuMilli > slot.shard.jobs.at(b).granted.cpuMilli;
    });
    for (const base::JobId& id : batch) {
        if (excess <= 0)
            break;
        const Job& job = slot.shard.jobs.at(id);
        JobRuntime& runtime = slot.runtime.at(id);
        excess -= static_cast<double>(job.granted.cpuMilli) / cpu;
        beginEviction(d, slot, job, runtime, now, out);
        if (step == PressureStep::Stop && job.state == JobState::Running)
            sendStop(d, slot, job, runtime, now, out);
    }
}

} // namespace lacewing::batch
