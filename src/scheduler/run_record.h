// Records of the workers on which lasting tasks run, so that a new term needs the word of one worker for each of them
// instead of the reports of all workers.
//
// The record of a job names a worker for each of its lasting tasks. Rules:
//   - A start goes to another worker than the last one only after a record that names it is in the store. Starts beside
//     a record that names no worker all go to the worker of the first start.
//   - Before the first start of a task in a term that did not see its job accepted, the record has to name the worker,
//     because an earlier term may have started the task.
//   - The worker of a start without a record before it is in the next record.
//   - While the store is failing, a task may start again on its last worker: the record still names it, or none.
//
// A new term may rely on a record only if all terms since the acceptance of the job have kept to these rules. Versions
// before them write lease tables and job records without runsRecordedSince. A term that starts a task has stored its
// lease table before, so that the table of the last such term tells since when the series is unbroken; a job record of
// another series is not relied on.
#pragma once

#include "scheduler/scheduler.h"

namespace lacewing::scheduler {

// True when the task may start on the worker now.
bool mayStartOn(const Scheduler& scheduler, const TaskRef& ref, const std::string& worker);
// The worker that the next start should go to if it has room: the one that was chosen, or the last one while the store
// is failing. Null: any.
const std::string* preferredWorker(const Scheduler& scheduler, const TaskRef& ref);
// The next start waits for a record.
bool isRecordAwaited(const Scheduler& scheduler, const TaskRef& ref);
// Chooses the worker for the next start of the task. A later plan orders it when the record is in the store.
void recordChoice(Scheduler& scheduler, const TaskRef& ref, const std::string& worker, Millis now);
// The start on the worker is ordered.
void recordStart(Scheduler& scheduler, const TaskRef& ref, const std::string& worker);
// The worker's run is known: it was reported, or has ended there.
void recordRun(Scheduler& scheduler, const TaskRef& ref, const std::string& worker);

} // namespace lacewing::scheduler
