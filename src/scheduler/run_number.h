// Numbers of runs, unique over terms without a record of each start.
//
// A term numbers the runs of a job in a block of its own, derived from its fencing token relative to the store revision
// at which the job was accepted. Both are revisions of the store, so that blocks of later terms are higher. Each job
// record that the term stores takes a further revision, which no other term has as its token: its block is the term's
// as well.
#pragma once

#include "scheduler/scheduler.h"

namespace lacewing::scheduler {

// Run numbers of a job for each store revision; bounds the starts of a task between two records of its job.
constexpr RunNumber runsPerRevision = 256;

// The first number after the runs that earlier terms can have started.
RunNumber firstRun(const Scheduler& scheduler, const Job& job);
// The first number that is not the term's any more.
RunNumber runLimit(const Scheduler& scheduler, const Job& job);
// Number of the next run after `latest`; nullopt: the numbers are used up until a record of the job is stored.
std::optional<RunNumber> nextRun(const Scheduler& scheduler, const Job& job, RunNumber latest);

} // namespace lacewing::scheduler
