// What filling tasks do to the serving tasks beside them, learned from the workers' late and rough readings.
//
// The effect depends on the pair of images, and a tail latency grows faster than the load that causes it. It is
// modelled as linear in the logarithm: ln(tail) = ln(tail alone) + sum over filling images of a slope times the share
// of the worker's processors that the image uses. One table serves all workers, so that a pair is learned once.
//
// Each serving image has a Kalman filter over its slopes. The covariance tells filling images that ran side by side
// apart as soon as one of them is seen without the other, and says which pairs are not known yet.
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

// Estimates for one serving image. Index 0 is ln(tail alone, ms); the others are slopes of filling images.
struct ServingModel {
    std::map<std::string, std::size_t> indices; // by filling image
    std::vector<double> estimates;
    std::vector<double> covariance;             // row by row, symmetric
    std::vector<std::uint64_t> lastSeenReading; // by index: reading in which the filling image was last seen
    std::uint64_t lastReading = 0;              // last reading of the serving image
};

struct Interference {
    std::map<std::string, ServingModel> models; // by serving image
    std::uint64_t readingCount = 0;             // that were learned from; the order in which images were seen
};

// Use of one filling image on a worker, as a share of the worker's processors.
struct FillUse {
    std::string image;
    double share = 0;
};

// Slope of a pair: growth of ln(tail) when the image used all processors of a worker.
struct Slope {
    double mean = 0;
    double deviation = 0; // standard deviation of the estimate
};

// Takes one reading of a serving image on a worker, made while the fills used their shares.
void learn(Interference& table, const std::string& servingImage, double readingMs, const std::vector<FillUse>& fills);

double baselineMs(const Interference& table, const std::string& servingImage);
Slope slopeOf(const Interference& table, const std::string& servingImage, const std::string& fillImage);
// True while too little is known of the pair to rely on its slope.
bool isUncertain(const Slope& slope);

QByteArray encodeInterference(const Interference& table);
// False when the bytes do not decode; the table is left as it was.
bool decodeInterference(Interference& table, const QByteArray& bytes);

} // namespace lacewing::scheduler
