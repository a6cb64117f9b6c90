// Interference levels, trials of uncertain pairs, and the scarcity of workers that few filling images can use.
#include "scheduler/colocation.h"

#include <algorithm>

namespace lacewing::scheduler {

namespace {

    constexpr double servingUtilization = 0.45;    // share of its requested cpu that a serving task uses on average
    constexpr double baseInterferenceLimit = 0.35; // share of a serving image's headroom; the rest is for its own load
    // Share of the headroom that a job with nothing running may use up; half is left for the serving tasks' own load.
    constexpr double idleInterferenceLimit = 0.5;
    constexpr Millis trialWaitMs = 1500;     // ms; queue wait after which a task may start in spite of interference
    constexpr Millis trialIntervalMs = 1400; // ms between such trials on all workers together
    constexpr Millis trialQuietMs = 4000;   // ms without an eviction for interference on the worker before such a trial
    constexpr int maxTrialWorkers = 2;      // workers on which an uncertain pair may run at a time
    constexpr Millis demandRefreshMs = 500; // ms between refreshes of the demand
    constexpr double demandSmoothing = 0.3; // weight of the newest value in the exponential moving average
    constexpr double maxScarcity = 2;       // higher values would not change placement any more

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

    // Result of servingHeadroom, cached for each image and target.
    double headroomOf(Planner& planner, std::size_t serving, int targetMs)
    {
        std::vector<std::pair<int, double>>& headrooms = planner.images.headrooms[serving];
        for (const auto& [target, headroom] : headrooms) {
            if (target == targetMs)
                return headroom;
        }
        headrooms.emplace_back(targetMs, servingHeadroom(planner.scheduler, *planner.images.names[serving], targetMs));
        return headrooms.back().second;
    }

