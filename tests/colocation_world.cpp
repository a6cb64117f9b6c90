// Truth about interference, traffic and measures of the simulated deployment.
#include "colocation_world.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <ostream>

namespace lacewing::test {

namespace {

    constexpr int workerCpu = 16000;
    constexpr int workerMemory = 64000;
    constexpr int referenceWorkers = 48;
    constexpr double meanServingLoad = 0.42; // share of its processors that a serving task uses
    constexpr double loadSwing = 0.5;
    constexpr double loadPeriodMs = 10000;
    constexpr double loadEffect = 0.8; // growth of ln(tail) when the load doubles
    constexpr double targetFactor = 4.5;
    constexpr double slopePeriodMs = 7000;
    constexpr double readingWindowMs = 500;
    constexpr Millis readingPeriodMs = 1000;  // between reports of one worker
    constexpr double readingDeviation = 0.25; // of ln(reading)
    constexpr Millis restoreMs = 600;         // work repeated after a start from a checkpoint
    constexpr Millis stopMs = 600;
    constexpr double strongSlope = 1.5; // between light and heavy pairs
    constexpr Millis lostMs = 3000;     // rule of the platform
    constexpr Millis tableStorePeriodMs = 3000;
    constexpr Millis rowPeriodMs = 10000;
    constexpr double graceFactor = 3; // of the allowed time

    std::string jobOf(const std::string& task) { return task.substr(0, task.find('.')); }

