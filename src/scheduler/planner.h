// State of one plan, shared by its two parts: the review of what runs (review.cpp) and placement (plan.cpp).
#pragma once

#include "scheduler/internal.h"

namespace lacewing::scheduler {

// What a job can still reach; a job that cannot reach its deadline goes behind those that can.
enum class Timeliness {
    InTime,
    Late,     // past its deadline, of use up to lateFactor times the allowed time
    Hopeless, // later than that; must finish all the same
};

struct Candidate {
    Job* job = nullptr;
    Occurrence* occurrence = nullptr;
    int occurrenceNumber = 0;
    int stepNumber = 0;
    std::int64_t deadlineUnixMs = 0; // of the job; for lasting jobs of their start
    Timeliness timeliness = Timeliness::InTime;
    bool isRestart = false; // lasting tasks that ran before: their users wait
};

// Processors of one service, in millicores.
struct Room {
    double capacity = 0;
    double lasting = 0; // used by lasting tasks
    double shortRunning = 0;
    double shortWaiting = 0;
};

// A task that found no worker in this plan: tasks that ask for the same and for no less need not look again.
struct UnplacedShape {
    const std::string* service = nullptr;
    const Step* step = nullptr;
};

struct Planner {
    Scheduler& scheduler;
    Millis now;
    std::int64_t nowUnixMs;
    Orders orders;
    std::vector<Candidate> candidates;
    double meanSlowness = 1;
    std::map<std::string, int> stepOnWorker;                        // tasks of the step in hand on each worker
    std::map<std::string, Room> rooms;                              // by service
    std::map<const Worker*, std::vector<ServingRoom>> servingRooms; // as of this plan
    std::map<std::pair<std::string, std::string>, int> trials;      // workers by pair of serving and filling image
    bool hasTrials = false;                                         // trials are counted
    std::map<std::string, std::vector<Worker*>> usable;             // by service
    std::vector<UnplacedShape> unplaced;
    std::map<const Worker*, double> scarcities; // as of this plan
};

TaskRef refOf(const Candidate& candidate, int index);
// Takes part in placement at this time.
bool isUsable(const Scheduler& scheduler, const Worker& worker);

// Stops what must not go on, and collects the steps with waiting tasks.
void reviewJob(Planner& planner, Job& job);
bool hasRuns(const Job& job);
// Stops runs that workers report and nobody needs.
void stopStrays(Planner& planner);

} // namespace lacewing::scheduler
