// Metrics of one process: counters, gauges, latency histograms and sliding-window counts for service-level objectives.
//
// The program creates the registry and passes it on; there is no global one. It is used only from the event loop and
// takes no locks. Boost.Histogram is kept out of this header because it is slow to compile.
// The number of series is bounded: beyond the limit all further series of a name share one with the label
// {overflow="true"}, so that callers cannot exhaust memory with arbitrary label values.
#pragma once

#include "base/time.h"

#include <QJsonObject>
#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lacewing::base {

using Labels = std::vector<std::pair<std::string, std::string>>; // ordered by the caller; part of the identity

struct Counter {
    std::uint64_t value = 0;
};

struct Gauge {
    double value = 0;
};

// Latencies on a logarithmic axis from 10 us to 1000 s with 40 bins for each decade (320 bins and two for values
// outside). A quantile is the geometric middle of its bin: for values within the axis the relative error is at most
// 10^(1/80) - 1 = 2.92%.
class LatencyHistogram {
public:
    LatencyHistogram();
    LatencyHistogram(const LatencyHistogram& other);
    LatencyHistogram(LatencyHistogram&&) noexcept;
    LatencyHistogram& operator=(const LatencyHistogram& other);
    LatencyHistogram& operator=(LatencyHistogram&&) noexcept;
    ~LatencyHistogram();

    void record(Duration latency);
    std::uint64_t count() const;
    double sumSeconds() const;
    // Quantile in seconds, share in [0, 1]; 0 when empty. Values outside the axis are clamped to its ends.
    double quantileSeconds(double share) const;
    // Number of values in the bins that end at or below the given latency (a lower bound of the values up to it).
    std::uint64_t countUpTo(Duration latency) const;
    void merge(const LatencyHistogram& other);

    // {"sumSeconds": s, "bins": {"<bin>": count}} with only the bins that are not empty; bin -1 is below the axis, 320
    // above.
    QJsonObject toJson() const;
    // nullopt when a bin or a count is invalid.
    static std::optional<LatencyHistogram> fromJson(const QJsonObject& json);

    static constexpr int binCount = 320;
    static constexpr double relativeError = 0.0292;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

// The windows of the burn report. Each is a ring of at most 61 buckets.
enum class Window { FiveMinutes, OneHour, SixHours, ThreeDays };
constexpr std::size_t windowCount = 4;

struct WindowShape {
    Window window;
    const char* name;
    Duration length;
    Duration bucket;
};

constexpr std::array<WindowShape, windowCount> windowShapes { {
    { Window::FiveMinutes, "5m", seconds(300), seconds(5) },
    { Window::OneHour, "1h", seconds(3600), seconds(60) },
    { Window::SixHours, "6h", seconds(21600), seconds(360) },
    { Window::ThreeDays, "3d", seconds(259200), seconds(4320) },
} };

// Requests of one series by their result.
struct SloCounts {
    std::uint64_t total = 0;
    std::uint64_t failed = 0; // refused or ended with an error of the service
    std::uint64_t slow = 0;   // answered, but above the latency threshold in force at that time

    bool operator==(const SloCounts&) const = default;
};

// Counts over the sliding windows. Memory is fixed: 4 x 61 buckets.
// The bucket in progress is included, so a window covers between its length and its length plus one bucket.
class SlidingCounts {
public:
    void add(const SloCounts& counts, TimePoint now);
    // Counts of the last `length` of the window. Time must not go backwards between calls.
    SloCounts sum(Window window, TimePoint now) const;
    // Counts of each bucket, oldest first, for plots. Always 61 entries.
    std::vector<SloCounts> buckets(Window window, TimePoint now) const;

    static constexpr std::size_t bucketCount = 61;

private:
    struct Ring {
        std::array<SloCounts, bucketCount> counts;
        std::array<std::int64_t, bucketCount> index; // bucket number since time 0; -1: empty
        Ring() { index.fill(-1); }
    };
    std::array<Ring, windowCount> m_rings;
};

// One series of the burn report: a service at one endpoint (empty: refused before an endpoint was chosen).
struct SloKey {
    std::string service;
    std::string endpoint;

    auto operator<=>(const SloKey&) const = default; // NOLINT(modernize-use-nullptr): false report of clang-tidy 14
};

struct SloSeries {
    SlidingCounts counts;
    LatencyHistogram latency; // since the start of the process
};

enum class RequestResult { Answered, Failed };

struct MetricsLimits {
    std::size_t maxSeriesPerName = 500;
    std::size_t maxSloSeries = 500; // about 6 KB each for the windows
};

class Metrics {
public:
    explicit Metrics(MetricsLimits limits = {});

    // The series of this name and these labels, created on first use. References stay valid for the life of the
    // registry. Names follow Prometheus: lacewing_<what>_<unit>[_total]. One name has one kind; asking for another kind
    // is a programming error (assert).
    Counter& counter(const std::string& name, const std::string& help, const Labels& labels = {});
    Gauge& gauge(const std::string& name, const std::string& help, const Labels& labels = {});
    LatencyHistogram& latency(const std::string& name, const std::string& help, const Labels& labels = {});

    // Records one request. threshold is the latency objective in force (nullopt: none).
    void recordRequest(
        const SloKey& key, Duration latency, RequestResult result, std::optional<Duration> threshold, TimePoint now);

    const std::map<SloKey, SloSeries>& sloSeries() const { return m_slo; }

    // Text exposition format 0.0.4. Histogram buckets: one for each quarter of a decade.
    std::string prometheusText() const;

    // All series as JSON: {"series": [{"name", "kind", "labels": {..}, "value" | "histogram"}]}. Counters are JSON
    // integers up to 2^63-1.
    QJsonObject toJson() const;
    // Adds the series of another process: counters, gauges and histograms are summed. Returns false, and changes
    // nothing, when the JSON is not a result of toJson().
    bool mergeJson(const QJsonObject& json);

private:
    enum class Kind { Counter, Gauge, Latency };
    struct Series {
        Counter counter;
        Gauge gauge;
        std::unique_ptr<LatencyHistogram> latency; // set for Kind::Latency
    };
    struct Family {
        Kind kind = Kind::Counter;
        std::string help;
        std::map<Labels, Series> series;
    };

    Series& seriesOf(const std::string& name, const std::string& help, const Labels& labels, Kind kind);

    MetricsLimits m_limits;
    std::map<std::string, Family> m_families;
    std::map<SloKey, SloSeries> m_slo;
};

} // namespace lacewing::base
