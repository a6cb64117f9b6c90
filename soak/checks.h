// Promises of the scheduler, checked on what clients and workers see.
//
// Clients report answers (clients.h); the stand-in's log of runs tells what workers did. Bounds hold in calm time, that
// is without a disturbance from `calmMs` before the checked span to its end.
#pragma once

#include "platform/standin/client.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lacewing::soak {

// --- Bounds ---

constexpr int calmMs = 4000;   // platform's rules: time without a disturbance after which bounds hold
constexpr int leaseMs = 6000;  // platform's rules: time after its last run in which a lasting task need not run
constexpr int absentMs = 3000; // platform's rules: longest time for which it then does not run
// A lasting task runs again at the latest this long after its last run, and calmMs + absentMs after the last
// disturbance.
constexpr int lastingDownMs = leaseMs + absentMs;
constexpr int cancelMs = 3000;     // platform's bound: no start later than this after a cancel was acknowledged
constexpr int visibleMs = 3000;    // platform's bound: a state is known everywhere after this time
constexpr int stopTimeoutMs = 900; // platform's bound: longest time that a worker takes to stop a task
// ms after the end of the traffic and of the faults: 14 s after which the platform's rules ask for every job, 3 s for
// which a job may have nothing running, 2 s for its own steps
constexpr int finishMs = 19000;
constexpr int idleMs = 3000; // platform's bound: longest time for which a job has nothing running beside free workers
constexpr int workerMillicores = 8000; // of each worker of the stand-in

constexpr int configurationMs = 2000; // platform's bound: time within which a version is in force on all daemons

// --- Disturbances ---

struct Disturbance {
    std::int64_t from = 0; // ms of the steady clock
    std::int64_t to = 0;
    bool isPlanned = false; // a planned stop
};

using Disturbances = std::vector<Disturbance>;

bool isCalm(const Disturbances& disturbances, std::int64_t from, std::int64_t to);
// The same, planned stops aside.
bool isCalmButForStops(const Disturbances& disturbances, std::int64_t from, std::int64_t to);
// End of the last disturbance; 0: none.
std::int64_t lastEnd(const Disturbances& disturbances);

// --- Jobs ---

struct JobFacts {
    platform::standin::JobShape shape;
    std::int64_t acceptedAt = 0;       // first 2xx; 0: none
    std::int64_t cancelSentAt = 0;     // first attempt; 0: none
    std::int64_t cancelledAt = 0;      // acknowledged; 0: not
    bool isRefused = false;            // every attempt was refused, and there will be no other
    bool isOver = false;               // its tasks are done, or one has failed for good
    std::int64_t idleReportedFrom = 0; // begin of the time with nothing running that has been reported
};

struct RunFacts {
    std::int64_t number = 0;
    std::string worker;
    std::int64_t startedAt = 0;
    std::int64_t endedAt = 0; // 0: running
    std::string how;
    bool isAcknowledged = false; // the end as done or failed
};

struct TaskFacts {
    std::vector<RunFacts> runs; // in order of their starts
    std::int64_t doneAt = 0;    // first end as done; 0: none
    int running = 0;
    int failed = 0;
    bool isDoneAcknowledged = false;
    bool isReportedDown = false; // the present time without a run has been reported
};

// Time in which a lasting task did not run.
struct Gap {
    std::string task;
    std::int64_t from = 0;
    std::int64_t to = 0;
};

struct Checks {
    std::map<std::string, JobFacts> jobs; // by id
    std::map<std::string, TaskFacts> tasks;
    Disturbances disturbances;
    std::int64_t lastEvent = 0;  // number of the last event of the log of runs
    std::int64_t knownUntil = 0; // ms of the steady clock up to which the log has been read
    std::vector<Gap> gaps;       // of lasting tasks, closed ones in order of their end
    std::int64_t origin = 0;     // begin of the faults, ms of the steady clock; violations give times after it
    std::vector<std::string> violations;
    int starts = 0;
    int repeatedNumbers = 0;        // starts with the number of an earlier start of the task
    int workers = 0;                // that are not gone for good
    int running = 0;                // runs in progress
    std::int64_t workerFaultAt = 0; // begin of the last fault of a worker
    std::int64_t hasRoomFrom = 0;   // since then under half of the workers' processors are in use; 0: more are
    std::int64_t longestIdleMs = 0; // of a job beside free workers, after the last disturbance
};

// Text of the time after the origin, in ms.
std::string timeText(const Checks& checks, std::int64_t at);
void addViolation(Checks& checks, const std::string& text);
void applyRuns(Checks& checks, const platform::standin::RunLog& log);
// A job was shown as `state` by an answer that arrived at `at`; called when the log has been read up to that time.
void checkFinalState(Checks& checks, const std::string& job, scheduler::JobState state);
// Lasting tasks that are down, other jobs with nothing running beside free workers, and tasks that still run although
// their job was cancelled.
void checkRunning(Checks& checks);

// --- Queues ---

constexpr int keptVersions = 6; // of the configuration, for which the queue that one of them adds stays

// Times of one version, ms of the steady clock; 0: not yet.
struct VersionFacts {
    std::int64_t sentAt = 0;
    std::int64_t acceptedAt = 0;
};

// Whether a status that tells that the queue of version `number` is there (200) or not (404) contradicts every
// configuration that may be in force. Holds at any time: a daemon that cannot know refuses instead.
bool isOutdated(
    const std::map<int, VersionFacts>& versions, int number, int status, std::int64_t sentAt, std::int64_t answeredAt);

// --- Jobs at the begin of a run ---

// Names of the tasks of its first step.
std::vector<std::string> firstTasks(const Checks& checks, const std::string& job);
// Of all jobs.
bool areFirstStepsRunning(const Checks& checks);

} // namespace lacewing::soak
