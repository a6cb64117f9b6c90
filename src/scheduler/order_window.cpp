// Additive increase, multiplicative decrease, as in the congestion control of TCP.
#include "scheduler/order_window.h"

#include <algorithm>

namespace lacewing::scheduler {

namespace {

    constexpr double targetAgeMs = 100; // ms; a quarter of the time-out of an order
    constexpr Millis silenceMs = 300;   // ms; below the time-out of an order
    constexpr double ageGain = 0.1;     // weight of the newest end
    constexpr double leastSize = 8;     // starts; keeps answers coming
    constexpr double largestSize = 512; // starts
    constexpr double growth = 8;        // starts for each window of answers
    constexpr double shrinkFactor = 0.7;
    constexpr Millis shrinkGapMs = 200; // ms; until answers show the effect of the last decrease

    void dropOld(OrderWindow& window, Millis now)
    {
        while (!window.orders.empty()) {
            const OrderWindow::Order& oldest = window.orders.front();
            if (!oldest.isAnswered && now - oldest.orderedAt < silenceMs)
                return;
            window.underWay -= oldest.isAnswered ? 0 : 1;
            window.orders.pop_front();
            ++window.firstNumber;
        }
    }

} // namespace

int openStarts(OrderWindow& window, Millis now)
{
    dropOld(window, now);
    return std::max(0, static_cast<int>(window.size) - window.underWay);
}

std::uint64_t recordOrder(OrderWindow& window, Millis now)
{
    window.orders.push_back({ now, false });
    ++window.underWay;
    return window.firstNumber + window.orders.size() - 1;
}

void recordEnd(OrderWindow& window, std::uint64_t number, Millis orderedAt, bool isWorkerSilent, Millis now)
{
    const bool isFull = window.underWay >= static_cast<int>(window.size / 2);
    if (number >= window.firstNumber) {
        OrderWindow::Order& order = window.orders[number - window.firstNumber];
        window.underWay -= order.isAnswered ? 0 : 1;
        order.isAnswered = true;
    }
    if (isWorkerSilent)
        return;
    window.ageMs += ageGain * (static_cast<double>(now - orderedAt) - window.ageMs);
    if (window.ageMs <= targetAgeMs) {
        if (isFull)
            window.size = std::min(largestSize, window.size + growth / window.size);
    } else if (now - window.shrunkAt >= shrinkGapMs) {
        window.size = std::max(leastSize, window.size * shrinkFactor);
        window.shrunkAt = now;
    }
}

} // namespace lacewing::scheduler
