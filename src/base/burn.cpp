// Evaluation of burn rates and the JSON form of GET /v1/slo.
#include "base/burn.h"

#include <QJsonArray>
#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace lacewing::base {

namespace {

    QString toQString(std::string_view text)
    {
        return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
    }

    void addTo(SloCounts& sum, const SloCounts& counts)
    {
        sum.total += counts.total;
        sum.failed += counts.failed;
        sum.slow += counts.slow;
    }

    const WindowBurn& windowOf(const ObjectiveBurn& burn, Window window)
    {
        return burn.windows[static_cast<std::size_t>(window)];
    }

    bool isFiring(const ObjectiveBurn& burn, const BurnRule& rule)
    {
        const WindowBurn& longer = windowOf(burn, rule.longWindow);
        const WindowBurn& shorter = windowOf(burn, rule.shortWindow);
        return objectiveCounts(burn.objective, longer.counts).counted >= minimumAlertRequests
            && longer.rate >= rule.threshold && shorter.rate >= rule.threshold;
    }

    // --- JSON ---

    QJsonArray toJson(const SloCounts& counts)
    {
        return { static_cast<qint64>(counts.total), static_cast<qint64>(counts.failed),
            static_cast<qint64>(counts.slow) };
    }

    bool read(const QJsonValue& json, SloCounts& counts)
    {
        const QJsonArray numbers = json.toArray();
        if (numbers.size() != 3)
            return false;
        std::array<std::uint64_t, 3> values {};
        for (int index = 0; index < 3; ++index) {
            // At most 2^40 requests in a window, which bounds the sum over all daemons and endpoints.
            const qint64 value = numbers[index].toInteger(-1);
            if (value < 0 || value > (qint64 { 1 } << 40))
                return false;
            values[static_cast<std::size_t>(index)] = static_cast<std::uint64_t>(value);
        }
        counts = { values[0], values[1], values[2] };
        return counts.failed <= counts.total && counts.slow <= counts.total - counts.failed;
    }

    bool read(const QJsonValue& json, std::string& text)
    {
        if (!json.isString())
            return false;
        text = json.toString().toStdString();
        return true;
    }

    bool readObjective(const QJsonObject& json, Objective& objective)
    {
        std::string kind;
        if (!read(json[QStringLiteral("service")], objective.service) || !read(json[QStringLiteral("kind")], kind))
            return false;
        const std::optional<ObjectiveKind> parsedKind = valueOf(objectiveKindNames, kind);
        objective.target = json[QStringLiteral("target")].toDouble(-1);
        if (!parsedKind || !(objective.target > 0 && objective.target < 1))
            return false;
        objective.kind = *parsedKind;
        if (objective.kind == ObjectiveKind::Availability)
            return true;
        const qint64 threshold = json[QStringLiteral("thresholdMs")].toInteger(-1);
        if (threshold <= 0 || threshold > 86'400'000)
            return false;
        objective.threshold = milliseconds(threshold);
        return true;
    }

    bool readSample(const QJsonObject& json, SloSample& sample)
    {
        if (!read(json[QStringLiteral("service")], sample.key.service)
            || !read(json[QStringLiteral("endpoint")], sample.key.endpoint))
            return false;
        const QJsonObject windows = json[QStringLiteral("windows")].toObject();
        for (const WindowShape& shape : windowShapes) {
            if (!read(windows[QLatin1String(shape.name)], sample.windows[static_cast<std::size_t>(shape.window)]))
                return false;
        }
        auto latency = LatencyHistogram::fromJson(json[QStringLiteral("latency")].toObject());
        if (!latency)
            return false;
        sample.latency = std::move(*latency);
        return true;
    }

    bool readBuckets(const QJsonObject& json, std::array<std::vector<SloCounts>, windowCount>& buckets)
    {
        for (const WindowShape& shape : windowShapes) {
            const QJsonArray items = json[QLatin1String(shape.name)].toArray();
            if (items.size() != SlidingCounts::bucketCount)
                return false;
            auto& counts = buckets[static_cast<std::size_t>(shape.window)];
            for (const QJsonValue item : items) {
                if (!read(item, counts.emplace_back()))
                    return false;
            }
        }
        return true;
    }

} // namespace

