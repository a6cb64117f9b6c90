// Congestion window: bounds the starts in flight between the daemon and the workers.
//
// A daemon that orders more starts than it can send builds up a backlog, and starts that expire in its queues are
// ordered again: the overload persists after its cause is gone. The window keeps the latency from an order to its
// answer near a target, however much processor time the daemon has: it grows while the latency is below the target and
// shrinks while it is above.
//
// Invariant: at most `size` starts younger than inFlightLimitMs have no answer. Older ones wait for a worker, not for
// the daemon, and are not counted.
#pragma once

#include "scheduler/types.h"

#include <deque>

namespace lacewing::scheduler {

struct OrderWindow {
    double size = 16;            // starts
    double latencyMs = 0;        // moving average of the time from an order to its completion
    Millis latencyUpdatedAt = 0; // last update of latencyMs
    double unansweredShare = 0;  // moving average of the share of starts that were sent and not answered
    Millis decreasedAt = 0;      // last decrease of `size`
    // --- Starts without an answer, oldest first ---
    struct Order {
        Millis orderedAt = 0;
        bool isAnswered = false;
    };
    std::deque<Order> orders;
    std::uint64_t firstNumber = 0; // number of the front order
    int inFlight = 0;              // number of `orders` without an answer
};

// Number of starts that may be ordered now.
int availableStarts(OrderWindow& window, Millis now);
// Returns the number of the order, to be passed to recordCompletion.
std::uint64_t recordOrder(OrderWindow& window, Millis now);
// The order was answered, with any outcome, or abandoned. isUnanswered: it was sent without an answer; its latency is
// ignored, because it depends on the worker, but the window shrinks when most starts are unanswered.
void recordCompletion(OrderWindow& window, std::uint64_t number, Millis orderedAt, bool isUnanswered, Millis now);

} // namespace lacewing::scheduler
