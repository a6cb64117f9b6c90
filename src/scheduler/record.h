// Stored JSON records of jobs, placements and workers.
//
// Each job has two records: the accepted job (written once, by the daemon that accepted it) and its progress (written
// by the scheduling daemon). A scheduling daemon that resigns its term stores the placements of the tasks. Records may
// have been written by other daemons: a record that does not decode is reported and not used.
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

// Takes the place of the accepted record once the job has ended and its final state is stored, because a new term reads
// all of them. The key stays, so that the id cannot be accepted again.
QByteArray encodeEnded(const EndedJob& job);
// nullopt: another kind of record, or it does not decode.
std::optional<EndedJob> decodeEnded(const QByteArray& bytes);

// Client account that an accepted record or the record of an ended job names; empty: none, or it does not decode.
std::string decodeAccount(const QByteArray& bytes);

// runsRecordedSince: of the scheduler, see run_record.h.
QByteArray encodeProgress(const Job& job, std::int64_t runsRecordedSince);
// Restores the progress of a job that was added from its accepted record. Returns false when it does not decode.
bool restoreProgress(Job& job, const QByteArray& bytes);
// Decodes only the state of a progress record.
std::optional<JobState> decodeState(const QByteArray& bytes);

// Compressed, because the size grows with the number of running tasks.
QByteArray encodePlacements(const Placements& placements);
std::optional<Placements> decodePlacements(const QByteArray& bytes);

QByteArray encodeWorkers(const std::vector<WorkerEntry>& entries);
std::optional<std::vector<WorkerEntry>> decodeWorkers(const QByteArray& bytes);

} // namespace lacewing::scheduler
