// Filling tasks beside serving ones: which workers a filling image may use, and which it should leave to others.
//
// A filling image that disturbs most serving images has few workers to run on. Images that have a choice leave these
// workers to it, by a price that rises with the demand for them.
#pragma once

#include "scheduler/planner.h"

namespace lacewing::scheduler {

// Millicores that filling tasks may still use on the worker.
double freeFillCpu(const Worker& worker);
// Number of the image in this plan.
std::size_t imageNumber(Planner& planner, const std::string& image);
// What one more filling task would do to the serving tasks on the worker: 1 takes the worst of them to its target.
double interferenceOfFill(Planner& planner, PlannedWorker& worker, const Step& fill, std::size_t fillImage);
// What the filling tasks on the worker would do to a serving task; 1 takes it to its target.
double interferenceOnServing(Planner& planner, const Worker& worker, const Step& serving);
// Level that the filling task may cause on the worker; a task that has waited long may try, now and then, what it is
// believed to disturb.
double interferenceLimit(const Planner& planner, const Worker& worker, const TaskRef& ref);
// Counts a filling task that this plan starts.
void recordFillStart(Planner& planner, PlannedWorker& worker, const Step& fill);
// Demand for the worker, against what there is, of the filling image that has the least choice.
double scarcity(Planner& planner, PlannedWorker& worker);
// Refreshes the demand of filling images now and then. Call it once in a plan, before the functions above.
void updateFillDemand(Planner& planner);

} // namespace lacewing::scheduler
