// Histograms on Boost.Histogram, sliding counts and the text forms of the registry.
#include "base/metrics.h"

#include <QJsonArray>
#include <boost/histogram.hpp>
#include <cassert>
#include <cmath>
#include <cstdio>

namespace lacewing::base {

namespace {

    namespace bh = boost::histogram;

    constexpr double axisLowest = 1e-5; // seconds
    constexpr double axisHighest = 1e3; // seconds

    using Axis = bh::axis::regular<double, bh::axis::transform::log>;
    using Histogram = bh::histogram<std::tuple<Axis>, bh::dense_storage<std::uint64_t>>;

    QString toQString(const std::string& text) { return QString::fromStdString(text); }

    std::string numberText(double value)
    {
        char buffer[40];
        std::snprintf(buffer, sizeof buffer, "%.9g", value);
        return buffer;
    }

    // Backslash, quote and line feed are escaped in label values of the text format.
    std::string escaped(const std::string& text)
    {
        std::string result;
        for (const char c : text) {
            if (c == '\\' || c == '"')
                result += '\\';
            if (c == '\n')
                result += "\\n";
            else
                result += c;
        }
        return result;
    }

    std::string labelText(const Labels& labels, const std::string& extra = {})
    {
        std::string text;
        for (const auto& [name, value] : labels)
            text += (text.empty() ? "" : ",") + name + "=\"" + escaped(value) + "\"";
        if (!extra.empty())
            text += (text.empty() ? "" : ",") + extra;
        return text.empty() ? text : "{" + text + "}";
    }

    QJsonObject toJson(const Labels& labels)
    {
        QJsonObject object;
        for (const auto& [name, value] : labels)
            object[toQString(name)] = toQString(value);
        return object;
    }

    void add(SloCounts& sum, const SloCounts& counts)
    {
        sum.total += counts.total;
        sum.failed += counts.failed;
        sum.slow += counts.slow;
    }

} // namespace

// --- LatencyHistogram ---

struct LatencyHistogram::Impl {
    Histogram histogram = bh::make_histogram_with(
        bh::dense_storage<std::uint64_t>(), Axis(static_cast<unsigned>(binCount), axisLowest, axisHighest));
    double sumSeconds = 0;
    std::uint64_t count = 0;
};

LatencyHistogram::LatencyHistogram()
    : m_impl(std::make_unique<Impl>())
{
}

LatencyHistogram::LatencyHistogram(const LatencyHistogram& other)
    : m_impl(std::make_unique<Impl>(*other.m_impl))
{
}

LatencyHistogram& LatencyHistogram::operator=(const LatencyHistogram& other)
{
    if (this != &other)
        m_impl = std::make_unique<Impl>(*other.m_impl);
    return *this;
}

LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;
LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&&) noexcept = default;
LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(Duration latency)
{
    const double value = toSeconds(latency);
    // A value of 0 has no logarithm; it belongs to the bin below the axis.
    m_impl->histogram(value > 0 ? value : axisLowest / 10);
    m_impl->sumSeconds += value;
    m_impl->count += 1;
}

std::uint64_t LatencyHistogram::count() const { return m_impl->count; }

double LatencyHistogram::sumSeconds() const { return m_impl->sumSeconds; }

double LatencyHistogram::quantileSeconds(double share) const
{
    if (m_impl->count == 0)
        return 0;
    const auto rank = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(m_impl->count)));
    const std::uint64_t target = std::max<std::uint64_t>(rank, 1);
    std::uint64_t seen = 0;
    for (int bin = -1; bin <= binCount; ++bin) {
        seen += m_impl->histogram.at(bin);
        if (seen < target)
            continue;
        if (bin < 0)
            return axisLowest;
        if (bin >= binCount)
            return axisHighest;
        const auto edges = m_impl->histogram.axis().bin(bin);
        return std::sqrt(edges.lower() * edges.upper());
    }
    return axisHighest;
}

std::uint64_t LatencyHistogram::countUpTo(Duration latency) const
{
    const double limit = toSeconds(latency);
    std::uint64_t sum = m_impl->histogram.at(-1);
    for (int bin = 0; bin < binCount; ++bin) {
        // The tolerance keeps an edge that equals the limit up to rounding.
        if (m_impl->histogram.axis().bin(bin).upper() > limit * (1 + 1e-9))
            break;
        sum += m_impl->histogram.at(bin);
    }
    return limit < axisLowest ? 0 : sum;
}

void LatencyHistogram::merge(const LatencyHistogram& other)
{
    m_impl->histogram += other.m_impl->histogram;
    m_impl->sumSeconds += other.m_impl->sumSeconds;
    m_impl->count += other.m_impl->count;
}

