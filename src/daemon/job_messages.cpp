// Checks and conversions for jobs.
#include "daemon/job_messages.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QRegularExpression>

namespace lacewing::daemon {

namespace {

    constexpr qint64 largestResource = 1'000'000'000;
    constexpr qint64 longestDurationMs = 31'536'000'000; // one year
    constexpr qsizetype longestName = 100;

    QString toQString(std::string_view text)
    {
        return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
    }

    // Names are part of store keys and of addresses in HTTP paths.
    bool isName(const QString& text)
    {
        static const QRegularExpression pattern("^[A-Za-z0-9][A-Za-z0-9._-]*$");
        return text.size() <= longestName && pattern.match(text).hasMatch();
    }

    std::optional<FieldError> readName(const QJsonObject& object, const char* key, bool isRequired, std::string& value)
    {
        const QJsonValue entry = object[QLatin1String(key)];
        if (entry.isUndefined() && !isRequired)
            return std::nullopt;
        if (!entry.isString() || !isName(entry.toString()))
            return FieldError { key, "1 to 100 letters, digits, '.', '_' or '-', starting with a letter or digit" };
        value = entry.toString().toStdString();
        return std::nullopt;
    }

    std::optional<FieldError> readWhole(
        const QJsonValue& entry, const char* key, qint64 least, qint64 most, std::int64_t& value)
    {
        const qint64 number = entry.toInteger(-1);
        if (!entry.isDouble() || number < least || number > most)
            return FieldError { key, QString("whole number %1..%2").arg(least).arg(most) };
        value = number;
        return std::nullopt;
    }

    std::optional<FieldError> readResources(const QJsonObject& object, batch::Resources& resources)
    {
        if (!object["resources"].isObject())
            return FieldError { "resources", "object with cpuMilli, memoryMb and accelerators" };
        const QJsonObject values = object["resources"].toObject();
        if (auto error = readWhole(values["cpuMilli"], "resources.cpuMilli", 1, largestResource, resources.cpuMilli))
            return error;
        if (auto error = readWhole(values["memoryMb"], "resources.memoryMb", 1, largestResource, resources.memoryMb))
            return error;
        if (values.contains("accelerators"))
            return readWhole(
                values["accelerators"], "resources.accelerators", 0, largestResource, resources.accelerators);
        return std::nullopt;
    }

    std::optional<FieldError> unknownField(const QJsonObject& object)
    {
        static const QStringList known { "id", "team", "class", "service", "resources", "durationMs", "dataCentre" };
        for (const QString& key : object.keys()) {
            if (!known.contains(key))
                return FieldError { key, "unknown field; known are " + known.join(", ") };
        }
        return std::nullopt;
    }

