// State of the dispatcher for each shard and worker, and the functions that its source files share.
#pragma once

#include "batch/dispatcher.h"

#include <deque>
#include <memory>

namespace lacewing::batch {

enum class ShardPhase {
    Foreign,  // owned by another daemon or not read yet
    Reading,  // read before a takeover
    Claiming, // the write of owner and epoch is on its way
    Fencing,  // owned; some workers have not answered or failed to answer the fence yet
    Owned,
};

enum class WorkerPhase { Unfenced, Fenced, Unreachable };

// What this process knows about a placed job beyond its durable state.
struct JobRuntime {
    std::uint64_t plannedChange = 0; // the plan is durable when ShardSlot::durableChange reaches it
    bool isInherited = false;        // planned by an earlier owner, whose start can still be on its way
    bool wasSent = false;            // a StartTask of this attempt was emitted here
    bool awaitsPoll = false;         // the outcome of a start is not known; a poll decides
    bool isOlderAttempt = false;     // the worker refused the attempt as older than what it knows
    RequestId startRequest = 0;      // start on its way; 0: none
    base::TimePoint startSentAt;
    RequestId absentAfter = 0; // only an answer to a later request can show that the worker lacks the attempt
    bool isEvicting = false;
    base::TimePoint evictedAt;
    std::int64_t checkpointBefore = 0; // at the checkpoint request
    base::TimePoint nextStop;          // StopTask may be repeated from then on
};

struct PendingAcknowledge {
    base::JobId task;
    std::uint32_t attempt = 0;
    std::uint64_t change = 0; // send when durable
};

struct FailedJob {
    base::JobId job;
    base::TimePoint at;
};

struct WorkerSlot {
    WorkerInfo info;
    bool isListed = false;
    bool hasCapacity = false; // the worker has answered: info.capacity is valid and it is in the fleet
    std::size_t fleetIndex = 0;
    WorkerPhase phase = WorkerPhase::Unfenced;
    RequestId request = 0; // fence or poll on its way; 0: none
    base::TimePoint requestSentAt;
    base::TimePoint nextRequest; // fence or poll
    std::uint32_t misses = 0;    // requests without answer, in a row
    base::TimePoint nextRenew;
    bool wasFenced = false;      // by this owner: renewals of earlier owners are refused
    base::TimePoint leaseGoneAt; // no task lease that any owner can have renewed is valid from then on
    std::size_t startsInFlight = 0;
    base::TimePoint noStartsBefore; // after a refusal for lack of capacity
    Pressure pressure;
    bool isThrottled = false;
    std::vector<FailedJob> failedJobs;
    bool isQuarantined = false;
    bool isProbe = false; // after quarantine, until one task has finished
    base::TimePoint quarantinedUntil;
    std::vector<PendingAcknowledge> acknowledges;
    std::vector<base::JobId> orphans; // entries in the fleet for tasks that the shard does not place there
};

// A write that was emitted and may still take effect on top of ShardSlot::version.
struct EmittedWrite {
    std::string operation;
    std::uint64_t change = 0; // all changes up to this one are in the value
};

struct PendingSubmit {
    SubmitToken token = 0;
    base::JobId job;
    std::uint64_t change = 0;
    bool isNew = false; // this submission added the job
    bool isCancel = false;
    base::TimePoint at;
};

// Room on a worker for an urgent job while batch tasks leave it. It counts as a task in the fleet, so that two urgent
// jobs do not wait for the same room.
struct Reservation {
    base::WorkerId worker;
    base::TimePoint until; // then another place is searched
};

struct PendingAccept {
    AcceptTransfer accept;
    std::uint64_t change = 0;
};

struct OpenTransfer {
    std::uint64_t change = 0; // offer when durable
    base::TimePoint nextOffer;
};

struct ShardSlot {
    ShardKey key;
    ShardPhase phase = ShardPhase::Foreign;
    Shard shard; // in memory; changes above durableChange are not in the store yet

