// HTTP responses for the load balancer, operators and monitoring.
#include "daemon/admin_service.h"

#include "daemon/account_report.h"
#include "daemon/configuration_service.h"
#include "daemon/dispatcher_service.h"
#include "daemon/gateway_service.h"
#include "daemon/job_table.h"
#include "daemon/policy_service.h"
#include "daemon/term_service.h"
#include "http/problem.h"
#include "kernel/log.h"

#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <ctime>

namespace lacewing::daemon {

namespace {

    const QByteArray jobsPath = "/v1/jobs";
    constexpr int maxListedJobs = 1000;                 // jobs in one response
    constexpr scheduler::Millis memberSilenceMs = 1500; // ms without a message after which a daemon is shown as silent

    QString toQString(std::string_view text)
    {
        return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
    }

    http::Response json(const QJsonObject& object)
    {
        return http::jsonResponse(200, QJsonDocument(object).toJson(QJsonDocument::Compact));
    }

    // Resident memory of this process in bytes; 0 when it cannot be read.
    double residentBytes()
    {
        QFile file("/proc/self/statm");
        if (!file.open(QIODevice::ReadOnly))
            return 0;
        constexpr double pageBytes = 4096;
        const QList<QByteArray> fields = file.readAll().split(' ');
        return fields.size() < 2 ? 0 : fields[1].toDouble() * pageBytes;
    }

    // Processor time of this process in seconds, over all threads.
    double processorSeconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

    // Name of a job state in the operators' interface, where a completed job is called finished.
    QString jobStateName(scheduler::JobState state)
    {
        return state == scheduler::JobState::Completed ? QString("finished")
                                                       : toQString(base::nameOf(scheduler::jobStateNames, state));
    }

