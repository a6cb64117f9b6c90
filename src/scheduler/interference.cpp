// Kalman filters of the serving images.
#include "scheduler/interference.h"

#include "base/json.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <cmath>

namespace lacewing::scheduler {

namespace {

    constexpr double aloneStartMs = 10;        // ms; a serving image that was never seen
    constexpr double aloneVariance = 1;        // of ln(tail alone) before the first reading
    constexpr double slopeStart = 1.5;         // of a pair that was never seen
    constexpr double slopeVariance = 9;        // of such a pair
    constexpr double readingVariance = 0.2;    // of ln(reading): rough figures, and the serving tasks' own load
    constexpr double slopeDrift = 0.001;       // variance that a slope gains with each reading of its serving image
    constexpr double slopeDriftLimit = 1;      // variance above which a slope gains no more
    constexpr double uncertainDeviation = 1.5; // half of what a pair starts with
    constexpr double readingFloorMs = 1;       // keeps the logarithm finite
    constexpr double usedShare = 0.01;         // less use of a fill says nothing about it
    constexpr std::size_t maxFills = 64;       // filling images of one model; bounds the cost of a reading
    constexpr std::size_t maxModels = 64;      // serving images; bounds the memory and the record

    double& cell(ServingModel& model, std::size_t row, std::size_t column)
    {
        return model.covariance[row * model.estimates.size() + column];
    }

    // Adds a row and a column with the variance to the covariance.
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
        model.seenAt.push_back(0);
        return size;
    }

    // Index of a filling image that is new to the model; takes the place of the one not seen for longest when it is
    // full.
    std::size_t addFill(ServingModel& model, const std::string& image)
    {
        if (model.indices.size() < maxFills)
            return model.indices[image] = addEstimate(model, slopeStart, slopeVariance);
        const auto oldest = std::min_element(model.indices.begin(), model.indices.end(),
            [&](const auto& a, const auto& b) { return model.seenAt[a.second] < model.seenAt[b.second]; });
        const std::size_t index = oldest->second;
        model.indices.erase(oldest);
        for (std::size_t i = 0; i < model.estimates.size(); ++i)
            cell(model, index, i) = cell(model, i, index) = 0;
        cell(model, index, index) = slopeVariance;
        model.estimates[index] = slopeStart;
        return model.indices[image] = index;
    }

    ServingModel& modelOf(Interference& table, const std::string& servingImage)
    {
        if (table.models.size() >= maxModels && table.models.count(servingImage) == 0)
            table.models.erase(std::min_element(table.models.begin(), table.models.end(),
                [](const auto& a, const auto& b) { return a.second.learnedAt < b.second.learnedAt; }));
        ServingModel& model = table.models[servingImage];
        if (model.estimates.empty())
            addEstimate(model, std::log(aloneStartMs), aloneVariance);
        return model;
    }

    void drift(ServingModel& model)
    {
        for (std::size_t i = 1; i < model.estimates.size(); ++i) {
            double& variance = cell(model, i, i);
            if (variance < slopeDriftLimit)
                variance += slopeDrift;
        }
    }

    // One step of the filter: the reading is the sum of the estimates, each times its weight, plus noise.
    void update(ServingModel& model, const std::vector<double>& weights, double reading)
    {
        const std::size_t size = model.estimates.size();
        std::vector<double> spread(size, 0.0); // covariance times weights
        double predicted = 0;
        double variance = readingVariance;
        for (std::size_t i = 0; i < size; ++i) {
            for (std::size_t k = 0; k < size; ++k)
                spread[i] += cell(model, i, k) * weights[k];
            predicted += model.estimates[i] * weights[i];
        }
        for (std::size_t i = 0; i < size; ++i)
            variance += weights[i] * spread[i];
        for (std::size_t i = 0; i < size; ++i) {
            model.estimates[i] += spread[i] / variance * (reading - predicted);
            if (i > 0)
                model.estimates[i] = std::max(0.0, model.estimates[i]); // a fill never makes others faster
            for (std::size_t k = 0; k < size; ++k)
                cell(model, i, k) -= spread[i] * spread[k] / variance;
        }
    }

} // namespace

void learn(Interference& table, const std::string& servingImage, double readingMs, const std::vector<FillUse>& fills)
{
    if (readingMs <= 0)
        return;
    ServingModel& model = modelOf(table, servingImage);
    drift(model);
    model.learnedAt = ++table.readings;
    for (const FillUse& fill : fills) {
        if (fill.share < usedShare)
            continue;
        const auto known = model.indices.find(fill.image);
        const std::size_t index = known == model.indices.end() ? addFill(model, fill.image) : known->second;
        model.seenAt[index] = table.readings;
    }
    std::vector<double> weights(model.estimates.size(), 0.0);
    weights[0] = 1;
    for (const FillUse& fill : fills) {
        const auto index = model.indices.find(fill.image);
        if (index != model.indices.end() && fill.share >= usedShare)
            weights[index->second] = fill.share;
    }
    update(model, weights, std::log(std::max(readingFloorMs, readingMs)));
}

double aloneMs(const Interference& table, const std::string& servingImage)
{
    const auto model = table.models.find(servingImage);
    return model == table.models.end() ? aloneStartMs : std::exp(model->second.estimates.front());
}

Slope slopeOf(const Interference& table, const std::string& servingImage, const std::string& fillImage)
{
    const Slope unknown { slopeStart, std::sqrt(slopeVariance) };
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
        addEstimate(model, entry["logAloneMs"].toDouble(), aloneVariance);
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
