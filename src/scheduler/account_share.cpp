// Rates and shares of client accounts.
#include "scheduler/account_share.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace lacewing::scheduler {

namespace {

    // Burst of the token bucket. Clients submit in groups; a job that starts after this time would be lost anyway (the
    // platform's limit without runs), so that a longer burst would only delay other accounts.
    constexpr double burstMs = 3000;
    // jobs; for accounts whose rate is below about one job a second. A single group of a few jobs is no overload.
    constexpr double minBurstJobs = 4;
    // ms of waiting that move a step forward by one fair share; above the 1500 ms after which a job counts as starved
    // (placement_order.cpp), so that ageing only decides between steps that no other rule brings forward
    constexpr double ageingMs = 10000;
    constexpr double minWeight = 1e-6; // configurations have positive weights; avoids a division by 0

    double weightOf(const Account& account) { return std::max(minWeight, account.weight); }

    const Step& stepOf(const Candidate& candidate)
    {
        return candidate.job->request.steps[static_cast<std::size_t>(candidate.stepNumber)];
    }

    Resources fleetOf(const Planner& planner)
    {
        Resources fleet;
        for (const Pool& pool : planner.pools) {
            for (const PlannedWorker& planned : pool.workers) {
                const Capacity& capacity = planned.worker->entry.capacity;
                fleet.cpuMillicores += capacity.cpuMillicores;
                fleet.memoryMb += capacity.memoryMb;
                fleet.gpus += capacity.gpus;
            }
        }
        return fleet;
    }

    double partOf(std::int64_t used, std::int64_t all)
    {
        return all > 0 ? static_cast<double>(used) / static_cast<double>(all) : 0;
    }

    // Share of the fleet's scarcest resource for these tasks.
    double dominantShare(const Resources& used, const Resources& fleet)
    {
        return std::max({ partOf(used.cpuMillicores, fleet.cpuMillicores), partOf(used.memoryMb, fleet.memoryMb),
            partOf(used.gpus, fleet.gpus) });
    }

    void addTasks(Resources& sum, const Step& step, std::int64_t tasks)
    {
        sum.cpuMillicores += tasks * step.cpuMillicores;
        sum.memoryMb += tasks * step.memoryMb;
        sum.gpus += tasks * step.gpus;
    }

    // Turns with the same value are exchanged among each other.
    auto groupOf(const Turn& turn)
    {
        const Candidate& candidate = *turn.candidate;
        return std::tuple(candidate.isRestart, candidate.priority, turn.order, candidate.isBeyondRate);
    }

    struct RankedTurn {
        Turn turn;
        std::size_t place = 0;
        double share = 0; // weighted share of its account before it, 1 is fair, less what it has waited
    };

    // What accounts use as the turns go on, and the sum of the weights of those with turns.
    struct Shares {
        Resources fleet;
        std::unordered_map<const AccountUsage*, Resources> used;
        double weights = 0;
    };

    Resources& usedBy(Shares& shares, const AccountUsage* usage)
    {
        const auto [found, isNew] = shares.used.try_emplace(usage, usage->placed);
        return found->second;
    }

    double rankOf(const Planner& planner, const Shares& shares, const Resources& used, const Candidate& candidate)
    {
        const double share = dominantShare(used, shares.fleet) * shares.weights / weightOf(*candidate.account->account);
        const StepProgress& progress = candidate.occurrence->steps[static_cast<std::size_t>(candidate.stepNumber)];
        const Millis since = std::max(progress.readySince, progress.lastEndAt);
        return share - (candidate.isBeyondRate ? 0 : static_cast<double>(planner.now - since) / ageingMs);
    }

    void take(Resources& used, const Turn& turn)
    {
        const Candidate& candidate = *turn.candidate;
        const bool isSingle = turn.order == Order::Starved || turn.order == Order::FirstRun;
        addTasks(used, stepOf(candidate), isSingle ? std::min(1, candidate.startable) : candidate.startable);
    }

    bool keepsPlaces(const Turn& turn) { return turn.candidate->isRestart || turn.order == Order::Starved; }

