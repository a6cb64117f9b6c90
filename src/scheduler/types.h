// Plain value types of the scheduler: job requests, configuration, worker reports, orders and their outcomes.
//
// These types are independent of wire formats; platform/ decodes external data into them.
// Times are milliseconds of this daemon's boot-time clock unless a member says otherwise.
#pragma once

#include "base/names.h"

#include <array>
#include <cstdint>
#include <cstring>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace lacewing::scheduler {

using Millis = std::int64_t;
// Identifies a run of a task over all terms and workers; of two runs, the later one has the higher number
// (run_number.h).
using RunNumber = std::int64_t;
using base::nameOf; // found by argument-dependent look-up for the tables below

struct Capacity {
    int cpuMillicores = 0;
    int memoryMb = 0;
    int gpus = 0;
};

// --- Jobs ---

struct Step {
    int count = 1;
    int cpuMillicores = 0;
    int memoryMb = 0;
    int gpus = 0;
    int estimateMs = 0;     // of one task; inaccurate, often by a large factor
    std::vector<int> after; // indices of earlier steps that must have finished
    bool hasCheckpoints = false;
    bool isGang = false;        // all tasks start together and end together (gang scheduling)
    bool isSameRack = false;    // all tasks prefer one rack, because they run far slower across racks
    bool isSpeculative = false; // several copies of a task may run at the same time
    bool isLasting = false;     // runs until the job is cancelled
    bool isFilling = false;     // uses processors that other tasks leave idle; its cpu is not reserved
    std::string requiredLabel;  // empty: any worker
    std::string dataRack;       // rack of the input data; empty: no preference
    int maxPerWorker = 0;       // tasks of the step on one worker; 0: no limit
    int maxUnavailable = 0;     // tasks that may be down at the same time because of the scheduler
    std::string image;          // tasks of the same image are expected to behave alike
    int latencyTargetMs = 0;    // limit of the tail latency of a serving task; 0: not a serving task
};

struct JobRequest {
    std::string id;
    std::string account; // client account that submitted it; empty: none
    std::string payload; // sent to the worker with each start
    std::vector<Step> steps;
    int repeatCount = 0; // number of occurrences; 0: runs once, immediately
    std::int64_t firstStartUnixMs = 0;
    std::int64_t intervalMs = 0;
};

// Largest job over all its occurrences. The progress of a job is one value of the store, whose limit is 700,000 bytes
// without the text encoding: about 30 bytes for each step of each open occurrence, one for each task and some 30 for
// its checkpoint. Memory is bounded by the sum over all jobs (occurrences.h).
constexpr std::int64_t maxTasksPerJob = 100'000;
constexpr std::int64_t maxStepsPerJob = 10'000;

// True when the job is within both limits.
bool isStorable(const JobRequest& request);

// Approval that a queue requires before tasks start: an advice service decides which workers may run a step.
struct ApprovalPolicy {
    bool isNeeded = false;
    int decisionMs = 0;  // ms that the service takes for a question
    int perWorkerMs = 0; // additional ms for each worker named in it
    int validMs = 0;     // validity of a ticket, ms
};

// Scheduling policy of a queue. It is copied into each stored job, so that the jobs of a removed queue still finish.
struct QueuePolicy {
    std::string name;
    std::string service; // pool of workers that runs the tasks
    int priority = 0;    // 0 is the highest
    int maxAttempts = 1;
    double stretch = 2; // allowed job time as a multiple of its critical path
    int goalMs = 0;     // added to that time, ms
    ApprovalPolicy approval;
};

enum class JobState { Queued, Running, Completed, Failed, Cancelled };

constexpr base::EnumNames<JobState, 5> jobStateNames { {
    { JobState::Queued, "queued" },
    { JobState::Running, "running" },
    { JobState::Completed, "completed" },
    { JobState::Failed, "failed" },
    { JobState::Cancelled, "cancelled" },
} };

constexpr bool isFinal(JobState state)
{
    return state == JobState::Completed || state == JobState::Failed || state == JobState::Cancelled;
}

// --- Configuration ---

struct Queue {
    std::string host;
    std::string prefix; // of the request path; the longest match wins
    int timeoutMs = 0;
    bool isPublic = false; // calls need no key even where there are client accounts
    QueuePolicy policy;
};

struct Service {
    std::string name;
    bool rejectsOverload = true; // workers reject a start that exceeds their capacity
};

struct Account {
    std::string name;
    double weight = 1; // share of a full fleet, and jobs a second that it is entitled to
    Capacity cap;      // of what it has running over all workers; 0: no limit
};

// SHA-256 of an access key. The keys themselves are not kept.
using KeyDigest = std::array<unsigned char, 32>;

