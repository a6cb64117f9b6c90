// Tests of the metrics registry, the latency histogram and the sliding windows.
#include "base/metrics.h"
#include "base/rng.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>
#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace lacewing::base;

TimePoint at(std::int64_t second) { return TimePoint(seconds(second)); }

class MetricsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MetricsTest);
    CPPUNIT_TEST(quantileErrorStaysWithinTheStatedBound);
    CPPUNIT_TEST(extremeLatenciesAreCounted);
    CPPUNIT_TEST(mergedHistogramsEqualOneHistogram);
    CPPUNIT_TEST(registriesMergeThroughJson);
    CPPUNIT_TEST(invalidJsonChangesNothing);
    CPPUNIT_TEST(prometheusTextIsWellFormed);
    CPPUNIT_TEST(seriesAreBounded);
    CPPUNIT_TEST(windowsDropExpiredRequests);
    CPPUNIT_TEST(windowsEqualADirectCount);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against quantiles that mislead a tail-latency objective: the stated bound is 2.92%.
    void quantileErrorStaysWithinTheStatedBound()
    {
        Rng rng(7);
        std::vector<double> values;
        LatencyHistogram histogram;
        for (int index = 0; index < 20'000; ++index) {
            const Duration latency(static_cast<std::int64_t>(std::exp(uniform(rng) * 16) * 20));
            histogram.record(latency);
            values.push_back(toSeconds(latency));
        }
        std::sort(values.begin(), values.end());
        for (const double share : { 0.0, 0.001, 0.1, 0.5, 0.9, 0.99, 0.999, 1.0 }) {
            const double rank = std::max(1.0, std::ceil(share * 20'000));
            const double exact = values[static_cast<std::size_t>(rank) - 1];
            const double error = std::abs(histogram.quantileSeconds(share) - exact) / exact;
            CPPUNIT_ASSERT(error <= LatencyHistogram::relativeError);
        }
    }

    // Guards against values outside the axis that are missing from the count.
    void extremeLatenciesAreCounted()
    {
        LatencyHistogram histogram;
        for (const std::int64_t microseconds : { 0L, -5L, 1L, 2'000'000'000L })
            histogram.record(Duration(microseconds));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 4 }, histogram.count());
        CPPUNIT_ASSERT_EQUAL(1e-5, histogram.quantileSeconds(0.5));
        CPPUNIT_ASSERT_EQUAL(1e3, histogram.quantileSeconds(1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 3 }, histogram.countUpTo(seconds(1000)));
        CPPUNIT_ASSERT_EQUAL(0.0, LatencyHistogram().quantileSeconds(0.5));
    }

    // Guards against a merged report that depends on how requests were distributed over daemons.
    void mergedHistogramsEqualOneHistogram()
    {
        CPPUNIT_ASSERT(rc::check([](const std::vector<std::uint32_t>& left, const std::vector<std::uint32_t>& right) {
            LatencyHistogram first;
            LatencyHistogram second;
            LatencyHistogram both;
            for (const std::uint32_t value : left) {
                first.record(Duration(value));
                both.record(Duration(value));
            }
            for (const std::uint32_t value : right) {
                second.record(Duration(value));
                both.record(Duration(value));
            }
            const auto parsed = LatencyHistogram::fromJson(second.toJson());
            RC_ASSERT(parsed.has_value());
            first.merge(*parsed);
            RC_ASSERT(first.count() == both.count());
            RC_ASSERT(first.toJson()[QStringLiteral("bins")] == both.toJson()[QStringLiteral("bins")]);
        }));
    }

    // Guards against series that are lost or mixed when daemons are merged.
    void registriesMergeThroughJson()
    {
        Metrics first;
        Metrics second;
        for (Metrics* metrics : { &first, &second }) {
            metrics->counter("lacewing_a_total", "a", { { "x", "1" } }).value = 5;
            metrics->gauge("lacewing_b", "b").value = 1.5;
            metrics->latency("lacewing_c_seconds", "c").record(milliseconds(20));
        }
        second.counter("lacewing_a_total", "a", { { "x", "2" } }).value = 1;
        const QByteArray text = QJsonDocument(second.toJson()).toJson();
        CPPUNIT_ASSERT(first.mergeJson(QJsonDocument::fromJson(text).object()));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 10 }, first.counter("lacewing_a_total", "", { { "x", "1" } }).value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, first.counter("lacewing_a_total", "", { { "x", "2" } }).value);
        CPPUNIT_ASSERT_EQUAL(3.0, first.gauge("lacewing_b", "").value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, first.latency("lacewing_c_seconds", "").count());
    }

    // Guards against a partly merged registry and against counts that overflow.
    void invalidJsonChangesNothing()
    {
        Metrics metrics;
        metrics.counter("lacewing_a_total", "a").value = 5;
        const QJsonObject before = metrics.toJson();
        for (const char* text :
            { R"({})", R"({"series":{}})", R"({"series":[1]})",
                R"({"series":[{"name":"lacewing_a_total","kind":"counter","labels":[],"value":1},{"name":""}]})",
                R"({"series":[{"name":"lacewing_a_total","kind":"counter","labels":[],"value":-1}]})",
                R"({"series":[{"name":"lacewing_a_total","kind":"gauge","labels":[],"value":1}]})",
                R"({"series":[{"name":"z","kind":"counter","labels":[["a"]],"value":1}]})",
                R"({"series":[{"name":"z","kind":"histogram","labels":[],"histogram":{"sumSeconds":1,"bins":{"400":1}}}]})",
                R"({"series":[{"name":"z","kind":"histogram","labels":[],"histogram":{"sumSeconds":1,"bins":{"4":9223372036854775807}}}]})" }) {
            CPPUNIT_ASSERT_MESSAGE(text, !metrics.mergeJson(QJsonDocument::fromJson(text).object()));
            CPPUNIT_ASSERT(metrics.toJson() == before);
        }
    }

    // Guards against text that a scraper rejects: escapes, cumulative buckets, one HELP and TYPE header for each name.
    void prometheusTextIsWellFormed()
    {
        Metrics metrics;
        metrics.counter("lacewing_a_total", "first\nline", { { "x", "a\"b\\c\nd" } }).value = 3;
        metrics.gauge("lacewing_b", "b").value = 0.25;
        metrics.latency("lacewing_c_seconds", "c", { { "s", "q" } }).record(milliseconds(50));
        metrics.latency("lacewing_c_seconds", "c", { { "s", "q" } }).record(seconds(5000));
        const std::string text = metrics.prometheusText();
        for (const char* line : { "# HELP lacewing_a_total first\\nline\n# TYPE lacewing_a_total counter\n",
                 "lacewing_a_total{x=\"a\\\"b\\\\c\\nd\"} 3\n", "lacewing_b 0.25\n",
                 "lacewing_c_seconds_bucket{s=\"q\",le=\"0.03162\"} 0\n",
                 "lacewing_c_seconds_bucket{s=\"q\",le=\"0.1\"} 1\n",
                 "lacewing_c_seconds_bucket{s=\"q\",le=\"1000\"} 1\n",
                 "lacewing_c_seconds_bucket{s=\"q\",le=\"+Inf\"} 2\n", "lacewing_c_seconds_count{s=\"q\"} 2\n" })
            CPPUNIT_ASSERT_MESSAGE(line, text.find(line) != std::string::npos);
    }

    // Guards against unbounded memory growth by label values that callers choose.
    void seriesAreBounded()
    {
        Metrics metrics({ 10, 10 });
        for (int index = 0; index < 1000; ++index) {
            ++metrics.counter("lacewing_a_total", "a", { { "x", std::to_string(index) } }).value;
            metrics.recordRequest({ std::to_string(index), "e" }, seconds(1), RequestResult::Answered, {}, at(1));
        }
        CPPUNIT_ASSERT_EQUAL(qsizetype { 11 }, metrics.toJson()[QStringLiteral("series")].toArray().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 11 }, metrics.sloSeries().size());
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t { 990 }, metrics.counter("lacewing_a_total", "", { { "overflow", "true" } }).value);
    }

    // Guards against an alert that stays active after the failures have left the window, also after a long gap.
    void windowsDropExpiredRequests()
    {
        SlidingCounts counts;
        counts.add({ 10, 5, 1 }, at(1000));
        CPPUNIT_ASSERT(counts.sum(Window::FiveMinutes, at(1300)) == (SloCounts { 10, 5, 1 }));
        CPPUNIT_ASSERT(counts.sum(Window::FiveMinutes, at(1306)) == SloCounts());
        CPPUNIT_ASSERT(counts.sum(Window::OneHour, at(4600)) == (SloCounts { 10, 5, 1 }));
        CPPUNIT_ASSERT(counts.sum(Window::ThreeDays, at(260'000)) == (SloCounts { 10, 5, 1 }));
        CPPUNIT_ASSERT(counts.sum(Window::ThreeDays, at(10'000'000)) == SloCounts());
        // The ring slot of an expired bucket is reused.
        counts.add({ 1, 0, 0 }, at(1000 + 61 * 5));
        CPPUNIT_ASSERT(counts.sum(Window::FiveMinutes, at(1306)) == (SloCounts { 1, 0, 0 }));
    }

    // Guards against buckets that are counted twice or left out.
    void windowsEqualADirectCount()
    {
        Rng rng(11);
        SlidingCounts counts;
        std::vector<std::int64_t> times;
        std::int64_t now = 0;
        for (int step = 0; step < 3000; ++step) {
            now += static_cast<std::int64_t>(below(rng, 300));
            counts.add({ 1, 0, 0 }, at(now));
            times.push_back(now);
            for (const WindowShape& shape : windowShapes) {
                const std::int64_t bucket = shape.bucket / seconds(1);
                const std::int64_t first = (now / bucket - 60) * bucket;
                const auto expected
                    = std::count_if(times.begin(), times.end(), [first](auto time) { return time >= first; });
                CPPUNIT_ASSERT_EQUAL(static_cast<std::uint64_t>(expected), counts.sum(shape.window, at(now)).total);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

} // namespace