    void orderGroup(
        const Planner& planner, Shares& shares, std::vector<Turn>& turns, std::size_t begin, std::size_t end)
    {
        std::vector<RankedTurn> ranked;
        for (std::size_t i = begin; i < end; ++i) {
            if (!turns[i].candidate->account)
                continue;
            Resources& used = usedBy(shares, turns[i].candidate->account);
            ranked.push_back({ turns[i], i, rankOf(planner, shares, used, *turns[i].candidate) });
            take(used, turns[i]);
        }
        if (ranked.empty() || keepsPlaces(turns[begin]))
            return;
        std::vector<std::size_t> places;
        places.reserve(ranked.size());
        for (const RankedTurn& entry : ranked)
            places.push_back(entry.place);
        std::stable_sort(
            ranked.begin(), ranked.end(), [](const RankedTurn& a, const RankedTurn& b) { return a.share < b.share; });
        for (std::size_t i = 0; i < ranked.size(); ++i) {
            turns[places[i]] = ranked[i].turn;
            turns[places[i]].isDeferred = places[i] > ranked[i].place;
        }
    }

} // namespace

std::int64_t entitledAt(RateState& state, std::int64_t acceptedUnixMs, double weight)
{
    const double perJobMs = 1000 / std::max(minWeight, weight);
    const double toleranceMs = std::max(burstMs, (minBurstJobs - 1) * perJobMs);
    const double theoretical
        = std::max(static_cast<double>(acceptedUnixMs), static_cast<double>(state.entitledUnixMs) + perJobMs);
    state.entitledUnixMs = static_cast<std::int64_t>(theoretical);
    return std::max(acceptedUnixMs, static_cast<std::int64_t>(theoretical - toleranceMs));
}

void applyRates(Planner& planner)
{
    Scheduler& scheduler = planner.scheduler;
    if (scheduler.configuration.accounts.empty())
        return;
    std::vector<Candidate*> unranked;
    for (Candidate& candidate : planner.candidates) {
        if (candidate.account && candidate.job->entitledUnixMs < 0)
            unranked.push_back(&candidate);
    }
    std::sort(unranked.begin(), unranked.end(), [](const Candidate* a, const Candidate* b) {
        return std::tie(a->job->acceptedUnixMs, a->jobRank) < std::tie(b->job->acceptedUnixMs, b->jobRank);
    });
    for (Candidate* candidate : unranked) {
        Job& job = *candidate->job;
        if (job.entitledUnixMs >= 0) // another step of the same job
            continue;
        AccountHistory& history = scheduler.accounts[job.request.account];
        RateState state { history.entitledUnixMs };
        job.entitledUnixMs = entitledAt(state, job.acceptedUnixMs, candidate->account->account->weight);
        history.entitledUnixMs = state.entitledUnixMs;
    }
    for (Candidate& candidate : planner.candidates) {
        if (!candidate.account || candidate.isRestart)
            continue;
        const std::int64_t leftMs = candidate.job->entitledUnixMs - planner.nowUnixMs;
        candidate.isBeyondRate = leftMs > 0;
        if (candidate.idleSince > 0)
            candidate.idleSince = std::max(candidate.idleSince, planner.now + leftMs);
    }
}

void orderByShare(const Planner& planner, std::vector<Turn>& turns)
{
    if (planner.scheduler.configuration.accounts.empty())
        return;
    Shares shares;
    shares.fleet = fleetOf(planner);
    for (const Turn& turn : turns) {
        const AccountUsage* usage = turn.candidate->account;
        if (usage && shares.used.try_emplace(usage, usage->placed).second)
            shares.weights += weightOf(*usage->account);
    }
    for (std::size_t begin = 0; begin < turns.size();) {
        std::size_t end = begin + 1;
        while (end < turns.size() && groupOf(turns[end]) == groupOf(turns[begin]))
            ++end;
        orderGroup(planner, shares, turns, begin, end);
        begin = end;
    }
}

} // namespace lacewing::scheduler
