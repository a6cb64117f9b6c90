// Shares of the slots of the endpoints of one data centre, among the daemons of that data centre.
//
// Invariant: at every moment the slots of an endpoint in use, summed over all daemons, are at most its slots. Each slot
// has one owner at each record version (rendezvous hashing over the recorded members), and:
// - A member uses a slot that it gained only after every other recorded member has acknowledged exactly this version
//   with the slot idle, or has been proved gone. Acknowledgements of later versions do not count, because the sender
//   may own the slot again there.
// - A member that is absent from the record has been proved gone, so the record is the list of all possible users.
// - A loan belongs to a record version and a loan request. The borrower drops replies of another version, repeated
//   replies and replies to expired requests. Its lease starts when it sent the request; the owner's when it replied.
// - Borrower and owner both report a lent slot as busy, so that neither alone can free it by leaving.
// - An attempt ends within its time limit (closed connection). A slot is acquired only if that time limit lies within
//   the lease (loans) or longestRequestMs (own slots).
// - Isolation: the use of slots stops when for isolationMs there was neither a store read of the record nor a reply
//   from a recorded member that holds no later version than this one. Both count from the time of sending the request,
//   so that messages buffered during a pause prove nothing.
// - The only member of a record never stops by isolation, because nobody could take its slots. A member that may still
//   believe to be the only one (mayBeSole) is therefore never marked; it needs another proof that it is gone.
// - A silent member is marked `removing` when all other recorded members agree, and is dropped from the record only
//   isolationMs + longestRequestMs (with the clock rate bound) after all others acknowledged the mark.
//
// Assumed: the daemon checks the time again between acquiring a slot and handing out the first byte; a pause exactly
// there is bounded by the attempt's time limit only.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "routing/limits.h"
#include "routing/reasons.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace lacewing::routing {

using Incarnation = std::uint64_t; // rises with each start of a daemon under the same name
using SlotMask = std::uint64_t;    // bit n: slot n of an endpoint

struct RecordMember {
    base::DaemonId daemon;
    Incarnation incarnation = 0;
    std::uint64_t removingSince = 0; // record version that marked the member as removing; 0: not marked
    bool mayBeSole = false;          // was the only member; cleared by the member itself once it knows of another

    bool operator==(const RecordMember&) const = default;
};

// Value of `slots/<dc>`. Written by CAS only, with expect = version - 1.
struct SlotRecord {
    std::uint64_t version = 0; // 0: no record yet
    std::vector<RecordMember> members;

    bool operator==(const SlotRecord&) const = default;
};

struct EndpointMask {
    base::EndpointId endpoint;
    SlotMask slots = 0;

    bool operator==(const EndpointMask&) const = default;
};

// Acknowledgement of a record version; part of each heartbeat and of each reply to one.
struct SlotAck {
    base::DaemonId daemon;
    Incarnation incarnation = 0;
    std::uint64_t version = 0;          // version in force at the sender
    std::vector<EndpointMask> busy;     // slots in use, lent or borrowed that the sender does not own at this version
    std::vector<base::DaemonId> silent; // members that the sender has not heard for silenceMs
};

// `slotLoan`: request and reply. `slotReturn` gives slots back.
struct LoanRequest {
    base::DaemonId borrower;
    Incarnation incarnation = 0;
    std::uint64_t request = 0; // number of the request, unique for borrower and incarnation
    std::uint64_t version = 0; // record version in force at the borrower
    base::EndpointId endpoint;
    int count = 1;
};
struct LoanReply {
    base::DaemonId owner;
    Incarnation ownerIncarnation = 0;
    std::uint64_t request = 0;
    std::uint64_t version = 0; // record version in force at the owner
    std::uint64_t loan = 0;    // number of the loan, unique for owner and incarnation
    base::EndpointId endpoint;
    SlotMask slots = 0; // 0: refused
    std::int64_t leaseMs = 0;
};
struct LoanReturn {
    base::DaemonId owner;
    Incarnation ownerIncarnation = 0;
    std::uint64_t loan = 0;
    base::EndpointId endpoint;
};

struct Loan { // kept by the owner
    std::uint64_t number = 0;
    base::DaemonId borrower;
    Incarnation borrowerIncarnation = 0;
    std::uint64_t request = 0;
    std::int64_t leaseMs = 0;
    SlotMask slots = 0;
    base::TimePoint until; // end of the lease with the clock rate bound
};

struct Borrowed { // kept by the borrower
    base::DaemonId owner;
    Incarnation ownerIncarnation = 0;
    std::uint64_t loan = 0;
    SlotMask slots = 0;
    base::TimePoint until; // end of the lease, counted from the sending of the request
};

struct EndpointSlots {
    int slots = 8;                  // size of the endpoint; 0 when it is not listed
    SlotMask owned = 0;             // owned at the version in force
    SlotMask granted = 0;           // subset of owned that may be used: gained safely or kept
    SlotMask inUse = 0;             // attempts in flight, on own and borrowed slots
    SlotMask lent = 0;              // subset of granted or formerly granted
    std::vector<Loan> loans;        // loans given
    std::vector<Borrowed> borrowed; // loans received
};

struct PeerEvidence {
    Incarnation incarnation = 0;
    SlotAck ack; // latest acknowledgement
    bool hasAck = false;
    base::TimePoint heardAt; // last message from the peer
    bool isGone = false;     // this incarnation is proved gone
};

struct PendingLoan {
    base::EndpointId endpoint;
    base::DaemonId owner;
    base::TimePoint sentAt;
    std::uint64_t version = 0;
};

