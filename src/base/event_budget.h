// Bound on a queue of events that keeps a share for significant ones, and the last part of that share for kinds of
// event that are rare in the current period. A burst of routine events then never costs a significant one, and a burst
// of one kind of significant event never costs one of another kind. Tracked events may use the first part of the share:
// a burst of routine events never costs one of them either, and a burst of them leaves the rest to significant ones.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace lacewing::base {

enum class Significance {
    Routine,     // one of many alike: a start, a request
    Tracked,     // one of the few that make a record without holes: the start of a lasting task
    Significant, // a change of what the process believes: a term, lost contact, a refused record
};

// Events that were not admitted, since the start of the process.
struct EventDrops {
    std::uint64_t routine = 0;
    std::uint64_t significant = 0; // or tracked

    bool operator==(const EventDrops&) const = default;
};

struct EventBudget {
    std::map<std::string, int, std::less<>> admitted; // significant events of this period by kind
};

constexpr std::size_t significantShare = 4; // 1/4 of the limit is kept for significant events: 750 lines/s by default
constexpr std::size_t untrackedShare = 8;   // 1/8 of the limit is not for tracked events: 375 lines/s by default
constexpr std::size_t rareShare = 32;       // 1/32 of the limit is kept for rare kinds: 93 lines/s by default
constexpr int rareEvents = 8;               // events of a rare kind in a period; above the terms and plans of a second
constexpr std::size_t maxKinds = 256;       // kinds that are counted, more than the code has; others are not rare

// Returns whether an event of the kind fits into the limit when `used` of it is taken and the event takes `size`, and
// counts it.
bool admitEvent(EventBudget& budget, Significance significance, std::string_view kind, std::size_t used,
    std::size_t size, std::size_t limit);
// Begins a period.
inline void renew(EventBudget& budget) { budget.admitted.clear(); }

inline void countDrop(EventDrops& drops, Significance significance)
{
    ++(significance == Significance::Routine ? drops.routine : drops.significant);
}

} // namespace lacewing::base
