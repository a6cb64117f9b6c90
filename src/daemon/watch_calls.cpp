// Which call of a watch is due, and what its answer or failure changes.
#include "daemon/watch_calls.h"

#include <algorithm>

namespace lacewing::daemon {

namespace {

    // Returns whether the call was the newest.
    bool endCall(WatchCalls& calls, const WatchCall& call)
    {
        std::erase_if(calls.inProgress, [&](const WatchCall& other) { return other.number == call.number; });
        return call.number == calls.lastNumber;
    }

} // namespace

WatchTimes watchTimesWithin(int boundMs)
{
    WatchTimes times;
    times.waitMs = boundMs * 3 / 8;
    times.overdueMs = boundMs / 8;
    times.retryMs = boundMs / 8;
    return times;
}

bool isCallDue(const WatchCalls& calls, scheduler::Millis now)
{
    return now >= calls.nextAt && calls.inProgress.size() < maxWatchCalls;
}

WatchCall beginCall(WatchCalls& calls, const WatchTimes& times, scheduler::Millis now)
{
    const WatchCall call { ++calls.lastNumber, now, calls.needsList, false };
    calls.inProgress.push_back(call);
    calls.nextAt = call.isList ? notDue : now + times.waitMs + times.overdueMs;
    return call;
}

void applyBegin(WatchCalls& calls, const WatchCall& call)
{
    for (WatchCall& inProgress : calls.inProgress)
        inProgress.isArriving = inProgress.isArriving || inProgress.number == call.number;
    if (call.number == calls.lastNumber)
        calls.nextAt = notDue;
}

bool applyAnswer(WatchCalls& calls, const WatchTimes& times, const WatchCall& call, std::int64_t revision,
    bool hasChanges, scheduler::Millis now)
{
    const bool isNewest = endCall(calls, call);
    const bool isNews = call.isList ? calls.needsList && revision >= calls.revision : !calls.needsList;
    if (isNews) {
        calls.revision = std::max(calls.revision, revision);
        calls.askedAt = std::max(calls.askedAt, call.sentAt);
        calls.needsList = false;
    }
    if (isNewest || (call.isList && isNews))
        calls.nextAt = now + (!isNews ? times.retryMs : hasChanges && !call.isList ? times.gapMs : 0);
    return isNews;
}

void applyFailure(
    WatchCalls& calls, const WatchTimes& times, const WatchCall& call, bool isHistoryGone, scheduler::Millis now)
{
    const bool isNewest = endCall(calls, call);
    if (isHistoryGone && !calls.needsList) {
        calls.needsList = true;
        calls.nextAt = now;
    } else if (isNewest) {
        calls.nextAt = now + times.retryMs;
    }
}

void expectNoAnswer(WatchCalls& calls, scheduler::Millis now)
{
    if (calls.inProgress.empty())
        return;
    const WatchCall& newest = calls.inProgress.back();
    if (newest.sentAt < now && !newest.isArriving)
        calls.nextAt = std::min(calls.nextAt, now);
}

} // namespace lacewing::daemon
