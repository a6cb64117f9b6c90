// Token buckets of the call budget.
#include "store/call_budget.h"

#include <algorithm>

namespace lacewing::store {

namespace {

    void refill(CallRate& rate, base::TimePoint now)
    {
        const double elapsed = std::max(0.0, base::toSeconds(now - rate.updatedAt));
        rate.tokens = std::min(std::max(rate.perSecond, 1.0), rate.tokens + elapsed * rate.perSecond);
        rate.updatedAt = std::max(now, rate.updatedAt);
    }

    bool take(CallRate& rate, base::TimePoint now)
    {
        refill(rate, now);
        if (rate.tokens < 1) {
            ++rate.refused;
            return false;
        }
        rate.tokens -= 1;
        ++rate.taken;
        return true;
    }

    CallRate fullRate(double perSecond, base::TimePoint now)
    {
        return { perSecond, std::max(perSecond, 1.0), now, 0, 0 };
    }

} // namespace

CallBudget::CallBudget(double writesPerSecond, double readsPerSecond, base::TimePoint now)
    : writes(fullRate(writesPerSecond, now))
    , reads(fullRate(readsPerSecond, now))
{
}

bool takeWrite(CallBudget& budget, base::TimePoint now) { return take(budget.writes, now); }

bool takeRead(CallBudget& budget, base::TimePoint now) { return take(budget.reads, now); }

double freeWriteShare(CallBudget& budget, base::TimePoint now)
{
    refill(budget.writes, now);
    return std::clamp(budget.writes.tokens / std::max(budget.writes.perSecond, 1.0), 0.0, 1.0);
}

} // namespace lacewing::store
