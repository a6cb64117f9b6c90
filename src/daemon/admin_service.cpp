// Routes and operators' views.
#include "daemon/admin_service.h"

#include "base/burn.h"
#include "daemon/configuration_service.h"
#include "daemon/dispatcher_service.h"
#include "daemon/gateway_service.h"
#include "daemon/membership_service.h"
#include "daemon/store_service.h"
#include "http/problem.h"
#include "kernel/log.h"

#include <QFile>
#include <QHostAddress>
#include <QJsonArray>
#include <QJsonDocument>
#include <ctime>

namespace lacewing::daemon {

namespace {

    const QByteArray jobsPath = "/v1/jobs";

    QString toQString(std::string_view text)
    {
        return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
    }

    http::Response json(int status, const QJsonObject& object)
    {
        return http::jsonResponse(status, QJsonDocument(object).toJson(QJsonDocument::Compact));
    }

    http::ServerLimits toServerLimits(const HttpSettings& settings)
    {
        http::ServerLimits limits;
        limits.headerBytes = settings.headerBytes;
        limits.bodyBytes = settings.bodyBytes;
        limits.pathBodies = { { "/svc/", settings.serviceBodyBytes } };
        limits.connections = settings.connections;
        limits.headerTimeoutMs = settings.headerTimeoutMs;
        limits.bodyTimeoutMs = settings.bodyTimeoutMs;
        limits.idleTimeoutMs = settings.idleTimeoutMs;
        return limits;
    }

    // Resident memory of this process in bytes, from /proc/self/statm; 0 when it cannot be read.
    double residentBytes()
    {
        QFile file("/proc/self/statm");
        if (!file.open(QIODevice::ReadOnly))
            return 0;
        constexpr double pageBytes = 4096;
        const QList<QByteArray> fields = file.readAll().split(' ');
        return fields.size() < 2 ? 0 : fields[1].toDouble() * pageBytes;
    }

    // Processor time of this process in seconds, user and system, over all threads.
    double processorSeconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

