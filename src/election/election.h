// Which daemon schedules: a term is a conditional write of one record in the store.
//
// The record has no lease of the store, because leases may lapse or be revoked without notice. The leader rewrites it
// every renewMs; its revision therefore changes as long as the leader lives and reaches the store. Another daemon takes
// the record over, by a write on the condition of the revision that it saw, after the revision has not changed for
// takeoverMs. The leader stops acting validityMs after its last successful renewal was sent. The revision of the first
// write of a term is the term's token; workers refuse orders with a lower one.
//
// While the leader does not reach the store, it goes on as long as every daemon that it knows promises, by answering in
// time, not to take over. A daemon that is in touch with the leader does not take over.
//
// Scheduling takes more processor time than following. Daemons with clearly less of it than the strongest one let it go
// first when a term is free.
//
// Pure: the caller reads clocks and carries out the actions.
//
// Invariants
//   - validityMs + clock rate error < takeoverMs: a former leader has stopped before another one acts.
//   - promises count only when every daemon that this leader or the one before it knew gives one.
//   - tokens rise: they are revisions of the store.
#pragma once

#include "base/names.h"

#include <QByteArray>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace lacewing::election {

using Millis = std::int64_t; // of the daemon's boot-time clock

struct Limits {
    Millis renewMs = 500;          // between renewals
    Millis validityMs = 1500;      // trust in the last renewal; above two renewals and a lost answer
    Millis takeoverMs = 1800;      // validityMs and a margin for different clock rates
    Millis contactTimeoutMs = 700; // a leader that was not heard of for so long is looked for in the store
    Millis pollMs = 300;           // between reads of the record while the leader is missing
    Millis peerTimeoutMs = 30000;  // a daemon that was not heard of for so long is gone and promises nothing
    Millis weakerDelayMs = 400; // head start of daemons with clearly more processor time; above a message and a write
    Millis firstTermDelayMs = 1000;  // head start of a whole core when there has been no term yet
    Millis successorTimeoutMs = 600; // a successor that does not take over within this time is passed over
    Millis handOverAfterMs = 900;    // a leader without the store for so long hands over to a daemon that reaches it
};

// The record. `sequence` tells the writer's own writes apart after a lost answer.
struct Record {
    std::string leader;            // name of the daemon
    std::int64_t incarnation = 0;  // of its process
    std::string peerAddress;       // HOST:PORT for other daemons
    std::int64_t sequence = 0;     // rises with each write of the process
    std::int64_t token = 0;        // 0 in the first write of a term, whose revision is the token
    bool isResigned = false;       // the leader has stopped: the successor may take over at once
    std::string successor;         // of a resigned leader; empty: anyone
    std::set<std::string> members; // daemons that the leader knows, itself included
};

QByteArray encodeRecord(const Record& record);
std::optional<Record> decodeRecord(const QByteArray& bytes);

enum class Role { Follower, Leader };

constexpr base::EnumNames<Role, 2> roleNames { { { Role::Follower, "follower" }, { Role::Leader, "leader" } } };

enum class Action {
    None,
    ReadRecord, // read the record and call observe()
    TakeOver,   // write recordToWrite() on the condition of `revision`
    Renew,      // the same, by the leader
};

constexpr base::EnumNames<Action, 4> actionNames { {
    { Action::None, "none" },
    { Action::ReadRecord, "readRecord" },
    { Action::TakeOver, "takeOver" },
    { Action::Renew, "renew" },
} };

struct Peer {
    Millis lastMessageAt = 0;  // last message
    Millis acknowledgedAt = 0; // it will not take over before promisedAt + takeoverMs
    Millis storeReachedAt = 0; // last time that it reached the store, by its own word
    std::int64_t incarnation = 0;
    double processorShare = 0; // cores
};

