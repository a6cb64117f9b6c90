// Admission of events to a bounded queue.
#include "base/event_budget.h"

namespace lacewing::base {

bool admitEvent(EventBudget& budget, Significance significance, std::string_view kind, std::size_t used,
    std::size_t size, std::size_t limit)
{
    const std::size_t total = used + size;
    if (significance == Significance::Routine)
        return total <= limit - limit / significantShare;
    if (significance == Significance::Tracked)
        return total <= limit - limit / untrackedShare;
    auto count = budget.admitted.find(kind);
    if (count == budget.admitted.end() && budget.admitted.size() < maxKinds)
        count = budget.admitted.emplace(kind, 0).first;
    const bool isRare = count != budget.admitted.end() && count->second < rareEvents;
    if (total > limit - (isRare ? 0 : limit / rareShare))
        return false;
    if (count != budget.admitted.end())
        ++count->second;
    return true;
}

} // namespace lacewing::base
