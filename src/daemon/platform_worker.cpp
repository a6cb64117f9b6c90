// Requests to workers and checks on their answers.
#include "daemon/platform_worker.h"

#include "daemon/platform_json.h"

#include <QJsonArray>

namespace lacewing::daemon {

namespace {

    constexpr std::size_t longestName = 200;

    std::string urlOf(const WorkerAddress& worker, const std::string& path)
    {
        return "http://" + worker.address + ":" + std::to_string(worker.port) + path;
    }

    QString toQString(const std::string& text) { return QString::fromStdString(text); }

    WorkerError error(WorkerErrorCode code, std::string detail)
    {
        WorkerError result;
        result.code = code;
        result.detail = std::move(detail);
        return result;
    }

    WorkerError conflictOf(const http::ClientResult& result)
    {
        const auto object = readObject(result.body);
        const std::string name = object ? (*object)["code"].toString().toStdString() : std::string();
        const auto code = base::valueOf(workerErrorNames, name);
        if (!code)
            return error(WorkerErrorCode::Refused, "conflict without a known code");
        WorkerError conflict = error(*code, name);
        conflict.epoch = readCount((*object)["epoch"]).value_or(0);
        return conflict;
    }

    // The error of an answer that is not a success, or nothing for status 200.
    std::optional<WorkerError> failureOf(const http::ClientResult& result)
    {
        if (!result.ok()) {
            const std::string name(base::nameOf(http::failureNames, result.failure));
            return error(
                result.bytesSent == http::BytesSent::None ? WorkerErrorCode::NotSent : WorkerErrorCode::Unknown, name);
        }
        if (result.status == 200)
            return std::nullopt;
        if (result.status == 404)
            return error(WorkerErrorCode::NotFound, "no such task and attempt");
        if (result.status == 409)
            return conflictOf(result);
        // A server error may follow after the command took effect.
        if (result.status >= 500)
            return error(WorkerErrorCode::Unknown, "status " + std::to_string(result.status));
        return error(WorkerErrorCode::Refused, "status " + std::to_string(result.status));
    }

    std::optional<WorkerResources> readResources(const QJsonValue& value)
    {
        const auto cpuMilli = readCount(value["cpuMilli"]);
        const auto memoryMb = readCount(value["memoryMb"]);
        const auto accelerators = readCount(value["accelerators"]);
        if (!cpuMilli || !memoryMb || !accelerators)
            return std::nullopt;
        return WorkerResources { static_cast<std::int64_t>(*cpuMilli), static_cast<std::int64_t>(*memoryMb),
            static_cast<std::int64_t>(*accelerators) };
    }

    QJsonObject toJson(const WorkerResources& resources)
    {
        return { { "cpuMilli", static_cast<qint64>(resources.cpuMilli) },
            { "memoryMb", static_cast<qint64>(resources.memoryMb) },
            { "accelerators", static_cast<qint64>(resources.accelerators) } };
    }

    std::optional<WorkerTask> readTask(const QJsonValue& value)
    {
        const auto task = readText(value["task"], longestName);
        const auto attempt = readCount(value["attempt"]);
        const auto state = base::valueOf(workerTaskStateNames, value["state"].toString().toStdString());
        const auto resources = readResources(value["resources"]);
        const auto progress = readCount(value["progress"]);
        const auto checkpoint = readCount(value["checkpoint"]);
        if (!task || !attempt || !state || !resources || !progress || !checkpoint)
            return std::nullopt;
        return WorkerTask { *task, *attempt, *state, *resources, static_cast<std::int64_t>(*progress),
            static_cast<std::int64_t>(*checkpoint) };
    }

    base::Result<WorkerContent, WorkerError> readContent(const http::ClientResult& result)
    {
        if (auto failure = failureOf(result))
            return *failure;
        const auto object = readObject(result.body);
        if (!object)
            return error(WorkerErrorCode::BadAnswer, "not a JSON object");
        const auto worker = readText((*object)["worker"], longestName);
        const auto dataCentre = readText((*object)["dataCentre"], longestName);
        const auto rack = readText((*object)["rack"], longestName);
        const auto capacity = readResources((*object)["capacity"]);
        const auto epoch = readCount((*object)["epoch"]);
        if (!worker || !dataCentre || !rack || !capacity || !epoch || !(*object)["tasks"].isArray())
            return error(WorkerErrorCode::BadAnswer, "missing or wrong field");
        WorkerContent content { { *worker }, { *dataCentre }, *rack, *capacity, *epoch, {} };
        const QJsonArray tasks = (*object)["tasks"].toArray();
        for (const QJsonValue value : tasks) {
            auto task = readTask(value);
            if (!task)
                return error(WorkerErrorCode::BadAnswer, "task with a missing or wrong field");
            content.tasks.push_back(std::move(*task));
        }
        return content;
    }

    base::Result<WorkerDone, WorkerError> readDone(const http::ClientResult& result)
    {
        if (auto failure = failureOf(result))
            return *failure;
        return WorkerDone {};
    }

    base::Result<std::vector<WorkerUsage>, WorkerError> readUsage(const http::ClientResult& result)
    {
        if (auto failure = failureOf(result))
            return *failure;
        const auto object = readObject(result.body);
        if (!object || !(*object)["reports"].isArray())
            return error(WorkerErrorCode::BadAnswer, "no list of reports");
        std::vector<WorkerUsage> usage;
        const QJsonArray reports = (*object)["reports"].toArray();
        for (const QJsonValue value : reports) {
            const auto task = readText(value["task"], longestName);
            const auto attempt = readCount(value["attempt"]);
            const auto age = readCount(value["ageMs"]);
            const auto cpuMilli = readCount(value["cpuMilli"]);
            const auto memoryMb = readCount(value["memoryMb"]);
            const double slowdown = value["slowdown"].toDouble(-1);
            if (!task || !attempt || !age || !cpuMilli || !memoryMb || !(slowdown > 0))
                return error(WorkerErrorCode::BadAnswer, "report with a missing or wrong field");
            usage.push_back({ *task, *attempt, static_cast<std::int64_t>(*age), static_cast<std::int64_t>(*cpuMilli),
                static_cast<std::int64_t>(*memoryMb), slowdown });
        }
        return usage;
    }

