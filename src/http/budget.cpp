// Sums of the holdings, and the choice of the holder to close.
#include "http/budget.h"

#include <algorithm>

namespace lacewing::http {

namespace {

    constexpr std::int64_t bytesPerMb = 1024LL * 1024;
    // Smallest budget: one request at the limit of 1 MiB, its copy while the buffer grows, and some connections.
    constexpr std::int64_t minimumBytes = 8 * bytesPerMb;
    // Half of the descriptors is for clients; the store, the workers and the peers use the others (some 3 for each of
    // 350 workers).
    constexpr int descriptorParts = 2;
    constexpr std::size_t leastConnections = 16;
    // A refused connection keeps its descriptor for the time of the lingering close (1 s).
    constexpr std::size_t mostClosing = 128;
    // A caller that has read nothing of its response for this long is not being answered any more. Callers on a working
    // network read within a round trip.
    constexpr base::Duration stalledAfter = base::seconds(2);
    // Weight of a new holder: with an age of 0 its size would not count.
    constexpr base::Duration ageOffset = base::seconds(1);

    // --- Trimming ---
    // malloc_trim() takes some ms on a small machine, so that smaller amounts are left to the allocator for reuse.
    constexpr std::int64_t trimBytes = 8 * bytesPerMb;
    constexpr base::Duration trimInterval = base::seconds(1);

    bool isClosable(const Holding& holding, base::Duration age)
    {
        switch (holding.state) {
        case Holding::State::Waiting:
            return true;
        case Holding::State::Sending:
            return age >= stalledAfter;
        case Holding::State::Answering:
        case Holding::State::Closing: // ends by itself after the time of the lingering close
            return false;
        }
        return false;
    }

} // namespace

BudgetLimits budgetLimits(int memoryMb, double clientShare, int descriptors)
{
    BudgetLimits limits;
    const auto share = static_cast<std::int64_t>(clientShare * static_cast<double>(memoryMb * bytesPerMb));
    limits.bytes = std::max(minimumBytes, share);
    limits.connections
        = std::max<std::size_t>(leastConnections, static_cast<std::size_t>(descriptors / descriptorParts));
    limits.closing = std::min(mostClosing, limits.connections / 4);
    return limits;
}

void addHolding(Budget& budget, Holding& holding)
{
    holding.position = budget.holdings.size();
    budget.holdings.push_back(&holding);
    budget.usedBytes += holding.bytes;
    budget.closing += holding.state == Holding::State::Closing ? 1 : 0;
}

void removeHolding(Budget& budget, Holding& holding)
{
    if (holding.position >= budget.holdings.size() || budget.holdings[holding.position] != &holding)
        return;
    budget.holdings[holding.position] = budget.holdings.back();
    budget.holdings[holding.position]->position = holding.position;
    budget.holdings.pop_back();
    budget.usedBytes -= holding.bytes;
    budget.closing -= holding.state == Holding::State::Closing ? 1 : 0;
}

void setHolding(Budget& budget, Holding& holding, Holding::State state, std::int64_t bytes)
{
    budget.closing += state == Holding::State::Closing ? 1 : 0;
    budget.closing -= holding.state == Holding::State::Closing ? 1 : 0;
    budget.usedBytes += bytes - holding.bytes;
    budget.highBytes = std::max(budget.highBytes, budget.usedBytes);
    holding.state = state;
    holding.bytes = bytes;
}

std::size_t openConnections(const Budget& budget) { return budget.holdings.size() - budget.closing; }

bool isOver(const Budget& budget, std::int64_t further) { return budget.usedBytes > budget.limits.bytes - further; }

Holding* nextToClose(const Budget& budget, base::TimePoint now, base::Duration minimumAge)
{
    Holding* chosen = nullptr;
    double largest = -1;
    for (Holding* holding : budget.holdings) {
        const base::Duration age = now - holding->since;
        const double weight = static_cast<double>(holding->bytes) * base::toSeconds(age + ageOffset);
        if (age >= minimumAge && weight > largest && isClosable(*holding, age)) {
            chosen = holding;
            largest = weight;
        }
    }
    return chosen;
}

bool takeTrim(Budget& budget, base::TimePoint now)
{
    if (budget.highBytes - budget.usedBytes < trimBytes || now - budget.trimmedAt < trimInterval)
        return false;
    budget.highBytes = budget.usedBytes;
    budget.trimmedAt = now;
    return true;
}

} // namespace lacewing::http
