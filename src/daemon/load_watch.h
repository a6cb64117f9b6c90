// Load of the scheduling daemon: processor time by activity, event loop lag and wait of orders, as one log line and a
// set of metrics a second.
//
// A daemon whose event loop lags handles answers late, so its time-outs are no evidence of a fault of the worker.
#pragma once

#include "base/metrics.h"
#include "base/names.h"
#include "base/time.h"
#include "scheduler/types.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace lacewing::daemon {

// Activities that are measured; the rest of the processor time is input, output and everything else.
enum class Activity { Plan, Reports, Orders, Progress, Log };

constexpr base::EnumNames<Activity, 5> activityNames { {
    { Activity::Plan, "plan" },
    { Activity::Reports, "reports" },
    { Activity::Orders, "orders" },
    { Activity::Progress, "progress" },
    { Activity::Log, "log" },
} };

// Counts of one second.
struct LoadCounts {
    base::Duration longestLag {}; // delay of a periodic timer after its due time
    std::array<base::Duration, activityNames.size()> activities {};
    int plans = 0;
    int renewals = 0;        // answered
    int renewalFailures = 0; // not answered in time
    int startsAnswered = 0;
    int startsLost = 0;   // without an answer, or never sent
    int startsUnsent = 0; // part of startsLost: timed out before the first byte was written
    int stopsAnswered = 0;
    int stopsLost = 0;          // without an answer, or never sent
    int startWindow = 0;        // limit of starts in flight
    int startLatencyMs = 0;     // moving average of the time from a start to its answer
    int longestOrderWaitMs = 0; // from the plan until the first byte was written
};

// Bytes over the link of this daemon since its start.
struct LinkTraffic {
    std::uint64_t storeRead = 0;
    std::uint64_t storeWritten = 0;
    std::uint64_t workersRead = 0;
    std::uint64_t workersWritten = 0;
    std::uint64_t peersRead = 0;
    std::uint64_t peersWritten = 0;
};

class LoadWatch {
public:
    explicit LoadWatch(base::Metrics& metrics);

    // Resets the counts at the beginning of a term.
    void start(const LinkTraffic& traffic);
    // To be called every `period` by the event loop.
    void tick(base::Duration period, const LinkTraffic& traffic);

    LoadCounts& counts() { return m_counts; }
    void recordOrderWait(int waitedMs);
    void add(Activity activity, base::Duration time);

private:
    void report(base::TimePoint now, const LinkTraffic& traffic);

    base::Metrics& m_metrics;
    LoadCounts m_counts;
    base::TimePoint m_tickedAt {};
    base::TimePoint m_reportedAt {};
    base::Duration m_processorTime {}; // of the process, at the last report
    LinkTraffic m_traffic;             // at the last report
};

// Adds the time of its scope to an activity.
class ActivityScope {
public:
    ActivityScope(LoadWatch& watch, Activity activity)
        : m_watch(watch)
        , m_activity(activity)
        , m_startedAt(base::monotonicNow())
    {
    }
    ~ActivityScope() { m_watch.add(m_activity, base::monotonicNow() - m_startedAt); }

    ActivityScope(const ActivityScope&) = delete;
    ActivityScope& operator=(const ActivityScope&) = delete;

private:
    LoadWatch& m_watch;
    Activity m_activity;
    base::TimePoint m_startedAt;
};

} // namespace lacewing::daemon
