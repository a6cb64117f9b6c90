// Random and fixed schedules of faults.
#include "soak/schedule.h"

#include "base/rng.h"

#include <algorithm>

namespace lacewing::soak {

namespace {

    constexpr int meanGapMs = 900; // between two faults; shorter than their mean duration, so that they overlap
    constexpr int shortestStormMs = 1000;
    constexpr int longestStormMs = 8000;
    constexpr int calmMs = 15000;       // between storms; longer than a fault lasts and every bound after it
    constexpr double stormShare = 0.75; // of the seeds; the others have faults all the time
    constexpr int shortestMs = 200;
    constexpr int longestMs = 6000; // a whole lease of a worker
    constexpr int restartMs = 3000; // longest time until a daemon is started again
    constexpr int longestDelayMs = 400;
    constexpr int mostLostAnswers = 6;
    constexpr double forGoodShare = 0.5;     // of the crashes and silences of workers
    constexpr double killForGoodShare = 0.3; // of the kills of daemons
    constexpr double lastKillShare = 0.5;    // of the storms, at their end
    constexpr int fewestDaemons = 2;         // that are not gone for good
    constexpr double seriesShare = 0.3;      // of the faults of daemons that are followed by one of the next leader
    constexpr int seriesGapMs = 3000;        // longest time until that one
    constexpr int goneShare = 4;             // at most one in so many workers is gone for good
    constexpr int crowdedKillsMs[] = { 1000, 9500 }; // of all daemons in Scenario::CrowdedRecovery
    constexpr int burstLeadMs = 700;                 // from the burst of jobs before them

    int between(base::Rng& rng, int low, int high)
    {
        return low + static_cast<int>(base::below(rng, static_cast<std::uint64_t>(high - low) + 1));
    }

    LinkFault drawLinkFault(base::Rng& rng)
    {
        constexpr LinkFault faults[] = { LinkFault::Delay, LinkFault::Reset, LinkFault::CutToServer,
            LinkFault::CutToClient, LinkFault::Silence };
        return faults[base::below(rng, std::size(faults))];
    }

    Fault drawDaemonFault(base::Rng& rng, const ScheduleShape& shape)
    {
        constexpr FaultKind kinds[] = { FaultKind::KillDaemon, FaultKind::PauseDaemon, FaultKind::StopDaemon };
        Fault fault;
        fault.kind = kinds[base::below(rng, std::size(kinds))];
        fault.target = base::chance(rng, 0.6) ? leaderTarget : between(rng, 0, shape.daemons - 1);
        fault.durationMs = between(rng, shortestMs, restartMs);
        return fault;
    }

    Fault drawOtherFault(base::Rng& rng, const ScheduleShape& shape)
    {
        constexpr FaultKind kinds[] = { FaultKind::StoreDown, FaultKind::StoreLosesAnswers, FaultKind::StoreSilent,
            FaultKind::StoreLink, FaultKind::PeerLink, FaultKind::WorkerLink, FaultKind::WorkerLink,
            FaultKind::CrashWorker, FaultKind::FailRuns };
        Fault fault;
        fault.kind = kinds[base::below(rng, std::size(kinds))];
        fault.durationMs = between(rng, shortestMs, longestMs);
        const bool isOfWorker = fault.kind == FaultKind::WorkerLink || fault.kind == FaultKind::CrashWorker;
        fault.target = isOfWorker    ? between(rng, 0, shape.workers - 1)
            : base::chance(rng, 0.4) ? leaderTarget
                                     : between(rng, 0, shape.daemons - 1);
        fault.link = drawLinkFault(rng);
        fault.delayMs = between(rng, 20, longestDelayMs);
        fault.lostAnswers = between(rng, 1, mostLostAnswers);
        fault.keepsEntry = base::chance(rng, 0.5);
        fault.share = base::uniform(rng);
        return fault;
    }

