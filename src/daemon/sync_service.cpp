// Requests and replies are JSON objects, sent over nng.
#include "daemon/sync_service.h"

#include "base/json.h"
#include "daemon/configuration_service.h"
#include "daemon/dispatcher_service.h"
#include "daemon/job_changes.h"
#include "daemon/job_table.h"
#include "daemon/policy_service.h"
#include "daemon/sync_period.h"
#include "daemon/term_service.h"
#include "kernel/log.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>
#include <optional>

namespace lacewing::daemon {

namespace {

    constexpr int requestTimeoutMs = 600; // ms; below the election's takeoverMs
    constexpr scheduler::Millis resignationNoticeMs
        = 600; // ms that a resigned daemon stays to notify others; above two periods of requests
    constexpr int maxCancelsPerRequest = 32;
    constexpr int failuresUntilRedial = 2; // consecutive requests without a reply until the connection is replaced
    // ms between messages with the accepted work, which daemons know within a second
    constexpr scheduler::Millis workPeriodMs = 400;
    constexpr int shortestSyncMs = 50; // ms; lower bound of a period that the scheduling daemon asks for
    constexpr scheduler::Millis probeIntervalMs
        = 400; // ms between a follower's reads of the store while the leader cannot reach it
    constexpr scheduler::Millis pendingCountIntervalMs
        = 50; // ms between counts of waiting jobs; same period as for this daemon's own table

    peer::PeerLimits peerLimits()
    {
        peer::PeerLimits limits;
        limits.requestTimeoutMs = requestTimeoutMs;
        return limits;
    }

    // Used bytes, limit in bytes, bytes ended in a second, age in ms.
    QJsonArray encodeWorkLoad(const WorkLoad& load, scheduler::Millis now)
    {
        return { static_cast<qint64>(load.usedBytes), static_cast<qint64>(load.limitBytes),
            static_cast<qint64>(load.endedPerSecond), static_cast<qint64>(now - load.asOf) };
    }

    WorkLoad decodeWorkLoad(const QJsonArray& json, scheduler::Millis sentAt)
    {
        return { json[0].toInteger(), json[1].toInteger(), json[2].toInteger(), sentAt - json[3].toInteger() };
    }

