// Burn rates, contributors and the JSON form of GET /v1/slo.
#include "base/burn.h"

#include <QJsonArray>
#include <algorithm>

namespace lacewing::base {

namespace {

    std::uint64_t badOf(const Objective& objective, const SloCounts& counts)
    {
        return objective.kind == ObjectiveKind::Latency ? counts.slow : counts.failed;
    }

    // Latency is judged over answered requests only; a refusal counts against availability.
    std::uint64_t totalOf(const Objective& objective, const SloCounts& counts)
    {
        if (objective.kind == ObjectiveKind::Latency)
            return counts.total - std::min(counts.failed, counts.total);
        return counts.total;
    }

    void add(SloCounts& sum, const SloCounts& counts)
    {
        sum.total += counts.total;
        sum.failed += counts.failed;
        sum.slow += counts.slow;
    }

    const WindowBurn& windowOf(const ObjectiveBurn& burn, Window window)
    {
        return burn.windows[static_cast<std::size_t>(window)];
    }

    QJsonArray toJson(const SloCounts& counts)
    {
        return { static_cast<qint64>(counts.total), static_cast<qint64>(counts.failed), static_cast<qint64>(counts.slow) };
    }

    std::optional<SloCounts> countsFromJson(const QJsonValue& value)
    {
        const QJsonArray array = value.toArray();
        if (array.size() != 3)
            return std::nullopt;
        for (const QJsonValue entry : array) {
            if (!entry.isDouble() || entry.toInteger(-1) < 0)
                return std::nullopt;
        }
        return SloCounts { static_cast<std::uint64_t>(array[0].toInteger()),
            static_cast<std::uint64_t>(array[1].toInteger()), static_cast<std::uint64_t>(array[2].toInteger()) };
    }

    QJsonObject toJson(const Objective& objective)
    {
        QJsonObject object { { "service", QString::fromStdString(objective.service) },
            { "kind", QString::fromUtf8(nameOf(objectiveKindNames, objective.kind).data()) },
            { "target", objective.target } };
        if (objective.threshold)
            object["thresholdMs"] = static_cast<qint64>(toMilliseconds(*objective.threshold));
        return object;
    }

    std::optional<Objective> objectiveFromJson(const QJsonValue& value)
    {
        const auto kind = valueOf(objectiveKindNames, value["kind"].toString().toStdString());
        const double target = value["target"].toDouble(-1);
        if (!kind || !value["service"].isString() || !(target > 0) || !(target < 1))
            return std::nullopt;
        Objective objective;
        objective.service = value["service"].toString().toStdString();
        objective.kind = *kind;
        objective.target = target;
        if (value["thresholdMs"].isDouble())
            objective.threshold = milliseconds(value["thresholdMs"].toInteger());
        return objective;
    }

    QJsonObject toJson(const SloSample& sample)
    {
        QJsonObject windows;
        for (std::size_t window = 0; window < windowCount; ++window) {
            QJsonArray buckets;
            for (const SloCounts& counts : sample.buckets[window])
                buckets.append(toJson(counts));
            windows[windowShapes[window].name]
                = QJsonObject { { "sum", toJson(sample.windows[window]) }, { "buckets", buckets } };
        }
        return { { "service", QString::fromStdString(sample.key.service) },
            { "endpoint", QString::fromStdString(sample.key.endpoint) }, { "windows", windows },
            { "latency", sample.latency.toJson() } };
    }