ObjectiveCounts objectiveCounts(const Objective& objective, const SloCounts& counts)
{
    if (objective.kind == ObjectiveKind::Availability)
        return { counts.total, counts.failed };
    return { counts.total - counts.failed, counts.slow };
}

double burnRate(const Objective& objective, const SloCounts& counts)
{
    const ObjectiveCounts result = objectiveCounts(objective, counts);
    if (result.counted == 0)
        return 0;
    return static_cast<double>(result.bad) / static_cast<double>(result.counted) / (1 - objective.target);
}

ObjectiveBurn evaluate(const Objective& objective, const std::array<SloCounts, windowCount>& windows)
{
    ObjectiveBurn burn;
    burn.objective = objective;
    for (const WindowShape& shape : windowShapes) {
        const auto index = static_cast<std::size_t>(shape.window);
        burn.windows[index] = { shape.window, windows[index], burnRate(objective, windows[index]) };
    }
    burn.budgetUsedShare = windowOf(burn, Window::ThreeDays).rate;
    for (const BurnRule& rule : burnRules) {
        if (rule.severity > burn.severity && isFiring(burn, rule)) {
            burn.severity = rule.severity;
            burn.firedRule = rule;
        }
    }
    return burn;
}

std::vector<Contributor> topContributors(
    const Objective& objective, const std::vector<SloSample>& samples, ContributorKind kind, std::size_t limit)
{
    std::map<std::string, SloCounts> sums;
    std::uint64_t allBad = 0;
    for (const SloSample& sample : samples) {
        if (sample.key.service != objective.service)
            continue;
        const SloCounts& counts = sample.windows[static_cast<std::size_t>(Window::OneHour)];
        const std::string endpoint = sample.key.endpoint.empty() ? "(no endpoint)" : sample.key.endpoint;
        addTo(sums[kind == ContributorKind::Endpoint ? endpoint : sample.dataCentre], counts);
        allBad += objectiveCounts(objective, counts).bad;
    }
    std::vector<Contributor> result;
    for (const auto& [name, counts] : sums) {
        const std::uint64_t bad = objectiveCounts(objective, counts).bad;
        if (bad > 0)
            result.push_back(
                { name, counts, burnRate(objective, counts), static_cast<double>(bad) / static_cast<double>(allBad) });
    }
    std::stable_sort(result.begin(), result.end(),
        [](const Contributor& left, const Contributor& right) { return left.shareOfBad > right.shareOfBad; });
    if (result.size() > limit)
        result.resize(limit);
    return result;
}

QJsonObject toJson(const SloResponse& response)
{
    QJsonArray objectives;
    for (const Objective& objective : response.objectives) {
        QJsonObject json { { QStringLiteral("service"), toQString(objective.service) },
            { QStringLiteral("kind"), toQString(nameOf(objectiveKindNames, objective.kind)) },
            { QStringLiteral("target"), objective.target } };
        if (objective.threshold)
            json[QStringLiteral("thresholdMs")] = static_cast<qint64>(toMilliseconds(*objective.threshold));
        objectives.append(json);
    }
    QJsonArray series;
    for (const SloSample& sample : response.samples) {
        QJsonObject windows;
        for (const WindowShape& shape : windowShapes)
            windows[QLatin1String(shape.name)] = toJson(sample.windows[static_cast<std::size_t>(shape.window)]);
        series.append(QJsonObject { { QStringLiteral("service"), toQString(sample.key.service) },
            { QStringLiteral("endpoint"), toQString(sample.key.endpoint) }, { QStringLiteral("windows"), windows },
            { QStringLiteral("latency"), sample.latency.toJson() } });
    }
    QJsonObject buckets;
    for (const auto& [service, windows] : response.buckets) {
        QJsonObject byWindow;
        for (const WindowShape& shape : windowShapes) {
            QJsonArray items;
            for (const SloCounts& counts : windows[static_cast<std::size_t>(shape.window)])
                items.append(toJson(counts));
            byWindow[QLatin1String(shape.name)] = items;
        }
        buckets[toQString(service)] = byWindow;
    }
    return { { QStringLiteral("daemon"), toQString(response.daemon) },
        { QStringLiteral("dataCentre"), toQString(response.dataCentre) },
        { QStringLiteral("timeMs"), static_cast<qint64>(response.timeMs) },
        { QStringLiteral("upTimeMs"), static_cast<qint64>(toMilliseconds(response.upTime)) },
        { QStringLiteral("objectives"), objectives }, { QStringLiteral("series"), series },
        { QStringLiteral("buckets"), buckets } };
}

