// Effects of the batch module on the store and the workers, and the HTTP interface for jobs.
#include "daemon/dispatcher_service.h"

#include "base/hash.h"
#include "daemon/configuration_service.h"
#include "daemon/job_messages.h"
#include "daemon/job_search.h"
#include "daemon/membership_service.h"
#include "daemon/store_service.h"
#include "http/problem.h"
#include "kernel/log.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>
#include <set>

namespace lacewing::daemon {

namespace {

    constexpr int tickIntervalMs = 50;

    QString toQString(std::string_view text)
    {
        return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
    }

    http::Response json(int status, const QJsonObject& object)
    {
        return http::jsonResponse(status, QJsonDocument(object).toJson(QJsonDocument::Compact));
    }

    batch::DispatcherLimits toDispatcherLimits(const Settings& settings)
    {
        batch::DispatcherLimits limits;
        limits.commitInterval = base::milliseconds(settings.batch.commitIntervalMs);
        limits.taskLease = base::milliseconds(settings.batch.taskLeaseMs);
        limits.renewInterval = limits.taskLease / 4;
        limits.proofLimit = limits.taskLease / 2;
        limits.proofInterval = limits.taskLease / 6;
        return limits;
    }

    batch::TeamPolicy toTeamPolicy(const config::TeamPolicy& settings)
    {
        batch::TeamPolicy team;
        team.quotaCpuMilli = std::max<std::int64_t>(settings.cpuMilli, 0); // -1 means no bound there, 0 means it here
        team.share = settings.share;
        return team;
    }

    batch::BatchPolicy toBatchPolicy(const config::Policy& policy, const std::set<base::DataCentreId>& known)
    {
        batch::BatchPolicy batchPolicy;
        // A data centre that the configuration does not list is in service.
        for (const base::DataCentreId& dataCentre : known)
            batchPolicy.dataCentreIn[dataCentre] = !config::isOut(policy, dataCentre);
        for (const auto& [team, settings] : policy.teams)
            batchPolicy.teams[team] = toTeamPolicy(settings);
        return batchPolicy;
    }

    int httpStatusOf(batch::SubmitCode code)
    {
        switch (code) {
        case batch::SubmitCode::Accepted:
            return 202;
        case batch::SubmitCode::ContentDiffers:
            return 409;
        case batch::SubmitCode::Invalid:
        case batch::SubmitCode::UnknownTeam:
            return 422;
        case batch::SubmitCode::UnknownJob:
            return 404;
        case batch::SubmitCode::NotOwner:
        case batch::SubmitCode::StoreDown:
        case batch::SubmitCode::Busy:
        case batch::SubmitCode::Full:
        case batch::SubmitCode::Moving:
        case batch::SubmitCode::Lost:
            break;
        }
        return 503;
    }

