// Calls of the store and of executors.
#include "platform.h"

#include <QDateTime>
#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>

namespace lacewing::review {

namespace {

    constexpr std::int64_t answerMs = 4; // of the store
    constexpr std::int64_t heartbeatMs = 1500;
    constexpr std::int64_t entryLifetimeMs = 3 * heartbeatMs; // of silence
    constexpr std::int64_t maxHoldMs = 6000;
    constexpr std::int64_t gangTimeoutMs = 3000;
    constexpr std::int64_t failureMs = 40; // from the start of a run on an executor that fails all
    constexpr std::int64_t tickMs = 5;
    constexpr std::size_t itemsPerPage = 500;

    bool startsWith(const std::string& text, const std::string& prefix) { return text.rfind(prefix, 0) == 0; }

    std::string parameter(const Request& request, const std::string& name)
    {
        const auto found = request.query.find(name);
        return found == request.query.end() ? std::string() : found->second;
    }

    std::int64_t numberOf(const std::string& text) { return text.empty() ? 0 : std::stoll(text); }

    void repeat(std::int64_t periodMs, const std::function<void()>& action)
    {
        after(periodMs, [periodMs, action] {
            action();
            repeat(periodMs, action);
        });
    }

} // namespace

Record::Record(const QString& path)
    : m_file(path)
{
    if (!m_file.open(QIODevice::WriteOnly | QIODevice::Truncate))
        qFatal("the record cannot be written");
}

void Record::line(const QString& text)
{
    m_file.write(QString("%1 ms  %2\n").arg(nowMs(), 7).arg(text).toUtf8());
    m_file.flush();
}

// --- Store ---

Store::Store()
    : m_server([this](const Request& request, const Responder& responder) { handle(request, responder); })
{
}

QJsonObject Store::toJson(const std::string& key, const Item& item)
{
    return { { "key", QString::fromStdString(key) }, { "value", QString::fromLatin1(item.value.toBase64()) },
        { "revision", static_cast<qint64>(item.revision) }, { "created", static_cast<qint64>(item.created) },
        { "lease", 0 } };
}

void Store::put(const std::string& key, const QJsonObject& value)
{
    ++m_revision;
    write(key, QJsonDocument(value).toJson(QJsonDocument::Compact));
    notifyWatches();
}

void Store::remove(const std::string& key)
{
    ++m_revision;
    erase(key);
    notifyWatches();
}

void Store::write(const std::string& key, const QByteArray& value)
{
    Item& item = m_items[key];
    item.value = value;
    item.revision = m_revision;
    item.created = item.created == 0 ? m_revision : item.created;
    m_events.push_back({ key, m_revision, false, item });
}

void Store::erase(const std::string& key)
{
    if (m_items.erase(key) > 0)
        m_events.push_back({ key, m_revision, true, {} });
}

QJsonObject Store::range(const Request& request) const
{
    const std::string prefix = parameter(request, "prefix");
    const std::string after = parameter(request, "after");
    QJsonArray items;
    bool hasMore = false;
    for (auto it = m_items.lower_bound(prefix); it != m_items.end() && startsWith(it->first, prefix); ++it) {
        if (!after.empty() && it->first <= after)
            continue;
        hasMore = static_cast<std::size_t>(items.size()) >= itemsPerPage;
        if (hasMore)
            break;
        items.append(toJson(it->first, it->second));
    }
    return { { "items", items }, { "has_more", hasMore }, { "at", static_cast<qint64>(m_revision) } };
}

QJsonObject Store::eventsFor(const Watch& watch) const
{
    QJsonArray events;
    const auto first = std::upper_bound(m_events.begin(), m_events.end(), watch.after,
        [](std::int64_t revision, const Event& event) { return revision < event.revision; });
    for (auto event = first; event != m_events.end(); ++event) {
        if (!startsWith(event->key, watch.prefix))
            continue;
        if (event->isDeleted)
            events.append(QJsonObject { { "key", QString::fromStdString(event->key) },
                { "revision", static_cast<qint64>(event->revision) }, { "tombstone", true } });
        else
            events.append(toJson(event->key, event->item));
    }
    return { { "events", events }, { "at", static_cast<qint64>(m_revision) } };
}

void Store::notifyWatches()
{
    for (const auto& watch : m_watches) {
        const QJsonObject answer = eventsFor(*watch);
        if (watch->isAnswered || answer["events"].toArray().isEmpty())
            continue;
        watch->isAnswered = true;
        watch->responder.respond(200, answer);
    }
    std::erase_if(m_watches, [](const auto& watch) { return watch->isAnswered || !watch->responder.socket; });
}

void Store::handle(const Request& request, const Responder& responder)
{
    if (request.path == "/kv-txn") {
        transact(request, responder);
        return;
    }
    if (request.path == "/kv-watch") {
        auto watch = std::make_shared<Watch>(
            Watch { parameter(request, "prefix"), numberOf(parameter(request, "after")), responder });
        m_watches.push_back(watch);
        after(numberOf(parameter(request, "wait_ms")), [this, watch] {
            if (!std::exchange(watch->isAnswered, true))
                watch->responder.respond(200, eventsFor(*watch));
        });
        notifyWatches();
        return;
    }
    after(answerMs, [this, request, responder] {
        if (request.path == "/kv-range") {
            responder.respond(200, range(request));
        } else if (request.path == "/kv-key") {
            const auto found = m_items.find(parameter(request, "key"));
            QJsonObject body = found == m_items.end() ? QJsonObject {} : toJson(found->first, found->second);
            body["at"] = static_cast<qint64>(m_revision);
            responder.respond(found == m_items.end() ? 404 : 200, body);
        } else {
            responder.respond(404, {});
        }
    });
}

void Store::transact(const Request& request, const Responder& responder)
{
    const QJsonObject body = QJsonDocument::fromJson(request.body).object();
    bool holds = true;
    QJsonArray current;
    for (const QJsonValue row : body["expected_rev"].toArray()) {
        const auto found = m_items.find(row["key"].toString().toStdString());
        const std::int64_t revision = found == m_items.end() ? 0 : found->second.revision;
        holds = holds && revision == row["revision"].toInteger();
        if (found != m_items.end())
            current.append(toJson(found->first, found->second));
    }
    QJsonObject answer { { "items", current } };
    if (holds) {
        ++m_revision;
        for (const QJsonValue row : body["writes"].toArray())
            write(row["key"].toString().toStdString(), QByteArray::fromBase64(row["value"].toString().toLatin1()));
        for (const QJsonValue key : body["deletes"].toArray())
            erase(key.toString().toStdString());
        answer = { { "revision", static_cast<qint64>(m_revision) } };
        notifyWatches();
    }
    after(answerMs, [responder, holds, answer] { responder.respond(holds ? 200 : 412, answer); });
}

// --- Runs ---

std::vector<QString> findRepeatedRuns(const std::deque<Run>& runs)
{
    std::vector<QString> breaches;
    const auto text = [](const Run& run) {
        return QString("run %1 on %2 (life %3)").arg(run.number).arg(QString::fromStdString(run.worker)).arg(run.life);
    };
    for (const Run& later : runs) {
        for (const Run& earlier : runs) {
            if (&earlier == &later || earlier.task != later.task || earlier.startedAt > later.startedAt)
                continue;
            const QString what = QString("task %1: %2 started at %3 ms; ")
                                     .arg(QString::fromStdString(later.task), text(later))
                                     .arg(later.startedAt);
            const bool isAtWork = earlier.endedAt < 0 || earlier.endedAt > later.startedAt;
            if (isAtWork && earlier.number != later.number)
                breaches.push_back(what + text(earlier) + " was at work");
            if (!isAtWork && earlier.how == "done" && earlier.notedAt >= 0 && !earlier.hasLapsedSince)
                breaches.push_back(what + text(earlier)
                    + QString(" had ended `done` at %1 ms, taken note of at %2 ms")
                          .arg(earlier.endedAt)
                          .arg(earlier.notedAt));
        }
    }
    return breaches;
}

// --- Advice ---

Advice::Advice(Record& record, std::function<bool(const std::string& worker)> isAllowed)
    : m_record(record)
    , m_isAllowed(std::move(isAllowed))
    , m_server([this](const Request& request, const Responder& responder) { handle(request, responder); })
{
}

bool Advice::isValid(const std::string& step, const std::string& worker, const std::string& ticket) const
{
    const auto found = m_tickets.find(step + ' ' + worker + ' ' + ticket);
    return found != m_tickets.end() && nowMs() <= found->second;
}

void Advice::handle(const Request& request, const Responder& responder)
{
    const QJsonObject body = QJsonDocument::fromJson(request.body).object();
    const std::string step = body["step"].toString().toStdString();
    const QJsonArray workers = body["workers"].toArray();
    m_freeAt = std::max(m_freeAt, nowMs()) + decisionMs + perItemMs * workers.size();
    after(m_freeAt - nowMs(), [this, step, workers, responder] {
        QJsonArray allowed;
        for (const QJsonValue worker : workers) {
            const std::string id = worker.toString().toStdString();
            if (!m_isAllowed(id))
                continue;
            const std::string ticket = "t" + std::to_string(m_tickets.size());
            m_tickets[step + ' ' + id + ' ' + ticket] = nowMs() + validMs;
            allowed.append(QJsonArray { worker, QString::fromStdString(ticket) });
        }
        m_record.line(QString("advise %1: %2 of %3 executors are allowed")
                          .arg(QString::fromStdString(step))
                          .arg(allowed.size())
                          .arg(workers.size()));
        responder.respond(200, { { "allowed", allowed }, { "valid_ms", validMs } });
    });
}

// --- Executors ---

Worker::Worker(WorkerSettings settings, Store& store, Record& record, std::deque<Run>& runs)
    : m_settings(std::move(settings))
    , m_store(store)
    , m_record(record)
    , m_runs(runs)
    , m_server([this](const Request& request, const Responder& responder) { handle(request, responder); })
{
}

bool Worker::start()
{
    if (!m_server.listen(m_settings.port))
        return false;
    beginLife();
    repeat(tickMs, [this] { tick(); });
    repeat(heartbeatMs, [this] { announce(); });
    return true;
}

void Worker::beginLife()
{
    ++m_life;
    m_bornAt = nowMs();
    m_bornUnixMs = QDateTime::currentMSecsSinceEpoch();
    m_fence = m_leaseEnds = m_lastEnd = m_sequence = 0;
    m_hasLease = false;
    m_highestClosed.clear();
    announce();
}

void Worker::losePower(std::int64_t downMs)
{
    m_record.line(QString("executor %1 loses power for %2 ms, with %3 runs")
                      .arg(QString::fromStdString(m_settings.id))
                      .arg(downMs)
                      .arg(m_active.size()));
    m_server.losePower();
    after(entryLifetimeMs, [this, life = m_life] {
        if (life == m_life)
            m_store.remove("servers/" + m_settings.id);
    });
    for (const auto& [task, active] : m_active) {
        m_runs[active.run].endedAt = nowMs();
        m_runs[active.run].how = "lost";
    }
    m_active.clear();
    m_finished.clear();
    m_holds.clear();
    after(downMs, [this] {
        m_server.regainPower();
        beginLife();
        m_record.line(QString("executor %1 is back under its id (life %2)")
                          .arg(QString::fromStdString(m_settings.id))
                          .arg(m_life));
    });
}

void Worker::announce()
{
    if (!m_server.hasPower())
        return;
    m_store.put("servers/" + m_settings.id,
        { { "backend", QString::fromStdString(m_settings.backend) },
            { "address", QString("127.0.0.1:%1").arg(m_settings.port) },
            { "zone", QString::fromStdString(m_settings.zone) }, { "version", "v1" }, { "slots", 8 },
            { "state", "ready" }, { "cold_remaining_ms", 0 }, { "seq", static_cast<qint64>(++m_sequence) },
            { "capacity", QJsonObject { { "cpu", m_settings.cpu }, { "mem_mb", m_settings.memoryMb }, { "gpu", 0 } } },
            { "labels", QJsonArray { "a", QString::fromStdString(m_settings.rack) } },
            { "machine", QString::fromStdString("m-" + m_settings.id) },
            { "born", static_cast<qint64>(m_bornUnixMs) } });
}

void Worker::tick()
{
    if (!m_server.hasPower())
        return;
    const std::int64_t now = clockMs();
    if (m_hasLease && now >= m_leaseEnds) {
        m_hasLease = false;
        for (const std::size_t run : m_finished)
            m_runs[run].hasLapsedSince = true;
        const std::map<std::string, Active> active = m_active;
        for (const auto& [task, run] : active)
            end(task, "lapsed");
    }
    const std::map<std::string, Active> active = m_active;
    for (const auto& [task, run] : active) {
        if (run.failsAt > 0 && now >= run.failsAt)
            end(task, "failed");
        else if (run.members > 0)
            tickGang(task, run);
        else if (run.endsAt > 0 && now >= run.endsAt)
            end(task, "done");
    }
    for (const auto& hold : m_holds) {
        if (now < hold->deadline && m_finished.empty())
            continue;
        hold->isAnswered = true;
        hold->responder.respond(200, report());
    }
    std::erase_if(m_holds, [](const auto& hold) { return hold->isAnswered; });
}

// The members of one run of a gang work together once all are there, and end together.
void Worker::tickGang(const std::string& task, const Active& active)
{
    const std::string step = task.substr(0, task.rfind('.') + 1);
    const Run& own = m_runs[active.run];
    int present = 0;
    for (const Run& run : m_runs) {
        if (run.number != own.number || !startsWith(run.task, step))
            continue;
        if (run.endedAt >= 0) {
            end(task, run.how == "done" ? "done" : "broken");
            return;
        }
        ++present;
    }
    const std::int64_t now = clockMs();
    if (active.endsAt == 0 && present == active.members)
        m_active.at(task).endsAt = now + active.runMs;
    else if (active.endsAt > 0 && now >= active.endsAt)
        end(task, "done");
    else if (active.endsAt == 0 && nowMs() - own.startedAt >= gangTimeoutMs)
        end(task, "alone");
}

void Worker::end(const std::string& task, const std::string& how)
{
    const std::size_t index = m_active.at(task).run;
    m_active.erase(task);
    Run& run = m_runs[index];
    run.endedAt = nowMs();
    run.how = how;
    run.endNumber = ++m_lastEnd;
    m_highestClosed[task] = std::max(m_highestClosed[task], run.number);
    m_finished.push_back(index);
    m_record.line(QString("run   %1 run %2 on %3 (life %4): ended `%5`, number %6")
                      .arg(QString::fromStdString(task))
                      .arg(run.number)
                      .arg(QString::fromStdString(m_settings.id))
                      .arg(m_life)
                      .arg(QString::fromStdString(how))
                      .arg(run.endNumber));
}

void Worker::extendLease(std::int64_t expiresMs)
{
    m_leaseEnds = std::max(m_leaseEnds, std::min(expiresMs, clockMs() + maxHoldMs));
    m_hasLease = m_hasLease || m_leaseEnds > clockMs();
}

QJsonObject Worker::report() const
{
    QJsonArray running;
    for (const auto& [task, active] : m_active) {
        const Run& run = m_runs[active.run];
        const std::int64_t length = active.endsAt - (run.startedAt - m_bornAt);
        const std::int64_t percent = active.endsAt == 0
            ? 100
            : std::min<std::int64_t>(99, 100 * (nowMs() - run.startedAt) / std::max<std::int64_t>(1, length));
        running.append(QJsonArray { QString::fromStdString(task), static_cast<qint64>(run.number), "",
            static_cast<qint64>(percent), active.cpu });
    }
    QJsonArray finished;
    for (const std::size_t index : m_finished) {
        const Run& run = m_runs[index];
        finished.append(QJsonArray { static_cast<qint64>(run.endNumber), QString::fromStdString(run.task),
            static_cast<qint64>(run.number), QString::fromStdString(run.how), "" });
    }
    return { { "clock_ms", static_cast<qint64>(clockMs()) }, { "born", static_cast<qint64>(m_bornUnixMs) },
        { "running", running }, { "finished", finished } };
}

void Worker::handle(const Request& request, const Responder& responder)
{
    const QJsonObject body = QJsonDocument::fromJson(request.body).object();
    QJsonObject clock { { "clock_ms", static_cast<qint64>(clockMs()) }, { "born", static_cast<qint64>(m_bornUnixMs) } };
    const auto expected = request.headers.find("lacewingloft-expect-instance");
    if (expected != request.headers.end() && expected->second != m_settings.id) {
        responder.respond(421, clock);
        return;
    }
    if (body["fencing_token"].toInteger() < m_fence) {
        clock["reason"] = "fence";
        responder.respond(409, clock);
        return;
    }
    m_fence = body["fencing_token"].toInteger();
    if (request.path == "/run-start")
        runStart(body, responder);
    else if (request.path == "/run-stop")
        runStop(body, responder);
    else if (request.path == "/hold")
        hold(body, responder);
    else
        responder.respond(request.path == "/pace" ? 200 : 404, clock);
}

void Worker::runStart(const QJsonObject& body, const Responder& responder)
{
    const std::string task = body["task"].toString().toStdString();
    const std::int64_t number = body["run_id"].toInteger();
    QJsonObject answer { { "clock_ms", static_cast<qint64>(clockMs()) },
        { "born", static_cast<qint64>(m_bornUnixMs) } };
    const auto refuse = [&](const char* reason) {
        answer["reason"] = reason;
        responder.respond(409, answer);
    };
    const auto present = m_active.find(task);
    const bool isPresent = present != m_active.end() && m_runs[present->second.run].number == number;
    if (body["expires_ms"].toInteger() < clockMs()) {
        refuse("late");
        return;
    }
    extendLease(body["expires_ms"].toInteger());
    if (isPresent) {
        responder.respond(200, answer);
        return;
    }
    if (present != m_active.end() || number <= m_highestClosed[task]) {
        refuse("old");
        return;
    }
    const QJsonObject spec = QJsonDocument::fromJson(body["spec"].toString().toUtf8()).object();
    if (spec["ticket"].toBool() && m_advice
        && !m_advice->isValid(
            task.substr(0, task.rfind('.')), m_settings.id, body["ticket"].toString().toStdString())) {
        refuse("ticket");
        return;
    }
    Active active;
    active.cpu = spec["cpu"].toInt();
    active.memoryMb = spec["mem_mb"].toInt();
    int cpu = active.cpu;
    int memory = active.memoryMb;
    for (const auto& [name, other] : m_active) {
        cpu += other.cpu;
        memory += other.memoryMb;
    }
    if (cpu > m_settings.cpu || memory > m_settings.memoryMb) {
        refuse("room");
        return;
    }
    const int runMs = spec["run_ms"].toInt();
    active.runMs = runMs;
    active.members = spec["gang"].toInt();
    active.endsAt = runMs > 0 && active.members == 0 ? clockMs() + runMs : 0;
    active.failsAt = m_isFailing ? clockMs() + failureMs : 0;
    active.run = m_runs.size();
    m_runs.push_back({ task, number, m_settings.id, m_life, nowMs() });
    m_active[task] = active;
    m_record.line(QString("run   %1 run %2 on %3 (life %4): started")
                      .arg(QString::fromStdString(task))
                      .arg(number)
                      .arg(QString::fromStdString(m_settings.id))
                      .arg(m_life));
    responder.respond(200, answer);
}

void Worker::runStop(const QJsonObject& body, const Responder& responder)
{
    const std::string task = body["task"].toString().toStdString();
    const std::int64_t number = body["run_id"].toInteger();
    const auto active = m_active.find(task);
    if (active != m_active.end() && m_runs[active->second.run].number <= number)
        end(task, "stopped");
    m_highestClosed[task] = std::max(m_highestClosed[task], number);
    responder.respond(
        200, { { "clock_ms", static_cast<qint64>(clockMs()) }, { "born", static_cast<qint64>(m_bornUnixMs) } });
}

void Worker::hold(const QJsonObject& body, const Responder& responder)
{
    if (body.contains("expires_ms"))
        extendLease(body["expires_ms"].toInteger());
    const std::int64_t seen = body["seen_seq"].toInteger();
    while (!m_finished.empty() && m_runs[m_finished.front()].endNumber <= seen) {
        Run& run = m_runs[m_finished.front()];
        run.notedAt = nowMs();
        m_finished.pop_front();
        m_record.line(QString("note  %1 run %2 on %3 (life %4): end %5 taken note of, `seen_seq` is %6")
                          .arg(QString::fromStdString(run.task))
                          .arg(run.number)
                          .arg(QString::fromStdString(m_settings.id))
                          .arg(m_life)
                          .arg(run.endNumber)
                          .arg(seen));
    }
    const std::int64_t wait = body["wait_ms"].toInteger();
    if (wait <= 0 || !m_finished.empty())
        responder.respond(200, report());
    else
        m_holds.push_back(std::make_shared<Hold>(Hold { responder, clockMs() + wait }));
}

} // namespace lacewing::review
