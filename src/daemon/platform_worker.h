// Client of the worker interface (design section 4). One object serves all workers.
//
// Answers are foreign bytes: size, depth, types and ranges are checked before use. A start whose outcome is unknown is
// reported as such and never repeated here.
#pragma once

#include "base/ids.h"
#include "base/names.h"
#include "base/result.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lacewing::http {
class Client;
}

namespace lacewing::daemon {

struct WorkerAddress {
    std::string address; // IP address
    std::uint16_t port = 0;
};

struct WorkerResources {
    std::int64_t cpuMilli = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;
};

enum class WorkerTaskState { Running, Checkpointing, Stopped, Finished, Failed, Expired };

constexpr base::EnumNames<WorkerTaskState, 6> workerTaskStateNames { {
    { WorkerTaskState::Running, "running" },
    { WorkerTaskState::Checkpointing, "checkpointing" },
    { WorkerTaskState::Stopped, "stopped" },
    { WorkerTaskState::Finished, "finished" },
    { WorkerTaskState::Failed, "failed" },
    { WorkerTaskState::Expired, "expired" },
} };

struct WorkerTask {
    std::string task;
    std::uint64_t attempt = 0;
    WorkerTaskState state = WorkerTaskState::Running;
    WorkerResources resources;
    std::int64_t progressMs = 0;   // work done, as declared duration
    std::int64_t checkpointMs = 0; // work saved by the last checkpoint
};

// What a worker holds: running tasks, and ended attempts that have not been acknowledged.
struct WorkerContent {
    base::WorkerId worker;
    base::DataCentreId dataCentre;
    std::string rack;
    WorkerResources capacity;
    base::Epoch epoch = 0;
    std::vector<WorkerTask> tasks;
};

struct WorkerStart {
    std::string task;
    std::uint64_t attempt = 0;
    base::Epoch epoch = 0;
    WorkerResources resources;
    std::int64_t durationMs = 0;   // declared work
    std::int64_t checkpointMs = 0; // work saved earlier, where the attempt resumes
    std::int64_t leaseMs = 0;      // the worker stops the task when no renewal comes within this time
};

struct WorkerStarted {
    bool already = false; // repeat of a start that took effect before
};

// Usage of one task, reported with a lag.
struct WorkerUsage {
    std::string task;
    std::uint64_t attempt = 0;
    std::int64_t ageMs = 0; // since the measurement
    std::int64_t cpuMilli = 0;
    std::int64_t memoryMb = 0;
    double slowdown = 1.0; // run time relative to the task alone on the machine; 1.0 means undisturbed
};

enum class WorkerErrorCode {
    StaleEpoch,   // the worker knows a higher epoch; nothing was done
    Capacity,     // the worker has no room; nothing was done
    OlderAttempt, // the worker knows a later attempt, or has ended this one; nothing was done
    NotFound,     // no such task and attempt
    NotSent,      // no byte was sent; nothing was done
    Unknown,      // no answer: may or may not have been done
    Refused,      // any other status of 400 and above
    BadAnswer,    // answer that does not follow the interface: may or may not have been done
};

constexpr base::EnumNames<WorkerErrorCode, 8> workerErrorNames { {
    { WorkerErrorCode::StaleEpoch, "staleEpoch" },
    { WorkerErrorCode::Capacity, "capacity" },
    { WorkerErrorCode::OlderAttempt, "olderAttempt" },
    { WorkerErrorCode::NotFound, "notFound" },
    { WorkerErrorCode::NotSent, "notSent" },
    { WorkerErrorCode::Unknown, "unknown" },
    { WorkerErrorCode::Refused, "refused" },
    { WorkerErrorCode::BadAnswer, "badAnswer" },
} };

struct WorkerError {
    WorkerErrorCode code = WorkerErrorCode::Unknown;
    std::string detail;
    base::Epoch epoch = 0; // the worker's epoch, with StaleEpoch
};

template <typename T> using WorkerCallback = std::function<void(base::Result<T, WorkerError>)>;

struct WorkerDone { };

struct WorkerTimeouts {
    int startMs = 1000; // part of the bound of 3 s of design section 5, Q8
    int callMs = 2000;
};

// Callbacks run from the event loop, exactly once, unless the http::Client is destroyed first.
class PlatformWorker {
public:
    explicit PlatformWorker(http::Client& client, WorkerTimeouts timeouts = {});

    void read(const WorkerAddress& worker, WorkerCallback<WorkerContent> callback);
    void fence(const WorkerAddress& worker, base::Epoch epoch, const std::string& owner,
        WorkerCallback<WorkerContent> callback);
    // Sent at most once, with a timeout of startMs.
    void start(const WorkerAddress& worker, const WorkerStart& request, WorkerCallback<WorkerStarted> callback);
    // Renews the leases of all tasks on the worker.
    void renew(
        const WorkerAddress& worker, base::Epoch epoch, std::int64_t leaseMs, WorkerCallback<WorkerDone> callback);
    void checkpoint(const WorkerAddress& worker, const std::string& task, std::uint64_t attempt, base::Epoch epoch,
        WorkerCallback<WorkerDone> callback);
    // cpuMilli: processor share left to the task; 0 removes the throttle.
    void throttle(const WorkerAddress& worker, const std::string& task, std::uint64_t attempt, base::Epoch epoch,
        std::int64_t cpuMilli, WorkerCallback<WorkerDone> callback);
    void stop(const WorkerAddress& worker, const std::string& task, std::uint64_t attempt, base::Epoch epoch,
        WorkerCallback<WorkerDone> callback);
    // Lets the worker forget an ended attempt (the interface of section 4 requires that it is remembered until then).
    void acknowledge(const WorkerAddress& worker, const std::string& task, std::uint64_t attempt, base::Epoch epoch,
        WorkerCallback<WorkerDone> callback);
    void reports(const WorkerAddress& worker, WorkerCallback<std::vector<WorkerUsage>> callback);

private:
    http::Client& m_client;
    WorkerTimeouts m_timeouts;
};

} // namespace lacewing::daemon
