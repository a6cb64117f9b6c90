// Levels of disturbance, trials of unknown pairs, and the price of workers that few filling images can use.
#include "scheduler/colocation.h"

#include <algorithm>

namespace lacewing::scheduler {

namespace {

    constexpr double servingLoad = 0.45;   // share of its cpu that a serving task uses on average
    constexpr double calmLimit = 0.35;     // of the way to a serving task's target; leaves room for its own load
    constexpr Millis trialWaitMs = 1500;   // of waiting after which a task may try a worker that it disturbs
    constexpr Millis trialGapMs = 1400;    // between such trials on all workers together
    constexpr Millis trialCalmMs = 4000;   // without a stop for interference on the worker before such a trial
    constexpr int trialWorkers = 2;        // on which a pair of which little is known is tried at a time
    constexpr Millis demandPeriodMs = 500; // between refreshes of the demand
    constexpr double demandGain = 0.3;     // weight of the newest demand
    constexpr double scarcityLimit = 2;    // a higher price changes nothing any more

    // Counts the workers on which each pair of images is together.
    void countTrials(Planner& planner)
    {
        planner.hasTrials = true;
        for (const auto& [id, worker] : planner.scheduler.workers) {
            std::set<std::string> fills;
            for (const auto& [name, ref] : worker.tasks) {
                if (ref.step->isFilling && ref.task->phase != TaskPhase::Stopping)
                    fills.insert(ref.step->image);
            }
            for (const auto& [image, serving] : worker.servingImages) {
                for (const std::string& fill : fills)
                    ++planner.trials[{ image, fill }];
            }
        }
    }

    // A pair of which little is known is tried on few workers at a time, so that it is learned at a low price.
    bool mayTry(Planner& planner, const std::string& servingImage, const Step& fill)
    {
        if (!isUncertain(slopeOf(planner.scheduler.interference, servingImage, fill.image)))
            return true;
        if (!planner.hasTrials)
            countTrials(planner);
        return planner.trials[{ servingImage, fill.image }] < trialWorkers;
    }

    std::vector<ServingRoom>& roomsOf(Planner& planner, const Worker& worker)
    {
        const auto [entry, isNew] = planner.servingRooms.try_emplace(&worker);
        if (isNew)
            entry->second = servingRooms(planner.scheduler, worker);
        return entry->second;
    }

    // True when a task of the image alone would not disturb the serving tasks on the worker.
    bool isCompatible(const Scheduler& scheduler, const Worker& worker, const std::string& image, double millicores)
    {
        Step step;
        step.image = image;
        step.cpuMillicores = static_cast<int>(millicores);
        return std::all_of(worker.servingImages.begin(), worker.servingImages.end(), [&](const auto& serving) {
            return growthBy(scheduler, worker, serving.first, step)
                <= calmLimit * servingRoom(scheduler, serving.first, serving.second.targetMs);
        });
    }

    struct Demand {
        double millicores = 0;
        int tasks = 0;
    };

    std::map<std::string, Demand> currentDemand(const Planner& planner)
    {
        std::map<std::string, Demand> demand;
        const auto add = [&demand](const Step& step) {
            Demand& entry = demand[step.image];
            entry.millicores += step.cpuMillicores;
            ++entry.tasks;
        };
        for (const auto& [id, worker] : planner.scheduler.workers) {
            for (const auto& [name, ref] : worker.tasks) {
                if (ref.step->isFilling)
                    add(*ref.step);
            }
        }
        for (const Candidate& candidate : planner.candidates) {
            const auto index = static_cast<std::size_t>(candidate.stepNumber);
            const Step& step = candidate.job->request.steps[index];
            if (!step.isFilling)
                continue;
            for (const Task& task : candidate.occurrence->steps[index].tasks) {
                if (task.phase == TaskPhase::Waiting)
                    add(step);
            }
        }
        return demand;
    }

} // namespace

double fillRoom(const Worker& worker)
{
    const double used = worker.cpuUsed - worker.servingCpu * (1 - servingLoad);
    return worker.entry.capacity.cpuMillicores - used - worker.fillCpu;
}

double disturbance(Planner& planner, const Worker& worker, const Step& fill)
{
    double worst = 0;
    for (const ServingRoom& serving : roomsOf(planner, worker)) {
        const double growth = growthBy(planner.scheduler, worker, serving.image, fill);
        worst = std::max(worst, (serving.growth + growth) / serving.room);
        if (!mayTry(planner, serving.image, fill))
            return std::max(worst, 1.0);
    }
    return worst;
}

double disturbanceLimit(const Planner& planner, const Worker& worker, const TaskRef& ref)
{
    const Millis waited = planner.now - std::max(ref.task->since, ref.progress->readySince);
    const bool isTrialDue = planner.now - planner.scheduler.trialAt >= trialGapMs;
    if (!isTrialDue || waited < trialWaitMs || planner.now - worker.relievedAt < trialCalmMs)
        return calmLimit;
    return calmLimit * static_cast<double>(waited) / trialWaitMs;
}

void countFill(Planner& planner, const Worker& worker, const Step& fill)
{
    if (disturbance(planner, worker, fill) > calmLimit)
        planner.scheduler.trialAt = planner.now; // whether it was meant as one or not
    for (ServingRoom& serving : roomsOf(planner, worker)) {
        serving.growth += growthBy(planner.scheduler, worker, serving.image, fill);
        ++planner.trials[{ serving.image, fill.image }];
    }
}

double scarcity(Planner& planner, const Worker& worker)
{
    const auto [entry, isNew] = planner.scarcities.try_emplace(&worker, 0);
    if (!isNew)
        return entry->second;
    for (const auto& [image, demand] : planner.scheduler.fillDemand) {
        if (demand.scarcity > entry->second && isCompatible(planner.scheduler, worker, image, demand.perTask))
            entry->second = demand.scarcity;
    }
    return entry->second;
}

void updateFillDemand(Planner& planner)
{
    Scheduler& scheduler = planner.scheduler;
    if (planner.now - scheduler.fillDemandAt < demandPeriodMs)
        return;
    scheduler.fillDemandAt = planner.now;
    const std::map<std::string, Demand> current = currentDemand(planner);
    for (const auto& [image, wanted] : current)
        scheduler.fillDemand.try_emplace(image);
    for (auto it = scheduler.fillDemand.begin(); it != scheduler.fillDemand.end();) {
        auto& [image, demand] = *it;
        const auto found = current.find(image);
        const Demand wanted = found == current.end() ? Demand {} : found->second;
        if (wanted.tasks > 0)
            demand.perTask = wanted.millicores / wanted.tasks;
        demand.millicores += demandGain * (wanted.millicores - demand.millicores);
        double supply = 1;
        for (const auto& [id, worker] : scheduler.workers) {
            if (isUsable(scheduler, worker) && isCompatible(scheduler, worker, image, demand.perTask))
                supply += std::max(0.0, fillRoom(worker) + worker.fillCpu);
        }
        demand.scarcity = std::min(scarcityLimit, demand.millicores / supply);
        it = demand.millicores < 1 ? scheduler.fillDemand.erase(it) : std::next(it);
    }
}

} // namespace lacewing::scheduler
