// Start orders that were given up while they may still be carried out.
//
// A worker may carry out an unanswered call until lateOrderMs after it was sent, and a later incarnation of the worker
// does so whatever the present one has answered: it has seen no fencing token, and its clock begins anew. Until then
// the next run of the task goes to the same worker. There the late call is outdated beside the run with the higher
// number; if the worker restarts, that run ends with its incarnation. A worker that leaves starts unanswered again and
// again gets no more of the task; another one may have it when the calls are over, or the worker's lease is.
//
// A term that is resigned hands its open starts over with its placements. One that ends otherwise cannot: it keeps a
// table of them in the store, with the starts that have had no answer for unansweredStartMs, and the next term holds
// their tasks to their workers as it would have done itself. Tasks that are not in the table are free.
//
// Invariant: all open calls with starts of one task go to one worker.
#pragma once

#include "scheduler/scheduler.h"

#include <QByteArray>

namespace lacewing::scheduler {

// End of the time in which an order that is sent now, and repeated until its deadline, may be carried out.
Millis openStartEnd(const Limits& limits, Millis now);
// The current run of the task is given up or has ended; its calls may be open. Call while the task is placed.
void keepOpenStart(Scheduler& scheduler, const TaskRef& ref, Millis now);
// A run that is to be stopped was reported by a worker where the task may not be placed: it runs until its stop or the
// end of the worker's lease.
void observeStray(Task& task, const std::string& worker, Millis endsBy);
// The worker has been silent until its lease was over: tasks no longer wait for it. Its next incarnation may still
// carry out a call before it is heard of (KNOWN-RED.txt); waiting would keep the tasks of each lost worker down twice
// as long.
void dropOpenStarts(Scheduler& scheduler, const Worker& worker);
// The worker has answered a start of the task.
void settleOpenStarts(Task& task);
// Calls for the task may still be carried out by the worker that it names in openWorker.
bool hasOpenStart(const Task& task, Millis now);
// Whether these calls, and runs that they have started, allow a start on the worker.
bool allowsStart(const TaskRef& ref, const Worker& worker, Millis now);

// --- Over terms ---

// Age from which a start without an answer is in the table: above the time of an ordinary answer, below the time-out of
// a call (Limits::callDelayMs).
constexpr Millis unansweredStartMs = 150;

struct OpenStart {
    std::string worker;
    RunNumber run = 0;
    Millis untilClockMs = 0; // on the term clock (election/election.h)
};

struct OpenStartTable {
    std::int64_t token = 0;                  // of the term that stored the table
    std::map<std::string, OpenStart> starts; // by task
};

OpenStartTable collectOpenStarts(Scheduler& scheduler, Millis now);
// True when the stored table lacks an open start, or names an earlier end of one.
bool lacksOpenStarts(const OpenStartTable& stored, const OpenStartTable& current);
// The table that earlier terms stored. Called once, after the placements have been applied: these are complete.
void applyOpenStarts(Scheduler& scheduler, const OpenStartTable& table, Millis now);
// Drops the open starts of workers that are neither listed nor may hold a lease of an earlier term.
void dropOpenStartsOfGoneWorkers(Scheduler& scheduler, Millis now);

// JSON; rows of task, worker, run and end.
QByteArray encodeOpenStarts(const OpenStartTable& table);
std::optional<OpenStartTable> decodeOpenStarts(const QByteArray& bytes);

} // namespace lacewing::scheduler
