// Metrics registry, and its Prometheus and JSON output.
#include "base/metrics.h"

#include <QJsonArray>
#include <cassert>
#include <charconv>
#include <cmath>
#include <utility>

namespace lacewing::base {

namespace {

    constexpr std::array<const char*, 3> kindNames { "counter", "gauge", "histogram" };

    QString toQString(const std::string& text) { return QString::fromStdString(text); }

    // Shortest text that parses back to the same number, independent of the locale.
    std::string numberText(double value)
    {
        if (std::isnan(value))
            return "NaN";
        if (std::isinf(value))
            return value > 0 ? "+Inf" : "-Inf";
        std::array<char, 32> buffer {};
        const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value).ptr;
        return { buffer.data(), end };
    }

    std::string escaped(const std::string& text, bool isLabel)
    {
        std::string result;
        for (const char character : text) {
            if (character == '\\')
                result += "\\\\";
            else if (character == '\n')
                result += "\\n";
            else if (character == '"' && isLabel)
                result += "\\\"";
            else
                result += character;
        }
        return result;
    }

    std::string labelText(const Labels& labels, const std::string& extra = {})
    {
        std::string result;
        for (const auto& [name, value] : labels) {
            result += result.empty() ? "" : ",";
            result += name;
            result += "=\"";
            result += escaped(value, true);
            result += '"';
        }
        if (!extra.empty())
            result += (result.empty() ? "" : ",") + extra;
        return result.empty() ? result : "{" + result + "}";
    }

    // Cumulative counts at each quarter of a decade.
    std::string histogramText(const std::string& name, const Labels& labels, const LatencyHistogram& histogram)
    {
        std::string result;
        for (int quarter = 0; quarter <= 32; ++quarter) {
            const double bound = 1e-5 * std::pow(10.0, quarter / 4.0);
            const auto limit = Duration(std::llround(bound * 1e6));
            std::array<char, 32> text {};
            const auto end
                = std::to_chars(text.data(), text.data() + text.size(), bound, std::chars_format::general, 4).ptr;
            const std::string le = "le=\"" + std::string(text.data(), end) + "\"";
            result
                += name + "_bucket" + labelText(labels, le) + " " + std::to_string(histogram.countUpTo(limit)) + "\n";
        }
        result += name + "_bucket" + labelText(labels, "le=\"+Inf\"") + " " + std::to_string(histogram.count()) + "\n";
        result += name + "_sum" + labelText(labels) + " " + numberText(histogram.sumSeconds()) + "\n";
        result += name + "_count" + labelText(labels) + " " + std::to_string(histogram.count()) + "\n";
        return result;
    }

} // namespace

Metrics::Metrics(MetricsLimits limits)
    : m_limits(limits)
{
}

Metrics::Series& Metrics::seriesOf(const std::string& name, const std::string& help, const Labels& labels, Kind kind)
{
    Family& family = m_families[name];
    if (family.series.empty()) {
        family.kind = kind;
        family.help = help;
    }
    assert(family.kind == kind);
    auto entry = family.series.find(labels);
    if (entry == family.series.end()) {
        const bool isFull = family.series.size() >= m_limits.maxSeriesPerName;
        entry = family.series.try_emplace(isFull ? Labels { { "overflow", "true" } } : labels).first;
    }
    Series& series = entry->second;
    if (kind == Kind::Latency && !series.latency)
        series.latency = std::make_unique<LatencyHistogram>();
    return series;
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
    auto entry = m_slo.find(key);
    if (entry == m_slo.end()) {
        const bool isFull = m_slo.size() >= m_limits.maxSloSeries;
        entry = m_slo.try_emplace(isFull ? SloKey { "overflow", "overflow" } : key).first;
    }
    const bool isFailed = result == RequestResult::Failed;
    SloCounts counts;
    counts.total = 1;
    counts.failed = isFailed ? 1 : 0;
    counts.slow = !isFailed && threshold && latency > *threshold ? 1 : 0;
    entry->second.counts.add(counts, now);
    if (!isFailed)
        entry->second.latency.record(latency);
}

