// Latency histogram on top of Boost.Histogram, and the sliding-window counts.
#include "base/metrics.h"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cmath>
#include <limits>

namespace lacewing::base {

namespace {

    namespace bh = boost::histogram;

    constexpr double lowestSeconds = 1e-5;
    constexpr double highestSeconds = 1e3;
    using Axis = bh::axis::regular<double, bh::axis::transform::log>;
    // Plain 64-bit counts: Boost's unlimited storage reads back as double, which is inexact above 2^53.
    using Storage = bh::dense_storage<std::uint64_t>;

    Axis makeAxis() { return { LatencyHistogram::binCount, lowestSeconds, highestSeconds }; }

} // namespace

struct LatencyHistogram::Impl {
    using Histogram = decltype(bh::make_histogram_with(Storage(), makeAxis()));

    Histogram histogram = bh::make_histogram_with(Storage(), makeAxis());
    std::uint64_t count = 0;
    double sumSeconds = 0;
};

LatencyHistogram::LatencyHistogram()
    : m_impl(std::make_unique<Impl>())
{
}

LatencyHistogram::LatencyHistogram(const LatencyHistogram& other)
    : m_impl(std::make_unique<Impl>(*other.m_impl))
{
}

LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;

LatencyHistogram& LatencyHistogram::operator=(const LatencyHistogram& other)
{
    if (this != &other)
        *m_impl = *other.m_impl;
    return *this;
}

LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&&) noexcept = default;

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(Duration latency)
{
    const double value = std::max(toSeconds(latency), 0.0);
    // The logarithm of 0 is minus infinity, which the axis counts in its underflow bin.
    m_impl->histogram(value);
    ++m_impl->count;
    m_impl->sumSeconds += value;
}

std::uint64_t LatencyHistogram::count() const { return m_impl->count; }

double LatencyHistogram::sumSeconds() const { return m_impl->sumSeconds; }

double LatencyHistogram::quantileSeconds(double share) const
{
    if (m_impl->count == 0)
        return 0;
    const double fractionalRank = std::clamp(share, 0.0, 1.0) * static_cast<double>(m_impl->count);
    const auto rank = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(std::ceil(fractionalRank)));
    std::uint64_t cumulative = 0;
    for (int bin = -1; bin <= binCount; ++bin) {
        cumulative += m_impl->histogram.at(bin);
        if (cumulative < rank)
            continue;
        if (bin < 0)
            return lowestSeconds;
        if (bin == binCount)
            return highestSeconds;
        const auto& axis = m_impl->histogram.axis();
        return std::sqrt(axis.value(bin) * axis.value(bin + 1));
    }
    return highestSeconds;
}

std::uint64_t LatencyHistogram::countUpTo(Duration latency) const
{
    // Bin edges are rounded; the relative tolerance of 1e-9 includes a bin that ends exactly at the latency.
    const double bound = toSeconds(latency) * (1 + 1e-9);
    const auto& axis = m_impl->histogram.axis();
    std::uint64_t result = bound >= lowestSeconds ? m_impl->histogram.at(-1) : 0;
    for (int bin = 0; bin < binCount && axis.value(bin + 1) <= bound; ++bin)
        result += m_impl->histogram.at(bin);
    return result;
}

void LatencyHistogram::merge(const LatencyHistogram& other)
{
    m_impl->histogram += other.m_impl->histogram;
    m_impl->count += other.m_impl->count;
    m_impl->sumSeconds += other.m_impl->sumSeconds;
}

QJsonObject LatencyHistogram::toJson() const
{
    QJsonObject bins;
    for (int bin = -1; bin <= binCount; ++bin) {
        if (const std::uint64_t value = m_impl->histogram.at(bin); value != 0)
            bins[QString::number(bin)] = static_cast<qint64>(value);
    }
    return { { QStringLiteral("sumSeconds"), m_impl->sumSeconds }, { QStringLiteral("bins"), bins } };
}

std::optional<LatencyHistogram> LatencyHistogram::fromJson(const QJsonObject& json)
{
    // Keeps the sum of 322 bins below 2^63, so that merging many daemons does not overflow.
    constexpr qint64 highestCount = std::numeric_limits<qint64>::max() / 1'000'000;
    const QJsonValue sum = json[QStringLiteral("sumSeconds")];
    const QJsonValue bins = json[QStringLiteral("bins")];
    if (!sum.isDouble() || !bins.isObject())
        return std::nullopt;
    LatencyHistogram result;
    result.m_impl->sumSeconds = sum.toDouble();
    const QJsonObject entries = bins.toObject();
    for (auto entry = entries.begin(); entry != entries.end(); ++entry) {
        bool isNumber = false;
        const int bin = entry.key().toInt(&isNumber);
        const qint64 value = entry.value().toInteger(-1);
        if (!isNumber || bin < -1 || bin > binCount || value < 0 || value > highestCount)
            return std::nullopt;
        result.m_impl->histogram.at(bin) = static_cast<std::uint64_t>(value);
        result.m_impl->count += static_cast<std::uint64_t>(value);
    }
    return result;
}

void SlidingCounts::add(const SloCounts& counts, TimePoint now)
{
    for (const WindowShape& shape : windowShapes) {
        Ring& ring = m_rings[static_cast<std::size_t>(shape.window)];
        const std::int64_t index = now.time_since_epoch() / shape.bucket;
        const std::size_t slot = static_cast<std::size_t>(index) % bucketCount;
        if (ring.index[slot] != index) {
            ring.index[slot] = index;
            ring.counts[slot] = {};
        }
        ring.counts[slot].total += counts.total;
        ring.counts[slot].failed += counts.failed;
        ring.counts[slot].slow += counts.slow;
    }
}

SloCounts SlidingCounts::sum(Window window, TimePoint now) const
{
    SloCounts result;
    for (const SloCounts& counts : buckets(window, now)) {
        result.total += counts.total;
        result.failed += counts.failed;
        result.slow += counts.slow;
    }
    return result;
}

std::vector<SloCounts> SlidingCounts::buckets(Window window, TimePoint now) const
{
    const WindowShape& shape = windowShapes[static_cast<std::size_t>(window)];
    const Ring& ring = m_rings[static_cast<std::size_t>(window)];
    const std::int64_t last = now.time_since_epoch() / shape.bucket;
    std::vector<SloCounts> result(bucketCount);
    for (std::size_t age = 0; age < bucketCount; ++age) {
        const std::int64_t index = last - static_cast<std::int64_t>(age);
        const std::size_t slot = static_cast<std::size_t>(std::max<std::int64_t>(index, 0)) % bucketCount;
        if (index >= 0 && ring.index[slot] == index)
            result[bucketCount - 1 - age] = ring.counts[slot];
    }
    return result;
}

} // namespace lacewing::base