struct Election {
    // --- Identity ---
    std::string self;
    std::int64_t incarnation = 0;
    std::string peerAddress;
    double processorShare = 1; // cores that this daemon may use
    Limits limits;
    // --- Record as last seen ---
    bool isRecordKnown = false; // the record, or its absence, has been seen
    std::optional<Record> record;
    std::int64_t revision = 0; // 0: absent
    Millis changedAt = 0;      // first sight of this revision
    Millis polledAt = 0;
    // --- Follower ---
    Millis lastContactAt = 0;      // last answer of the leader
    std::set<std::string> members; // daemons that leaders have named; any of them may take over
    double largestShare = 0;       // cores of the strongest of them; 0: not told
    Millis vacantFrom = 0;         // the leader's process does not lead any more: the term is free then; 0: it may lead
    bool isStopping = false;       // takes nothing over
    // --- Leader ---
    Role role = Role::Follower;
    std::int64_t token = 0;
    std::int64_t sequence = 0;
    Millis renewSentAt = 0;       // of the last successful renewal
    Millis lastAttemptAt = 0;     // of the last attempt
    std::int64_t formerToken = 0; // of the resigned term before this one; 0: it was not resigned
    std::string lastSuccessor;    // in whose favour this process resigned last
    Millis resignedAt = 0;        // that time
    std::map<std::string, Millis>
        failedSuccessors;   // successors after whom the term came back within peerMemoryMs, since when
    bool hasLapsed = false; // the right to act ended since the last renewal: promises alone do not bring it back
    std::map<std::string, Peer> peers;
};

// Next thing to do; the caller has no election call in flight.
Action nextAction(const Election& election, Millis now);
Record recordToWrite(Election& election, bool isResigning, Millis now);

// The store holds this record (nullopt: none) at the revision.
void observe(Election& election, const std::optional<Record>& record, std::int64_t revision, Millis now);
// The leader told its revision and the daemons that it knows in a message.
void observeContact(Election& election, std::int64_t revision, const std::set<std::string>& members, Millis now);
// Daemons that the leader has heard of lately, or that earlier leaders knew; itself included.
std::set<std::string> knownMembers(const Election& election, Millis now);
// A process that answers under the address of this leader's process does not lead: the term is free, for clearly
// stronger daemons first. Of no effect when the record names another leader by now.
void observeLeaderGone(Election& election, const std::string& leader, std::int64_t incarnation, Millis now);
// The leader has handed the term to this daemon. Of no effect when the record names another leader by now.
void observeHandOver(Election& election, const std::string& leader, std::int64_t incarnation, Millis now);
// True while the record names this leader's process.
bool isLedBy(const Election& election, const std::string& leader, std::int64_t incarnation);
// Own write of the record, sent at sentAt, succeeded at the revision.
void applyWritten(Election& election, const Record& record, std::int64_t revision, Millis sentAt, Millis now);
// An earlier write of this leader stands at the revision, as a write sent at sentAt has shown.
void applyEarlierWrite(Election& election, std::int64_t revision, Millis sentAt);
void stepDown(Election& election);
// True when the record is the one that this process wrote with the sequence.
bool isOwn(const Election& election, const std::optional<Record>& record, std::int64_t sequence);

// --- Leader's right to act ---

Millis validUntil(const Election& election, Millis now);
// A daemon sent a message; `promisedAt` is when the last answer that it has received was given.
void applyPeerMessage(
    Election& election, const std::string& peer, Millis acknowledgedAt, Millis storeReachedAt, Millis now);
void removePeer(Election& election, const std::string& peer);
// Daemon to resign in favour of: the strongest, and of equals the one that was started last, because planned stops come
// in series and it has had its turn. Not one after whom the term came back lately.
std::optional<std::string> preferredSuccessor(const Election& election, Millis now);
// True when a daemon with clearly more processor time could take the term over.
bool hasStrongerSuccessor(const Election& election, Millis now);
// Daemon to hand the term to, because it reaches the store and this one has been failing to since `failingSince` (0: it
// has not): the strongest of them. A renewal that is merely late, on a busy machine, is no reason.
std::optional<std::string> handOverTarget(const Election& election, Millis failingSince, Millis now);

} // namespace lacewing::election
