// State of one plan, shared by its two parts: the review of what runs (review.cpp) and placement (plan.cpp).
#pragma once

#include "scheduler/internal.h"

namespace lacewing::scheduler {

// What a job can still reach; a job that cannot reach its deadline goes behind those that can.
enum class Timeliness {
    InTime,
    Late,            // past its deadline, of use up to lateFactor times the allowed time
    PastGracePeriod, // later than that; must finish all the same
};

struct Candidate {
    Job* job = nullptr;
    Occurrence* occurrence = nullptr;
    int occurrenceNumber = 0;
    int stepNumber = 0;
    std::int64_t deadlineUnixMs = 0; // of the job; for lasting jobs of their start
    Timeliness timeliness = Timeliness::InTime;
    bool isRestart = false; // lasting tasks that ran before: their users wait
    int waiting = 0;        // tasks, at least 1
    int priority = 0;       // of the job's queue
    int jobRank = 0;        // of the job's id among all open jobs
};

// Processors of one service, in millicores.
struct ServiceCpu {
    double capacity = 0;
    double lasting = 0; // used by lasting tasks
    double shortRunning = 0;
    double shortWaiting = 0;
};

// What one serving image on a worker bears: growth of ln(tail).
struct LatencyHeadroom {
    std::size_t image = 0; // number
    double headroom = 0;   // until the target is reached
    double growth = 0;     // by the filling tasks that are there
};

// A usable worker and what was computed for it in this plan.
struct PlannedWorker {
    Worker* worker = nullptr;
    // --- Room that is left ---
    int freeCpu = 0;
    int freeMemory = 0;
    int freeGpus = 0;
    double freeFillCpu = 0;    // for filling tasks; negative while serving tasks are over their targets
    bool acceptsTasks = false; // may get tasks now
    // --- Kept as of their first use in the plan ---
    std::optional<double> scarcity;
    std::optional<std::vector<LatencyHeadroom>> headrooms;
};

// A serving and a filling image.
struct ImagePair {
    bool isLoaded = false; // slope and isUncertain are set
    double slope = 0;
    bool isUncertain = false;
    int trials = 0; // workers with both
};

// Images get numbers, so that pairs are found without comparing names.
struct Images {
    std::unordered_map<std::string, std::size_t> numbers;
    std::vector<const std::string*> names;
    std::vector<std::vector<ImagePair>> pairs;                          // by numbers of the serving and filling image
    std::vector<std::vector<std::pair<int, double>>> headrooms;         // by number: room for each target in ms
    std::vector<std::pair<std::size_t, const FillDemand*>> fillDemands; // demand with a price
    bool hasTrialCounts = false;                                        // trials are counted
    std::uint32_t trialVersion = 0; // rises when a pair has no trial left; levels of disturbance change with it
};

// A usable worker as seen by tasks of one shape.
struct WorkerRating {
    double interference = 0; // of disturbance
    double score = 0;
    std::uint32_t trialVersion = 0; // that the level is based on
    bool isFitting = false;
    bool isRated = false;         // the members above are set
    bool hasInterference = false; // serving tasks bear the level
};

// Tasks that ask for the same rate each worker alike.
struct Shape {
    const Step* step = nullptr;
    std::size_t image = 0;
    std::vector<WorkerRating> rated;    // by position in the pool
    std::vector<std::uint32_t> fitting; // positions of the workers with room, rising
    std::size_t appliedChanges = 0;     // of the pool, that the members above contain
};

// A task that found no worker in this plan: tasks that ask for the same and for no less need not look again.
struct UnplacedShape {
    const Step* step = nullptr;
    std::size_t image = 0;
};

// What placement knows of one service.
struct Pool {
    std::string service;
    std::vector<PlannedWorker> workers; // usable ones in the order of their ids
    std::vector<std::uint32_t> changes; // positions of workers whose tasks changed, in order
    std::deque<Shape> shapes;
    std::vector<UnplacedShape> unplaced;
    std::unordered_map<std::string, std::vector<std::uint32_t>>
        positionsByLabel; // positions; filled when racks are chosen
};

struct Planner {
    Scheduler& scheduler;
    Millis now;
    std::int64_t nowUnixMs;
    Orders orders = {};
    std::vector<Candidate> candidates = {};
    bool hasDraining = false; // any worker drains
    double meanSlowness = 1;
    std::unordered_map<const Worker*, int> stepTasksByWorker = {}; // tasks of the step in hand on each worker
    std::map<std::string, ServiceCpu> serviceCpu = {};             // by service
    std::deque<Pool> pools = {};
    std::unordered_map<const Worker*, PlannedWorker*> plannedByWorker = {}; // filled when a question is looked for
    std::map<std::string, std::vector<const Worker*>> workersByRack = {};   // all workers; filled when racks are chosen
    Images images = {};
};

TaskRef refOf(const Candidate& candidate, int index);
// Takes part in placement at this time.
bool isUsable(const Scheduler& scheduler, const Worker& worker);

// Stops what must not go on, and collects the steps with waiting tasks.
void reviewJob(Planner& planner, Job& job, int jobRank);
bool hasRuns(const Job& job);
// Stops runs that workers report and nobody needs.
void stopStrays(Planner& planner);

} // namespace lacewing::scheduler
