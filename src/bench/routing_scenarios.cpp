// Scenarios of the routing module: policies in every situation, the target with a slow endpoint, the alternatives for
// sharing slots, overload, and the time for one choice.
#include "bench/routing_model.h"
#include "bench/scenario.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cmath>
#include <thread>

namespace lacewing::bench {

namespace {

    using namespace routing;

    // The tail moves by a few percent between seeds; rows are means over this many.
    constexpr int seedsPerRow = 2;
    constexpr std::array<double, 4> loads { 0.5, 0.8, 0.95, 1.2 };

    Deployment deploymentA() { return { "A", 50, 3, 8, 500, 1000, 100, 8 }; }
    Deployment deploymentB() { return { "B", 65, 4, 8, 1500, 1000, 100, 8 }; }

    struct Cell {
        std::string name;
        ModelInput input;
    };

    std::string percent(double share) { return std::to_string(std::lround(share * 100)) + "%"; }

    ModelInput makeInput(
        const Deployment& deployment, Situation situation, double load, PolicyName policy, const Options& options)
    {
        ModelInput input;
        input.deployment = deployment;
        input.situation = situation;
        input.load = load;
        input.policy = policy;
        input.limits = limitsFor(policy);
        input.seed = options.seed;
        const auto measured = static_cast<double>((input.duration - input.warmUp).count());
        input.duration = input.warmUp + base::Duration(static_cast<std::int64_t>(measured * options.scale));
        return input;
    }

    // Mean of the results of the seeds; the greatest value of slotsInUseMax.
    ModelResult mean(const std::vector<ModelResult>& results)
    {
        ModelResult sum;
        const auto count = static_cast<double>(results.size());
        for (const ModelResult& result : results) {
            sum.p50Ms += result.p50Ms / count;
            sum.p99Ms += result.p99Ms / count;
            sum.p999Ms += result.p999Ms / count;
            sum.refusedShare += result.refusedShare / count;
            sum.goodputShare += result.goodputShare / count;
            sum.forwardedShare += result.forwardedShare / count;
            sum.hedgedShare += result.hedgedShare / count;
            sum.loansPerSecond += result.loansPerSecond / count;
            sum.slowP99Ms += result.slowP99Ms / count;
            sum.slotsInUseMax = std::max(sum.slotsInUseMax, result.slotsInUseMax);
            sum.requests += result.requests;
        }
        return sum;
    }

    // Runs the cells that the filter selects, each with several seeds, on a few threads. Keeps the order of the cells.
    std::vector<std::pair<std::string, ModelResult>> runCells(
        std::vector<Cell> cells, int seeds, const Options& options)
    {
        std::erase_if(cells, [&](const Cell& cell) { return cell.name.find(options.filter) == std::string::npos; });
        const std::size_t perCell = static_cast<std::size_t>(seeds);
        std::vector<std::vector<ModelResult>> results(cells.size(), std::vector<ModelResult>(perCell));
        std::atomic<std::size_t> next = 0;
        const auto work = [&] {
            for (std::size_t index = next++; index < cells.size() * perCell; index = next++) {
                ModelInput input = cells[index / perCell].input;
                input.seed += index % perCell;
                results[index / perCell][index % perCell] = runModel(input);
            }
        };
        std::vector<std::thread> threads;
        for (int thread = 0; thread < std::max(1, options.jobs); ++thread)
            threads.emplace_back(work);
        for (std::thread& thread : threads)
            thread.join();
        std::vector<std::pair<std::string, ModelResult>> named;
        for (std::size_t index = 0; index < cells.size(); ++index)
            named.emplace_back(cells[index].name, mean(results[index]));
        return named;
    }

    Table makeTable(const std::string& title, std::vector<Cell> cells, const Options& options)
    {
        Table table;
        table.title = title;
        table.columns = { "p50 ms", "p99 ms", "p99.9 ms", "refused %", "goodput %", "slow p99 ms", "forwarded %",
            "hedged %", "loans/s", "slots max" };
        for (const auto& [name, result] : runCells(std::move(cells), seedsPerRow, options)) {
            table.rows.push_back({ name,
                { result.p50Ms, result.p99Ms, result.p999Ms, 100 * result.refusedShare, 100 * result.goodputShare,
                    result.slowP99Ms, 100 * result.forwardedShare, 100 * result.hedgedShare, result.loansPerSecond,
                    static_cast<double>(result.slotsInUseMax) } });
        }
        return table;
    }

    Table runPolicies(const Deployment& deployment, const Options& options)
    {
        std::vector<Cell> cells;
        for (const auto& [situation, situationName] : situationNames) {
            for (const double load : loads) {
                for (const auto& [policy, policyName] : policyNames) {
                    const std::string name
                        = std::string(situationName) + '/' + percent(load) + '/' + std::string(policyName);
                    cells.push_back({ name, makeInput(deployment, situation, load, policy, options) });
                }
            }
        }
        return makeTable("Routing policies, deployment " + deployment.name, std::move(cells), options);
    }

