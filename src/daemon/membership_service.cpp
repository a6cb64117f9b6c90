// Heartbeats, instance list, digests and the dispatch of messages from other daemons.
#include "daemon/membership_service.h"

#include "daemon/configuration_service.h"
#include "daemon/dispatcher_service.h"
#include "daemon/gateway_service.h"
#include "kernel/log.h"

#include <algorithm>
#include <set>

namespace lacewing::daemon {

namespace {

    constexpr int heartbeatIntervalMs = 1000;
    constexpr int digestIntervalMs = 2000;

    std::string hostAndPort(const std::string& address, std::uint16_t port)
    {
        return address + ":" + std::to_string(port);
    }

    QString toQString(const std::string& text) { return QString::fromStdString(text); }

    cluster::HeartbeatReport toHeartbeatReport(const codec::DaemonReport& report)
    {
        cluster::HeartbeatReport heartbeat;
        heartbeat.daemon = report.daemon;
        heartbeat.dataCentre = report.dataCentre;
        heartbeat.incarnation = report.incarnation;
        heartbeat.peerAddress = report.peerAddress;
        heartbeat.gatewayAddress = report.gatewayAddress;
        heartbeat.revision = report.revision;
        heartbeat.hasStoreAccess = report.hasStoreAccess;
        heartbeat.isLeaving = report.isLeaving;
        return heartbeat;
    }

    cluster::PeerReport toPeerReport(const codec::DaemonReport& report)
    {
        cluster::PeerReport peer;
        peer.daemon = report.daemon;
        peer.incarnation = report.incarnation;
        peer.revision = report.revision;
        peer.isProvisional = report.isProvisional;
        if (report.storeReadAgeMs)
            peer.storeReadAge = base::milliseconds(*report.storeReadAgeMs);
        peer.hasStoreAccess = report.hasStoreAccess;
        peer.hasUnresolvedApply = report.hasUnresolvedApply;
        return peer;
    }

    codec::DigestEntry toEntry(const cluster::DigestRecord& record)
    {
        codec::DigestEntry entry;
        entry.dataCentre = record.dataCentre;
        entry.origin = record.origin;
        entry.originStart = record.version.originStart;
        entry.sequence = record.version.sequence;
        entry.membersAlive = record.state.membersAlive;
        entry.lowestRevision = record.state.lowestRevision;
        entry.greatestStoreAgeMs
            = record.state.greatestStoreAge ? base::toMilliseconds(*record.state.greatestStoreAge) : -1;
        entry.freeCpuMilli = record.state.freeCpuMilli;
        entry.freeMemoryMb = record.state.freeMemoryMb;
        entry.freeAccelerators = record.state.freeAccelerators;
        entry.freeSlots = record.state.freeSlots;
        entry.gatewayAddress = record.state.gatewayAddress;
        return entry;
    }

    cluster::DigestRecord toRecord(const codec::DigestEntry& entry)
    {
        cluster::DigestRecord record;
        record.dataCentre = entry.dataCentre;
        record.origin = entry.origin;
        record.version = { entry.originStart, entry.sequence };
        record.state.membersAlive = entry.membersAlive;
        record.state.lowestRevision = entry.lowestRevision;
        if (entry.greatestStoreAgeMs >= 0)
            record.state.greatestStoreAge = base::milliseconds(entry.greatestStoreAgeMs);
        record.state.freeCpuMilli = entry.freeCpuMilli;
        record.state.freeMemoryMb = entry.freeMemoryMb;
        record.state.freeAccelerators = entry.freeAccelerators;
        record.state.freeSlots = entry.freeSlots;
        record.state.gatewayAddress = entry.gatewayAddress;
        return record;
    }