    batch::TaskStatus toTaskStatus(WorkerTaskState state)
    {
        // Both enumerations have the same names; a state without a counterpart counts as running, which frees nothing.
        return base::valueOf(batch::taskStatusNames, base::nameOf(workerTaskStateNames, state))
            .value_or(batch::TaskStatus::Running);
    }

} // namespace

std::variant<batch::JobSpec, FieldError> readJobSpec(const QByteArray& body)
{
    const QJsonDocument document = QJsonDocument::fromJson(body);
    if (!document.isObject())
        return FieldError { "body", "JSON object" };
    const QJsonObject object = document.object();
    if (auto error = unknownField(object))
        return *error;
    batch::JobSpec spec;
    if (auto error = readName(object, "id", false, spec.id.value))
        return *error;
    if (auto error = readName(object, "team", true, spec.team.value))
        return *error;
    if (auto error = readName(object, "service", true, spec.service.value))
        return *error;
    if (auto error = readName(object, "dataCentre", false, spec.dataCentre.value))
        return *error;
    const auto jobClass = base::valueOf(batch::jobClassNames, object["class"].toString("batch").toStdString());
    if (!jobClass)
        return FieldError { "class", "one of urgent, batch, watch" };
    spec.jobClass = *jobClass;
    if (auto error = readResources(object, spec.resources))
        return *error;
    if (auto error = readWhole(object["durationMs"], "durationMs", 1, longestDurationMs, spec.durationMs))
        return *error;
    return spec;
}

QJsonObject toJson(const batch::Job& job, const batch::ShardKey& shard)
{
    const batch::JobSpec& spec = job.spec;
    const QJsonObject resources { { "cpuMilli", static_cast<qint64>(spec.resources.cpuMilli) },
        { "memoryMb", static_cast<qint64>(spec.resources.memoryMb) },
        { "accelerators", static_cast<qint64>(spec.resources.accelerators) } };
    QJsonObject object { { "id", toQString(spec.id.value) }, { "team", toQString(spec.team.value) },
        { "class", toQString(base::nameOf(batch::jobClassNames, spec.jobClass)) },
        { "service", toQString(spec.service.value) },
        { "state", toQString(base::nameOf(batch::jobStateNames, job.state)) },
        { "attempt", static_cast<int>(job.attempt) }, { "progressMs", static_cast<qint64>(job.progressMs) },
        { "evictions", static_cast<int>(job.evictions) }, { "shard", toQString(shard) },
        { "durationMs", static_cast<qint64>(spec.durationMs) }, { "resources", resources } };
    if (!job.worker.empty())
        object["worker"] = toQString(job.worker.value);
    if (!job.reason.empty())
        object["reason"] = toQString(job.reason);
    if (!spec.dataCentre.empty())
        object["dataCentre"] = toQString(spec.dataCentre.value);
    return object;
}

QJsonObject toJson(const batch::EventPage& page, bool isMoved)
{
    QJsonArray events;
    for (const batch::JobEvent& event : page.events)
        events.append(
            QJsonObject { { "cursor", static_cast<qint64>(event.cursor) }, { "text", toQString(event.text) } });
    return { { "events", events }, { "cursor", static_cast<qint64>(page.nextCursor) }, { "gap", page.hasGap },
        { "moved", isMoved } };
}

batch::Resources toResources(const WorkerResources& resources)
{
    return { resources.cpuMilli, resources.memoryMb, resources.accelerators };
}

WorkerResources toWorkerResources(const batch::Resources& resources)
{
    return { resources.cpuMilli, resources.memoryMb, resources.accelerators };
}

batch::WorkerState toWorkerState(const WorkerContent& content)
{
    batch::WorkerState state;
    state.info.id = content.worker;
    state.info.dataCentre = content.dataCentre;
    state.info.rack = { content.rack };
    state.info.capacity = toResources(content.capacity);
    state.epoch = content.epoch;
    for (const WorkerTask& task : content.tasks) {
        batch::TaskReport report;
        report.task = { task.task };
        report.attempt = static_cast<std::uint32_t>(task.attempt);
        report.status = toTaskStatus(task.state);
        report.resources = toResources(task.resources);
        report.progressMs = task.progressMs;
        report.checkpointMs = task.checkpointMs;
        state.tasks.push_back(std::move(report));
    }
    return state;
}

batch::WorkerReport toWorkerReport(const WorkerContent& content, const std::vector<WorkerUsage>& usage)
{
    batch::WorkerReport report;
    report.worker = content.worker;
    std::int64_t usedMilli = 0;
    for (const WorkerUsage& entry : usage) {
        batch::UsageReport task;
        task.task = { entry.task };
        task.attempt = static_cast<std::uint32_t>(entry.attempt);
        task.used = { entry.cpuMilli, entry.memoryMb, 0 };
        task.slowdown = entry.slowdown;
        usedMilli += entry.cpuMilli;
        report.tasks.push_back(std::move(task));
    }
    if (content.capacity.cpuMilli > 0)
        report.cpuLoad = static_cast<double>(usedMilli) / static_cast<double>(content.capacity.cpuMilli);
    return report;
}

batch::StartResult toStartResult(const WorkerError& error)
{
    switch (error.code) {
    case WorkerErrorCode::StaleEpoch:
        return batch::StartResult::StaleEpoch;
    case WorkerErrorCode::Capacity:
        return batch::StartResult::Capacity;
    case WorkerErrorCode::OlderAttempt:
        return batch::StartResult::OlderAttempt;
    case WorkerErrorCode::NotSent:
        return batch::StartResult::NotSent;
    case WorkerErrorCode::NotFound:
    case WorkerErrorCode::Unknown:
    case WorkerErrorCode::Refused:
    case WorkerErrorCode::BadAnswer:
        break;
    }
    return batch::StartResult::Unknown;
}

codec::TransferOffer toMessage(const batch::OfferTransfer& offer)
{
    batch::Shard carrier;
    carrier.key = offer.source;
    carrier.jobs.emplace(offer.job.spec.id, offer.job);
    const auto encoded = batch::encode(carrier, {});
    codec::TransferOffer message;
    message.source = offer.source;
    message.target = offer.target;
    message.job = encoded.has_value() ? encoded.value() : std::string();
    message.number = offer.number;
    message.settledBelow = offer.settledBelow;
    return message;
}

std::optional<batch::OfferTransfer> toOffer(const codec::TransferOffer& message)
{
    const auto carrier = batch::decode(message.job, {});
    if (carrier.has_error() || carrier.value().jobs.size() != 1)
        return std::nullopt;
    return batch::OfferTransfer { message.source, message.target, carrier.value().jobs.begin()->second, message.number,
        message.settledBelow };
}

} // namespace lacewing::daemon
