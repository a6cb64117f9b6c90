// Group commit: chooses how long a daemon waits between two writes of one shard.
//
// The base interval is 200 ms. It doubles while the call budget is nearly used up or the store answers slowly, and
// shrinks in small steps when both are well again, so that the store is not written at full rate after an outage.
#pragma once

#include "base/time.h"
#include "store/call_budget.h"

namespace lacewing::store {

struct GroupCommitLimits {
    base::Duration smallest = base::milliseconds(200);
    base::Duration largest = base::seconds(5);
    base::Duration slowReply = base::milliseconds(100); // a reply later than this counts as slow
    double lowBudget = 0.25;                            // free share below which the interval grows
    base::Duration adjustEvery = base::seconds(1);
};

struct GroupCommit {
    GroupCommitLimits limits;
    base::Duration interval = base::milliseconds(200);
    base::TimePoint adjustedAt;
    double replySeconds = 0; // mean reply time, exponentially weighted
};

void onReplyTime(GroupCommit& commit, base::Duration replyTime);
// Adjusts the interval when due and returns it.
base::Duration commitInterval(GroupCommit& commit, CallBudget& budget, base::TimePoint now);

} // namespace lacewing::store
