// Bound on the starts that are under way between the daemon and the workers.
//
// A daemon that orders more than it can send gets behind, and what expires in its queues is ordered again: the load
// does not fall when its cause is gone. The window keeps the time from an order to its answer near a target: it grows
// while answers come sooner and shrinks when they come later, whatever the processor time of the daemon.
//
// Invariant: at most `size` starts younger than inFlightLimitMs have no answer. Older ones wait for a worker, not for
// the daemon.
#pragma once

#include "scheduler/types.h"

#include <deque>

namespace lacewing::scheduler {

struct OrderWindow {
    double size = 16;            // starts
    double latencyMs = 0;        // smoothed time from an order to its end
    Millis latencyUpdatedAt = 0; // last change of latencyMs
    double unansweredShare = 0;  // smoothed share of starts that were sent and had no answer
    Millis decreasedAt = 0;      // last decrease
    // --- Starts without an answer, oldest first ---
    struct Order {
        Millis orderedAt = 0;
        bool isAnswered = false;
    };
    std::deque<Order> orders;
    std::uint64_t firstNumber = 0; // of the front
    int inFlight = 0;              // of the orders, without an answer
};

// Starts that may be ordered now.
int availableStarts(OrderWindow& window, Millis now);
// Returns the number of the order, for its answer.
std::uint64_t recordOrder(OrderWindow& window, Millis now);
// The order was answered, whatever the answer, or given up. isUnanswered: it was sent, and its time tells nothing
// about the daemon, unless most workers are silent.
void recordCompletion(OrderWindow& window, std::uint64_t number, Millis orderedAt, bool isUnanswered, Millis now);

} // namespace lacewing::scheduler
