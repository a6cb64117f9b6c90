// Additive increase, multiplicative decrease (AIMD), as in TCP congestion control.
#include "scheduler/order_window.h"

#include <algorithm>
#include <cmath>

namespace lacewing::scheduler {

namespace {

    constexpr double targetLatencyMs = 100;      // ms; a quarter of the time-out of an order
    constexpr Millis inFlightLimitMs = 300;      // ms; below the time-out of an order
    constexpr double latencyGain = 0.1;          // weight of the newest completion
    constexpr double unansweredGain = 0.05;      // weight of the newest completion
    constexpr double unansweredShareLimit = 0.5; // above it the daemon's own link or event loop loses the answers
    constexpr double latencyDecayMs = 1000;      // ms; time constant of the decay of latencyMs while no start completes
    constexpr double minSize = 8;                // starts; enough to keep answers coming
    constexpr double maxSize = 512;              // starts
    constexpr double increase = 8;               // starts for each window of answers
    constexpr double decreaseFactor = 0.7;
    constexpr Millis decreaseIntervalMs = 200; // ms; answers show the effect of a decrease only after this time

    void decrease(OrderWindow& window, Millis now)
    {
        if (now - window.decreasedAt < decreaseIntervalMs)
            return;
        window.size = std::max(minSize, window.size * decreaseFactor);
        window.decreasedAt = now;
    }

    void dropSettled(OrderWindow& window, Millis now)
    {
        while (!window.orders.empty()) {
            const OrderWindow::Order& oldest = window.orders.front();
            if (!oldest.isAnswered && now - oldest.orderedAt < inFlightLimitMs)
                return;
            window.inFlight -= oldest.isAnswered ? 0 : 1;
            window.orders.pop_front();
            ++window.firstNumber;
        }
    }

} // namespace

int availableStarts(OrderWindow& window, Millis now)
{
    dropSettled(window, now);
    window.latencyMs
        *= std::exp(-static_cast<double>(std::max<Millis>(0, now - window.latencyUpdatedAt)) / latencyDecayMs);
    window.latencyUpdatedAt = now;
    return std::max(0, static_cast<int>(window.size) - window.inFlight);
}

std::uint64_t recordOrder(OrderWindow& window, Millis now)
{
    window.orders.push_back({ now, false });
    ++window.inFlight;
    return window.firstNumber + window.orders.size() - 1;
}

void recordCompletion(OrderWindow& window, std::uint64_t number, Millis orderedAt, bool isUnanswered, Millis now)
{
    const bool isFull = window.inFlight >= static_cast<int>(window.size / 2);
    if (number >= window.firstNumber) {
        OrderWindow::Order& order = window.orders[number - window.firstNumber];
        window.inFlight -= order.isAnswered ? 0 : 1;
        order.isAnswered = true;
    }
    window.unansweredShare += unansweredGain * ((isUnanswered ? 1 : 0) - window.unansweredShare);
    if (isUnanswered) {
        if (window.unansweredShare > unansweredShareLimit)
            decrease(window, now);
        return;
    }
    window.latencyMs += latencyGain * (static_cast<double>(now - orderedAt) - window.latencyMs);
    window.latencyUpdatedAt = now;
    if (window.latencyMs <= targetLatencyMs) {
        if (isFull)
            window.size = std::min(maxSize, window.size + increase / window.size);
    } else {
        decrease(window, now);
    }
}

} // namespace lacewing::scheduler
