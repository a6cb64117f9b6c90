// How many bytes of records one transaction carries beside the renewal of the term.
//
// The renewal must be answered within a fixed time, and shares its call with the records that wait. On a thin link a
// transaction of many records would not arrive in that time, and would be tried again in the same size.
//
// Pure. Invariant: after a failed transaction the next one carries only the renewal.
#pragma once

#include <cstdint>

namespace lacewing::daemon {

struct CommitBudget {
    std::int64_t maxBytes = 0;  // that the link carries in a part of the time limit of a call
    std::int64_t bytes = 0;     // at present, at most maxBytes
    bool isRenewalOnly = false; // the last transaction failed
};

// linkMbps: 0: unknown, treated as fast.
CommitBudget makeCommitBudget(double linkMbps, int callTimeoutMs);
void applySuccess(CommitBudget& budget);
void applyFailure(CommitBudget& budget);
// Whether a transaction that carries `bytes` already, in records, has room for `more`. One record always fits an empty
// transaction, unless only the renewal is to be sent.
bool hasRoomFor(const CommitBudget& budget, std::int64_t bytes, std::int64_t more);

} // namespace lacewing::daemon
