// Reads and writes of shards: group commit, lost replies, takeover by CAS, and the store being down.
//
// One call for each shard is in flight. A write without known outcome is remembered until a read or a refusal shows
// what became of it; a later write of the same version carries a superset of its changes, so either may win.
#include "batch/dispatcher_state.h"

#include <algorithm>

namespace lacewing::batch {

namespace {

    constexpr std::size_t failuresUntilDown = 3;

    base::Duration jittered(Dispatcher& d, base::Duration longest)
    {
        const auto half = static_cast<std::uint64_t>(longest.count() / 2);
        return longest / 2 + base::Duration(static_cast<base::Duration::rep>(base::below(d.rng, half + 1)));
    }

    void onStoreFailure(Dispatcher& d, ShardSlot& slot, base::TimePoint now)
    {
        ++d.storeFailures;
        d.isProbing = false;
        d.backoff = std::clamp(d.backoff * 2, d.limits.backoffMin, d.limits.backoffMax);
        d.nextProbe = now + jittered(d, d.backoff);
        slot.nextCall = d.nextProbe;
        if (d.storeFailures >= failuresUntilDown)
            d.isStoreDown = true;
    }

    void onStoreAnswer(Dispatcher& d, base::TimePoint now)
    {
        d.storeFailures = 0;
        d.isProbing = false;
        d.backoff = base::Duration(0);
        if (!d.isStoreDown)
            return;
        d.isStoreDown = false;
        // Spreads the waiting writes instead of sending them together.
        std::size_t position = 0;
        const base::Duration gap
            = base::seconds(1) / static_cast<int>(std::max<std::size_t>(1, d.limits.recoveryWritesPerSecond));
        for (auto& [key, slot] : d.shards) {
            if (slot->phase == ShardPhase::Foreign && !slot->isClaimDue)
                continue;
            const base::TimePoint at = now + gap * static_cast<int>(position++) + jittered(d, gap);
            slot->nextCall = std::max(slot->nextCall, at);
            slot->nextCommit = std::max(slot->nextCommit, at);
        }
    }

    void emitRead(Dispatcher& d, ShardSlot& slot, Effects& out)
    {
        slot.isCallInFlight = true;
        ++d.counters.reads;
        out.emplace_back(ReadShard { slot.key });
    }

    void emitWrite(Dispatcher& d, ShardSlot& slot, base::TimePoint now, Effects& out)
    {
        ShardResult<std::string> text = encode(slot.shard, d.limits.shard);
        if (!text)
            return; // submit and acceptTransfer bound the number of jobs; the next end of a job makes room
        const std::string operation = d.operationPrefix + std::to_string(d.nextOperation++);
        slot.isCallInFlight = true;
        slot.emittedChange = slot.change;
        slot.writes.push_back({ operation, slot.change });
        slot.nextCommit = now + d.limits.commitInterval;
        ++d.counters.writes;
        out.emplace_back(WriteShard { slot.key, std::move(text).value(), slot.version, operation });
    }

    void claim(Dispatcher& d, ShardSlot& slot, base::TimePoint now, Effects& out)
    {
        slot.shard.owner = d.self;
        slot.shard.epoch = std::max(slot.shard.epoch, slot.seenEpoch) + 1;
        slot.phase = ShardPhase::Claiming;
        touch(slot);
        emitWrite(d, slot, now, out);
    }

    void finishWrite(Dispatcher& d, ShardSlot& slot, const EmittedWrite& write, std::uint64_t version,
        base::TimePoint now, Effects& out)
    {
        slot.durableChange = write.change;
        slot.emittedChange = write.change; // other writes against the old version cannot take effect any more
        slot.version = version;
        slot.writes.clear();
        slot.needsRead = false;
        if (slot.phase == ShardPhase::Claiming)
            becomeOwner(d, slot, now, out);
        runDurable(d, slot, out);
        if (slot.isReleasing && slot.durableChange == slot.change) {
            const Shard released = slot.shard;
            loseShard(d, slot, &released, version, out);
        }
    }

    const EmittedWrite* findWrite(const ShardSlot& slot, std::string_view operation)
    {
        const auto found = std::find_if(
            slot.writes.begin(), slot.writes.end(), [&](const EmittedWrite& w) { return w.operation == operation; });
        return found == slot.writes.end() ? nullptr : &*found;
    }

