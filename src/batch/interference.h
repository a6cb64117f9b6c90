// Interference: online estimate of how much one task class slows another down on the same worker.
//
// The estimate for a pair is slowdown - 1 of the victim for each processor's worth of load of the aggressor, as a share
// of the worker. Reports arrive late; each is compared with the neighbours that the worker has when it arrives. A pair
// without observations takes the prior of the victim's and the aggressor's class.
#pragma once

#include "batch/types.h"

#include <span>
#include <unordered_map>

namespace lacewing::batch {

using ClassIndex = std::uint32_t;

struct PairEstimate {
    double coefficient = 0; // slowdown - 1 for an aggressor that uses the whole worker
    double weight = 0;      // observations, decayed
};

struct Neighbour {
    ClassIndex service = 0;
    double load = 0; // processors used / processors of the worker
};

struct Interference {
    double prior = 0.3;         // coefficient before any observation
    double learningRate = 0.15; // step towards an observation
    std::size_t maxClasses = 256;
    std::vector<std::string> names;
    std::unordered_map<std::string, ClassIndex> indexOf;
    std::vector<PairEstimate> pairs; // victim * stride + aggressor
    std::vector<double> aggressors;  // mean coefficient of each aggressor over all victims; prior of new pairs
    std::size_t stride = 0;
};

// Index of a service; classes beyond maxClasses share index 0.
ClassIndex classOf(Interference& model, const base::ServiceId& service);

// Predicted slowdown of the victim, at least 1.
double predict(const Interference& model, ClassIndex victim, std::span<const Neighbour> neighbours);
// Coefficient of one pair.
double coefficientOf(const Interference& model, ClassIndex victim, ClassIndex aggressor);
// Learns from an observed slowdown of the victim beside the neighbours.
void observe(Interference& model, ClassIndex victim, std::span<const Neighbour> neighbours, double slowdown);

} // namespace lacewing::batch
