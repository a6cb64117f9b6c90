// Requests and answers as JSON objects over nng.
#include "daemon/sync_service.h"

#include "base/json.h"
#include "daemon/configuration_service.h"
#include "daemon/dispatcher_service.h"
#include "daemon/job_changes.h"
#include "daemon/job_table.h"
#include "daemon/policy_service.h"
#include "daemon/term_service.h"
#include "kernel/log.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>
#include <span>

namespace lacewing::daemon {

namespace {

    constexpr int requestTimeoutMs = 600; // ms; below the time after which the term may be taken over
    constexpr scheduler::Millis tellMs
        = 600;                             // ms that a resigned daemon stays to say so; above two periods of messages
    constexpr int failuresUntilRedial = 2; // a silent connection is replaced after so many lost answers
    constexpr std::size_t changesPerReply = 500; // job states in one answer
    constexpr scheduler::Millis probeMs = 400;   // ms between reads of the store on behalf of a leader that has lost it
    constexpr scheduler::Millis pendingMs
        = 50; // ms between counts of waiting jobs; the period of this daemon's own table

    peer::PeerLimits peerLimits()
    {
        peer::PeerLimits limits;
        limits.requestTimeoutMs = requestTimeoutMs;
        return limits;
    }

    // A JSON object and further members as text.
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
        [this](const QByteArray& request, const peer::ReplyFunction& reply) { reply(answer(request)); });
    if (server.has_error())
        return server.error().detail;
    m_server = std::move(server.value());
    m_timer.start(m_runtime.settings.syncMs);
    return {};
}

void SyncService::stop()
{
    m_timer.stop();
    m_client.reset();
    m_server.reset();
}

bool SyncService::isIdle() const
{
    if (m_term->resignation().isEmpty() || nowMs() - m_term->resignedAt() >= tellMs)
        return true;
    return std::all_of(m_sent.begin(), m_sent.end(), [this](const auto& entry) {
        return m_told.count(entry.first) > 0 || m_term->resignedAt() - entry.second.sentAt >= tellMs;
    });
}

// --- Follower ---

void SyncService::tick()
{
    const election::Election& state = m_term->state();
    m_policy->setWatchEnabled(m_term->isLeader());
    if (m_term->isLeader()) {
        m_client.reset();
        m_clientAddress.clear();
        return;
    }
    if (!state.record || state.record->leader == m_runtime.settings.daemon || m_isAsking)
        return;
    if (!m_client || m_clientAddress != state.record->peerAddress) {
        m_clientAddress = state.record->peerAddress;
        m_failures = 0;
        auto client = peer::Client::dial(m_clientAddress, peerLimits());
        if (client.has_error()) {
            kernel::logEvent(kernel::LogLevel::Error, "sync", "dialFailed",
                { { "address", m_clientAddress }, { "detail", client.error().detail } });
            m_client.reset();
            return;
        }
        m_client = std::move(client.value());
    }
    ask();
}

void SyncService::ask()
{
    m_isAsking = true;
    const scheduler::Millis now = nowMs();
    const platform::StoreHealth& health = m_runtime.store->health();
    const QJsonObject request { { "daemon", QString::fromStdString(m_runtime.settings.daemon) },
        { "lastReply", static_cast<qint64>(m_lastReply) }, { "feedTerm", static_cast<qint64>(m_feedTerm) },
        { "feedHave", static_cast<qint64>(m_feedHave) }, { "incarnation", static_cast<qint64>(m_runtime.incarnation) },
        { "processorShare", m_runtime.settings.processorShare },
        { "storeAgeMs", static_cast<qint64>(health.answeredAt > 0 ? now - health.answeredAt : -1) },
        { "isStopping", m_runtime.isStopping }, { "policyRevision", static_cast<qint64>(m_policy->revision()) },
        { "membersHave", encodeVersion(m_copy.version()) } };
    m_client->request(QJsonDocument(request).toJson(QJsonDocument::Compact),
        [this, asked = Asked { now, m_term->state().record->leader, m_term->state().record->incarnation }](
            const base::Result<QByteArray, peer::PeerError>& result) {
            m_isAsking = false;
            if (result.has_value()) {
                m_failures = 0;
                applyReply(QJsonDocument::fromJson(result.value()).object(), asked);
                return;
            }
            if (m_hasContact)
                kernel::logEvent(kernel::LogLevel::Warning, "sync", "dependencyLost",
                    { { "dependency", "scheduling daemon" }, { "address", m_clientAddress },
                        { "detail", result.error().detail } });
            m_hasContact = false;
            if (++m_failures >= failuresUntilRedial)
                m_client.reset(); // not inside a call of its own: the callback runs after the call is finished
        });
}

