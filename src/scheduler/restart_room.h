// Room for restarts of lasting tasks. A task that needs more than any worker has free would wait for as long as smaller
// tasks take what becomes free. Room is held for it instead on the worker that is expected to have it first, by the
// progress of the runs there: from its turn in a plan on, its resources count as used.
//
// Bounds: the room is expected within seconds, on a tenth of a service's workers; when it does not come in time,
// another worker is chosen. Room is not held for gangs, nor on workers that the advice service has not approved. Where
// it has, the room is held even if it is there already, until the expired ticket has been replaced.
#pragma once

#include "scheduler/planner.h"

namespace lacewing::scheduler {

// From now on in this plan, the worker's room for a task of the step counts as used.
void holdRoom(Pool& pool, PlannedWorker& planned, const Step& step);
// Time until the worker is expected to have room for the task, by the runs there; nullopt: it does not come within the
// bound, or the task may not use the worker.
std::optional<Millis> expectedRoomMs(const Planner& planner, const Worker& worker, const TaskRef& ref);
// Holds room for the waiting tasks of a lasting step that have run before and found no worker in this plan.
void holdRestartRoom(Planner& planner, Pool& pool, const Candidate& candidate);

} // namespace lacewing::scheduler