    bool isLinkKind(FaultKind kind)
    {
        return kind == FaultKind::StoreLink || kind == FaultKind::PeerLink || kind == FaultKind::WorkerLink;
    }

} // namespace

std::vector<Fault> drawSchedule(std::uint64_t seed, const ScheduleShape& shape)
{
    base::Rng rng(seed);
    std::vector<Fault> faults;
    int gone = 0;
    int goneDaemons = 0;
    const bool hasCalms = base::chance(rng, stormShare);
    double at = base::exponential(rng, meanGapMs);
    double stormEnd = hasCalms ? between(rng, shortestStormMs, longestStormMs) : shape.durationMs;
    while (at < shape.durationMs) {
        const bool isOfDaemon = base::chance(rng, 0.4);
        Fault fault = isOfDaemon ? drawDaemonFault(rng, shape) : drawOtherFault(rng, shape);
        fault.atMs = static_cast<int>(at);
        const bool mayBeForGood = fault.kind == FaultKind::CrashWorker
            || (fault.kind == FaultKind::WorkerLink && fault.link == LinkFault::Silence);
        if (mayBeForGood && gone < shape.workers / goneShare && base::chance(rng, forGoodShare)) {
            fault.durationMs = 0;
            ++gone;
        }
        if (fault.kind == FaultKind::KillDaemon && goneDaemons < shape.daemons - fewestDaemons
            && base::chance(rng, killForGoodShare)) {
            fault.durationMs = 0;
            ++goneDaemons;
        }
        faults.push_back(fault);
        if (isOfDaemon && base::chance(rng, seriesShare)) {
            Fault next = drawDaemonFault(rng, shape);
            next.target = leaderTarget;
            next.atMs = fault.atMs + between(rng, 0, seriesGapMs);
            faults.push_back(next);
        }
        at += base::exponential(rng, meanGapMs);
        if (at > stormEnd) {
            if (goneDaemons < shape.daemons - fewestDaemons && base::chance(rng, lastKillShare)) {
                Fault kill; // of the leader, for good: the next term has to recover from the storm in calm time
                kill.atMs = static_cast<int>(stormEnd);
                faults.push_back(kill);
                ++goneDaemons;
            }
            at = std::max(at, stormEnd + calmMs);
            stormEnd = at + between(rng, shortestStormMs, longestStormMs);
        }
    }
    std::stable_sort(faults.begin(), faults.end(), [](const Fault& a, const Fault& b) { return a.atMs < b.atMs; });
    return faults;
}

namespace {

    Fault ofDaemon(FaultKind kind, int atMs, int durationMs, int target = leaderTarget)
    {
        Fault fault;
        fault.atMs = atMs;
        fault.durationMs = durationMs;
        fault.kind = kind;
        fault.target = target;
        return fault;
    }

    Fault ofLink(FaultKind kind, int target, int atMs, int untilMs)
    {
        Fault fault = ofDaemon(kind, atMs, untilMs - atMs, target);
        fault.link = LinkFault::Silence;
        return fault;
    }

    std::vector<Fault> repeatedRuns(base::Rng& rng, const ScheduleShape& shape)
    {
        constexpr int failuresGapMs = 800; // time for the leader to start the runs again
        constexpr int cutAtMs = 3000;      // after the last failure
        constexpr int leaderLastMs = 1200; // for which a leader that is cut off still renews the leases of its workers
        constexpr int returnAtMs = 12500;  // the leases are over and the next term has started the tasks again
        std::vector<Fault> faults;
        const FaultKind store = base::chance(rng, 0.5) ? FaultKind::StoreDown : FaultKind::StoreSilent;
        faults.push_back(ofDaemon(store, between(rng, 0, 300), between(rng, 4500, 5500)));
        for (int i = 1; i <= 3; ++i) {
            faults.push_back(ofDaemon(FaultKind::FailRuns, i * failuresGapMs, 0));
            faults.back().share = 0.7 + 0.3 * base::uniform(rng);
        }
        const int cutAt = cutAtMs + between(rng, 0, 500);
        const int returnAt = returnAtMs + between(rng, 0, 1000);
        faults.push_back(ofLink(FaultKind::StoreLink, leaderTarget, cutAt, returnAt));
        faults.push_back(ofLink(FaultKind::PeerLink, leaderTarget, cutAt, returnAt));
        for (int i = 0; i < shape.workers; i += 2) // those of one data centre
            faults.push_back(ofLink(FaultKind::WorkerLink, i, cutAt + leaderLastMs, returnAt + between(rng, 0, 800)));
        const int restarted = between(rng, 0, shape.daemons - 1);
        const int restartAt = between(rng, 8000, 12000);
        faults.push_back(ofDaemon(FaultKind::StopDaemon, restartAt, 1000, restarted));
        faults.push_back(ofDaemon(FaultKind::KillDaemon, restartAt + between(rng, 100, 1500), 1500, restarted));
        if (base::chance(rng, 0.5))
            faults.push_back(ofDaemon(FaultKind::KillDaemon, returnAt + between(rng, 200, 1500), 1000));
        return faults;
    }

