// Phases of a term of the scheduling daemon, as metrics and as fields of the line that ends the term.
#pragma once

#include "base/metrics.h"
#include "scheduler/scheduler.h"

namespace lacewing::daemon {

// Times at which the term reached its phases; 0: not reached.
struct TermPhases {
    std::int64_t token = 0;
    scheduler::Millis begunAt = 0;
    scheduler::Millis loadedAt = 0;
    scheduler::Millis accountedAt = 0;
    scheduler::Millis firstFreedStartAt = 0; // of a task whose run was unknown when the term began
};

// ms from the beginning of the term to the phase; -1: not reached.
scheduler::Millis phaseMs(const TermPhases& phases, scheduler::Millis reachedAt);

void recordTermBegun(TermPhases& phases, base::Metrics& metrics, std::int64_t token, scheduler::Millis now);
void recordTermLoaded(TermPhases& phases, base::Metrics& metrics, scheduler::Millis now);
// After each plan: takes over what the scheduler has recorded, and updates the metrics.
void recordRecovery(TermPhases& phases, base::Metrics& metrics, scheduler::Scheduler& scheduler);
void recordTermEnded(base::Metrics& metrics);

} // namespace lacewing::daemon
