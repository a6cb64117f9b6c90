// Set of whole numbers that is kept as ranges: its size follows the gaps between the numbers and not their count.
//
// Invariant: ranges neither overlap nor touch; `count` is the sum of their lengths.
#pragma once

#include <iterator>
#include <map>

namespace lacewing::scheduler {

struct NumberSet {
    std::map<int, int> ranges; // first number of a range and its last one
    int count = 0;
};

inline bool contains(const NumberSet& set, int number)
{
    const auto next = set.ranges.upper_bound(number);
    return next != set.ranges.begin() && std::prev(next)->second >= number;
}

// Numbers of the range that are in the set already stay in it.
inline void insertRange(NumberSet& set, int first, int last)
{
    auto next = set.ranges.upper_bound(first);
    if (next != set.ranges.begin() && std::prev(next)->second >= first - 1)
        --next;
    while (next != set.ranges.end() && next->first <= last + 1) {
        first = first < next->first ? first : next->first;
        last = last > next->second ? last : next->second;
        set.count -= next->second - next->first + 1;
        next = set.ranges.erase(next);
    }
    set.ranges.emplace(first, last);
    set.count += last - first + 1;
}

inline void insert(NumberSet& set, int number) { insertRange(set, number, number); }

} // namespace lacewing::scheduler
