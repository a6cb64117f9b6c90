// Room for restarts of lasting tasks. A task that needs more than any worker has free would wait for as long as smaller
// tasks take what becomes free; a worker is kept for it instead, on which its room is the next to become free.
#pragma once

#include "scheduler/planner.h"

namespace lacewing::scheduler {

// Holds room for the waiting tasks of a lasting step that have run before and found no worker in this plan. The held
// room counts as used for the rest of the plan.
void holdRestartRoom(Planner& planner, Pool& pool, const Candidate& candidate);

} // namespace lacewing::scheduler
