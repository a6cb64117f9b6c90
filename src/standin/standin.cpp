// Wiring of the stand-in, its faults and its counts.
#include "standin/standin.h"

#include "http/problem.h"

#include <QJsonArray>
#include <QJsonDocument>

namespace lacewing::standin {

namespace {

    constexpr int tickMs = 20;                 // step of the workers' clocks between requests
    constexpr std::size_t maxHistory = 10'000; // changes of the instance list
    constexpr qsizetype maxItems = 4'000;      // of a list in a fault request

    QString text(const std::string& value) { return QString::fromStdString(value); }

    QJsonValue number(std::uint64_t value) { return { static_cast<qint64>(value) }; }

    http::Response json(int status, const QJsonObject& object)
    {
        return http::jsonResponse(status, QJsonDocument(object).toJson(QJsonDocument::Compact));
    }

    void readNames(const QJsonArray& names, std::set<std::string>& add, std::set<std::string>* remove)
    {
        for (const auto& name : names) {
            add.insert(name.toString().toStdString());
            if (remove != nullptr)
                remove->erase(name.toString().toStdString());
        }
    }

    // Name of a wrong or unknown member, which would otherwise be a fault that is silently not injected.
    std::string faultOf(const char* part, const JsonReader& item)
    {
        const std::string name = item.isValid() ? item.unknown() : item.fault();
        return name.empty() ? std::string() : std::string(part) + "." + name;
    }

