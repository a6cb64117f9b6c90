// Submissions, cancellations and the receiving side of transfers.
#include "batch/dispatcher_state.h"

#include <algorithm>

namespace lacewing::batch {

namespace {

    void refuse(
        Dispatcher& d, SubmitToken token, SubmitCode code, const base::JobId& job, const ShardKey& key, Effects& out)
    {
        ++d.counters.refusals;
        const auto summary = d.directory.find(key);
        base::DaemonId owner = summary == d.directory.end() ? base::DaemonId() : summary->second.owner;
        out.emplace_back(ReplySubmit { token, code, job, key, std::move(owner), Executed::No });
    }

    ShardSlot* slotOfJob(Dispatcher& d, const base::JobId& id)
    {
        ShardSlot* moved = nullptr;
        for (auto& [key, slot] : d.shards) {
            const auto job = slot->shard.jobs.find(id);
            if (!isOwner(*slot) || job == slot->shard.jobs.end())
                continue;
            if (job->second.state != JobState::Moved)
                return slot.get();
            moved = slot.get();
        }
        return moved;
    }

    void acceptWhenDurable(Dispatcher& d, ShardSlot& slot, const PendingSubmit& pending, Effects& out)
    {
        if (slot.change == slot.durableChange)
            out.emplace_back(
                ReplySubmit { pending.token, SubmitCode::Accepted, pending.job, slot.key, d.self, Executed::Yes });
        else
            slot.submits.push_back(pending);
    }

} // namespace

SubmitCode codeOf(const ShardError& error)
{
    switch (error.code) {
    case ShardError::Code::ContentDiffers:
        return SubmitCode::ContentDiffers;
    case ShardError::Code::Full:
    case ShardError::Code::TooLarge:
        return SubmitCode::Full;
    case ShardError::Code::UnknownJob:
        return SubmitCode::UnknownJob;
    case ShardError::Code::IllegalState:
        return SubmitCode::Moving;
    case ShardError::Code::Malformed:
    case ShardError::Code::InvalidJob:
    case ShardError::Code::WrongAttempt:
        break;
    }
    return SubmitCode::Invalid;
}

void submitJob(
    Dispatcher& d, SubmitToken token, const JobSpec& spec, const ShardKey& key, base::TimePoint now, Effects& out)
{
    ++d.counters.submits;
    const ShardKey home = key.empty() ? homeShard(d, spec.id, spec.dataCentre) : key;
    ShardSlot* slot = findOwned(d, home);
    if (!slot || slot->isReleasing || d.isStopping) {
        refuse(d, token, SubmitCode::NotOwner, spec.id, home, out);
        return;
    }
    // A repeat of a durable submission needs no write and is answered even while the store is down.
    const bool isKnown = slot->shard.jobs.contains(spec.id) && slot->change == slot->durableChange;
    if (!isKnown && d.isStoreDown) {
        refuse(d, token, SubmitCode::StoreDown, spec.id, home, out);
        return;
    }
    if (!isKnown && slot->submits.size() >= d.limits.maxPendingSubmits) {
        refuse(d, token, SubmitCode::Busy, spec.id, home, out);
        return;
    }
    if (!isKnownTeam(d.teams, spec.team)) {
        refuse(d, token, SubmitCode::UnknownTeam, spec.id, home, out);
        return;
    }
    const ShardResult<bool> added = submit(slot->shard, spec, d.limits.shard);
    if (!added) {
        refuse(d, token, codeOf(added.error()), spec.id, home, out);
        return;
    }
    if (added.value()) {
        touch(*slot);
        slot->isPlanDue = true;
    }
    acceptWhenDurable(d, *slot, { token, spec.id, slot->change, added.value(), false, now }, out);
}

void cancelJob(
    Dispatcher& d, SubmitToken token, const base::JobId& id, const ShardKey& key, base::TimePoint now, Effects& out)
{
    ShardSlot* slot = key.empty() ? slotOfJob(d, id) : findOwned(d, key);
    if (!slot || slot->isReleasing) {
        refuse(d, token, SubmitCode::NotOwner, id, key.empty() ? homeShard(d, id, {}) : key, out);
        return;
    }
    if (slot->submits.size() >= d.limits.maxPendingSubmits) {
        refuse(d, token, SubmitCode::Busy, id, slot->key, out);
        return;
    }
    if (d.isStoreDown) {
        refuse(d, token, SubmitCode::StoreDown, id, slot->key, out);
        return;
    }
    const auto found = slot->shard.jobs.find(id);
    const bool wasTerminal = found != slot->shard.jobs.end() && isTerminal(found->second.state);
    const bool wasRequested = found != slot->shard.jobs.end() && found->second.isCancelRequested;
    const ShardResult<bool> result = cancel(slot->shard, id, d.limits.shard);
    if (!result) {
        const bool isMoving = result.error().code == ShardError::Code::IllegalState;
        refuse(d, token, codeOf(result.error()), id, isMoving ? result.error().detail : slot->key, out);
        return;
    }
    if (!wasTerminal && !wasRequested) {
        ++d.counters.cancelDecisions;
        touch(*slot);
    }
    acceptWhenDurable(d, *slot, { token, id, slot->change, false, true, now }, out);
}

// The store went down: submissions that were never part of a write cannot become durable by themselves. They are taken
// back and refused, so that the refusal is true and the memory bounded.
void refuseUnsent(Dispatcher& d, ShardSlot& slot, Effects& out)
{
    std::erase_if(slot.submits, [&](const PendingSubmit& pending) {
        if (pending.change <= slot.emittedChange || pending.isCancel)
            return false;
        const auto job = slot.shard.jobs.find(pending.job);
        if (pending.isNew && job != slot.shard.jobs.end()) {
            if (isPlaced(job->second.state))
                releaseJob(d, slot, job->second);
            slot.waitingSince.erase(pending.job);
            slot.transfers.erase(pending.job);
            if (isTerminal(job->second.state))
                std::erase(slot.shard.finished, pending.job);
            else
                --slot.shard.active;
            slot.shard.jobs.erase(job);
            touch(slot);
        }
        refuse(d, pending.token, SubmitCode::StoreDown, pending.job, slot.key, out);
        return true;
    });
}

void answerOverdue(Dispatcher& d, ShardSlot& slot, base::TimePoint now, Effects& out)
{
    std::erase_if(slot.submits, [&](const PendingSubmit& pending) {
        if (now - pending.at < d.limits.lostReplyAfter)
            return false;
        out.emplace_back(
            ReplySubmit { pending.token, SubmitCode::Lost, pending.job, slot.key, d.self, Executed::Unknown });
        return true;
    });
}

void onTransferOffered(Dispatcher& d, const OfferTransfer& offer, base::TimePoint, Effects& out)
{
    ShardSlot* slot = findOwned(d, offer.target);
    if (!slot || slot->isReleasing || d.isStoreDown)
        return; // the source offers again
    const ShardResult<bool> accepted
        = acceptTransfer(slot->shard, offer.source, offer.number, offer.settledBelow, offer.job, d.limits.shard);
    if (!accepted)
        return; // full
    const AcceptTransfer answer { offer.source, offer.target, offer.job.spec.id, offer.number };
    if (accepted.value()) {
        touch(*slot);
        slot->isPlanDue = true;
    }
    if (slot->change == slot->durableChange)
        out.emplace_back(answer);
    else
        slot->accepts.push_back({ answer, slot->change });
}

void onTransferAccepted(Dispatcher& d, const AcceptTransfer& accept, base::TimePoint, Effects&)
{
    ShardSlot* slot = findOwned(d, accept.source);
    if (!slot)
        return;
    if (endTransfer(slot->shard, accept.job, accept.number, d.limits.shard)) {
        slot->transfers.erase(accept.job);
        touch(*slot);
    }
}

} // namespace lacewing::batch
