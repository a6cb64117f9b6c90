// Plain values of the scheduler: what callers ask for, what the configuration allows, what workers report.
//
// Nothing here knows how a value is written on a wire; platform/ decodes foreign bytes into these types once.
// Times are milliseconds of the daemon's own boot-time clock unless a member says otherwise.
#pragma once

#include "base/names.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lacewing::scheduler {

using Millis = std::int64_t;
using base::nameOf; // found by argument-dependent look-up for the tables below

// --- Jobs ---

struct Step {
    int count = 1;
    int cpuMillicores = 0;
    int memoryMb = 0;
    int gpus = 0;
    int estimateMs = 0;     // rough; often far off
    std::vector<int> after; // earlier steps that must have finished
    bool hasCheckpoints = false;
    bool isGang = false;        // all tasks start together and end together
    bool isSameRack = false;    // far slower across racks
    bool isSpeculative = false; // copies may run in parallel
    bool isLasting = false;     // runs until the job is cancelled
    bool isFilling = false;     // takes processors that others leave unused; its cpu is not accounted
    std::string requiredLabel;  // empty: any worker
    std::string dataRack;       // empty: no preference
    int maxPerWorker = 0;       // 0: no limit
    int maxUnavailable = 0;     // tasks that may be away because of the scheduler
    std::string image;          // tasks of one image behave alike
    int latencyTargetMs = 0;    // tail latency that a serving task must keep; 0: none
};

struct JobRequest {
    std::string id;
    std::string payload; // handed to the worker with each start
    std::vector<Step> steps;
    int repeatCount = 0; // 0: runs once, at once
    std::int64_t firstStartUnixMs = 0;
    std::int64_t intervalMs = 0;
};

// Approval of workers that a queue asks for before tasks start: an advice service says which workers may run a step.
struct ApprovalPolicy {
    bool isNeeded = false;
    int decisionMs = 0;  // ms that the service takes for each question
    int perWorkerMs = 0; // ms that it takes beyond that for each worker named
    int validMs = 0;     // ms that a ticket is accepted
};

// How a queue is served; copied into the stored job, so that a removed queue still finishes its jobs.
struct QueuePolicy {
    std::string name;
    std::string service; // pool of workers that runs the tasks
    int priority = 0;    // 0 is the most urgent
    int maxAttempts = 1;
    double stretch = 2; // allowed multiple of the longest chain
    int goalMs = 0;
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
    std::string prefix; // of the path; the longest match wins
    int timeoutMs = 0;
    QueuePolicy policy;
};

struct Service {
    std::string name;
    bool rejectsOverload = true; // workers refuse what does not fit
};

struct Configuration {
    std::int64_t version = 0;
    std::vector<Queue> queues;
    std::map<std::string, Service> services;
    int maxBodyBytes = 262144;
    int maxHeaderBytes = 16384;
    int headerTimeoutMs = 3000;
    int idleTimeoutMs = 15000;
};

// --- Workers ---

struct Capacity {
    int cpuMillicores = 0;
    int memoryMb = 0;
    int gpus = 0;
};

// A worker's own announcement in the store.
struct WorkerEntry {
    std::string id;
    std::string service;
    std::string address; // HOST:PORT
    std::string dataCentre;
    std::string machine;
    std::vector<std::string> labels;
    Capacity capacity;
    std::int64_t incarnationUnixMs = 0; // start of this life; another value means that everything before is gone
    bool isDraining = false;
    Millis remainingMs = 0; // least time left while draining
};

struct RunningTask {
    std::string task;
    int run = 0;
    std::string checkpoint;
    int percent = 0;
    int reading = 0; // tail latency in ms of a serving task; otherwise millicores in use
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
    std::int64_t number = 0; // per life of the worker, from 1
    std::string task;
    int run = 0;
    EndKind kind = EndKind::Lapsed;
    std::string checkpoint;
};

// Answer to a renewal of a worker's lease.
struct WorkerReport {
    std::int64_t clockMs = 0; // worker's steady clock
    std::int64_t incarnationUnixMs = 0;
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
    bool isEndListTruncated = false; // more ends than one answer holds
};

// --- Orders to workers ---

struct StartOrder {
    std::string worker;
    std::string task;
    int run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket;               // of the advice service; empty: none needed
    std::int64_t deadlineClockMs = 0; // worker's clock; the worker refuses the start afterwards
};

struct StopOrder {
    std::string worker;
    std::string task;
    int run = 0;
};

// Question to the advice service: which of the workers may run the step.
struct ApprovalQuestion {
    std::string step; // JOB.OCCURRENCE.STEP
    std::vector<std::string> workers;
    Millis expectedMs = 0; // that the service takes
};

struct ApprovedWorker {
    std::string worker;
    std::string ticket;
};

struct ApprovalAnswer {
    std::vector<ApprovedWorker> approved; // the other workers of the question may never run the step
    Millis validMs = 0;
};

enum class StartOutcome {
    Started,  // is running, or has run, under this number
    Fenced,   // a higher token is in force
    Outdated, // this run ended or was stopped there
    Late,     // the deadline had passed
    NoRoom,
    NoTicket,
    OtherIncarnation, // another life of the worker answered
    Refused,          // unhealthy, malformed, or no connection; nothing was done
    Unsent,           // expired in this daemon before a byte was sent; says nothing about the worker
    Unknown,          // no answer: may be carried out until the deadline
};

constexpr base::EnumNames<StartOutcome, 10> startOutcomeNames { {
    { StartOutcome::Started, "started" },
    { StartOutcome::Fenced, "fenced" },
    { StartOutcome::Outdated, "outdated" },
    { StartOutcome::Late, "late" },
    { StartOutcome::NoRoom, "noRoom" },
    { StartOutcome::NoTicket, "noTicket" },
    { StartOutcome::OtherIncarnation, "otherLife" },
    { StartOutcome::Refused, "refused" },
    { StartOutcome::Unsent, "unsent" },
    { StartOutcome::Unknown, "unknown" },
} };

} // namespace lacewing::scheduler