struct MarkEvidence {
    std::uint64_t version = 0; // removingSince of the mark
    base::TimePoint at;        // when all other members were known to have acknowledged the mark
};

struct SlotTable {
    SlotLimits limits;
    // --- Identity ---
    base::DaemonId self;
    Incarnation incarnation = 1;
    // --- Record ---
    SlotRecord record;                       // version in force here
    bool isMember = false;                   // this incarnation is in the record and not marked
    std::optional<base::TimePoint> listedAt; // when the first version that lists this incarnation came into force here
    bool mayGain = false;                    // owned slots that are not granted may have become free
    std::unordered_map<base::EndpointId, EndpointSlots> endpoints;
    std::unordered_map<base::DaemonId, PeerEvidence> peers; // by name; the entry is replaced by a newer incarnation
    // --- Isolation ---
    std::optional<base::TimePoint> evidenceAt; // sending time of the last request whose reply was evidence
    std::unordered_map<base::DaemonId, MarkEvidence> markAckedAt; // members marked removing
    // --- Loans ---
    std::map<std::uint64_t, PendingLoan> pending; // loan requests without a reply
    std::size_t loanCount = 0;                    // loans given that have not ended
    std::size_t borrowedCount = 0;                // loans received that have not been given back
    std::uint64_t nextLoan = 1;
    std::uint64_t nextRequest = 1;
    std::optional<base::TimePoint> loanAskedAt;
    bool isClosed = false;        // goodbye was sent; nothing is acquired or lent any more
    Counters* counters = nullptr; // not owned, may be null
};

// Size of an endpoint in slots (0 to 64).
struct EndpointSize {
    base::EndpointId endpoint;
    int slots = 8;
};

// One slot in use. Give it back with release().
struct SlotHold {
    base::EndpointId endpoint;
    int slot = -1;
};

// --- Use ---
// Number of slots of the endpoint that an attempt with this time limit could acquire now.
int usable(const SlotTable& table, const base::EndpointId& endpoint, base::Duration timeLimit, base::TimePoint now);
// Sum of own granted slots over all endpoints, in use or not.
int grantedSlots(const SlotTable& table);
std::optional<SlotHold> acquire(
    SlotTable& table, const base::EndpointId& endpoint, base::Duration timeLimit, base::TimePoint now);
void release(SlotTable& table, const SlotHold& hold);
// True when this daemon must not use slots for lack of evidence, or because it is marked or not a member.
bool isStopped(const SlotTable& table, base::TimePoint now);

// --- Inputs ---
// Endpoints of the data centre. Slots of an endpoint that is missing from the list are not used until it is back.
void setEndpoints(SlotTable& table, std::span<const EndpointSize> sizes);
// Result of a store read of the record that was sent at sentAt. Older versions than the one in force change nothing.
void onRecord(SlotTable& table, const SlotRecord& record, base::TimePoint sentAt, base::TimePoint now);
// Record passed on by a peer. It counts as no evidence.
void onRelayedRecord(SlotTable& table, const SlotRecord& record, base::TimePoint now);
// Acknowledgement in a message of a peer. When it is the reply to a request of this daemon, sentAt is the time when the
// request was sent; otherwise it is empty, and the message is no evidence against isolation.
void onAck(SlotTable& table, const SlotAck& ack, std::optional<base::TimePoint> sentAt, base::TimePoint now);
// Proof that an incarnation is gone: its goodbye, a newer incarnation at its address, or an operator's statement.
void onGone(SlotTable& table, const base::DaemonId& daemon, Incarnation incarnation, base::TimePoint now);
// Ends loans whose lease is over, and takes possession of gained slots. Called by every function that needs it.
void update(SlotTable& table, base::TimePoint now);

// --- Outputs ---
// Recorded members that were not heard for silenceMs.
std::vector<base::DaemonId> silentMembers(const SlotTable& table, base::TimePoint now);
SlotAck currentAck(const SlotTable& table, base::TimePoint now);
// Next record that this daemon should write (CAS on version - 1): join, return after a mark, replacement of its own
// older incarnation, removal of a member that is gone, mark of a silent member, or drop of a marked one.
std::optional<SlotRecord> proposeRecord(SlotTable& table, base::TimePoint now);
// Planned stop: ends all use and gives the record without this daemon. Nothing while a slot is in use, lent or
// borrowed, or when the daemon is not listed. When the CAS is refused, pass the current record to onRecord and call
// this again.
std::optional<SlotRecord> closeTable(SlotTable& table);

// --- Loans ---
struct LoanAsk {
    base::DaemonId owner;
    LoanRequest request;
};
// Request for one slot of the endpoint to the peer with the largest share of it. Nothing when one was sent just now.
std::optional<LoanAsk> borrow(SlotTable& table, const base::EndpointId& endpoint, base::TimePoint now);
LoanReply lend(SlotTable& table, const LoanRequest& request, base::TimePoint now);
// Gives the return to send when the reply cannot be used.
std::optional<LoanReturn> onLoanReply(SlotTable& table, const LoanReply& reply, base::TimePoint now);
void onLoanReturn(SlotTable& table, const LoanReturn& loan);
// Ends loans given whose lease is over.
void endLoans(SlotTable& table, base::TimePoint now);
// Idle borrowed slots to give back: all of them, or those whose lease is over.
std::vector<LoanReturn> takeReturns(SlotTable& table, bool all, base::TimePoint now);

// Owner of a slot at a record, or nothing when the record has no members.
const RecordMember* slotOwner(const SlotRecord& record, const base::EndpointId& endpoint, int slot);

} // namespace lacewing::routing