void SyncService::applyReply(const QJsonObject& reply, const Asked& asked)
{
    election::Election& state = m_term->state();
    if (m_term->isLeader() || !election::isLedBy(state, asked.leader, asked.incarnation))
        return; // another daemon has been elected since
    const bool isSameProcess
        = reply["incarnation"].toInteger() == asked.incarnation && base::textOf(reply["daemon"]) == asked.leader;
    if (!reply["isLeader"].toBool() || !isSameProcess) {
        m_hasContact = false;
        const auto resignation = election::decodeRecord(base::textOf(reply["resignation"]).c_str());
        if (isSameProcess && resignation)
            election::observe(state, resignation, reply["revision"].toInteger(), nowMs());
        else
            election::observeLeaderDeath(state, asked.leader, asked.incarnation, nowMs());
        return;
    }
    if (!m_copy.apply(reply)) {
        kernel::logEvent(kernel::LogLevel::Error, "sync", "replyRefused",
            { { "address", m_clientAddress },
                { "detail", "the answer refers to a list of members that is not known" } });
        return; // its number is not confirmed, so that the leader does not count on a promise
    }
    const scheduler::Millis now = nowMs();
    m_lastReply = reply["number"].toInteger();
    election::observeContact(state, reply["revision"].toInteger(), m_copy.names(), now);
    if (!m_hasContact)
        kernel::logEvent(kernel::LogLevel::Info, "sync", "dependencyRegained",
            { { "dependency", "scheduling daemon" }, { "address", m_clientAddress },
                { "token", reply["token"].toInteger() } });
    m_hasContact = true;
    state.largestShare = reply["largestShare"].toDouble();
    if (base::textOf(reply["successor"]) == m_runtime.settings.daemon) {
        election::observeSuccession(state, asked.leader, asked.incarnation, now);
        return;
    }
    if (reply["hasLostStore"].toBool())
        probeStore();
    m_policy->memberRevisions() = m_copy.revisions();
    for (const auto& [member, revision] : m_copy.revisions())
        m_policy->observePeerRevision(revision);
    if (!reply["isLoaded"].toBool())
        return;
    m_feedTerm = reply["token"].toInteger();
    m_feedHave = reply["next"].toInteger();
    for (const QJsonValue change : reply["changes"].toArray()) {
        if (const auto jobState = base::valueOf(scheduler::jobStateNames, base::textOf(change[1])))
            applyState(*m_table, base::textOf(change[0]), *jobState, now);
    }
    const QJsonObject pending = reply["pending"].toObject();
    m_table->pending.clear();
    for (auto it = pending.begin(); it != pending.end(); ++it)
        m_table->pending[it.key().toStdString()] = it.value().toInt();
    m_table->freshAt = asked.at;
    m_table->pendingAt = asked.at - reply["pendingAgeMs"].toInteger();
}

void SyncService::probeStore()
{
    if (nowMs() - m_probedAt < probeMs)
        return;
    m_probedAt = nowMs();
    // Only whether the store answers counts; it is kept in its health.
    m_runtime.store->read(storeKeys::term, [](const base::Result<platform::Item, platform::StoreError>&) {});
}

// --- Scheduling daemon ---

