// Calls of a watch on the store, and how old its knowledge is: functions on plain data, used by StoreWatch.
//
// A long poll that will never be answered, because the store dropped it or its connection is dead, looks like one
// without changes. So the next call does not wait for one that is overdue: it is sent beside it, and the first answer
// counts. The overdue call may still be answered by a slow store. An answer that has begun to arrive is waited for,
// because on a slow link a second one would delay both.
#pragma once

#include "scheduler/types.h"

#include <cstdint>
#include <limits>
#include <vector>

namespace lacewing::daemon {

struct WatchTimes {
    int waitMs = 750;    // ms for which the store holds back an answer without changes
    int overdueMs = 250; // ms beyond the wait after which the next call is sent
    int gapMs = 0;       // ms between an answer with changes and the next call; combines changes in quick succession
    int retryMs = 250;   // ms after a failed call
};

// Times with which knowledge stays younger than `boundMs` while the store answers, also after one unanswered call.
// Knowledge is at most as old as two calls and the gap between them.
WatchTimes watchTimesWithin(int boundMs);

constexpr scheduler::Millis notDue = std::numeric_limits<scheduler::Millis>::max();
constexpr std::size_t maxWatchCalls = 3; // in progress at a time; one less than the connections of one use of the store

struct WatchCall {
    std::int64_t number = 0;
    scheduler::Millis sentAt = 0;
    bool isList = false;     // never overdue: its pages may be long for the link
    bool isArriving = false; // the answer has begun
};

// Invariants: `revision` and `askedAt` never decrease. `inProgress` has the calls in the order in which they were sent.
struct WatchCalls {
    std::int64_t revision = 0;     // of the store, up to which changes are known
    scheduler::Millis askedAt = 0; // changes that the store accepted before are known; 0: no answer yet
    scheduler::Millis nextAt = 0;  // when the next call is due; notDue: after the end of the newest
    bool needsList = true;         // the next call reads all items
    std::int64_t lastNumber = 0;
    std::vector<WatchCall> inProgress;
};

bool isCallDue(const WatchCalls& calls, scheduler::Millis now);
WatchCall beginCall(WatchCalls& calls, const WatchTimes& times, scheduler::Millis now);
// The answer to the call begins to arrive.
void applyBegin(WatchCalls& calls, const WatchCall& call);
// False when the answer tells nothing: a later one has been applied.
bool applyAnswer(WatchCalls& calls, const WatchTimes& times, const WatchCall& call, std::int64_t revision,
    bool hasChanges, scheduler::Millis now);
void applyFailure(
    WatchCalls& calls, const WatchTimes& times, const WatchCall& call, bool isHistoryGone, scheduler::Millis now);
// Sends the next call now if one that was sent before `now` is in progress without an answer: the store has become
// reachable, and may have dropped it.
void expectNoAnswer(WatchCalls& calls, scheduler::Millis now);

} // namespace lacewing::daemon
