// Model of the interference of filling tasks with serving tasks on the same worker, estimated from the tail latencies
// that workers report, which are delayed and imprecise.
//
// The effect depends on the pair of images, and tail latency grows faster than the load that causes it. The model is
// linear in the logarithm: ln(tail) = ln(baseline) + sum over filling images of a slope times the share of the worker's
// processors that the image uses. The baseline is the tail latency without filling tasks. One table serves all workers,
// so that each pair is learned only once.
//
// Each serving image has a Kalman filter over its baseline and slopes. The covariance separates the effects of filling
// images that ran together as soon as one of them is observed without the other, and identifies uncertain pairs.
//
// Pure; the table is part of the scheduler's state and is stored for the next term.
#pragma once

#include <QByteArray>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lacewing::scheduler {

// Estimates for one serving image. Index 0 is ln(baseline in ms); the others are slopes of filling images.
struct ServingModel {
    std::map<std::string, std::size_t> indices; // by filling image
    std::vector<double> estimates;
    std::vector<double> covariance;             // row-major, symmetric
    std::vector<std::uint64_t> lastSeenReading; // by index: number of the last reading with the filling image
    std::uint64_t lastReading = 0;              // number of the last reading of the serving image
};

struct Interference {
    std::map<std::string, ServingModel> models; // by serving image
    std::uint64_t readingCount = 0;             // processed so far; numbers the readings
};

// Processor use of one filling image on a worker, as a share of the worker's processors.
struct FillUse {
    std::string image;
    double share = 0;
};

// Slope of a pair: growth of ln(tail) if the filling image used all processors of a worker.
struct Slope {
    double mean = 0;
    double deviation = 0; // standard deviation of the estimate
};

// Updates the model of a serving image with a tail latency read on one worker while `fills` ran beside it.
void learn(Interference& table, const std::string& servingImage, double readingMs, const std::vector<FillUse>& fills);

// Tail latency without filling tasks.
double baselineMs(const Interference& table, const std::string& servingImage);
Slope slopeOf(const Interference& table, const std::string& servingImage, const std::string& fillImage);
// True while the estimate is too uncertain to rely on.
bool isUncertain(const Slope& slope);

QByteArray encodeInterference(const Interference& table);
// Returns false when the bytes are malformed; the table is unchanged then.
bool decodeInterference(Interference& table, const QByteArray& bytes);

} // namespace lacewing::scheduler
