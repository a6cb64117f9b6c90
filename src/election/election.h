// Election of the scheduling daemon: a term is held by conditional writes of one record in the store.
//
// The record has no lease of the store, because such leases may lapse or be revoked without notice. The leader rewrites
// it every renewMs; its revision therefore changes as long as the leader runs and reaches the store. Another daemon
// takes the term over, by a write on the condition of the revision that it saw, after the revision has not changed for
// takeoverMs. The leader stops acting validityMs after its last successful renewal was sent. The revision of the first
// write of a term is the term's fencing token; workers refuse orders with a lower one.
//
// A daemon in contact with the leader does not take over. A leader that does not reach the store therefore continues as
// long as every voter acknowledges its replies in time. The voters are the daemons that the stored record names, so
// that each daemon that may take over after takeoverMs is one whose acknowledgements the leader needs. A name stays a
// voter through stops and restarts, and until a stored write leaves it out. A daemon that the record does not name is a
// stranger, of which the leader may know nothing: it waits for strangerTakeoverMs, and the leader continues without the
// store for maxWithoutStoreMs at most. A leader that the record names alone acts by the store only, and anyone may
// replace it after takeoverMs.
//
// Scheduling takes more processor time than following. When a term is vacant, daemons with clearly less processor time
// than the strongest one delay their take-over, so that stronger ones take over first. The delay runs while the store
// answers, because no daemon can take over before that.
//
// Each write of the record carries the term clock. A daemon that takes over continues it from the last value that it
// has read, so that the age of former terms is known across terms without a common clock. It is a lower bound of the
// time since the last term whose record has no clock; where there was none, it begins above the length of any lease.
// Within a term, the clocks of all daemons continue the leader's and lag behind it, so that a record of the same term
// does not set one back, but for what it may have gained by running fast: the store may have carried out the write long
// after it was sent.
//
// Pure: the caller reads clocks and carries out the actions.
//
// Invariants
//   - validityMs + clock rate error < takeoverMs: a former leader has stopped before another one acts.
//   - maxWithoutStoreMs + clock rate error < strangerTakeoverMs: the same for a leader that acts by acknowledgements.
//   - Acknowledgements count only when every voter gives one: the names in the stored record, and in later writes of it
//     that may have been carried out. One process at a time has a name, and a new one begins after the former has
//     ended.
//   - findVacancy and formerTermEnd follow from one bound on how long the former leader may act (formerLeaderLimit).
//   - Tokens rise: they are revisions of the store.
//   - A term begins with the success of a take-over and never resumes: answers to writes of an ended term, and replies
//     of one, have no effect on a later term.
//   - The term clock never runs ahead: it advances only by time that a daemon has measured since it read the last
//   value.
#pragma once

#include "base/names.h"
#include "base/term_start.h"

#include <QByteArray>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lacewing::election {

using Millis = std::int64_t; // of the daemon's boot-time clock

struct Limits {
    Millis renewMs = 500;           // interval between renewals
    Millis namingMs = 100;          // the same while the stored record does not name a daemon that has joined
    Millis validityMs = 1500;       // a renewal lets the leader act this long; above two renewals and a lost answer
    Millis takeoverMs = 1800;       // an unchanged record may be taken over; validityMs plus a clock rate margin
    Millis contactTimeoutMs = 700;  // followers poll the record after this long without a reply from the leader
    Millis pollMs = 300;            // interval of these polls, and of write attempts without a valid term
    Millis peerTimeoutMs = 30000;   // a daemon without a message for this long is gone; later records do not name it
    Millis stoppedTimeoutMs = 5000; // the same after it has said that it stops; above the time of a restart
    // A leader acts by acknowledgements for this long after its last renewal; longer outages of the store end its term.
    Millis maxWithoutStoreMs = 60000;
    // A daemon that an unchanged record does not name takes over after this long; maxWithoutStoreMs and 5% for clocks.
    Millis strangerTakeoverMs = 63300;
    Millis weakerDelayMs = 400; // take-over delay of clearly weaker daemons; above a message and a write
    // The same delay after the store answers again: a call of another daemon may still be waiting for its time-out of
    // 500 ms, and a message and a write follow.
    Millis weakerRegainDelayMs = 800;
    Millis firstTermDelayMs = 1000;  // delay of the very first term, times the share of a core that a daemon lacks
    Millis successorTimeoutMs = 600; // a named successor has this long to take over; then any daemon may
    Millis handOverAfterMs = 900;    // a leader without the store for this long hands over to a daemon that reaches it
};

// Stored record of the term. `sequence` identifies the writer's own writes after a lost answer.
struct Record {
    std::string leader;                 // name of the daemon
    std::int64_t incarnation = 0;       // of its process
    std::string peerAddress;            // HOST:PORT for other daemons
    std::int64_t sequence = 0;          // rises with each write of the process
    std::int64_t token = 0;             // 0 in the first write of a term, whose revision is the token
    bool isResigned = false;            // the leader has stopped acting; the successor may take over at once
    std::string successor;              // of a resigned leader; empty: any daemon, the strongest first
    std::set<std::string> members;      // voters: the leader and the daemons whose acknowledgements it needs
    double largestShare = 0;            // cores of the strongest of the others; 0: unknown
    std::optional<Millis> clockMs = {}; // term clock at the write; absent in records of versions without a term clock
    Millis formerEndMs
        = 0; // in the first write: term clock at which the former leader had stopped acting at the latest
    std::vector<base::TermStart> terms = {}; // recent terms, oldest first; in the first write without its own
};

