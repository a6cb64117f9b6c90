// Report for operators: why lasting tasks do not run. It influences no decision.
#pragma once

#include "base/names.h"
#include "scheduler/types.h"

#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace lacewing::scheduler {

struct Planner;
struct TaskRef;

enum class DownReason {
    Unknown,         // may run on a worker that has not reported in this term
    WorkerLost,      // placed on a worker that does not answer, and whose lease may not be over
    StartUnanswered, // start ordered, no answer yet
    Stopping,        // stop ordered before the start was confirmed
    Failed,          // out of attempts
    NoConfiguration, // no configuration has been read in this term
    TermNotValid,    // the right to act has lapsed, or the daemon is about to give it up
    NoWorkerList,    // the workers have not been listed in this term
    NoUsableWorker,  // no worker of the service holds a lease, is listed, not draining and not withdrawn
    NoRoom,          // no usable worker has the resources or the label
    AvoidedWorkers,  // only workers that get no new tasks for a while have them
    StartLimit,      // the plan reached its limit of starts before it came to the task
    ShortReserve,    // the processors that are free are reserved for short tasks
    NoApproval,      // workers have room, but none of them is approved
    StepConstraint,  // workers have room, but the step's limit per worker, rack or former worker excludes them
};

constexpr base::EnumNames<DownReason, 15> downReasonNames { {
    { DownReason::Unknown, "unknown" },
    { DownReason::WorkerLost, "workerLost" },
    { DownReason::StartUnanswered, "startUnanswered" },
    { DownReason::Stopping, "stopping" },
    { DownReason::Failed, "failed" },
    { DownReason::NoConfiguration, "noConfiguration" },
    { DownReason::TermNotValid, "termNotValid" },
    { DownReason::NoWorkerList, "noWorkerList" },
    { DownReason::NoUsableWorker, "noUsableWorker" },
    { DownReason::NoRoom, "noRoom" },
    { DownReason::AvoidedWorkers, "avoidedWorkers" },
    { DownReason::StartLimit, "startLimit" },
    { DownReason::ShortReserve, "shortReserve" },
    { DownReason::NoApproval, "noApproval" },
    { DownReason::StepConstraint, "stepConstraint" },
} };

struct DownCause {
    DownReason reason = DownReason::Unknown;
    std::string worker; // that the task waits for, or an example
    std::vector<std::pair<const char*, std::int64_t>> inputs;
};

// Why the task does not run now; after the placement of the plan. The task must not be running.
DownCause downCause(Planner& planner, const TaskRef& ref);

struct DownReport {
    Millis checkedAt = 0;
    int tasks = 0; // lasting tasks that have not been running for downReportMs, at the last check
    // Lines `lastingTaskDown` by reason, until the daemon takes and clears them.
    std::array<std::uint64_t, downReasonNames.size()> lines {};
};

// Logs `lastingTaskDown` for lasting tasks that have not been running for a while. Called at the end of each plan.
void reportDownTasks(Planner& planner);

} // namespace lacewing::scheduler
