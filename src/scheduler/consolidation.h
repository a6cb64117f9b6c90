// Consolidation of serving tasks: while filling tasks wait for workers that they can use without disturbing serving
// tasks, workers with few serving tasks are vacated one after the other, so that filling tasks get whole workers.
//
// A serving task is moved only while all other tasks of its step are at work and another worker has room for it. It is
// stopped, and placed again like any other lasting task that lost its run.
#pragma once

#include "scheduler/planner.h"

namespace lacewing::scheduler {

// Selects workers to vacate, orders the stops of the serving tasks on them, and ends the vacating of workers once no
// filling task waits. Called after placement.
void consolidateServing(Planner& planner);

} // namespace lacewing::scheduler
