// State of one planning pass, shared by the review of current runs (review.cpp) and placement (plan.cpp).
#pragma once

#include "scheduler/account_usage.h"
#include "scheduler/internal.h"

namespace lacewing::scheduler {

// Whether a job can still meet its deadline. Jobs that cannot are placed after those that can.
enum class Timeliness {
    InTime,
    Late,            // past its deadline; still of value up to lateFactor times the allowed time
    PastGracePeriod, // later than that; has to finish nevertheless
};

constexpr base::EnumNames<Timeliness, 3> timelinessNames { {
    { Timeliness::InTime, "inTime" },
    { Timeliness::Late, "late" },
    { Timeliness::PastGracePeriod, "pastGracePeriod" },
} };

// A step with waiting tasks.
struct Candidate {
    Job* job = nullptr;
    Occurrence* occurrence = nullptr;
    int occurrenceNumber = 0;
    int stepNumber = 0;
    std::int64_t deadlineUnixMs = 0; // of the job's end; of its start for lasting jobs
    Timeliness timeliness = Timeliness::InTime;
    bool isRestart = false; // lasting tasks that ran before; their users are without service
    Millis idleSince = 0;   // when its job last had something running, or the step became ready; 0: the job has runs
    int waiting = 0;        // tasks, at least 1
    int priority = 0;       // of the job's queue
    int jobRank = 0;        // position of the job among all open jobs in the order of their ids
    // --- Client account of the job ---
    AccountUsage* account = nullptr; // null: none, or the configuration has no accounts
    bool isBeyondRate = false;       // the account's rate does not admit the job yet (account_share.h)
    int startable = 0;               // waiting tasks for which the account's cap had room before placement
};

// Place of a turn among those of one priority.
enum class Order {
    Starved,         // one task, of a job that has had nothing running for long
    InTime,          // all tasks, of jobs that can still meet their deadline; also lasting tasks
    FirstRun,        // one task, of a job with nothing running that has missed its deadline
    Late,            // all tasks
    PastGracePeriod, // all tasks
};

constexpr base::EnumNames<Order, 5> orderNames { {
    { Order::Starved, "starved" },
    { Order::InTime, "inTime" },
    { Order::FirstRun, "firstRun" },
    { Order::Late, "late" },
    { Order::PastGracePeriod, "pastGracePeriod" },
} };

// Turn of a step to be placed. A step may have two: one for a first task, one for all.
struct Turn {
    const Candidate* candidate = nullptr;
    Order order = Order::InTime;
    bool isDeferred = false; // other accounts go first, because they are below their share (account_share.h)
};

// Processor capacity and use of one service, in millicores.
struct ServiceCpu {
    double capacity = 0;
    double lasting = 0;      // used by lasting tasks
    double shortRunning = 0; // used by tasks that are neither lasting nor filling
    double shortWaiting = 0; // requested by waiting tasks of this kind
};

// Latency headroom of one serving image on a worker, as growth of ln(tail latency).
struct LatencyHeadroom {
    std::size_t image = 0; // number of the image
    double headroom = 0;   // growth that takes the image to its latency target
    double growth = 0;     // caused by the filling tasks on the worker
};

// A usable worker and the values computed for it in this plan.
struct PlannedWorker {
    Worker* worker = nullptr;
    // --- Free resources, without those held ---
    int freeCpu = 0;    // millicores
    int freeMemory = 0; // MB
    int freeGpus = 0;
    double freeFillCpu = 0;    // millicores for filling tasks; -infinity while serving tasks are over their targets
    bool acceptsTasks = false; // neither avoided nor full
    bool isHeld = false;       // room is held for restarts, as far as their turns have come
    Capacity held = {};        // that room; it may not be free yet, so that free resources can be negative
    // --- Computed on first use and cached for the rest of the plan ---
    std::optional<double> scarcity;
    std::optional<std::vector<LatencyHeadroom>> headrooms;
};

// Interference of a filling image with a serving image.
struct ImagePair {
    bool isLoaded = false; // slope and isUncertain are valid
    double slope = 0;
    bool isUncertain = false;
    int trials = 0; // workers that run both images
};

// Images are numbered, so that pairs are looked up without comparing names.
struct Images {
    std::unordered_map<std::string, std::size_t> numbers;
    std::vector<const std::string*> names;
    std::vector<std::vector<ImagePair>> pairs;                  // by numbers of the serving and filling image
    std::vector<std::vector<std::pair<int, double>>> headrooms; // by number: headroom for each latency target in ms
    std::vector<std::pair<std::size_t, const FillDemand*>> fillDemands; // number and demand of each filling image
    bool hasTrialCounts = false;                                        // ImagePair::trials is valid
    std::uint32_t trialVersion = 0; // rises when an uncertain pair reaches its trial limit, which changes interference
};

// Rating of a usable worker for tasks of one shape.
struct WorkerRating {
    double interference = 0; // that the task would cause to serving tasks; 1 takes one of them to its target
    double score = 0;
    std::uint32_t trialVersion = 0; // that the interference is based on
    bool isFitting = false;
    bool isRated = false;         // the members above except isFitting are valid
    bool hasInterference = false; // filling task beside serving tasks; interference is valid
};

// Equivalence class of tasks: tasks with the same requirements rate each worker alike.
struct Shape {
    const Step* step = nullptr;
    std::size_t image = 0;
    std::vector<WorkerRating> rated;    // by position in the pool
    std::vector<std::uint32_t> fitting; // positions of the workers that have the resources, ascending
    std::size_t appliedChanges = 0;     // changes of the pool that the ratings include
};

// Requirements for which no worker was found in this plan. Tasks with the same constraints that ask for at least as
// much, and may cause no more interference, are skipped.
struct UnplacedShape {
    const Step* step = nullptr;
    std::size_t image = 0;
    double interferenceLimit = 0;
    std::size_t position = 0; // of the turn in the order of the plan
};

// Workers of one service and what placement has computed for them.
struct Pool {
    std::string service;
    std::vector<PlannedWorker> workers; // usable workers in the order of their ids
    std::vector<std::uint32_t> changes; // positions of workers whose tasks changed, oldest change first
    std::deque<Shape> shapes;
    int heldWorkers = 0; // with isHeld
    std::vector<UnplacedShape> unplaced;
    std::unordered_map<std::string, std::vector<std::uint32_t>> positionsByLabel; // of workers; filled on first use
};

struct Planner {
    Scheduler& scheduler;
    Millis now;
    std::int64_t nowUnixMs;
    Orders orders = {};
    std::vector<Candidate> candidates = {};
    std::vector<Turn> turns = {};      // in the order of the plan
    std::size_t triedTurns = 0;        // from the first on; the limit of starts ended the plan there
    bool hasDraining = false;          // at least one worker is draining
    bool mayRetryOnSameWorker = false; // tasks may be placed where they failed last
    int roomSearches = 0;              // for a worker to hold room on (restart_room.h)
    double meanSlowness = 1;
    std::unordered_map<const Worker*, int> stepTasksByWorker = {}; // runs of the step being placed
    std::map<std::string, ServiceCpu> serviceCpu = {};             // by service
    std::deque<Pool> pools = {};
    std::unordered_map<const Worker*, PlannedWorker*> plannedByWorker = {}; // filled on first use
    std::map<std::string, std::vector<const Worker*>> workersByRack = {};   // all workers; filled on first use
    Images images = {};
    std::unordered_map<std::string, AccountUsage> accounts = {}; // by name; empty when the configuration has none
    std::unordered_map<const StepProgress*, std::size_t> turnsByProgress
        = {}; // position of the first; filled on first use
};

TaskRef refOf(const Candidate& candidate, int index);
// True when a run of the task is known, or an earlier term may have started one.
bool hasEverRun(const Task& task);
// True when the worker holds a lease of this term, is listed, and neither drains nor is in a withdrawn data centre.
bool isUsable(const Scheduler& scheduler, const Worker& worker);

// Whether the steps that the step depends on have finished.
bool isReady(const Occurrence& occurrence, const JobRequest& request, const Step& step);
// Whether the worker has the label and the free resources of the step.
bool hasRoom(const PlannedWorker& planned, const Step& step);
// The part of hasRoom that concerns processors.
bool hasProcessors(const PlannedWorker& planned, const Step& step);
// Whether so many idle millicores are enough to start the filling task.
bool suffices(double freeFillCpu, const Step& step);
// Also whether it accepts tasks.
bool fits(const PlannedWorker& planned, const Step& step);
// Whether the task may run on a worker that meets the requirements of its step. Reads stepTasksByWorker.
bool mayUse(const Planner& planner, const Worker& worker, const TaskRef& ref);
// Updates what the plan has computed for a worker after its tasks or the room held there have changed.
void recordChange(Pool& pool, PlannedWorker& planned);
// Updates the decaying peak of the processors that short tasks use or wait for. Short tasks are worth more per
// processor second than lasting ones, which would otherwise occupy what is free between two short tasks.
void updateShortDemand(Planner& planner);
// True when the lasting task leaves the processors reserved for short tasks of its service free.
bool leavesShortReserve(const Planner& planner, const TaskRef& ref);
bool isStartLimitReached(const Planner& planner);
// Whether the step was skipped because one before it that asks for no more had found no worker.
bool wasSkipped(const Pool& pool, const Step& step, std::size_t image, double interferenceLimit, std::size_t position);
// Whether tasks of the step may still be held back for want of a worker on their rack.
bool waitsForRack(const Planner& planner, const Step& step, const StepProgress& progress);

// Orders stops of the job's runs that must end, and collects its steps with waiting tasks.
void reviewJob(Planner& planner, Job& job, int jobRank);
bool hasRuns(const Job& job);
// Orders stops of stray runs: runs that workers report and no task needs.
void stopStrays(Planner& planner);

} // namespace lacewing::scheduler
