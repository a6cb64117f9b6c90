// Normalised least mean squares over the pairs of images that are present.
#include "scheduler/interference.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>

namespace lacewing::scheduler {

namespace {

    constexpr double aloneStartMs = 5;   // ms; a serving image that was never seen alone
    constexpr double aloneGain = 0.1;    // weight of the newest reading without fills
    constexpr double slopeGain = 0.4;    // share of the error that one reading corrects
    constexpr double shareFloor = 0.004; // keeps the correction bounded when hardly any processor is used
    constexpr double readingCapMs = 500; // higher readings say no more about a pair
    constexpr double usedShare = 0.01;   // less use of a fill says nothing about it
    constexpr double slopeMaxMs = 5000;  // ms for all processors of a worker
    constexpr int knownReadings = 4;     // readings after which a pair counts as known

} // namespace

double aloneMs(const Interference& table, const std::string& servingImage)
{
    const auto found = table.aloneMs.find(servingImage);
    return found == table.aloneMs.end() ? aloneStartMs : found->second;
}

namespace {

    const Slope* findSlope(const Interference& table, const std::string& servingImage, const std::string& fillImage)
    {
        const auto row = table.slopes.find(fillImage);
        if (row == table.slopes.end())
            return nullptr;
        const auto found = row->second.find(servingImage);
        return found == row->second.end() ? nullptr : &found->second;
    }

} // namespace

double addedMs(const Interference& table, const std::string& servingImage, const std::string& fillImage, double share)
{
    const Slope* slope = findSlope(table, servingImage, fillImage);
    return slope ? slope->msPerShare * share : 0;
}

const Slope* knownSlope(const Interference& table, const std::string& servingImage, const std::string& fillImage)
{
    const Slope* slope = findSlope(table, servingImage, fillImage);
    return slope && slope->readings >= knownReadings ? slope : nullptr;
}

void learn(Interference& table, const std::string& servingImage, double readingMs, const std::vector<FillUse>& fills)
{
    if (readingMs <= 0)
        return;
    const double reading = std::min(readingMs, readingCapMs);
    double predicted = aloneMs(table, servingImage);
    double energy = shareFloor;
    bool isAlone = true;
    for (const FillUse& fill : fills) {
        if (fill.share < usedShare)
            continue;
        isAlone = false;
        predicted += addedMs(table, servingImage, fill.image, fill.share);
        energy += fill.share * fill.share;
    }
    const double error = reading - predicted;
    if (isAlone) {
        double& alone = table.aloneMs.try_emplace(servingImage, aloneStartMs).first->second;
        alone += aloneGain * std::clamp(error, -alone, alone);
        return;
    }
    for (const FillUse& fill : fills) {
        if (fill.share < usedShare)
            continue;
        Slope& slope = table.slopes[fill.image][servingImage];
        slope.msPerShare = std::clamp(slope.msPerShare + slopeGain * error * fill.share / energy, 0.0, slopeMaxMs);
        ++slope.readings;
    }
}

QByteArray encodeInterference(const Interference& table)
{
    QJsonObject alone;
    for (const auto& [image, ms] : table.aloneMs)
        alone[QString::fromStdString(image)] = ms;
    QJsonArray slopes;
    for (const auto& [fill, row] : table.slopes) {
        for (const auto& [serving, slope] : row)
            slopes.append(QJsonArray {
                QString::fromStdString(serving), QString::fromStdString(fill), slope.msPerShare, slope.readings });
    }
    return QJsonDocument(QJsonObject { { "aloneMs", alone }, { "slopes", slopes } }).toJson(QJsonDocument::Compact);
}

bool decodeInterference(Interference& table, const QByteArray& bytes)
{
    const QJsonDocument document = QJsonDocument::fromJson(bytes);
    const QJsonObject json = document.object();
    if (!document.isObject() || !json["aloneMs"].isObject() || !json["slopes"].isArray())
        return false;
    const QJsonObject alone = json["aloneMs"].toObject();
    for (auto it = alone.begin(); it != alone.end(); ++it)
        table.aloneMs[it.key().toStdString()] = it.value().toDouble();
    for (const QJsonValue row : json["slopes"].toArray())
        table.slopes[row[1].toString().toStdString()][row[0].toString().toStdString()]
            = { row[2].toDouble(), row[3].toInt() };
    return true;
}

} // namespace lacewing::scheduler
