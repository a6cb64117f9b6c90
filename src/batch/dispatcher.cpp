// Set-up, ownership and policy of the dispatcher.
#include "batch/dispatcher.h"
#include "batch/dispatcher_state.h"

#include "base/hash.h"

#include <algorithm>

namespace lacewing::batch {

namespace {

    void scheduleClaim(Dispatcher& d, ShardSlot& slot, base::TimePoint now)
    {
        if (slot.phase != ShardPhase::Foreign || slot.isClaimDue || d.isStopping)
            return;
        // Spread, so that the survivors of a lost daemon do not all write each of its shards.
        slot.isClaimDue = true;
        slot.claimAt = now + base::Duration(static_cast<base::Duration::rep>(base::below(d.rng, 500'000)));
    }

    void listWorkers(Dispatcher& d, ShardSlot& slot)
    {
        for (auto& [id, worker] : slot.workers)
            worker.isListed = false;
        for (const auto& [id, info] : d.listed) {
            const bool isOfRack = info.dataCentre == slot.shard.dataCentre
                && std::find(slot.shard.racks.begin(), slot.shard.racks.end(), info.rack) != slot.shard.racks.end();
            if (!isOfRack)
                continue;
            WorkerSlot& worker = workerOf(slot, id);
            worker.isListed = true;
            worker.info.isLeaving = info.isLeaving;
        }
        // A worker that is neither listed nor used is forgotten once it does not answer.
        std::erase_if(slot.workers, [&](const auto& entry) {
            const WorkerSlot& worker = entry.second;
            const bool isUsed = worker.hasCapacity || worker.isListed;
            return !isUsed && std::none_of(slot.shard.jobs.begin(), slot.shard.jobs.end(), [&](const auto& job) {
                return job.second.worker == entry.first;
            });
        });
    }

} // namespace

Dispatcher::Dispatcher(base::DaemonId id, base::DataCentreId ownDataCentre, DispatcherLimits bounds, std::uint64_t seed)
    : self(std::move(id))
    , dataCentre(std::move(ownDataCentre))
    , limits(bounds)
    , rng(seed)
{
    operationPrefix = self.value + "/" + std::to_string(rng.engine()) + "/";
}

Dispatcher::~Dispatcher() = default;

bool isInService(const Dispatcher& d, const base::DataCentreId& dataCentre)
{
    const auto state = d.policy.dataCentreIn.find(dataCentre);
    return state != d.policy.dataCentreIn.end() && state->second;
}

bool isProven(const Dispatcher& d, const ShardSlot& slot, base::TimePoint now)
{
    const bool isContested = slot.provenAt == base::TimePoint();
    return !isContested && (d.isOutageAgreed || now - slot.provenAt <= d.limits.proofLimit);
}

ShardSlot* findSlot(Dispatcher& d, const ShardKey& key)
{
    const auto slot = d.shards.find(key);
    return slot == d.shards.end() ? nullptr : slot->second.get();
}

ShardSlot* findOwned(Dispatcher& d, const ShardKey& key)
{
    ShardSlot* slot = findSlot(d, key);
    return slot && isOwner(*slot) ? slot : nullptr;
}

void onDirectory(Dispatcher& d, const std::vector<ShardSummary>& shards, base::TimePoint now, Effects&)
{
    for (const ShardSummary& summary : shards) {
        d.directory[summary.key] = summary;
        auto& slot = d.shards[summary.key];
        if (!slot) {
            slot = std::make_unique<ShardSlot>();
            slot->key = summary.key;
        }
        if (isOwner(*slot))
            d.directory[summary.key].owner = d.self;
        const bool isOwnerless = summary.owner.empty() || summary.owner == d.self || d.silent.contains(summary.owner);
        if (isOwnerless && summary.dataCentre == d.dataCentre)
            scheduleClaim(d, *slot, now);
    }
}

void onWorkerList(Dispatcher& d, const std::vector<WorkerInfo>& workers, base::TimePoint, Effects&)
{
    d.listed.clear();
    for (const WorkerInfo& info : workers)
        d.listed[info.id] = info;
    for (auto& [key, slot] : d.shards) {
        if (isOwner(*slot))
            listWorkers(d, *slot);
    }
}

void onPolicy(Dispatcher& d, const BatchPolicy& policy, base::TimePoint now, Effects&)
{
    for (const auto& [dataCentre, isIn] : policy.dataCentreIn) {
        const auto before = d.policy.dataCentreIn.find(dataCentre);
        const bool wasOut = d.hasPolicy && before != d.policy.dataCentreIn.end() && !before->second;
        if (isIn && wasOut)
            d.returnedAt[dataCentre] = now;
    }
    d.policy = policy;
    d.hasPolicy = true;
    d.teams.policies = policy.teams;
    d.teams.elsewhere = policy.useElsewhere;
    for (auto& [key, slot] : d.shards) {
        slot->fleet.policy
            = base::valueOf(placementPolicyNames, policy.placement).value_or(PlacementPolicy::InterferenceAware);
        slot->isPlanDue = true;
    }
}

void onFreshness(Dispatcher& d, bool isFresh, base::TimePoint evidenceAt, base::TimePoint, Effects&)
{
    constexpr base::Duration evidenceAge = base::seconds(2); // docs/design.md, Q8
    d.isFresh = isFresh;
    d.freshUntil = isFresh ? evidenceAt + evidenceAge : base::TimePoint();
}

void onOutageAgreed(Dispatcher& d, bool isAgreed, base::TimePoint now)
{
    // The agreement proved the ownership up to now.
    if (d.isOutageAgreed && !isAgreed) {
        for (auto& [key, slot] : d.shards) {
            if (slot->provenAt != base::TimePoint())
                slot->provenAt = std::max(slot->provenAt, now - d.limits.outageLag);
        }
    }
    d.isOutageAgreed = isAgreed;
}

void onCommitInterval(Dispatcher& d, base::Duration interval) { d.limits.commitInterval = interval; }

void onOwnerSilent(Dispatcher& d, const base::DaemonId& owner, base::TimePoint now, Effects&)
{
    d.silent.insert(owner);
    d.alive.erase(owner);
    for (auto& [key, slot] : d.shards) {
        const auto summary = d.directory.find(key);
        const bool isOwn = summary != d.directory.end() && summary->second.dataCentre == d.dataCentre;
        if (isOwn && summary->second.owner == owner)
            scheduleClaim(d, *slot, now);
    }
}

void onOwnerAlive(Dispatcher& d, const base::DaemonId& owner)
{
    d.silent.erase(owner);
    d.alive.insert(owner);
    for (auto& [key, slot] : d.shards) {
        const auto summary = d.directory.find(key);
        if (slot->isClaimDue && summary != d.directory.end() && summary->second.owner == owner)
            slot->isClaimDue = false;
    }
}

void takeOver(Dispatcher& d, const ShardKey& key, base::TimePoint now, Effects&)
{
    ShardSlot* slot = findSlot(d, key);
    if (!slot || slot->phase != ShardPhase::Foreign || d.isStopping)
        return;
    slot->isClaimDue = true;
    slot->claimAt = now;
}

void becomeOwner(Dispatcher& d, ShardSlot& slot, base::TimePoint now, Effects&)
{
    ++d.counters.takeovers;
    d.directory[slot.key].owner = d.self;
    slot.phase = ShardPhase::Fencing;
    slot.workers.clear();
    slot.runtime.clear();
    slot.transfers.clear();
    slot.waitingSince.clear();
    slot.reservations.clear();
    slot.fleet = Fleet();
    slot.fleet.policy
        = base::valueOf(placementPolicyNames, d.policy.placement).value_or(PlacementPolicy::InterferenceAware);
    slot.isPlanDue = true;
    // The last renewal of an earlier owner: its newest proof is older than our write. It may send for proofLimit after
    // that (plus outageLag, when the proof is an agreement). A renewal that it held back while paused extends a lease
    // once more only while that lease is valid, hence twice the lease.
    const DispatcherLimits& limits = d.limits;
    const base::Duration longest = limits.proofLimit + limits.outageLag + limits.callTimeout + 2 * limits.taskLease;
    listWorkers(d, slot);
    for (const auto& [id, job] : slot.shard.jobs) {
        if (isPlaced(job.state)) {
            workerOf(slot, job.worker);
            adoptJob(d, slot, job, true);
        } else if (job.state == JobState::Transferring) {
            slot.transfers[id] = { 0, now };
        }
    }
    for (auto& [id, worker] : slot.workers)
        worker.leaseGoneAt = now + base::leaseExpiryBound(longest);
}

void loseShard(Dispatcher& d, ShardSlot& slot, const Shard* current, std::uint64_t version, Effects& out)
{
    if (isOwner(slot))
        ++d.counters.lostShards;
    for (const PendingSubmit& pending : slot.submits) {
        ReplySubmit reply { pending.token, SubmitCode::NotOwner, pending.job, slot.key, {}, Executed::No };
        const Job* job = nullptr;
        if (current) {
            reply.owner = current->owner;
            const auto found = current->jobs.find(pending.job);
            job = found == current->jobs.end() ? nullptr : &found->second;
        }
        const bool isDone = job && (!pending.isCancel || job->isCancelRequested || isTerminal(job->state));
        // Our write can have taken effect before the other one only when that one is not the next version.
        const bool wasEmitted = pending.change <= slot.emittedChange && !slot.writes.empty();
        if (isDone) {
            reply.code = SubmitCode::Accepted;
            reply.executed = Executed::Yes;
        } else if (wasEmitted && version != slot.version + 1) {
            reply.code = SubmitCode::Lost;
            reply.executed = Executed::Unknown;
        } else {
            ++d.counters.refusals;
        }
        out.emplace_back(reply);
    }
    for (const auto& [id, runtime] : slot.runtime) {
        const Job& job = slot.shard.jobs.at(id);
        addUse(d.teams, job.spec.team, -job.granted.cpuMilli);
    }
    if (current)
        d.directory[slot.key].owner = current->owner;
    const ShardKey key = slot.key;
    slot = ShardSlot();
    slot.key = key;
}

void beginStop(Dispatcher& d, base::TimePoint, Effects&)
{
    d.isStopping = true;
    for (auto& [key, slot] : d.shards)
        slot->isClaimDue = false;
}

bool isIdle(const Dispatcher& d)
{
    return std::all_of(
        d.shards.begin(), d.shards.end(), [](const auto& entry) { return entry.second->phase == ShardPhase::Foreign; });
}

void tick(Dispatcher& d, base::TimePoint now, Effects& out)
{
    // After a pause of the process, requests that were handed out before it may be sent only now.
    constexpr base::Duration longestTickGap = base::seconds(1);
    if (d.hasTicked && now - d.lastTick > longestTickGap) {
        for (auto& [key, slot] : d.shards) {
            for (auto& [id, worker] : slot->workers) {
                const base::Duration wait = d.limits.callTimeout + base::leaseExpiryBound(2 * d.limits.taskLease);
                worker.leaseGoneAt = std::max(worker.leaseGoneAt, now + wait);
            }
        }
    }
    d.lastTick = now;
    d.hasTicked = true;
    for (auto& [key, slot] : d.shards) {
        if (isOwner(*slot)) {
            updateEligibility(d, *slot, now);
            driveWorkers(d, *slot, now, out);
            drivePlaced(d, *slot, now, out);
            if (!d.isStopping)
                planJobs(d, *slot, now, out);
            sendStarts(d, *slot, now, out);
            driveTransfers(d, *slot, now, out);
            answerOverdue(d, *slot, now, out);
        }
    }
    driveStore(d, now, out);
}

ShardKey homeShard(const Dispatcher& d, const base::JobId& id, const base::DataCentreId& dataCentre)
{
    std::vector<std::string> keys;
    for (const auto& [key, summary] : d.directory) {
        if (dataCentre.empty() || summary.dataCentre == dataCentre)
            keys.push_back(key);
    }
    return keys.empty() ? ShardKey() : keys[base::rendezvousOwner(id.value, keys)];
}

const Shard* ownedShard(const Dispatcher& d, const ShardKey& key)
{
    const auto slot = d.shards.find(key);
    return slot != d.shards.end() && isOwner(*slot->second) ? &slot->second->shard : nullptr;
}

std::vector<ShardKey> ownedShards(const Dispatcher& d)
{
    std::vector<ShardKey> keys;
    for (const auto& [key, slot] : d.shards) {
        if (isOwner(*slot))
            keys.push_back(key);
    }
    return keys;
}

const Job* findJob(const Dispatcher& d, const base::JobId& id)
{
    const Job* moved = nullptr;
    for (const auto& [key, slot] : d.shards) {
        if (!isOwner(*slot))
            continue;
        const auto job = slot->shard.jobs.find(id);
        if (job == slot->shard.jobs.end())
            continue;
        if (job->second.state != JobState::Moved)
            return &job->second;
        moved = &job->second;
    }
    return moved;
}

Resources largestCapacity(const Dispatcher& d, const ShardKey& key)
{
    Resources largest;
    const auto slot = d.shards.find(key);
    if (slot == d.shards.end())
        return largest;
    for (const FleetWorker& worker : slot->second->fleet.workers) {
        if (worker.info.capacity.cpuMilli > largest.cpuMilli)
            largest = worker.info.capacity;
    }
    return largest;
}

std::int64_t freeCpuMilli(const Dispatcher& d, const ShardKey& key, FreeKind kind)
{
    const auto slot = d.shards.find(key);
    if (slot == d.shards.end() || !isOwner(*slot->second))
        return 0;
    std::int64_t free = 0;
    const Fleet& fleet = slot->second->fleet;
    for (const FleetWorker& worker : fleet.workers)
        free += std::max<std::int64_t>(0, freeFor(fleet, worker, kind).cpuMilli);
    return free;
}

} // namespace lacewing::batch
