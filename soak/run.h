// One run of the soak: starts the cluster, plays a schedule of faults beside clients, and checks the promises until the
// end of a calm phase.
#pragma once

#include "soak/clients.h"
#include "soak/queues.h"
#include "soak/schedule.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lacewing::soak {

struct RunPlan {
    std::uint64_t seed = 0;
    ClusterSettings cluster;
    std::vector<Fault> faults;
    int durationMs = 20000; // of traffic beside faults
    int lastingJobs = 5;
    ScenarioTraffic traffic = {};
};

struct RunResult {
    std::vector<std::string> violations;
    std::vector<std::string> terms; // described
    std::vector<Gap> gaps;          // of lasting tasks, from the begin of the faults on
    std::int64_t origin = 0;        // begin of the faults, ms of the steady clock
    ClientCounts clients;
    int queueAnswers = 0;  // that told whether a queue is there
    int queueRefusals = 0; // of daemons that could not know
    int starts = 0;
    int repeatedNumbers = 0;
    std::int64_t longestIdleMs = 0;
    int termCount = 0;
};

// Blocks and runs the event loop. Ends all processes that it started.
RunResult play(const RunPlan& plan);

} // namespace lacewing::soak