QJsonObject LatencyHistogram::toJson() const
{
    QJsonObject bins;
    for (int bin = -1; bin <= binCount; ++bin) {
        if (const std::uint64_t value = m_impl->histogram.at(bin))
            bins[QString::number(bin)] = static_cast<qint64>(value);
    }
    return { { "sumSeconds", m_impl->sumSeconds }, { "bins", bins } };
}

std::optional<LatencyHistogram> LatencyHistogram::fromJson(const QJsonObject& json)
{
    if (!json["bins"].isObject() || !json["sumSeconds"].isDouble())
        return std::nullopt;
    LatencyHistogram result;
    const QJsonObject bins = json["bins"].toObject();
    for (auto entry = bins.begin(); entry != bins.end(); ++entry) {
        bool isNumber = false;
        const int bin = entry.key().toInt(&isNumber);
        const qint64 value = entry.value().toInteger(-1);
        if (!isNumber || bin < -1 || bin > binCount || value < 0)
            return std::nullopt;
        result.m_impl->histogram.at(bin) = static_cast<std::uint64_t>(value);
        result.m_impl->count += static_cast<std::uint64_t>(value);
    }
    result.m_impl->sumSeconds = json["sumSeconds"].toDouble();
    return result;
}

// --- SlidingCounts ---

void SlidingCounts::add(const SloCounts& counts, TimePoint now)
{
    for (std::size_t window = 0; window < windowCount; ++window) {
        const std::int64_t index = now.time_since_epoch() / windowShapes[window].bucket;
        const std::size_t place = static_cast<std::size_t>(index) % bucketCount;
        Ring& ring = m_rings[window];
        if (ring.index[place] != index) {
            ring.index[place] = index;
            ring.counts[place] = {};
        }
        base::add(ring.counts[place], counts);
    }
}

SloCounts SlidingCounts::sum(Window window, TimePoint now) const
{
    SloCounts result;
    for (const SloCounts& counts : buckets(window, now))
        base::add(result, counts);
    return result;
}

std::vector<SloCounts> SlidingCounts::buckets(Window window, TimePoint now) const
{
    const auto number = static_cast<std::size_t>(window);
    const Ring& ring = m_rings[number];
    const std::int64_t newest = now.time_since_epoch() / windowShapes[number].bucket;
    std::vector<SloCounts> result(bucketCount);
    for (std::size_t offset = 0; offset < bucketCount; ++offset) {
        const std::int64_t index = newest - static_cast<std::int64_t>(bucketCount - 1 - offset);
        const std::size_t place = static_cast<std::size_t>(std::max<std::int64_t>(index, 0)) % bucketCount;
        if (index >= 0 && ring.index[place] == index)
            result[offset] = ring.counts[place];
    }
    return result;
}

// --- Metrics ---

Metrics::Metrics(MetricsLimits limits)
    : m_limits(limits)
{
}

Metrics::Series& Metrics::seriesOf(const std::string& name, const std::string& help, const Labels& labels, Kind kind)
{
    auto [entry, isNew] = m_families.try_emplace(name);
    Family& family = entry->second;
    if (isNew) {
        family.kind = kind;
        family.help = help;
    }
    assert(family.kind == kind);
    auto series = family.series.find(labels);
    if (series == family.series.end()) {
        const bool isFull = family.series.size() >= m_limits.maxSeriesPerName;
        series = family.series.try_emplace(isFull ? Labels { { "overflow", "true" } } : labels).first;
    }
    if (kind == Kind::Latency && !series->second.latency)
        series->second.latency = std::make_unique<LatencyHistogram>();
    return series->second;
}

Counter& Metrics::counter(const std::string& name, const std::string& help, const Labels& labels)
{
    return seriesOf(name, help, labels, Kind::Counter).counter;
}

Gauge& Metrics::gauge(const std::string& name, const std::string& help, const Labels& labels)
{
    return seriesOf(name, help, labels, Kind::Gauge).gauge;
}

LatencyHistogram& Metrics::latency(const std::string& name, const std::string& help, const Labels& labels)
{
    return *seriesOf(name, help, labels, Kind::Latency).latency;
}

void Metrics::recordRequest(
    const SloKey& key, Duration latency, RequestResult result, std::optional<Duration> threshold, TimePoint now)
{
    auto series = m_slo.find(key);
    if (series == m_slo.end()) {
        const bool isFull = m_slo.size() >= m_limits.maxSloSeries;
        series = m_slo.try_emplace(isFull ? SloKey { key.service, "overflow" } : key).first;
    }
    SloCounts counts;
    counts.total = 1;
    counts.failed = result == RequestResult::Failed ? 1 : 0;
    counts.slow = result == RequestResult::Answered && threshold && latency > *threshold ? 1 : 0;
    series->second.counts.add(counts, now);
    if (result == RequestResult::Answered)
        series->second.latency.record(latency);
}