    QJsonObject toJson(const cluster::Member& member)
    {
        return { { "name", toQString(member.daemon.value) }, { "dataCentre", toQString(member.dataCentre.value) },
            { "state", toQString(base::nameOf(cluster::memberStateNames, member.state)) },
            { "revision", static_cast<qint64>(member.revision) },
            { "incarnation", static_cast<qint64>(member.incarnation) }, { "storeAccess", member.hasStoreAccess },
            { "gateway", toQString(member.gatewayAddress) } };
    }

} // namespace

AdminService::AdminService(Runtime& runtime, std::function<void()> requestStop)
    : m_runtime(runtime)
    , m_requestStop(std::move(requestStop))
{
}

std::string AdminService::start()
{
    m_gateway = kernel::find<GatewayService>(m_runtime.kernel, serviceNames::gateway);
    m_dispatcher = kernel::find<DispatcherService>(m_runtime.kernel, serviceNames::dispatcher);
    m_configuration = kernel::find<ConfigurationService>(m_runtime.kernel, serviceNames::configuration);
    m_membership = kernel::find<MembershipService>(m_runtime.kernel, serviceNames::membership);
    m_store = kernel::find<StoreService>(m_runtime.kernel, serviceNames::store);
    const HttpSettings& settings = m_runtime.settings.http;
    m_server = std::make_unique<http::Server>(toServerLimits(settings),
        [this](const http::Request& request, const http::Responder& responder) { route(request, responder); });
    const auto port
        = m_server->listen(QHostAddress(QString::fromStdString(settings.listen.address)), settings.listen.port);
    if (port.has_error())
        return "cannot listen on " + settings.listen.address + ":" + std::to_string(settings.listen.port) + ": "
            + port.error().detail;
    return {};
}

void AdminService::beginStop()
{
    m_isStopping = true;
    m_server->beginDrain();
}

bool AdminService::isIdle() const { return m_server->openRequests() == 0; }

void AdminService::stop() { m_server.reset(); }

// --- Routes ---

void AdminService::route(const http::Request& request, const http::Responder& responder)
{
    const QByteArray& path = request.path;
    const bool isGet = request.method == "GET";
    const bool isPost = request.method == "POST";
    if (path.startsWith("/svc/"))
        m_gateway->handle(request, responder);
    else if (path == jobsPath || path.startsWith(jobsPath + "/")) {
        if (!routeJobs(request, responder))
            responder.respond(http::ProblemBuilder(405, "methodNotAllowed")
                                  .detail("this path does not accept the method")
                                  .executedNo()
                                  .response());
    } else if (path == "/v1/config" && isGet)
        m_configuration->handleShow(responder);
    else if (path == "/v1/config" && isPost)
        m_configuration->handleApply(request, responder);
    else if (path == "/v1/config/history" && isGet)
        m_configuration->handleHistory(responder);
    else if (path == "/v1/status" && isGet)
        handleStatus(responder);
    else if (path == "/v1/drain" && isPost)
        handleDrain(responder);
    else if (path == "/v1/loglevel" && request.method == "PUT")
        handleLogLevel(request, responder);
    else if (path == "/v1/slo" && isGet)
        handleSlo(responder);
    else if (path == "/metrics" && isGet)
        handleMetrics(responder);
    else if (path == "/healthz" && isGet)
        responder.respond(json(200, { { "status", "ok" } }));
    else if (path == "/readyz" && isGet)
        handleReady(responder);
    else
        responder.respond(http::ProblemBuilder(404, "unknownPath")
                              .detail("see docs/http.md for the paths and their methods")
                              .executedNo()
                              .response());
}

bool AdminService::routeJobs(const http::Request& request, const http::Responder& responder)
{
    if (request.path == jobsPath) {
        if (request.method == "POST")
            m_dispatcher->handleSubmit(request, responder);
        else if (request.method == "GET")
            m_dispatcher->handleList(request, responder);
        else
            return false;
        return true;
    }
    QByteArray job = request.path.mid(jobsPath.size() + 1);
    const bool isEvents = job.endsWith("/events");
    if (isEvents)
        job.chop(static_cast<qsizetype>(std::string_view("/events").size()));
    if (request.method == "GET" && isEvents)
        m_dispatcher->handleEvents(request, job.toStdString(), responder);
    else if (request.method == "GET")
        m_dispatcher->handleStatus(request, job.toStdString(), responder);
    else if (request.method == "DELETE" && !isEvents)
        m_dispatcher->handleCancel(request, job.toStdString(), responder);
    else
        return false;
    return true;
}

// --- Views ---

void AdminService::handleStatus(const http::Responder& responder) const
{
    const base::TimePoint now = base::monotonicNow();
    QJsonArray members;
    for (const cluster::Member& member : m_membership->view())
        members.append(toJson(member));
    QJsonArray endpoints;
    for (const routing::EndpointState& endpoint : m_gateway->gateway().router.endpoints) {
        endpoints.append(QJsonObject { { "id", toQString(endpoint.info.id.value) },
            { "state", toQString(base::nameOf(routing::endpointStatusNames, endpoint.info.status)) },
            { "ejected", endpoint.isEjected }, { "inFlight", endpoint.inFlight },
            { "serviceMs", endpoint.serviceUs / 1000.0 },
            { "usableSlots",
                routing::usable(m_gateway->gateway().slots, endpoint.info.id, base::milliseconds(1), now) } });
    }
    QJsonArray dataCentres;
    for (const auto& [name, record] : m_membership->digests().records) {
        dataCentres.append(QJsonObject { { "name", toQString(name.value) },
            { "membersAlive", static_cast<int>(record.state.membersAlive) },
            { "lowestRevision", static_cast<qint64>(record.state.lowestRevision) },
            { "reachable",
                name == m_runtime.settings.dataCentre || cluster::isReachable(m_membership->digests(), name, now) } });
    }
    const cluster::Evidence evidence = cluster::evidence(m_configuration->freshness(), now);
    const store::CallBudget& budget = m_store->budget();
    responder.respond(json(200,
        { { "daemon", toQString(m_runtime.settings.daemon.value) },
            { "dataCentre", toQString(m_runtime.settings.dataCentre.value) },
            { "incarnation", static_cast<qint64>(m_runtime.incarnation) },
            { "upSeconds", base::toSeconds(now - m_runtime.startedAt) },
            { "state",
                m_isStopping                     ? "draining"
                    : m_configuration->isReady() ? "ready"
                                                 : "notReady" },
            { "revision", static_cast<qint64>(m_configuration->holder().revision()) },
            { "confirmed", m_configuration->holder().isConfirmed() },
            { "evidence", toQString(base::nameOf(cluster::evidenceKindNames, evidence.kind)) },
            { "store",
                QJsonObject { { "access", m_store->hasAccess() },
                    { "writes", static_cast<qint64>(budget.writes.taken) },
                    { "reads", static_cast<qint64>(budget.reads.taken) } } },
            { "slots",
                QJsonObject { { "recordVersion", static_cast<qint64>(m_gateway->gateway().slots.record.version) },
                    { "granted", routing::grantedSlots(m_gateway->gateway().slots) },
                    { "stopped", routing::isStopped(m_gateway->gateway().slots, now) } } },
            { "members", members }, { "dataCentres", dataCentres }, { "endpoints", endpoints },
            { "batch", m_dispatcher->statusJson() } }));
}

void AdminService::handleReady(const http::Responder& responder) const
{
    if (m_isStopping) {
        responder.respond(
            http::ProblemBuilder(503, "draining").detail("this daemon is stopping").executedNo().response());
        return;
    }
    if (!m_configuration->isReady()) {
        responder.respond(http::ProblemBuilder(503, "notReady")
                              .detail("no accepted configuration has been seen")
                              .executedNo()
                              .response());
        return;
    }
    responder.respond(json(200,
        { { "status", "ready" }, { "revision", static_cast<qint64>(m_configuration->holder().revision()) },
            { "confirmed", m_configuration->holder().isConfirmed() } }));
}

void AdminService::updateGauges()
{
    base::Metrics& metrics = m_runtime.metrics;
    const routing::Counters& routed = m_gateway->gateway().counters;
    const auto setCounter = [&metrics](const char* name, const char* help, std::uint64_t value) {
        metrics.counter(name, help).value = value;
    };
    setCounter("lacewing_requests_total", "Requests of callers.", routed.offered);
    setCounter("lacewing_attempts_total", "Attempts sent to endpoints.", routed.attempts);
    setCounter("lacewing_retries_total", "Attempts after the first, without hedges.", routed.retries);
    setCounter("lacewing_hedges_total", "Attempts in parallel to a slow one.", routed.hedges);
    setCounter("lacewing_forwards_total", "Attempts sent to other daemons.", routed.forwarded);
    setCounter("lacewing_ejections_total", "Endpoints ejected.", routed.ejections);
    setCounter("lacewing_slot_refusals_total", "Choices without a usable slot.", routed.slotRefusals);
    setCounter("lacewing_loans_given_total", "Slots lent to other daemons.", routed.loansGiven);
    setCounter("lacewing_loans_received_total", "Slots borrowed from other daemons.", routed.loansReceived);
    const batch::DispatcherCounters& batched = m_dispatcher->dispatcher().counters;
    setCounter("lacewing_task_starts_total", "Start requests to workers.", batched.starts);
    setCounter("lacewing_tasks_finished_total", "Tasks finished.", batched.finished);
    setCounter("lacewing_evictions_total", "Attempts ended by eviction.", batched.evictions);
    setCounter("lacewing_task_failures_total", "Attempts that failed.", batched.failures);
    setCounter("lacewing_takeovers_total", "Shards taken over.", batched.takeovers);
    setCounter("lacewing_quarantines_total", "Workers quarantined.", batched.quarantines);
    const peer::PeerTraffic traffic = m_membership->traffic();
    setCounter("lacewing_peer_bytes_sent_total", "Bytes of messages to other daemons.", traffic.bytesSent);
    setCounter("lacewing_peer_bytes_received_total", "Bytes of messages from other daemons.", traffic.bytesReceived);
    metrics.gauge("lacewing_config_revision", "Configuration revision in force.").value
        = static_cast<double>(m_configuration->holder().revision());
    metrics.gauge("lacewing_store_access", "1 when the latest store call was answered.").value
        = m_store->hasAccess() ? 1 : 0;
    metrics.gauge("lacewing_slots_granted", "Slots that this daemon may use.").value
        = routing::grantedSlots(m_gateway->gateway().slots);
    metrics.gauge("lacewing_resident_bytes", "Resident memory of the process.").value = residentBytes();
    metrics.gauge("lacewing_processor_seconds", "Processor time of the process.").value = processorSeconds();
    for (std::size_t index = 0; index < http::refusalNames.size(); ++index) {
        metrics
            .counter("lacewing_http_refusals_total", "Requests refused by the HTTP server, by reason.",
                { { "reason", std::string(http::refusalNames[index].second) } })
            .value
            = m_server->counters().refusals[index];
    }
}

void AdminService::handleMetrics(const http::Responder& responder)
{
    updateGauges();
    http::Response response = http::textResponse(200, QByteArray::fromStdString(m_runtime.metrics.prometheusText()));
    http::setHeader(response.headers, "Content-Type", "text/plain; version=0.0.4");
    responder.respond(response);
}

void AdminService::handleSlo(const http::Responder& responder) const
{
    std::vector<base::Objective> objectives;
    if (const auto policy = m_configuration->holder().policy()) {
        for (const auto& [name, service] : policy->services) {
            const config::ServiceObjectives& goals = service.objectives;
            objectives.push_back(
                { name.value, base::ObjectiveKind::Latency, goals.latencyTarget, goals.latencyThreshold });
            objectives.push_back(
                { name.value, base::ObjectiveKind::Availability, goals.availabilityTarget, std::nullopt });
        }
    }
    const base::SloAnswer answer
        = base::sloAnswer(m_runtime.metrics, m_runtime.settings.daemon.value, m_runtime.settings.dataCentre.value,
            std::move(objectives), m_runtime.startedAt, base::monotonicNow(), base::wallClockMs());
    responder.respond(json(200, base::toJson(answer)));
}

void AdminService::handleLogLevel(const http::Request& request, const http::Responder& responder) const
{
    const std::string name = QJsonDocument::fromJson(request.body)["level"].toString().toStdString();
    const auto level = base::valueOf(kernel::logLevelNames, name);
    if (!level) {
        responder.respond(http::ProblemBuilder(400, "invalidField")
                              .field("level")
                              .detail("accepted: debug, info, warning, error")
                              .executedNo()
                              .response());
        return;
    }
    kernel::setLogLevel(*level);
    responder.respond(json(200, { { "level", toQString(name) } }));
}

void AdminService::handleDrain(const http::Responder& responder)
{
    responder.respond(json(202, { { "state", "draining" } }));
    m_requestStop();
}

void registerAdminService(Runtime& runtime, std::function<void()> requestStop)
{
    auto service = std::make_shared<std::unique_ptr<AdminService>>();
    kernel::Service entry;
    entry.name = serviceNames::admin;
    entry.dependsOn = { serviceNames::store, serviceNames::membership, serviceNames::configuration,
        serviceNames::gateway, serviceNames::dispatcher };
    entry.start = [&runtime, service, requestStop = std::move(requestStop)] {
        *service = std::make_unique<AdminService>(runtime, requestStop);
        return (*service)->start();
    };
    entry.beginStop = [service] { (*service)->beginStop(); };
    entry.isIdle = [service] { return (*service)->isIdle(); };
    entry.stop = [service] { (*service)->stop(); };
    static_cast<void>(kernel::registerService(runtime.kernel, std::move(entry)));
}

} // namespace lacewing::daemon
