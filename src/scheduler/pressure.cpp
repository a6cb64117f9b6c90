// Protects the latency targets of serving tasks: updates the interference model with their readings and evicts the
// filling tasks that push them over their targets.
//
// An evicted filling task keeps its checkpoint and starts again beside images with which it does not interfere. The
// tasks that contribute most are evicted first, and no more of them than necessary to meet the target.
#include "scheduler/internal.h"

#include <algorithm>
#include <cmath>

namespace lacewing::scheduler {

namespace {

    constexpr Millis readingWindowMs = 500;  // ms; period that a reading covers
    constexpr Millis settleMs = 1000;        // ms after an eviction before readings of the worker lead to the next one
    constexpr double nearlyDonePercent = 85; // filling tasks that end soon are not evicted early
    constexpr double evictionMargin = 0.2;   // of ln(tail): aims below the target, because readings are imprecise
    constexpr double minContribution = 0.12; // of ln(tail): filling tasks that add less are not evicted early
    constexpr double recoveryPressure = 0.9; // of the target; hysteresis, because readings are imprecise
    constexpr double minHeadroom = 0.2;      // of ln(tail): for serving images whose baseline is near their target
    // Full eviction: when serving tasks stay over their targets, the model does not know the contributions well enough
    // yet, so that all filling tasks are evicted.
    constexpr Millis detectionDelayMs = 1100; // ms; longest time until a report shows that a target is missed
    constexpr Millis reactionDelayMs = 600;   // ms; time until the next report of the worker, and latency of the order
    constexpr Millis minFullEvictionMs = 500; // ms; a single reading may be an outlier

    // Reported time over target after which all filling tasks on the worker are evicted.
    Millis fullEvictionMs(const Limits& limits)
    {
        const Millis spent = limits.stopTimeoutMs + readingWindowMs + detectionDelayMs + reactionDelayMs;
        return std::max(minFullEvictionMs, limits.impactMs - spent);
    }

    std::vector<FillUse> fillUses(const Worker& worker)
    {
        std::map<std::string, double> shares;
        for (const auto& [name, ref] : worker.tasks) {
            if (ref.step->isFilling)
                shares[ref.step->image] += cpuShareOf(worker, ref.task->reading);
        }
        std::vector<FillUse> uses;
        uses.reserve(shares.size());
        for (const auto& [image, share] : shares)
            uses.push_back({ image, share });
        return uses;
    }

    bool isServing(const TaskRef& ref, Millis now)
    {
        return ref.step->latencyTargetMs > 0 && ref.task->phase == TaskPhase::Running && ref.task->percent >= 100
            && now - ref.task->phaseSince > readingWindowMs;
    }

    // Readings of one serving image on one worker. Its tasks share all causes of latency, so their geometric mean
    // counts as one reading.
    struct ImageReading {
        double logSum = 0;
        int tasks = 0;
        double pressure = 0; // highest ratio of a reading to its target
    };

    std::map<std::string, ImageReading> servingReadings(const Worker& worker, Millis now)
    {
        std::map<std::string, ImageReading> readings;
        for (const auto& [name, ref] : worker.tasks) {
            if (!isServing(ref, now) || ref.task->reading <= 0)
                continue;
            ImageReading& reading = readings[ref.step->image];
            reading.logSum += std::log(ref.task->reading);
            ++reading.tasks;
            reading.pressure
                = std::max(reading.pressure, static_cast<double>(ref.task->reading) / ref.step->latencyTargetMs);
        }
        return readings;
    }

    // Share of a filling task in the growth of a serving image's tail latency.
    struct Contribution {
        TaskRef ref;
        double growth = 0; // of ln(tail)
    };