    QJsonObject taskCall(const std::string& task, std::uint64_t attempt, base::Epoch epoch)
    {
        return { { "task", toQString(task) }, { "attempt", static_cast<qint64>(attempt) },
            { "epoch", static_cast<qint64>(epoch) } };
    }

} // namespace

PlatformWorker::PlatformWorker(http::Client& client, WorkerTimeouts timeouts)
    : m_client(client)
    , m_timeouts(timeouts)
{
}

void PlatformWorker::read(const WorkerAddress& worker, WorkerCallback<WorkerContent> callback)
{
    m_client.send(platformRequest("GET", urlOf(worker, "/v1/worker"), m_timeouts.callMs),
        [callback = std::move(callback)](const http::ClientResult& result) { callback(readContent(result)); });
}

void PlatformWorker::fence(
    const WorkerAddress& worker, base::Epoch epoch, const std::string& owner, WorkerCallback<WorkerContent> callback)
{
    const QJsonObject body { { "epoch", static_cast<qint64>(epoch) }, { "owner", toQString(owner) } };
    m_client.send(platformRequest("POST", urlOf(worker, "/v1/worker/fence"), body, m_timeouts.callMs),
        [callback = std::move(callback)](const http::ClientResult& result) { callback(readContent(result)); });
}

void PlatformWorker::start(
    const WorkerAddress& worker, const WorkerStart& request, WorkerCallback<WorkerStarted> callback)
{
    QJsonObject body = taskCall(request.task, request.attempt, request.epoch);
    body["resources"] = toJson(request.resources);
    body["durationMs"] = static_cast<qint64>(request.durationMs);
    body["checkpoint"] = static_cast<qint64>(request.checkpointMs);
    body["leaseMs"] = static_cast<qint64>(request.leaseMs);
    m_client.send(platformRequest("POST", urlOf(worker, "/v1/worker/start"), body, m_timeouts.startMs),
        [callback = std::move(callback)](const http::ClientResult& result) {
            if (auto failure = failureOf(result)) {
                callback(*failure);
                return;
            }
            const auto object = readObject(result.body);
            callback(WorkerStarted { object && (*object)["already"].toBool(false) });
        });
}

void PlatformWorker::renew(
    const WorkerAddress& worker, base::Epoch epoch, std::int64_t leaseMs, WorkerCallback<WorkerDone> callback)
{
    const QJsonObject body { { "epoch", static_cast<qint64>(epoch) }, { "leaseMs", static_cast<qint64>(leaseMs) } };
    m_client.send(platformRequest("POST", urlOf(worker, "/v1/worker/renew"), body, m_timeouts.callMs),
        [callback = std::move(callback)](const http::ClientResult& result) { callback(readDone(result)); });
}

void PlatformWorker::checkpoint(const WorkerAddress& worker, const std::string& task, std::uint64_t attempt,
    base::Epoch epoch, WorkerCallback<WorkerDone> callback)
{
    m_client.send(platformRequest("POST", urlOf(worker, "/v1/worker/checkpoint"), taskCall(task, attempt, epoch),
                      m_timeouts.callMs),
        [callback = std::move(callback)](const http::ClientResult& result) { callback(readDone(result)); });
}

void PlatformWorker::throttle(const WorkerAddress& worker, const std::string& task, std::uint64_t attempt,
    base::Epoch epoch, std::int64_t cpuMilli, WorkerCallback<WorkerDone> callback)
{
    QJsonObject body = taskCall(task, attempt, epoch);
    body["cpuMilli"] = static_cast<qint64>(cpuMilli);
    m_client.send(platformRequest("POST", urlOf(worker, "/v1/worker/throttle"), body, m_timeouts.callMs),
        [callback = std::move(callback)](const http::ClientResult& result) { callback(readDone(result)); });
}

void PlatformWorker::stop(const WorkerAddress& worker, const std::string& task, std::uint64_t attempt,
    base::Epoch epoch, WorkerCallback<WorkerDone> callback)
{
    m_client.send(
        platformRequest("POST", urlOf(worker, "/v1/worker/stop"), taskCall(task, attempt, epoch), m_timeouts.callMs),
        [callback = std::move(callback)](const http::ClientResult& result) { callback(readDone(result)); });
}

void PlatformWorker::acknowledge(const WorkerAddress& worker, const std::string& task, std::uint64_t attempt,
    base::Epoch epoch, WorkerCallback<WorkerDone> callback)
{
    m_client.send(platformRequest("POST", urlOf(worker, "/v1/worker/acknowledge"), taskCall(task, attempt, epoch),
                      m_timeouts.callMs),
        [callback = std::move(callback)](const http::ClientResult& result) { callback(readDone(result)); });
}

void PlatformWorker::reports(const WorkerAddress& worker, WorkerCallback<std::vector<WorkerUsage>> callback)
{
    m_client.send(platformRequest("GET", urlOf(worker, "/v1/worker/reports"), m_timeouts.callMs),
        [callback = std::move(callback)](const http::ClientResult& result) { callback(readUsage(result)); });
}

} // namespace lacewing::daemon