    // p99 at 80% load with one slow endpoint, as a ratio to the p99 without it, over several seeds.
    Table runTarget(const Options& options)
    {
        Table table;
        table.title = "p99 at 80% load with one endpoint ten times slower (target: ratio at most 1.5)";
        table.columns = { "steady p99 ms", "slow p99 ms", "ratio", "steady p99.9 ms", "slow p99.9 ms" };
        std::vector<Cell> cells;
        constexpr std::uint64_t seeds = 3;
        for (const Deployment& deployment : { deploymentA(), deploymentB() }) {
            for (const auto& [policy, policyName] : policyNames) {
                for (std::uint64_t seed = 0; seed < seeds; ++seed) {
                    const std::string name
                        = deployment.name + '/' + std::string(policyName) + "/seed" + std::to_string(seed);
                    for (const Situation situation : { Situation::Steady, Situation::SlowEndpoint }) {
                        ModelInput input = makeInput(deployment, situation, 0.8, policy, options);
                        input.seed += seed;
                        cells.push_back({ name, input });
                    }
                }
            }
        }
        const auto results = runCells(std::move(cells), 1, options);
        for (std::size_t index = 0; index + 1 < results.size(); index += 2) {
            const ModelResult& steady = results[index].second;
            const ModelResult& slow = results[index + 1].second;
            table.rows.push_back({ results[index].first,
                { steady.p99Ms, slow.p99Ms, slow.p99Ms / steady.p99Ms, steady.p999Ms, slow.p999Ms } });
        }
        return table;
    }

    struct SharingCase {
        std::string name;
        double load = 0;
        double skew = 0;          // extra share of requests at one entry instance
        bool isForwarding = true; // false: cut off from the other data centres
    };

    // Alternatives of design question Q3. Loans matter when one entry instance receives more requests than its peers,
    // and most when nothing can be forwarded to another data centre.
    Table runSharing(const Options& options)
    {
        const std::vector<SharingCase> cases { { "80%", 0.8, 0, true }, { "95%", 0.95, 0, true },
            { "80%/skew", 0.8, 0.1, true }, { "95%/skew", 0.95, 0.1, true }, { "50%/skew/cutOff", 0.5, 0.1, false },
            { "65%/skew/cutOff", 0.65, 0.1, false } };
        std::vector<Cell> cells;
        for (const Deployment& deployment : { deploymentA(), deploymentB() }) {
            for (const SharingCase& item : cases) {
                for (const auto& [sharing, sharingName] : sharingNames) {
                    ModelInput input
                        = makeInput(deployment, Situation::Steady, item.load, PolicyName::LatencyAware, options);
                    input.sharing = sharing;
                    input.clientSkew = item.skew;
                    if (!item.isForwarding)
                        input.limits.request.hopsMax = 0;
                    if (sharing == Sharing::StaticSplit)
                        input.limits.slots.loanMaxSlots = 0;
                    if (sharing == Sharing::SingleHome)
                        input.limits.slots.loanReserve = 0;
                    cells.push_back({ deployment.name + '/' + item.name + '/' + std::string(sharingName), input });
                }
            }
        }
        return makeTable("Sharing of slots between entry instances (Q3)", std::move(cells), options);
    }

    // Goodput around and above full load.
    Table runOverload(const Options& options)
    {
        std::vector<Cell> cells;
        for (const Deployment& deployment : { deploymentA(), deploymentB() }) {
            for (const double load : { 0.9, 1.0, 1.1, 1.2, 1.5, 2.0 }) {
                const ModelInput input
                    = makeInput(deployment, Situation::Steady, load, PolicyName::LatencyAware, options);
                cells.push_back({ deployment.name + '/' + percent(load), input });
            }
        }
        return makeTable("Overload: goodput stays near its peak", std::move(cells), options);
    }

    Router makeRouter(int endpoints, PolicyName policy, base::Rng& rng)
    {
        Router router;
        router.policy = policy;
        std::vector<EndpointInfo> list(static_cast<std::size_t>(endpoints));
        for (std::size_t index = 0; index < list.size(); ++index)
            list[index].id = { "endpoint" + std::to_string(index) };
        onEndpointList(router, list, base::TimePoint());
        for (const EndpointInfo& info : list) {
            for (std::uint64_t sent = base::below(rng, 4); sent > 0; --sent)
                onSent(router, info.id, base::TimePoint());
        }
        return router;
    }

    // Wall-clock time for one choice together with its onSent and onOutcome.
    Table runChoice(const Options& options)
    {
        Table table;
        table.title = "Time for one choice (wall clock; compare ratios within one run)";
        table.columns = { "50 endpoints ns", "500 endpoints ns", "3000 endpoints ns" };
        for (const auto& [policy, policyName] : policyNames) {
            Row row { std::string(policyName), {} };
            for (const int endpoints : { 50, 500, 3000 }) {
                base::Rng rng(options.seed);
                Router router = makeRouter(endpoints, policy, rng);
                const int count = std::max(1000, static_cast<int>(100000 * options.scale) * 50 / endpoints);
                base::TimePoint now;
                const base::TimePoint start = base::monotonicNow();
                for (int choice = 0; choice < count; ++choice) {
                    now += base::Duration(10);
                    const std::optional<base::EndpointId> chosen = chooseEndpoint(router, {}, now, rng);
                    onSent(router, *chosen, now);
                    onOutcome(router, *chosen, now, OutcomeKind::Success, now + base::milliseconds(5));
                }
                const base::Duration elapsed = base::monotonicNow() - start;
                row.values.push_back(1000.0 * static_cast<double>(elapsed.count()) / count);
            }
            table.rows.push_back(std::move(row));
        }
        return table;
    }

} // namespace

std::vector<Scenario> routingScenarios()
{
    return {
        { "routing-a", "all policies, situations and loads at deployment A (50 endpoints, 3 data centres)",
            [](const Options& options) { return runPolicies(deploymentA(), options); } },
        { "routing-b", "all policies, situations and loads at deployment B (65 endpoints, 4 data centres)",
            [](const Options& options) { return runPolicies(deploymentB(), options); } },
        { "routing-target", "p99 at 80% load with one slow endpoint against the p99 without it", runTarget },
        { "routing-sharing", "static split, split with loans and single home with leases", runSharing },
        { "routing-overload", "goodput from 90% to 200% load", runOverload },
        { "routing-choice", "time for one choice at 50, 500 and 3,000 endpoints", runChoice },
    };
}

} // namespace lacewing::bench
