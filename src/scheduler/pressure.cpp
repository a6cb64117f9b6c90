// Serving tasks first: learns from their readings and stops the filling tasks that push them over their targets.
//
// A disturbing pair of images costs many times the target, so slowing the filling task down is not enough: it is
// stopped, keeps its checkpoint, and starts again beside images that it does not disturb.
#include "scheduler/internal.h"

#include <algorithm>

namespace lacewing::scheduler {

namespace {

    constexpr Millis readingWindowMs = 500;  // ms that a reading covers
    constexpr Millis settleMs = 1000;        // ms after a stop until readings of the worker count again
    constexpr double blameShare = 0.25;      // part of the excess that a filling task must cause to be stopped
    constexpr double nearlyDonePercent = 85; // a filling task that ends soon is left alone
    constexpr double calmRatio = 0.9;        // of the target; readings are rough, so a worker near it stays hot
    // A worker whose serving tasks stay over their targets: blame is spread over several fills or not learned yet.
    constexpr double hotBlameShare = 0.05;  // part of the excess that counts after half the time to full relief
    constexpr Millis firstReportMs = 1100;  // ms; longest wait for the report that first shows a target missed
    constexpr Millis reliefMarginMs = 600;  // ms; wait for the next report of a hot worker, and the way of the order
    constexpr Millis leastReliefMs = 500;   // ms; one reading may be an outlier

    // Time over target, as reports show it, after which every filling task on the worker is stopped.
    Millis fullReliefMs(const Limits& limits)
    {
        const Millis spent = limits.stopTimeoutMs + readingWindowMs + firstReportMs + reliefMarginMs;
        return std::max(leastReliefMs, limits.impactMs - spent);
    }

    std::vector<FillUse> fillUses(const Worker& worker)
    {
        std::map<std::string, double> shares;
        const double capacity = std::max(1, worker.entry.capacity.cpuMillicores);
        for (const auto& [name, ref] : worker.tasks) {
            if (ref.step->isFilling)
                shares[ref.step->image] += ref.task->reading / capacity;
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
            && now - ref.task->since > readingWindowMs;
    }

    // Tail latency against the target.
    double pressureOf(const TaskRef& serving)
    {
        return static_cast<double>(serving.task->reading) / serving.step->latencyTargetMs;
    }

    // Highest pressure on the worker.
    double learnReadings(Scheduler& scheduler, const Worker& worker, Millis now)
    {
        const std::vector<FillUse> uses = fillUses(worker);
        double highest = 0;
        for (const auto& [name, ref] : worker.tasks) {
            if (!isServing(ref, now))
                continue;
            highest = std::max(highest, pressureOf(ref));
            learn(scheduler.interference, ref.step->image, ref.task->reading, uses);
        }
        return highest;
    }

    void stopDisturbing(Scheduler& scheduler, Worker& worker, const TaskRef& serving, Orders& orders, Millis now)
    {
        const double excess = serving.task->reading - serving.step->latencyTargetMs;
        const double capacity = std::max(1, worker.entry.capacity.cpuMillicores);
        const Millis hotFor = now - worker.hotSince;
        const Millis fullRelief = fullReliefMs(scheduler.limits);
        const double share = hotFor > fullRelief / 2 ? hotBlameShare : blameShare;
        for (const auto& [name, ref] : worker.tasks) {
            const bool isRunning = ref.task->phase == TaskPhase::Running || ref.task->phase == TaskPhase::Starting;
            if (!ref.step->isFilling || !isRunning)
                continue;
            const double added
                = addedMs(scheduler.interference, serving.step->image, ref.step->image, ref.task->reading / capacity);
            const bool isBlamed = added >= share * excess && ref.task->percent < nearlyDonePercent;
            if (!isBlamed && hotFor < fullRelief)
                continue;
            worker.relievedAt = now;
            orderStop(scheduler, orders, ref, "disturbs " + serving.step->image,
                { { "percent", ref.task->percent }, { "addedMs", static_cast<std::int64_t>(added) },
                    { "readingMs", serving.task->reading }, { "targetMs", serving.step->latencyTargetMs },
                    { "hotMs", hotFor } },
                now);
        }
    }

} // namespace

void relievePressure(Scheduler& scheduler, Orders& orders, Millis now)
{
    for (auto& [id, worker] : scheduler.workers) {
        const bool isDue = worker.contact == Contact::Held && worker.servingCpu > 0
            && worker.reportedAt - worker.learnedAt >= readingWindowMs;
        if (!isDue)
            continue;
        worker.learnedAt = worker.reportedAt;
        worker.pressure = learnReadings(scheduler, worker, now);
        if (worker.pressure <= calmRatio)
            worker.hotSince = 0;
        else if (worker.pressure > 1 && worker.hotSince == 0)
            worker.hotSince = now;
        if (worker.hotSince == 0)
            continue;
        const bool isFullRelief = now - worker.hotSince >= fullReliefMs(scheduler.limits);
        if (!isFullRelief && now - worker.relievedAt < settleMs)
            continue;
        for (const auto& [name, ref] : worker.tasks) {
            if (isServing(ref, now) && pressureOf(ref) > (isFullRelief ? calmRatio : 1))
                stopDisturbing(scheduler, worker, ref, orders, now);
        }
    }
}

double disturbance(const Scheduler& scheduler, const Worker& worker, const Step& fill)
{
    double worst = 0;
    const double share = fill.cpuMillicores / static_cast<double>(std::max(1, worker.entry.capacity.cpuMillicores));
    for (const auto& [image, serving] : worker.servingImages) {
        const double room = std::max(1.0, serving.targetMs - aloneMs(scheduler.interference, image));
        const Slope* slope = knownSlope(scheduler.interference, image, fill.image);
        worst = std::max(worst, slope ? slope->msPerShare * share / room : unknownPairLevel);
    }
    return worst;
}

double disturbanceOf(const Scheduler& scheduler, const Worker& worker, const Step& serving)
{
    double worst = 0;
    const double capacity = std::max(1, worker.entry.capacity.cpuMillicores);
    const double room = std::max(1.0, serving.latencyTargetMs - aloneMs(scheduler.interference, serving.image));
    for (const auto& [name, ref] : worker.tasks) {
        if (ref.step->isFilling)
            worst = std::max(worst,
                addedMs(scheduler.interference, serving.image, ref.step->image, ref.step->cpuMillicores / capacity)
                    / room);
    }
    return worst;
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
