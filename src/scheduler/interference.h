// What filling tasks do to the serving tasks beside them, learned from the workers' late and rough readings.
//
// The effect depends on the pair of images. It is modelled as linear: the tail latency of a serving task is that of its
// image alone plus, for each filling image, a slope times the share of the worker's processors that it uses. One table
// serves all workers, so that a pair is learned once.
//
// Pure; the table is part of the scheduler's state and is stored for the next term.
#pragma once

#include <QByteArray>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lacewing::scheduler {

struct Slope {
    double msPerShare = 0; // added tail latency when the image used all processors of a worker
    int readings = 0;      // that it was learned from
};

struct Interference {
    std::map<std::string, double> aloneMs;                      // by serving image
    std::map<std::string, std::map<std::string, Slope>> slopes; // by filling image, then by serving image
};

// Use of one filling image on a worker, as a share of the worker's processors.
struct FillUse {
    std::string image;
    double share = 0;
};

// Takes one reading of a serving task, made while the fills used their shares.
void learn(Interference& table, const std::string& servingImage, double readingMs, const std::vector<FillUse>& fills);

double aloneMs(const Interference& table, const std::string& servingImage);
// Tail latency that a share of the filling image adds to a serving task.
double addedMs(const Interference& table, const std::string& servingImage, const std::string& fillImage, double share);
// Slope of a pair that has been seen together often enough; nullptr for any other.
const Slope* knownSlope(const Interference& table, const std::string& servingImage, const std::string& fillImage);

QByteArray encodeInterference(const Interference& table);
// False when the bytes do not decode; the table is left as it was.
bool decodeInterference(Interference& table, const QByteArray& bytes);

} // namespace lacewing::scheduler
