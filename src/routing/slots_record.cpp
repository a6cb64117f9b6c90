// Changes of the slot record that a daemon proposes: join, return, replacement, removal.
#include "routing/slots.h"

#include <algorithm>

namespace lacewing::routing {

namespace {

    RecordMember* findMember(SlotRecord& record, const base::DaemonId& daemon)
    {
        const auto found = std::find_if(record.members.begin(), record.members.end(),
            [&](const RecordMember& member) { return member.daemon == daemon; });
        return found == record.members.end() ? nullptr : &*found;
    }

    const PeerEvidence* findPeer(const SlotTable& table, const RecordMember& member)
    {
        const auto found = table.peers.find(member.daemon);
        const bool isSame = found != table.peers.end() && found->second.incarnation == member.incarnation;
        return isSame ? &found->second : nullptr;
    }

    bool isSilent(const SlotTable& table, const RecordMember& member, base::TimePoint now)
    {
        const PeerEvidence* peer = findPeer(table, member);
        base::TimePoint heardAt = table.listedAt.value_or(now);
        if (peer)
            heardAt = std::max(heardAt, peer->heardAt);
        return now >= heardAt + base::milliseconds(table.limits.silenceMs);
    }

    // True when the predicate holds for the acknowledgement of every member except this daemon, the given one and those
    // that are proved gone. A member that is itself marked counts: only then does a contact of the removed member with
    // any other one disclose the mark.
    template <typename Predicate>
    bool allOthers(const SlotTable& table, const RecordMember& except, const Predicate& predicate)
    {
        return std::all_of(table.record.members.begin(), table.record.members.end(), [&](const RecordMember& member) {
            if (member.daemon == table.self || member.daemon == except.daemon)
                return true;
            const PeerEvidence* peer = findPeer(table, member);
            return peer && (peer->isGone || (peer->hasAck && predicate(peer->ack)));
        });
    }

    bool mayMark(const SlotTable& table, const RecordMember& member, base::TimePoint now)
    {
        if (member.mayBeSole)
            return false;
        if (!isSilent(table, member, now))
            return false;
        return allOthers(table, member, [&](const SlotAck& ack) {
            return ack.version == table.record.version
                && std::find(ack.silent.begin(), ack.silent.end(), member.daemon) != ack.silent.end();
        });
    }

    bool mayDrop(SlotTable& table, const RecordMember& member, base::TimePoint now)
    {
        const auto mark = table.markAckedAt.find(member.daemon);
        if (mark == table.markAckedAt.end()) {
            const bool isKnown
                = allOthers(table, member, [&](const SlotAck& ack) { return ack.version >= member.removingSince; });
            if (isKnown)
                table.markAckedAt[member.daemon] = { member.removingSince, now };
            return false;
        }
        const base::Duration wait
            = base::milliseconds(table.limits.isolationMs) + base::milliseconds(table.limits.longestRequestMs);
        return now >= mark->second.at + base::leaseExpiryBound(wait);
    }

    void noteSoleMember(SlotRecord& record)
    {
        if (record.members.size() == 1)
            record.members.front().mayBeSole = true;
    }

    // First change that is due, applied to record. False when there is none.
    bool change(SlotTable& table, SlotRecord& record, base::TimePoint now)
    {
        RecordMember* own = findMember(record, table.self);
        if (own && own->incarnation > table.incarnation)
            return false; // a newer process has taken the name over
        if (!own) {
            record.members.push_back({ table.self, table.incarnation });
            return true;
        }
        if (own->incarnation < table.incarnation) {
            *own = { table.self, table.incarnation };
            return true;
        }
        if (own->removingSince != 0) {
            own->removingSince = 0;
            return true;
        }
        if (own->mayBeSole && table.record.members.size() > 1) {
            own->mayBeSole = false;
            return true;
        }
        for (RecordMember& member : record.members) {
            if (member.daemon == table.self)
                continue;
            const PeerEvidence* peer = findPeer(table, member);
            const bool isGone = peer && peer->isGone;
            if (isGone || (member.removingSince != 0 && mayDrop(table, member, now))) {
                const base::DaemonId daemon = member.daemon;
                std::erase_if(record.members, [&](const RecordMember& other) { return other.daemon == daemon; });
                return true;
            }
            if (member.removingSince == 0 && mayMark(table, member, now)) {
                member.removingSince = record.version;
                return true;
            }
        }
        return false;
    }

} // namespace

std::vector<base::DaemonId> silentMembers(const SlotTable& table, base::TimePoint now)
{
    std::vector<base::DaemonId> silent;
    for (const RecordMember& member : table.record.members) {
        if (member.daemon != table.self && isSilent(table, member, now))
            silent.push_back(member.daemon);
    }
    return silent;
}

std::optional<SlotRecord> proposeRecord(SlotTable& table, base::TimePoint now)
{
    if (table.isClosed)
        return std::nullopt;
    SlotRecord record = table.record;
    ++record.version;
    if (!change(table, record, now))
        return std::nullopt;
    noteSoleMember(record);
    return record;
}

std::optional<SlotRecord> closeTable(SlotTable& table)
{
    const bool isBusy = std::any_of(table.endpoints.begin(), table.endpoints.end(), [](const auto& item) {
        const EndpointSlots& state = item.second;
        return state.inUse != 0 || state.lent != 0 || !state.borrowed.empty();
    });
    if (isBusy)
        return std::nullopt;
    table.isClosed = true;
    for (auto& [endpoint, state] : table.endpoints)
        state.granted = 0;
    table.pending.clear();
    SlotRecord record = table.record;
    ++record.version;
    const std::size_t removed = std::erase_if(record.members, [&](const RecordMember& member) {
        return member.daemon == table.self && member.incarnation == table.incarnation;
    });
    noteSoleMember(record);
    return removed > 0 ? std::optional(std::move(record)) : std::nullopt;
}

} // namespace lacewing::routing
