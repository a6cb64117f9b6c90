// Call budget: bounds a daemon's writes/s and reads/s at the store, and counts them.
//
// Two token buckets with a burst of one second. A waiting watch counts as one read call.
#pragma once

#include "base/time.h"

#include <cstdint>

namespace lacewing::store {

struct CallRate {
    double perSecond = 0;
    double tokens = 0;         // calls allowed now
    base::TimePoint updatedAt; // of tokens
    std::uint64_t taken = 0;   // calls made
    std::uint64_t refused = 0; // calls over the budget
};

struct CallBudget {
    CallBudget(double writesPerSecond, double readsPerSecond, base::TimePoint now);

    CallRate writes;
    CallRate reads;
};

// Takes one call from the budget; false when it is used up.
bool takeWrite(CallBudget& budget, base::TimePoint now);
bool takeRead(CallBudget& budget, base::TimePoint now);
// Share of the write budget that is free, 0 to 1.
double freeWriteShare(CallBudget& budget, base::TimePoint now);

} // namespace lacewing::store
