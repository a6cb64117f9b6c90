// The dispatcher: decides for all shards that a daemon owns or may take over.
//
// Events go in through the functions below; each appends effects, which the daemon carries out and answers with further
// events. Nothing here blocks, reads a clock or sends.
//
// Invariants:
// - StartTask is emitted only for a durable plan, on a worker fenced with the shard's epoch, in a data centre that is
//   in service, and with fresh evidence (docs/design.md, Q8).
// - A shard is planned only after each of its workers was fenced and read back, or found unreachable.
// - An attempt is replaced only when it has surely ended: the worker said so, or its lease has run out after the last
//   renewal that any owner can have sent.
// - A submission is reported as accepted only when durable, as refused only when it cannot become durable.
#pragma once

#include "base/rng.h"
#include "batch/interference.h"
#include "batch/placement.h"
#include "batch/pressure.h"
#include "batch/quotas.h"
#include "batch/shard.h"
#include "batch/usage.h"

#include <memory>
#include <set>
#include <unordered_map>
#include <variant>

namespace lacewing::batch {

using RequestId = std::uint64_t;   // number of a request to a worker; the reply event carries it back
using SubmitToken = std::uint64_t; // chosen by the daemon; ReplySubmit and ReplyCancel carry it back

// --- Effects ---

// PUT of the shard's value. Answer: onShardWritten, onShardWriteConflict or onShardWriteUnknown.
struct WriteShard {
    ShardKey key;
    std::string value;
    std::uint64_t expectedVersion = 0; // 0: absent
    std::string operation;             // unique
};
// GET of the shard's value. Answer: onShardRead or onShardReadFailed.
struct ReadShard {
    ShardKey key;
};
// POST /v1/worker/fence. Answer: onFenceReply or onWorkerUnreachable.
struct FenceWorker {
    ShardKey key;
    base::WorkerId worker;
    base::Epoch epoch = 0;
    RequestId request = 0;
};
// POST /v1/worker/start, time-out startTimeout, sent once. The daemon must not send it after notAfter (it answers
// StartResult::NotSent then). Answer: onStartReply.
struct StartTask {
    ShardKey key;
    base::WorkerId worker;
    base::Epoch epoch = 0;
    base::JobId task;
    std::uint32_t attempt = 0;
    Resources resources;
    std::int64_t durationMs = 0;
    std::int64_t checkpointMs = 0; // work saved earlier, where the attempt resumes
    std::int64_t leaseMs = 0;
    base::TimePoint notAfter;
    RequestId request = 0;
};
// POST /v1/worker/renew: extends the leases of all tasks of the worker. Answer: onRenewReply.
struct RenewWorker {
    ShardKey key;
    base::WorkerId worker;
    base::Epoch epoch = 0;
    std::int64_t leaseMs = 0;
    base::TimePoint notAfter; // must not be sent later
    RequestId request = 0;
};
// POST /v1/worker/checkpoint. Answer: onTaskReply. The new checkpoint is in a later worker state.
struct CheckpointTask {
    ShardKey key;
    base::WorkerId worker;
    base::Epoch epoch = 0;
    base::JobId task;
    std::uint32_t attempt = 0;
    RequestId request = 0;
};
// POST /v1/worker/throttle. Answer: onTaskReply.
struct ThrottleTask {
    ShardKey key;
    base::WorkerId worker;
    base::Epoch epoch = 0;
    base::JobId task;
    std::uint32_t attempt = 0;
    std::int64_t cpuMilli = 0; // processor share left to the task; 0 removes the throttle
    RequestId request = 0;
};
// POST /v1/worker/stop. Answer: onTaskReply.
struct StopTask {
    ShardKey key;
    base::WorkerId worker;
    base::Epoch epoch = 0;
    base::JobId task;
    std::uint32_t attempt = 0;
    RequestId request = 0;
};
// The end of the attempt is durable: the worker may forget it. Answer: none needed, it is repeated while listed.
struct AcknowledgeTask {
    ShardKey key;
    base::WorkerId worker;
    base::Epoch epoch = 0;
    base::JobId task;
    std::uint32_t attempt = 0;
    RequestId request = 0;
};
// GET /v1/worker (and its reports). Answer: onWorkerState or onWorkerUnreachable.
struct PollWorker {
    ShardKey key;
    base::WorkerId worker;
    RequestId request = 0;
};

enum class SubmitCode {
    Accepted,       // durable in the shard
    ContentDiffers, // the id exists with other content
    Invalid,        // a field is out of range
    NotOwner,       // this daemon does not own the job's shard; see `shard` and `owner`
    StoreDown,      // the store cannot be written
    Busy,           // too many submissions wait for a commit
    Full,           // the shard holds maxJobs
    UnknownTeam,    // the team has no quota entry
    UnknownJob,     // cancel only
    Moving,         // cancel only: in transfer to `shard`
    Lost,           // the outcome is not known; executed: unknown
};
constexpr base::EnumNames<SubmitCode, 11> submitCodeNames { {
    { SubmitCode::Accepted, "accepted" },
    { SubmitCode::ContentDiffers, "contentDiffers" },
    { SubmitCode::Invalid, "invalid" },
    { SubmitCode::NotOwner, "notOwner" },
    { SubmitCode::StoreDown, "storeDown" },
    { SubmitCode::Busy, "busy" },
    { SubmitCode::Full, "full" },
    { SubmitCode::UnknownTeam, "unknownTeam" },
    { SubmitCode::UnknownJob, "unknownJob" },
    { SubmitCode::Moving, "moving" },
    { SubmitCode::Lost, "lost" },
} };

enum class Executed { No, Yes, Unknown }; // No: a true refusal

// Answer to submit or cancel.
struct ReplySubmit {
    SubmitToken token = 0;
    SubmitCode code = SubmitCode::Accepted;
    base::JobId job;
    ShardKey shard;
    base::DaemonId owner; // NotOwner: the owner that is known, else empty
    Executed executed = Executed::No;
};
// Step 2 of a transfer, to the owner of the target shard (which may be this daemon). It answers through
// onTransferOffered there and onTransferAccepted here. Repeated until it is accepted.
struct OfferTransfer {
    ShardKey source;
    ShardKey target;
    Job job;
    std::uint64_t number = 0;
    std::uint64_t settledBelow = 0;
};
// The target has made the transfer durable; pass it to the owner of the source (onTransferAccepted).
struct AcceptTransfer {
    ShardKey source;
    ShardKey target;
    base::JobId job;
    std::uint64_t number = 0;
};

using Effect = std::variant<WriteShard, ReadShard, FenceWorker, StartTask, RenewWorker, CheckpointTask, ThrottleTask,
    StopTask, AcknowledgeTask, PollWorker, ReplySubmit, OfferTransfer, AcceptTransfer>;
using Effects = std::vector<Effect>;

// --- Inputs ---

enum class StartResult {
    Accepted,
    Already,      // repeat of the same attempt
    StaleEpoch,   // another owner has fenced the worker
    Capacity,     // does not fit; nothing started
    OlderAttempt, // the worker knows a newer attempt
    Unknown,      // no reply: time-out or lost connection
    NotSent,      // notAfter passed before sending
};
constexpr base::EnumNames<StartResult, 7> startResultNames { {
    { StartResult::Accepted, "accepted" },
    { StartResult::Already, "already" },
    { StartResult::StaleEpoch, "staleEpoch" },
    { StartResult::Capacity, "capacity" },
    { StartResult::OlderAttempt, "olderAttempt" },
    { StartResult::Unknown, "unknown" },
    { StartResult::NotSent, "notSent" },
} };

struct BatchPolicy {
    std::map<base::DataCentreId, bool> dataCentreIn; // in service; a missing entry counts as out
    std::map<base::TeamId, TeamPolicy> teams;        // empty: every team is allowed with equal share
    std::map<base::TeamId, TeamUse> useElsewhere;    // committed by other daemons, from their digests
    std::string placement = "interferenceAware";     // name from placementPolicyNames
};

struct DispatcherLimits {
    // --- Store ---
    base::Duration commitInterval = base::milliseconds(200); // least time between writes of one shard
    base::Duration backoffMin = base::milliseconds(250);     // between store probes while it is down
    base::Duration backoffMax = base::seconds(10);
    base::Duration proofInterval = base::seconds(5); // read the shard when no write confirmed ownership for so long
    base::Duration proofLimit = base::seconds(120);  // no start or renewal without younger proof of ownership
    std::size_t recoveryWritesPerSecond = 20;        // of this daemon, after the store was down
    std::size_t maxPendingSubmits = 1'000;           // for each shard, not yet durable
    // --- Workers ---
    base::Duration taskLease = base::seconds(30);
    base::Duration renewInterval = base::seconds(8);
    base::Duration startTimeout = base::seconds(1);
    base::Duration callTimeout = base::seconds(2); // of other requests to a worker
    base::Duration outageLag = base::seconds(3);   // onOutageAgreed(false) comes at most so long after the first call
    base::Duration pollInterval = base::seconds(2);
    base::Duration retryInterval = base::seconds(2); // repeat of a request to a worker without a reply
    std::size_t maxStartsInFlight = 8;               // for each worker
    // --- Work ---
    base::Duration evictGrace = base::seconds(2);     // from checkpoint request to stop
    base::Duration quarantine = base::seconds(300);   // then a probe with one task
    base::Duration neverAfter = base::seconds(60);    // until a job that fits no listed worker is failed
    base::Duration waitBeforeMove = base::seconds(5); // until a waiting job moves to a shard with free workers
    base::Duration urgentWaitBeforeMove = base::milliseconds(500); // the same for urgent jobs: they start within 7.3 s
    base::Duration lostReplyAfter = base::seconds(5); // until a submission with unknown outcome is answered so
    std::size_t quarantineJobs = 3;                   // different jobs failed on the worker
    base::Duration returnStep = base::seconds(10);    // steps 10, 25, 50, 100% after a data centre returns
    std::size_t plansPerTick = 64;                    // for each shard
    std::size_t transfersPerTick = 16;                // for each shard
    base::Duration transferRetry = base::seconds(2);
    ShardLimits shard;
    PressureLimits pressure;
};

// A shard that exists, whoever owns it; from the configuration and the data-centre digests.
struct ShardSummary {
    ShardKey key;
    base::DataCentreId dataCentre;
    std::vector<base::RackId> racks;
    base::DaemonId owner;            // as far as known
    std::int64_t freeCpuMilli = 0;   // of the shard's workers, from the digest
    std::int64_t urgentCpuMilli = 0; // the same for urgent work, with what it may evict
    Resources largest;               // largest worker of the shard, from the digest; zero: not known
};

struct DispatcherCounters {
    std::uint64_t writes = 0;
    std::uint64_t reads = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unknownWrites = 0;
    std::uint64_t starts = 0;    // StartTask emitted
    std::uint64_t evictions = 0; // attempts ended by eviction
    std::uint64_t failures = 0;  // attempts failed
    std::uint64_t finished = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t lostShards = 0;
    std::uint64_t refusals = 0;
    std::uint64_t quarantines = 0;
    std::uint64_t cancelDecisions = 0;
    std::uint64_t submits = 0;
};

struct ShardSlot; // dispatcher_state.h
struct WorkerSlot;

struct Dispatcher {
    Dispatcher(base::DaemonId id, base::DataCentreId ownDataCentre, DispatcherLimits bounds, std::uint64_t seed);
    ~Dispatcher();
    Dispatcher(const Dispatcher&) = delete;
    Dispatcher& operator=(const Dispatcher&) = delete;

