// lacewing-bench: what accepted jobs cost the scheduling daemon, by the number of their tasks.
//
// Prints a line for each size: memory of the jobs, the time of one plan, and the longest progress record. The jobs
// repeat each minute, 10 tasks at a time, and one occurrence in a hundred is due. No worker is there, so that a plan
// reviews and orders what is due and starts nothing.
#include "scheduler/record.h"
#include "scheduler/scheduler.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <malloc.h>
#include <string>

namespace {

using namespace lacewing;

constexpr int tasksPerOccurrence = 10;
constexpr int dueOf = 100; // one occurrence in so many is due
constexpr std::int64_t minuteMs = 60'000;
constexpr int plans = 20;

std::int64_t allocatedBytes() { return static_cast<std::int64_t>(mallinfo2().uordblks); }

void measure(int tasks, int jobs)
{
    const int repeats = tasks / jobs / tasksPerOccurrence;
    if (repeats < 1 || tasks / jobs > scheduler::maxTasksPerJob || repeats > scheduler::maxStepsPerJob)
        return;
    const std::int64_t before = allocatedBytes();
    scheduler::Scheduler state;
    for (int i = 0; i < jobs; ++i) {
        scheduler::JobRequest request;
        request.id = "job" + std::to_string(i);
        request.steps.resize(1);
        request.steps[0].count = tasksPerOccurrence;
        request.steps[0].cpuMillicores = 1000;
        request.repeatCount = repeats;
        request.intervalMs = minuteMs;
        scheduler::addJob(state, std::move(request), {}, 0, 2, 0);
    }
    scheduler::beginTerm(state, 1, 1000);
    state.hasWorkerList = true;
    state.validUntil = 1'000'000;
    const std::int64_t nowUnixMs = (std::max(1, repeats / dueOf) - 1) * minuteMs;
    scheduler::plan(state, 1000, nowUnixMs);
    const auto begun = std::chrono::steady_clock::now();
    for (int i = 0; i < plans; ++i) {
        scheduler::plan(state, 1050 + 50 * i, nowUnixMs);
        scheduler::takeDecisions(state);
    }
    const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - begun;
    const std::int64_t used = allocatedBytes() - before;
    qsizetype record = 0;
    for (const auto& [id, job] : state.jobs)
        record = std::max(record, scheduler::encodeProgress(*job, 0).size());
    std::printf("%8d %6d %10.2f %10.3f %10lld\n", tasks, jobs, static_cast<double>(used) / 1e6, took.count() / plans,
        static_cast<long long>(record));
}

} // namespace

int main()
{
    std::printf("%8s %6s %10s %10s %10s\n", "tasks", "jobs", "MB", "ms a plan", "record B");
    for (const int tasks : { 1'000, 10'000, 100'000, 1'000'000 }) {
        for (const int jobs : { 1, 10, 100 })
            measure(tasks, jobs);
    }
    return 0;
}
