// Budget: what clients make this process hold, shared by all of its HTTP servers.
//
// Addresses many clients that each stay within the limits of a connection and together exceed the memory or the
// descriptors of the process: bodies that stop before their end, unread responses, connections that are opened and
// abandoned. Each connection registers what it holds. When the sum exceeds the budget, nextToClose() names the holder
// that is refused or closed.
//
// Accounting and decisions only: no sockets, and the time is passed in. Used on one thread.
#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lacewing::http {

// Bytes charged for a connection itself: some 9 KB of objects (socket, timer, parser) and its read buffer.
constexpr std::int64_t connectionBytes = 24LL * 1024;

struct BudgetLimits {
    std::int64_t bytes = INT64_MAX;   // of all holdings
    std::size_t connections = 100000; // open at the same time, without those that are being closed
    std::size_t closing = 100000;     // refused and not closed yet; each keeps a descriptor
};

// Limits for a process that may use the given memory and descriptors. clientShare: part of the memory.
BudgetLimits budgetLimits(int memoryMb, double clientShare, int descriptors);

// What one connection holds.
struct Holding {
    enum class State {
        Waiting,   // no request, or a request that has not arrived completely
        Answering, // the handler works on the request
        Sending,   // the response is not yet passed completely to the operating system
        Closing,   // refused; its input is discarded
    };

    State state = State::Waiting;
    std::int64_t bytes = 0;
    // Begin of the request or of the wait for it; in Sending, the last time at which the caller read something.
    base::TimePoint since;
    std::size_t position = 0; // in Budget::holdings
};

struct Budget {
    BudgetLimits limits;
    // Sum of the bytes of all holdings. Changed only by the functions below.
    std::int64_t usedBytes = 0;
    std::vector<Holding*> holdings; // not owned; each is removed before it is destroyed
    std::size_t closing = 0;        // holdings in State::Closing
    std::int64_t highBytes = 0;     // largest usedBytes since the last takeTrim() that returned true
    base::TimePoint trimmedAt;
};

void addHolding(Budget& budget, Holding& holding);
void removeHolding(Budget& budget, Holding& holding);
void setHolding(Budget& budget, Holding& holding, Holding::State state, std::int64_t bytes);

std::size_t openConnections(const Budget& budget);

// True when the holdings and `further` bytes together exceed the budget.
bool isOver(const Budget& budget, std::int64_t further);

// The holder to refuse or close next: the one with the largest product of bytes and age that is not being answered and
// is at least minimumAge old. A response counts as being answered while its caller reads. nullptr: there is none.
Holding* nextToClose(const Budget& budget, base::TimePoint now, base::Duration minimumAge);

// True at most once a second, when the use has fallen so far that freed memory is worth returning to the system.
bool takeTrim(Budget& budget, base::TimePoint now);

} // namespace lacewing::http
