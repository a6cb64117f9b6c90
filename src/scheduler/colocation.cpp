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

    ImagePair& pairOf(Planner& planner, std::size_t serving, std::size_t fill)
    {
        Images& images = planner.images;
        std::vector<ImagePair>& row = images.pairs[serving];
        if (fill >= row.size())
            row.resize(images.names.size());
        ImagePair& pair = row[fill];
        if (!pair.isLoaded) {
            const Slope slope = slopeOf(planner.scheduler.interference, *images.names[serving], *images.names[fill]);
            pair.isLoaded = true;
            pair.slope = slope.mean;
            pair.isUncertain = isUncertain(slope);
        }
        return pair;
    }

    // servingRoom, computed once for each image and target.
    double roomOf(Planner& planner, std::size_t serving, int targetMs)
    {
        std::vector<std::pair<int, double>>& rooms = planner.images.rooms[serving];
        for (const auto& [target, room] : rooms) {
            if (target == targetMs)
                return room;
        }
        rooms.emplace_back(targetMs, servingRoom(planner.scheduler, *planner.images.names[serving], targetMs));
        return rooms.back().second;
    }

    // Counts the workers on which each pair of images is together.
    void countTrials(Planner& planner)
    {
        planner.images.hasTrials = true;
        std::vector<std::size_t> fills;
        for (const auto& [id, worker] : planner.scheduler.workers) {
            if (worker.servingImages.empty())
                continue;
            fills.clear();
            for (const auto& [name, ref] : worker.tasks) {
                if (ref.step->isFilling && ref.task->phase != TaskPhase::Stopping)
                    fills.push_back(imageNumber(planner, ref.step->image));
            }
            std::sort(fills.begin(), fills.end());
            fills.erase(std::unique(fills.begin(), fills.end()), fills.end());
            for (const auto& [image, serving] : worker.servingImages) {
                const std::size_t number = imageNumber(planner, image);
                for (const std::size_t fill : fills)
                    ++pairOf(planner, number, fill).trials;
            }
        }
    }

    // A pair of which little is known is tried on few workers at a time, so that it is learned at a low price. The pair
    // must be uncertain.
    bool mayTry(Planner& planner, std::size_t serving, std::size_t fill)
    {
        if (!planner.images.hasTrials)
            countTrials(planner);
        return pairOf(planner, serving, fill).trials < trialWorkers;
    }

    std::vector<ServingRoom>& roomsOf(Planner& planner, PlannedWorker& planned)
    {
        if (planned.servingRooms)
            return *planned.servingRooms;
        const Worker& worker = *planned.worker;
        std::vector<std::pair<std::size_t, double>> fills; // image and share of each task
        for (const auto& [name, ref] : worker.tasks) {
            if (ref.step->isFilling && ref.task->phase != TaskPhase::Stopping)
                fills.emplace_back(imageNumber(planner, ref.step->image), cpuShareOf(worker, ref.step->cpuMillicores));
        }
        std::vector<ServingRoom>& rooms = planned.servingRooms.emplace();
        rooms.reserve(worker.servingImages.size());
        for (const auto& [image, serving] : worker.servingImages) {
            ServingRoom entry;
            entry.image = imageNumber(planner, image);
            entry.room = roomOf(planner, entry.image, serving.targetMs);
            for (const auto& [fill, share] : fills)
                entry.growth += pairOf(planner, entry.image, fill).slope * share;
            rooms.push_back(entry);
        }
        return rooms;
    }

    // True when a task of the image alone would not disturb the serving tasks on the worker.
    bool isCompatible(Planner& planner, const Worker& worker, std::size_t fill, double millicores)
    {
        const double share = cpuShareOf(worker, static_cast<int>(millicores));
        return std::all_of(worker.servingImages.begin(), worker.servingImages.end(), [&](const auto& entry) {
            const std::size_t serving = imageNumber(planner, entry.first);
            return pairOf(planner, serving, fill).slope * share
                <= calmLimit * roomOf(planner, serving, entry.second.targetMs);
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

std::size_t imageNumber(Planner& planner, const std::string& image)
{
    Images& images = planner.images;
    const auto [entry, isNew] = images.numbers.try_emplace(image, images.names.size());
    if (isNew) {
        images.names.push_back(&entry->first);
        images.pairs.emplace_back();
        images.rooms.emplace_back();
    }
    return entry->second;
}

double disturbance(Planner& planner, PlannedWorker& worker, const Step& fill, std::size_t fillImage)
{
    const double share = cpuShareOf(*worker.worker, fill.cpuMillicores);
    double worst = 0;
    for (const ServingRoom& serving : roomsOf(planner, worker)) {
        const ImagePair& pair = pairOf(planner, serving.image, fillImage);
        worst = std::max(worst, (serving.growth + pair.slope * share) / serving.room);
        if (pair.isUncertain && !mayTry(planner, serving.image, fillImage))
            return std::max(worst, 1.0);
    }
    return worst;
}

double disturbanceOf(Planner& planner, const Worker& worker, const Step& serving)
{
    const std::size_t image = imageNumber(planner, serving.image);
    const double room = roomOf(planner, image, serving.latencyTargetMs);
    double growth = 0;
    for (const auto& [name, ref] : worker.tasks) {
        if (ref.step->isFilling)
            growth += pairOf(planner, image, imageNumber(planner, ref.step->image)).slope
                * cpuShareOf(worker, ref.step->cpuMillicores);
    }
    return growth / room;
}

double disturbanceLimit(const Planner& planner, const Worker& worker, const TaskRef& ref)
{
    const Millis waited = planner.now - std::max(ref.task->phaseSince, ref.progress->readySince);
    const bool isTrialDue = planner.now - planner.scheduler.lastTrialAt >= trialGapMs;
    if (!isTrialDue || waited < trialWaitMs || planner.now - worker.lastFillStopAt < trialCalmMs)
        return calmLimit;
    return calmLimit * static_cast<double>(waited) / trialWaitMs;
}

void countFill(Planner& planner, PlannedWorker& worker, const Step& fill)
{
    const std::size_t fillImage = imageNumber(planner, fill.image);
    if (disturbance(planner, worker, fill, fillImage) > calmLimit)
        planner.scheduler.lastTrialAt = planner.now; // whether it was meant as one or not
    const double share = cpuShareOf(*worker.worker, fill.cpuMillicores);
    for (ServingRoom& serving : roomsOf(planner, worker)) {
        ImagePair& pair = pairOf(planner, serving.image, fillImage);
        serving.growth += pair.slope * share;
        if (++pair.trials == trialWorkers && pair.isUncertain)
            ++planner.images.trialVersion;
    }
}

double scarcity(Planner& planner, PlannedWorker& planned)
{
    if (planned.scarcity)
        return *planned.scarcity;
    const Worker& worker = *planned.worker;
    std::vector<std::pair<std::size_t, double>> limits; // serving image and the growth of ln(tail) that it may bear
    limits.reserve(worker.servingImages.size());
    for (const auto& [image, serving] : worker.servingImages) {
        const std::size_t number = imageNumber(planner, image);
        limits.emplace_back(number, calmLimit * roomOf(planner, number, serving.targetMs));
    }
    double highest = 0;
    for (const auto& [image, demand] : planner.images.scarceImages) {
        if (demand->scarcity <= highest)
            continue;
        const std::size_t fill = image;
        const double share = cpuShareOf(worker, static_cast<int>(demand->perTask));
        const bool isCompatible = std::all_of(limits.begin(), limits.end(),
            [&](const auto& limit) { return pairOf(planner, limit.first, fill).slope * share <= limit.second; });
        if (isCompatible)
            highest = demand->scarcity;
    }
    planned.scarcity = highest;
    return highest;
}

void updateFillDemand(Planner& planner)
{
    Scheduler& scheduler = planner.scheduler;
    const auto collect = [&] {
        for (const auto& [image, demand] : scheduler.fillDemand)
            planner.images.scarceImages.emplace_back(imageNumber(planner, image), &demand);
    };
    if (planner.now - scheduler.fillDemandAt < demandPeriodMs) {
        collect();
        return;
    }
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
        const std::size_t number = imageNumber(planner, image);
        for (const auto& [id, worker] : scheduler.workers) {
            if (isUsable(scheduler, worker) && isCompatible(planner, worker, number, demand.perTask))
                supply += std::max(0.0, fillRoom(worker) + worker.fillCpu);
        }
        demand.scarcity = std::min(scarcityLimit, demand.millicores / supply);
        it = demand.millicores < 1 ? scheduler.fillDemand.erase(it) : std::next(it);
    }
    collect();
}

} // namespace lacewing::scheduler
