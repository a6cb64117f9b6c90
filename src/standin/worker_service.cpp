// Paths of a worker (design section 4, and POST /v1/worker/acknowledge).
#include "standin/worker_service.h"

#include "http/problem.h"
#include "standin/json_reader.h"

#include <QJsonDocument>

namespace lacewing::standin {

namespace {

    constexpr qint64 maxBodyBytes = 64LL * 1024;
    constexpr std::int64_t maxDurationMs = 10LL * 365 * 24 * 3600 * 1000;
    constexpr std::int64_t maxResource = 1'000'000'000;

    QJsonValue number(std::uint64_t value) { return { static_cast<qint64>(value) }; }

    QString text(std::string_view value)
    {
        return QString::fromUtf8(value.data(), static_cast<qsizetype>(value.size()));
    }

    http::Response json(int status, const QJsonObject& object)
    {
        return http::jsonResponse(status, QJsonDocument(object).toJson(QJsonDocument::Compact));
    }

    QJsonObject resourcesJson(const Resources& resources)
    {
        return { { "cpuMilli", static_cast<qint64>(resources.cpuMilli) },
            { "memoryMb", static_cast<qint64>(resources.memoryMb) },
            { "accelerators", static_cast<qint64>(resources.accelerators) } };
    }

    http::Response contentOf(const WorkerModel& model)
    {
        QJsonArray tasks;
        for (const auto& [name, run] : model.tasks) {
            tasks.append(QJsonObject { { "task", text(name) }, { "attempt", number(run.attempt) },
                { "state", text(base::nameOf(taskStateNames, run.state)) },
                { "resources", resourcesJson(run.resources) },
                { "progress", static_cast<qint64>(base::toMilliseconds(run.progress)) },
                { "checkpoint", static_cast<qint64>(base::toMilliseconds(run.checkpoint)) } });
        }
        return json(200,
            { { "worker", text(model.id) }, { "dataCentre", text(model.dataCentre) }, { "rack", text(model.rack) },
                { "capacity", resourcesJson(model.capacity) }, { "epoch", number(model.epoch) }, { "tasks", tasks } });
    }

    http::Response reportsOf(WorkerModel& model, base::TimePoint now)
    {
        QJsonArray reports;
        for (const UsageSample& sample : visibleReports(model, now)) {
            reports.append(QJsonObject { { "task", text(sample.task) }, { "attempt", number(sample.attempt) },
                { "ageMs", static_cast<qint64>(base::toMilliseconds(now - sample.at)) },
                { "cpuMilli", static_cast<qint64>(sample.cpuMilli) },
                { "memoryMb", static_cast<qint64>(sample.memoryMb) }, { "slowdown", sample.slowdown } });
        }
        return json(200, { { "reports", reports } });
    }

    http::Response answerOf(const WorkerModel& model, WorkerAnswer answer)
    {
        switch (answer) {
        case WorkerAnswer::Done:
            return json(200, {});
        case WorkerAnswer::Already:
            return json(200, { { "already", true } });
        case WorkerAnswer::NotFound:
            return json(404, { { "code", "notFound" } });
        case WorkerAnswer::StaleEpoch:
        case WorkerAnswer::Capacity:
        case WorkerAnswer::OlderAttempt:
            break;
        }
        return json(
            409, { { "code", text(base::nameOf(workerAnswerNames, answer)) }, { "epoch", number(model.epoch) } });
    }

    http::Response badRequest(const std::string& field)
    {
        return http::ProblemBuilder(400, "badField").field(text(field)).executedNo().response();
    }

    Resources readResources(JsonReader& reader)
    {
        JsonReader item(reader.object("resources"));
        Resources resources;
        resources.cpuMilli = item.integer("cpuMilli", 0, maxResource, 0);
        resources.memoryMb = item.integer("memoryMb", 0, maxResource, 0);
        resources.accelerators = item.integer("accelerators", 0, maxResource, 0);
        return resources;
    }

    http::Response handlePost(WorkerModel& model, const QByteArray& call, JsonReader& reader, base::TimePoint now)
    {
        const auto epoch = static_cast<std::uint64_t>(reader.integer("epoch", 0, maxJsonInteger));
        if (call == "fence") {
            const std::string owner = reader.text("owner", "", 256);
            if (!reader.isValid())
                return badRequest(reader.fault());
            const WorkerAnswer answer = fence(model, epoch, owner, now);
            return answer == WorkerAnswer::Done ? contentOf(model) : answerOf(model, answer);
        }
        if (call == "renew") {
            const std::int64_t leaseMs = reader.integer("leaseMs", 1, maxDurationMs);
            if (!reader.isValid())
                return badRequest(reader.fault());
            return answerOf(model, renew(model, epoch, base::milliseconds(leaseMs), now));
        }
        const std::string task = reader.text("task");
        const auto attempt = static_cast<std::uint64_t>(reader.integer("attempt", 0, maxJsonInteger));
        if (call == "start") {
            StartRequest request { task, attempt, epoch, readResources(reader), {}, {}, {} };
            request.duration = base::milliseconds(reader.integer("durationMs", 0, maxDurationMs));
            request.checkpoint = base::milliseconds(reader.integer("checkpoint", 0, maxDurationMs, 0));
            request.lease = base::milliseconds(reader.integer("leaseMs", 1, maxDurationMs));
            return reader.isValid() ? answerOf(model, start(model, request, now)) : badRequest(reader.fault());
        }
        const std::int64_t cpuMilli = reader.integer("cpuMilli", 0, maxResource, 0);
        if (!reader.isValid())
            return badRequest(reader.fault());
        if (call == "checkpoint")
            return answerOf(model, checkpoint(model, task, attempt, epoch, now));
        if (call == "throttle")
            return answerOf(model, throttle(model, task, attempt, epoch, cpuMilli, now));
        if (call == "stop")
            return answerOf(model, stop(model, task, attempt, epoch, now));
        if (call == "acknowledge")
            return answerOf(model, acknowledge(model, task, attempt, epoch, now));
        return http::ProblemBuilder(404, "noSuchPath").executedNo().response();
    }

} // namespace

void handleWorker(WorkerService& worker, const http::Request& request, const http::Responder& responder)
{
    if (worker.isPaused) {
        worker.waiting.emplace_back(request, responder);
        return;
    }
    const base::TimePoint now = base::monotonicNow();
    if (request.method == "GET" && request.path == "/v1/worker") {
        moveTo(worker.model, now);
        responder.respond(contentOf(worker.model));
        return;
    }
    if (request.method == "GET" && request.path == "/v1/worker/reports") {
        responder.respond(reportsOf(worker.model, now));
        return;
    }
    if (request.method != "POST" || !request.path.startsWith("/v1/worker/")) {
        responder.respond(http::ProblemBuilder(404, "noSuchPath").executedNo().response());
        return;
    }
    const std::optional<QJsonObject> object = parseForeignObject(request.body, maxBodyBytes);
    if (!object) {
        responder.respond(badRequest(""));
        return;
    }
    JsonReader reader(*object);
    responder.respond(handlePost(worker.model, request.path.mid(11), reader, now));
}

void resumeWorker(WorkerService& worker)
{
    worker.isPaused = false;
    moveTo(worker.model, base::monotonicNow());
    const auto waiting = std::exchange(worker.waiting, {});
    for (const auto& [request, responder] : waiting)
        handleWorker(worker, request, responder);
}

void tickWorker(WorkerService& worker, base::TimePoint now)
{
    if (!worker.isPaused)
        moveTo(worker.model, now);
}

} // namespace lacewing::standin