    http::ServerLimits openLimits()
    {
        http::ServerLimits limits;
        limits.connections = 4000;
        limits.bodyBytes = 8LL * 1024 * 1024; // a value of 1 MB with escapes
        return limits;
    }

} // namespace

Standin::Standin(StandinSettings settings)
    : m_settings(std::move(settings))
    , m_startedAt(base::monotonicNow())
{
    store.faults.delayMs = m_settings.storeDelayMs;
    m_lagMs = m_settings.instancesLagMs;
    const auto place = [this](int index, std::string& dataCentre, std::string& rack) {
        const int count = static_cast<int>(m_settings.dataCentres.size());
        dataCentre = m_settings.dataCentres[static_cast<std::size_t>(index % count)];
        rack = dataCentre + "-r" + std::to_string(index / count % m_settings.racks + 1);
    };
    for (int index = 0; index < m_settings.workers; ++index) {
        auto worker = std::make_unique<WorkerService>();
        worker->model.id = "w" + std::to_string(index + 1);
        place(index, worker->model.dataCentre, worker->model.rack);
        worker->model.capacity = { m_settings.cpuMilli, m_settings.memoryMb, m_settings.accelerators };
        worker->model.reportLag = base::milliseconds(m_settings.reportLagMs);
        worker->model.checkpointTime = base::milliseconds(m_settings.checkpointMs);
        worker->model.movedTo = m_startedAt;
        worker->model.ledger = &ledger;
        workers.push_back(std::move(worker));
    }
    for (int index = 0; index < m_settings.endpoints; ++index) {
        EndpointModel model;
        model.id = "e" + std::to_string(index + 1);
        place(index, model.dataCentre, model.rack);
        model.service = m_settings.service;
        model.slots = m_settings.slots;
        model.connectionLimit = m_settings.connections;
        model.serviceMs = m_settings.serviceMs;
        m_endpoints.push_back(std::make_unique<EndpointService>(std::move(model)));
    }
    connect(&m_tick, &QTimer::timeout, this, [this] {
        const base::TimePoint now = base::monotonicNow();
        store.tick(now);
        for (const auto& worker : workers)
            tickWorker(*worker, now);
    });
}

std::string Standin::open(Listening& listening, std::uint16_t port) const
{
    listening.server = std::make_unique<http::Server>(openLimits(), listening.handler);
    const auto opened = listening.server->listen(QHostAddress(text(m_settings.address)), port);
    if (!opened) {
        listening.server.reset();
        return "port " + std::to_string(port) + ": " + opened.error().detail;
    }
    listening.port = opened.value();
    return {};
}

std::string Standin::listen()
{
    const QHostAddress address(text(m_settings.address));
    if (!address.isLoopback())
        return "address " + m_settings.address + " is not a loopback address";
    int port = m_settings.basePort;
    const auto nextPort = [&port] { return static_cast<std::uint16_t>(port == 0 ? 0 : port++); };
    m_admin.handler
        = [this](const http::Request& request, const http::Responder& responder) { handleAdmin(request, responder); };
    m_storeListening.handler
        = [this](const http::Request& request, const http::Responder& responder) { store.handle(request, responder); };
    std::string fault = open(m_admin, nextPort());
    if (fault.empty())
        fault = open(m_storeListening, nextPort());
    m_workerListening.resize(workers.size());
    for (std::size_t index = 0; index < workers.size() && fault.empty(); ++index) {
        WorkerService* worker = workers[index].get();
        m_workerListening[index].handler = [worker](const http::Request& request, const http::Responder& responder) {
            handleWorker(*worker, request, responder);
        };
        fault = open(m_workerListening[index], nextPort());
    }
    for (std::size_t index = 0; index < m_endpoints.size() && fault.empty(); ++index) {
        const std::uint16_t wanted = nextPort();
        if (!m_endpoints[index]->listen(address, wanted))
            fault = "endpoint port " + std::to_string(wanted);
        m_endpointPorts.push_back(m_endpoints[index]->port());
    }
    noteInstances();
    m_tick.start(tickMs);
    return fault;
}

void Standin::setAway(Listening& listening, bool isAway) const
{
    if (isAway)
        listening.server.reset();
    else if (!listening.server)
        open(listening, listening.port);
}

// --- Instance list ---

QJsonArray Standin::currentInstances() const
{
    QJsonArray list;
    const auto add
        = [&](const std::string& id, const char* kind, const std::string& dataCentre, const std::string& rack,
              const std::string& address, std::uint16_t port, const EndpointModel* endpoint) {
              if (m_hidden.contains(id))
                  return;
              QJsonObject entry { { "id", text(id) }, { "kind", kind }, { "dataCentre", text(dataCentre) },
                  { "rack", text(rack) }, { "address", text(address) }, { "port", port },
                  { "state", m_leaving.contains(id) ? "leaving" : "live" } };
              if (endpoint != nullptr) {
                  entry["slots"] = endpoint->slots;
                  entry["connections"] = endpoint->connectionLimit;
                  entry["service"] = text(endpoint->service);
              }
              list.append(entry);
          };
    for (std::size_t index = 0; index < m_workerListening.size(); ++index) {
        const WorkerModel& model = workers[index]->model;
        add(model.id, "worker", model.dataCentre, model.rack, m_settings.address, m_workerListening[index].port,
            nullptr);
    }
    for (std::size_t index = 0; index < m_endpointPorts.size(); ++index) {
        const EndpointModel& model = m_endpoints[index]->model;
        add(model.id, "endpoint", model.dataCentre, model.rack, m_settings.address, m_endpointPorts[index], &model);
    }
    for (const EntrySettings& entry : m_settings.entries)
        add(entry.id, "entry", entry.dataCentre, "", entry.address, entry.port, nullptr);
    for (const auto& ghost : m_ghosts)
        list.append(ghost);
    return list;
}

void Standin::noteInstances()
{
    m_history.emplace_back(base::monotonicNow(), currentInstances());
    if (m_history.size() > maxHistory)
        m_history.pop_front();
}

QJsonArray Standin::visibleInstances() const
{
    const base::TimePoint until = base::monotonicNow() - base::milliseconds(m_lagMs);
    for (auto entry = m_history.rbegin(); entry != m_history.rend(); ++entry) {
        if (entry->first <= until)
            return entry->second;
    }
    return m_history.front().second;
}

// --- Faults ---

std::string Standin::applyFaults(const QJsonObject& faults)
{
    JsonReader reader(faults);
    for (const QString& key : faults.keys()) {
        if (key != "store" && key != "workers" && key != "endpoints" && key != "instances")
            return key.toStdString();
    }
    std::string fault;
    if (reader.has("store"))
        fault = applyStoreFaults(reader);
    if (fault.empty() && reader.has("workers"))
        fault = applyWorkerFaults(reader);
    if (fault.empty() && reader.has("endpoints"))
        fault = applyEndpointFaults(reader);
    if (fault.empty() && reader.has("instances"))
        fault = applyInstanceFaults(reader);
    noteInstances();
    return fault;
}

std::string Standin::applyStoreFaults(JsonReader& reader)
{
    JsonReader item(reader.object("store"));
    StoreFaults faults = store.faults;
    faults.delayMs = static_cast<int>(item.integer("delayMs", 0, 600'000, faults.delayMs));
    faults.loseReplies = static_cast<int>(item.integer("loseReplies", 0, 1'000'000, faults.loseReplies));
    faults.refuses = item.flag("refuses", faults.refuses);
    const bool isAway = item.flag("away", m_storeListening.server == nullptr);
    const bool breaksWatches = item.flag("breakWatches", false);
    const bool expiresLeases = item.flag("expireLeases", false);
    if (!reader.isValid())
        return "store";
    if (std::string fault = faultOf("store", item); !fault.empty())
        return fault;
    store.faults = faults;
    setAway(m_storeListening, isAway);
    if (expiresLeases)
        expireLeases(store.model, base::monotonicNow(), true);
    if (breaksWatches)
        store.breakWatches();
    return {};
}

std::string Standin::applyWorkerFaults(JsonReader& reader)
{
    for (const auto& value : reader.array("workers", maxItems)) {
        JsonReader item(value.toObject());
        const std::string id = item.text("id"); // "*": all
        bool isKnown = false;
        for (std::size_t index = 0; index < workers.size(); ++index) {
            WorkerService& worker = *workers[index];
            if (id != "*" && id != worker.model.id)
                continue;
            isKnown = true;
            worker.model.failsEverything = item.flag("failEverything", worker.model.failsEverything);
            worker.model.durationFactor = item.number("durationFactor", 0.001, 1000, worker.model.durationFactor);
            worker.model.usageFactor = item.number("usageFactor", 0.001, 1000, worker.model.usageFactor);
            const bool isPaused = item.flag("paused", worker.isPaused);
            const bool isAway = item.flag("away", m_workerListening[index].server == nullptr);
            const bool isLost = item.flag("lost", false);
            if (std::string fault = faultOf("workers", item); !fault.empty())
                return fault;
            if (isLost)
                lose(worker.model, base::monotonicNow());
            setAway(m_workerListening[index], isAway);
            if (worker.isPaused && !isPaused)
                resumeWorker(worker);
            worker.isPaused = isPaused;
        }
        if (!isKnown)
            return "workers.id";
    }
    return reader.isValid() ? std::string() : reader.fault();
}

std::string Standin::applyEndpointFaults(JsonReader& reader)
{
    for (const auto& value : reader.array("endpoints", maxItems)) {
        JsonReader item(value.toObject());
        const std::string id = item.text("id"); // "*": all
        bool isKnown = false;
        for (std::size_t index = 0; index < m_endpoints.size(); ++index) {
            EndpointService& endpoint = *m_endpoints[index];
            EndpointModel& model = endpoint.model;
            if (id != "*" && id != model.id)
                continue;
            isKnown = true;
            const EndpointMode mode
                = item.has("mode") ? item.choice("mode", endpointModeNames, EndpointMode::Normal) : model.mode;
            model.mode = mode;
            model.serviceMs = static_cast<int>(item.integer("serviceMs", 0, 600'000, model.serviceMs));
            model.extraMs = static_cast<int>(item.integer("extraMs", 0, 600'000, model.extraMs));
            model.failStatus = static_cast<int>(item.integer("failStatus", 400, 599, model.failStatus));
            const bool isAway = item.flag("away", !endpoint.isListening());
            if (std::string fault = faultOf("endpoints", item); !fault.empty())
                return fault;
            if (isAway)
                endpoint.vanish();
            else if (!endpoint.isListening())
                endpoint.listen(QHostAddress(text(m_settings.address)), m_endpointPorts[index]);
        }
        if (!isKnown)
            return "endpoints.id";
    }
    return reader.isValid() ? std::string() : reader.fault();
}

std::string Standin::applyInstanceFaults(JsonReader& reader)
{
    JsonReader item(reader.object("instances"));
    m_lagMs = static_cast<int>(item.integer("lagMs", 0, 600'000, m_lagMs));
    if (item.has("leaving"))
        readNames(item.array("leaving", maxItems), m_leaving, nullptr);
    if (item.has("hidden"))
        readNames(item.array("hidden", maxItems), m_hidden, nullptr);
    if (item.has("live")) {
        std::set<std::string> live;
        readNames(item.array("live", maxItems), live, &m_leaving);
        for (const std::string& name : live)
            m_hidden.erase(name);
    }
    if (item.has("ghosts"))
        m_ghosts = item.array("ghosts", maxItems);
    return reader.isValid() ? faultOf("instances", item) : std::string("instances");
}

// --- Admin interface ---

QJsonObject Standin::counts()
{
    QJsonObject calls;
    for (const auto& [kind, count] : store.calls)
        calls[text(kind)] = number(count);
    QJsonObject tasks;
    for (const auto& [task, record] : ledger.tasks) {
        QJsonArray starts;
        QJsonObject startsByDataCentre;
        for (const TaskStart& entry : record.starts) {
            starts.append(QJsonObject { { "worker", text(entry.worker) }, { "dataCentre", text(entry.dataCentre) },
                { "attempt", number(entry.attempt) },
                { "atMs", static_cast<qint64>(base::toMilliseconds(entry.at - m_startedAt)) } });
            const QString dataCentre = text(entry.dataCentre);
            startsByDataCentre[dataCentre] = startsByDataCentre[dataCentre].toInt() + 1;
        }
        tasks[text(task)] = QJsonObject { { "starts", starts }, { "startsByDataCentre", startsByDataCentre },
            { "running", record.running }, { "maxRunning", record.maxRunning }, { "finished", record.finished },
            { "failed", record.failed }, { "stopped", record.stopped }, { "expired", record.expired } };
    }
    QJsonObject endpoints;
    for (const auto& endpoint : m_endpoints) {
        const EndpointModel& model = endpoint->model;
        int twice = 0;
        QJsonObject repeated;
        for (const auto& [id, count] : model.executions) {
            if (count > 1) {
                ++twice;
                repeated[text(id)] = count;
            }
        }
        endpoints[text(model.id)]
            = QJsonObject { { "dataCentre", text(model.dataCentre) }, { "inProgress", model.inProgress },
                  { "maxInProgress", model.maxInProgress }, { "connections", model.connections },
                  { "maxConnections", model.maxConnections }, { "requests", number(model.requests) },
                  { "executed", number(model.executed) }, { "requestIds", static_cast<int>(model.executions.size()) },
                  { "executedTwice", twice }, { "repeated", repeated } };
    }
    return { { "nowMs", static_cast<qint64>(base::toMilliseconds(base::monotonicNow() - m_startedAt)) },
        { "store", QJsonObject { { "calls", calls }, { "revision", number(store.model.revision) } } },
        { "tasks", tasks }, { "endpoints", endpoints } };
}

void Standin::handleAdmin(const http::Request& request, const http::Responder& responder)
{
    if (request.method == "GET" && request.path == "/v1/instances") {
        responder.respond(json(200, { { "instances", visibleInstances() } }));
        return;
    }
    if (request.method == "GET" && request.path == "/standin/counts") {
        responder.respond(json(200, counts()));
        return;
    }
    if (request.method == "POST" && request.path == "/standin/faults") {
        const std::optional<QJsonObject> faults = parseForeignObject(request.body, 1024LL * 1024);
        const std::string fault = faults ? applyFaults(*faults) : "body";
        if (fault.empty())
            responder.respond(json(200, {}));
        else
            responder.respond(http::ProblemBuilder(400, "badField").field(text(fault)).response());
        return;
    }
    responder.respond(http::ProblemBuilder(404, "noSuchPath").executedNo().response());
}

} // namespace lacewing::standin