    // The value belongs to someone else, or a claim starts from it.
    void onForeignValue(Dispatcher& d, ShardSlot& slot, std::uint64_t version, std::string_view value,
        base::TimePoint now, Effects& out)
    {
        Shard current;
        if (version != 0) {
            ShardResult<Shard> read = decode(value, d.limits.shard);
            if (!read) {
                // Never overwritten: an operator has to look at it.
                loseShard(d, slot, nullptr, version, out);
                return;
            }
            current = std::move(read).value();
        }
        if (slot.phase != ShardPhase::Reading) {
            loseShard(d, slot, &current, version, out);
            return;
        }
        ShardSummary& summary = d.directory[slot.key];
        const bool isFree = current.owner.empty() || current.owner == d.self || d.silent.contains(current.owner);
        const bool isOwn = summary.dataCentre == d.dataCentre;
        if (!isFree && isOwn) {
            loseShard(d, slot, &current, version, out);
            return;
        }
        if (version == 0) {
            current.key = slot.key;
            current.dataCentre = summary.dataCentre;
            current.racks = summary.racks;
        }
        slot.shard = std::move(current);
        slot.version = version;
        slot.writes.clear();
        claim(d, slot, now, out);
    }

    bool wantsCall(const Dispatcher& d, const ShardSlot& slot, base::TimePoint now)
    {
        if (slot.isCallInFlight || now < slot.nextCall)
            return false;
        if (slot.phase == ShardPhase::Foreign)
            return slot.isClaimDue && now >= slot.claimAt;
        if (slot.needsRead || !isOwner(slot))
            return true;
        const bool isDirty = slot.change != slot.durableChange;
        return (isDirty && now >= slot.nextCommit) || now - slot.provenAt >= d.limits.proofInterval;
    }