    std::vector<Fault> crowdedRecovery(base::Rng& rng, const ScheduleShape& shape)
    {
        std::vector<Fault> faults;
        if (base::chance(rng, 0.5)) // its lease has to end before the next term may start what it may run
            faults.push_back(ofDaemon(FaultKind::CrashWorker, between(rng, 0, 1000), 0, 0));
        for (const int atMs : crowdedKillsMs) {
            if (base::chance(rng, 0.5)) // of a daemon that is stopping
                faults.push_back(ofDaemon(FaultKind::StopDaemon, atMs - between(rng, 50, 500), 2500));
            for (int i = 0; i < shape.daemons; ++i)
                faults.push_back(ofDaemon(FaultKind::KillDaemon, atMs, between(rng, 1500, 2500), i));
        }
        return faults;
    }

} // namespace

std::vector<Fault> scenarioSchedule(Scenario scenario, std::uint64_t seed, const ScheduleShape& shape)
{
    base::Rng rng(seed);
    if (scenario == Scenario::RepeatedRuns)
        return repeatedRuns(rng, shape);
    if (scenario == Scenario::CrowdedRecovery)
        return crowdedRecovery(rng, shape);
    const auto ofWorker = [&](FaultKind kind, int target, LinkFault link, int durationMs) {
        Fault fault;
        fault.durationMs = durationMs;
        fault.kind = kind;
        fault.target = target % shape.workers;
        fault.link = link;
        fault.keepsEntry = target % 2 == 1;
        return fault;
    };
    if (scenario == Scenario::UnreachableWorkers) {
        constexpr int unreachableMs = 12000; // two leases
        return { ofWorker(FaultKind::WorkerLink, 0, LinkFault::Silence, unreachableMs),
            ofWorker(FaultKind::WorkerLink, 3, LinkFault::CutToClient, unreachableMs),
            ofWorker(FaultKind::WorkerLink, 7, LinkFault::CutToServer, unreachableMs),
            ofDaemon(FaultKind::KillDaemon, 200, 1500), ofDaemon(FaultKind::PauseDaemon, 3500, 4000),
            ofDaemon(FaultKind::StopDaemon, 10000, 2000) };
    }
    if (scenario == Scenario::FrozenLeaders) {
        constexpr int frozenMs = 3500; // until another daemon has been elected
        return { ofDaemon(FaultKind::PauseDaemon, 500, frozenMs), ofDaemon(FaultKind::PauseDaemon, 5500, frozenMs),
            ofDaemon(FaultKind::PauseDaemon, 10500, frozenMs) };
    }
    constexpr int storeDownMs = 6000;
    return { ofWorker(FaultKind::CrashWorker, 0, LinkFault::None, 0),
        ofWorker(FaultKind::CrashWorker, 3, LinkFault::None, 0),
        ofWorker(FaultKind::WorkerLink, 7, LinkFault::Silence, 0), ofDaemon(FaultKind::KillDaemon, 0, 3000),
        ofDaemon(FaultKind::StoreDown, 0, storeDownMs), ofDaemon(FaultKind::KillDaemon, storeDownMs + 1000, 0) };
}

ScenarioTraffic scenarioTraffic(Scenario scenario)
{
    if (scenario == Scenario::RepeatedRuns)
        return { 8, {} };
    if (scenario == Scenario::CrowdedRecovery)
        return { 0, { crowdedKillsMs[0] - burstLeadMs, crowdedKillsMs[1] - burstLeadMs } };
    return {};
}

std::string describe(const Fault& fault)
{
    std::string text = std::to_string(fault.atMs) + " ms: " + std::string(base::nameOf(faultKindNames, fault.kind));
    if (fault.kind == FaultKind::FailRuns)
        return text + ", share " + std::to_string(fault.share);
    if (fault.kind != FaultKind::StoreDown && fault.kind != FaultKind::StoreLosesAnswers
        && fault.kind != FaultKind::StoreSilent)
        text += fault.target == leaderTarget ? " (leader)" : ' ' + std::to_string(fault.target);
    if (isLinkKind(fault.kind))
        text += ", " + std::string(base::nameOf(linkFaultNames, fault.link));
    if (isLinkKind(fault.kind) && fault.link == LinkFault::Delay)
        text += ' ' + std::to_string(fault.delayMs) + " ms";
    if (fault.kind == FaultKind::StoreLosesAnswers)
        return text + ", " + std::to_string(fault.lostAnswers);
    if (fault.kind == FaultKind::CrashWorker && fault.keepsEntry)
        text += ", keeps its entry";
    return text + (fault.durationMs == 0 ? ", for good" : ", for " + std::to_string(fault.durationMs) + " ms");
}

} // namespace lacewing::soak