// The digests are not under the control of callers, so that any of their bytes serve as a hash.
struct KeyDigestHash {
    std::size_t operator()(const KeyDigest& digest) const
    {
        std::size_t hash = 0;
        std::memcpy(&hash, digest.data(), sizeof hash);
        return hash;
    }
};

struct Configuration {
    std::int64_t version = 0;
    std::vector<Queue> queues;
    std::map<std::string, Service> services;
    // --- Client accounts ---
    bool hasAccounts = false;                // calls need a key, except on public queues
    std::map<std::string, Account> accounts; // by name
    std::unordered_map<KeyDigest, std::string, KeyDigestHash> accountByKey;
    // --- Limits ---
    int maxBodyBytes = 262144;
    int maxHeaderBytes = 16384;
    int headerTimeoutMs = 3000;
    int idleTimeoutMs = 15000;
};

// --- Workers ---

// A worker's clock in an answer to a call.
struct ClockReading {
    std::int64_t clockMs = 0;           // 0: not in the answer
    std::int64_t incarnationUnixMs = 0; // 0: not in the answer
    std::int64_t askedAt = 0;           // when the call was sent, in ms of this daemon's clock; the reading is later
};

// Announcement of a worker in the store, written by the worker.
struct WorkerEntry {
    std::string id;
    std::string service;
    std::string address; // HOST:PORT
    std::string dataCentre;
    std::string machine;
    std::vector<std::string> labels;
    Capacity capacity;
    std::int64_t incarnationUnixMs = 0; // start of the worker process; when it differs, all former runs are lost
    bool isDraining = false;
    Millis remainingMs = 0; // while draining: shortest time until the worker stops
};

struct RunningTask {
    std::string task;
    RunNumber run = 0;
    std::string checkpoint;
    int percent = 0;
    int reading = 0; // serving task: tail latency in ms; any other task: millicores in use
};

enum class EndKind { Done, Failed, Stopped, Lapsed, Broken, Alone };

constexpr base::EnumNames<EndKind, 6> endKindNames { {
    { EndKind::Done, "done" },
    { EndKind::Failed, "failed" },
    { EndKind::Stopped, "stopped" },
    { EndKind::Lapsed, "lapsed" },
    { EndKind::Broken, "broken" },
    { EndKind::Alone, "alone" },
} };

struct EndedTask {
    std::int64_t number = 0; // sequence number within the worker's incarnation, from 1
    std::string task;
    RunNumber run = 0;
    EndKind kind = EndKind::Lapsed;
    std::string checkpoint;
};

// Worker's answer to a lease renewal.
struct WorkerReport {
    std::int64_t clockMs = 0; // the worker's steady clock
    std::int64_t incarnationUnixMs = 0;
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
    bool isEndListTruncated = false; // the worker may have more ends than one report holds
};

// --- Orders to workers ---

struct StartOrder {
    std::string worker;
    std::string task;
    RunNumber run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket;               // of the advice service; empty: not required
    std::int64_t deadlineClockMs = 0; // on the worker's clock; the worker refuses the start afterwards
    std::int64_t fencingToken = 0;
    int attempts = 1; // calls made with this order so far
};

struct StopOrder {
    std::string worker;
    std::string task;
    RunNumber run = 0;
    std::int64_t fencingToken = 0;
};

// Question to the advice service: which of these workers may run the step?
struct ApprovalQuestion {
    std::string step; // JOB.OCCURRENCE.STEP
    std::vector<std::string> workers;
    Millis expectedMs = 0; // expected time from the question to the answer
};

struct ApprovedWorker {
    std::string worker;
    std::string ticket;
};

struct ApprovalAnswer {
    std::vector<ApprovedWorker> approved; // the other workers in the question are denied for good
    Millis validMs = 0;
};

enum class StartOutcome {
    Started,  // the run is active or has been executed
    Fenced,   // the worker has seen a higher fencing token
    Outdated, // the worker has already ended or stopped this run
    Late,     // arrived after its deadline
    NoCapacity,
    NoTicket,
    OtherIncarnation, // another incarnation of the worker answered
    Refused,          // unhealthy worker, malformed order, or no connection; the order had no effect
    Unsent,           // timed out in this daemon before a byte was sent; no information about the worker
    Unknown,          // no answer; the worker may still execute the start until the deadline
};

constexpr base::EnumNames<StartOutcome, 10> startOutcomeNames { {
    { StartOutcome::Started, "started" },
    { StartOutcome::Fenced, "fenced" },
    { StartOutcome::Outdated, "outdated" },
    { StartOutcome::Late, "late" },
    { StartOutcome::NoCapacity, "noRoom" },
    { StartOutcome::NoTicket, "noTicket" },
    { StartOutcome::OtherIncarnation, "otherLife" },
    { StartOutcome::Refused, "refused" },
    { StartOutcome::Unsent, "unsent" },
    { StartOutcome::Unknown, "unknown" },
} };

} // namespace lacewing::scheduler
