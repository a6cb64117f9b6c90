// A worker as a plain state machine (design section 4): epochs, capacity, task leases, checkpoints, late usage reports.
//
// Invariants: never two attempts of a task at a time; never more resources than the capacity; a request with a lower
// epoch changes nothing; an ended attempt is remembered until it is acknowledged.
//
// Time is passed in. Every function first moves the tasks forward to `now`, so that a task whose lease has run out is
// seen as expired by the next request, also after a pause.
#pragma once

#include "base/names.h"
#include "base/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace lacewing::standin {

struct Resources {
    std::int64_t cpuMilli = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;
};

enum class TaskState { Running, Checkpointing, Stopped, Finished, Failed, Expired };

constexpr base::EnumNames<TaskState, 6> taskStateNames { {
    { TaskState::Running, "running" },
    { TaskState::Checkpointing, "checkpointing" },
    { TaskState::Stopped, "stopped" },
    { TaskState::Finished, "finished" },
    { TaskState::Failed, "failed" },
    { TaskState::Expired, "expired" },
} };

// What happened to one task on all workers: the evidence for invariants I2, I3 and I4.
struct TaskStart {
    std::string worker;
    std::string dataCentre;
    std::uint64_t attempt = 0;
    base::TimePoint at;
};

struct TaskRecord {
    std::vector<TaskStart> starts;
    int running = 0;    // now
    int maxRunning = 0; // more than 1 violates I2
    int finished = 0;   // more than 1 violates I3
    int failed = 0;
    int stopped = 0;
    int expired = 0;
};

struct TaskLedger {
    std::map<std::string, TaskRecord> tasks;
};

struct TaskRun {
    std::uint64_t attempt = 0;
    TaskState state = TaskState::Running;
    Resources resources; // declared
    base::Duration duration {};
    base::Duration progress {};   // work done
    base::Duration checkpoint {}; // work saved
    base::Duration checkpointLeft {};
    std::int64_t throttleMilli = 0; // processor share left; 0: no throttle
    base::TimePoint leaseUntil;
};

struct UsageSample {
    base::TimePoint at;
    std::string task;
    std::uint64_t attempt = 0;
    std::int64_t cpuMilli = 0;
    std::int64_t memoryMb = 0;
    double slowdown = 1.0; // 1.0: undisturbed
};

struct WorkerModel {
    // --- Identity and limits ---
    std::string id;
    std::string dataCentre;
    std::string rack;
    Resources capacity { 16000, 60000, 0 };
    base::Duration reportLag = base::seconds(2);            // age of the newest visible usage sample
    base::Duration reportInterval = base::seconds(1);       // between samples
    base::Duration checkpointTime = base::milliseconds(50); // from the request to the saved checkpoint

    // --- Faults ---
    bool failsEverything = false; // each start ends as failed at once
    double durationFactor = 1.0;  // actual run time / declared
    double usageFactor = 1.0;     // actual processor use / declared; above 1 disturbs the other tasks

    // --- State ---
    std::uint64_t epoch = 0;
    std::string owner;
    std::map<std::string, TaskRun> tasks;
    std::deque<UsageSample> samples; // oldest first
    base::TimePoint movedTo;         // state is valid for this time
    base::TimePoint sampledAt;
    TaskLedger* ledger = nullptr; // shared by all workers; must outlive them
};

enum class WorkerAnswer { Done, Already, StaleEpoch, Capacity, OlderAttempt, NotFound };

constexpr base::EnumNames<WorkerAnswer, 6> workerAnswerNames { {
    { WorkerAnswer::Done, "done" },
    { WorkerAnswer::Already, "already" },
    { WorkerAnswer::StaleEpoch, "staleEpoch" },
    { WorkerAnswer::Capacity, "capacity" },
    { WorkerAnswer::OlderAttempt, "olderAttempt" },
    { WorkerAnswer::NotFound, "notFound" },
} };

struct StartRequest {
    std::string task;
    std::uint64_t attempt = 0;
    std::uint64_t epoch = 0;
    Resources resources;
    base::Duration duration {};
    base::Duration checkpoint {};
    base::Duration lease {};
};

bool isRunning(TaskState state);
// Moves all tasks forward: progress, ends, checkpoints, leases, usage samples.
void moveTo(WorkerModel& worker, base::TimePoint now);

WorkerAnswer fence(WorkerModel& worker, std::uint64_t epoch, const std::string& owner, base::TimePoint now);
WorkerAnswer start(WorkerModel& worker, const StartRequest& request, base::TimePoint now);
WorkerAnswer renew(WorkerModel& worker, std::uint64_t epoch, base::Duration lease, base::TimePoint now);
WorkerAnswer checkpoint(
    WorkerModel& worker, const std::string& task, std::uint64_t attempt, std::uint64_t epoch, base::TimePoint now);
// cpuMilli 0 removes the throttle.
WorkerAnswer throttle(WorkerModel& worker, const std::string& task, std::uint64_t attempt, std::uint64_t epoch,
    std::int64_t cpuMilli, base::TimePoint now);
WorkerAnswer stop(
    WorkerModel& worker, const std::string& task, std::uint64_t attempt, std::uint64_t epoch, base::TimePoint now);
// Forgets an ended attempt.
WorkerAnswer acknowledge(
    WorkerModel& worker, const std::string& task, std::uint64_t attempt, std::uint64_t epoch, base::TimePoint now);
// Samples that are at least reportLag old.
std::vector<UsageSample> visibleReports(WorkerModel& worker, base::TimePoint now);
// The machine is lost: its tasks end without a trace and the epoch starts from 0.
void lose(WorkerModel& worker, base::TimePoint now);

// Declared resources of the running tasks.
Resources committed(const WorkerModel& worker);

} // namespace lacewing::standin