    // --- Store ---
    std::uint64_t version = 0;
    std::uint64_t change = 0;
    std::uint64_t durableChange = 0;
    std::uint64_t emittedChange = 0;
    std::vector<EmittedWrite> writes; // against `version`, without known outcome
    bool isCallInFlight = false;
    bool needsRead = false;
    base::TimePoint nextCall;
    base::TimePoint nextCommit;
    base::TimePoint provenAt; // issue time of the newest call that showed this owner and epoch
    bool isClaimDue = false;
    base::TimePoint claimAt;
    base::Epoch seenEpoch = 0; // highest epoch that a worker answered
    bool isReleasing = false;  // the owner is being given up

    // --- Work ---
    std::map<base::WorkerId, WorkerSlot> workers;
    std::map<base::JobId, JobRuntime> runtime; // placed jobs
    std::map<base::JobId, OpenTransfer> transfers;
    std::map<base::JobId, base::TimePoint> waitingSince; // queued jobs that found no room
    std::map<base::JobId, Reservation> reservations;     // urgent jobs whose room is being made
    std::vector<PendingSubmit> submits;
    std::vector<PendingAccept> accepts;
    Fleet fleet;
    bool isPlanDue = true;
    base::TimePoint nextPlan;
};

// --- dispatcher.cpp ---
inline void touch(ShardSlot& slot) { ++slot.change; }
inline bool isOwner(const ShardSlot& slot) { return slot.phase >= ShardPhase::Fencing; }
bool isInService(const Dispatcher& d, const base::DataCentreId& dataCentre);
// Whether the ownership is proved recently enough to start and renew.
bool isProven(const Dispatcher& d, const ShardSlot& slot, base::TimePoint now);
ShardSlot* findSlot(Dispatcher& d, const ShardKey& key);
ShardSlot* findOwned(Dispatcher& d, const ShardKey& key);
void loseShard(Dispatcher& d, ShardSlot& slot, const Shard* current, std::uint64_t version, Effects& out);
void becomeOwner(Dispatcher& d, ShardSlot& slot, base::TimePoint now, Effects& out);

// --- dispatcher_store.cpp ---
void driveStore(Dispatcher& d, base::TimePoint now, Effects& out);
void runDurable(Dispatcher& d, ShardSlot& slot, Effects& out);

// --- dispatcher_workers.cpp ---
WorkerSlot& workerOf(ShardSlot& slot, const base::WorkerId& id);
void driveWorkers(Dispatcher& d, ShardSlot& slot, base::TimePoint now, Effects& out);
void sendStarts(Dispatcher& d, ShardSlot& slot, base::TimePoint now, Effects& out);
void updateEligibility(Dispatcher& d, ShardSlot& slot, base::TimePoint now);
// Adds a placed job to the fleet, the team ledger and the runtime table.
void adoptJob(Dispatcher& d, ShardSlot& slot, const Job& job, bool isInherited);
// Takes an ended or withdrawn attempt off its worker. Call before the shard clears the worker.
void releaseJob(Dispatcher& d, ShardSlot& slot, const Job& job);
void sendStop(Dispatcher& d, ShardSlot& slot, const Job& job, JobRuntime& runtime, base::TimePoint now, Effects& out);
void beginEviction(
    Dispatcher& d, ShardSlot& slot, const Job& job, JobRuntime& runtime, base::TimePoint now, Effects& out);

// --- dispatcher_plan.cpp ---
void planJobs(Dispatcher& d, ShardSlot& slot, base::TimePoint now, Effects& out);
void drivePlaced(Dispatcher& d, ShardSlot& slot, base::TimePoint now, Effects& out);
void driveTransfers(Dispatcher& d, ShardSlot& slot, base::TimePoint now, Effects& out);
void respondToPressure(
    Dispatcher& d, ShardSlot& slot, WorkerSlot& worker, double measuredLoad, base::TimePoint now, Effects& out);

// --- dispatcher_submit.cpp ---
void refuseUnsent(Dispatcher& d, ShardSlot& slot, Effects& out);
void answerOverdue(Dispatcher& d, ShardSlot& slot, base::TimePoint now, Effects& out);
SubmitCode codeOf(const ShardError& error);

} // namespace lacewing::batch
