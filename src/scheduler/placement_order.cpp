// Turns of waiting steps and their order.
#include "scheduler/placement_order.h"

#include "scheduler/account_share.h"

#include <algorithm>
#include <tuple>

namespace lacewing::scheduler {

namespace {

    // ms with nothing running after which a job goes before others; the platform counts a job as lost after 3000 ms
    constexpr Millis starvationMs = 1500;

    Order orderOf(Timeliness timeliness)
    {
        switch (timeliness) {
        case Timeliness::InTime:
            return Order::InTime;
        case Timeliness::Late:
            return Order::Late;
        case Timeliness::PastGracePeriod:
            break;
        }
        return Order::PastGracePeriod;
    }

    auto keyOf(const Turn& turn)
    {
        const Candidate& candidate = *turn.candidate;
        return std::tuple(!candidate.isRestart, candidate.priority, turn.order != Order::Starved,
            candidate.isBeyondRate, turn.order, isFirstRun(turn) ? candidate.idleSince : candidate.deadlineUnixMs,
            candidate.jobRank);
    }

} // namespace

bool isFirstRun(const Turn& turn) { return turn.order == Order::Starved || turn.order == Order::FirstRun; }

std::vector<Turn> placementOrder(const Planner& planner)
{
    std::vector<Turn> turns;
    turns.reserve(2 * planner.candidates.size());
    for (const Candidate& candidate : planner.candidates) {
        turns.push_back({ &candidate, orderOf(candidate.timeliness) });
        if (candidate.idleSince == 0)
            continue;
        if (planner.now - candidate.idleSince >= starvationMs)
            turns.push_back({ &candidate, Order::Starved });
        else if (candidate.timeliness != Timeliness::InTime)
            turns.push_back({ &candidate, Order::FirstRun });
    }
    std::sort(turns.begin(), turns.end(), [](const Turn& a, const Turn& b) { return keyOf(a) < keyOf(b); });
    orderByShare(planner, turns);
    return turns;
}

} // namespace lacewing::scheduler