    const char* phaseName(scheduler::TaskPhase phase)
    {
        switch (phase) {
        case scheduler::TaskPhase::Waiting:
            return "waiting";
        case scheduler::TaskPhase::Unknown:
            return "unknown";
        case scheduler::TaskPhase::Starting:
            return "starting";
        case scheduler::TaskPhase::Running:
            return "running";
        case scheduler::TaskPhase::Stopping:
            return "stopping";
        case scheduler::TaskPhase::Done:
            return "done";
        case scheduler::TaskPhase::Failed:
            break;
        }
        return "failed";
    }

} // namespace

AdminService::AdminService(Runtime& runtime, std::function<void()> beginDrain)
    : m_runtime(runtime)
    , m_beginDrain(std::move(beginDrain))
{
}

std::string AdminService::start()
{
    m_configuration = kernel::find<ConfigurationService>(m_runtime.kernel, serviceNames::configuration);
    m_dispatcher = kernel::find<DispatcherService>(m_runtime.kernel, serviceNames::dispatcher);
    m_policy = kernel::find<PolicyService>(m_runtime.kernel, serviceNames::policy);
    m_term = kernel::find<TermService>(m_runtime.kernel, serviceNames::term);
    m_table = kernel::find<JobTable>(m_runtime.kernel, serviceNames::jobTable);
    m_gateway = kernel::find<GatewayService>(m_runtime.kernel, serviceNames::gateway);
    const http::ServerLimits limits = clientServerLimits(*m_runtime.clientBudget);
    m_readinessServer = std::make_unique<http::Server>(
        limits,
        [this](const http::Request&, const http::Responder& responder) {
            const bool ready = isReady();
            if (ready != m_wasReady)
                kernel::logEvent(kernel::LogLevel::Notice, "admin", "readiness",
                    { { "isReady", ready }, { "hasConfiguration", m_configuration->isLoaded() },
                        { "isStoreReachable", isStoreReachable(m_runtime) }, { "isStopping", m_runtime.isStopping } });
            m_wasReady = ready;
            responder.respond(http::jsonResponse(ready ? 200 : 503, "{}"));
        },
        m_runtime.clientBudget);
    m_budgetWatch.start(m_runtime, [this] { return servers(); });
    if (const auto port = m_readinessServer->listen(toQString(m_runtime.settings.readinessAddress)); port.has_error())
        return port.error().detail;
    if (m_runtime.settings.adminAddress.empty())
        return {};
    m_adminServer = std::make_unique<http::Server>(
        limits, [this](const http::Request& request, const http::Responder& responder) { handle(request, responder); },
        m_runtime.clientBudget);
    const auto port = m_adminServer->listen(toQString(m_runtime.settings.adminAddress));
    return port.has_error() ? port.error().detail : std::string();
}

void AdminService::stop()
{
    m_budgetWatch.stop();
    m_readinessServer.reset();
    m_adminServer.reset();
}

ListenerServers AdminService::servers() const
{
    return { { "callers", m_gateway->server() }, { "readiness", m_readinessServer.get() },
        { "admin", m_adminServer.get() } };
}

// A daemon that cannot reach the store cannot accept jobs, so the load balancer sends callers to another one.
bool AdminService::isReady() const
{
    return !m_runtime.isStopping && m_configuration->isLoaded() && isStoreReachable(m_runtime);
}

void AdminService::handle(const http::Request& request, const http::Responder& responder)
{
    if (request.method == "GET" && request.path == "/metrics") {
        responder.respond(metrics());
    } else if (request.method == "GET" && request.path == "/v1/status") {
        responder.respond(status());
    } else if (request.method == "GET" && request.path == jobsPath) {
        responder.respond(jobList(request));
    } else if (request.method == "GET" && request.path.startsWith(jobsPath + '/')) {
        responder.respond(jobDetails(jobIdOf(request.path.mid(jobsPath.size() + 1).toStdString())));
    } else if (request.method == "DELETE" && request.path.startsWith(jobsPath + '/')) {
        m_gateway->cancelJob(jobIdOf(request.path.mid(jobsPath.size() + 1).toStdString()), responder);
    } else if (request.method == "POST" && request.path == jobsPath) {
        m_gateway->submitForOperator(request.body, responder);
    } else if (request.method == "GET" && request.path == "/v1/config") {
        responder.respond(m_policy->show());
    } else if (request.method == "GET" && request.path == "/v1/config/history") {
        m_policy->showHistory(responder);
    } else if (request.method == "POST" && request.path == "/v1/config") {
        m_policy->apply(request.body, responder);
    } else if (request.method == "GET" && request.path == "/v1/accounts") {
        responder.respond(accounts());
    } else if (request.method == "GET" && request.path == "/v1/slo") {
        responder.respond(slo());
    } else if (request.method == "GET" && request.path == "/healthz") {
        responder.respond(http::textResponse(200, "ok\n"));
    } else if (request.method == "PUT" && request.path == "/v1/loglevel") {
        responder.respond(setLogLevel(request.body));
    } else if (request.method == "POST" && request.path == "/v1/drain") {
        responder.respond(http::jsonResponse(202, "{}"));
        m_beginDrain();
    } else {
        responder.respond(http::ProblemBuilder(404, "notFound").detail("no such resource").executedNo().response());
    }
}

http::Response AdminService::status() const
{
    const election::Election& state = m_term->state();
    const scheduler::Millis now = nowMs();
    const char* readiness = m_runtime.isStopping ? "draining" : isReady() ? "ready" : "notReady";
    QJsonObject object { { "daemon", toQString(m_runtime.settings.daemon) },
        { "dataCentre", toQString(m_runtime.settings.dataCentre) }, { "version", LACEWING_VERSION },
        { "state", readiness }, { "upSeconds", (base::wallClockMs() - m_runtime.incarnation) / 1000.0 },
        { "revision", static_cast<qint64>(m_policy->revision()) },
        { "platformVersion",
            m_configuration->isLoaded() ? static_cast<qint64>(m_configuration->current().version) : -1 },
        { "configurationAgeMs", static_cast<qint64>(m_configuration->ageMs()) },
        { "confirmed", isStoreReachable(m_runtime) },
        { "evidence", "scheduled by " + (state.record ? toQString(state.record->leader) : QString("nobody")) },
        { "store", QJsonObject { { "access", isStoreReachable(m_runtime) } } },
        { "role", toQString(base::nameOf(election::roleNames, state.role)) },
        { "token", static_cast<qint64>(state.token) },
        { "feedAgeMs", m_table->syncedAt > 0 ? static_cast<qint64>(now - m_table->syncedAt) : -1 },
        { "knownJobs", static_cast<qint64>(m_table->jobs.size()) }, { "cpuSeconds", processorSeconds() },
        { "residentBytes", residentBytes() } };
    QJsonArray withdrawn;
    for (const std::string& dataCentre : m_configuration->withdrawn())
        withdrawn.append(toQString(dataCentre));
    object["withdrawn"] = withdrawn;
    object["members"] = members();
    if (const scheduler::Scheduler* scheduler = m_dispatcher->scheduler()) {
        object["endpoints"] = workers(*scheduler);
        object["batch"] = QJsonObject { { "starts", static_cast<qint64>(scheduler->starts) },
            { "finished", static_cast<qint64>(scheduler->doneTasks) },
            { "evictions", static_cast<qint64>(scheduler->evictions) },
            { "failures", static_cast<qint64>(scheduler->failedRuns) }, { "takeovers", 1 },
            { "shards", QJsonArray { term(*scheduler) } } };
    }
    return json(object);
}

QJsonArray AdminService::members() const
{
    const scheduler::Millis now = nowMs();
    QJsonArray list;
    for (const auto& [name, revision] : m_policy->memberRevisions()) {
        QJsonObject member { { "name", toQString(name) }, { "state", "alive" },
            { "revision", static_cast<qint64>(revision) } };
        // Only the scheduling daemon receives messages from the others.
        const auto peer = m_term->state().peers.find(name);
        if (peer != m_term->state().peers.end()) {
            member["state"] = now - peer->second.lastMessageAt < memberSilenceMs ? "alive" : "silent";
            member["storeAccess"]
                = peer->second.storeReachedAt > 0 && now - peer->second.storeReachedAt < memberSilenceMs;
            member["heardMsAgo"] = static_cast<qint64>(now - peer->second.lastMessageAt);
        }
        list.append(member);
    }
    return list;
}

QJsonArray AdminService::workers(const scheduler::Scheduler& scheduler) const
{
    const scheduler::Millis now = nowMs();
    QJsonArray list;
    for (const auto& [id, worker] : scheduler.workers) {
        const bool isHeld = worker.contact == scheduler::Contact::Established;
        list.append(QJsonObject { { "id", toQString(id) }, { "service", toQString(worker.entry.service) },
            { "dataCentre", toQString(worker.entry.dataCentre) },
            { "state",
                worker.entry.isDraining ? "leaving"
                    : isHeld            ? "live"
                                        : "unverified" },
            { "contact", toQString(base::nameOf(scheduler::contactNames, worker.contact)) },
            { "ejected", worker.avoidUntil > now }, { "inFlight", static_cast<qint64>(worker.tasks.size()) },
            { "cpuUsed", worker.cpuUsed }, { "cpuMillicores", worker.entry.capacity.cpuMillicores },
            { "fillCpu", worker.fillCpu }, { "pressure", worker.pressure },
            { "reportAgeMs", static_cast<qint64>(now - worker.reportedAt) } });
    }
    return list;
}

// The term as an entry of `shards`, which has exactly one.
QJsonObject AdminService::term(const scheduler::Scheduler& scheduler) const
{
    std::map<scheduler::JobState, int> counts;
    for (const auto& [id, known] : m_table->jobs)
        ++counts[known.state];
    QJsonObject jobs;
    for (const auto& [state, count] : counts)
        jobs[jobStateName(state)] = count;
    return { { "key", "all" }, { "epoch", static_cast<qint64>(scheduler.token) }, { "jobs", jobs },
        { "isAccounted", scheduler.isReconciled }, { "open", static_cast<qint64>(scheduler.active.size()) } };
}

http::Response AdminService::accounts() const
{
    if (!m_configuration->isLoaded())
        return http::ProblemBuilder(503, "notReady").detail("no configuration yet").executedNo().response();
    return json(accountReport(m_configuration->current(), m_gateway->refusals(), m_dispatcher->scheduler()));
}

http::Response AdminService::slo() const
{
    return json(
        base::toJson(base::sloResponse(m_runtime.metrics, m_runtime.settings.daemon, m_runtime.settings.dataCentre,
            m_policy->objectives(), m_startedAt, base::monotonicNow(), base::wallClockMs())));
}

http::Response AdminService::setLogLevel(const QByteArray& body)
{
    const QString name = QJsonDocument::fromJson(body).object()["level"].toString();
    const auto level = base::valueOf(kernel::logLevelNames, name.toStdString());
    if (!level)
        return http::ProblemBuilder(400, "invalidField").field("level").detail("unknown level").executedNo().response();
    kernel::setLogLevel(*level);
    return json({ { "level", name } });
}

http::Response AdminService::jobList(const http::Request& request) const
{
    const QString wanted = http::queryValue(request, "state");
    QJsonArray jobs;
    for (const auto& [id, known] : m_table->jobs) {
        const QString state = jobStateName(known.state);
        if ((wanted.isEmpty() || wanted == state) && jobs.size() < maxListedJobs)
            jobs.append(QJsonObject { { "id", toQString(id) }, { "state", state } });
    }
    return json({ { "jobs", jobs } });
}

http::Response AdminService::jobDetails(const std::string& id) const
{
    const auto known = m_table->jobs.find(id);
    if (known == m_table->jobs.end())
        return http::ProblemBuilder(404, "unknownJob")
            .detail("this daemon does not know the job")
            .executedNo()
            .response();
    QJsonObject object { { "id", toQString(id) }, { "state", jobStateName(known->second.state) } };
    if (!known->second.account.empty())
        object["account"] = toQString(known->second.account);
    const scheduler::Scheduler* scheduler = m_dispatcher->scheduler();
    const auto found = scheduler ? scheduler->jobs.find(id) : decltype(scheduler->jobs.find(id)) {};
    if (scheduler && found != scheduler->jobs.end()) {
        QJsonArray tasks;
        for (const auto& [number, occurrence] : found->second->occurrences) {
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto& list = occurrence.steps[step].tasks;
                for (std::size_t index = 0; index < list.size(); ++index)
                    tasks.append(QJsonObject { { "task",
                                                   toQString(scheduler::taskName(
                                                       id, number, static_cast<int>(step), static_cast<int>(index))) },
                        { "phase", phaseName(list[index].phase) }, { "run", static_cast<qint64>(list[index].run) },
                        { "failures", static_cast<qint64>(list[index].failedRuns.size()) },
                        { "worker", toQString(list[index].worker) }, { "percent", list[index].percent } });
            }
        }
        object["team"] = toQString(found->second->policy.name);
        object["service"] = toQString(found->second->policy.service);
        object["class"] = found->second->policy.priority == 0 ? "urgent" : "batch";
        object["tasks"] = tasks;
    }
    return json(object);
}