    codec::Digest toDigest(
        const base::DaemonId& sender, const std::vector<cluster::DigestRecord>& records, bool isRelayed)
    {
        codec::Digest digest;
        digest.sender = sender;
        digest.isRelayed = isRelayed;
        for (const cluster::DigestRecord& record : records)
            digest.entries.push_back(toEntry(record));
        return digest;
    }

} // namespace

MembershipService::MembershipService(Runtime& runtime)
    : m_runtime(runtime)
{
    m_membership.self = runtime.settings.daemon;
    m_membership.dataCentre = runtime.settings.dataCentre;
    m_membership.selfIncarnation = runtime.incarnation;
    m_digests.self = runtime.settings.daemon;
    m_digests.dataCentre = runtime.settings.dataCentre;
    m_digests.selfIncarnation = runtime.incarnation;
    QObject::connect(&m_heartbeatTimer, &QTimer::timeout, &m_heartbeatTimer, [this] { beat(); });
    QObject::connect(&m_instancesTimer, &QTimer::timeout, &m_instancesTimer, [this] { readInstances(); });
    QObject::connect(&m_digestTimer, &QTimer::timeout, &m_digestTimer, [this] { sendDigests(); });
}

std::string MembershipService::start()
{
    const Settings& settings = m_runtime.settings;
    for (const SeedPeer& seed : settings.seeds) {
        if (seed.daemon != settings.daemon)
            m_contacts[seed.daemon] = Contact { seed.dataCentre, seed.peerAddress, {}, false };
    }
    const std::string address = hostAndPort(settings.peer.address, settings.peer.port);
    auto server = peer::Server::listen(
        address, {}, [this](const QByteArray& bytes, const peer::ReplyFunction& reply) { onRequest(bytes, reply); });
    if (server.has_error())
        return "cannot listen on " + address + ": " + server.error().detail;
    m_server = std::move(server.value());
    m_http = std::make_unique<http::Client>();
    m_platform = std::make_unique<PlatformInstances>(*m_http, settings.platform.instancesUrl);
    m_heartbeatTimer.start(heartbeatIntervalMs);
    m_instancesTimer.start(settings.platform.instancesIntervalMs);
    m_digestTimer.start(digestIntervalMs);
    QTimer::singleShot(0, &m_heartbeatTimer, [this] { beat(); });
    QTimer::singleShot(0, &m_instancesTimer, [this] { readInstances(); });
    return {};
}

void MembershipService::stop()
{
    m_heartbeatTimer.stop();
    m_instancesTimer.stop();
    m_digestTimer.stop();
    m_clients.clear();
    m_server.reset();
    m_platform.reset();
    m_http.reset();
}

void MembershipService::sayGoodbye(const std::vector<std::string>& shards)
{
    codec::Goodbye goodbye;
    goodbye.daemon = m_runtime.settings.daemon;
    goodbye.incarnation = m_runtime.incarnation;
    goodbye.shards = shards;
    sendToDataCentre(goodbye, [] {});
}

// --- State ---

std::vector<cluster::Member> MembershipService::view() const { return cluster::view(m_membership, selfReport()); }

bool MembershipService::isRepresentative() const
{
    const auto representative = cluster::representative(view());
    return representative && *representative == m_runtime.settings.daemon;
}

bool MembershipService::isKnownToAll() const { return gateway() != nullptr && gateway()->isKnownToAll(); }

std::map<base::DaemonId, std::string> MembershipService::gatewayAddresses() const
{
    std::map<base::DaemonId, std::string> addresses;
    for (const auto& [daemon, contact] : m_contacts) {
        if (!contact.gatewayAddress.empty())
            addresses.emplace(daemon, contact.gatewayAddress);
    }
    return addresses;
}

std::vector<base::DaemonId> MembershipService::daemonsOf(const std::optional<base::DataCentreId>& dataCentre) const
{
    std::vector<base::DaemonId> daemons;
    for (const auto& [daemon, contact] : m_contacts) {
        if (!dataCentre || contact.dataCentre == *dataCentre)
            daemons.push_back(daemon);
    }
    return daemons;
}

peer::PeerTraffic MembershipService::traffic() const
{
    peer::PeerTraffic sum = m_server ? m_server->traffic() : peer::PeerTraffic();
    for (const auto& [address, client] : m_clients) {
        const peer::PeerTraffic& traffic = client->traffic();
        sum.messagesSent += traffic.messagesSent;
        sum.messagesReceived += traffic.messagesReceived;
        sum.bytesSent += traffic.bytesSent;
        sum.bytesReceived += traffic.bytesReceived;
    }
    return sum;
}

ConfigurationService* MembershipService::configuration() const
{
    return kernel::find<ConfigurationService>(m_runtime.kernel, serviceNames::configuration);
}

GatewayService* MembershipService::gateway() const
{
    return kernel::find<GatewayService>(m_runtime.kernel, serviceNames::gateway);
}

DispatcherService* MembershipService::dispatcher() const
{
    return kernel::find<DispatcherService>(m_runtime.kernel, serviceNames::dispatcher);
}

codec::DaemonReport MembershipService::report() const
{
    const Settings& settings = m_runtime.settings;
    const base::TimePoint now = base::monotonicNow();
    codec::DaemonReport report;
    report.daemon = settings.daemon;
    report.dataCentre = settings.dataCentre;
    report.incarnation = m_runtime.incarnation;
    report.peerAddress = hostAndPort(settings.peer.address, settings.peer.port);
    report.gatewayAddress = hostAndPort(settings.http.listen.address, settings.http.listen.port);
    report.isLeaving = m_isLeaving;
    if (const ConfigurationService* configuration = this->configuration()) {
        const cluster::Freshness& freshness = configuration->freshness();
        report.revision = configuration->holder().revision();
        report.isProvisional = freshness.isProvisional;
        if (const auto age = cluster::storeReadAge(freshness, now))
            report.storeReadAgeMs = base::toMilliseconds(*age);
        report.hasStoreAccess = freshness.hasStoreAccess;
        report.hasUnresolvedApply = freshness.hasUnresolvedApply;
    }
    return report;
}

cluster::SelfReport MembershipService::selfReport() const
{
    const codec::DaemonReport own = report();
    return { own.peerAddress, own.gatewayAddress, own.revision, own.hasStoreAccess, own.isLeaving };
}

// --- Sending ---

peer::Client* MembershipService::clientFor(const std::string& address)
{
    const auto known = m_clients.find(address);
    if (known != m_clients.end())
        return known->second.get();
    auto client = peer::Client::dial(address, {});
    if (client.has_error()) {
        kernel::logEvent(kernel::LogLevel::Warning, "membership", "peerAddressRefused",
            { { "address", toQString(address) }, { "detail", toQString(client.error().detail) } });
        return nullptr;
    }
    return m_clients.emplace(address, std::move(client.value())).first->second.get();
}

void MembershipService::request(const base::DaemonId& daemon, const codec::Message& message, PeerCallback callback)
{
    const auto contact = m_contacts.find(daemon);
    peer::Client* client = contact == m_contacts.end() ? nullptr : clientFor(contact->second.peerAddress);
    if (client == nullptr) {
        QTimer::singleShot(0, &m_heartbeatTimer, [callback = std::move(callback)] { callback(std::nullopt); });
        return;
    }
    client->request(codec::encode(message, codec::Codec::Cbor),
        [callback = std::move(callback)](const base::Result<QByteArray, peer::PeerError>& reply) {
            if (reply.has_error()) {
                callback(std::nullopt);
                return;
            }
            const auto decoded = codec::decode(reply.value(), codec::Codec::Cbor);
            callback(decoded.has_value() ? PeerAnswer(decoded.value()) : std::nullopt);
        });
}

bool MembershipService::sendToDataCentre(const codec::Message& message, const std::function<void()>& acknowledged)
{
    bool isSent = false;
    for (const cluster::Member& member : view()) {
        if (member.daemon == m_runtime.settings.daemon || member.state == cluster::MemberState::Stopped)
            continue;
        if (!m_contacts.contains(member.daemon))
            continue;
        isSent = true;
        request(member.daemon, message, [acknowledged](const PeerAnswer& answer) {
            if (answer)
                acknowledged();
        });
    }
    return isSent;
}

// --- Receiving ---

void MembershipService::onRequest(const QByteArray& bytes, const peer::ReplyFunction& reply)
{
    const auto message = codec::decode(bytes, codec::Codec::Cbor);
    if (message.has_error()) {
        m_runtime.metrics
            .counter("lacewing_peer_messages_refused_total", "Messages of other daemons that could not be decoded.")
            .value
            += 1;
        const codec::Refusal refusal { std::string(base::nameOf(codec::codecErrorNames, message.error().code)),
            message.error().detail };
        reply(codec::encode(refusal, codec::Codec::Cbor));
        return;
    }
    m_runtime.metrics
        .counter("lacewing_peer_messages_total", "Messages of other daemons.",
            { { "type", std::string(codec::typeName(message.value())) } })
        .value
        += 1;
    reply(codec::encode(answer(message.value()), codec::Codec::Cbor));
}

codec::Message MembershipService::answer(const codec::Message& message)
{
    const codec::Ack acknowledgement { m_runtime.settings.daemon, m_runtime.incarnation, 0 };
    if (const auto* heartbeat = std::get_if<codec::Heartbeat>(&message)) {
        // An unlisted daemon becomes known by its question; its own report follows as the answer to ours.
        if (!m_contacts.contains(heartbeat->daemon) && heartbeat->daemon != m_runtime.settings.daemon)
            m_contacts[heartbeat->daemon] = Contact { heartbeat->dataCentre, heartbeat->peerAddress, {}, false };
        codec::HeartbeatReply reply;
        reply.report = report();
        if (gateway() != nullptr)
            reply.slots = gateway()->slotStatement();
        return reply;
    }
    if (const auto* push = std::get_if<codec::ConfigPush>(&message)) {
        if (configuration() != nullptr)
            configuration()->onPush(*push);
        return acknowledgement;
    }
    if (const auto* pull = std::get_if<codec::ConfigPull>(&message))
        return configuration() != nullptr ? configuration()->onPull(*pull) : codec::ConfigPullReply();
    if (const auto* digest = std::get_if<codec::Digest>(&message)) {
        return takeDigest(*digest);
    }
    if (const auto* loan = std::get_if<codec::SlotLoan>(&message)) {
        if (gateway() != nullptr)
            return gateway()->onLoanRequest(*loan);
    }
    if (const auto* returned = std::get_if<codec::SlotReturn>(&message)) {
        if (gateway() != nullptr)
            gateway()->onLoanReturn(*returned);
        return acknowledgement;
    }
    if (const auto* offer = std::get_if<codec::TransferOffer>(&message)) {
        if (dispatcher() != nullptr)
            dispatcher()->onTransferOffer(*offer);
        return acknowledgement;
    }
    if (const auto* accept = std::get_if<codec::TransferAccept>(&message)) {
        if (dispatcher() != nullptr)
            dispatcher()->onTransferAccept(*accept);
        return acknowledgement;
    }
    if (const auto* goodbye = std::get_if<codec::Goodbye>(&message)) {
        publishEvents(cluster::onGoodbye(m_membership, goodbye->daemon, goodbye->incarnation, base::monotonicNow()));
        return acknowledgement;
    }
    return codec::Refusal { "notHandled", std::string(codec::typeName(message)) };
}

// --- Heartbeats ---

void MembershipService::beat()
{
    const ConfigurationService* configuration = this->configuration();
    const bool isOutage = configuration != nullptr && !configuration->freshness().hasStoreAccess;
    for (const auto& [daemon, contact] : m_contacts) {
        if (contact.dataCentre == m_runtime.settings.dataCentre || isOutage || contact.gatewayAddress.empty())
            sendHeartbeat(daemon);
    }
    publishEvents(cluster::tick(m_membership, base::monotonicNow()));
}

void MembershipService::sendHeartbeat(const base::DaemonId& daemon)
{
    codec::Heartbeat heartbeat;
    heartbeat.daemon = m_runtime.settings.daemon;
    heartbeat.dataCentre = m_runtime.settings.dataCentre;
    heartbeat.incarnation = m_runtime.incarnation;
    heartbeat.peerAddress = hostAndPort(m_runtime.settings.peer.address, m_runtime.settings.peer.port);
    const base::TimePoint sentAt = base::monotonicNow();
    request(daemon, heartbeat, [this, sentAt](const PeerAnswer& answer) {
        const auto* reply = answer ? std::get_if<codec::HeartbeatReply>(&*answer) : nullptr;
        if (reply == nullptr)
            return;
        onReport(reply->report, sentAt);
        if (reply->slots && gateway() != nullptr)
            gateway()->onSlotStatement(reply->report, *reply->slots, sentAt);
    });
}

void MembershipService::onReport(const codec::DaemonReport& report, base::TimePoint sentAt)
{
    if (report.daemon == m_runtime.settings.daemon)
        return;
    Contact& contact = m_contacts[report.daemon];
    contact.dataCentre = report.dataCentre;
    contact.peerAddress = report.peerAddress;
    contact.gatewayAddress = report.gatewayAddress;
    contact.isLeaving = report.isLeaving;
    publishEvents(cluster::onHeartbeat(m_membership, toHeartbeatReport(report), base::monotonicNow()));
    ConfigurationService* configuration = this->configuration();
    if (configuration == nullptr)
        return;
    cluster::onPeerReport(configuration->freshness(), toPeerReport(report), sentAt);
    configuration->onPeerRevision(report.daemon, report.revision);
}

void MembershipService::publishEvents(const std::vector<cluster::MemberEvent>& events)
{
    for (const cluster::MemberEvent& event : events) {
        kernel::logEvent(kernel::LogLevel::Info, "membership", "memberChanged",
            { { "member", toQString(event.daemon.value) },
                { "change", toQString(std::string(base::nameOf(cluster::memberChangeNames, event.change))) },
                { "incarnation", static_cast<qint64>(event.incarnation) } });
        for (const auto& listener : m_eventListeners)
            listener(event);
    }
}

// --- Instance list ---

void MembershipService::readInstances()
{
    m_platform->read([this](const base::Result<std::vector<InstanceEntry>, InstancesError>& result) {
        if (result.has_value()) {
            takeInstances(result.value());
            return;
        }
        m_runtime.metrics
            .counter("lacewing_instances_reads_failed_total", "Reads of the instance list without an answer.")
            .value
            += 1;
    });
}

void MembershipService::takeInstances(std::vector<InstanceEntry> instances)
{
    m_instances = std::move(instances);
    std::vector<cluster::ListedDaemon> listed;
    for (const InstanceEntry& instance : m_instances) {
        if (instance.kind != InstanceKind::Entry || instance.id.value == m_runtime.settings.daemon.value)
            continue;
        const base::DaemonId daemon { instance.id.value };
        const std::string address = hostAndPort(instance.address, instance.port);
        const bool isLeaving = instance.state == InstanceState::Leaving;
        listed.push_back({ daemon, instance.dataCentre, address, isLeaving });
        Contact& contact = m_contacts[daemon];
        contact.dataCentre = instance.dataCentre;
        if (contact.peerAddress.empty() || !contact.gatewayAddress.empty())
            contact.peerAddress = address;
    }
    publishEvents(cluster::onInstanceList(m_membership, listed, base::monotonicNow()));
    for (const auto& listener : m_instanceListeners)
        listener(m_instances);
}

// --- Digests ---

void MembershipService::sendDigests()
{
    if (!isRepresentative())
        return;
    cluster::setPeers(m_digests, otherDataCentres());
    cluster::DataCentreState state;
    state.gatewayAddress = hostAndPort(m_runtime.settings.http.listen.address, m_runtime.settings.http.listen.port);
    std::optional<base::Revision> lowest;
    for (const cluster::Member& member : view()) {
        if (!cluster::isUsable(member))
            continue;
        state.membersAlive += 1;
        lowest = std::min(lowest.value_or(member.revision), member.revision);
    }
    state.lowestRevision = lowest.value_or(0);
    if (gateway() != nullptr)
        state.freeSlots = gateway()->freeSlots();
    cluster::updateOwn(m_digests, state);
    for (const cluster::OutgoingDigest& outgoing : cluster::nextDigests(m_digests, base::monotonicNow())) {
        // Any daemon of the other data centre takes the digest; a contact that has answered is preferred.
        const std::pair<const base::DaemonId, Contact>* target = nullptr;
        for (const auto& entry : m_contacts) {
            if (entry.second.dataCentre != outgoing.receiver || entry.second.isLeaving)
                continue;
            if (target == nullptr || (target->second.gatewayAddress.empty() && !entry.second.gatewayAddress.empty()))
                target = &entry;
        }
        if (target == nullptr)
            continue;
        request(target->first, toDigest(m_runtime.settings.daemon, outgoing.records, false),
            [this, outgoing](const PeerAnswer& answer) {
                const auto* reply = answer ? std::get_if<codec::DigestReply>(&*answer) : nullptr;
                if (reply != nullptr)
                    cluster::onDigestDelivered(
                        m_digests, outgoing, { reply->originStart, reply->sequence }, base::monotonicNow());
            });
    }
}

codec::DigestReply MembershipService::takeDigest(const codec::Digest& digest)
{
    std::vector<cluster::DigestRecord> records;
    for (const codec::DigestEntry& entry : digest.entries)
        records.push_back(toRecord(entry));
    base::DataCentreId sender;
    const auto contact = m_contacts.find(digest.sender);
    if (contact != m_contacts.end())
        sender = contact->second.dataCentre;
    cluster::setPeers(m_digests, otherDataCentres());
    cluster::onDigest(m_digests, sender, records, base::monotonicNow());
    // The sender reaches one daemon of this data centre; all of its daemons forward urgent requests.
    if (!digest.isRelayed) {
        codec::Digest relayed = digest;
        relayed.isRelayed = true;
        sendToDataCentre(relayed, [] {});
    }
    const cluster::DigestVersion held = cluster::heldVersion(m_digests, sender);
    return { m_runtime.settings.daemon, held.originStart, held.sequence };
}

std::vector<base::DataCentreId> MembershipService::otherDataCentres() const
{
    std::set<base::DataCentreId> others;
    for (const auto& [daemon, contact] : m_contacts) {
        if (contact.dataCentre != m_runtime.settings.dataCentre)
            others.insert(contact.dataCentre);
    }
    return { others.begin(), others.end() };
}

void registerMembershipService(Runtime& runtime)
{
    auto service = std::make_shared<std::unique_ptr<MembershipService>>();
    kernel::Service entry;
    entry.name = serviceNames::membership;
    entry.start = [&runtime, service] {
        *service = std::make_unique<MembershipService>(runtime);
        kernel::publish(runtime.kernel, serviceNames::membership, service->get());
        return (*service)->start();
    };
    entry.beginStop = [service] { (*service)->setLeaving(); };
    entry.stop = [service] { (*service)->stop(); };
    static_cast<void>(kernel::registerService(runtime.kernel, std::move(entry)));
}

} // namespace lacewing::daemon