    void sendCall(Dispatcher& d, ShardSlot& slot, base::TimePoint now, Effects& out)
    {
        if (slot.phase == ShardPhase::Foreign) {
            slot.isClaimDue = false;
            slot.phase = ShardPhase::Reading;
            emitRead(d, slot, out);
            return;
        }
        const bool isDirty = slot.change != slot.durableChange;
        if (isDirty && !slot.needsRead && slot.phase != ShardPhase::Reading)
            emitWrite(d, slot, now, out);
        else
            emitRead(d, slot, out);
    }

} // namespace

void driveStore(Dispatcher& d, base::TimePoint now, Effects& out)
{
    for (auto& [key, entry] : d.shards) {
        ShardSlot& slot = *entry;
        if (d.isStopping && isOwner(slot) && !slot.isReleasing) {
            slot.isReleasing = true;
            slot.shard.owner = {};
            touch(slot);
        }
        if (!wantsCall(d, slot, now))
            continue;
        if (d.isStoreDown) {
            if (d.isProbing || now < d.nextProbe)
                continue;
            d.isProbing = true;
        }
        sendCall(d, slot, now, out);
    }
}

void runDurable(Dispatcher& d, ShardSlot& slot, Effects& out)
{
    std::erase_if(slot.submits, [&](const PendingSubmit& pending) {
        if (pending.change > slot.durableChange)
            return false;
        out.emplace_back(
            ReplySubmit { pending.token, SubmitCode::Accepted, pending.job, slot.key, d.self, Executed::Yes });
        return true;
    });
    std::erase_if(slot.accepts, [&](const PendingAccept& pending) {
        if (pending.change > slot.durableChange)
            return false;
        out.emplace_back(pending.accept);
        return true;
    });
    for (auto& entry : slot.workers) {
        const base::WorkerId& id = entry.first;
        WorkerSlot& worker = entry.second;
        if (worker.phase != WorkerPhase::Fenced)
            continue;
        std::erase_if(worker.acknowledges, [&](const PendingAcknowledge& pending) {
            if (pending.change > slot.durableChange)
                return false;
            out.emplace_back(
                AcknowledgeTask { slot.key, id, slot.shard.epoch, pending.task, pending.attempt, d.nextRequest++ });
            return true;
        });
    }
}

void onShardRead(Dispatcher& d, const ShardKey& key, std::uint64_t version, std::string_view operation,
    std::string_view value, base::TimePoint issuedAt, base::TimePoint now, Effects& out)
{
    ShardSlot* slot = findSlot(d, key);
    if (!slot)
        return;
    slot->isCallInFlight = false;
    onStoreAnswer(d, now);
    if (slot->phase == ShardPhase::Foreign)
        return;
    slot->needsRead = false;
    if (const EmittedWrite* write = findWrite(*slot, operation)) {
        const EmittedWrite done = *write;
        slot->provenAt = std::max(slot->provenAt, issuedAt);
        finishWrite(d, *slot, done, version, now, out);
        return;
    }
    const bool isUnchanged = slot->phase != ShardPhase::Reading && version == slot->version;
    if (!isUnchanged) {
        onForeignValue(d, *slot, version, value, now, out);
        return;
    }
    if (slot->phase == ShardPhase::Claiming) {
        // The claim has not taken effect yet; it may still. The same claim again is settled by CAS.
        emitWrite(d, *slot, now, out);
        return;
    }
    slot->provenAt = std::max(slot->provenAt, issuedAt);
    if (slot->seenEpoch > slot->shard.epoch) {
        // A worker has seen a higher epoch although the shard is ours: claim again above it.
        for (const auto& [id, runtime] : slot->runtime)
            addUse(d.teams, slot->shard.jobs.at(id).spec.team, -slot->shard.jobs.at(id).granted.cpuMilli);
        slot->runtime.clear();
        claim(d, *slot, now, out);
    }
}

void onShardReadFailed(Dispatcher& d, const ShardKey& key, base::TimePoint now, Effects& out)
{
    ShardSlot* slot = findSlot(d, key);
    if (!slot)
        return;
    slot->isCallInFlight = false;
    onStoreFailure(d, *slot, now);
    if (d.isStoreDown)
        refuseUnsent(d, *slot, out);
}

void onShardWritten(Dispatcher& d, const ShardKey& key, std::string_view operation, std::uint64_t version,
    base::TimePoint issuedAt, base::TimePoint now, Effects& out)
{
    ShardSlot* slot = findSlot(d, key);
    if (!slot)
        return;
    const EmittedWrite* write = findWrite(*slot, operation);
    if (!write)
        return;
    slot->isCallInFlight = false;
    onStoreAnswer(d, now);
    const EmittedWrite done = *write;
    slot->provenAt = std::max(slot->provenAt, issuedAt);
    finishWrite(d, *slot, done, version, now, out);
}

void onShardWriteConflict(Dispatcher& d, const ShardKey& key, std::string_view operation, std::uint64_t currentVersion,
    std::string_view currentOperation, base::TimePoint now, Effects& out)
{
    ShardSlot* slot = findSlot(d, key);
    if (!slot || !findWrite(*slot, operation))
        return;
    slot->isCallInFlight = false;
    onStoreAnswer(d, now);
    if (const EmittedWrite* own = findWrite(*slot, currentOperation)) {
        const EmittedWrite done = *own;
        finishWrite(d, *slot, done, currentVersion, now, out);
        return;
    }
    ++d.counters.conflicts;
    // The value decides what became of pending submissions. Nothing starts until it is read.
    slot->needsRead = true;
    slot->provenAt = base::TimePoint();
}

void onShardWriteUnknown(
    Dispatcher& d, const ShardKey& key, std::string_view operation, base::TimePoint now, Effects& out)
{
    ShardSlot* slot = findSlot(d, key);
    if (!slot || !findWrite(*slot, operation))
        return;
    ++d.counters.unknownWrites;
    slot->isCallInFlight = false;
    slot->needsRead = true;
    onStoreFailure(d, *slot, now);
    if (d.isStoreDown)
        refuseUnsent(d, *slot, out);
}

void onShardWriteNotSent(
    Dispatcher& d, const ShardKey& key, std::string_view operation, base::TimePoint now, Effects& out)
{
    ShardSlot* slot = findSlot(d, key);
    if (!slot || !findWrite(*slot, operation))
        return;
    slot->isCallInFlight = false;
    std::erase_if(slot->writes, [&](const EmittedWrite& write) { return write.operation == operation; });
    slot->emittedChange = slot->writes.empty() ? slot->durableChange : slot->writes.back().change;
    if (slot->phase == ShardPhase::Claiming && slot->writes.empty())
        slot->phase = ShardPhase::Reading;
    onStoreFailure(d, *slot, now);
    if (d.isStoreDown)
        refuseUnsent(d, *slot, out);
}

} // namespace lacewing::batch
