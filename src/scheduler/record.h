// Stored form of jobs, in the project's own JSON.
//
// Two records a job: what was accepted (written once, by the daemon that accepted it) and its progress (written by the
// daemon that schedules). A daemon that gives its term up leaves a record of where the tasks are. Readers accept
// records of other writers: a record that does not decode is reported, not used.
#pragma once

#include "scheduler/scheduler.h"

#include <QByteArray>

namespace lacewing::scheduler {

struct AcceptedJob {
    JobRequest request;
    QueuePolicy policy;
    std::int64_t acceptedUnixMs = 0;
};

QByteArray encodeAccepted(const AcceptedJob& job);
std::optional<AcceptedJob> decodeAccepted(const QByteArray& bytes);

QByteArray encodeProgress(const Job& job);
// Restores the progress into a job that was added from its accepted record. Returns false when it does not decode.
bool restoreProgress(Job& job, const QByteArray& bytes);
// State in a progress record, without decoding the rest into a job.
std::optional<JobState> decodeState(const QByteArray& bytes);

// Compressed; grows with the tasks that run.
QByteArray encodePlacements(const Placements& placements);
std::optional<Placements> decodePlacements(const QByteArray& bytes);

QByteArray encodeWorkers(const std::vector<WorkerEntry>& entries);
std::optional<std::vector<WorkerEntry>> decodeWorkers(const QByteArray& bytes);

} // namespace lacewing::scheduler
