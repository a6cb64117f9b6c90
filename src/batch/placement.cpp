// Search trees, scoring and the placement policies.
#include "batch/placement.h"

#include <algorithm>
#include <limits>

namespace lacewing::batch {

namespace {

    constexpr std::size_t notFound = std::numeric_limits<std::size_t>::max();
    constexpr std::array<FreeKind, 4> freeKinds { FreeKind::ForBatch, FreeKind::ForUrgent,
        FreeKind::ForUrgentWithEviction, FreeKind::Capacity };

    // --- Trees ---

    Resources larger(const Resources& a, const Resources& b)
    {
        return { std::max(a.cpuMilli, b.cpuMilli), std::max(a.memoryMb, b.memoryMb),
            std::max(a.accelerators, b.accelerators) };
    }

    void setLeaf(FreeTree& tree, std::size_t index, const Resources& free)
    {
        std::size_t node = tree.leaves + index;
        tree.nodes[node] = free;
        for (node /= 2; node >= 1; node /= 2) {
            const Resources value = larger(tree.nodes[2 * node], tree.nodes[2 * node + 1]);
            if (value == tree.nodes[node])
                break;
            tree.nodes[node] = value;
        }
    }

    void growTree(FreeTree& tree, std::size_t count)
    {
        if (count <= tree.leaves)
            return;
        const std::size_t leaves = std::max<std::size_t>(8, tree.leaves * 2);
        std::vector<Resources> nodes(leaves * 2, Resources { -1, -1, -1 });
        for (std::size_t leaf = 0; leaf < tree.leaves; ++leaf)
            nodes[leaves + leaf] = tree.nodes[tree.leaves + leaf];
        for (std::size_t node = leaves - 1; node >= 1; --node)
            nodes[node] = larger(nodes[2 * node], nodes[2 * node + 1]);
        tree.leaves = leaves;
        tree.nodes = std::move(nodes);
    }

    // First leaf at or after `from` that holds `need`, or notFound.
    std::size_t findFrom(const FreeTree& tree, const Resources& need, std::size_t from)
    {
        if (tree.leaves == 0 || from >= tree.leaves)
            return notFound;
        std::size_t node = tree.leaves + from;
        for (;;) {
            if (need.fitsIn(tree.nodes[node])) {
                if (node >= tree.leaves)
                    return node - tree.leaves;
                node *= 2; // the left half first
                continue;
            }
            // Next subtree to the right: up while the node is a right child, then over to the sibling.
            while ((node & 1U) == 1) {
                if (node == 1)
                    return notFound;
                node /= 2;
            }
            if (node == 0)
                return notFound;
            ++node;
            if ((node & (node - 1)) == 0)
                return notFound; // passed the right edge of the level
        }
    }

    // --- Scoring ---

    double loadOf(const FleetTask& task, const FleetWorker& worker)
    {
        const std::int64_t used = task.measured.cpuMilli > 0 ? task.measured.cpuMilli : task.granted.cpuMilli;
        return static_cast<double>(used)
            / static_cast<double>(std::max<std::int64_t>(1, worker.info.capacity.cpuMilli));
    }

    std::uint64_t rackServiceKey(std::uint32_t rack, ClassIndex service)
    {
        return (static_cast<std::uint64_t>(rack) << 32U) | service;
    }

    double weightOf(JobClass jobClass, const PlacementLimits& limits)
    {
        return jobClass == JobClass::Urgent ? limits.interferenceWeight : limits.batchSlowdownWeight;
    }

    // Cost of the worker for the task; the smallest wins.
    double scoreOf(
        const Fleet& fleet, const FleetWorker& worker, const Interference& interference, const TaskRequest& request)
    {
        const PlacementLimits& limits = fleet.limits;
        const auto cpu = static_cast<double>(std::max<std::int64_t>(1, worker.info.capacity.cpuMilli));
        const auto left = static_cast<double>(worker.info.capacity.cpuMilli - worker.occupied.cpuMilli);
        double score = limits.packWeight * std::max(0.0, left - static_cast<double>(request.resources.cpuMilli)) / cpu;
        if (fleet.policy == PlacementPolicy::InterferenceAware) {
            const double ownLoad = static_cast<double>(request.resources.cpuMilli) / cpu;
            const double ownWeight = weightOf(request.jobClass, limits);
            for (const FleetTask& task : worker.tasks) {
                const double suffered
                    = coefficientOf(interference, request.service, task.service) * loadOf(task, worker);
                const double caused = coefficientOf(interference, task.service, request.service) * ownLoad;
                score += ownWeight * suffered + weightOf(task.jobClass, limits) * caused;
            }
        }
        const auto sameRack = fleet.perRackService.find(rackServiceKey(worker.rackIndex, request.service));
        if (sameRack != fleet.perRackService.end())
            score += limits.rackWeight * static_cast<double>(sameRack->second)
                / (static_cast<double>(sameRack->second) + 8);
        return score;
    }

    bool isAvoided(const TaskRequest& request, const FleetWorker& worker)
    {
        return std::find(request.avoid.begin(), request.avoid.end(), worker.info.id) != request.avoid.end();
    }

