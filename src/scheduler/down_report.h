// Report for operators: why lasting tasks do not run. It influences no decision.
#pragma once

#include "scheduler/wait_cause.h"

#include <array>
#include <cstdint>

namespace lacewing::scheduler {

struct DownReport {
    Millis checkedAt = 0;
    int tasks = 0; // lasting tasks that have not been running for downReportMs, at the last check
    // Lines `lastingTaskDown` by reason, until the daemon takes and clears them.
    std::array<std::uint64_t, waitReasonNames.size()> lines {};
};

// Logs `lastingTaskDown` for lasting tasks that have not been running for a while. Called at the end of each plan.
void reportDownTasks(Planner& planner);

} // namespace lacewing::scheduler
