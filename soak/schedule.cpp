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
        constexpr FaultKind kinds[] = { FaultKind::StoreDown, FaultKind::StoreLosesAnswers, FaultKind::StoreLink,
            FaultKind::PeerLink, FaultKind::WorkerLink, FaultKind::WorkerLink, FaultKind::CrashWorker };
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

std::vector<Fault> scenarioSchedule(Scenario scenario, const ScheduleShape& shape)
{
    const auto ofDaemon = [](FaultKind kind, int atMs, int durationMs) {
        Fault fault;
        fault.atMs = atMs;
        fault.durationMs = durationMs;
        fault.kind = kind;
        return fault;
    };
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
    constexpr int storeDownMs = 6000;
    return { ofWorker(FaultKind::CrashWorker, 0, LinkFault::None, 0),
        ofWorker(FaultKind::CrashWorker, 3, LinkFault::None, 0),
        ofWorker(FaultKind::WorkerLink, 7, LinkFault::Silence, 0), ofDaemon(FaultKind::KillDaemon, 0, 3000),
        ofDaemon(FaultKind::StoreDown, 0, storeDownMs), ofDaemon(FaultKind::KillDaemon, storeDownMs + 1000, 0) };
}

std::string describe(const Fault& fault)
{
    std::string text = std::to_string(fault.atMs) + " ms: " + std::string(base::nameOf(faultKindNames, fault.kind));
    if (fault.kind != FaultKind::StoreDown && fault.kind != FaultKind::StoreLosesAnswers)
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