http::Response AdminService::metrics() const
{
    base::Metrics& registry = m_runtime.metrics;
    const auto gauge
        = [&registry](const char* name, const char* help, double value) { registry.gauge(name, help).value = value; };
    const platform::StoreCounters& store = m_runtime.store->counters();
    gauge("lacewing_store_reads", "Reads of one key since the start.", static_cast<double>(store.reads));
    gauge("lacewing_store_lists", "Pages of lists read since the start.", static_cast<double>(store.lists));
    gauge("lacewing_store_watches", "Watch calls since the start.", static_cast<double>(store.watches));
    gauge("lacewing_store_writes", "Transactions since the start.", static_cast<double>(store.writes));
    gauge("lacewing_store_failures", "Calls to the store that failed.", static_cast<double>(store.failures));
    gauge("lacewing_store_malformed_items", "Items of lists and watches that could not be read.",
        static_cast<double>(store.malformedItems));
    constexpr double msPerSecond = 1000;
    gauge("lacewing_configuration_age_seconds",
        "Time since the store was asked for the configuration that is known; negative before the first answer.",
        static_cast<double>(m_configuration->ageMs()) / msPerSecond);
    gauge("lacewing_log_lines_written", "Log lines written.", static_cast<double>(kernel::logCounters().written));
    const base::EventDrops& dropped = kernel::logCounters().dropped;
    gauge("lacewing_log_lines_dropped", "Log lines dropped over a bound.",
        static_cast<double>(dropped.routine + dropped.significant));
    gauge("lacewing_log_notices_dropped", "Part of them from the level notice up, or of runs of lasting tasks.",
        static_cast<double>(dropped.significant));
    const base::EventDrops decisions = m_dispatcher->droppedDecisions();
    gauge("lacewing_decisions_dropped", "Decisions of the scheduler dropped over a bound before they were logged.",
        static_cast<double>(decisions.routine + decisions.significant));
    gauge("lacewing_decision_notices_dropped", "Part of them that are significant, or of runs of lasting tasks.",
        static_cast<double>(decisions.significant));
    gauge("lacewing_processor_seconds", "Processor time of this process.", processorSeconds());
    gauge("lacewing_resident_bytes", "Resident memory of this process.", residentBytes());
    const char* workHelp = "Memory that accepted jobs take on the scheduling daemon, as this daemon knows it, and its "
                           "limit.";
    const auto workGauge = [&](const char* kind, std::int64_t bytes) {
        registry.gauge("lacewing_work_bytes", workHelp, { { "kind", kind } }).value = static_cast<double>(bytes);
    };
    workGauge("used", usedWork(m_runtime.work));
    workGauge("limit", workLimit(m_runtime.work));
    gauge("lacewing_is_leader", "1 when this daemon schedules.", m_term->isLeader() ? 1 : 0);
    if (const scheduler::Scheduler* scheduler = m_dispatcher->scheduler()) {
        gauge("lacewing_open_jobs", "Jobs that have not ended.", static_cast<double>(scheduler->active.size()));
        gauge("lacewing_state_bytes", "Part of the memory of accepted jobs that their open occurrences take.",
            static_cast<double>(scheduler->stateBytes));
        gauge("lacewing_deferred_jobs", "Jobs with a due occurrence that waits for memory.", scheduler->deferredJobs);
        gauge("lacewing_starts", "Starts ordered in this term.", static_cast<double>(scheduler->starts));
        gauge(
            "lacewing_done_tasks", "Tasks that ended as done in this term.", static_cast<double>(scheduler->doneTasks));
        gauge("lacewing_failed_runs", "Runs that ended as failed in this term.",
            static_cast<double>(scheduler->failedRuns));
        gauge("lacewing_outdated_worker_answers",
            "Answers of former incarnations of workers in this term, without effect.",
            static_cast<double>(scheduler->outdatedAnswers));
        gauge("lacewing_evictions", "Runs that were stopped though their job goes on.",
            static_cast<double>(scheduler->evictions));
        gauge("lacewing_serving_moves", "Serving tasks that were moved, so that filling tasks get their workers.",
            static_cast<double>(scheduler->servingMoves));
        gauge("lacewing_rejected_starts", "Starts refused for want of room.",
            static_cast<double>(scheduler->rejectedStarts));
    }
    exportClientBudget(registry, *m_runtime.clientBudget, servers());
    http::Response response = http::textResponse(200, QByteArray::fromStdString(registry.prometheusText()));
    return response;
}

void registerAdminService(Runtime& runtime, std::function<void()> beginDrain)
{
    auto service = std::make_shared<AdminService>(runtime, std::move(beginDrain));
    kernel::Service entry;
    entry.name = serviceNames::admin;
    entry.dependsOn = { serviceNames::configuration, serviceNames::dispatcher, serviceNames::term,
        serviceNames::jobTable, serviceNames::gateway, serviceNames::policy };
    entry.start = [service] { return service->start(); };
    entry.stop = [service] { service->stop(); };
    kernel::registerService(runtime.kernel, std::move(entry)).assume_value();
}

} // namespace lacewing::daemon
