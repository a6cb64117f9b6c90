// Reserve of processors for short tasks, which lasting tasks leave free when they start for the first time.
//
// Answers loads of many narrow short jobs beside lasting ones. The reserve is a forecast from recent demand; it gives
// way after a bounded wait.
#include "scheduler/planner.h"

#include <algorithm>
#include <cmath>

namespace lacewing::scheduler {

namespace {

    constexpr double shortDemandDecayMs = 15000;  // ms; time constant of the decay of the peak demand
    constexpr double maxShortReserveShare = 0.15; // largest share of a service's processors reserved for short tasks
    // A lasting task waits for the reserve at most this long: for what short tasks are expected to need, and for what
    // they use and wait for now. Its users count it as down after 3 s, and a forecast may be wrong for longer.
    constexpr Millis maxForecastWaitMs = 1500;
    constexpr Millis maxReserveWaitMs = 5000;

} // namespace

void updateShortDemand(Planner& planner)
{
    Scheduler& scheduler = planner.scheduler;
    for (const Candidate& candidate : planner.candidates) {
        const Step& step = candidate.job->request.steps[static_cast<std::size_t>(candidate.stepNumber)];
        if (!step.isFilling && !step.isLasting)
            planner.serviceCpu[candidate.job->policy.service].shortWaiting
                += static_cast<double>(candidate.startable) * step.cpuMillicores;
    }
    for (const Pool& pool : planner.pools) {
        ServiceCpu& cpu = planner.serviceCpu[pool.service];
        for (const PlannedWorker& planned : pool.workers) {
            const Worker& worker = *planned.worker;
            cpu.capacity += worker.entry.capacity.cpuMillicores;
            cpu.lasting += worker.lastingCpu;
            cpu.shortRunning += worker.cpuUsed - worker.lastingCpu;
        }
    }
    const auto passed = static_cast<double>(planner.now - scheduler.shortDemandAt);
    scheduler.shortDemandAt = planner.now;
    for (const auto& [service, cpu] : planner.serviceCpu) {
        double& demand = scheduler.shortDemand[service];
        demand = std::max(demand * std::exp(-passed / shortDemandDecayMs), cpu.shortRunning + cpu.shortWaiting);
    }
}

bool leavesShortReserve(const Planner& planner, const TaskRef& ref)
{
    const auto cpu = planner.serviceCpu.find(ref.job->policy.service);
    const auto demand = planner.scheduler.shortDemand.find(ref.job->policy.service);
    const Millis waitedMs = planner.now - ref.progress->readySince;
    if (cpu == planner.serviceCpu.end() || demand == planner.scheduler.shortDemand.end()
        || waitedMs >= maxReserveWaitMs)
        return true;
    const double needed
        = waitedMs < maxForecastWaitMs ? demand->second : cpu->second.shortRunning + cpu->second.shortWaiting;
    const double reserve = std::min(needed, cpu->second.capacity * maxShortReserveShare);
    return cpu->second.lasting + ref.step->cpuMillicores + reserve <= cpu->second.capacity;
}

} // namespace lacewing::scheduler
