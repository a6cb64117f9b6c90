#include "scheduler/run_number.h"

#include <algorithm>

namespace lacewing::scheduler {

namespace {

    // Revisions from the acceptance of the job to the start of the term; 0: accepted during the term.
    RunNumber revisionsBeforeTerm(const Scheduler& scheduler, const Job& job)
    {
        return std::max<RunNumber>(0, scheduler.token - job.acceptedRevision);
    }

} // namespace

RunNumber firstRun(const Scheduler& scheduler, const Job& job)
{
    return revisionsBeforeTerm(scheduler, job) * runsPerRevision + 1;
}

RunNumber runLimit(const Scheduler& scheduler, const Job& job)
{
    return (revisionsBeforeTerm(scheduler, job) + 1 + job.commitsInTerm) * runsPerRevision + 1;
}

std::optional<RunNumber> nextRun(const Scheduler& scheduler, const Job& job, RunNumber latest)
{
    const RunNumber next = std::max(latest + 1, firstRun(scheduler, job));
    if (next >= runLimit(scheduler, job))
        return std::nullopt;
    return next;
}

} // namespace lacewing::scheduler
