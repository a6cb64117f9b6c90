// Paths of the store (design section 4).
#include "standin/store_service.h"

#include "http/problem.h"
#include "standin/json_reader.h"

#include <QJsonDocument>
#include <QTimer>
#include <QUrl>

namespace lacewing::standin {

namespace {

    constexpr qint64 maxBodyBytes = 8LL * 1024 * 1024;
    constexpr qsizetype maxValueText = 4'000'000; // longer than any valid value, so that the model refuses it
    constexpr int maxWaitMs = 60'000;             // of a watch
    constexpr std::int64_t maxLeaseMs = 24LL * 3600 * 1000;

    QJsonValue number(std::uint64_t value) { return { static_cast<qint64>(value) }; }

    QString text(const std::string& value) { return QString::fromStdString(value); }

    http::Response json(int status, const QJsonObject& object)
    {
        return http::jsonResponse(status, QJsonDocument(object).toJson(QJsonDocument::Compact));
    }

    http::Response badRequest(const std::string& field)
    {
        return http::ProblemBuilder(400, "badField").field(text(field)).executedNo().response();
    }

    QJsonObject entryJson(const std::string& key, const StoredValue& entry)
    {
        return { { "key", text(key) }, { "version", number(entry.version) }, { "value", text(*entry.value) },
            { "operation", text(entry.operation) } };
    }

