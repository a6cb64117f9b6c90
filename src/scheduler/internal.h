// Helpers shared by the parts of the scheduler; not for other folders.
#pragma once

#include "scheduler/scheduler.h"

namespace lacewing::scheduler {

// Marks the job's record for storing.
void touch(Scheduler& scheduler, Job& job);
void setState(Scheduler& scheduler, Job& job, JobState state, Millis now);
// Books and releases the room of a run; a task that holds room names its worker.
void takeRoom(Scheduler& scheduler, Worker& worker, const TaskRef& ref);
void releaseRoom(Scheduler& scheduler, const TaskRef& ref);
// Ends the run in progress, or one that this term did not track.
void endRun(Scheduler& scheduler, const TaskRef& ref, EndKind kind, int run, Millis now);
// Earliest and latest reading of the worker's clock now.
std::int64_t earliestClock(const Scheduler& scheduler, const Worker& worker, Millis now);
std::int64_t latestClock(const Worker& worker, Millis now);
// Expires leases, forgets workers that are gone, decides whether the runs of earlier terms are accounted for.
void accountWorkers(Scheduler& scheduler, Millis now);
bool holdsRun(const Task& task);
void note(Scheduler& scheduler, Decision decision);
// Paces and moves filling tasks so that serving tasks stay within their targets.
void relievePressure(Scheduler& scheduler, Orders& orders, Millis now);

} // namespace lacewing::scheduler
