// Why a task that is not running does not run, as the last plan saw it: for the reports only.
#pragma once

#include "base/names.h"
#include "scheduler/types.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace lacewing::scheduler {

struct Job;
struct Occurrence;
struct Planner;
struct Scheduler;
struct StepProgress;
struct Task;
struct TaskRef;
struct Turn;

enum class WaitReason {
    Unknown,           // may run on a worker that has not reported in this term
    WorkerLost,        // placed on a worker that does not answer, and whose lease may not be over
    StartUnanswered,   // start ordered, no answer yet
    Stopping,          // stop ordered before the start was confirmed
    Failed,            // out of attempts
    RecordNotStored,   // the record of the worker for its next start is not in the store yet
    OpenStart,         // a start that was given up may still be carried out by the worker, which cannot take it now
    NoConfiguration,   // no configuration has been read in this term
    TermNotValid,      // the right to act has lapsed, or the daemon is about to give it up
    NoWorkerList,      // the workers have not been listed in this term
    NoUsableWorker,    // no worker of the service holds a lease, is listed, not draining and not withdrawn
    StartLimit,        // the plan might order no start: as many are in flight as the window allows
    Order,             // the plan reached its limit of starts with tasks before this one in its order
    AccountCap,        // its client account has no room under its cap, or keeps the room for a task before this one
    AccountShare,      // its account is beyond its rate or above its share, and other accounts went first
    NoRoom,            // no usable worker has the processors, memory and GPUs
    NoFillingRoom,     // workers have the memory and GPUs of the filling task, but not enough idle processors
    ServingOverTarget, // idle processors only beside serving tasks that are over their latency targets
    Label,             // only workers without the required label have room
    AvoidedWorkers,    // only workers that get no new tasks for a while have room
    NoApproval,        // workers have room, but none of them is approved
    Interference,      // workers have room, but the interference with their serving tasks is over the limit
    Skipped,           // workers can take it; the plan skipped it because an equal step had found no worker
    ShortReserve,      // the processors that are free are reserved for short tasks
    NoGangRoom,        // workers have room for some tasks of the gang, not for all
    Rack,              // workers have room; the step still waits for one rack, or for the rack of its data
    StepConstraint,    // workers have room, but the step's limit per worker, rack or former worker excludes them
    PassedOver,        // workers can take it, and no check above tells why the plan did not place it
};

constexpr base::EnumNames<WaitReason, 28> waitReasonNames { {
    { WaitReason::Unknown, "unknown" },
    { WaitReason::WorkerLost, "workerLost" },
    { WaitReason::StartUnanswered, "startUnanswered" },
    { WaitReason::Stopping, "stopping" },
    { WaitReason::Failed, "failed" },
    { WaitReason::RecordNotStored, "recordNotStored" },
    { WaitReason::OpenStart, "openStart" },
    { WaitReason::NoConfiguration, "noConfiguration" },
    { WaitReason::TermNotValid, "termNotValid" },
    { WaitReason::NoWorkerList, "noWorkerList" },
    { WaitReason::NoUsableWorker, "noUsableWorker" },
    { WaitReason::StartLimit, "startLimit" },
    { WaitReason::Order, "order" },
    { WaitReason::AccountCap, "accountCap" },
    { WaitReason::AccountShare, "accountShare" },
    { WaitReason::NoRoom, "noRoom" },
    { WaitReason::NoFillingRoom, "noFillingRoom" },
    { WaitReason::ServingOverTarget, "servingOverTarget" },
    { WaitReason::Label, "label" },
    { WaitReason::AvoidedWorkers, "avoidedWorkers" },
    { WaitReason::NoApproval, "noApproval" },
    { WaitReason::Interference, "interference" },
    { WaitReason::Skipped, "skipped" },
    { WaitReason::ShortReserve, "shortReserve" },
    { WaitReason::NoGangRoom, "noGangRoom" },
    { WaitReason::Rack, "rack" },
    { WaitReason::StepConstraint, "stepConstraint" },
    { WaitReason::PassedOver, "passedOver" },
} };

struct WaitCause {
    WaitReason reason = WaitReason::Unknown;
    std::string worker; // that the task waits for, or an example
    std::vector<std::pair<const char*, std::int64_t>> inputs;
    std::vector<std::pair<const char*, std::string>> texts = {};
};

// Why the task does not run now; after the placement of the plan. The task must not be running. It visits all workers
// of the service.
WaitCause waitCause(Planner& planner, const TaskRef& ref);

// First turn of the step in the plan; null when the plan has not ordered it.
const Turn* turnOf(Planner& planner, const StepProgress& progress);
bool isOpen(const Job& job, const Occurrence& occurrence, std::int64_t nowUnixMs);
// True until the end of a confirmed run is reported, while its worker answers.
bool isRunning(const Task& task);
// Since when a task that is not running has not been running, as far as this term knows.
Millis notRunningSince(const Scheduler& scheduler, const Task& task, Millis now);

} // namespace lacewing::scheduler
