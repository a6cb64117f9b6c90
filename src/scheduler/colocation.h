// Co-location of filling and serving tasks: which workers a filling image may use, and which it should leave to other
// filling images.
//
// A filling image that interferes with most serving images has few compatible workers. Scarcity, a penalty that rises
// with the demand for these workers, keeps filling images with more choice away from them.
#pragma once

#include "scheduler/planner.h"

namespace lacewing::scheduler {

// Millicores still available for filling tasks on the worker.
double freeFillCpu(const Worker& worker);
// Number of the image in this plan; assigned on first use.
std::size_t imageNumber(Planner& planner, const std::string& image);
// Interference with the serving tasks on the worker after one more filling task has started there: 1 takes the one most
// affected to its latency target.
double interferenceOfFill(Planner& planner, PlannedWorker& worker, const Step& fill, std::size_t fillImage);
// Interference of the filling tasks on the worker with a new serving task; 1 takes it to its latency target.
double interferenceOnServing(Planner& planner, const Worker& worker, const Step& serving);
// Whether the task may be started on the worker in spite of the predicted interference.
enum class TrialState {
    Due,
    HasRuns,        // other tasks of the step run
    RecentTrial,    // one was started a short time ago on some worker
    ShortWait,      // the task has not waited long enough
    RecentEviction, // a filling task was evicted from the worker a short time ago
};

constexpr base::EnumNames<TrialState, 5> trialStateNames { {
    { TrialState::Due, "due" },
    { TrialState::HasRuns, "hasRuns" },
    { TrialState::RecentTrial, "recentTrial" },
    { TrialState::ShortWait, "shortWait" },
    { TrialState::RecentEviction, "recentEviction" },
} };

TrialState trialState(const Planner& planner, const Worker& worker, const StepProgress& progress);
// True when an uncertain pair of the image and a serving image on the worker runs on as many workers as it may.
bool isTrialLimited(Planner& planner, PlannedWorker& worker, std::size_t fillImage);
// Interference that filling tasks of the step may cause. The limit rises with the wait of a step with nothing running:
// up to half of the headroom, and further when a trial is due, a start in spite of the predicted interference whose
// readings correct the estimates. All workers share the estimates, so that one trial at a time is enough for all.
double interferenceLimit(const Planner& planner, const StepProgress& progress);
// The part of such a limit that holds on the worker: it is not raised soon after an eviction there.
double interferenceLimitOn(const Planner& planner, const Worker& worker, double limit);
// Updates interference and trial counts for a filling task that this plan starts.
void recordFillStart(Planner& planner, PlannedWorker& worker, const Step& fill);
// Highest ratio of demand to supply among the filling images that are compatible with the worker.
double scarcity(Planner& planner, PlannedWorker& worker);
// Refreshes the demand of filling images periodically. Must be called once in a plan, before the functions above.
void updateFillDemand(Planner& planner);

} // namespace lacewing::scheduler
