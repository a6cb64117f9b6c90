// State of a member follows from its evidence; events are the changes of that state.
#include "cluster/membership.h"

#include <algorithm>
#include <set>

namespace lacewing::cluster {

namespace {

    using base::Duration;
    using base::TimePoint;

    // Time without a message, not counting the time in which this daemon itself was paused.
    Duration silence(const Member& member, TimePoint now)
    {
        TimePoint since = *member.lastHeard;
        if (member.graceStart && *member.graceStart > since)
            since = *member.graceStart;
        return now - since;
    }

    MemberState stateOf(const Member& member, const MembershipLimits& limits, TimePoint now)
    {
        if (member.isStopped)
            return MemberState::Stopped;
        if (member.saysLeaving || member.isListedLeaving)
            return MemberState::Leaving;
        if (!member.lastHeard)
            return MemberState::Unverified;
        if (silence(member, now) > limits.heartbeatInterval * limits.missedHeartbeats)
            return MemberState::Suspected;
        return MemberState::Alive;
    }

    // Sets the state from the evidence and reports the change.
    void refresh(const Membership& membership, Member& member, TimePoint now, std::vector<MemberEvent>& events)
    {
        const MemberState before = member.state;
        member.state = stateOf(member, membership.limits, now);
        if (member.state == before)
            return;
        const auto report = [&](MemberChange change) {
            events.push_back({ change, member.daemon, member.incarnation });
        };
        switch (member.state) {
        case MemberState::Alive:
            report(before == MemberState::Unverified ? MemberChange::Joined : MemberChange::Recovered);
            break;
        case MemberState::Suspected:
            report(MemberChange::Suspected);
            break;
        case MemberState::Leaving:
            report(MemberChange::Leaving);
            break;
        case MemberState::Stopped:
            report(MemberChange::Stopped);
            break;
        case MemberState::Unverified:
            break;
        }
    }

    // Members without any evidence that they still run.
    bool isRemovable(const Member& member, const MembershipLimits& limits, TimePoint now)
    {
        if (member.isListed)
            return false;
        if (!member.lastHeard)
            return true;
        return silence(member, now) > (member.isStopped ? limits.forgetAfter : limits.unlistedKeep);
    }

    void removeSilent(Membership& membership, TimePoint now, std::vector<MemberEvent>& events)
    {
        for (auto entry = membership.members.begin(); entry != membership.members.end();) {
            const Member& member = entry->second;
            if (!isRemovable(member, membership.limits, now)) {
                ++entry;
                continue;
            }
            if (member.lastHeard && !member.isStopped)
                events.push_back({ MemberChange::Removed, member.daemon, member.incarnation });
            entry = membership.members.erase(entry);
        }
    }

} // namespace

std::vector<MemberEvent> onHeartbeat(Membership& membership, const HeartbeatReport& report, TimePoint now)
{
    std::vector<MemberEvent> events;
    if (report.dataCentre != membership.dataCentre || report.daemon == membership.self || report.daemon.empty())
        return events;
    Member& member = membership.members[report.daemon];
    if (member.daemon.empty()) {
        member.daemon = report.daemon;
        member.dataCentre = report.dataCentre;
    }
    if (report.incarnation < member.incarnation || (report.incarnation == member.incarnation && member.isStopped))
        return events;
    if (member.lastHeard && report.incarnation > member.incarnation) {
        events.push_back({ MemberChange::Restarted, member.daemon, report.incarnation });
        member.isStopped = false;
        member.saysLeaving = false;
    }
    member.incarnation = report.incarnation;
    member.peerAddress = report.peerAddress;
    member.gatewayAddress = report.gatewayAddress;
    member.revision = report.revision;
    member.hasStoreAccess = report.hasStoreAccess;
    member.saysLeaving = member.saysLeaving || report.isLeaving; // a daemon that drains does not come back
    member.lastHeard = now;
    membership.lastContact = now;
    refresh(membership, member, now, events);
    return events;
}

std::vector<MemberEvent> onInstanceList(Membership& membership, const std::vector<ListedDaemon>& list, TimePoint now)
{
    std::vector<MemberEvent> events;
    std::set<base::DaemonId> listed;
    for (const ListedDaemon& entry : list) {
        if (entry.dataCentre != membership.dataCentre || entry.daemon == membership.self || entry.daemon.empty())
            continue;
        listed.insert(entry.daemon);
        Member& member = membership.members[entry.daemon];
        if (member.daemon.empty()) {
            member.daemon = entry.daemon;
            member.dataCentre = entry.dataCentre;
        }
        if (!member.lastHeard)
            member.peerAddress = entry.peerAddress;
        member.isListed = true;
        member.isListedLeaving = entry.isLeaving;
    }
    for (auto& [daemon, member] : membership.members) {
        if (!listed.contains(daemon)) {
            member.isListed = false;
            member.isListedLeaving = false;
        }
        refresh(membership, member, now, events);
    }
    removeSilent(membership, now, events);
    return events;
}

std::vector<MemberEvent> onGoodbye(
    Membership& membership, const base::DaemonId& daemon, std::uint64_t incarnation, TimePoint now)
{
    std::vector<MemberEvent> events;
    if (daemon == membership.self || daemon.empty())
        return events;
    Member& member = membership.members[daemon];
    if (member.daemon.empty()) {
        member.daemon = daemon;
        member.dataCentre = membership.dataCentre;
    }
    if (incarnation < member.incarnation)
        return events;
    member.incarnation = incarnation;
    member.isStopped = true;
    member.lastHeard = now;
    membership.lastContact = now;
    refresh(membership, member, now, events);
    return events;
}

std::vector<MemberEvent> tick(Membership& membership, TimePoint now)
{
    std::vector<MemberEvent> events;
    const bool wasPaused = membership.lastTick && now - *membership.lastTick > membership.limits.heartbeatInterval * 2;
    membership.lastTick = now;
    for (auto& [daemon, member] : membership.members) {
        if (wasPaused && member.state == MemberState::Alive)
            member.graceStart = now;
        refresh(membership, member, now, events);
    }
    removeSilent(membership, now, events);
    return events;
}

std::vector<Member> view(const Membership& membership, const SelfReport& self)
{
    std::vector<Member> result;
    result.reserve(membership.members.size() + 1);
    for (const auto& [daemon, member] : membership.members)
        result.push_back(member);
    Member own;
    own.daemon = membership.self;
    own.dataCentre = membership.dataCentre;
    own.peerAddress = self.peerAddress;
    own.gatewayAddress = self.gatewayAddress;
    own.incarnation = membership.selfIncarnation;
    own.revision = self.revision;
    own.hasStoreAccess = self.hasStoreAccess;
    own.saysLeaving = self.isLeaving;
    own.state = self.isLeaving ? MemberState::Leaving : MemberState::Alive;
    const auto place = std::lower_bound(result.begin(), result.end(), own.daemon,
        [](const Member& member, const base::DaemonId& daemon) { return member.daemon < daemon; });
    result.insert(place, std::move(own));
    return result;
}

bool isUsable(const Member& member) { return member.state == MemberState::Alive; }

std::optional<base::DaemonId> representative(const std::vector<Member>& view)
{
    const Member* best = nullptr;
    for (const Member& member : view) {
        if (!isUsable(member))
            continue;
        const bool isBetter = !best || (member.hasStoreAccess && !best->hasStoreAccess)
            || (member.hasStoreAccess == best->hasStoreAccess && member.daemon < best->daemon);
        if (isBetter)
            best = &member;
    }
    if (!best)
        return std::nullopt;
    return best->daemon;
}

} // namespace lacewing::cluster