    http::Response refusal(const batch::ReplySubmit& reply)
    {
        http::ProblemBuilder problem(
            httpStatusOf(reply.code), toQString(base::nameOf(batch::submitCodeNames, reply.code)));
        problem.detail("the call for job " + toQString(reply.job.value) + " was not accepted");
        if (reply.executed == batch::Executed::No)
            problem.executedNo();
        return problem.response();
    }

} // namespace

DispatcherService::DispatcherService(Runtime& runtime)
    : m_runtime(runtime)
    , m_dispatcher(runtime.settings.daemon, runtime.settings.dataCentre, toDispatcherLimits(runtime.settings),
          runtime.rng.engine())
    , m_client(std::make_unique<http::Client>())
    , m_worker(std::make_unique<PlatformWorker>(*m_client))
{
    QObject::connect(&m_tickTimer, &QTimer::timeout, &m_tickTimer, [this] { tick(); });
}

DispatcherService::~DispatcherService() = default;

void DispatcherService::start()
{
    m_store = kernel::find<StoreService>(m_runtime.kernel, serviceNames::store);
    m_membership = kernel::find<MembershipService>(m_runtime.kernel, serviceNames::membership);
    m_configuration = kernel::find<ConfigurationService>(m_runtime.kernel, serviceNames::configuration);
    m_search = std::make_unique<JobSearch>(*m_client, *m_membership);
    m_membership->onInstances([this](const std::vector<InstanceEntry>&) { onInstances(); });
    m_membership->onMemberEvent([this](const cluster::MemberEvent& event) { onMemberEvent(event); });
    m_configuration->onChanged([this] { onPolicy(); });
    m_tickTimer.start(tickIntervalMs);
}

void DispatcherService::stop()
{
    m_tickTimer.stop();
    m_search.reset();
    m_worker.reset();
    m_client.reset();
}

void DispatcherService::beginStop()
{
    m_isStopping = true;
    answerPolls(true);
    batch::Effects effects;
    batch::beginStop(m_dispatcher, base::monotonicNow(), effects);
    run(std::move(effects));
}

bool DispatcherService::isIdle() const { return m_waiting.empty() && m_polls.empty() && batch::isIdle(m_dispatcher); }

// --- Inputs ---

void DispatcherService::tick()
{
    const base::TimePoint now = base::monotonicNow();
    batch::Effects effects;
    const cluster::Freshness& freshness = m_configuration->freshness();
    const cluster::Evidence evidence = cluster::evidence(freshness, now);
    const bool isFresh = evidence.kind != cluster::EvidenceKind::None && m_configuration->isReady();
    batch::onFreshness(m_dispatcher, isFresh, evidence.validUntil - freshness.limits.maxAge, now, effects);
    batch::onOutageAgreed(m_dispatcher, evidence.kind == cluster::EvidenceKind::Agreement, now);
    batch::onCommitInterval(m_dispatcher, m_store->commitInterval(now));
    reportSilentOwners(now, effects);
    batch::tick(m_dispatcher, now, effects);
    run(std::move(effects));
    answerPolls(false);
}

// A suspected member has been silent for 3 heartbeats; its shards are taken over after ownerSilenceMs.
void DispatcherService::reportSilentOwners(base::TimePoint now, batch::Effects& effects)
{
    const base::Duration wait = base::milliseconds(m_runtime.settings.batch.ownerSilenceMs) - base::seconds(3);
    for (const auto& [daemon, since] : m_suspectedAt) {
        if (now - since >= wait)
            batch::onOwnerSilent(m_dispatcher, daemon, now, effects);
    }
}

void DispatcherService::onMemberEvent(const cluster::MemberEvent& event)
{
    const base::TimePoint now = base::monotonicNow();
    batch::Effects effects;
    switch (event.change) {
    case cluster::MemberChange::Suspected:
    case cluster::MemberChange::Removed:
        m_suspectedAt.emplace(event.daemon, now);
        break;
    case cluster::MemberChange::Stopped:
        m_suspectedAt.erase(event.daemon);
        batch::onOwnerSilent(m_dispatcher, event.daemon, now, effects);
        break;
    case cluster::MemberChange::Joined:
    case cluster::MemberChange::Restarted:
    case cluster::MemberChange::Recovered:
        m_suspectedAt.erase(event.daemon);
        batch::onOwnerAlive(m_dispatcher, event.daemon);
        break;
    case cluster::MemberChange::Leaving:
        break;
    }
    run(std::move(effects));
    onInstances();
}

// Shards and workers from the instance list. One shard is one rack.
void DispatcherService::onInstances()
{
    const base::TimePoint now = base::monotonicNow();
    std::vector<std::string> usable;
    for (const cluster::Member& member : m_membership->view()) {
        if (cluster::isUsable(member))
            usable.push_back(member.daemon.value);
    }
    std::map<batch::ShardKey, batch::ShardSummary> shards;
    std::vector<batch::WorkerInfo> workers;
    for (const InstanceEntry& instance : m_membership->instances()) {
        if (instance.kind != InstanceKind::Worker)
            continue;
        const batch::ShardKey key = "shards/" + instance.dataCentre.value + "/" + instance.rack;
        batch::ShardSummary& summary = shards[key];
        summary.key = key;
        summary.dataCentre = instance.dataCentre;
        summary.racks = { { instance.rack } };
        m_dataCentres.insert(instance.dataCentre);
        const base::WorkerId id { instance.id.value };
        m_addresses[id] = { instance.address, instance.port };
        batch::WorkerInfo info;
        info.id = id;
        info.dataCentre = instance.dataCentre;
        info.rack = { instance.rack };
        info.isLeaving = instance.state == InstanceState::Leaving;
        workers.push_back(std::move(info));
    }
    std::vector<batch::ShardSummary> directory;
    for (auto& [key, summary] : shards) {
        // A shard without a known owner is expected at its preferred daemon, so that a group that starts together
        // shares the shards out instead of racing for each.
        if (summary.dataCentre == m_runtime.settings.dataCentre && !usable.empty()) {
            const std::string& preferred = usable[base::rendezvousOwner(key, usable)];
            if (preferred != m_runtime.settings.daemon.value)
                summary.owner = { preferred };
        }
        directory.push_back(std::move(summary));
    }
    batch::Effects effects;
    batch::onWorkerList(m_dispatcher, workers, now, effects);
    if (m_configuration->isReady())
        onPolicy();
    batch::onDirectory(m_dispatcher, directory, now, effects);
    run(std::move(effects));
}

void DispatcherService::onPolicy()
{
    const auto policy = m_configuration->holder().policy();
    const batch::BatchPolicy batchPolicy = toBatchPolicy(*policy, m_dataCentres);
    batch::Effects effects;
    batch::onPolicy(m_dispatcher, batchPolicy, base::monotonicNow(), effects);
    run(std::move(effects));
}

void DispatcherService::onTransferOffer(const codec::TransferOffer& message)
{
    const auto offer = toOffer(message);
    if (!offer)
        return;
    batch::Effects effects;
    batch::onTransferOffered(m_dispatcher, *offer, base::monotonicNow(), effects);
    run(std::move(effects));
}

void DispatcherService::onTransferAccept(const codec::TransferAccept& message)
{
    batch::Effects effects;
    batch::onTransferAccepted(
        m_dispatcher, { message.source, message.target, message.job, message.number }, base::monotonicNow(), effects);
    run(std::move(effects));
}

// --- Effects ---

void DispatcherService::run(batch::Effects effects)
{
    if (!effects.empty())
        m_queue.push_back(std::move(effects));
    if (m_isRunning)
        return;
    m_isRunning = true;
    while (!m_queue.empty()) {
        const batch::Effects current = std::move(m_queue.front());
        m_queue.pop_front();
        for (const batch::Effect& effect : current)
            std::visit([this](const auto& typed) { carryOut(typed); }, effect);
    }
    m_isRunning = false;
}

void DispatcherService::carryOut(const batch::WriteShard& effect)
{
    const base::TimePoint issuedAt = base::monotonicNow();
    m_store->put(effect.key, effect.value, effect.expectedVersion, effect.operation,
        [this, effect, issuedAt](const store::Result<store::Version>& result) {
            const base::TimePoint now = base::monotonicNow();
            batch::Effects effects;
            if (result.has_value()) {
                batch::onShardWritten(
                    m_dispatcher, effect.key, effect.operation, result.value(), issuedAt, now, effects);
            } else if (result.error().code == store::Error::Code::Conflict) {
                batch::onShardWriteConflict(m_dispatcher, effect.key, effect.operation, result.error().version,
                    result.error().operation, now, effects);
            } else if (result.error().code == store::Error::Code::Unavailable) {
                batch::onShardWriteUnknown(m_dispatcher, effect.key, effect.operation, now, effects);
            } else {
                batch::onShardWriteNotSent(m_dispatcher, effect.key, effect.operation, now, effects);
            }
            run(std::move(effects));
        });
}

void DispatcherService::carryOut(const batch::ReadShard& effect)
{
    const base::TimePoint issuedAt = base::monotonicNow();
    m_store->get(effect.key, [this, effect, issuedAt](const store::Result<store::Entry>& result) {
        const base::TimePoint now = base::monotonicNow();
        batch::Effects effects;
        if (result.has_value()) {
            const store::Entry& entry = result.value();
            batch::onShardRead(
                m_dispatcher, effect.key, entry.version, entry.operation, entry.value, issuedAt, now, effects);
        } else if (result.error().code == store::Error::Code::NotFound) {
            batch::onShardRead(m_dispatcher, effect.key, 0, {}, {}, issuedAt, now, effects);
        } else {
            batch::onShardReadFailed(m_dispatcher, effect.key, now, effects);
        }
        run(std::move(effects));
    });
}

const WorkerAddress* DispatcherService::addressOf(const base::WorkerId& worker) const
{
    const auto address = m_addresses.find(worker);
    return address == m_addresses.end() ? nullptr : &address->second;
}

void DispatcherService::carryOut(const batch::FenceWorker& effect)
{
    const WorkerAddress* address = addressOf(effect.worker);
    if (address == nullptr) {
        reportUnreachable(effect.key, effect.worker, effect.request);
        return;
    }
    m_worker->fence(*address, effect.epoch, m_runtime.settings.daemon.value,
        [this, effect](const base::Result<WorkerContent, WorkerError>& result) {
            const base::TimePoint now = base::monotonicNow();
            batch::Effects effects;
            if (result.has_value()) {
                const batch::WorkerState state = toWorkerState(result.value());
                batch::onFenceReply(m_dispatcher, effect.key, effect.worker, effect.request, true, state, now, effects);
            } else if (result.error().code == WorkerErrorCode::StaleEpoch) {
                batch::WorkerState state;
                state.epoch = result.error().epoch;
                batch::onFenceReply(
                    m_dispatcher, effect.key, effect.worker, effect.request, false, state, now, effects);
            } else {
                batch::onWorkerUnreachable(m_dispatcher, effect.key, effect.worker, effect.request, now, effects);
            }
            run(std::move(effects));
        });
}

void DispatcherService::reportUnreachable(
    const batch::ShardKey& key, const base::WorkerId& worker, batch::RequestId request)
{
    QTimer::singleShot(0, &m_tickTimer, [this, key, worker, request] {
        batch::Effects effects;
        batch::onWorkerUnreachable(m_dispatcher, key, worker, request, base::monotonicNow(), effects);
        run(std::move(effects));
    });
}

void DispatcherService::carryOut(const batch::StartTask& effect)
{
    const auto report = [this, effect](batch::StartResult result) {
        batch::Effects effects;
        batch::onStartReply(m_dispatcher, effect.key, effect.worker, effect.request, effect.task, effect.attempt,
            result, base::monotonicNow(), effects);
        run(std::move(effects));
    };
    const WorkerAddress* address = addressOf(effect.worker);
    if (address == nullptr || base::monotonicNow() > effect.notAfter) {
        QTimer::singleShot(0, &m_tickTimer, [report] { report(batch::StartResult::NotSent); });
        return;
    }
    WorkerStart start;
    start.task = effect.task.value;
    start.attempt = effect.attempt;
    start.epoch = effect.epoch;
    start.resources = toWorkerResources(effect.resources);
    start.durationMs = effect.durationMs;
    start.checkpointMs = effect.checkpointMs;
    start.leaseMs = effect.leaseMs;
    kernel::logEvent(kernel::LogLevel::Info, "dispatcher", "taskStart",
        { { "job", toQString(effect.task.value) }, { "attempt", static_cast<int>(effect.attempt) },
            { "worker", toQString(effect.worker.value) }, { "shard", toQString(effect.key) },
            { "epoch", static_cast<qint64>(effect.epoch) } });
    m_worker->start(*address, start, [report](const base::Result<WorkerStarted, WorkerError>& result) {
        if (result.has_error()) {
            report(toStartResult(result.error()));
            return;
        }
        report(result.value().already ? batch::StartResult::Already : batch::StartResult::Accepted);
    });
}

void DispatcherService::carryOut(const batch::RenewWorker& effect)
{
    const auto report = [this, effect](bool isRenewed) {
        batch::Effects effects;
        batch::onRenewReply(
            m_dispatcher, effect.key, effect.worker, effect.request, isRenewed, base::monotonicNow(), effects);
        run(std::move(effects));
    };
    const WorkerAddress* address = addressOf(effect.worker);
    if (address == nullptr || base::monotonicNow() > effect.notAfter) {
        QTimer::singleShot(0, &m_tickTimer, [report] { report(false); });
        return;
    }
    m_worker->renew(*address, effect.epoch, effect.leaseMs,
        [report](const base::Result<WorkerDone, WorkerError>& result) { report(result.has_value()); });
}

template <typename Effect> WorkerCallback<WorkerDone> DispatcherService::taskCallback(const Effect& effect)
{
    return [this, effect](const base::Result<WorkerDone, WorkerError>& result) {
        batch::Effects effects;
        batch::onTaskReply(m_dispatcher, effect.key, effect.worker, effect.request, effect.task, effect.attempt,
            result.has_value(), base::monotonicNow(), effects);
        run(std::move(effects));
    };
}

template <typename Effect> const WorkerAddress* DispatcherService::addressOrFail(const Effect& effect)
{
    const WorkerAddress* address = addressOf(effect.worker);
    if (address == nullptr)
        QTimer::singleShot(0, &m_tickTimer, [callback = taskCallback(effect)] {
            callback(WorkerError { WorkerErrorCode::NotSent, "no address", 0 });
        });
    return address;
}

void DispatcherService::carryOut(const batch::CheckpointTask& effect)
{
    if (const WorkerAddress* address = addressOrFail(effect))
        m_worker->checkpoint(*address, effect.task.value, effect.attempt, effect.epoch, taskCallback(effect));
}

void DispatcherService::carryOut(const batch::ThrottleTask& effect)
{
    if (const WorkerAddress* address = addressOrFail(effect))
        m_worker->throttle(
            *address, effect.task.value, effect.attempt, effect.epoch, effect.cpuMilli, taskCallback(effect));
}

void DispatcherService::carryOut(const batch::StopTask& effect)
{
    if (const WorkerAddress* address = addressOrFail(effect))
        m_worker->stop(*address, effect.task.value, effect.attempt, effect.epoch, taskCallback(effect));
}

void DispatcherService::carryOut(const batch::AcknowledgeTask& effect)
{
    // No reply is needed: the dispatcher repeats the acknowledgement while the worker lists the attempt.
    if (const WorkerAddress* address = addressOf(effect.worker))
        m_worker->acknowledge(*address, effect.task.value, effect.attempt, effect.epoch,
            [](const base::Result<WorkerDone, WorkerError>&) {});
}

void DispatcherService::carryOut(const batch::PollWorker& effect)
{
    const WorkerAddress* address = addressOf(effect.worker);
    if (address == nullptr) {
        reportUnreachable(effect.key, effect.worker, effect.request);
        return;
    }
    const WorkerAddress target = *address;
    m_worker->read(target, [this, effect, target](const base::Result<WorkerContent, WorkerError>& result) {
        if (result.has_error()) {
            reportUnreachable(effect.key, effect.worker, effect.request);
            return;
        }
        const WorkerContent& content = result.value();
        batch::Effects effects;
        const batch::WorkerState state = toWorkerState(content);
        batch::onWorkerState(
            m_dispatcher, effect.key, effect.worker, effect.request, state, base::monotonicNow(), effects);
        run(std::move(effects));
        if (content.tasks.empty())
            return;
        m_worker->reports(
            target, [this, effect, content](const base::Result<std::vector<WorkerUsage>, WorkerError>& usage) {
                if (usage.has_error())
                    return;
                batch::Effects more;
                const batch::WorkerReport report = toWorkerReport(content, usage.value());
                batch::onReports(m_dispatcher, effect.key, report, base::monotonicNow(), more);
                run(std::move(more));
            });
    });
}

void DispatcherService::carryOut(const batch::OfferTransfer& effect)
{
    const auto summary = m_dispatcher.directory.find(effect.target);
    const bool isOwn = batch::ownedShard(m_dispatcher, effect.target) != nullptr;
    if (isOwn) {
        batch::Effects effects;
        batch::onTransferOffered(m_dispatcher, effect, base::monotonicNow(), effects);
        run(std::move(effects));
        return;
    }
    // Offers are repeated by the dispatcher until they are accepted, so a lost message needs no care here.
    const std::optional<base::DataCentreId> dataCentre
        = summary == m_dispatcher.directory.end() ? std::nullopt : std::optional(summary->second.dataCentre);
    for (const base::DaemonId& daemon : m_membership->daemonsOf(dataCentre))
        m_membership->request(daemon, toMessage(effect), [](const PeerAnswer&) {});
}

void DispatcherService::carryOut(const batch::AcceptTransfer& effect)
{
    if (batch::ownedShard(m_dispatcher, effect.source) != nullptr) {
        batch::Effects effects;
        batch::onTransferAccepted(m_dispatcher, effect, base::monotonicNow(), effects);
        run(std::move(effects));
        return;
    }
    const auto summary = m_dispatcher.directory.find(effect.source);
    const std::optional<base::DataCentreId> dataCentre
        = summary == m_dispatcher.directory.end() ? std::nullopt : std::optional(summary->second.dataCentre);
    for (const base::DaemonId& daemon : m_membership->daemonsOf(dataCentre))
        m_membership->request(daemon, codec::TransferAccept { effect.source, effect.target, effect.job, effect.number },
            [](const PeerAnswer&) {});
}

// --- HTTP: submit and cancel ---

void DispatcherService::handleSubmit(const http::Request& request, const http::Responder& responder)
{
    if (m_isStopping) {
        responder.respond(
            http::ProblemBuilder(503, "draining").detail("this daemon is stopping").executedNo().response());
        return;
    }
    auto parsed = readJobSpec(request.body);
    if (const auto* error = std::get_if<FieldError>(&parsed)) {
        responder.respond(http::ProblemBuilder(400, "invalidField")
                              .field(error->field)
                              .detail("accepted: " + error->detail)
                              .executedNo()
                              .response());
        return;
    }
    batch::JobSpec spec = std::get<batch::JobSpec>(std::move(parsed));
    const std::string prefix = m_runtime.settings.daemon.value + "-" + std::to_string(m_runtime.incarnation);
    const batch::SubmitToken token = m_nextToken++;
    if (spec.id.empty())
        spec.id = { prefix + "-" + std::to_string(token) };
    Waiting waiting { request, responder, false, spec.id };
    if (waiting.request.body.size() > 0 && !QJsonDocument::fromJson(request.body).object().contains("id")) {
        // A forwarded submission carries the id that was chosen here, so that a repeat is recognised.
        QJsonObject body = QJsonDocument::fromJson(request.body).object();
        body["id"] = toQString(spec.id.value);
        waiting.request.body = QJsonDocument(body).toJson(QJsonDocument::Compact);
    }
    m_waiting.emplace(token, std::move(waiting));
    batch::Effects effects;
    batch::submitJob(m_dispatcher, token, spec, {}, base::monotonicNow(), effects);
    run(std::move(effects));
}

void DispatcherService::handleCancel(
    const http::Request& request, const std::string& job, const http::Responder& responder)
{
    const base::JobId id { job };
    batch::ShardKey key;
    for (const batch::ShardKey& owned : batch::ownedShards(m_dispatcher)) {
        const batch::Shard* shard = batch::ownedShard(m_dispatcher, owned);
        const auto entry = shard->jobs.find(id);
        if (entry != shard->jobs.end() && entry->second.state != batch::JobState::Moved)
            key = owned;
    }
    if (key.empty()) {
        m_search->pass(request, id, responder, batch::ownedShards(m_dispatcher).size(), m_dispatcher.directory.size());
        return;
    }
    const batch::SubmitToken token = m_nextToken++;
    m_waiting.emplace(token, Waiting { request, responder, true, id });
    batch::Effects effects;
    batch::cancelJob(m_dispatcher, token, id, key, base::monotonicNow(), effects);
    run(std::move(effects));
}

void DispatcherService::carryOut(const batch::ReplySubmit& effect)
{
    const auto entry = m_waiting.find(effect.token);
    if (entry == m_waiting.end())
        return;
    const Waiting waiting = std::move(entry->second);
    m_waiting.erase(entry);
    if (effect.code == batch::SubmitCode::Accepted) {
        const int status = waiting.isCancel ? 200 : 202;
        waiting.responder.respond(
            json(status, { { "id", toQString(effect.job.value) }, { "shard", toQString(effect.shard) } }));
        return;
    }
    if (effect.code == batch::SubmitCode::NotOwner && !waiting.isCancel) {
        m_search->passToOwner(waiting.request, waiting.responder, effect.owner, dataCentreOf(effect.shard));
        return;
    }
    waiting.responder.respond(refusal(effect));
}

base::DataCentreId DispatcherService::dataCentreOf(const batch::ShardKey& key) const
{
    const auto summary = m_dispatcher.directory.find(key);
    return summary == m_dispatcher.directory.end() ? base::DataCentreId() : summary->second.dataCentre;
}

// --- HTTP: views ---

void DispatcherService::handleStatus(
    const http::Request& request, const std::string& job, const http::Responder& responder)
{
    const base::JobId id { job };
    for (const batch::ShardKey& key : batch::ownedShards(m_dispatcher)) {
        const batch::Shard* shard = batch::ownedShard(m_dispatcher, key);
        const auto entry = shard->jobs.find(id);
        if (entry != shard->jobs.end() && entry->second.state != batch::JobState::Moved) {
            responder.respond(json(200, toJson(entry->second, key)));
            return;
        }
    }
    m_search->pass(request, id, responder, batch::ownedShards(m_dispatcher).size(), m_dispatcher.directory.size());
}

void DispatcherService::handleList(const http::Request& request, const http::Responder& responder)
{
    const std::string team = http::queryValue(request, "team").toStdString();
    const std::string state = http::queryValue(request, "state").toStdString();
    QJsonArray jobs;
    for (const batch::ShardKey& key : batch::ownedShards(m_dispatcher)) {
        for (const auto& [id, job] : batch::ownedShard(m_dispatcher, key)->jobs) {
            const bool isTeam = team.empty() || job.spec.team.value == team;
            const bool isState = state.empty() || base::nameOf(batch::jobStateNames, job.state) == state;
            if (isTeam && isState && job.state != batch::JobState::Moved)
                jobs.append(toJson(job, key));
        }
    }
    m_search->list(request, responder, jobs);
}

void DispatcherService::handleEvents(
    const http::Request& request, const std::string& job, const http::Responder& responder)
{
    const base::JobId id { job };
    bool isCursorValid = true;
    bool isWaitValid = true;
    const QString cursorText = http::queryValue(request, "cursor");
    const QString waitText = http::queryValue(request, "wait");
    const qulonglong cursor = cursorText.isEmpty() ? 0 : cursorText.toULongLong(&isCursorValid);
    const int waitMs = waitText.isEmpty() ? 0 : waitText.toInt(&isWaitValid);
    if (!isCursorValid || !isWaitValid || waitMs < 0) {
        responder.respond(http::ProblemBuilder(400, "invalidQuery")
                              .field(isCursorValid ? "wait" : "cursor")
                              .detail("whole number from 0")
                              .executedNo()
                              .response());
        return;
    }
    const batch::Job* known = batch::findJob(m_dispatcher, id);
    if (known == nullptr || known->state == batch::JobState::Moved) {
        m_search->pass(request, id, responder, batch::ownedShards(m_dispatcher).size(), m_dispatcher.directory.size());
        return;
    }
    const int boundedMs = std::min(waitMs, m_runtime.settings.longestPollMs);
    m_polls.push_back({ id, cursor, base::monotonicNow() + base::milliseconds(boundedMs), responder });
    answerPolls(m_isStopping);
}

// A poll ends when there is an event, when the job has ended, when its time is over, or when this daemon stops. Each
// answer is complete, so a stop interrupts nothing: the caller polls again elsewhere with the same cursor.
void DispatcherService::answerPolls(bool isFinal)
{
    const base::TimePoint now = base::monotonicNow();
    std::erase_if(m_polls, [this, isFinal, now](const Poll& poll) {
        if (!poll.responder.isConnected())
            return true;
        for (const batch::ShardKey& key : batch::ownedShards(m_dispatcher)) {
            const batch::Shard* shard = batch::ownedShard(m_dispatcher, key);
            const auto page = batch::eventsAfter(*shard, poll.job, poll.cursor);
            if (page.has_error())
                continue;
            const bool isEnded = batch::isTerminal(shard->jobs.at(poll.job).state);
            if (page.value().events.empty() && !isEnded && now < poll.until && !isFinal)
                return false;
            QJsonObject body = toJson(page.value(), isFinal);
            body["state"] = toQString(base::nameOf(batch::jobStateNames, shard->jobs.at(poll.job).state));
            poll.responder.respond(json(200, body));
            return true;
        }
        // The job moved to another daemon; the caller polls again and is passed on.
        batch::EventPage page;
        page.nextCursor = poll.cursor;
        poll.responder.respond(json(200, toJson(page, true)));
        return true;
    });
}

// --- State ---

std::vector<std::string> DispatcherService::ownedShards() const { return batch::ownedShards(m_dispatcher); }

QJsonObject DispatcherService::statusJson() const
{
    QJsonArray shards;
    for (const batch::ShardKey& key : batch::ownedShards(m_dispatcher)) {
        const batch::Shard* shard = batch::ownedShard(m_dispatcher, key);
        QJsonObject states;
        for (const auto& [id, job] : shard->jobs) {
            const QString name = toQString(base::nameOf(batch::jobStateNames, job.state));
            states[name] = states[name].toInt() + 1;
        }
        shards.append(QJsonObject {
            { "key", toQString(key) }, { "epoch", static_cast<qint64>(shard->epoch) }, { "jobs", states } });
    }
    const batch::DispatcherCounters& counters = m_dispatcher.counters;
    return { { "shards", shards }, { "knownShards", static_cast<int>(m_dispatcher.directory.size()) },
        { "starts", static_cast<qint64>(counters.starts) }, { "finished", static_cast<qint64>(counters.finished) },
        { "evictions", static_cast<qint64>(counters.evictions) },
        { "failures", static_cast<qint64>(counters.failures) },
        { "takeovers", static_cast<qint64>(counters.takeovers) },
        { "lostShards", static_cast<qint64>(counters.lostShards) }, { "storeDown", m_dispatcher.isStoreDown },
        { "fresh", m_dispatcher.isFresh } };
}

void registerDispatcherService(Runtime& runtime)
{
    auto service = std::make_shared<std::unique_ptr<DispatcherService>>();
    kernel::Service entry;
    entry.name = serviceNames::dispatcher;
    entry.dependsOn = { serviceNames::store, serviceNames::membership, serviceNames::configuration };
    entry.start = [&runtime, service] {
        *service = std::make_unique<DispatcherService>(runtime);
        kernel::publish(runtime.kernel, serviceNames::dispatcher, service->get());
        (*service)->start();
        return std::string();
    };
    entry.beginStop = [service] { (*service)->beginStop(); };
    entry.isIdle = [service] { return (*service)->isIdle(); };
    entry.stop = [service] { (*service)->stop(); };
    static_cast<void>(kernel::registerService(runtime.kernel, std::move(entry)));
}

} // namespace lacewing::daemon
