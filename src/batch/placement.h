// Placement: chooses a worker for one task.
//
// Invariant (I1): the sum of the resources committed on a worker never exceeds its capacity. Every policy respects it,
// and batch work leaves the reserved headroom free for urgent work.
// interferenceAware scores a bounded sample of workers, so that its cost grows slower than the fleet.
#pragma once

#include "base/rng.h"
#include "batch/interference.h"
#include "batch/types.h"

#include <optional>
#include <unordered_map>

namespace lacewing::batch {

enum class PlacementPolicy { FirstFit, BestFit, NoInterference, InterferenceAware };
constexpr base::EnumNames<PlacementPolicy, 4> placementPolicyNames { {
    { PlacementPolicy::FirstFit, "firstFit" },
    { PlacementPolicy::BestFit, "bestFit" },               // least processors left
    { PlacementPolicy::NoInterference, "noInterference" }, // the own policy without the interference term
    { PlacementPolicy::InterferenceAware, "interferenceAware" },
} };

struct FleetTask {
    base::JobId id;
    JobClass jobClass = JobClass::Batch;
    ClassIndex service = 0; // from Interference
    Resources granted;
    bool isEvicting = false; // its resources are about to be free
};

struct FleetWorker {
    WorkerInfo info;
    Resources committed;
    std::vector<FleetTask> tasks;
    double measuredLoad = 0; // processor use / capacity, late
    bool isEligible = true;  // false: not fenced, unreachable, leaving, quarantined or out of service
    bool admitsBatch = true; // false under pressure
    bool isProbe = false;    // after quarantine: at most one task
    std::uint32_t rackIndex = 0;
    std::size_t classSlot = 0; // position in Fleet::byFree
};

struct PlacementLimits {
    double headroom = 0.10;         // share of processors and memory of each worker that only urgent work may use
    std::size_t samples = 12;       // workers scored for one decision
    std::size_t maxProbes = 96;     // workers looked at to find the samples, before the full search
    double interferenceWeight = 4;  // cost of predicted slowdown of urgent neighbours
    double batchSlowdownWeight = 1; // cost of predicted slowdown of batch work
    double rackWeight = 0.3;        // cost of tasks of the same service in the same rack
    double packWeight = 0.5;        // cost of free processors left on the worker
    std::size_t maxEvictions = 8;   // batch tasks evicted for one urgent start
};

// Workers of one shard (or of the whole fleet in the bench) with what is committed on them.
struct Fleet {
    PlacementPolicy policy = PlacementPolicy::InterferenceAware;
    PlacementLimits limits;
    std::vector<FleetWorker> workers;
    std::unordered_map<base::WorkerId, std::size_t> indexOf;
    std::unordered_map<base::RackId, std::uint32_t> racks;
    std::unordered_map<std::uint64_t, std::uint32_t> perRackService; // (rack, service) -> tasks
    std::vector<Resources> maxCapacity; // Pareto-largest capacities seen, for jobs that can never run
    std::size_t nextIndex = 0;          // where the next full search begins
};

struct TaskRequest {
    base::JobId id;
    JobClass jobClass = JobClass::Batch;
    ClassIndex service = 0;
    Resources resources;               // to commit
    std::vector<base::WorkerId> avoid; // workers on which it failed
};

enum class DecisionKind { Placed, Evict, Wait, Never };
constexpr base::EnumNames<DecisionKind, 4> decisionKindNames { {
    { DecisionKind::Placed, "placed" },
    { DecisionKind::Evict, "evict" }, // urgent work fits after the named batch tasks have left
    { DecisionKind::Wait, "wait" },   // no room now
    { DecisionKind::Never, "never" }, // larger than every worker
} };

struct Decision {
    DecisionKind kind = DecisionKind::Wait;
    std::size_t worker = 0; // index in Fleet::workers, for Placed and Evict
    std::vector<base::JobId> evict;
    std::size_t probes = 0; // workers looked at
};

void addWorker(Fleet& fleet, const WorkerInfo& info);
FleetWorker* findWorker(Fleet& fleet, const base::WorkerId& id);
// Commits a task on a worker. False when it does not fit (nothing changes).
bool commitTask(Fleet& fleet, std::size_t worker, const FleetTask& task);
// Commits a task that is known to run there, even beyond the capacity.
void adoptTask(Fleet& fleet, std::size_t worker, const FleetTask& task);
void releaseTask(Fleet& fleet, std::size_t worker, const base::JobId& id);
// Resources that a task of the class may still take on the worker.
Resources freeFor(const FleetWorker& worker, JobClass jobClass, const PlacementLimits& limits);

// Chooses a worker; commits nothing. `interference` may be learned from other shards too.
Decision place(Fleet& fleet, const Interference& interference, const TaskRequest& request, base::Rng& rng);

} // namespace lacewing::batch
