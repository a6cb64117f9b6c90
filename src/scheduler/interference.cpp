// Kalman filters of the serving images and the stored form of their estimates.
#include "scheduler/interference.h"

#include "base/json.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <cmath>

namespace lacewing::scheduler {

namespace {

    constexpr double priorBaselineMs = 10;       // ms; for serving images without readings
    constexpr double priorBaselineVariance = 1;  // of ln(baseline) before the first reading
    constexpr double priorSlope = 1.5;           // for pairs without readings
    constexpr double priorSlopeVariance = 9;     // of such a slope
    constexpr double readingNoiseVariance = 0.2; // of ln(reading): imprecise, and the serving tasks' own load varies
    constexpr double slopeProcessNoise = 0.001;  // added to a slope's variance with each reading of its serving image
    constexpr double processNoiseVarianceLimit = 1; // variance from which on no process noise is added
    constexpr double uncertainDeviation = 1.5;      // half the prior deviation of a slope
    constexpr double readingFloorMs = 1;            // ms; keeps the logarithm finite
    constexpr double minFillShare = 0.01; // of the processors; readings are no evidence about images that use less
    constexpr std::size_t maxFills = 64;  // per serving image; bounds the cost of processing a reading
    constexpr std::size_t maxModels = 64; // serving images; bounds memory and the size of the stored record

    double& covarianceAt(ServingModel& model, std::size_t row, std::size_t column)
    {
        return model.covariance[row * model.estimates.size() + column];
    }

    // Appends an estimate that is uncorrelated with the others.
    std::size_t addEstimate(ServingModel& model, double mean, double variance)
    {
        const std::size_t size = model.estimates.size();
        std::vector<double> covariance((size + 1) * (size + 1), 0.0);
        for (std::size_t row = 0; row < size; ++row)
            std::copy_n(model.covariance.begin() + static_cast<std::ptrdiff_t>(row * size), size,
                covariance.begin() + static_cast<std::ptrdiff_t>(row * (size + 1)));
        covariance.back() = variance;
        model.covariance = std::move(covariance);
        model.estimates.push_back(mean);
        model.lastSeenReading.push_back(0);
        return size;
    }

    // Adds a filling image to the model and returns its index. A full model replaces the least recently seen image.
    std::size_t addFill(ServingModel& model, const std::string& image)
    {
        if (model.indices.size() < maxFills)
            return model.indices[image] = addEstimate(model, priorSlope, priorSlopeVariance);
        const auto oldest
            = std::min_element(model.indices.begin(), model.indices.end(), [&](const auto& a, const auto& b) {
                  return model.lastSeenReading[a.second] < model.lastSeenReading[b.second];
              });
        const std::size_t index = oldest->second;
        model.indices.erase(oldest);
        for (std::size_t i = 0; i < model.estimates.size(); ++i)
            covarianceAt(model, index, i) = covarianceAt(model, i, index) = 0;
        covarianceAt(model, index, index) = priorSlopeVariance;
        model.estimates[index] = priorSlope;
        return model.indices[image] = index;
    }

    ServingModel& modelOf(Interference& table, const std::string& servingImage)
    {
        if (table.models.size() >= maxModels && table.models.count(servingImage) == 0)
            table.models.erase(std::min_element(table.models.begin(), table.models.end(),
                [](const auto& a, const auto& b) { return a.second.lastReading < b.second.lastReading; }));
        ServingModel& model = table.models[servingImage];
        if (model.estimates.empty())
            addEstimate(model, std::log(priorBaselineMs), priorBaselineVariance);
        return model;
    }

    void addProcessNoise(ServingModel& model)
    {
        for (std::size_t i = 1; i < model.estimates.size(); ++i) {
            double& variance = covarianceAt(model, i, i);
            if (variance < processNoiseVarianceLimit)
                variance += slopeProcessNoise;
        }
    }

