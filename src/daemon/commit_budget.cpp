// Halves the size of transactions after a failure, and doubles it after a success.
#include "daemon/commit_budget.h"

#include <algorithm>

namespace lacewing::daemon {

namespace {

    constexpr std::int64_t minBytes = 2048;               // about one record of a job
    constexpr std::int64_t fastLinkBytes = 1024LL * 1024; // the store's longest value
    constexpr double shareOfTimeout = 0.25;               // of a call's time limit, for the transfer of the records

} // namespace

CommitBudget makeCommitBudget(double linkMbps, int callTimeoutMs)
{
    constexpr double bytesPerMsAtOneMbps = 125;
    CommitBudget budget;
    const double carried = linkMbps * bytesPerMsAtOneMbps * callTimeoutMs * shareOfTimeout;
    budget.maxBytes
        = linkMbps > 0 ? std::clamp(static_cast<std::int64_t>(carried), minBytes, fastLinkBytes) : fastLinkBytes;
    budget.bytes = budget.maxBytes;
    return budget;
}

void applySuccess(CommitBudget& budget)
{
    budget.isRenewalOnly = false;
    budget.bytes = std::min(budget.maxBytes, 2 * budget.bytes);
}

void applyFailure(CommitBudget& budget)
{
    budget.isRenewalOnly = true;
    budget.bytes = std::max(minBytes, budget.bytes / 2);
}

bool hasRoomFor(const CommitBudget& budget, std::int64_t bytes, std::int64_t more)
{
    return !budget.isRenewalOnly && (bytes == 0 || bytes + more <= budget.bytes);
}

} // namespace lacewing::daemon