    // --- Policies ---

    std::size_t firstFit(const Fleet& fleet, const FreeTree& tree, const TaskRequest& request)
    {
        for (std::size_t index = findFrom(tree, request.resources, 0); index != notFound;
             index = findFrom(tree, request.resources, index + 1)) {
            if (!isAvoided(request, fleet.workers[index]))
                return index;
        }
        return notFound;
    }

    std::size_t bestFit(const Fleet& fleet, const FreeTree& tree, const TaskRequest& request)
    {
        std::size_t best = notFound;
        std::int64_t bestFree = std::numeric_limits<std::int64_t>::max();
        for (std::size_t index = 0; index < fleet.workers.size(); ++index) {
            const Resources& free = tree.nodes[tree.leaves + index];
            if (request.resources.fitsIn(free) && free.cpuMilli < bestFree
                && !isAvoided(request, fleet.workers[index])) {
                best = index;
                bestFree = free.cpuMilli;
            }
        }
        return best;
    }

    // Calls visit(index) for up to `samples` fitting workers, each found from a random place. Without one outside
    // `avoid` among the samples, it looks at every fitting worker.
    template <typename Visit>
    void sampleFitting(
        const Fleet& fleet, const FreeTree& tree, const TaskRequest& request, base::Rng& rng, Visit visit)
    {
        const std::size_t count = fleet.workers.size();
        if (count == 0)
            return;
        if (count <= fleet.limits.samples) {
            for (std::size_t index = 0; index < count; ++index) {
                if (request.resources.fitsIn(tree.nodes[tree.leaves + index])
                    && !isAvoided(request, fleet.workers[index]))
                    visit(index);
            }
            return;
        }
        bool hasVisited = false;
        for (std::size_t sample = 0; sample < fleet.limits.samples; ++sample) {
            std::size_t index = findFrom(tree, request.resources, base::below(rng, count));
            if (index == notFound)
                index = findFrom(tree, request.resources, 0);
            if (index == notFound)
                return;
            if (!isAvoided(request, fleet.workers[index])) {
                hasVisited = true;
                visit(index);
            }
        }
        if (!hasVisited && !request.avoid.empty()) {
            const std::size_t index = firstFit(fleet, tree, request);
            if (index != notFound)
                visit(index);
        }
    }

    std::size_t scoredSample(const Fleet& fleet, const FreeTree& tree, const Interference& interference,
        const TaskRequest& request, base::Rng& rng)
    {
        std::size_t best = notFound;
        double bestScore = std::numeric_limits<double>::max();
        sampleFitting(fleet, tree, request, rng, [&](std::size_t index) {
            const double score = scoreOf(fleet, fleet.workers[index], interference, request);
            if (score < bestScore) {
                best = index;
                bestScore = score;
            }
        });
        return best;
    }

    // Fewest batch tasks whose leaving makes room, the largest first. Empty when maxEvictions do not suffice.
    std::vector<base::JobId> victimsOn(const Fleet& fleet, const FleetWorker& worker, const TaskRequest& request)
    {
        std::vector<const FleetTask*> batch;
        for (const FleetTask& task : worker.tasks) {
            if (task.jobClass == JobClass::Batch && !task.isEvicting)
                batch.push_back(&task);
        }
        std::sort(batch.begin(), batch.end(),
            [](const FleetTask* a, const FleetTask* b) { return a->granted.cpuMilli > b->granted.cpuMilli; });
        Resources free = freeFor(fleet, worker, FreeKind::ForUrgent);
        std::vector<base::JobId> victims;
        for (const FleetTask* task : batch) {
            if (request.resources.fitsIn(free) || victims.size() == fleet.limits.maxEvictions)
                break;
            free += larger(task->granted, task->measured);
            victims.push_back(task->id);
        }
        if (!request.resources.fitsIn(free))
            victims.clear();
        return victims;
    }