    // Measurement update of the filter: the reading is the weighted sum of the estimates plus noise.
    void update(ServingModel& model, const std::vector<double>& weights, double reading)
    {
        const std::size_t size = model.estimates.size();
        std::vector<double> weightedCovariance(size, 0.0); // covariance times weights
        double predicted = 0;
        double variance = readingNoiseVariance;
        for (std::size_t i = 0; i < size; ++i) {
            for (std::size_t k = 0; k < size; ++k)
                weightedCovariance[i] += covarianceAt(model, i, k) * weights[k];
            predicted += model.estimates[i] * weights[i];
        }
        for (std::size_t i = 0; i < size; ++i)
            variance += weights[i] * weightedCovariance[i];
        for (std::size_t i = 0; i < size; ++i) {
            model.estimates[i] += weightedCovariance[i] / variance * (reading - predicted);
            if (i > 0)
                model.estimates[i] = std::max(0.0, model.estimates[i]); // filling tasks never reduce latency
            for (std::size_t k = 0; k < size; ++k)
                covarianceAt(model, i, k) -= weightedCovariance[i] * weightedCovariance[k] / variance;
        }
    }

} // namespace

void learn(Interference& table, const std::string& servingImage, double readingMs, const std::vector<FillUse>& fills)
{
    if (readingMs <= 0)
        return;
    ServingModel& model = modelOf(table, servingImage);
    addProcessNoise(model);
    model.lastReading = ++table.readingCount;
    for (const FillUse& fill : fills) {
        if (fill.share < minFillShare)
            continue;
        const auto known = model.indices.find(fill.image);
        const std::size_t index = known == model.indices.end() ? addFill(model, fill.image) : known->second;
        model.lastSeenReading[index] = table.readingCount;
    }
    std::vector<double> weights(model.estimates.size(), 0.0);
    weights[0] = 1;
    for (const FillUse& fill : fills) {
        const auto index = model.indices.find(fill.image);
        if (index != model.indices.end() && fill.share >= minFillShare)
            weights[index->second] = fill.share;
    }
    update(model, weights, std::log(std::max(readingFloorMs, readingMs)));
}

double baselineMs(const Interference& table, const std::string& servingImage)
{
    const auto model = table.models.find(servingImage);
    return model == table.models.end() ? priorBaselineMs : std::exp(model->second.estimates.front());
}

Slope slopeOf(const Interference& table, const std::string& servingImage, const std::string& fillImage)
{
    const Slope unknown { priorSlope, std::sqrt(priorSlopeVariance) };
    const auto model = table.models.find(servingImage);
    if (model == table.models.end())
        return unknown;
    const auto index = model->second.indices.find(fillImage);
    if (index == model->second.indices.end())
        return unknown;
    const std::size_t i = index->second;
    const double variance = model->second.covariance[i * model->second.estimates.size() + i];
    return { model->second.estimates[i], std::sqrt(std::max(0.0, variance)) };
}

bool isUncertain(const Slope& slope) { return slope.deviation > uncertainDeviation; }

QByteArray encodeInterference(const Interference& table)
{
    QJsonObject json;
    for (const auto& [image, model] : table.models) {
        QJsonObject slopes;
        for (const auto& [fill, index] : model.indices) {
            const Slope slope = slopeOf(table, image, fill);
            slopes[QString::fromStdString(fill)] = QJsonArray { slope.mean, slope.deviation };
        }
        json[QString::fromStdString(image)]
            = QJsonObject { { "logAloneMs", model.estimates.front() }, { "slopes", slopes } };
    }
    return QJsonDocument(json).toJson(QJsonDocument::Compact);
}

bool decodeInterference(Interference& table, const QByteArray& bytes)
{
    const std::optional<QJsonObject> json = base::parseObject(bytes);
    if (!json)
        return false;
    Interference decoded;
    for (auto it = json->begin(); it != json->end(); ++it) {
        const QJsonValue entry = it.value();
        if (!entry["logAloneMs"].isDouble() || !entry["slopes"].isObject())
            return false;
        ServingModel& model = decoded.models[it.key().toStdString()];
        addEstimate(model, entry["logAloneMs"].toDouble(), priorBaselineVariance);
        const QJsonObject slopes = entry["slopes"].toObject();
        for (auto slope = slopes.begin(); slope != slopes.end(); ++slope) {
            const double deviation = slope.value()[1].toDouble();
            model.indices[slope.key().toStdString()]
                = addEstimate(model, std::max(0.0, slope.value()[0].toDouble()), deviation * deviation);
        }
    }
    table = std::move(decoded);
    return true;
}

} // namespace lacewing::scheduler
