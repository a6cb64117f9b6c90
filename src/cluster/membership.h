// Membership of the daemons of one data centre: heartbeats, the platform's instance list and planned stops.
//
// The instance list lags and can be wrong in both directions, so it adds and removes members only together with
// direct evidence: a listed daemon that never answered is not usable, and an unlisted daemon stays usable while it
// answers. `leaving` is believed at once, because not using a daemon is safe.
// No decision that needs agreement rests on this view: shard ownership and slot shares are decided by CAS in the store.
#pragma once

#include "base/ids.h"
#include "base/names.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lacewing::cluster {

struct MembershipLimits {
    base::Duration heartbeatInterval = base::seconds(1);
    int missedHeartbeats = 3;                        // a member is suspected after this many
    base::Duration unlistedKeep = base::seconds(10); // silence after which an unlisted member is removed
    // A stopped incarnation is remembered for this time, so that a late heartbeat does not bring it back.
    base::Duration forgetAfter = base::seconds(3600);
};

// A heartbeat or the reply to one.
struct HeartbeatReport {
    base::DaemonId daemon;
    base::DataCentreId dataCentre;
    std::uint64_t incarnation = 0;
    std::string peerAddress;
    std::string gatewayAddress;
    base::Revision revision = 0;
    bool hasStoreAccess = false;
    bool isLeaving = false;
};

// An instance of kind `entry`. The daemon's name in its settings is the id of its instance.
struct ListedDaemon {
    base::DaemonId daemon;
    base::DataCentreId dataCentre;
    std::string peerAddress;
    bool isLeaving = false;
};

enum class MemberState {
    Unverified, // listed, has never answered: not usable
    Alive,
    Suspected, // silent for missedHeartbeats intervals: not usable
    Leaving,   // listed as leaving or said so itself: not usable for new work
    Stopped,   // said goodbye: never usable again with this incarnation
};

constexpr base::EnumNames<MemberState, 5> memberStateNames { {
    { MemberState::Unverified, "unverified" },
    { MemberState::Alive, "alive" },
    { MemberState::Suspected, "suspected" },
    { MemberState::Leaving, "leaving" },
    { MemberState::Stopped, "stopped" },
} };

struct Member {
    base::DaemonId daemon;
    base::DataCentreId dataCentre;
    std::string peerAddress;
    std::string gatewayAddress;
    std::uint64_t incarnation = 0; // highest seen; 0 while none was heard
    base::Revision revision = 0;
    bool hasStoreAccess = false;
    MemberState state = MemberState::Unverified;

    // --- Evidence ---
    std::optional<base::TimePoint> lastHeard;  // last message of the current incarnation
    std::optional<base::TimePoint> graceStart; // silence counts from here when later than lastHeard (own pause)
    bool isListed = false;
    bool isListedLeaving = false;
    bool saysLeaving = false;
    bool isStopped = false; // the current incarnation said goodbye
};

enum class MemberChange {
    Joined,    // first answer
    Restarted, // a higher incarnation of the same name answered: the older one is proved gone
    Suspected,
    Recovered, // answered again after a suspicion
    Leaving,
    Stopped, // goodbye: the incarnation is proved gone
    Removed, // unlisted and silent; no proof that it is gone
};

constexpr base::EnumNames<MemberChange, 7> memberChangeNames { {
    { MemberChange::Joined, "joined" },
    { MemberChange::Restarted, "restarted" },
    { MemberChange::Suspected, "suspected" },
    { MemberChange::Recovered, "recovered" },
    { MemberChange::Leaving, "leaving" },
    { MemberChange::Stopped, "stopped" },
    { MemberChange::Removed, "removed" },
} };

struct MemberEvent {
    MemberChange change = MemberChange::Joined;
    base::DaemonId daemon;
    std::uint64_t incarnation = 0; // for Restarted: the new one; for Stopped: the one that stopped
};

// Context of one daemon. Invariant: a member's incarnation never falls.
struct Membership {
    base::DaemonId self;
    base::DataCentreId dataCentre;
    std::uint64_t selfIncarnation = 0;
    MembershipLimits limits;
    std::map<base::DaemonId, Member> members; // without self
    std::optional<base::TimePoint> lastTick;
    std::optional<base::TimePoint> lastContact; // last message of any other member of the data centre
};

// Takes a heartbeat or the reply to one. Reports of another data centre, of self and of an older or stopped
// incarnation are ignored.
std::vector<MemberEvent> onHeartbeat(Membership& membership, const HeartbeatReport& report, base::TimePoint now);

// Takes the complete instance list (daemons of other data centres are skipped).
std::vector<MemberEvent> onInstanceList(
    Membership& membership, const std::vector<ListedDaemon>& list, base::TimePoint now);

// Takes a goodbye. One of an older incarnation is ignored.
std::vector<MemberEvent> onGoodbye(
    Membership& membership, const base::DaemonId& daemon, std::uint64_t incarnation, base::TimePoint now);

// Finds silent members. Call once per heartbeat interval; after a gap (the process was paused) members get a new
// period of grace, because their heartbeats still wait in socket buffers.
std::vector<MemberEvent> tick(Membership& membership, base::TimePoint now);

// What this daemon states about itself when it appears in the view.
struct SelfReport {
    std::string peerAddress;
    std::string gatewayAddress;
    base::Revision revision = 0;
    bool hasStoreAccess = false;
    bool isLeaving = false;
};

// All members and self, ordered by name.
std::vector<Member> view(const Membership& membership, const SelfReport& self);

// True when new work may be given to the member.
bool isUsable(const Member& member);

// The member that watches the store and sends digests for the data centre: the smallest name among alive members with
// store access, or among all alive members when none has it; empty when none is alive.
std::optional<base::DaemonId> representative(const std::vector<Member>& view);

} // namespace lacewing::cluster
