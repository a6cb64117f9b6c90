// Report for operators: which jobs have nothing running, why, and what room there is. It influences no decision.
#pragma once

#include "scheduler/wait_cause.h"

#include <array>
#include <cstdint>

namespace lacewing::scheduler {

struct WaitingReport {
    Millis checkedAt = 0;
    // --- Jobs with a ready step and without runs for waitingReportMs, at the last check ---
    int jobs = 0;
    std::array<int, waitReasonNames.size()> byReason {};
    int unchecked = 0; // part of `jobs` whose reason was not computed, because the check is bounded
    // --- Until the daemon takes and clears them ---
    bool hasNewCounts = false;                                  // a check has been made
    std::array<std::uint64_t, waitReasonNames.size()> lines {}; // `jobWaiting` by reason
};

// Once a second, logs `jobWaiting` for jobs without runs, those that have waited longest first, and `placement`, a
// summary of the room and of what waits for it. Called at the end of each plan.
void reportWaitingJobs(Planner& planner);

} // namespace lacewing::scheduler