    std::uint64_t queryNumber(const http::Request& request, const QString& name)
    {
        return http::queryValue(request, name).toULongLong();
    }

} // namespace

void StoreService::answer(const http::Responder& responder, const http::Response& response)
{
    if (faults.delayMs <= 0) {
        responder.respond(response);
        return;
    }
    QTimer::singleShot(faults.delayMs, this, [responder, response] { responder.respond(response); });
}

void StoreService::answerWrite(const http::Responder& responder, const WriteResult& result)
{
    if (result.outcome == WriteOutcome::Written)
        wakeWatches();
    if (faults.loseReplies > 0 && result.outcome == WriteOutcome::Written) {
        --faults.loseReplies;
        const std::uint64_t id = ++m_lastLost;
        m_lost.emplace(id, responder);
        responder.onDisconnect([this, id] { m_lost.erase(id); });
        return;
    }
    switch (result.outcome) {
    case WriteOutcome::Written:
        return answer(responder, json(200, { { "version", number(result.version) } }));
    case WriteOutcome::Conflict:
        return answer(
            responder, json(409, { { "version", number(result.version) }, { "operation", text(result.operation) } }));
    case WriteOutcome::TooLarge:
        return answer(responder, http::ProblemBuilder(413, "tooLarge").executedNo().response());
    case WriteOutcome::NoLease:
        return answer(responder, http::ProblemBuilder(404, "noLease").executedNo().response());
    }
}

void StoreService::handle(const http::Request& request, const http::Responder& responder)
{
    if (faults.refuses) {
        ++calls["refused"];
        return responder.respond(http::ProblemBuilder(503, "storeRefuses").executedNo().response()), void();
    }
    const QString path = QString::fromUtf8(QByteArray::fromPercentEncoding(request.path));
    if (path.startsWith("/v1/kv/") && path.size() > 7)
        return handleKey(request, responder, path.mid(7).toStdString());
    if (path == "/v1/list" && request.method == "GET") {
        ++calls["list"];
        QJsonArray entries;
        for (const auto& [key, entry] : listValues(model, http::queryValue(request, "prefix").toStdString()))
            entries.append(entryJson(key, entry));
        return answer(responder, json(200, { { "revision", number(model.revision) }, { "entries", entries } }));
    }
    if (path == "/v1/watch" && request.method == "GET")
        return handleWatch(request, responder);
    if (path == "/v1/leases" || path.startsWith("/v1/leases/"))
        return handleLease(request, responder);
    responder.respond(http::ProblemBuilder(404, "noSuchPath").executedNo().response());
}

void StoreService::handleKey(const http::Request& request, const http::Responder& responder, const std::string& key)
{
    if (request.method == "GET") {
        ++calls["get"];
        const StoredValue* entry = findValue(model, key);
        if (entry == nullptr)
            return answer(responder, http::ProblemBuilder(404, "noSuchKey").executedNo().response());
        return answer(responder, json(200, entryJson(key, *entry)));
    }
    if (request.method == "PUT")
        return handlePut(request, responder, key);
    if (request.method == "DELETE") {
        ++calls["delete"];
        return answerWrite(responder,
            removeValue(
                model, key, queryNumber(request, "expect"), http::queryValue(request, "operation").toStdString()));
    }
    responder.respond(http::ProblemBuilder(405, "methodNotAllowed").executedNo().response());
}

void StoreService::handlePut(const http::Request& request, const http::Responder& responder, const std::string& key)
{
    ++calls["put"];
    const std::optional<QJsonObject> object = parseForeignObject(request.body, maxBodyBytes);
    if (!object)
        return answer(responder, badRequest(""));
    JsonReader reader(*object);
    WriteRequest write;
    write.key = key;
    write.value = reader.text("value", maxValueText);
    write.expect = static_cast<std::uint64_t>(reader.integer("expect", 0, maxJsonInteger));
    write.operation = reader.text("operation");
    write.lease = static_cast<std::uint64_t>(reader.integer("lease", 0, maxJsonInteger, 0));
    if (!reader.isValid())
        return answer(responder, badRequest(reader.fault()));
    answerWrite(responder, writeValue(model, write));
}

void StoreService::handleWatch(const http::Request& request, const http::Responder& responder)
{
    ++calls["watch"];
    Watch watch { ++m_lastWatch, responder, http::queryValue(request, "prefix").toStdString(),
        queryNumber(request, "after") };
    if (answerWatch(watch, false))
        return;
    const std::uint64_t id = watch.id;
    m_watches.push_back(std::move(watch));
    responder.onDisconnect(
        [this, id] { std::erase_if(m_watches, [id](const Watch& entry) { return entry.id == id; }); });
    const int waitMs = static_cast<int>(std::min<std::uint64_t>(queryNumber(request, "wait"), maxWaitMs));
    QTimer::singleShot(waitMs, this, [this, id] {
        for (auto entry = m_watches.begin(); entry != m_watches.end(); ++entry) {
            if (entry->id != id)
                continue;
            const Watch due = *entry;
            m_watches.erase(entry);
            answerWatch(due, true);
            return;
        }
    });
}

bool StoreService::answerWatch(const Watch& watch, bool isDue)
{
    const std::optional<std::vector<StoreEvent>> events = eventsAfter(model, watch.prefix, watch.after);
    if (!events) {
        answer(watch.responder, http::ProblemBuilder(410, "revisionTooOld").executedNo().response());
        return true;
    }
    if (events->empty() && !isDue)
        return false;
    QJsonArray list;
    for (const StoreEvent& event : *events) {
        const QJsonValue value = event.value ? QJsonValue(text(*event.value)) : QJsonValue(QJsonValue::Null);
        list.append(
            QJsonObject { { "key", text(event.key) }, { "version", number(event.version) }, { "value", value } });
    }
    answer(watch.responder, json(200, { { "revision", number(model.revision) }, { "events", list } }));
    return true;
}

void StoreService::wakeWatches()
{
    std::erase_if(m_watches, [this](const Watch& watch) { return answerWatch(watch, false); });
}

void StoreService::breakWatches()
{
    forgetEvents(model);
    wakeWatches();
}

void StoreService::handleLease(const http::Request& request, const http::Responder& responder)
{
    if (request.path == "/v1/leases" && request.method == "POST") {
        ++calls["lease"];
        const std::optional<QJsonObject> object = parseForeignObject(request.body, maxBodyBytes);
        JsonReader reader(object.value_or(QJsonObject()));
        const std::int64_t ttlMs = reader.integer("ttlMs", 1, maxLeaseMs);
        if (!reader.isValid())
            return answer(responder, badRequest(reader.fault()));
        const std::uint64_t lease = createLease(model, base::milliseconds(ttlMs), base::monotonicNow());
        return answer(responder, json(200, { { "lease", number(lease) } }));
    }
    if (request.method == "PUT") {
        ++calls["renew"];
        const std::uint64_t lease = request.path.mid(11).toULongLong();
        if (!renewLease(model, lease, base::monotonicNow()))
            return answer(responder, http::ProblemBuilder(404, "noSuchLease").executedNo().response());
        return answer(responder, json(200, { { "lease", number(lease) } }));
    }
    responder.respond(http::ProblemBuilder(405, "methodNotAllowed").executedNo().response());
}

void StoreService::tick(base::TimePoint now)
{
    const std::uint64_t before = model.revision;
    expireLeases(model, now);
    if (model.revision != before)
        wakeWatches();
}

} // namespace lacewing::standin