QByteArray SyncService::answer(const QByteArray& bytes)
{
    const QJsonObject request = QJsonDocument::fromJson(bytes).object();
    const std::string daemon = base::textOf(request["daemon"]);
    const scheduler::Millis now = nowMs();
    QJsonObject reply { { "daemon", QString::fromStdString(m_runtime.settings.daemon) },
        { "incarnation", static_cast<qint64>(m_runtime.incarnation) }, { "isLeader", m_term->isLeader() } };
    if (!m_term->isLeader() && !m_term->resignation().isEmpty()) {
        reply["resignation"] = QString::fromUtf8(m_term->resignation());
        reply["revision"] = static_cast<qint64>(m_term->resignationRevision());
        m_told.insert(daemon);
    }
    if (!m_term->isLeader() || daemon.empty())
        return QJsonDocument(reply).toJson(QJsonDocument::Compact);
    election::Election& state = m_term->state();
    Reply& last = m_sent[daemon];
    const bool isLastReceived = last.number > 0 && request["lastReply"].toInteger() == last.number;
    const std::int64_t storeAge = request["storeAgeMs"].toInteger(-1);
    if (request["isStopping"].toBool()) {
        election::forgetPeer(state, daemon);
    } else {
        election::hearPeer(state, daemon, isLastReceived ? last.sentAt : 0, storeAge < 0 ? 0 : now - storeAge, now);
        state.peers[daemon].incarnation = request["incarnation"].toInteger();
        state.peers[daemon].processorShare = request["processorShare"].toDouble();
    }
    last = { ++m_replies, now };
    reply["number"] = static_cast<qint64>(last.number);
    reply["revision"] = static_cast<qint64>(state.revision);
    reply["token"] = static_cast<qint64>(state.token);
    double largestShare = 0; // of those that may follow this daemon
    for (const auto& [name, peer] : state.peers)
        largestShare = std::max(largestShare, peer.processorShare);
    reply["largestShare"] = largestShare;
    updateMembers(daemon, request, now);
    const QByteArray members = m_members.encodeFor(decodeVersion(request["membersHave"]));
    reply["hasLostStore"] = !isStoreReachable(m_runtime);
    if (election::successor(state, m_runtime.store->health().failingSince, now) == daemon) {
        kernel::logEvent(kernel::LogLevel::Warning, "sync", "handOver",
            { { "successor", daemon }, { "token", state.token }, { "renewedMsAgo", now - state.renewSentAt },
                { "successorStoreAgeMs", storeAge } });
        reply["successor"] = QString::fromStdString(daemon);
        m_term->handOver();
        return encodeReply(reply, members);
    }
    reply["isLoaded"] = m_dispatcher->scheduler() != nullptr;
    if (!m_dispatcher->scheduler())
        return encodeReply(reply, members);
    const QByteArray changes
        = encodeNewChanges(reply, request["feedTerm"].toInteger(), request["feedHave"].toInteger());
    updatePending(now);
    reply["pendingAgeMs"] = static_cast<qint64>(now - std::min(m_pendingAt, m_dispatcher->jobsKnownUntil()));
    return encodeReply(reply, members + ",\"changes\":" + changes + ',' + m_pending);
}

void SyncService::updateMembers(const std::string& daemon, const QJsonObject& request, scheduler::Millis now)
{
    const election::Election& state = m_term->state();
    MemberRevisions& revisions = m_policy->memberRevisions();
    revisions[daemon] = static_cast<base::Revision>(request["policyRevision"].toInteger());
    revisions[m_runtime.settings.daemon] = m_policy->revision();
    const std::set<std::string> known = election::knownMembers(state, now);
    std::erase_if(revisions, [&known](const auto& entry) { return known.count(entry.first) == 0; });
    for (const std::string& member : known)
        revisions.try_emplace(member, 0); // not told yet
    m_members.update(m_runtime.incarnation, state.token, revisions);
}

void SyncService::updatePending(scheduler::Millis now)
{
    if (m_pendingTerm == m_term->token() && now - m_pendingAt < pendingMs)
        return;
    m_pendingTerm = m_term->token();
    m_pendingAt = now;
    QJsonObject pending;
    for (const auto& [queue, jobs] : scheduler::pendingJobs(*m_dispatcher->scheduler()))
        pending[QString::fromStdString(queue)] = jobs;
    const QByteArray text = QJsonDocument(QJsonObject { { "pending", pending } }).toJson(QJsonDocument::Compact);
    m_pending = text.mid(1, text.size() - 2);
}

QByteArray SyncService::encodeNewChanges(QJsonObject& reply, std::int64_t term, std::int64_t have) const
{
    const std::span<const scheduler::JobChange> feed = m_dispatcher->feed();
    const std::int64_t begin = m_dispatcher->feedBegin();
    const std::int64_t wanted = term == m_term->token() ? std::max<std::int64_t>(0, have - begin) : 0;
    const std::size_t position = std::min(static_cast<std::size_t>(wanted), feed.size());
    const std::size_t count = std::min(changesPerReply, feed.size() - position);
    reply["next"] = static_cast<qint64>(begin + wanted + static_cast<std::int64_t>(count));
    return encodeChanges(feed.subspan(position, count));
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
