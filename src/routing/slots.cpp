// Use of slots and adoption of records. Proposals are in slots_record.cpp, loans in slots_loans.cpp.
#include "routing/slots.h"

#include "base/hash.h"

#include <algorithm>
#include <bit>
#include <string>

namespace lacewing::routing {

namespace {

    SlotMask bit(int slot) { return SlotMask { 1 } << slot; }

    void count(const SlotTable& table, std::uint64_t Counters::*field)
    {
        if (table.counters)
            ++(table.counters->*field);
    }

    const RecordMember* findMember(const SlotRecord& record, const base::DaemonId& daemon)
    {
        const auto found = std::find_if(record.members.begin(), record.members.end(),
            [&](const RecordMember& member) { return member.daemon == daemon; });
        return found == record.members.end() ? nullptr : &*found;
    }

    SlotMask ownedSlots(const SlotTable& table, const base::EndpointId& endpoint, int slots)
    {
        SlotMask owned = 0;
        for (int slot = 0; slot < slots; ++slot) {
            const RecordMember* owner = slotOwner(table.record, endpoint, slot);
            if (owner && owner->daemon == table.self && owner->incarnation == table.incarnation)
                owned |= bit(slot);
        }
        return owned;
    }

    void assignOwnership(SlotTable& table, const base::EndpointId& endpoint, EndpointSlots& state)
    {
        state.owned = ownedSlots(table, endpoint, state.slots);
        state.granted &= state.owned;
        if (state.owned != state.granted)
            table.mayGain = true;
    }

    void adopt(SlotTable& table, const SlotRecord& record, base::TimePoint now)
    {
        if (record.version <= table.record.version)
            return;
        table.record = record;
        const RecordMember* own = findMember(record, table.self);
        const bool isListed = own && own->incarnation == table.incarnation;
        table.isMember = isListed && own->removingSince == 0;
        if (!isListed)
            table.listedAt.reset();
        else if (!table.listedAt)
            table.listedAt = now;
        for (auto& [endpoint, state] : table.endpoints)
            assignOwnership(table, endpoint, state);
        table.mayGain = true;
        std::erase_if(table.peers, [&](const auto& peer) { return !findMember(record, peer.first); });
        std::erase_if(table.markAckedAt, [&](const auto& mark) {
            const RecordMember* member = findMember(record, mark.first);
            return !member || member->removingSince != mark.second.version;
        });
        // Replies to loan requests of an earlier version must not be used: the owner's successor may count on this
        // daemon's acknowledgement of the new version.
        std::erase_if(table.pending, [&](const auto& item) { return item.second.version != record.version; });
    }

    // Slots of the endpoint that no other possible user can hold at the version in force.
    SlotMask freeOfOthers(const SlotTable& table, const base::EndpointId& endpoint)
    {
        SlotMask busy = 0;
        for (const RecordMember& member : table.record.members) {
            if (member.daemon == table.self)
                continue;
            const auto found = table.peers.find(member.daemon);
            if (found == table.peers.end() || found->second.incarnation != member.incarnation)
                return 0;
            const PeerEvidence& peer = found->second;
            if (peer.isGone)
                continue;
            if (!peer.hasAck || peer.ack.version != table.record.version)
                return 0;
            for (const EndpointMask& mask : peer.ack.busy) {
                if (mask.endpoint == endpoint)
                    busy |= mask.slots;
            }
        }
        return ~busy;
    }

    void gain(SlotTable& table)
    {
        if (!table.mayGain)
            return;
        for (auto& [endpoint, state] : table.endpoints) {
            const SlotMask missing = state.owned & ~state.granted;
            if (missing == 0)
                continue;
            state.granted |= missing & freeOfOthers(table, endpoint);
        }
        // A later acknowledgement sets the flag again.
        table.mayGain = false;
    }

    SlotMask borrowedUsable(const EndpointSlots& state, base::Duration timeLimit, base::TimePoint now)
    {
        SlotMask slots = 0;
        for (const Borrowed& loan : state.borrowed) {
            if (now + timeLimit <= loan.until)
                slots |= loan.slots;
        }
        return slots;
    }

    SlotMask ownUsable(const SlotTable& table, const EndpointSlots& state, base::Duration timeLimit)
    {
        if (timeLimit > base::milliseconds(table.limits.longestRequestMs))
            return 0;
        return state.granted & ~state.lent;
    }

    SlotMask usableMask(
        const SlotTable& table, const EndpointSlots& state, base::Duration timeLimit, base::TimePoint now)
    {
        return (ownUsable(table, state, timeLimit) | borrowedUsable(state, timeLimit, now)) & ~state.inUse;
    }

} // namespace

const RecordMember* slotOwner(const SlotRecord& record, const base::EndpointId& endpoint, int slot)
{
    const std::string key = endpoint.value + '/' + std::to_string(slot);
    const RecordMember* best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const RecordMember& member : record.members) {
        const std::uint64_t weight = base::rendezvousWeight(key, member.daemon.value);
        const bool isFirst = !best || weight > bestWeight;
        if (isFirst || (weight == bestWeight && member.daemon.value < best->daemon.value)) {
            best = &member;
            bestWeight = weight;
        }
    }
    return best;
}

bool isStopped(const SlotTable& table, base::TimePoint now)
{
    if (table.isClosed || !table.isMember || !table.evidenceAt)
        return true;
    if (table.record.members.size() == 1)
        return false;
    return now >= *table.evidenceAt + base::milliseconds(table.limits.isolationMs);
}

