// Faults of one run, drawn from its seed before it starts.
//
// Invariant: every disturbance ends, or is one that the system must bear for good: a quarter of the workers and all
// daemons but two may be gone.
#pragma once

#include "base/names.h"
#include "soak/proxy.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lacewing::soak {

enum class FaultKind {
    KillDaemon,  // SIGKILL, started again at the end
    PauseDaemon, // SIGSTOP, SIGCONT at the end
    StopDaemon,  // SIGTERM, started again at the end
    StoreDown,
    StoreLosesAnswers,
    StoreSilent, // the links of all daemons
    StoreLink,   // of one daemon
    PeerLink,    // of all other daemons to one daemon
    WorkerLink,
    CrashWorker, // restarted at the end
    FailRuns,    // a share of the runs in progress ends as failed
};

constexpr base::EnumNames<FaultKind, 11> faultKindNames { {
    { FaultKind::KillDaemon, "kill daemon" },
    { FaultKind::PauseDaemon, "pause daemon" },
    { FaultKind::StopDaemon, "stop daemon" },
    { FaultKind::StoreDown, "store down" },
    { FaultKind::StoreLosesAnswers, "store loses answers" },
    { FaultKind::StoreSilent, "store silent" },
    { FaultKind::StoreLink, "store link of daemon" },
    { FaultKind::PeerLink, "peer link of daemon" },
    { FaultKind::WorkerLink, "link of worker" },
    { FaultKind::CrashWorker, "crash worker" },
    { FaultKind::FailRuns, "fail runs" },
} };

constexpr int leaderTarget = -1; // the daemon that schedules when the fault begins

struct Fault {
    int atMs = 0;       // ms after the begin of the faults
    int durationMs = 0; // 0: for good
    FaultKind kind = FaultKind::KillDaemon;
    int target = leaderTarget;        // index of a daemon or worker
    LinkFault link = LinkFault::None; // of the kinds ...Link
    int delayMs = 0;                  // of LinkFault::Delay
    int lostAnswers = 0;
    bool keepsEntry = false; // of CrashWorker
    double share = 0;        // of FailRuns
};

struct ScheduleShape {
    int daemons = 3;
    int workers = 12;
    int durationMs = 20000;
};

// Single faults, series (the leader ends, and the next one soon after) and overlapping faults.
std::vector<Fault> drawSchedule(std::uint64_t seed, const ScheduleShape& shape);

enum class Scenario {
    // The leader is killed while the store goes down for 6 s and workers vanish for good; the next leader is killed 1 s
    // after the store is back.
    InterruptedRecovery,
    // Workers that cannot be reached go on running their tasks, one of them with renewed leases, while leaders change.
    UnreachableWorkers,
    // Runs fail again and again while the store is away; then the leader and half of the workers are cut off, and
    // return
    // after the next term has started their tasks again. Daemons are restarted meanwhile.
    RepeatedRuns,
    // All daemons are killed twice, with more jobs waiting than usual.
    CrowdedRecovery,
    // The leader freezes until another daemon is elected, three times.
    FrozenLeaders,
};

constexpr base::EnumNames<Scenario, 5> scenarioNames { {
    { Scenario::InterruptedRecovery, "interrupted-recovery" },
    { Scenario::UnreachableWorkers, "unreachable-workers" },
    { Scenario::RepeatedRuns, "repeated-runs" },
    { Scenario::CrowdedRecovery, "crowded-recovery" },
    { Scenario::FrozenLeaders, "frozen-leaders" },
} };

// The seed varies the times of RepeatedRuns and CrowdedRecovery.
std::vector<Fault> scenarioSchedule(Scenario scenario, std::uint64_t seed, const ScheduleShape& shape);

// Traffic besides the usual one.
struct ScenarioTraffic {
    int longJobs = 0;                 // of tasks that run until after the faults, started before them
    std::vector<int> burstsAtMs = {}; // ms after the begin of the faults, of many jobs at once
};

ScenarioTraffic scenarioTraffic(Scenario scenario);

std::string describe(const Fault& fault);

} // namespace lacewing::soak