std::string Metrics::prometheusText() const
{
    std::string result;
    for (const auto& [name, family] : m_families) {
        result += "# HELP " + name + " " + escaped(family.help, false) + "\n";
        result += "# TYPE " + name + " " + kindNames[static_cast<std::size_t>(family.kind)] + "\n";
        for (const auto& [labels, series] : family.series) {
            if (family.kind == Kind::Latency)
                result += histogramText(name, labels, *series.latency);
            else if (family.kind == Kind::Counter)
                result += name + labelText(labels) + " " + std::to_string(series.counter.value) + "\n";
            else
                result += name + labelText(labels) + " " + numberText(series.gauge.value) + "\n";
        }
    }
    return result;
}

QJsonObject Metrics::toJson() const
{
    QJsonArray all;
    for (const auto& [name, family] : m_families) {
        for (const auto& [labels, series] : family.series) {
            QJsonArray labelArray; // an array preserves the order, which is part of the identity
            for (const auto& [label, value] : labels)
                labelArray.append(QJsonArray { toQString(label), toQString(value) });
            QJsonObject entry { { QStringLiteral("name"), toQString(name) },
                { QStringLiteral("help"), toQString(family.help) },
                { QStringLiteral("kind"), QLatin1String(kindNames[static_cast<std::size_t>(family.kind)]) },
                { QStringLiteral("labels"), labelArray } };
            if (family.kind == Kind::Latency)
                entry[QStringLiteral("histogram")] = series.latency->toJson();
            else if (family.kind == Kind::Counter)
                entry[QStringLiteral("value")] = static_cast<qint64>(series.counter.value);
            else
                entry[QStringLiteral("value")] = series.gauge.value;
            all.append(entry);
        }
    }
    return { { QStringLiteral("series"), all } };
}

bool Metrics::mergeJson(const QJsonObject& json)
{
    struct Parsed {
        std::string name;
        std::string help;
        Labels labels;
        Kind kind = Kind::Counter;
        double gauge = 0;
        std::uint64_t counter = 0;
        std::optional<LatencyHistogram> latency;
    };
    const QJsonValue all = json[QStringLiteral("series")];
    if (!all.isArray())
        return false;
    std::vector<Parsed> parsed;
    std::map<std::string, Kind> kinds;
    for (const QJsonValue value : all.toArray()) {
        const QJsonObject entry = value.toObject();
        Parsed series;
        series.name = entry[QStringLiteral("name")].toString().toStdString();
        series.help = entry[QStringLiteral("help")].toString().toStdString();
        const std::string kind = entry[QStringLiteral("kind")].toString().toStdString();
        const QJsonValue labels = entry[QStringLiteral("labels")];
        if (series.name.empty() || !labels.isArray())
            return false;
        for (const QJsonValue label : labels.toArray()) {
            const QJsonArray pair = label.toArray();
            if (pair.size() != 2 || !pair[0].isString() || !pair[1].isString())
                return false;
            series.labels.emplace_back(pair[0].toString().toStdString(), pair[1].toString().toStdString());
        }
        const QJsonValue number = entry[QStringLiteral("value")];
        if (kind == kindNames[0] && number.toInteger(-1) >= 0) {
            series.kind = Kind::Counter;
            series.counter = static_cast<std::uint64_t>(number.toInteger());
        } else if (kind == kindNames[1] && number.isDouble()) {
            series.kind = Kind::Gauge;
            series.gauge = number.toDouble();
        } else if (kind == kindNames[2]) {
            series.kind = Kind::Latency;
            series.latency = LatencyHistogram::fromJson(entry[QStringLiteral("histogram")].toObject());
            if (!series.latency)
                return false;
        } else {
            return false;
        }
        const auto family = m_families.find(series.name);
        if (family != m_families.end() && family->second.kind != series.kind)
            return false;
        if (kinds.try_emplace(series.name, series.kind).first->second != series.kind)
            return false;
        parsed.push_back(std::move(series));
    }
    for (const Parsed& series : parsed) {
        Series& target = seriesOf(series.name, series.help, series.labels, series.kind);
        target.counter.value += series.counter;
        target.gauge.value += series.gauge;
        if (series.latency)
            target.latency->merge(*series.latency);
    }
    return true;
}

} // namespace lacewing::base