    // Appends members that are already encoded to a JSON object.
    QByteArray encodeReply(const QJsonObject& reply, const QByteArray& members)
    {
        QByteArray text = QJsonDocument(reply).toJson(QJsonDocument::Compact);
        text.chop(1); // the closing brace
        return text + ',' + members + '}';
    }

} // namespace

SyncService::SyncService(Runtime& runtime)
    : m_runtime(runtime)
{
    QObject::connect(&m_timer, &QTimer::timeout, this, [this] { tick(); });
}

std::string SyncService::start()
{
    m_term = kernel::find<TermService>(m_runtime.kernel, serviceNames::term);
    m_dispatcher = kernel::find<DispatcherService>(m_runtime.kernel, serviceNames::dispatcher);
    m_policy = kernel::find<PolicyService>(m_runtime.kernel, serviceNames::policy);
    m_table = kernel::find<JobTable>(m_runtime.kernel, serviceNames::jobTable);
    auto server = peer::Server::listen(m_runtime.settings.peerAddress, peerLimits(),
        [this](const QByteArray& request, const peer::ReplyFunction& reply) {
            const QByteArray answer = handleRequest(request);
            m_runtime.peerTraffic.bytesRead += static_cast<std::uint64_t>(request.size());
            m_runtime.peerTraffic.bytesWritten += static_cast<std::uint64_t>(answer.size());
            reply(answer);
        });
    if (server.has_error())
        return server.error().detail;
    m_server = std::move(server.value());
    m_timer.start(m_runtime.settings.syncMs);
    return {};
}

void SyncService::stop()
{
    m_timer.stop();
    dropClient();
    m_server.reset();
}

bool SyncService::isIdle() const
{
    if (m_term->resignation().isEmpty() || nowMs() - m_term->resignedAt() >= resignationNoticeMs)
        return true;
    return std::all_of(m_sentReplies.begin(), m_sentReplies.end(), [this](const auto& entry) {
        return m_notifiedOfResignation.count(entry.first) > 0
            || m_term->resignedAt() - entry.second.sentAt >= resignationNoticeMs;
    });
}

// --- Follower ---

void SyncService::tick()
{
    const election::Election& state = m_term->state();
    m_policy->setWatchEnabled(m_term->isLeader());
    if (m_term->isLeader()) {
        dropClient();
        m_clientAddress.clear();
        return;
    }
    if (!state.record || state.record->leader == m_runtime.settings.daemon || m_isRequestInFlight)
        return;
    if (!m_client || m_clientAddress != state.record->peerAddress) {
        m_clientAddress = state.record->peerAddress;
        m_failures = 0;
        auto client = peer::Client::dial(m_clientAddress, peerLimits());
        if (client.has_error()) {
            kernel::logEvent(kernel::LogLevel::Error, "sync", "dialFailed",
                { { "address", m_clientAddress }, { "detail", client.error().detail } });
            dropClient();
            return;
        }
        m_client = std::move(client.value());
    }
    sendRequest();
}

void SyncService::dropClient()
{
    m_client.reset();
    m_isRequestInFlight = false; // its callback does not run any more
}

void SyncService::sendRequest()
{
    m_isRequestInFlight = true;
    const scheduler::Millis now = nowMs();
    // An answer to a call that had been waiting for long does not count while the reads of the term record fail.
    const election::Election& state = m_term->state();
    const scheduler::Millis answeredAt
        = state.isStoreFailing ? state.storeAnsweredAt : m_runtime.store->health().answeredAt;
    QJsonObject request { { "daemon", QString::fromStdString(m_runtime.settings.daemon) },
        { "lastReply", static_cast<qint64>(m_lastReplyNumber) }, { "feedTerm", static_cast<qint64>(m_feedTerm) },
        { "feedHave", static_cast<qint64>(m_feedPosition) }, { "feedRevision", static_cast<qint64>(m_feedRevision) },
        { "incarnation", static_cast<qint64>(m_runtime.incarnation) },
        { "processorShare", m_term->state().processorShare },
        { "storeAgeMs", static_cast<qint64>(answeredAt > 0 ? now - answeredAt : -1) },
        { "isStopping", m_runtime.isStopping }, { "policyRevision", static_cast<qint64>(m_policy->revision()) },
        { "membersHave", encodeVersion(m_memberCopy.version()) } };
    if (now - m_workLimitSentAt >= workPeriodMs) {
        m_workLimitSentAt = now;
        request["workLimit"] = static_cast<qint64>(m_runtime.work.ownLimitBytes);
    }
    QJsonArray cancels;
    std::int64_t lastCancel = 0;
    for (const StoredCancel& cancel : m_table->storedCancels) {
        if (cancels.size() >= maxCancelsPerRequest)
            break;
        cancels.append(QString::fromStdString(cancel.job));
        lastCancel = cancel.number;
    }
    if (!cancels.isEmpty())
        request["cancels"] = cancels;
    m_client->request(QJsonDocument(request).toJson(QJsonDocument::Compact),
        [this,
            sent = SentRequest { now, m_term->state().record->leader, m_term->state().record->incarnation,
                m_term->state().revision, lastCancel }](const base::Result<QByteArray, peer::PeerError>& result) {
            m_isRequestInFlight = false;
            if (result.has_value()) {
                m_failures = 0;
                applyReply(QJsonDocument::fromJson(result.value()).object(), sent);
                return;
            }
            if (m_hasContact)
                kernel::logEvent(kernel::LogLevel::Warning, "sync", "dependencyLost",
                    { { "dependency", "scheduling daemon" }, { "address", m_clientAddress },
                        { "detail", result.error().detail } });
            m_hasContact = false;
            m_timer.setInterval(m_runtime.settings.syncMs);
            if (++m_failures >= failuresUntilRedial)
                dropClient(); // allowed here: the client runs callbacks after it has removed the call
        });
}

void SyncService::applyReply(const QJsonObject& reply, const SentRequest& sent)
{
    election::Election& state = m_term->state();
    if (m_term->isLeader() || !election::isLedBy(state, sent.leader, sent.incarnation))
        return; // another daemon has been elected since the request was sent
    const bool isSameProcess
        = reply["incarnation"].toInteger() == sent.incarnation && base::textOf(reply["daemon"]) == sent.leader;
    if (!reply["isLeader"].toBool() || !isSameProcess) {
        m_hasContact = false;
        m_timer.setInterval(m_runtime.settings.syncMs);
        const auto resignation = election::decodeRecord(base::textOf(reply["resignation"]).c_str());
        if (isSameProcess && resignation)
            election::observe(state, resignation, reply["revision"].toInteger(), nowMs());
        else if (!(isSameProcess && reply["isTakingOver"].toBool()) && state.revision == sent.revision)
            election::observeLeaderGone(state, sent.leader, sent.incarnation, nowMs());
        return;
    }
    if (!m_memberCopy.apply(reply)) {
        kernel::logEvent(kernel::LogLevel::Error, "sync", "replyRefused",
            { { "address", m_clientAddress },
                { "detail", "reply refers to a list of members that this daemon does not have" } });
        return; // does not acknowledge the reply, so that the leader does not rely on this follower
    }
    const scheduler::Millis now = nowMs();
    election::LeaderState leader { reply["revision"].toInteger(), reply["lapsedMs"].toInteger() };
    if (reply["clockMs"].isDouble())
        leader.clockMs = reply["clockMs"].toInteger();
    leader.token = reply["token"].toInteger();
    leader.isVoter = reply["isVoter"].toBool();
    if (!election::observeContact(state, leader, m_memberCopy.names(), now))
        return; // not acknowledged: it says nothing about the present term
    m_lastReplyNumber = reply["number"].toInteger();
    if (!m_hasContact)
        kernel::logEvent(kernel::LogLevel::Notice, "sync", "dependencyRegained",
            { { "dependency", "scheduling daemon" }, { "address", m_clientAddress },
                { "token", reply["token"].toInteger() } });
    m_hasContact = true;
    // Absent in replies of earlier versions.
    const int periodMs = static_cast<int>(reply["syncMs"].toInteger(m_runtime.settings.syncMs));
    m_timer.setInterval(
        std::clamp(periodMs, std::min(shortestSyncMs, m_runtime.settings.syncMs), m_runtime.settings.syncMs));
    state.largestShare = reply["largestShare"].toDouble();
    if (base::textOf(reply["successor"]) == m_runtime.settings.daemon) {
        election::observeHandOver(state, sent.leader, sent.incarnation, now);
        return;
    }
    if (reply["hasLostStore"].toBool())
        probeStore();
    m_policy->memberRevisions() = m_memberCopy.revisions();
    for (const auto& [member, revision] : m_memberCopy.revisions())
        m_policy->observePeerRevision(revision);
    if (reply["hasCancels"].toBool())
        removeToldCancels(*m_table, sent.lastCancel);
    if (!reply["isLoaded"].toBool())
        return;
    m_feedTerm = reply["token"].toInteger();
    m_feedPosition = reply["next"].toInteger();
    m_feedRevision = std::max<std::int64_t>(m_feedRevision, reply["feedRevision"].toInteger());
    for (const scheduler::JobChange& change : decodeChanges(reply["changes"].toArray()))
        applyState(*m_table, change.id, change.account, change.state, now);
    const QJsonObject pending = reply["pending"].toObject();
    m_table->pending.clear();
    for (auto it = pending.begin(); it != pending.end(); ++it)
        m_table->pending[it.key().toStdString()] = it.value().toInt();
    if (!reply["hasMoreChanges"].toBool()) // otherwise states are looked up in the store
        m_table->syncedAt = sent.sentAt;
    m_table->pendingAsOf = sent.sentAt - reply["pendingAgeMs"].toInteger();
    constexpr qsizetype workFields = 4;
    if (const QJsonArray work = reply["work"].toArray(); work.size() == workFields) // not in each reply
        applyWorkLoad(m_runtime.work, decodeWorkLoad(work, sent.sentAt));
}

void SyncService::probeStore()
{
    if (nowMs() - m_probedAt < probeIntervalMs)
        return;
    m_probedAt = nowMs();
    // Only whether the store answers matters: requests to the leader report it.
    m_runtime.store->read(storeKeys::term, [this](const base::Result<platform::Item, platform::StoreError>& result) {
        const bool hasAnswered = result.has_value() || result.error().code == platform::StoreCode::Missing;
        election::observeStore(m_term->state(), hasAnswered, nowMs());
    });
}

// --- Scheduling daemon ---

QByteArray SyncService::handleRequest(const QByteArray& bytes)
{
    const QJsonObject request = QJsonDocument::fromJson(bytes).object();
    const std::string daemon = base::textOf(request["daemon"]);
    const scheduler::Millis now = nowMs();
    QJsonObject reply { { "daemon", QString::fromStdString(m_runtime.settings.daemon) },
        { "incarnation", static_cast<qint64>(m_runtime.incarnation) }, { "isLeader", m_term->isLeader() } };
    if (m_term->isTakingOver())
        reply["isTakingOver"] = true;
    if (!m_term->isLeader() && !m_term->resignation().isEmpty()) {
        reply["resignation"] = QString::fromUtf8(m_term->resignation());
        reply["revision"] = static_cast<qint64>(m_term->resignationRevision());
        m_notifiedOfResignation.insert(daemon);
    }
    if (!m_term->isLeader() || daemon.empty())
        return QJsonDocument(reply).toJson(QJsonDocument::Compact);
    election::Election& state = m_term->state();
    SentReply& last = m_sentReplies[daemon];
    const bool isLastReceived
        = last.token == state.token && last.number > 0 && request["lastReply"].toInteger() == last.number;
    const std::int64_t storeAge = request["storeAgeMs"].toInteger(-1);
    const bool isStopping = request["isStopping"].toBool();
    const auto applyMessage = isStopping ? election::applyPeerStopping : election::applyPeerMessage;
    applyMessage(state, daemon, isLastReceived ? last.sentAt : 0, storeAge < 0 ? 0 : now - storeAge, now);
    state.peers[daemon].incarnation = request["incarnation"].toInteger();
    state.peers[daemon].processorShare = request["processorShare"].toDouble();
    const scheduler::Millis workSentAt = last.token == state.token ? last.workSentAt : 0;
    last = { ++m_replyCount, now, state.token, workSentAt };
    reply["number"] = static_cast<qint64>(last.number);
    reply["revision"] = static_cast<qint64>(state.revision);
    reply["token"] = static_cast<qint64>(state.token);
    reply["isVoter"] = election::isVoter(state, daemon);
    reply["clockMs"] = static_cast<qint64>(election::termClock(state, now));
    reply["syncMs"]
        = syncPeriodMs(static_cast<int>(m_sentReplies.size()), state.processorShare, m_runtime.settings.syncMs);
    reply["lapsedMs"] = static_cast<qint64>(election::lapsedFor(state, now));
    reply["largestShare"] = election::largestKnownShare(state, now);
    updateMembers(daemon, request, now);
    const QByteArray members = m_memberList.encodeFor(decodeVersion(request["membersHave"]));
    reply["hasLostStore"] = !isStoreReachable(m_runtime);
    if (election::handOverTarget(state, m_runtime.store->health().failingSince, now) == daemon) {
        kernel::logEvent(kernel::LogLevel::Warning, "sync", "handOver",
            { { "successor", daemon }, { "token", state.token }, { "renewedMsAgo", now - state.renewSentAt },
                { "successorStoreAgeMs", storeAge } });
        reply["successor"] = QString::fromStdString(daemon);
        m_term->handOver();
        return encodeReply(reply, members);
    }
    reply["isLoaded"] = m_dispatcher->scheduler() != nullptr;
    reply["hasCancels"] = m_dispatcher->scheduler() != nullptr;
    for (const QJsonValue cancel : request["cancels"].toArray()) {
        if (m_dispatcher->scheduler())
            m_dispatcher->applyStoredCancel(base::textOf(cancel), daemon);
    }
    if (!m_dispatcher->scheduler())
        return encodeReply(reply, members);
    const QByteArray changes = encodeNewChanges(reply, request);
    updatePending(now);
    if (now - last.workSentAt >= workPeriodMs) {
        last.workSentAt = now;
        reply["work"] = encodeWorkLoad(m_runtime.work.load, now);
    }
    reply["pendingAgeMs"] = static_cast<qint64>(now - std::min(m_pendingCountedAt, m_dispatcher->jobsKnownUntil()));
    return encodeReply(reply, members + ",\"changes\":" + changes + ',' + m_pendingJson);
}

void SyncService::updateMembers(const std::string& daemon, const QJsonObject& request, scheduler::Millis now)
{
    const election::Election& state = m_term->state();
    MemberRevisions& revisions = m_policy->memberRevisions();
    revisions[daemon] = static_cast<base::Revision>(request["policyRevision"].toInteger());
    revisions[m_runtime.settings.daemon] = m_policy->revision();
    const std::set<std::string> known = election::knownMembers(state, now);
    std::erase_if(revisions, [&known](const auto& entry) { return known.count(entry.first) == 0; });
    if (const std::int64_t limit = request["workLimit"].toInteger();
        limit > 0) // not in each request, absent in those of earlier versions
        m_runtime.work.memberLimits[daemon] = limit;
    std::erase_if(m_runtime.work.memberLimits, [&known](const auto& entry) { return known.count(entry.first) == 0; });
    for (const std::string& member : known)
        revisions.try_emplace(member, 0); // not reported yet
    m_memberList.update(m_runtime.incarnation, state.token, revisions);
}

void SyncService::updatePending(scheduler::Millis now)
{
    if (m_pendingTerm == m_term->token() && now - m_pendingCountedAt < pendingCountIntervalMs)
        return;
    m_pendingTerm = m_term->token();
    m_pendingCountedAt = now;
    QJsonObject pending;
    for (const auto& [queue, jobs] : scheduler::pendingJobs(*m_dispatcher->scheduler()))
        pending[QString::fromStdString(queue)] = jobs;
    const QByteArray text = QJsonDocument(QJsonObject { { "pending", pending } }).toJson(QJsonDocument::Compact);
    m_pendingJson = text.mid(1, text.size() - 2);
}

int SyncService::followerPeriodMs() const
{
    return syncPeriodMs(
        static_cast<int>(m_sentReplies.size()), m_term->state().processorShare, m_runtime.settings.syncMs);
}

QByteArray SyncService::encodeNewChanges(QJsonObject& reply, const QJsonObject& request) const
{
    std::optional<std::int64_t> position;
    if (request["feedTerm"].toInteger() == m_term->token())
        position = request["feedHave"].toInteger();
    const std::size_t limit = changesPerReply(m_runtime.settings.linkMbps, m_sentReplies.size(), followerPeriodMs());
    const FeedPart part = m_dispatcher->feed().part(position, request["feedRevision"].toInteger(), limit);
    reply["next"] = static_cast<qint64>(part.next);
    reply["feedRevision"] = static_cast<qint64>(part.knownRevision);
    if (!part.isLast)
        reply["hasMoreChanges"] = true;
    return encodeChanges(part.changes);
}

void registerSyncService(Runtime& runtime)
{
    auto service = std::make_shared<SyncService>(runtime);
    kernel::Service entry;
    entry.name = serviceNames::sync;
    entry.dependsOn = { serviceNames::term, serviceNames::dispatcher, serviceNames::jobTable, serviceNames::policy };
    entry.start = [service] { return service->start(); };
    entry.isIdle = [service] { return service->isIdle(); };
    entry.stop = [service] { service->stop(); };
    kernel::registerService(runtime.kernel, std::move(entry)).assume_value();
}

} // namespace lacewing::daemon