std::optional<SloResponse> sloResponseFromJson(const QJsonObject& json, std::string& error)
{
    SloResponse response;
    const auto fail = [&error](std::string reason) {
        error = std::move(reason);
        return std::nullopt;
    };
    if (!read(json[QStringLiteral("daemon")], response.daemon))
        return fail("daemon: expected a string");
    if (!read(json[QStringLiteral("dataCentre")], response.dataCentre))
        return fail("dataCentre: expected a string");
    response.timeMs = json[QStringLiteral("timeMs")].toInteger(-1);
    const qint64 upTimeMs = json[QStringLiteral("upTimeMs")].toInteger(-1);
    if (response.timeMs < 0 || upTimeMs < 0 || upTimeMs > qint64 { 1 } << 50)
        return fail("timeMs, upTimeMs: expected non-negative integers");
    response.upTime = milliseconds(upTimeMs);
    if (!json[QStringLiteral("objectives")].isArray() || !json[QStringLiteral("series")].isArray()
        || !json[QStringLiteral("buckets")].isObject())
        return fail("objectives, series, buckets: missing or of the wrong type");
    for (const QJsonValue item : json[QStringLiteral("objectives")].toArray()) {
        if (!readObjective(item.toObject(), response.objectives.emplace_back()))
            return fail("objectives[" + std::to_string(response.objectives.size() - 1) + "]: not valid");
    }
    for (const QJsonValue item : json[QStringLiteral("series")].toArray()) {
        SloSample& sample = response.samples.emplace_back();
        sample.daemon = response.daemon;
        sample.dataCentre = response.dataCentre;
        if (!readSample(item.toObject(), sample))
            return fail("series[" + std::to_string(response.samples.size() - 1) + "]: not valid");
    }
    const QJsonObject buckets = json[QStringLiteral("buckets")].toObject();
    for (auto entry = buckets.begin(); entry != buckets.end(); ++entry) {
        const std::string service = entry.key().toStdString();
        if (!readBuckets(entry.value().toObject(), response.buckets[service]))
            return fail("buckets." + service + ": not valid");
    }
    return response;
}

SloResponse sloResponse(const Metrics& metrics, std::string daemon, std::string dataCentre,
    std::vector<Objective> objectives, TimePoint started, TimePoint now, std::int64_t wallClockMs)
{
    SloResponse response { std::move(daemon), std::move(dataCentre), wallClockMs, now - started, std::move(objectives),
        {}, {} };
    for (const auto& [key, series] : metrics.sloSeries()) {
        SloSample sample { response.daemon, response.dataCentre, key, {}, series.latency };
        auto& sums = response.buckets[key.service];
        for (const WindowShape& shape : windowShapes) {
            const auto index = static_cast<std::size_t>(shape.window);
            sample.windows[index] = series.counts.sum(shape.window, now);
            const std::vector<SloCounts> buckets = series.counts.buckets(shape.window, now);
            sums[index].resize(buckets.size());
            for (std::size_t bucket = 0; bucket < buckets.size(); ++bucket)
                addTo(sums[index][bucket], buckets[bucket]);
        }
        response.samples.push_back(std::move(sample));
    }
    return response;
}

} // namespace lacewing::base
