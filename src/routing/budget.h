// Budget of extra attempts as a share of requests, for retries (10%) and hedges (5%).
#pragma once

#include <algorithm>

namespace lacewing::routing {

struct ShareBudget {
    double share = 0.1;  // extra attempts for each request
    double burst = 20.0; // unused extra attempts that are kept
    double tokens = 0;   // extra attempts allowed now
};

inline void onRequest(ShareBudget& budget) { budget.tokens = std::min(budget.burst, budget.tokens + budget.share); }

// Takes one extra attempt. False when the budget is empty.
inline bool tryTake(ShareBudget& budget)
{
    // The tolerance covers the rounding of repeated additions of the share.
    if (budget.tokens < 1.0 - 1e-9)
        return false;
    budget.tokens -= 1.0;
    return true;
}

} // namespace lacewing::routing