    int numberOf(const std::string& image) { return std::stoi(image.substr(1)); }

} // namespace

ColocationWorld::ColocationWorld(const ColocationOptions& options)
    : World(options.seed,
        [&] {
            std::vector<scheduler::Capacity> workers;
            workers.reserve(static_cast<std::size_t>(options.workers));
            for (int i = 0; i < options.workers; ++i)
                workers.push_back({ i % 3 == 2 ? workerCpu * 3 / 2 : workerCpu, workerMemory, 0 });
            return workers;
        }())
    , m_options(options)
    , m_random(options.seed)
    , m_startedAt(now())
    , m_idleCpu(workers().size(), 0)
    , m_tails(workers().size())
{
    faults.stopMs = stopMs;
    for (int i = 0; i < options.servingImages; ++i) {
        ServingTruth truth;
        truth.aloneMs = 4 * (0.8 + 0.6 * base::uniform(m_random));
        truth.targetMs = static_cast<int>(std::lround(targetFactor * truth.aloneMs));
        truth.phase = base::uniform(m_random);
        for (int k = 0; k < options.fillingImages; ++k) {
            const bool isHeavy = base::chance(m_random, options.heavyShare);
            const double draw = base::uniform(m_random);
            truth.slopePhases.push_back(base::uniform(m_random));
            truth.slopes.push_back(isHeavy ? options.heavySlope * (0.5 + draw) : options.lightSlope * draw);
        }
        m_serving.push_back(std::move(truth));
    }
}

double ColocationWorld::normal()
{
    const double radius = std::sqrt(-2 * std::log1p(-base::uniform(m_random)));
    return radius * std::cos(2 * M_PI * base::uniform(m_random));
}

double ColocationWorld::logNormal(double mean, double deviation, double highest)
{
    return std::min(highest, mean * std::exp(deviation * normal() - deviation * deviation / 2));
}

double ColocationWorld::loadOf(const ServingTruth& truth) const
{
    const double time = static_cast<double>(now() - m_startedAt) / loadPeriodMs;
    return meanServingLoad * (1 + loadSwing * std::sin(2 * M_PI * (time + truth.phase)));
}

double ColocationWorld::slopeOf(const ServingTruth& truth, std::size_t fill) const
{
    const double time = static_cast<double>(now() - m_startedAt) / slopePeriodMs;
    return truth.slopes[fill] * (1 + m_options.slopeSwing * std::sin(2 * M_PI * (time + truth.slopePhases[fill])));
}

void ColocationWorld::submitJob(Kind kind)
{
    struct Profile {
        double steps, width, widthDeviation, widest, millicores, cpuDeviation, highestMillicores, workMs, longestMs;
        double stretch;
        int goalMs, memoryMb, priority;
    };
    const std::map<Kind, Profile> profiles {
        { Kind::Serving, { 1, 6, 0.4, 12, 3200, 0.25, 5100, 320, 800, 2.2, 2500, 6400, 0 } },
        { Kind::Filling, { 2, 8, 0.6, 32, 1800, 0.3, 3500, 1700, 4300, 2, 1000, 3200, 2 } },
        { Kind::Plain, { 1.6, 6, 0.8, 36, 1000, 0.45, 3100, 1000, 2500, 1.5, 250, 2000, 0 } },
    };
    const Profile& profile = profiles.at(kind);
    const std::string id = "j" + std::to_string(m_nextJob++);
    TrackedJob job;
    job.kind = kind;
    job.acceptedAt = job.idleSince = now();
    std::vector<scheduler::Step> steps;
    const int count = kind == Kind::Serving
        ? 1
        : std::max(1, static_cast<int>(std::lround(logNormal(profile.steps, 0.4, 2.5 * profile.steps))));
    const auto images
        = static_cast<std::uint64_t>(kind == Kind::Serving ? m_options.servingImages : m_options.fillingImages);
    const std::uint64_t image = base::below(m_random, images);
    const int maxPerWorker
        = base::chance(m_random, m_options.apartShare) ? 1 + static_cast<int>(base::below(m_random, 3)) : 0;
    Millis path = 0;
    for (int i = 0; i < count; ++i) {
        const double width = logNormal(profile.width, profile.widthDeviation, profile.widest);
        const double cpu = logNormal(profile.millicores, profile.cpuDeviation, profile.highestMillicores);
        const double work = logNormal(profile.workMs, 0.5, profile.longestMs);
        const double estimate = work * std::exp(0.5 * normal());
        scheduler::Step step
            = plainStep(std::max(1, static_cast<int>(width)), static_cast<int>(cpu), static_cast<int>(estimate) + 1);
        step.memoryMb = profile.memoryMb;
        if (i > 0)
            step.after = { i - 1 };
        if (kind == Kind::Filling) {
            step.isFilling = step.hasCheckpoints = true;
            step.image = "f" + std::to_string(image);
        } else if (kind == Kind::Serving) {
            step.isLasting = true;
            step.image = "s" + std::to_string(image);
            step.latencyTargetMs = m_serving[image].targetMs;
            step.maxPerWorker = maxPerWorker;
        }
        job.workMs.push_back(static_cast<Millis>(work) + 1);
        job.largestMillicores = std::max(job.largestMillicores, step.cpuMillicores);
        path += job.workMs.back();
        steps.push_back(std::move(step));
    }
    job.allowedMs = static_cast<Millis>(profile.stretch * static_cast<double>(path)) + profile.goalMs;
    if (kind == Kind::Serving)
        job.endsAt = now() + static_cast<Millis>(1000 * logNormal(m_options.stayS, 0.5, 3 * m_options.stayS));
    else
        ++m_measures.jobs;
    scheduler::QueuePolicy policy;
    policy.name = "queue" + std::to_string(static_cast<int>(kind));
    policy.maxAttempts = 3;
    policy.priority = profile.priority;
    policy.stretch = profile.stretch;
    policy.goalMs = profile.goalMs;
    submit(id, std::move(steps), std::move(policy));
    m_open.emplace(id, std::move(job));
}

void ColocationWorld::arrive()
{
    const Millis time = now() - m_startedAt;
    const double scale = static_cast<double>(m_options.workers) / referenceWorkers;
    const std::map<Kind, double> rates { { Kind::Serving, m_options.servingRate },
        { Kind::Filling, m_options.fillingRate }, { Kind::Plain, m_options.plainRate } };
    const bool isRefused = m_options.outageMs > 0 && time >= m_options.outageFromMs + m_options.acceptedMs
        && time < m_options.outageFromMs + m_options.outageMs;
    for (const auto& [kind, rate] : rates) {
        Millis& next = m_nextArrival.try_emplace(kind, m_options.trafficFromMs).first->second;
        for (; next <= time && next < m_options.trafficToMs && rate > 0;
             next += 1 + static_cast<Millis>(base::exponential(m_random, 1000 / (rate * scale)))) {
            if (!isRefused)
                submitJob(kind);
        }
    }
}

// Moves the runs of one worker on; returns its idle processors.
double ColocationWorld::updateWorker(std::size_t index, Millis length)
{
    SimWorker& worker = workers()[index];
    double used = 0;
    double wanted = 0;
    for (const auto& [task, run] : worker.running) {
        if (run.step.isFilling)
            wanted += run.step.cpuMillicores;
        else if (run.step.isLasting)
            used += run.step.cpuMillicores * loadOf(m_serving[static_cast<std::size_t>(numberOf(run.step.image))]);
        else
            used += run.step.cpuMillicores;
    }
    const double idle = std::max(0.0, worker.entry.capacity.cpuMillicores - used);
    const double speed = wanted > 0 ? std::min(1.0, idle / wanted) : 1;
    for (auto& [task, run] : worker.running) {
        if (run.step.isLasting)
            continue;
        const auto job = m_open.find(jobOf(task));
        if (job == m_open.end())
            continue;
        const std::size_t step = std::stoul(task.substr(task.find('.', task.find('.') + 1) + 1));
        const auto workMs = static_cast<double>(job->second.workMs[step]);
        const double runSpeed = run.step.isFilling ? speed : 1;
        if (run.percent < 0) { // the run has just begun
            run.percent = 0;
            run.checkpoint = run.checkpoint.empty()
                ? std::string("0")
                : std::to_string(std::max(0.0, std::stod(run.checkpoint) - static_cast<double>(restoreMs)));
        }
        const double done = std::stod(run.checkpoint) + runSpeed * static_cast<double>(length);
        run.checkpoint = std::to_string(done);
        run.percent = std::min(99, static_cast<int>(100 * done / workMs));
        run.endsAt = done >= workMs ? now() : now() + 1000000;
        worker.readings[task] = static_cast<int>(runSpeed * run.step.cpuMillicores);
        if (run.step.isFilling)
            m_measures.fillingS += runSpeed * run.step.cpuMillicores / 1000.0 * static_cast<double>(length) / 1000;
    }
    return std::max(0.0, idle - wanted * speed);
}

void ColocationWorld::updateTails(std::size_t index, Millis length)
{
    SimWorker& worker = workers()[index];
    std::vector<double> shares(static_cast<std::size_t>(m_options.fillingImages), 0);
    for (const auto& [task, run] : worker.running) {
        if (run.step.isFilling)
            shares[static_cast<std::size_t>(numberOf(run.step.image))]
                += worker.readings[task] / static_cast<double>(worker.entry.capacity.cpuMillicores);
    }
    for (const auto& [task, run] : worker.running) {
        if (run.step.latencyTargetMs == 0)
            continue;
        const ServingTruth& truth = m_serving[static_cast<std::size_t>(numberOf(run.step.image))];
        const double alone = std::log(truth.aloneMs) + loadEffect * (loadOf(truth) / meanServingLoad - 1);
        double tail = alone;
        for (std::size_t i = 0; i < shares.size(); ++i)
            tail += slopeOf(truth, i) * shares[i];
        Tail& mean = m_tails[index][run.step.image];
        const double weight = std::min(1.0, static_cast<double>(length) / readingWindowMs);
        mean.logMs = mean.isKnown ? mean.logMs + weight * (tail - mean.logMs) : tail;
        mean.isKnown = true;
        const Millis offset = static_cast<Millis>(index * 37) % readingPeriodMs;
        if ((now() + offset) % readingPeriodMs < length || worker.readings[task] == 0)
            worker.readings[task] = std::max(1, static_cast<int>(std::exp(mean.logMs + readingDeviation * normal())));
        const double limit = std::log(truth.targetMs);
        if (tail <= limit || alone > limit) {
            m_overSince.erase(task);
            continue;
        }
        const Millis since = m_overSince.try_emplace(task, now() - length).first->second;
        const Millis over = now() - since;
        m_measures.overTargetS += static_cast<double>(length) / 1000;
        m_measures.longestOverTargetMs = std::max(m_measures.longestOverTargetMs, over);
        if (over >= limits.impactMs && over - length < limits.impactMs)
            ++m_measures.harmedTasks;
    }
}

void ColocationWorld::updateRuns(Millis length)
{
    for (std::size_t i = 0; i < workers().size(); ++i) {
        m_idleCpu[i] = updateWorker(i, length);
        updateTails(i, length);
    }
}

double ColocationWorld::usedCpu(const SimWorker& worker) const
{
    double used = 0;
    for (const auto& [task, run] : worker.running)
        used += run.step.isFilling ? 0 : run.step.cpuMillicores;
    return used;
}

// First fit of the running serving tasks, largest first, on the largest workers; each job's limit of tasks on a worker
// is ignored.
int ColocationWorld::neededServingWorkers()
{
    std::vector<int> tasks;
    std::vector<int> free;
    for (const SimWorker& worker : workers()) {
        free.push_back(worker.entry.capacity.cpuMillicores);
        for (const auto& [task, run] : worker.running) {
            if (run.step.isLasting)
                tasks.push_back(run.step.cpuMillicores);
        }
    }
    std::sort(tasks.rbegin(), tasks.rend());
    std::sort(free.rbegin(), free.rend());
    std::size_t needed = 0;
    for (const int task : tasks) {
        const auto place = std::find_if(free.begin(), free.end(), [&](int room) { return room >= task; });
        if (place == free.end())
            return static_cast<int>(free.size());
        *place -= task;
        needed = std::max(needed, static_cast<std::size_t>(place - free.begin()) + 1);
    }
    return static_cast<int>(needed);
}

void ColocationWorld::measure(Millis length)
{
    std::map<std::string, int> running;
    double reserved = 0;
    double capacity = 0;
    m_measures.servingWorkers = 0;
    for (const SimWorker& worker : workers()) {
        bool hasServing = false;
        for (const auto& [task, run] : worker.running) {
            ++running[jobOf(task)];
            hasServing = hasServing || run.step.isLasting;
        }
        m_measures.servingWorkers += hasServing ? 1 : 0;
        reserved += usedCpu(worker);
        capacity += worker.entry.capacity.cpuMillicores;
    }
    m_measures.reservedShare = reserved / capacity;
    m_measures.neededServingWorkers = neededServingWorkers();
    m_measures.excessWorkerS
        += (m_measures.servingWorkers - m_measures.neededServingWorkers) * static_cast<double>(length) / 1000;
    m_measures.lostJobs = m_measures.waitingJobs = 0;
    for (auto it = m_open.begin(); it != m_open.end();) {
        const std::string& id = it->first;
        TrackedJob& job = it->second;
        if (scheduler::isFinal(scheduler().jobs.at(id)->committedState)) {
            const bool isTimely = now() - job.acceptedAt <= graceFactor * static_cast<double>(job.allowedMs);
            m_measures.timelyJobs += job.kind != Kind::Serving && isTimely ? 1 : 0;
            it = m_open.erase(it);
            continue;
        }
        const bool hasRoom = !faults.isLeaderless && std::any_of(m_idleCpu.begin(), m_idleCpu.end(), [&](double idle) {
            return idle >= 2 * job.largestMillicores;
        });
        if (running.count(id) > 0 || faults.isLeaderless)
            job.idleSince = now();
        if (running.count(id) > 0 || !hasRoom)
            job.blockedSince = 0;
        else if (job.blockedSince == 0)
            job.blockedSince = now();
        if (job.blockedSince > 0 && job.kind != Kind::Serving)
            m_measures.longestWaitMs = std::max(m_measures.longestWaitMs, now() - job.blockedSince);
        const bool isWaiting = job.kind != Kind::Serving && now() - job.idleSince >= lostMs;
        m_measures.waitingJobs += isWaiting ? 1 : 0;
        m_measures.lostJobs += isWaiting && reserved < capacity / 2 ? 1 : 0;
        ++it;
    }
}

void ColocationWorld::comparePairs()
{
    for (std::size_t serving = 0; serving < m_serving.size(); ++serving) {
        for (std::size_t fill = 0; fill < m_serving[serving].slopes.size(); ++fill) {
            const scheduler::Slope learned = scheduler::slopeOf(
                scheduler().interference, "s" + std::to_string(serving), "f" + std::to_string(fill));
            const bool isStrong = m_serving[serving].slopes[fill] > strongSlope;
            if (scheduler::isUncertain(learned))
                ++m_measures.unknownPairs;
            else if (learned.mean > strongSlope && !isStrong)
                ++m_measures.overratedPairs;
            else if (learned.mean <= strongSlope && isStrong)
                ++m_measures.underratedPairs;
        }
    }
}

void ColocationWorld::printRow(std::ostream& stream, const std::string& label)
{
    double serving = 0;
    double filling = 0;
    for (const SimWorker& worker : workers()) {
        for (const auto& [task, run] : worker.running) {
            serving += run.step.isLasting ? run.step.cpuMillicores : 0;
            filling += run.step.isFilling ? run.step.cpuMillicores : 0;
        }
    }
    Millis longest = 0;
    for (const auto& [id, job] : m_open)
        longest = std::max(longest, job.kind == Kind::Serving ? 0 : now() - job.idleSince);
    stream << std::setw(8) << label << std::fixed << std::setprecision(0) << ": open " << std::setw(4) << m_open.size()
           << ", without runs for 3 s " << std::setw(4) << m_measures.waitingJobs << ", longest " << std::setw(6)
           << longest << " ms, serving " << std::setw(4) << serving / 1000 << " cores on " << m_measures.servingWorkers
           << " workers (" << m_measures.neededServingWorkers << " would hold them), filling " << std::setw(4)
           << filling / 1000 << " cores, reserved " << 100 * m_measures.reservedShare << "%\n";
}

ColocationMeasures ColocationWorld::play(std::ostream* table)
{
    const double scale = static_cast<double>(m_options.workers) / referenceWorkers;
    for (int i = 0; i < static_cast<int>(m_options.servingJobs * scale); ++i)
        submitJob(Kind::Serving);
    const Millis outageTo = m_options.outageFromMs + m_options.outageMs;
    while (now() - m_startedAt < m_options.endMs) {
        const Millis time = now() - m_startedAt;
        const bool isOutage = m_options.outageMs > 0 && time >= m_options.outageFromMs && time < outageTo;
        if (isOutage != faults.isLeaderless) {
            faults.isLeaderless = isOutage;
            if (!isOutage) {
                m_measures.evictions += static_cast<int>(scheduler().evictions);
                m_measures.starts += static_cast<int>(scheduler().starts);
                replaceTerm();
                m_overSince.clear();
                if (m_options.isTableStored && !m_table.isEmpty())
                    scheduler::decodeInterference(scheduler().interference, m_table);
            }
        }
        arrive();
        for (const auto& [id, job] : m_open) {
            if (job.endsAt > 0 && now() >= job.endsAt && !isOutage
                && !scheduler::isFinal(scheduler().jobs.at(id)->state))
                cancel(id);
        }
        step(m_options.stepMs);
        if (!isOutage && now() - m_tableStoredAt >= tableStorePeriodMs) {
            m_tableStoredAt = now();
            m_table = scheduler::encodeInterference(scheduler().interference);
        }
        measure(m_options.stepMs);
        if (table && (now() - m_startedAt) % rowPeriodMs < m_options.stepMs)
            printRow(*table, std::to_string((now() - m_startedAt) / 1000) + " s");
    }
    m_measures.evictions += static_cast<int>(scheduler().evictions);
    m_measures.starts += static_cast<int>(scheduler().starts);
    comparePairs();
    return m_measures;
}

} // namespace lacewing::test
