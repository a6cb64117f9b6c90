// Decisions that wait to be logged. Their number is bounded; a share is kept for significant ones.
#include "scheduler/internal.h"

#include <algorithm>
#include <array>
#include <utility>

namespace lacewing::scheduler {

namespace {

    constexpr std::size_t maxDecisions = 2000; // that wait to be logged; about 0.5 MB

    constexpr std::array<std::string_view, 15> significantEvents {
        "accountCap",
        "answerOutdated",
        "formerOrdersFenced",
        "jobWaiting",
        "lastingTaskDown",
        "leaseExpired",
        "placement",
        "placementsApplied",
        "runRecordsApplied",
        "termAccounted",
        "termWaiting",
        "workerAvoided",
        "workerDraining",
        "workerRestarted",
        "workerVacated",
    };

    // The first announcement of a worker and its first report in a term are routine; these outcomes are not.
    constexpr std::array<std::pair<std::string_view, std::string_view>, 4> significantOutcomes { {
        { "workerContact", "lost" },
        { "workerContact", "regained" },
        { "workerListed", "listed" },
        { "workerListed", "missing" },
    } };

    bool isSignificant(const Decision& decision)
    {
        return std::find(significantEvents.begin(), significantEvents.end(), decision.event) != significantEvents.end()
            || std::any_of(significantOutcomes.begin(), significantOutcomes.end(),
                [&](const auto& entry) { return entry.first == decision.event && entry.second == decision.outcome; });
    }

} // namespace

base::Significance significanceOf(const Decision& decision)
{
    if (isSignificant(decision))
        return base::Significance::Significant;
    return decision.isOfLastingTask ? base::Significance::Tracked : base::Significance::Routine;
}

void logRunDecision(Scheduler& scheduler, const TaskRef& ref, Decision decision)
{
    decision.isOfLastingTask = ref.step->isLasting;
    logDecision(scheduler, std::move(decision));
}

void logDecision(Scheduler& scheduler, Decision decision)
{
    const base::Significance significance = significanceOf(decision);
    if (base::admitEvent(
            scheduler.decisionBudget, significance, decision.event, scheduler.decisions.size(), 1, maxDecisions))
        scheduler.decisions.push_back(std::move(decision));
    else
        base::countDrop(scheduler.droppedDecisions, significance);
}

std::vector<Decision> takeDecisions(Scheduler& scheduler)
{
    base::renew(scheduler.decisionBudget);
    return std::exchange(scheduler.decisions, {});
}

} // namespace lacewing::scheduler
