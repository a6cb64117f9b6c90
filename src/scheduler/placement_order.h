// Order in which waiting steps are placed.
//
// Restarts of lasting tasks come first, then the queues by their priority. Within a priority, jobs that can still meet
// their deadline (the critical path times the allowed stretch) come before those that cannot, by their deadlines.
//
// Ageing: a job with nothing running gets a turn of its own for one task of each ready step, before the jobs that have
// missed their deadline start further tasks, and before all others once it has had nothing running for long. A job that
// is late thus goes on as long as workers have room, however many newer ones arrive.
//
// Jobs beyond the rate of their client account come after the others of their priority, and accounts below their share
// before those above it (account_share.h).
#pragma once

#include "scheduler/planner.h"

namespace lacewing::scheduler {

// Whether the turn is for one task only.
bool isFirstRun(const Turn& turn);
// The turns of all candidates, in the order of placement. The pointers are valid as long as the candidates are not
// changed.
std::vector<Turn> placementOrder(const Planner& planner);

} // namespace lacewing::scheduler