    // Counts the workers that run both images, for each pair.
    void countTrials(Planner& planner)
    {
        planner.images.hasTrialCounts = true;
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

    // The pair must be uncertain. It runs on few workers at a time, so that only these are affected while its slope is
    // being estimated.
    bool isTrialAllowed(Planner& planner, std::size_t serving, std::size_t fill)
    {
        if (!planner.images.hasTrialCounts)
            countTrials(planner);
        return pairOf(planner, serving, fill).trials < maxTrialWorkers;
    }

    std::vector<LatencyHeadroom>& headroomsOf(Planner& planner, PlannedWorker& planned)
    {
        if (planned.headrooms)
            return *planned.headrooms;
        const Worker& worker = *planned.worker;
        std::vector<std::pair<std::size_t, double>> fills; // image number and processor share of each task
        for (const auto& [name, ref] : worker.tasks) {
            if (ref.step->isFilling && ref.task->phase != TaskPhase::Stopping)
                fills.emplace_back(imageNumber(planner, ref.step->image), cpuShareOf(worker, ref.step->cpuMillicores));
        }
        std::vector<LatencyHeadroom>& headrooms = planned.headrooms.emplace();
        headrooms.reserve(worker.servingImages.size());
        for (const auto& [image, serving] : worker.servingImages) {
            LatencyHeadroom entry;
            entry.image = imageNumber(planner, image);
            entry.headroom = headroomOf(planner, entry.image, serving.targetMs);
            for (const auto& [fill, share] : fills)
                entry.growth += pairOf(planner, entry.image, fill).slope * share;
            headrooms.push_back(entry);
        }
        return headrooms;
    }

    // True when a filling task of the image, without others, would stay within the interference limit of all serving
    // images on the worker.
    bool isCompatible(Planner& planner, const Worker& worker, std::size_t fill, double millicores)
    {
        const double share = cpuShareOf(worker, static_cast<int>(millicores));
        return std::all_of(worker.servingImages.begin(), worker.servingImages.end(), [&](const auto& entry) {
            const std::size_t serving = imageNumber(planner, entry.first);
            return pairOf(planner, serving, fill).slope * share
                <= baseInterferenceLimit * headroomOf(planner, serving, entry.second.targetMs);
        });
    }

    // Since the last end of a run of the step, or since it became ready.
    Millis waitedMs(const Planner& planner, const StepProgress& progress)
    {
        return planner.now - std::max(progress.readySince, progress.lastEndAt);
    }

    bool isTrialDue(const Planner& planner) { return planner.now - planner.scheduler.lastTrialAt >= trialIntervalMs; }

    bool isQuiet(const Planner& planner, const Worker& worker)
    {
        return planner.now - worker.lastFillEvictionAt >= trialQuietMs;
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
            int startable = candidate.startable;
            for (const Task& task : candidate.occurrence->steps[index].tasks) {
                if (task.phase == TaskPhase::Waiting && startable-- > 0)
                    add(step);
            }
        }
        return demand;
    }

} // namespace

double freeFillCpu(const Worker& worker)
{
    const double used = worker.cpuUsed - worker.servingCpu * (1 - servingUtilization);
    return worker.entry.capacity.cpuMillicores - used - worker.fillCpu;
}

std::size_t imageNumber(Planner& planner, const std::string& image)
{
    Images& images = planner.images;
    const auto [entry, isNew] = images.numbers.try_emplace(image, images.names.size());
    if (isNew) {
        images.names.push_back(&entry->first);
        images.pairs.emplace_back();
        images.headrooms.emplace_back();
    }
    return entry->second;
}

double interferenceOfFill(Planner& planner, PlannedWorker& worker, const Step& fill, std::size_t fillImage)
{
    const double share = cpuShareOf(*worker.worker, fill.cpuMillicores);
    double worst = 0;
    for (const LatencyHeadroom& serving : headroomsOf(planner, worker)) {
        const ImagePair& pair = pairOf(planner, serving.image, fillImage);
        worst = std::max(worst, (serving.growth + pair.slope * share) / serving.headroom);
        if (pair.isUncertain && !isTrialAllowed(planner, serving.image, fillImage))
            return std::max(worst, 1.0);
    }
    return worst;
}

double interferenceOnServing(Planner& planner, const Worker& worker, const Step& serving)
{
    const std::size_t image = imageNumber(planner, serving.image);
    const double headroom = headroomOf(planner, image, serving.latencyTargetMs);
    double growth = 0;
    for (const auto& [name, ref] : worker.tasks) {
        if (ref.step->isFilling)
            growth += pairOf(planner, image, imageNumber(planner, ref.step->image)).slope
                * cpuShareOf(worker, ref.step->cpuMillicores);
    }
    return growth / headroom;
}

TrialState trialState(const Planner& planner, const Worker& worker, const StepProgress& progress)
{
    if (progress.placed > 0)
        return TrialState::HasRuns;
    if (waitedMs(planner, progress) < trialWaitMs)
        return TrialState::ShortWait;
    if (!isQuiet(planner, worker))
        return TrialState::RecentEviction;
    return isTrialDue(planner) ? TrialState::Due : TrialState::RecentTrial;
}

bool isTrialLimited(Planner& planner, PlannedWorker& worker, std::size_t fillImage)
{
    const std::vector<LatencyHeadroom>& headrooms = headroomsOf(planner, worker);
    return std::any_of(headrooms.begin(), headrooms.end(), [&](const LatencyHeadroom& serving) {
        return pairOf(planner, serving.image, fillImage).isUncertain
            && !isTrialAllowed(planner, serving.image, fillImage);
    });
}

double interferenceLimit(const Planner& planner, const StepProgress& progress)
{
    const Millis waited = waitedMs(planner, progress);
    if (progress.placed > 0 || waited < trialWaitMs)
        return baseInterferenceLimit;
    const double limit = baseInterferenceLimit * static_cast<double>(waited) / trialWaitMs;
    return isTrialDue(planner) ? limit : std::min(limit, idleInterferenceLimit);
}

double interferenceLimitOn(const Planner& planner, const Worker& worker, double limit)
{
    return isQuiet(planner, worker) ? limit : std::min(limit, baseInterferenceLimit);
}

void recordFillStart(Planner& planner, PlannedWorker& worker, const Step& fill)
{
    const std::size_t fillImage = imageNumber(planner, fill.image);
    if (interferenceOfFill(planner, worker, fill, fillImage) > idleInterferenceLimit)
        planner.scheduler.lastTrialAt = planner.now; // also when it was not started as one
    const double share = cpuShareOf(*worker.worker, fill.cpuMillicores);
    for (LatencyHeadroom& serving : headroomsOf(planner, worker)) {
        ImagePair& pair = pairOf(planner, serving.image, fillImage);
        serving.growth += pair.slope * share;
        if (++pair.trials == maxTrialWorkers && pair.isUncertain)
            ++planner.images.trialVersion;
    }
}

double scarcity(Planner& planner, PlannedWorker& planned)
{
    if (planned.scarcity)
        return *planned.scarcity;
    const Worker& worker = *planned.worker;
    std::vector<std::pair<std::size_t, double>> limits; // serving image and its limit of the growth of ln(tail)
    limits.reserve(worker.servingImages.size());
    for (const auto& [image, serving] : worker.servingImages) {
        const std::size_t number = imageNumber(planner, image);
        limits.emplace_back(number, baseInterferenceLimit * headroomOf(planner, number, serving.targetMs));
    }
    double highest = 0;
    for (const auto& [image, demand] : planner.images.fillDemands) {
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
            planner.images.fillDemands.emplace_back(imageNumber(planner, image), &demand);
    };
    if (planner.now - scheduler.fillDemandAt < demandRefreshMs) {
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
        demand.millicores += demandSmoothing * (wanted.millicores - demand.millicores);
        double supply = 1;
        const std::size_t number = imageNumber(planner, image);
        for (const auto& [id, worker] : scheduler.workers) {
            if (isUsable(scheduler, worker) && isCompatible(planner, worker, number, demand.perTask))
                supply += std::max(0.0, freeFillCpu(worker) + worker.fillCpu);
        }
        demand.scarcity = std::min(maxScarcity, demand.millicores / supply);
        it = demand.millicores < 1 ? scheduler.fillDemand.erase(it) : std::next(it);
    }
    collect();
}

} // namespace lacewing::scheduler