    base::DaemonId self;
    base::DataCentreId dataCentre;
    DispatcherLimits limits;
    base::Rng rng;               // seeded differently in each process: operation identities must be unique
    std::string operationPrefix; // self and a random number
    std::uint64_t nextOperation = 1;
    RequestId nextRequest = 1;
    BatchPolicy policy;
    std::map<base::DataCentreId, base::TimePoint> returnedAt; // start of the step-wise return
    bool hasPolicy = false;
    bool isFresh = false;
    base::TimePoint freshUntil; // starts only before this
    bool isOutageAgreed = false;
    bool isStoreDown = false;
    std::size_t storeFailures = 0; // in a row
    bool isProbing = false;        // one store call is in flight while the store is down
    base::TimePoint nextProbe;
    base::Duration backoff { 0 };
    base::TimePoint lastTick;
    bool hasTicked = false;
    bool isStopping = false;
    std::map<ShardKey, std::unique_ptr<ShardSlot>> shards;
    std::map<ShardKey, ShardSummary> directory;
    std::map<base::WorkerId, WorkerInfo> listed; // from the instance list
    Interference interference;
    UsageModel usage;
    TeamLedger teams;
    std::set<base::DaemonId> silent; // owners without heartbeats
    std::set<base::DaemonId> alive;  // daemons whose heartbeats are heard
    DispatcherCounters counters;
};

// --- Set-up ---
// Shards that exist. A shard of this data centre is taken over when its summary has no owner (none is recorded, or the
// recorded one is no member any more) or a silent one.
void onDirectory(Dispatcher& d, const std::vector<ShardSummary>& shards, base::TimePoint now, Effects& out);
// Workers of the instance list. It may be wrong in both directions: a worker that is missing keeps its tasks.
void onWorkerList(Dispatcher& d, const std::vector<WorkerInfo>& workers, base::TimePoint now, Effects& out);
void onPolicy(Dispatcher& d, const BatchPolicy& policy, base::TimePoint now, Effects& out);
// Configuration evidence; `evidenceAt` is when the evidence was made (base::TimePoint of this process).
void onFreshness(Dispatcher& d, bool isFresh, base::TimePoint evidenceAt, base::TimePoint now, Effects& out);
// True while every daemon that may take over shards of this data centre agrees that it has no store access. It counts
// as proof of ownership, because a takeover needs the store.
void onOutageAgreed(Dispatcher& d, bool isAgreed, base::TimePoint now);
// Commit interval from store::GroupCommit.
void onCommitInterval(Dispatcher& d, base::Duration interval);

// --- Store ---
// value empty and version 0: the key is absent.
void onShardRead(Dispatcher& d, const ShardKey& key, std::uint64_t version, std::string_view operation,
    std::string_view value, base::TimePoint issuedAt, base::TimePoint now, Effects& out);
void onShardReadFailed(Dispatcher& d, const ShardKey& key, base::TimePoint now, Effects& out);
void onShardWritten(Dispatcher& d, const ShardKey& key, std::string_view operation, std::uint64_t version,
    base::TimePoint issuedAt, base::TimePoint now, Effects& out);
// The store's version and operation at the refusal.
void onShardWriteConflict(Dispatcher& d, const ShardKey& key, std::string_view operation, std::uint64_t currentVersion,
    std::string_view currentOperation, base::TimePoint now, Effects& out);
// The reply is lost or the call failed after sending; the write may have taken effect.
void onShardWriteUnknown(
    Dispatcher& d, const ShardKey& key, std::string_view operation, base::TimePoint now, Effects& out);
// The call was not sent (budget, breaker); the write has not taken effect.
void onShardWriteNotSent(
    Dispatcher& d, const ShardKey& key, std::string_view operation, base::TimePoint now, Effects& out);

// --- Ownership ---
// No heartbeat from the owner for 5 s, its goodbye, or its shard has no owner. Starts takeovers.
void onOwnerSilent(Dispatcher& d, const base::DaemonId& owner, base::TimePoint now, Effects& out);
// Heartbeats from the daemon are heard. Its shards are not taken over.
void onOwnerAlive(Dispatcher& d, const base::DaemonId& owner);
void takeOver(Dispatcher& d, const ShardKey& key, base::TimePoint now, Effects& out);
// Planned stop: plans nothing more and gives the shards back. isIdle when all is durable.
void beginStop(Dispatcher& d, base::TimePoint now, Effects& out);
bool isIdle(const Dispatcher& d);

// --- Workers ---
void onFenceReply(Dispatcher& d, const ShardKey& key, const base::WorkerId& worker, RequestId request, bool isFenced,
    const WorkerState& state, base::TimePoint now, Effects& out);
void onStartReply(Dispatcher& d, const ShardKey& key, const base::WorkerId& worker, RequestId request,
    const base::JobId& task, std::uint32_t attempt, StartResult result, base::TimePoint now, Effects& out);
void onRenewReply(Dispatcher& d, const ShardKey& key, const base::WorkerId& worker, RequestId request, bool isRenewed,
    base::TimePoint now, Effects& out);
// Answer to CheckpointTask, ThrottleTask or StopTask; false: refused or no reply.
void onTaskReply(Dispatcher& d, const ShardKey& key, const base::WorkerId& worker, RequestId request,
    const base::JobId& task, std::uint32_t attempt, bool isDone, base::TimePoint now, Effects& out);
void onWorkerState(Dispatcher& d, const ShardKey& key, const base::WorkerId& worker, RequestId request,
    const WorkerState& state, base::TimePoint now, Effects& out);
// No answer to a fence, poll or renew.
void onWorkerUnreachable(Dispatcher& d, const ShardKey& key, const base::WorkerId& worker, RequestId request,
    base::TimePoint now, Effects& out);
void onReports(Dispatcher& d, const ShardKey& key, const WorkerReport& report, base::TimePoint now, Effects& out);

// --- Callers ---
// Empty `key`: the home shard of the id.
void submitJob(
    Dispatcher& d, SubmitToken token, const JobSpec& spec, const ShardKey& key, base::TimePoint now, Effects& out);
void cancelJob(
    Dispatcher& d, SubmitToken token, const base::JobId& id, const ShardKey& key, base::TimePoint now, Effects& out);
void onTransferOffered(Dispatcher& d, const OfferTransfer& offer, base::TimePoint now, Effects& out);
void onTransferAccepted(Dispatcher& d, const AcceptTransfer& accept, base::TimePoint now, Effects& out);

// Call every 50 ms or so, and after each batch of events.
void tick(Dispatcher& d, base::TimePoint now, Effects& out);

// --- Views for status pages ---
// Shard that a job id belongs to at submission: rendezvous hashing over the directory, of one data centre when the
// job names one. Empty when there is none.
ShardKey homeShard(const Dispatcher& d, const base::JobId& id, const base::DataCentreId& dataCentre);
// The value in memory of an owned shard, else nullptr. It may be ahead of the store.
const Shard* ownedShard(const Dispatcher& d, const ShardKey& key);
std::vector<ShardKey> ownedShards(const Dispatcher& d);
// Job in any owned shard, else nullptr.
const Job* findJob(const Dispatcher& d, const base::JobId& id);
// Largest worker of an owned shard, for the digest.
Resources largestCapacity(const Dispatcher& d, const ShardKey& key);
// Free processors of the usable workers of an owned shard, thousandths, for the digest.
std::int64_t freeCpuMilli(const Dispatcher& d, const ShardKey& key, FreeKind kind = FreeKind::ForBatch);

} // namespace lacewing::batch
