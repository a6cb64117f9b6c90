// Interval of the group commit.
#include "store/group_commit.h"

#include <algorithm>

namespace lacewing::store {

void onReplyTime(GroupCommit& commit, base::Duration replyTime)
{
    constexpr double weight = 0.2;
    commit.replySeconds += weight * (base::toSeconds(replyTime) - commit.replySeconds);
}

base::Duration commitInterval(GroupCommit& commit, CallBudget& budget, base::TimePoint now)
{
    if (now - commit.adjustedAt < commit.limits.adjustEvery)
        return commit.interval;
    commit.adjustedAt = now;
    const bool isSlow = commit.replySeconds > base::toSeconds(commit.limits.slowReply);
    const bool isLow = freeWriteShare(budget, now) < commit.limits.lowBudget;
    if (isSlow || isLow)
        commit.interval = std::min(commit.limits.largest, commit.interval * 2);
    else
        commit.interval = std::max(commit.limits.smallest, commit.interval * 9 / 10);
    return commit.interval;
}

} // namespace lacewing::store