    Decision chooseEviction(
        const Fleet& fleet, const Interference& interference, const TaskRequest& request, base::Rng& rng)
    {
        Decision decision;
        double bestScore = std::numeric_limits<double>::max();
        const FreeTree& tree = fleet.trees[static_cast<std::size_t>(FreeKind::ForUrgentWithEviction)];
        sampleFitting(fleet, tree, request, rng, [&](std::size_t index) {
            std::vector<base::JobId> victims = victimsOn(fleet, fleet.workers[index], request);
            if (victims.empty())
                return;
            const double score = 10 * static_cast<double>(victims.size())
                + scoreOf(fleet, fleet.workers[index], interference, request);
            if (score < bestScore) {
                bestScore = score;
                decision = { DecisionKind::Evict, index, std::move(victims) };
            }
        });
        return decision;
    }

} // namespace

Resources freeFor(const Fleet& fleet, const FleetWorker& worker, FreeKind kind)
{
    const Resources none { -1, -1, -1 };
    const Resources& capacity = worker.info.capacity;
    if (kind == FreeKind::Capacity)
        return capacity;
    if (!worker.isEligible || (worker.isProbe && !worker.tasks.empty()))
        return none;
    Resources free = capacity;
    free -= larger(worker.committed, worker.occupied);
    if (kind == FreeKind::ForUrgent)
        return free;
    if (kind == FreeKind::ForUrgentWithEviction) {
        for (const FleetTask& task : worker.tasks) {
            if (task.jobClass == JobClass::Batch && !task.isEvicting)
                free += larger(task.granted, task.measured);
        }
        return free;
    }
    if (!worker.admitsBatch)
        return none;
    if (worker.tasks.empty())
        return capacity;
    free.cpuMilli -= static_cast<std::int64_t>(fleet.limits.headroom * static_cast<double>(capacity.cpuMilli));
    free.memoryMb -= static_cast<std::int64_t>(fleet.limits.headroom * static_cast<double>(capacity.memoryMb));
    return free;
}

void refreshWorker(Fleet& fleet, std::size_t worker)
{
    FleetWorker& entry = fleet.workers[worker];
    entry.committed = {};
    entry.occupied = {};
    for (const FleetTask& task : entry.tasks) {
        entry.committed += task.granted;
        entry.occupied += larger(task.granted, task.measured);
    }
    for (const FreeKind kind : freeKinds)
        setLeaf(fleet.trees[static_cast<std::size_t>(kind)], worker, freeFor(fleet, entry, kind));
}

std::size_t addWorker(Fleet& fleet, const WorkerInfo& info)
{
    const auto [place, isNew] = fleet.indexOf.try_emplace(info.id, fleet.workers.size());
    const std::size_t index = place->second;
    if (isNew) {
        fleet.workers.emplace_back();
        for (FreeTree& tree : fleet.trees)
            growTree(tree, fleet.workers.size());
        fleet.workers[index].rackIndex
            = fleet.racks.try_emplace(info.rack, static_cast<std::uint32_t>(fleet.racks.size())).first->second;
    }
    fleet.workers[index].info = info;
    refreshWorker(fleet, index);
    return index;
}

FleetTask* findTask(Fleet& fleet, std::size_t worker, const base::JobId& id)
{
    for (FleetTask& task : fleet.workers[worker].tasks) {
        if (task.id == id)
            return &task;
    }
    return nullptr;
}

void adoptTask(Fleet& fleet, std::size_t worker, const FleetTask& task)
{
    FleetWorker& entry = fleet.workers[worker];
    entry.tasks.push_back(task);
    ++fleet.perRackService[rackServiceKey(entry.rackIndex, task.service)];
    refreshWorker(fleet, worker);
}

bool commitTask(Fleet& fleet, std::size_t worker, const FleetTask& task)
{
    const FleetWorker& entry = fleet.workers[worker];
    Resources total = entry.committed;
    total += task.granted;
    if (!total.fitsIn(entry.info.capacity))
        return false;
    adoptTask(fleet, worker, task);
    return true;
}

void releaseTask(Fleet& fleet, std::size_t worker, const base::JobId& id)
{
    FleetWorker& entry = fleet.workers[worker];
    const auto task
        = std::find_if(entry.tasks.begin(), entry.tasks.end(), [&](const FleetTask& t) { return t.id == id; });
    if (task == entry.tasks.end())
        return;
    const auto count = fleet.perRackService.find(rackServiceKey(entry.rackIndex, task->service));
    if (count != fleet.perRackService.end() && --count->second == 0)
        fleet.perRackService.erase(count);
    entry.tasks.erase(task);
    refreshWorker(fleet, worker);
}

double predictedUrgentSlowdown(const FleetWorker& worker, const Interference& interference)
{
    double worst = 1;
    for (const FleetTask& victim : worker.tasks) {
        if (victim.jobClass != JobClass::Urgent)
            continue;
        double slowdown = 1;
        for (const FleetTask& other : worker.tasks) {
            if (&other != &victim)
                slowdown += coefficientOf(interference, victim.service, other.service) * loadOf(other, worker);
        }
        worst = std::max(worst, slowdown);
    }
    return worst;
}

Decision place(Fleet& fleet, const Interference& interference, const TaskRequest& request, base::Rng& rng)
{
    if (findFrom(fleet.trees[static_cast<std::size_t>(FreeKind::Capacity)], request.resources, 0) == notFound)
        return { DecisionKind::Never, 0, {} };
    const bool isUrgent = request.jobClass == JobClass::Urgent;
    const FreeKind kind = isUrgent ? FreeKind::ForUrgent : FreeKind::ForBatch;
    const FreeTree& tree = fleet.trees[static_cast<std::size_t>(kind)];
    std::size_t worker = notFound;
    switch (fleet.policy) {
    case PlacementPolicy::FirstFit:
        worker = firstFit(fleet, tree, request);
        break;
    case PlacementPolicy::BestFit:
        worker = bestFit(fleet, tree, request);
        break;
    case PlacementPolicy::NoInterference:
    case PlacementPolicy::InterferenceAware:
        worker = scoredSample(fleet, tree, interference, request, rng);
        break;
    }
    if (worker != notFound)
        return { DecisionKind::Placed, worker, {} };
    if (isUrgent)
        return chooseEviction(fleet, interference, request, rng);
    return {};
}

} // namespace lacewing::batch
