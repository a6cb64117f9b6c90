// Pairwise slowdown estimate, learned by normalized least mean squares.
#include "batch/interference.h"

#include <algorithm>

namespace lacewing::batch {

namespace {

    constexpr double fewObservations = 4; // weight of the prior against the observations of one pair

    std::size_t pairIndex(const Interference& model, ClassIndex victim, ClassIndex aggressor)
    {
        return static_cast<std::size_t>(victim) * model.stride + aggressor;
    }

} // namespace

ClassIndex classOf(Interference& model, const base::ServiceId& service)
{
    const auto found = model.indexOf.find(service.value);
    if (found != model.indexOf.end())
        return found->second;
    if (model.names.size() >= model.maxClasses)
        return 0;
    const auto index = static_cast<ClassIndex>(model.names.size());
    model.names.push_back(service.value);
    model.indexOf.emplace(service.value, index);
    model.aggressors.push_back(model.prior);
    if (model.names.size() > model.stride) {
        const std::size_t grown = std::max<std::size_t>(8, model.stride * 2);
        std::vector<PairEstimate> pairs(grown * grown);
        for (std::size_t victim = 0; victim < model.stride; ++victim) {
            for (std::size_t aggressor = 0; aggressor < model.stride; ++aggressor)
                pairs[victim * grown + aggressor] = model.pairs[victim * model.stride + aggressor];
        }
        model.pairs = std::move(pairs);
        model.stride = grown;
    }
    return index;
}

double coefficientOf(const Interference& model, ClassIndex victim, ClassIndex aggressor)
{
    if (victim >= model.names.size() || aggressor >= model.names.size())
        return model.prior;
    const PairEstimate& pair = model.pairs[pairIndex(model, victim, aggressor)];
    // Few observations of the pair: lean on what the aggressor does to others.
    const double trust = pair.weight / (pair.weight + fewObservations);
    return trust * pair.coefficient + (1 - trust) * model.aggressors[aggressor];
}

double predict(const Interference& model, ClassIndex victim, std::span<const Neighbour> neighbours)
{
    double slowdown = 1;
    for (const Neighbour& neighbour : neighbours)
        slowdown += coefficientOf(model, victim, neighbour.service) * neighbour.load;
    return slowdown;
}

void observe(Interference& model, ClassIndex victim, std::span<const Neighbour> neighbours, double slowdown)
{
    if (victim >= model.names.size())
        return;
    double power = 0;
    for (const Neighbour& neighbour : neighbours)
        power += neighbour.load * neighbour.load;
    if (power < 1e-6)
        return;
    const double error = std::clamp(slowdown, 1.0, 20.0) - predict(model, victim, neighbours);
    for (const Neighbour& neighbour : neighbours) {
        if (neighbour.service >= model.names.size())
            continue;
        const double gain = neighbour.load / power;
        PairEstimate& pair = model.pairs[pairIndex(model, victim, neighbour.service)];
        const double current = coefficientOf(model, victim, neighbour.service);
        pair.coefficient = std::max(0.0, current + model.learningRate * error * gain);
        pair.weight = std::min(pair.weight + neighbour.load / (neighbour.load + 0.1), 100.0);
        double& mean = model.aggressors[neighbour.service];
        mean = std::max(0.0, mean + 0.1 * model.learningRate * error * gain);
    }
}

} // namespace lacewing::batch