QByteArray encodeRecord(const Record& record);
std::optional<Record> decodeRecord(const QByteArray& bytes);

enum class Role { Follower, Leader };

constexpr base::EnumNames<Role, 2> roleNames { { { Role::Follower, "follower" }, { Role::Leader, "leader" } } };

enum class Action {
    None,
    ReadRecord, // read the record and call observe()
    TakeOver,   // send beginWrite() on the condition of `revision`
    Renew,      // the same, by the leader
};

constexpr base::EnumNames<Action, 4> actionNames { {
    { Action::None, "none" },
    { Action::ReadRecord, "readRecord" },
    { Action::TakeOver, "takeOver" },
    { Action::Renew, "renew" },
} };

// What a write of the record is, decided when it is sent.
enum class WriteKind { TakeOver, Renewal, Resignation };

constexpr base::EnumNames<WriteKind, 3> writeKindNames { {
    { WriteKind::TakeOver, "takeOver" },
    { WriteKind::Renewal, "renewal" },
    { WriteKind::Resignation, "resignation" },
} };

// A write of the record as it was sent. Its answer may arrive after the term that it belongs to has ended.
struct RecordWrite {
    WriteKind kind = WriteKind::TakeOver;
    std::int64_t token = 0; // of the term that is renewed or resigned; 0 for a take-over
    Millis sentAt = 0;
    Record record;
};

// What the success of a write means when it is answered.
enum class WriteEffect {
    Elected,  // the daemon leads a new term
    Renewed,  // the term goes on
    Resigned, // the daemon has stopped leading
    Outdated, // the term of the write had ended; the daemon only learns what the store holds
};

enum class WriteConflict {
    EarlierRenewal,  // the record is an earlier write of this leader, which renews again at once
    EarlierTakeOver, // the record is this daemon's take-over, whose answer was lost; it acts from its next renewal on
    OtherLeader,     // another process has written the record: a leader steps down, then call observe()
};

struct Peer {
    Millis lastMessageAt = 0;  // when its last message was received
    Millis acknowledgedAt = 0; // when the last reply that it received was sent; no take-over within takeoverMs of this
    Millis storeReachedAt = 0; // last time that it reached the store, as it reported
    std::int64_t incarnation = 0;
    double processorShare = 0; // cores
    bool isStopping = false;   // its process is about to end and does not take over
};

struct Election {
    // --- Identity ---
    std::string self;
    std::int64_t incarnation = 0;
    std::string peerAddress;
    double processorShare = 1; // cores that this daemon may use
    Limits limits;
    // --- Record as last seen ---
    bool isRecordKnown = false; // the record or its absence has been observed
    std::optional<Record> record;
    std::int64_t revision = 0;      // 0: absent
    std::int64_t voterRevision = 0; // at which the record is known to name this daemon, or the leader alone
    Millis changedAt = 0;           // when this revision was first observed
    Millis polledAt = 0;
    // --- Term clock ---
    bool hasClock = false; // the record has one, or there has been no term yet
    Millis clockMs = 0;    // at clockAt
    Millis clockAt = 0;
    std::int64_t clockToken = 0;        // of the term whose clock this one continues; 0: unknown
    Millis renewedClockMs = 0;          // at which the leader sent its last known renewal, or later
    std::vector<base::TermStart> terms; // recent terms, oldest first; for the leader including its own
    Millis storeAnsweredAt = 0;         // last answer of the store to a read or write of the record
    Millis storeRegainedAt = 0;         // first answer after the last failure
    bool isStoreFailing = false;
    // --- Follower ---
    Millis lastContactAt = 0;              // last reply of the leader
    Millis leaderActedAt = 0;              // last reply of a leader that had the right to act
    Millis leaderLapsedAt = 0;             // when that right lapsed, by its last reply; 0: it has not
    std::int64_t leaderLapsedRevision = 0; // of its last successful renewal, by that reply
    std::set<std::string> members;         // daemons known to this or earlier leaders
    double largestShare = 0;               // of the record or the leader's last reply
    Millis vacantFrom = 0;   // start of the vacancy after the leader's process has stopped leading; 0: it may lead
    bool isNamed = false;    // ... in favour of this daemon
    bool isStopping = false; // does not take over
    // --- Leader ---
    Role role = Role::Follower;
    std::int64_t token = 0;
    std::int64_t sequence = 0;
    Millis renewSentAt = 0; // of the last successful renewal
    // Daemons whose acknowledgements are needed: named by the stored record, or by a later write that may be stored.
    std::set<std::string> voters;
    Millis formerValidUntil = 0; // end of the right to act when a write was last sent, as its voters may be more
    bool isAlone = true;      // one of these records may name nobody else; then only the store gives the right to act
    Millis lastAttemptAt = 0; // of a renewal or take-over
    std::int64_t formerToken = 0;  // of the term before this one, if it was resigned; otherwise 0
    bool knowsFormerTerms = false; // the term clock covers the time before this term
    std::string lastSuccessor;     // named in the last resignation of this process
    Millis resignedAt = 0;         // time of that resignation
    std::string chosenSuccessor;   // for which this leader resigns; empty: chosen when the resignation is written
    // Daemons that were named as successors and from which the term came back within peerTimeoutMs, with that time.
    std::map<std::string, Millis> failedSuccessors;
    bool hasLapsed = false; // validity ended since the last renewal; acknowledgements alone do not restore it
    Millis lapsedAt = 0;    // when it ended; valid with hasLapsed
    std::map<std::string, Peer> peers;
};