    std::optional<SloSample> sampleFromJson(const QJsonValue& value)
    {
        if (!value["service"].isString() || !value["endpoint"].isString())
            return std::nullopt;
        SloSample sample;
        sample.key = { value["service"].toString().toStdString(), value["endpoint"].toString().toStdString() };
        for (std::size_t window = 0; window < windowCount; ++window) {
            const QJsonValue entry = value["windows"][QLatin1String(windowShapes[window].name)];
            const auto sum = countsFromJson(entry["sum"]);
            constexpr qsizetype mostBuckets = 61;
            const QJsonArray buckets = entry["buckets"].toArray();
            if (!sum || buckets.size() > mostBuckets)
                return std::nullopt;
            sample.windows[window] = *sum;
            for (const QJsonValue bucket : buckets) {
                const auto counts = countsFromJson(bucket);
                if (!counts)
                    return std::nullopt;
                sample.buckets[window].push_back(*counts);
            }
        }
        auto latency = LatencyHistogram::fromJson(value["latency"].toObject());
        if (!latency)
            return std::nullopt;
        sample.latency = std::move(*latency);
        return sample;
    }

} // namespace

double burnRate(const Objective& objective, const SloCounts& counts)
{
    const std::uint64_t total = totalOf(objective, counts);
    if (total == 0)
        return 0;
    const double badShare = static_cast<double>(badOf(objective, counts)) / static_cast<double>(total);
    return badShare / (1.0 - objective.target);
}

ObjectiveBurn evaluate(const Objective& objective, const std::array<SloCounts, windowCount>& windows)
{
    ObjectiveBurn burn;
    burn.objective = objective;
    for (std::size_t window = 0; window < windowCount; ++window)
        burn.windows[window] = { windowShapes[window].window, windows[window], burnRate(objective, windows[window]) };
    burn.budgetUsedShare = burn.windows.back().rate;
    for (const BurnRule& rule : burnRules) {
        const WindowBurn& longWindow = windowOf(burn, rule.longWindow);
        const WindowBurn& shortWindow = windowOf(burn, rule.shortWindow);
        const bool isCounted = totalOf(objective, longWindow.counts) >= minimumRequests;
        const bool isFired = longWindow.rate > rule.threshold && shortWindow.rate > rule.threshold;
        if (isCounted && isFired && rule.severity > burn.severity) {
            burn.severity = rule.severity;
            burn.firedRule = rule;
        }
    }
    return burn;
}

std::vector<Contributor> worst(
    const Objective& objective, const std::vector<SloSample>& samples, ContributorKind kind, std::size_t limit)
{
    const auto hour = static_cast<std::size_t>(Window::OneHour);
    std::map<std::string, SloCounts> sums;
    std::uint64_t allBad = 0;
    for (const SloSample& sample : samples) {
        if (sample.key.service != objective.service)
            continue;
        const std::string& name = kind == ContributorKind::Endpoint ? sample.key.endpoint : sample.dataCentre;
        add(sums[name], sample.windows[hour]);
        allBad += badOf(objective, sample.windows[hour]);
    }
    std::vector<Contributor> result;
    for (const auto& [name, counts] : sums) {
        const std::uint64_t bad = badOf(objective, counts);
        if (bad > 0)
            result.push_back({ name, counts, burnRate(objective, counts), static_cast<double>(bad) / static_cast<double>(allBad) });
    }
    std::stable_sort(result.begin(), result.end(),
        [](const Contributor& a, const Contributor& b) { return a.shareOfBad > b.shareOfBad; });
    if (result.size() > limit)
        result.resize(limit);
    return result;
}

QJsonObject toJson(const SloAnswer& answer)
{
    QJsonArray objectives;
    for (const Objective& objective : answer.objectives)
        objectives.append(toJson(objective));
    QJsonArray samples;
    for (const SloSample& sample : answer.samples)
        samples.append(toJson(sample));
    return { { "daemon", QString::fromStdString(answer.daemon) },
        { "dataCentre", QString::fromStdString(answer.dataCentre) }, { "timeMs", static_cast<qint64>(answer.timeMs) },
        { "upTimeMs", static_cast<qint64>(toMilliseconds(answer.upTime)) }, { "objectives", objectives },
        { "samples", samples } };
}

std::optional<SloAnswer> sloAnswerFromJson(const QJsonObject& json, std::string& error)
{
    SloAnswer answer;
    if (!json["daemon"].isString() || !json["dataCentre"].isString() || !json["objectives"].isArray()
        || !json["samples"].isArray()) {
        error = "daemon, dataCentre, objectives or samples is missing or has another type";
        return std::nullopt;
    }
    answer.daemon = json["daemon"].toString().toStdString();
    answer.dataCentre = json["dataCentre"].toString().toStdString();
    answer.timeMs = json["timeMs"].toInteger();
    answer.upTime = milliseconds(json["upTimeMs"].toInteger());
    const QJsonArray objectives = json["objectives"].toArray();
    for (const QJsonValue value : objectives) {
        const auto objective = objectiveFromJson(value);
        if (!objective) {
            error = "an objective has a missing or wrong field";
            return std::nullopt;
        }
        answer.objectives.push_back(*objective);
    }
    const QJsonArray samples = json["samples"].toArray();
    for (const QJsonValue value : samples) {
        auto sample = sampleFromJson(value);
        if (!sample) {
            error = "a sample has a missing or wrong field";
            return std::nullopt;
        }
        sample->daemon = answer.daemon;
        sample->dataCentre = answer.dataCentre;
        answer.samples.push_back(std::move(*sample));
    }
    return answer;
}

SloAnswer sloAnswer(const Metrics& metrics, std::string daemon, std::string dataCentre,
    std::vector<Objective> objectives, TimePoint started, TimePoint now, std::int64_t wallClockMs)
{
    SloAnswer answer;
    answer.daemon = std::move(daemon);
    answer.dataCentre = std::move(dataCentre);
    answer.timeMs = wallClockMs;
    answer.upTime = now - started;
    answer.objectives = std::move(objectives);
    for (const auto& [key, series] : metrics.sloSeries()) {
        SloSample sample;
        sample.daemon = answer.daemon;
        sample.dataCentre = answer.dataCentre;
        sample.key = key;
        for (std::size_t window = 0; window < windowCount; ++window) {
            sample.windows[window] = series.counts.sum(windowShapes[window].window, now);
            sample.buckets[window] = series.counts.buckets(windowShapes[window].window, now);
        }
        sample.latency = series.latency;
        answer.samples.push_back(std::move(sample));
    }
    return answer;
}

} // namespace lacewing::base
