// Additive increase, multiplicative decrease, as in the congestion control of TCP.
#include "scheduler/order_window.h"

#include <algorithm>
#include <cmath>

namespace lacewing::scheduler {

namespace {

    constexpr double targetAgeMs = 100;      // ms; a quarter of the time-out of an order
    constexpr Millis silenceMs = 300;        // ms; below the time-out of an order
    constexpr double ageGain = 0.1;          // weight of the newest end
    constexpr double silenceGain = 0.05;     // weight of the newest end
    constexpr double silentShareLimit = 0.5; // of starts; more are lost by the daemon's own link or event loop
    constexpr double ageMemoryMs = 1000;     // ms; decay of the age while no start ends
    constexpr double leastSize = 8;          // starts; keeps answers coming
    constexpr double largestSize = 512;      // starts
    constexpr double growth = 8;             // starts for each window of answers
    constexpr double shrinkFactor = 0.7;
    constexpr Millis shrinkGapMs = 200; // ms; until answers show the effect of the last decrease

    void shrink(OrderWindow& window, Millis now)
    {
        if (now - window.shrunkAt < shrinkGapMs)
            return;
        window.size = std::max(leastSize, window.size * shrinkFactor);
        window.shrunkAt = now;
    }

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
    window.ageMs *= std::exp(-static_cast<double>(std::max<Millis>(0, now - window.agedAt)) / ageMemoryMs);
    window.agedAt = now;
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
    window.silentShare += silenceGain * ((isWorkerSilent ? 1 : 0) - window.silentShare);
    if (isWorkerSilent) {
        if (window.silentShare > silentShareLimit)
            shrink(window, now);
        return;
    }
    window.ageMs += ageGain * (static_cast<double>(now - orderedAt) - window.ageMs);
    window.agedAt = now;
    if (window.ageMs <= targetAgeMs) {
        if (isFull)
            window.size = std::min(largestSize, window.size + growth / window.size);
    } else {
        shrink(window, now);
    }
}

} // namespace lacewing::scheduler