int usable(const SlotTable& table, const base::EndpointId& endpoint, base::Duration timeLimit, base::TimePoint now)
{
    const auto found = table.endpoints.find(endpoint);
    if (found == table.endpoints.end() || isStopped(table, now))
        return 0;
    return std::popcount(usableMask(table, found->second, timeLimit, now));
}

int grantedSlots(const SlotTable& table)
{
    int sum = 0;
    for (const auto& [endpoint, state] : table.endpoints)
        sum += std::popcount(state.granted);
    return sum;
}

std::optional<SlotHold> acquire(
    SlotTable& table, const base::EndpointId& endpoint, base::Duration timeLimit, base::TimePoint now)
{
    update(table, now);
    if (isStopped(table, now)) {
        count(table, &Counters::isolationRefusals);
        return std::nullopt;
    }
    const auto found = table.endpoints.find(endpoint);
    const SlotMask free = found == table.endpoints.end() ? 0 : usableMask(table, found->second, timeLimit, now);
    if (free == 0) {
        count(table, &Counters::slotRefusals);
        return std::nullopt;
    }
    EndpointSlots& state = found->second;
    // Own slots first, so that borrowed ones become idle and go back.
    const SlotMask own = free & ownUsable(table, state, timeLimit);
    const int slot = std::countr_zero(own != 0 ? own : free);
    state.inUse |= bit(slot);
    return SlotHold { endpoint, slot };
}

void release(SlotTable& table, const SlotHold& hold)
{
    const auto found = table.endpoints.find(hold.endpoint);
    if (found != table.endpoints.end() && hold.slot >= 0)
        found->second.inUse &= ~bit(hold.slot);
}

void setEndpoints(SlotTable& table, std::span<const EndpointSize> sizes)
{
    std::unordered_map<base::EndpointId, int> listed;
    for (const EndpointSize& size : sizes)
        listed[size.endpoint] = std::clamp(size.slots, 0, 64);
    for (auto& [endpoint, state] : table.endpoints) {
        const auto found = listed.find(endpoint);
        state.slots = found == listed.end() ? 0 : found->second;
        assignOwnership(table, endpoint, state);
    }
    for (const auto& [endpoint, slots] : listed) {
        const auto [entry, isNew] = table.endpoints.try_emplace(endpoint);
        if (!isNew)
            continue;
        entry->second.slots = slots;
        assignOwnership(table, endpoint, entry->second);
    }
    std::erase_if(table.endpoints, [](const auto& item) {
        const EndpointSlots& state = item.second;
        return state.slots == 0 && state.inUse == 0 && state.lent == 0 && state.borrowed.empty();
    });
}

void onRecord(SlotTable& table, const SlotRecord& record, base::TimePoint sentAt, base::TimePoint now)
{
    // An answer with an older version than the one in force was overtaken; it proves nothing new.
    if (record.version < table.record.version)
        return;
    adopt(table, record, now);
    table.evidenceAt = std::max(table.evidenceAt.value_or(sentAt), sentAt);
    update(table, now);
}

void onRelayedRecord(SlotTable& table, const SlotRecord& record, base::TimePoint now)
{
    adopt(table, record, now);
    update(table, now);
}

void onAck(SlotTable& table, const SlotAck& ack, std::optional<base::TimePoint> sentAt, base::TimePoint now)
{
    const RecordMember* member = findMember(table.record, ack.daemon);
    if (!member || ack.daemon == table.self)
        return;
    if (ack.incarnation > member->incarnation) {
        // A newer process answers at the address of this member.
        onGone(table, ack.daemon, member->incarnation, now);
        return;
    }
    if (ack.incarnation < member->incarnation)
        return;
    PeerEvidence& peer = table.peers[ack.daemon];
    if (peer.incarnation != ack.incarnation)
        peer = PeerEvidence {};
    peer.incarnation = ack.incarnation;
    if (peer.isGone)
        return;
    peer.heardAt = std::max(peer.heardAt, now);
    // Overtaken acknowledgements of the same version list more busy slots, never fewer, and do no harm.
    if (!peer.hasAck || ack.version >= peer.ack.version) {
        peer.ack = ack;
        peer.hasAck = true;
        table.mayGain = true;
    }
    if (sentAt && ack.version <= table.record.version && table.evidenceAt)
        table.evidenceAt = std::max(*table.evidenceAt, *sentAt);
    update(table, now);
}

void onGone(SlotTable& table, const base::DaemonId& daemon, Incarnation incarnation, base::TimePoint now)
{
    const RecordMember* member = findMember(table.record, daemon);
    if (!member || member->incarnation != incarnation || daemon == table.self)
        return;
    PeerEvidence& peer = table.peers[daemon];
    if (peer.incarnation != incarnation)
        peer = PeerEvidence {};
    peer.incarnation = incarnation;
    peer.isGone = true;
    table.mayGain = true;
    update(table, now);
}

void update(SlotTable& table, base::TimePoint now)
{
    endLoans(table, now);
    if (!table.isClosed)
        gain(table);
}

SlotAck currentAck(const SlotTable& table, base::TimePoint now)
{
    SlotAck ack;
    ack.daemon = table.self;
    ack.incarnation = table.incarnation;
    ack.version = table.record.version;
    for (const auto& [endpoint, state] : table.endpoints) {
        SlotMask busy = state.inUse | state.lent;
        for (const Borrowed& loan : state.borrowed)
            busy |= loan.slots;
        busy &= ~state.owned;
        if (busy != 0)
            ack.busy.push_back({ endpoint, busy });
    }
    ack.silent = silentMembers(table, now);
    return ack;
}

} // namespace lacewing::routing