    // Contributions of the filling tasks on the worker, largest first.
    std::vector<Contribution> contributionsTo(
        const Scheduler& scheduler, const Worker& worker, const std::string& servingImage)
    {
        std::vector<Contribution> contributions;
        for (const auto& [name, ref] : worker.tasks) {
            const bool isRunning = ref.task->phase == TaskPhase::Running || ref.task->phase == TaskPhase::Starting;
            if (!ref.step->isFilling || !isRunning)
                continue;
            const double share = cpuShareOf(worker, std::max(ref.task->reading, ref.step->cpuMillicores));
            contributions.push_back(
                { ref, slopeOf(scheduler.interference, servingImage, ref.step->image).mean * share });
        }
        std::sort(contributions.begin(), contributions.end(),
            [](const Contribution& a, const Contribution& b) { return a.growth > b.growth; });
        return contributions;
    }

    void evictFillingTasks(Scheduler& scheduler, Worker& worker, const std::string& servingImage, double pressure,
        Orders& orders, Millis now)
    {
        const Millis overTargetMs = now - worker.overTargetSince;
        const bool isFullEviction = overTargetMs >= fullEvictionMs(scheduler.limits);
        const double requiredReduction = std::log(pressure) + evictionMargin;
        double reduction = 0;
        for (const Contribution& contribution : contributionsTo(scheduler, worker, servingImage)) {
            const bool isUnneeded = reduction >= requiredReduction || contribution.growth < minContribution;
            const bool isNearlyDone = contribution.ref.task->percent >= nearlyDonePercent;
            if (!isFullEviction && (isUnneeded || isNearlyDone))
                continue;
            reduction += contribution.growth;
            worker.lastFillEvictionAt = now;
            orderStop(scheduler, orders, contribution.ref, "disturbs " + servingImage,
                { { "percent", contribution.ref.task->percent },
                    { "growthPercent", static_cast<std::int64_t>(100 * contribution.growth) },
                    { "pressurePercent", static_cast<std::int64_t>(100 * pressure) }, { "hotMs", overTargetMs } },
                now);
        }
    }

} // namespace

void protectLatencyTargets(Scheduler& scheduler, Orders& orders, Millis now)
{
    for (auto& [id, worker] : scheduler.workers) {
        const bool isDue = worker.contact == Contact::Established && worker.servingCpu > 0
            && worker.reportedAt - worker.modelUpdatedAt >= readingWindowMs;
        if (!isDue)
            continue;
        worker.modelUpdatedAt = worker.reportedAt;
        worker.pressure = 0;
        const std::vector<FillUse> uses = fillUses(worker);
        const std::map<std::string, ImageReading> readings = servingReadings(worker, now);
        for (const auto& [image, reading] : readings) {
            learn(scheduler.interference, image, std::exp(reading.logSum / reading.tasks), uses);
            worker.pressure = std::max(worker.pressure, reading.pressure);
        }
        if (worker.pressure <= recoveryPressure)
            worker.overTargetSince = 0;
        else if (worker.pressure > 1 && worker.overTargetSince == 0)
            worker.overTargetSince = now;
        if (worker.overTargetSince == 0)
            continue;
        const bool isFullEviction = now - worker.overTargetSince >= fullEvictionMs(scheduler.limits);
        if (!isFullEviction && now - worker.lastFillEvictionAt < settleMs)
            continue;
        for (const auto& [image, reading] : readings) {
            if (reading.pressure > (isFullEviction ? recoveryPressure : 1))
                evictFillingTasks(scheduler, worker, image, reading.pressure, orders, now);
        }
    }
}

double servingHeadroom(const Scheduler& scheduler, const std::string& servingImage, int targetMs)
{
    return std::max(minHeadroom, std::log(targetMs / baselineMs(scheduler.interference, servingImage)));
}

double cpuShareOf(const Worker& worker, int millicores)
{
    return millicores / static_cast<double>(std::max(1, worker.entry.capacity.cpuMillicores));
}

double sameImageShare(const Worker& worker, const Step& serving)
{
    int all = 0;
    for (const auto& [image, entry] : worker.servingImages)
        all += entry.tasks;
    const auto same = worker.servingImages.find(serving.image);
    if (all == 0)
        return emptyWorkerShare;
    return same == worker.servingImages.end() ? 0 : static_cast<double>(same->second.tasks) / all;
}

} // namespace lacewing::scheduler
