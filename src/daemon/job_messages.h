// Translation between HTTP bodies, worker answers and the structs of src/batch.
#pragma once

#include "batch/dispatcher.h"
#include "codec/message.h"
#include "daemon/platform_worker.h"

#include <QByteArray>
#include <QJsonObject>
#include <QString>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lacewing::daemon {

// A field of a job submission that is missing, of a wrong type or out of range.
struct FieldError {
    QString field;
    QString detail; // accepted type and range
};

// Reads the body of POST /v1/jobs. A missing id stays empty.
std::variant<batch::JobSpec, FieldError> readJobSpec(const QByteArray& body);

// One job as shown to callers and operators.
QJsonObject toJson(const batch::Job& job, const batch::ShardKey& shard);

// One page of events as answered by GET /v1/jobs/ID/events. `isMoved`: this daemon stops; poll again elsewhere.
QJsonObject toJson(const batch::EventPage& page, bool isMoved);

batch::Resources toResources(const WorkerResources& resources);
WorkerResources toWorkerResources(const batch::Resources& resources);

batch::WorkerState toWorkerState(const WorkerContent& content);
batch::WorkerReport toWorkerReport(const WorkerContent& content, const std::vector<WorkerUsage>& usage);
batch::StartResult toStartResult(const WorkerError& error);

// A job travels between shards as the value of a shard that holds only this job.
codec::TransferOffer toMessage(const batch::OfferTransfer& offer);
std::optional<batch::OfferTransfer> toOffer(const codec::TransferOffer& message);

} // namespace lacewing::daemon
