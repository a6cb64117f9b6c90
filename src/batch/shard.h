// A shard: the jobs of one or more racks as one value in the store.
//
// Job: holds states, attempts, planned workers, transfers and watch events of its jobs, and encodes them as JSON.
// Invariants:
// - An attempt number is planned once; a plan names one worker. A start follows only when the plan is durable.
// - A placed job (planned, running, unknown) is never planned again before its attempt is known to have ended.
// - The racks of a shard never change, so that epochs of one worker always come from one shard.
// Functions change the value in memory only; batch::Dispatcher makes changes durable before it acts on them.
#pragma once

#include "base/result.h"
#include "batch/types.h"

#include <deque>
#include <map>
#include <optional>
#include <string_view>

namespace lacewing::batch {

// Sizes above these are refused; counted by the caller.
struct ShardLimits {
    std::size_t maxValueBytes = 1'000'000; // store limit
    std::size_t maxJobs = 3'000;           // jobs that are not terminal
    std::size_t maxFinished = 1'000;       // terminal jobs kept for repeats and status; oldest are dropped
    std::size_t maxEventsPerJob = 32;      // newest events kept for a watch
    std::size_t maxEventBytes = 256;
    std::size_t maxIdBytes = 128;
    std::size_t maxReasonBytes = 200;
    std::uint32_t maxFailedWorkers = 3; // a job that fails on this many workers is failed
};

struct JobEvent {
    std::uint64_t cursor = 0; // rises by one in each job, starts at 1
    std::string text;
};

struct Job {
    JobSpec spec;
    JobState state = JobState::Queued;
    std::uint64_t order = 0;              // by arrival in the shard; the smallest goes first
    std::uint32_t attempt = 0;            // newest planned attempt; 0: never planned
    base::WorkerId worker;                // of the newest attempt
    Resources granted;                    // committed on the worker for this attempt
    std::int64_t checkpointMs = 0;        // work saved; the next attempt resumes from here
    std::int64_t progressMs = 0;          // work done at the last report
    bool isCancelRequested = false;       // stop the attempt, then state cancelled
    bool isConfirmed = false;             // a worker confirmed this attempt as started
    std::uint32_t evictions = 0;          // attempts that ended by eviction
    std::vector<base::WorkerId> failedOn; // different workers on which it failed
    std::string reason;                   // why failed; reason code, or text of the worker
    ShardKey transferTarget;              // state transferring or moved
    std::uint64_t transferNumber = 0;     // numbered by the source shard
    std::uint64_t nextCursor = 1;
    std::vector<JobEvent> events; // only class watch
};

// Transfers received from one source shard: each number is accepted once.
struct TransferWindow {
    std::uint64_t floor = 1;             // all numbers below are settled
    std::vector<std::uint64_t> accepted; // numbers at or above floor, sorted
};

struct Shard {
    ShardKey key;
    base::DataCentreId dataCentre;
    std::vector<base::RackId> racks;
    base::DaemonId owner; // empty: none
    base::Epoch epoch = 0;
    std::uint64_t nextTransfer = 1;
    std::uint64_t nextOrder = 1;
    std::map<base::JobId, Job> jobs;                  // all jobs, terminal ones included
    std::deque<base::JobId> finished;                 // terminal jobs, oldest first
    std::map<ShardKey, TransferWindow> transfersFrom; // by source shard
    std::size_t active = 0;                           // jobs that are not terminal; derived
};

struct ShardError {
    enum class Code {
        Malformed,      // not JSON or a wrong type
        TooLarge,       // a bound of ShardLimits
        UnknownJob,     // no such job
        ContentDiffers, // the id exists with other content
        Full,           // maxJobs reached
        InvalidJob,     // a field is out of range
        IllegalState,   // the transition is not allowed in the job's state
        WrongAttempt,   // refers to another attempt than the newest
    };
    Code code = Code::Malformed;
    std::string detail;
};
constexpr base::EnumNames<ShardError::Code, 8> shardErrorNames { {
    { ShardError::Code::Malformed, "malformed" },
    { ShardError::Code::TooLarge, "tooLarge" },
    { ShardError::Code::UnknownJob, "unknownJob" },
    { ShardError::Code::ContentDiffers, "contentDiffers" },
    { ShardError::Code::Full, "full" },
    { ShardError::Code::InvalidJob, "invalidJob" },
    { ShardError::Code::IllegalState, "illegalState" },
    { ShardError::Code::WrongAttempt, "wrongAttempt" },
} };

template <typename T> using ShardResult = base::Result<T, ShardError>;

struct EventPage {
    std::vector<JobEvent> events;
    std::uint64_t nextCursor = 0; // pass this to the next call
    bool hasGap = false;          // events after the cursor were dropped
};

// Adds a job. A repeat with equal content succeeds with `false`.
ShardResult<bool> submit(Shard& shard, const JobSpec& spec, const ShardLimits& limits);

// Cancels a job. Returns true when it ended at once, false when its attempt must be stopped first.
// A terminal job is left as it is (true). IllegalState while transferring: ask the target shard.
ShardResult<bool> cancel(Shard& shard, const base::JobId& id, const ShardLimits& limits);

// Plans the next attempt of a queued job on a worker; returns the attempt number.
ShardResult<std::uint32_t> plan(
    Shard& shard, const base::JobId& id, const base::WorkerId& worker, const Resources& granted);

// The plan is withdrawn because the worker surely never ran the attempt (refused or never sent). Queued, or cancelled
// when a cancel was requested.
ShardResult<JobState> withdrawPlan(
    Shard& shard, const base::JobId& id, std::uint32_t attempt, const ShardLimits& limits);

ShardResult<void> onStarted(Shard& shard, const base::JobId& id, std::uint32_t attempt);
ShardResult<void> onFinished(Shard& shard, const base::JobId& id, std::uint32_t attempt, const ShardLimits& limits);

// The attempt failed on its worker. The job is queued again, or failed after maxFailedWorkers different workers.
ShardResult<JobState> onFailed(
    Shard& shard, const base::JobId& id, std::uint32_t attempt, std::string_view reason, const ShardLimits& limits);

// The attempt has surely ended without a result: evicted, lost with its worker, or lease run out. Queued again from the
// given checkpoint (never below the last known one), or cancelled when a cancel was requested.
ShardResult<JobState> onEnded(
    Shard& shard, const base::JobId& id, std::uint32_t attempt, std::int64_t checkpointMs, const ShardLimits& limits);

// The worker was fenced and does not know the attempt, and no start is on its way. A confirmed attempt has ended with
// its worker's memory; an unconfirmed one never ran and is planned (again).
ShardResult<JobState> onAbsent(Shard& shard, const base::JobId& id, std::uint32_t attempt, const ShardLimits& limits);

// Keeps the newest checkpoint and progress of a running attempt.
ShardResult<void> onProgress(
    Shard& shard, const base::JobId& id, std::uint32_t attempt, std::int64_t checkpointMs, std::int64_t progressMs);

// Marks the placed jobs of a worker as unknown; returns how many changed.
std::size_t onWorkerUnreachable(Shard& shard, const base::WorkerId& worker);

// Ends a job that can never run or that is given up.
ShardResult<void> failJob(Shard& shard, const base::JobId& id, std::string_view reason, const ShardLimits& limits);

// --- Transfer, three durable steps ---
// 1. Source: queued -> transferring; returns the transfer number.
ShardResult<std::uint64_t> beginTransfer(Shard& source, const base::JobId& id, const ShardKey& target);
// 2. Target: accepts once by source and number. Returns false for a repeat. `settledBelow`: lowest number that the
// source has not removed yet.
ShardResult<bool> acceptTransfer(Shard& target, const ShardKey& source, std::uint64_t number,
    std::uint64_t settledBelow, const Job& job, const ShardLimits& limits);
// 3. Source: removes the job; a record `moved` stays for repeats.
ShardResult<void> endTransfer(Shard& source, const base::JobId& id, std::uint64_t number, const ShardLimits& limits);
// Lowest transfer number that is still open at the source.
std::uint64_t lowestOpenTransfer(const Shard& source);

// --- Events of jobs of class watch ---
void appendEvent(Job& job, std::string_view text, const ShardLimits& limits);
ShardResult<EventPage> eventsAfter(const Shard& shard, const base::JobId& id, std::uint64_t cursor);

// --- Value in the store ---
// JSON text. TooLarge above maxValueBytes, after the oldest terminal jobs were left out.
ShardResult<std::string> encode(Shard& shard, const ShardLimits& limits);
ShardResult<Shard> decode(std::string_view text, const ShardLimits& limits);

} // namespace lacewing::batch
