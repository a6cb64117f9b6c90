// Admission by what is left of the budget for accepted work.
#include "daemon/work_budget.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>

namespace lacewing::daemon {

namespace {

    constexpr std::int64_t bytesPerMb = 1'048'576;
    constexpr double batchShare = 0.9; // of the limit, for jobs that are not of the highest priority
    constexpr int shortestRetrySeconds = 1;
    constexpr int longestRetrySeconds = 60;            // also where no work has been seen to end
    constexpr scheduler::Millis ratePeriodMs = 1000;   // ms between measurements of the rate
    constexpr double rateGain = 0.2;                   // weight of the newest measurement
    constexpr scheduler::Millis acceptedPeriodMs = 50; // ms of acceptances that are kept as one entry

    std::int64_t limitFor(const WorkBudget& budget, int priority)
    {
        const double share = priority > 0 ? batchShare : 1;
        return static_cast<std::int64_t>(share * static_cast<double>(workLimit(budget)));
    }

} // namespace

std::int64_t workLimitBytes(int memoryMb, double workShare)
{
    return static_cast<std::int64_t>(workShare * static_cast<double>(memoryMb) * static_cast<double>(bytesPerMb));
}

std::int64_t workLimit(const WorkBudget& budget)
{
    return budget.load.limitBytes > 0 ? std::min(budget.load.limitBytes, budget.ownLimitBytes) : budget.ownLimitBytes;
}

std::int64_t usedWork(const WorkBudget& budget)
{
    std::int64_t bytes = budget.load.usedBytes + budget.pendingBytes;
    for (const AcceptedWork& work : budget.accepted)
        bytes += work.bytes;
    return bytes;
}

WorkVerdict decideWork(const WorkBudget& budget, std::int64_t bytes, int priority)
{
    const std::int64_t limit = limitFor(budget, priority);
    if (bytes > limit)
        return WorkVerdict::TooLarge;
    return usedWork(budget) + bytes > limit ? WorkVerdict::Full : WorkVerdict::Admitted;
}

int workRetrySeconds(const WorkBudget& budget, std::int64_t bytes, int priority, const std::string& id)
{
    const std::int64_t excess = usedWork(budget) + bytes - limitFor(budget, priority);
    int seconds = longestRetrySeconds;
    if (budget.load.endedPerSecond > 0) {
        const double needed = std::ceil(static_cast<double>(excess) / static_cast<double>(budget.load.endedPerSecond));
        seconds = static_cast<int>(std::clamp<double>(needed, shortestRetrySeconds, longestRetrySeconds));
    }
    return seconds + static_cast<int>(base::stableHash(id) % static_cast<std::uint64_t>(seconds));
}

void beginSubmission(WorkBudget& budget, std::int64_t bytes) { budget.pendingBytes += bytes; }

void endSubmission(WorkBudget& budget, std::int64_t bytes, bool isAccepted, scheduler::Millis now)
{
    budget.pendingBytes -= bytes;
    if (!isAccepted || bytes == 0)
        return;
    if (!budget.accepted.empty() && now - budget.accepted.back().at < acceptedPeriodMs)
        budget.accepted.back().bytes += bytes;
    else
        budget.accepted.push_back({ now, bytes });
}

void measureWork(
    WorkBudget& budget, std::int64_t usedBytes, std::int64_t endedBytes, scheduler::Millis asOf, scheduler::Millis now)
{
    WorkLoad load { usedBytes, budget.ownLimitBytes, budget.load.endedPerSecond, asOf };
    for (const auto& [daemon, limit] : budget.memberLimits)
        load.limitBytes = std::min(load.limitBytes, limit);
    const scheduler::Millis passedMs = now - budget.rateMeasuredAt;
    if (budget.rateMeasuredAt == 0 || endedBytes < budget.endedBytes) { // a new term counts anew
        budget.rateMeasuredAt = now;
        budget.endedBytes = endedBytes;
    } else if (passedMs >= ratePeriodMs) {
        const double rate = static_cast<double>(endedBytes - budget.endedBytes) * 1000 / static_cast<double>(passedMs);
        load.endedPerSecond += static_cast<std::int64_t>(rateGain * (rate - static_cast<double>(load.endedPerSecond)));
        budget.rateMeasuredAt = now;
        budget.endedBytes = endedBytes;
    }
    applyWorkLoad(budget, load);
}

void applyWorkLoad(WorkBudget& budget, const WorkLoad& load)
{
    budget.load = load;
    while (!budget.accepted.empty() && budget.accepted.front().at <= load.asOf)
        budget.accepted.pop_front();
}

} // namespace lacewing::daemon
