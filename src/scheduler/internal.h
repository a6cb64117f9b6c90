// Internal functions shared by the source files of the scheduler; not to be included from other folders.
#pragma once

#include "scheduler/scheduler.h"

namespace lacewing::scheduler {

// Records a change of the job: increments its version and schedules its record for storing.
void markDirty(Scheduler& scheduler, Job& job);
void setState(Scheduler& scheduler, Job& job, JobState state, Millis now);
// Called when a worker has acknowledged or reported a run of a task of the job.
void markStarted(Scheduler& scheduler, Job& job, Millis now);
// Reserve and release the resources of a run on a worker. A task is placed as long as its resources are reserved.
void reserveResources(Worker& worker, const TaskRef& ref);
void releaseResources(const TaskRef& ref);
// Name of the task in orders, reports and the log.
std::string nameOf(const TaskRef& ref);
bool isOccurrenceDone(const JobRequest& request, const Occurrence& occurrence);
// Orders the stop of the current run, and logs the reason and the inputs of the decision.
void orderStop(Scheduler& scheduler, Orders& orders, const TaskRef& ref, const std::string& reason,
    std::vector<std::pair<const char*, std::int64_t>> inputs, Millis now);
// True when the worker's run is the current run of the task.
bool isCurrentRun(const Task& task, const std::string& worker, RunNumber run);
// Applies the end of the worker's run. Only the end of the current run frees the task and its resources.
void endRun(
    Scheduler& scheduler, const TaskRef& ref, const std::string& worker, EndKind kind, RunNumber run, Millis now);
// Bounds of the worker's clock at `now`, given the slowest clock rate.
std::int64_t earliestClock(const Scheduler& scheduler, const Worker& worker, Millis now);
std::int64_t latestClock(const Worker& worker, Millis now);
// Of calls to the worker.
std::int64_t fencingTokenOf(const Scheduler& scheduler, const Worker& worker);
// True when no run or end of an earlier term is left on the worker that this term does not know.
bool isAccounted(const Worker& worker);
// Latest end of a lease that an earlier term granted to the worker; 0: it holds none.
Millis earlierLeaseEndAt(const Scheduler& scheduler, const std::string& worker);
// Records of an earlier term are there although this one seems to be the first: the record of the term has been lost.
void hideHistoryOfFirstTerm(Scheduler& scheduler);
// Expires leases, removes workers that are gone, and determines whether all runs of earlier terms are known.
void reconcileWorkers(Scheduler& scheduler, Millis now);
// The job follows its queue as the configuration has it; that of its last known version where the queue has been
// removed.
void applyPolicyInForce(const Scheduler& scheduler, Job& job);
bool isPlaced(const Task& task);
void logDecision(Scheduler& scheduler, Decision decision);
// Logs a decision on a run of the task.
void logRunDecision(Scheduler& scheduler, const TaskRef& ref, Decision decision);
// ms; an occurrence that is due later than this cannot have been started by an earlier term, whose wall clock may have
// been ahead by less
constexpr std::int64_t clockDifferenceMs = 5000;
// Image share of a worker without serving tasks: it ranks between workers with the same image and with other images.
constexpr double emptyWorkerShare = 0.5;

// Latency headroom: growth of ln(tail latency) that takes a serving image from its baseline to its target.
double servingHeadroom(const Scheduler& scheduler, const std::string& servingImage, int targetMs);
// The millicores as a share of the worker's processors.
double cpuShareOf(const Worker& worker, int millicores);
// Share of the worker's serving tasks that have the image.
double sameImageShare(const Worker& worker, const Step& serving);
// Updates the interference model with the newest readings, and evicts filling tasks that keep serving tasks over their
// latency targets.
void protectLatencyTargets(Scheduler& scheduler, Orders& orders, Millis now);

} // namespace lacewing::scheduler
