// Simulated deployment in which filling tasks slow the serving tasks beside them by amounts that the scheduler only
// sees in delayed, imprecise readings.
//
// ln(tail) of a serving image on a worker is ln(its tail alone), plus for each filling image a slope times the share of
// the worker's processors that the image uses, plus the effect of its own load. Filling tasks share the processors that
// the other tasks leave idle.
#pragma once

#include "scheduler_world.h"

#include <iosfwd>

namespace lacewing::test {

struct ColocationOptions {
    std::uint64_t seed = 1;
    int workers = 48; // one in three is larger by half; rates and initial jobs are scaled to this number
    Millis stepMs = 50;
    // --- Interference ---
    double heavyShare = 0.65; // of the pairs of images
    double heavySlope = 5;    // mean; between half of it and one and a half times as much
    double lightSlope = 0.3;  // highest
    double slopeSwing = 0.5;  // relative; slopes change within seconds
    int servingImages = 5;
    int fillingImages = 9;
    // --- Load, for 48 workers ---
    double servingJobs = 37;    // at the start
    double servingRate = 0.206; // jobs/s
    double fillingRate = 6.6;
    double plainRate = 4.7;
    double stayS = 70;       // mean life of a serving job
    double apartShare = 0.5; // of the serving jobs: at most one to three tasks on a worker
    // --- Course, ms from the first job ---
    Millis trafficFromMs = 6000;
    Millis outageFromMs = 39000; // no daemon schedules; workers cannot be reached and leases lapse
    Millis outageMs = 10000;     // 0: none
    Millis acceptedMs = 2000;    // from the start of the outage on; then no jobs until its end
    Millis trafficToMs = 51000;
    Millis endMs = 65000;
    bool isTableStored = true; // the next term starts with the interference table
};

struct ColocationMeasures {
    int jobs = 0;             // accepted, without serving jobs
    int timelyJobs = 0;       // of these, ended within three times their allowed time
    int lostJobs = 0;         // at the end nothing running for lostMs, while less than half of the capacity is in use
    int waitingJobs = 0;      // the same, whatever the capacity in use
    Millis longestWaitMs = 0; // of a job with nothing running while a worker had idle processors for two of its tasks
    double overTargetS = 0;   // task-seconds of serving tasks over their targets because of filling tasks
    Millis longestOverTargetMs = 0; // of one serving task, on end
    int harmedTasks = 0;            // over the target for Limits::impactMs on end
    double fillingS = 0;            // core-seconds of filling tasks
    double reservedShare = 0;       // of the processors, at the end, without filling tasks
    int servingWorkers = 0;         // workers with serving tasks at the end
    int neededServingWorkers = 0;   // workers that would hold these tasks
    double excessWorkerS = 0;       // integral over time of servingWorkers less neededServingWorkers
    int overratedPairs = 0;         // of images; learned as strong although the truth is not, at the end
    int underratedPairs = 0;        // the reverse
    int unknownPairs = 0;           // still uncertain
    int starts = 0;
    int evictions = 0;
};

class ColocationWorld : public World {
public:
    explicit ColocationWorld(const ColocationOptions& options);

    // Plays the whole course; rows are printed every ten seconds when `table` is given.
    ColocationMeasures play(std::ostream* table = nullptr);

private:
    enum class Kind { Serving, Filling, Plain };
    struct TrackedJob {
        Kind kind = Kind::Plain;
        std::vector<Millis> workMs; // of a task, by step
        int largestMillicores = 0;
        Millis acceptedAt = 0;
        Millis allowedMs = 0;
        Millis endsAt = 0;       // of a serving job
        Millis idleSince = 0;    // nothing has been running since
        Millis blockedSince = 0; // nothing running, and room for two tasks, since; 0: not so
    };
    struct ServingTruth {
        double aloneMs = 0;
        int targetMs = 0;
        double phase = 0;           // of the own load
        std::vector<double> slopes; // by filling image; mean over time
        std::vector<double> slopePhases;
    };
    struct Tail {
        double logMs = 0;     // mean over the last reading window
        bool isKnown = false; // the mean has begun
    };

    void updateRuns(Millis length) override;
    double updateWorker(std::size_t index, Millis length);
    void updateTails(std::size_t index, Millis length);
    void arrive();
    void submitJob(Kind kind);
    void measure(Millis length);
    void comparePairs();
    void printRow(std::ostream& stream, const std::string& label);
    double usedCpu(const SimWorker& worker) const;
    int neededServingWorkers();
    double normal();
    double logNormal(double mean, double deviation, double highest);
    double loadOf(const ServingTruth& truth) const;
    double slopeOf(const ServingTruth& truth, std::size_t fill) const;

    ColocationOptions m_options;
    base::Rng m_random;
    Millis m_startedAt = 0;
    std::vector<ServingTruth> m_serving;
    std::map<std::string, TrackedJob> m_open;
    std::vector<double> m_idleCpu;                    // by worker, millicores without any task
    std::vector<std::map<std::string, Tail>> m_tails; // by worker and serving image
    std::map<std::string, Millis> m_overSince;        // by serving task
    std::map<Kind, Millis> m_nextArrival;
    int m_nextJob = 0;
    QByteArray m_table;
    Millis m_tableStoredAt = 0;
    ColocationMeasures m_measures;
};

} // namespace lacewing::test
