// Accumulates counts for one second, then writes them as a log line and to the metrics.
#include "daemon/load_watch.h"

#include "kernel/log.h"

#include <algorithm>
#include <ctime>

namespace lacewing::daemon {

namespace {

    constexpr base::Duration reportPeriod = base::seconds(1);

    // Of this process, over all threads.
    base::Duration processorTime()
    {
        return base::Duration(static_cast<base::Duration::rep>(std::clock()) * 1000000 / CLOCKS_PER_SEC);
    }

} // namespace

LoadWatch::LoadWatch(base::Metrics& metrics)
    : m_metrics(metrics)
{
}

void LoadWatch::start(const LinkTraffic& traffic)
{
    m_counts = {};
    m_traffic = traffic;
    m_tickedAt = m_reportedAt = base::monotonicNow();
    m_processorTime = processorTime();
}

void LoadWatch::tick(base::Duration period, const LinkTraffic& traffic)
{
    const base::TimePoint now = base::monotonicNow();
    m_counts.longestLag = std::max(m_counts.longestLag, now - m_tickedAt - period);
    m_tickedAt = now;
    if (now - m_reportedAt >= reportPeriod)
        report(now, traffic);
}

void LoadWatch::recordOrderWait(int waitedMs)
{
    m_counts.longestOrderWaitMs = std::max(m_counts.longestOrderWaitMs, waitedMs);
    m_metrics
        .latency("lacewing_order_wait_seconds", "Time of an order in this daemon before its first byte was written.")
        .record(base::milliseconds(waitedMs));
}

void LoadWatch::add(Activity activity, base::Duration time)
{
    m_counts.activities[static_cast<std::size_t>(activity)] += time;
}

void LoadWatch::report(base::TimePoint now, const LinkTraffic& traffic)
{
    const auto bytes
        = [](std::uint64_t total, std::uint64_t before) { return static_cast<std::int64_t>(total - before); };
    const base::Duration processor = processorTime();
    const auto activityMs = [this](Activity activity) {
        return base::toMilliseconds(m_counts.activities[static_cast<std::size_t>(activity)]);
    };
    kernel::logEvent(kernel::LogLevel::Notice, "dispatcher", "load",
        { { "periodMs", base::toMilliseconds(now - m_reportedAt) },
            { "processorMs", base::toMilliseconds(processor - m_processorTime) },
            { "longestLagMs", base::toMilliseconds(m_counts.longestLag) }, { "plans", m_counts.plans },
            { "planMs", activityMs(Activity::Plan) }, { "reportsMs", activityMs(Activity::Reports) },
            { "ordersMs", activityMs(Activity::Orders) }, { "progressMs", activityMs(Activity::Progress) },
            { "logMs", activityMs(Activity::Log) }, { "renewals", m_counts.renewals },
            { "renewalFailures", m_counts.renewalFailures }, { "startsAnswered", m_counts.startsAnswered },
            { "startsLost", m_counts.startsLost }, { "startsUnsent", m_counts.startsUnsent },
            { "stopsAnswered", m_counts.stopsAnswered }, { "stopsLost", m_counts.stopsLost },
            { "startWindow", m_counts.startWindow }, { "startAgeMs", m_counts.startLatencyMs },
            { "longestOrderWaitMs", m_counts.longestOrderWaitMs },
            { "storeBytesRead", bytes(traffic.storeRead, m_traffic.storeRead) },
            { "storeBytesWritten", bytes(traffic.storeWritten, m_traffic.storeWritten) },
            { "workerBytesRead", bytes(traffic.workersRead, m_traffic.workersRead) },
            { "workerBytesWritten", bytes(traffic.workersWritten, m_traffic.workersWritten) },
            { "peerBytesRead", bytes(traffic.peersRead, m_traffic.peersRead) },
            { "peerBytesWritten", bytes(traffic.peersWritten, m_traffic.peersWritten) } });
    m_metrics.latency("lacewing_loop_lag_seconds", "Longest lag of the scheduling daemon's event loop in each second.")
        .record(m_counts.longestLag);
    for (const auto& [activity, name] : activityNames)
        m_metrics
            .gauge("lacewing_scheduling_seconds", "Time of the scheduling daemon by activity.",
                { { "activity", std::string(name) } })
            .value
            += base::toSeconds(m_counts.activities[static_cast<std::size_t>(activity)]);
    m_metrics.counter("lacewing_orders_lost_total", "Starts and stops without an answer.").value
        += static_cast<std::uint64_t>(m_counts.startsLost) + static_cast<std::uint64_t>(m_counts.stopsLost);
    m_counts = {};
    m_traffic = traffic;
    m_reportedAt = now;
    m_processorTime = processor;
}

} // namespace lacewing::daemon