Millis termClock(const Election& election, Millis now);

// Next action. Must not be called while an election call is in flight.
Action nextAction(const Election& election, Millis now);
// The write for a take-over or renewal, or with isResigning for a leader's resignation. Counts as an attempt.
RecordWrite beginWrite(Election& election, bool isResigning, Millis now);

// A read or write of the record was answered, conflicts included, or has failed.
void observeStore(Election& election, bool hasAnswered, Millis now);
// The store holds this record (nullopt: none) at the revision.
void observe(Election& election, const std::optional<Record>& record, std::int64_t revision, Millis now);
// A read has shown this record: true when it is this daemon's take-over, whose answer was lost; it leads now.
bool applyRead(Election& election, const std::optional<Record>& record, std::int64_t revision, Millis now);
// The leader's state in a reply.
struct LeaderState {
    std::int64_t revision = 0;
    Millis lapsedMs = 0;                // for how long its right to act has lapsed; 0: it has not
    std::optional<Millis> clockMs = {}; // term clock; absent in replies of versions without one
    std::int64_t token = 0;             // of its term
    bool isVoter = false;               // the record at the revision names the daemon that is replied to
};

// Whether the record that this leader has stored last names the daemon.
bool isVoter(const Election& election, const std::string& name);
// False: the reply is of an earlier term than the known one, and has no effect.
bool observeContact(Election& election, const LeaderState& leader, const std::set<std::string>& members, Millis now);
// Daemons from which the leader received a message within peerTimeoutMs (stoppedTimeoutMs, if it said that it stops),
// or that the leader before it named; itself included. The leader's next write names them.
std::set<std::string> knownMembers(const Election& election, Millis now);
// Cores of the strongest daemon that may succeed this one. Until it has heard from each of them, at least the value of
// the term before.
double largestKnownShare(const Election& election, Millis now);
// The process that replies at the leader's address does not lead: the term is vacant, after a delay for clearly weaker
// daemons. No effect when the record names another leader by now.
void observeLeaderGone(Election& election, const std::string& leader, std::int64_t incarnation, Millis now);
// The leader has handed the term over to this daemon. No effect when the record names another leader by now.
void observeHandOver(Election& election, const std::string& leader, std::int64_t incarnation, Millis now);
// True while the record names this leader's process.
bool isLedBy(const Election& election, const std::string& leader, std::int64_t incarnation);
// This daemon's write of the record succeeded with the revision.
WriteEffect applyWritten(Election& election, const RecordWrite& write, std::int64_t revision, Millis now);
// A write has failed on a conflict: the store holds this record (nullopt: none) at the revision.
WriteConflict applyConflict(Election& election, const RecordWrite& write, const std::optional<Record>& record,
    std::int64_t revision, Millis now);
void stepDown(Election& election);

// --- Validity of the leader ---

// Time until which the leader may act; 0 for followers.
Millis validUntil(const Election& election, Millis now);
// ms since the leader's right to act has lapsed for good, until its next renewal; 0: it has not. Call after
// applyPeerMessage.
Millis lapsedFor(const Election& election, Millis now);
// A daemon sent a message. `acknowledgedAt` is when the last reply that it has received was sent; 0: none.
void applyPeerMessage(
    Election& election, const std::string& peer, Millis acknowledgedAt, Millis storeReachedAt, Millis now);
// The daemon is about to stop. Its acknowledgements count until its process ends, and are needed like those of others.
void applyPeerStopping(
    Election& election, const std::string& peer, Millis acknowledgedAt, Millis storeReachedAt, Millis now);
// Daemon to name as successor in a resignation: the strongest, and of equals the one started last, because planned
// stops come in series and it has already been restarted. Excludes daemons in failedSuccessors. None when a clearly
// stronger one is silent: then any daemon may take over, the weaker ones after their delay.
std::optional<std::string> preferredSuccessor(const Election& election, Millis now);
// The same, only when it has clearly more processor time than this daemon.
std::optional<std::string> strongerSuccessor(const Election& election, Millis now);
// The strongest daemon that reaches the store, for a hand-over when this one has failed to since `failingSince` (0: it
// reaches the store). A renewal that is merely late, on a busy machine, does not cause a hand-over.
std::optional<std::string> handOverTarget(const Election& election, Millis failingSince, Millis now);

} // namespace lacewing::election