std::string Metrics::prometheusText() const
{
    std::string text;
    for (const auto& [name, family] : m_families) {
        const char* kind = family.kind == Kind::Counter ? "counter" : family.kind == Kind::Gauge ? "gauge" : "histogram";
        text += "# HELP " + name + " " + family.help + "\n# TYPE " + name + " " + kind + "\n";
        for (const auto& [labels, series] : family.series) {
            if (family.kind == Kind::Counter)
                text += name + labelText(labels) + " " + std::to_string(series.counter.value) + "\n";
            else if (family.kind == Kind::Gauge)
                text += name + labelText(labels) + " " + numberText(series.gauge.value) + "\n";
            else {
                const LatencyHistogram& histogram = *series.latency;
                constexpr int quarterDecades = 32; // from 10 us to 1000 s
                for (int step = 1; step <= quarterDecades; ++step) {
                    const double limit = axisLowest * std::pow(10.0, step / 4.0);
                    const auto upTo = Duration(static_cast<Duration::rep>(std::llround(limit * 1e6)));
                    text += name + "_bucket" + labelText(labels, "le=\"" + numberText(limit) + "\"") + " "
                        + std::to_string(histogram.countUpTo(upTo)) + "\n";
                }
                text += name + "_bucket" + labelText(labels, "le=\"+Inf\"") + " " + std::to_string(histogram.count())
                    + "\n";
                text += name + "_sum" + labelText(labels) + " " + numberText(histogram.sumSeconds()) + "\n";
                text += name + "_count" + labelText(labels) + " " + std::to_string(histogram.count()) + "\n";
            }
        }
    }
    return text;
}

QJsonObject Metrics::toJson() const
{
    QJsonArray list;
    for (const auto& [name, family] : m_families) {
        for (const auto& [labels, series] : family.series) {
            QJsonObject entry { { "name", toQString(name) }, { "labels", base::toJson(labels) } };
            if (family.kind == Kind::Counter) {
                entry["kind"] = "counter";
                entry["value"] = static_cast<qint64>(series.counter.value);
            } else if (family.kind == Kind::Gauge) {
                entry["kind"] = "gauge";
                entry["value"] = series.gauge.value;
            } else {
                entry["kind"] = "latency";
                entry["histogram"] = series.latency->toJson();
            }
            list.append(entry);
        }
    }
    return { { "series", list } };
}

bool Metrics::mergeJson(const QJsonObject& json)
{
    struct Parsed {
        std::string name;
        Labels labels;
        Kind kind = Kind::Counter;
        double gauge = 0;
        std::uint64_t counter = 0;
        std::optional<LatencyHistogram> latency;
    };
    if (!json["series"].isArray())
        return false;
    std::vector<Parsed> parsed;
    const QJsonArray list = json["series"].toArray();
    for (const QJsonValue value : list) {
        Parsed entry;
        entry.name = value["name"].toString().toStdString();
        const QString kind = value["kind"].toString();
        const QJsonObject labels = value["labels"].toObject();
        for (auto label = labels.begin(); label != labels.end(); ++label)
            entry.labels.emplace_back(label.key().toStdString(), label.value().toString().toStdString());
        if (kind == "counter" && value["value"].toInteger(-1) >= 0) {
            entry.counter = static_cast<std::uint64_t>(value["value"].toInteger());
        } else if (kind == "gauge" && value["value"].isDouble()) {
            entry.kind = Kind::Gauge;
            entry.gauge = value["value"].toDouble();
        } else if (kind == "latency") {
            entry.kind = Kind::Latency;
            entry.latency = LatencyHistogram::fromJson(value["histogram"].toObject());
            if (!entry.latency)
                return false;
        } else
            return false;
        const auto known = m_families.find(entry.name);
        if (entry.name.empty() || (known != m_families.end() && known->second.kind != entry.kind))
            return false;
        parsed.push_back(std::move(entry));
    }
    for (const Parsed& entry : parsed) {
        Series& series = seriesOf(entry.name, {}, entry.labels, entry.kind);
        if (entry.kind == Kind::Counter)
            series.counter.value += entry.counter;
        else if (entry.kind == Kind::Gauge)
            series.gauge.value += entry.gauge;
        else
            series.latency->merge(*entry.latency);
    }
    return true;
}

} // namespace lacewing::base
