// Which occurrences of a job have state in memory, and what the accepted jobs take there.
//
// A job is accepted with all its occurrences, possibly for months to come. State is kept only for open occurrences:
// those that are due and have not ended, and those of which a worker or a record tells. One that is not due follows
// from the request, and one that has ended is a number in Job::endedOccurrences.
//
// Invariants
//   - An occurrence is open, ended or neither, and then it has never been started in this term.
//   - An ended occurrence is closed only when the store has a record that says so, and none of its tasks is placed.
//   - The state of open occurrences stays within Limits::stateBytes, except for what a record or a worker tells of, and
//     for one occurrence when there is no other. Others that are due wait, those of jobs without an open one first.
#pragma once

#include "scheduler/scheduler.h"

#include <optional>
#include <string>
#include <string_view>

namespace lacewing::scheduler {

int occurrenceCount(const JobRequest& request);
// Tasks of one occurrence.
std::int64_t taskCount(const JobRequest& request);
std::int64_t dueUnixMs(const JobRequest& request, int number);

// --- Memory ---

// Estimate of what the state of one open occurrence takes.
std::int64_t occurrenceBytes(const JobRequest& request);
// The same of the request, with one open occurrence.
std::int64_t workBytes(const JobRequest& request);
// What all accepted jobs that have not ended take.
std::int64_t acceptedWorkBytes(const Scheduler& scheduler);

// --- Open occurrences ---

// Opens an occurrence without looking at the budget; returns the open one if there is one.
Occurrence& openOccurrence(Job& job, int number);
// Closes the occurrences that have ended and opens those that are due, as far as the budget has room.
void updateOccurrences(Scheduler& scheduler, Millis now, std::int64_t nowUnixMs);
// The job has ended: drops what only an open job needs.
void dropWork(Scheduler& scheduler, Job& job);

// --- Tasks by name ---

struct TaskName {
    std::string_view job;
    int occurrence = 0;
    int step = 0;
    int index = 0;
};

std::optional<TaskName> parseTaskName(std::string_view name);
// As findTask, for a run that a worker reports or a record names: opens its occurrence if it may have been started.
std::optional<TaskRef> findReportedTask(Scheduler& scheduler, const std::string& name, RunNumber run, Millis now);
// The task is of an occurrence that has ended.
bool isOfEndedOccurrence(const Scheduler& scheduler, const std::string& name);

} // namespace lacewing::scheduler
