// Path of urgent and slow requests through one daemon: events in, effects out.
//
// The daemon calls these functions from its event loop and carries out the returned effects in their order, before it
// passes the next event. Contract of the daemon:
// - It calls onAttemptStarted before it hands the first byte of an attempt to a connection, and hands out no byte of an
//   attempt after CancelAttempt.
// - It reports exactly one onAttemptResult for each Send and ForwardToDaemon, also after CancelAttempt. The slot stays
//   in use until then, so the connection must be closed before the report.
// - It never sends a request again by itself.
// - It calls tick() at nextWakeUp() at the latest.
// Each request receives exactly one ReplyWithAnswer or ReplyWithProblem, none after onCallerGone.
#pragma once

#include "base/ids.h"
#include "base/rng.h"
#include "base/time.h"
#include "routing/budget.h"
#include "routing/limits.h"
#include "routing/queue.h"
#include "routing/reasons.h"
#include "routing/request.h"
#include "routing/router.h"
#include "routing/slots.h"

#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace lacewing::routing {

struct IncomingRequest {
    RequestId id = 0; // chosen by the daemon, never used again
    RequestClass requestClass = RequestClass::Urgent;
    bool isIdempotent = false;
    std::optional<base::Duration> deadline; // time that the caller allows; empty: the default of the class
    int hops = 0;                           // forwards so far
};

// --- Effects ---
struct Send {
    RequestId requestId = 0;
    AttemptId attemptId = 0;
    base::EndpointId endpoint;
    std::int64_t timeoutMs = 0; // the daemon ends the attempt after this time
};
struct ForwardToDaemon {
    RequestId requestId = 0;
    AttemptId attemptId = 0;
    base::DaemonId daemon;
    std::int64_t timeoutMs = 0; // also the deadline to pass on
    int hops = 1;
};
struct CancelAttempt {
    RequestId requestId = 0;
    AttemptId attemptId = 0;
};
struct ReplyWithAnswer {
    RequestId requestId = 0;
    AttemptId attemptId = 0; // the attempt whose answer goes to the caller
};
struct ReplyWithProblem {
    RequestId requestId = 0;
    int httpStatus = 503;
    Reason code = Reason::NoEndpoint;
    Executed executed = Executed::Unknown;
};
struct AskForLoan {
    base::DaemonId owner;
    LoanRequest request;
};
struct GiveLoanBack {
    LoanReturn loan;
};
struct WriteSlotRecord {
    SlotRecord record; // CAS with expect = version - 1
};
using Effect = std::variant<Send, ForwardToDaemon, CancelAttempt, ReplyWithAnswer, ReplyWithProblem, AskForLoan,
    GiveLoanBack, WriteSlotRecord>;
using Effects = std::vector<Effect>;

// A daemon of another data centre that may take requests.
struct PeerInfo {
    base::DaemonId daemon;
    base::DataCentreId dataCentre;
    int freeSlots = 0;             // this daemon's share of the free slots in the digest, less forwards in flight
    base::Duration distance { 0 }; // round trip
};

// Forwards to one peer that may be in flight. The digest is up to seconds old, so the window also follows the results.
struct ForwardWindow {
    double size = 1; // at least 1, so that a peer that was full is tried again
    int inFlight = 0;
};

struct GatewayAttempt {
    AttemptId id = 0;
    std::optional<SlotHold> hold; // empty for a forward
    base::DaemonId daemon;        // target of a forward
    base::TimePoint sentAt;
    base::TimePoint until; // time limit
};

struct GatewayRequest {
    IncomingRequest incoming;
    RequestState state;
    base::TimePoint arrivedAt;
    base::TimePoint deadline;
    bool isRetry = false;                 // the next attempt follows a failed one
    bool isWaiting = false;               // in the queue
    bool isHedgeChecked = false;          // a hedge was sent or denied
    base::TimePoint timerAt;              // deadline, or time to hedge when that is earlier
    std::vector<GatewayAttempt> attempts; // in flight
    std::vector<base::EndpointId> tried;
    std::vector<base::DaemonId> triedDaemons;
};

