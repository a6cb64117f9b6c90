// Placement: chooses a worker for one task.
//
// Invariant (I1): the sum of the resources committed on a worker never exceeds its capacity. Every policy respects it,
// and batch work leaves the reserved headroom free for urgent work (a batch task that is larger than the rest may take
// an empty worker).
// Search trees over free resources find fitting workers in logarithmic time, and interferenceAware scores a bounded
// sample of them, so that the cost of a decision grows slower than the fleet.
#pragma once

#include "base/rng.h"
#include "batch/interference.h"
#include "batch/types.h"

#include <array>
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
    ClassIndex service = 0;  // from Interference
    Resources granted;       // committed
    Resources measured;      // last report; zero: none yet
    bool isEvicting = false; // asked to leave
};

struct FleetWorker {
    WorkerInfo info;
    Resources committed;
    Resources occupied; // sum over tasks of the larger of granted and measured
    std::vector<FleetTask> tasks;
    bool isEligible = true;  // false: not fenced, unreachable, leaving, quarantined or out of service
    bool admitsBatch = true; // false under pressure
    bool isProbe = false;    // after quarantine: at most one task
    std::uint32_t rackIndex = 0;
};

struct PlacementLimits {
    double headroom = 0.10;         // share of processors and memory of each worker that only urgent work may use
    std::size_t samples = 12;       // workers scored for one decision
    double interferenceWeight = 4;  // cost of predicted slowdown of urgent tasks
    double batchSlowdownWeight = 1; // cost of predicted slowdown of batch tasks
    double rackWeight = 0.3;        // cost of tasks of the same service in the same rack
    double packWeight = 0.5;        // cost of free processors left on the worker
    std::size_t maxEvictions = 8;   // batch tasks evicted for one urgent start
};

// Complete binary tree: each node holds the largest free amount of each resource below it.
struct FreeTree {
    std::size_t leaves = 0; // power of two
    std::vector<Resources> nodes;
};

// Kinds of free resources.
enum class FreeKind { ForBatch, ForUrgent, ForUrgentWithEviction, Capacity };

// Workers of one shard (or of the whole fleet in the bench) with what is committed on them.
struct Fleet {
    PlacementPolicy policy = PlacementPolicy::InterferenceAware;
    PlacementLimits limits;
    std::vector<FleetWorker> workers;
    std::unordered_map<base::WorkerId, std::size_t> indexOf;
    std::unordered_map<base::RackId, std::uint32_t> racks;
    std::unordered_map<std::uint64_t, std::uint32_t> perRackService; // (rack, service) -> tasks
    std::array<FreeTree, 4> trees;                                   // by FreeKind
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
    { DecisionKind::Never, "never" }, // larger than every worker of the fleet
} };

struct Decision {
    DecisionKind kind = DecisionKind::Wait;
    std::size_t worker = 0; // index in Fleet::workers, for Placed and Evict
    std::vector<base::JobId> evict;
};

// Adds a worker or updates its description; returns its index.
std::size_t addWorker(Fleet& fleet, const WorkerInfo& info);
// Call after a change of isEligible, admitsBatch, isProbe or of a task's fields.
void refreshWorker(Fleet& fleet, std::size_t worker);
// Commits a task on a worker. False when it exceeds the capacity (nothing changes).
bool commitTask(Fleet& fleet, std::size_t worker, const FleetTask& task);
// Commits a task that is known to be there, even beyond the capacity (the instance list can be wrong).
void adoptTask(Fleet& fleet, std::size_t worker, const FleetTask& task);
void releaseTask(Fleet& fleet, std::size_t worker, const base::JobId& id);
FleetTask* findTask(Fleet& fleet, std::size_t worker, const base::JobId& id);
// Resources that a new task may take on the worker.
Resources freeFor(const Fleet& fleet, const FleetWorker& worker, FreeKind kind);
// Predicted slowdown of the worst urgent task on the worker, at least 1.
double predictedUrgentSlowdown(const FleetWorker& worker, const Interference& interference);

// Chooses a worker; commits nothing. Watches count as batch.
Decision place(Fleet& fleet, const Interference& interference, const TaskRequest& request, base::Rng& rng);

} // namespace lacewing::batch
