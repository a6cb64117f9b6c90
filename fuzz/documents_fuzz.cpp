// Fuzz target for the platform's documents and for stored records. Whatever is decoded must encode to bytes that decode
// again.
#include "election/election.h"
#include "platform/documents.h"
#include "platform/worker_entry.h"
#include "platform/worker_link.h"
#include "scheduler/record.h"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size)
{
    using namespace lacewing;
    const QByteArray input(reinterpret_cast<const char*>(data), static_cast<qsizetype>(size));
    (void)platform::decodeConfiguration(input);
    if (const auto worker = platform::decodeWorker("worker", input); worker.has_value()) {
        const auto stored = scheduler::decodeWorkers(scheduler::encodeWorkers({ worker.value() }));
        if (!stored || stored->size() != 1 || stored->at(0).address != worker.value().address
            || stored->at(0).labels != worker.value().labels)
            std::abort();
    }
    (void)platform::decodeReport(input);
    const auto request = platform::decodeJob("0123456789abcdef", input);
    if (request.has_value()) {
        const auto stored = scheduler::decodeAccepted(scheduler::encodeAccepted({ request.value(), {}, 1 }));
        if (!stored || stored->request.steps.size() != request.value().steps.size())
            std::abort();
    }
    const auto accepted = scheduler::decodeAccepted(input);
    constexpr int maxTasks = 100000; // larger jobs only slow down the fuzzing
    int tasks = 0;
    if (accepted) {
        for (const scheduler::Step& step : accepted->request.steps)
            tasks += step.count >= 0 && step.count < maxTasks ? step.count : maxTasks + 1;
    }
    if (accepted && tasks <= maxTasks && accepted->request.repeatCount < 10) {
        scheduler::Scheduler state;
        scheduler::Job& job = scheduler::addJob(state, accepted->request, accepted->policy, 0, 0, 0);
        if (!scheduler::restoreProgress(job, scheduler::encodeProgress(job, 0)))
            std::abort();
        (void)scheduler::restoreProgress(job, input);
    }
    if (const auto record = election::decodeRecord(input);
        record && !election::decodeRecord(election::encodeRecord(*record)))
        std::abort();
    scheduler::Interference table;
    (void)scheduler::decodeInterference(table, input);
    (void)scheduler::decodeWorkers(input);
    return 0;
}