struct Gateway {
    // --- Identity and limits ---
    Limits limits;
    base::DataCentreId dataCentre;
    base::Rng rng { 1 }; // the daemon sets a random seed, tests a fixed one
    // --- Parts ---
    Router router;
    SlotTable slots;
    AdmissionQueue queue;
    ShareBudget retryBudget;
    ShareBudget hedgeBudget;
    Counters counters;
    // --- State ---
    std::unordered_map<RequestId, GatewayRequest> requests;
    std::set<std::pair<base::TimePoint, RequestId>> timers; // one entry for each request, at GatewayRequest::timerAt
    std::vector<PeerInfo> peers;
    std::unordered_map<base::DaemonId, ForwardWindow> windows; // by peer
    AttemptId nextAttempt = 1;
    int localInFlight = 0; // attempts on own endpoints
    bool isDraining = false;
    bool isDataCentreOut = false;    // operators took the data centre out: forward new requests
    std::vector<double> latenciesUs; // ring of recent service times for the p95 estimate
    std::size_t latencyNext = 0;
    std::optional<base::TimePoint> maintainedAt; // last maintenance by tick
    std::optional<base::TimePoint> capacityAt;   // last computation of the queue's capacity
    std::optional<base::TimePoint> proposedAt;   // last write of the slot record
    double p95Us = 0;                            // 0: not known yet
};

// --- Construction ---
struct GatewayIdentity {
    base::DaemonId daemon;
    Incarnation incarnation = 1;
    base::DataCentreId dataCentre;
};
// Fills the context in place, because parts point to its counters. The gateway must not be moved afterwards.
void initGateway(
    Gateway& gateway, const GatewayIdentity& identity, const Limits& limits, PolicyName policy, std::uint64_t seed);
// New limits from an accepted configuration. Requests in flight keep the time limits that they have.
void setLimits(Gateway& gateway, const Limits& limits);

// --- Requests ---
Effects offer(Gateway& gateway, const IncomingRequest& request, base::TimePoint now);
Effects onAttemptStarted(Gateway& gateway, RequestId request, AttemptId attempt, base::TimePoint now);
Effects onAttemptResult(
    Gateway& gateway, RequestId request, AttemptId attempt, const AttemptOutcome& outcome, base::TimePoint now);
// The caller closed its connection. Attempts of idempotent requests are cancelled; others run to their end.
Effects onCallerGone(Gateway& gateway, RequestId request, base::TimePoint now);

// --- Time ---
Effects tick(Gateway& gateway, base::TimePoint now);
std::optional<base::TimePoint> nextWakeUp(const Gateway& gateway, base::TimePoint now);

// --- Platform and peers ---
Effects onEndpointList(Gateway& gateway, std::span<const EndpointInfo> list, base::TimePoint now);
void onPeers(Gateway& gateway, std::span<const PeerInfo> peers);
Effects setDataCentreOut(Gateway& gateway, bool isOut, base::TimePoint now);
// Reply of a store read, or of a CAS (also when it was refused: the current record), sent at sentAt.
Effects onSlotRecord(Gateway& gateway, const SlotRecord& record, base::TimePoint sentAt, base::TimePoint now);
Effects onSlotRecordFromPeer(Gateway& gateway, const SlotRecord& record, base::TimePoint now);
// Acknowledgement in a heartbeat (sentAt empty) or in the reply to the own heartbeat that was sent at sentAt.
Effects onSlotAck(Gateway& gateway, const SlotAck& ack, std::optional<base::TimePoint> sentAt, base::TimePoint now);
// For the next heartbeat or reply.
SlotAck currentSlotAck(const Gateway& gateway, base::TimePoint now);
Effects onDaemonGone(Gateway& gateway, const base::DaemonId& daemon, Incarnation incarnation, base::TimePoint now);
LoanReply onLoanRequest(Gateway& gateway, const LoanRequest& request, base::TimePoint now);
Effects onLoanReply(Gateway& gateway, const LoanReply& reply, base::TimePoint now);
Effects onLoanReturn(Gateway& gateway, const LoanReturn& loan, base::TimePoint now);

// --- Planned stop ---
// New requests are refused from now on; requests that were accepted, also waiting ones, are completed.
Effects beginDrain(Gateway& gateway, base::TimePoint now);
// True when no request is known and no slot is in use, lent or borrowed.
bool isIdle(const Gateway& gateway);
// After isIdle: the record without this daemon, to be written before the goodbye.
std::optional<SlotRecord> closeSlots(Gateway& gateway);

} // namespace lacewing::routing
