// Plain types of batch work: resources, jobs, workers and what workers report.
//
// A job is one task. Each start of the task is an attempt; attempt numbers rise and are never reused.
#pragma once

#include "base/ids.h"
#include "base/names.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lacewing::batch {

using ShardKey = std::string; // key of the shard's value in the store, "shards/<dc>/<n>"

struct Resources {
    std::int64_t cpuMilli = 0;     // thousandths of a processor
    std::int64_t memoryMb = 0;     // MB
    std::int64_t accelerators = 0; // count

    bool operator==(const Resources&) const = default;
    bool fitsIn(const Resources& free) const
    {
        return cpuMilli <= free.cpuMilli && memoryMb <= free.memoryMb && accelerators <= free.accelerators;
    }
    Resources& operator+=(const Resources& other)
    {
        cpuMilli += other.cpuMilli;
        memoryMb += other.memoryMb;
        accelerators += other.accelerators;
        return *this;
    }
    Resources& operator-=(const Resources& other)
    {
        cpuMilli -= other.cpuMilli;
        memoryMb -= other.memoryMb;
        accelerators -= other.accelerators;
        return *this;
    }
};

enum class JobClass { Urgent, Batch, Watch };
constexpr base::EnumNames<JobClass, 3> jobClassNames { {
    { JobClass::Urgent, "urgent" },
    { JobClass::Batch, "batch" },
    { JobClass::Watch, "watch" },
} };

enum class JobState {
    Queued,       // waits for a worker
    Planned,      // attempt and worker are chosen; the start may have been sent once this is durable
    Running,      // the worker confirmed the attempt
    Unknown,      // the worker cannot be reached; the attempt may run
    Transferring, // moves to another shard
    Finished,     // terminal from here on
    Failed,
    Cancelled,
    Moved, // accepted by another shard
};
constexpr base::EnumNames<JobState, 9> jobStateNames { {
    { JobState::Queued, "queued" },
    { JobState::Planned, "planned" },
    { JobState::Running, "running" },
    { JobState::Unknown, "unknown" },
    { JobState::Transferring, "transferring" },
    { JobState::Finished, "finished" },
    { JobState::Failed, "failed" },
    { JobState::Cancelled, "cancelled" },
    { JobState::Moved, "moved" },
} };
constexpr bool isTerminal(JobState state) { return state >= JobState::Finished; }
// The job occupies its worker: its resources are committed there.
constexpr bool isPlaced(JobState state)
{
    return state == JobState::Planned || state == JobState::Running || state == JobState::Unknown;
}

// What a caller submits. Sizes are declared by the caller and may be wrong.
struct JobSpec {
    base::JobId id;
    base::TeamId team;
    JobClass jobClass = JobClass::Batch;
    base::ServiceId service; // task class for learning usage and interference
    Resources resources;     // declared
    std::int64_t durationMs = 0;
    base::DataCentreId dataCentre; // empty: any

    bool operator==(const JobSpec&) const = default;
};

// A worker as the instance list and its own state describe it.
struct WorkerInfo {
    base::WorkerId id;
    base::DataCentreId dataCentre;
    base::RackId rack;
    Resources capacity;
    bool isLeaving = false; // no new starts; running tasks move away
};

enum class TaskStatus { Running, Checkpointing, Stopped, Finished, Failed, Expired };
constexpr base::EnumNames<TaskStatus, 6> taskStatusNames { {
    { TaskStatus::Running, "running" }, { TaskStatus::Checkpointing, "checkpointing" }, // still runs
    { TaskStatus::Stopped, "stopped" }, { TaskStatus::Finished, "finished" }, { TaskStatus::Failed, "failed" },
    { TaskStatus::Expired, "expired" }, // its lease ran out
} };
constexpr bool hasEnded(TaskStatus status) { return status >= TaskStatus::Stopped; }

// One task in the answer of GET /v1/worker. Ended attempts stay listed until they are acknowledged.
struct TaskReport {
    base::JobId task;
    std::uint32_t attempt = 0;
    TaskStatus status = TaskStatus::Running;
    Resources resources;
    std::int64_t progressMs = 0;   // work done, as declared duration
    std::int64_t checkpointMs = 0; // work saved by the last checkpoint
};

// Answer of GET /v1/worker and of a successful fence.
struct WorkerState {
    WorkerInfo info;
    base::Epoch epoch = 0; // highest epoch that the worker has seen
    std::vector<TaskReport> tasks;
};

// Measured use of one task, late by seconds.
struct UsageReport {
    base::JobId task;
    std::uint32_t attempt = 0;
    Resources used;
    double slowdown = 1; // observed time for a unit of work / time when alone; 1 when not known
    std::string event;   // text for the event list of a watch; empty: none
};

// GET /v1/worker/reports.
struct WorkerReport {
    base::WorkerId worker;
    double cpuLoad = 0; // measured processor use / capacity; 0: the sum of the tasks counts
    std::vector<UsageReport> tasks;
};

} // namespace lacewing::batch
