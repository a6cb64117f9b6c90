// Service `membership`: the other daemons - who they are, whether they answer, and how to send them messages.
//
// - Heartbeats go to every daemon of the own data centre once a second. While the store is unavailable they also go to
//   all daemons of other data centres, because the agreement of docs/design.md, Q8, needs an answer of each.
// - Only the reply to an own heartbeat is used as evidence, dated by the time when the heartbeat was sent.
// - The representative of a data centre sends digests to one daemon of each other data centre; that daemon passes them
//   on within its data centre.
#pragma once

#include "cluster/digest.h"
#include "cluster/membership.h"
#include "codec/codec.h"
#include "codec/message.h"
#include "daemon/platform_instances.h"
#include "daemon/runtime.h"
#include "http/client.h"
#include "peer/peer.h"

#include <QTimer>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace lacewing::daemon {

class ConfigurationService;
class DispatcherService;
class GatewayService;

using PeerAnswer = std::optional<codec::Message>; // empty: no answer, or one that cannot be decoded
using PeerCallback = std::function<void(const PeerAnswer&)>;

class MembershipService {
public:
    explicit MembershipService(Runtime& runtime);

    // Returns the cause of a failure, or an empty string.
    std::string start();
    void stop();
    // Tells the others that this incarnation ends. `shards`: keys of the shards given back.
    void sayGoodbye(const std::vector<std::string>& shards);

    // --- State ---
    std::vector<cluster::Member> view() const; // own data centre, with this daemon
    bool isRepresentative() const;
    // True when this daemon is recorded in slots/<dc> and every other recorded member has acknowledged such a record.
    bool isKnownToAll() const;
    bool isLeaving() const { return m_isLeaving; }
    void setLeaving() { m_isLeaving = true; }
    const std::vector<InstanceEntry>& instances() const { return m_instances; }
    const cluster::Digests& digests() const { return m_digests; }
    // HTTP addresses (HOST:PORT) of all other daemons that have answered, by name.
    std::map<base::DaemonId, std::string> gatewayAddresses() const;
    // Other daemons of a data centre; of all data centres when none is given.
    std::vector<base::DaemonId> daemonsOf(const std::optional<base::DataCentreId>& dataCentre) const;
    peer::PeerTraffic traffic() const;

    // --- Sending ---
    void request(const base::DaemonId& daemon, const codec::Message& message, PeerCallback callback);
    // Sends to every usable daemon of the own data centre; `acknowledged` is called with each answer. False when there
    // is no such daemon.
    bool sendToDataCentre(const codec::Message& message, const std::function<void()>& acknowledged);

    // --- Listeners ---
    void onInstances(std::function<void(const std::vector<InstanceEntry>&)> listener)
    {
        m_instanceListeners.push_back(std::move(listener));
    }
    void onMemberEvent(std::function<void(const cluster::MemberEvent&)> listener)
    {
        m_eventListeners.push_back(std::move(listener));
    }

private:
    // A daemon that may be asked, of any data centre.
    struct Contact {
        base::DataCentreId dataCentre;
        std::string peerAddress;
        std::string gatewayAddress; // empty until it has answered
        bool isLeaving = false;
    };

    void onRequest(const QByteArray& bytes, const peer::ReplyFunction& reply);
    codec::Message answer(const codec::Message& message);
    codec::DaemonReport report() const;
    void readInstances();
    void takeInstances(std::vector<InstanceEntry> instances);
    void beat();
    void sendHeartbeat(const base::DaemonId& daemon);
    void onReport(const codec::DaemonReport& report, base::TimePoint sentAt);
    void sendDigests();
    codec::DigestReply takeDigest(const codec::Digest& digest);
    std::vector<base::DataCentreId> otherDataCentres() const;
    void publishEvents(const std::vector<cluster::MemberEvent>& events);
    peer::Client* clientFor(const std::string& address);
    cluster::SelfReport selfReport() const;
    ConfigurationService* configuration() const;
    GatewayService* gateway() const;
    DispatcherService* dispatcher() const;

    Runtime& m_runtime;
    std::unique_ptr<peer::Server> m_server;
    std::map<std::string, std::unique_ptr<peer::Client>> m_clients; // by address
    std::map<base::DaemonId, Contact> m_contacts;                   // without this daemon
    std::vector<InstanceEntry> m_instances;
    cluster::Membership m_membership;
    cluster::Digests m_digests;
    std::unique_ptr<http::Client> m_http;
    std::unique_ptr<PlatformInstances> m_platform;
    QTimer m_heartbeatTimer;
    QTimer m_instancesTimer;
    QTimer m_digestTimer;
    bool m_isLeaving = false;
    std::vector<std::function<void(const std::vector<InstanceEntry>&)>> m_instanceListeners;
    std::vector<std::function<void(const cluster::MemberEvent&)>> m_eventListeners;
};

void registerMembershipService(Runtime& runtime);

} // namespace lacewing::daemon
