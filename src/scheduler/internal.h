// Helpers shared by the parts of the scheduler; not for other folders.
#pragma once

#include "scheduler/scheduler.h"

namespace lacewing::scheduler {

// Marks the job's record for storing.
void markDirty(Scheduler& scheduler, Job& job);
void setState(Scheduler& scheduler, Job& job, JobState state, Millis now);
// A worker has said that it runs or ran a task of the job.
void markStarted(Scheduler& scheduler, Job& job, Millis now);
// Books and releases the room of a run; a task that holds room names its worker.
void reserveResources(Worker& worker, const TaskRef& ref);
void releaseResources(const TaskRef& ref);
// Name of the task in orders and reports.
std::string nameOf(const TaskRef& ref);
bool isOccurrenceDone(const JobRequest& request, const Occurrence& occurrence);
// Orders the stop of the run in progress and logs the reason with the inputs that decided it.
void orderStop(Scheduler& scheduler, Orders& orders, const TaskRef& ref, const std::string& reason,
    std::vector<std::pair<const char*, std::int64_t>> inputs, Millis now);
// Ends the run in progress, or one that this term did not track.
void endRun(Scheduler& scheduler, const TaskRef& ref, EndKind kind, int run, Millis now);
// Earliest and latest reading of the worker's clock now.
std::int64_t earliestClock(const Scheduler& scheduler, const Worker& worker, Millis now);
std::int64_t latestClock(const Worker& worker, Millis now);
// Expires leases, forgets workers that are gone, decides whether the runs of earlier terms are accounted for.
void reconcileWorkers(Scheduler& scheduler, Millis now);
bool isPlaced(const Task& task);
void logDecision(Scheduler& scheduler, Decision decision);
// A worker without serving tasks ranks between one with the same image and one with others.
constexpr double emptyWorkerShare = 0.5;

// Growth of ln(tail) that takes a serving image to its target.
double servingRoom(const Scheduler& scheduler, const std::string& servingImage, int targetMs);
// Share of the worker's processors.
double cpuShareOf(const Worker& worker, int millicores);
// Share of the worker's serving tasks that have the image.
double sameImageShare(const Worker& worker, const Step& serving);
// Learns from the newest readings and stops filling tasks that push serving tasks over their targets.
void relievePressure(Scheduler& scheduler, Orders& orders, Millis now);

} // namespace lacewing::scheduler
