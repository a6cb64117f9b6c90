// Bound on the accepted work: what the accepted jobs that have not ended may take in the memory of a scheduling daemon.
//
// Any daemon may have the next term, so that the smallest member counts. The scheduling daemon adds up the accepted
// jobs and tells the others with each reply; a daemon adds what it has accepted since. Several daemons that accept at
// once may exceed the limit by what they accept between two replies: it is a part of the memory only, and occurrences
// beyond it wait (scheduler/occurrences.h).
//
// Pure. Invariant: `accepted` is in the order of time and holds only what `load` does not count.
#pragma once

#include "scheduler/types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace lacewing::daemon {

// What the scheduling daemon knows.
struct WorkLoad {
    std::int64_t usedBytes = 0;
    std::int64_t limitBytes = 0;     // of the smallest member; 0: not known yet
    std::int64_t endedPerSecond = 0; // bytes of jobs that have ended, moving average
    scheduler::Millis asOf = 0;      // jobs accepted up to then are counted
};

struct AcceptedWork {
    scheduler::Millis at = 0;
    std::int64_t bytes = 0;
};

struct WorkBudget {
    std::int64_t ownLimitBytes = 0; // of this process
    WorkLoad load;
    std::deque<AcceptedWork> accepted; // by this daemon
    std::int64_t pendingBytes = 0;     // of submissions that are being stored
    // --- Scheduling daemon ---
    std::map<std::string, std::int64_t> memberLimits; // of the other daemons, bytes
    std::int64_t endedBytes = 0;                      // when the rate was measured last
    scheduler::Millis rateMeasuredAt = 0;             // 0: not yet in this term
};

enum class WorkVerdict {
    Admitted,
    Full,     // fits when other work has ended
    TooLarge, // does not fit beside any other work
};

// Bytes of accepted work that a process with this memory may hold.
std::int64_t workLimitBytes(int memoryMb, double workShare);
WorkVerdict decideWork(const WorkBudget& budget, std::int64_t bytes, int priority);
// After which a caller may find room, in s: when as much work has ended as is in excess, at the rate seen, and later
// for some ids than for others, so that callers do not return at once.
int workRetrySeconds(const WorkBudget& budget, std::int64_t bytes, int priority, const std::string& id);
std::int64_t workLimit(const WorkBudget& budget);
std::int64_t usedWork(const WorkBudget& budget);

// A submission is being stored; then it is accepted or not.
void beginSubmission(WorkBudget& budget, std::int64_t bytes);
void endSubmission(WorkBudget& budget, std::int64_t bytes, bool isAccepted, scheduler::Millis now);

// --- From the scheduling daemon to the others ---

// The scheduling daemon has added up the accepted jobs. endedBytes: of all jobs that have ended in its term.
void measureWork(
    WorkBudget& budget, std::int64_t usedBytes, std::int64_t endedBytes, scheduler::Millis asOf, scheduler::Millis now);
void applyWorkLoad(WorkBudget& budget, const WorkLoad& load);

} // namespace lacewing::daemon
