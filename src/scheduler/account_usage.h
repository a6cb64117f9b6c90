// What each client account has running, and whether its cap leaves room for another start.
//
// Answers loads in which one account would fill the fleet, and terms that begin with starts of an earlier one in
// flight. The usage is computed once per plan from the numbers of placed tasks of the open jobs, which the plan visits
// anyway, and kept up to date while the plan orders starts. It is not stored: a placed task keeps its place until it is
// certain that its run is over, so that the usage has the same certainty.
//
// Tasks of an earlier term whose worker is not known are counted as well. Most of them never ran, so that their sum is
// bounded by the capacity of the workers that are not accounted for: a run is on one of those.
#pragma once

#include "scheduler/types.h"

#include <cstdint>
#include <map>
#include <string>

namespace lacewing::scheduler {

struct Candidate;
struct Job;
struct Planner;
struct TaskRef;
struct Turn;

struct Resources {
    std::int64_t cpuMillicores = 0; // of filling tasks: requested
    std::int64_t memoryMb = 0;
    std::int64_t gpus = 0;
    int tasks = 0;
};

// Tasks of one service that may run on workers that are not accounted for.
struct UnlocatedTasks {
    Resources plain;
    Resources filling;
    std::int64_t fillCpuWithoutMemory = 0; // part of `filling`: millicores of tasks that request no memory
    double fillCpuPerMb = 0;               // highest ratio of the other filling tasks
};

struct AccountUsage {
    const Account* account = nullptr; // never null
    Resources placed;                 // on workers, also runs that are being stopped and strays
    Resources placedLasting;          // part of `placed`: tasks that do not end by themselves
    Resources unlocated;              // upper bound of what may run on workers that are not accounted for
    Resources held;                   // for tasks that come first and whose start waits
    bool isReserved = false;          // part of `held` is kept for a task that waits for the cap
    int denied = 0;                   // turns that waited for the cap in this plan
    std::map<std::string, UnlocatedTasks> unlocatedByService;
};

// Usage of the account of the job; null: it has none, or the configuration has no accounts. An account that the
// configuration lacks has no cap and the weight 1.
AccountUsage* usageOf(Planner& planner, const Job& job);
// Counts the tasks of an open job, after its review. All jobs with placed tasks are open.
void addUsage(Planner& planner, const Job& job);
// The job is about to be forgotten although its runs may not be located yet.
void keepUnlocated(Planner& planner, const Job& job);
// Completes the usage, and computes the startable tasks of the candidates. Called once, after addUsage for all jobs.
void countUsage(Planner& planner);
// A task of the account starts (change 1), or the start is taken back within the plan (-1).
void adjustUsage(Planner& planner, const TaskRef& ref, int change);
// Keeps room under the cap for tasks whose start waits for a record or for room on a worker.
void holdUsage(AccountUsage* usage, const Step& step, int tasks);

// Whether tasks of the step may start together, beside what is held. One task that alone is larger than the cap may
// start while the account has nothing else; several, as of a gang, may not.
bool hasCapRoom(const AccountUsage* usage, const Step& step, int tasks);
// The same without what is held.
bool mayFitCap(const AccountUsage* usage, const Step& step, int tasks);
// Whether a task that is stopped to be moved is certain to find room under the cap again.
bool mayReturn(const AccountUsage* usage);
// Number of tasks that the turn has to start together: all of a gang, otherwise one.
int tasksTogether(const Step& step);
// As hasCapRoom for the next start of the turn. When there is none, it is counted, and for a restart or a starved job
// the room is kept, so that smaller tasks of the account do not take it for ever.
bool admitToCap(Planner& planner, const Turn& turn);

// Logs when tasks of an account wait for its cap, and when they no longer do.
void reportCaps(Planner& planner);

} // namespace lacewing::scheduler
