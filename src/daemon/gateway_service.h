// Service `gateway`: carries urgent and slow requests from callers to endpoints.
//
// All decisions are made by routing::Gateway; this file carries out its effects: it sends attempts to endpoints or to
// other daemons, answers callers, exchanges slot loans, and reads and writes the slot record of the data centre.
// Each attempt is sent in SendMode::Once, also for idempotent requests: the only repeats are those that the routing
// module decides on and counts.
#pragma once

#include "codec/message.h"
#include "config/policy.h"
#include "daemon/platform_instances.h"
#include "daemon/runtime.h"
#include "http/client.h"
#include "http/server.h"
#include "routing/gateway.h"

#include <QTimer>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

namespace lacewing::daemon {

class ConfigurationService;
class MembershipService;
class StoreService;

class GatewayService {
public:
    explicit GatewayService(Runtime& runtime);

    void start();
    void stop();
    void beginDrain();
    // True when no request is in progress and this daemon has left the slot record.
    bool isIdle();

    // Any request on /svc/<service>/<path>.
    void handle(const http::Request& request, const http::Responder& responder);

    // --- Messages of other daemons ---
    codec::SlotStatement slotStatement() const;
    // The reply to a heartbeat that was sent at sentAt.
    void onSlotStatement(
        const codec::DaemonReport& report, const codec::SlotStatement& statement, base::TimePoint sentAt);
    codec::SlotLoanReply onLoanRequest(const codec::SlotLoan& loan);
    void onLoanReturn(const codec::SlotReturn& loan);

    // --- State ---
    std::uint32_t freeSlots() const;
    // True when every other member of the slot record has acknowledged a record that names this daemon.
    bool isKnownToAll() const;
    const routing::Gateway& gateway() const { return m_gateway; }

private:
    struct Pending {
        http::Request request;
        http::Responder responder;
        base::ServiceId service;
        std::string endpointPath; // path and query for the endpoint
        std::string requestId;    // identity for logs and endpoints
        base::TimePoint startedAt;
        std::map<routing::AttemptId, http::ClientResult> answers; // complete answers, until the reply
        std::map<routing::AttemptId, http::RequestId> inFlight;
        std::map<routing::AttemptId, base::EndpointId> endpoints; // empty id for a forward
    };

    void run(routing::Effects effects);
    void carryOut(const routing::Send& send, routing::Effects& more);
    void carryOut(const routing::ForwardToDaemon& forward, routing::Effects& more);
    void carryOut(const routing::CancelAttempt& cancel, routing::Effects& more);
    void carryOut(const routing::ReplyWithAnswer& reply, routing::Effects& more);
    void carryOut(const routing::ReplyWithProblem& reply, routing::Effects& more);
    void carryOut(const routing::AskForLoan& ask, routing::Effects& more);
    void carryOut(const routing::GiveLoanBack& giveBack, routing::Effects& more);
    void carryOut(const routing::WriteSlotRecord& write, routing::Effects& more);

    void sendAttempt(routing::RequestId request, routing::AttemptId attempt, const http::ClientRequest& message,
        routing::Effects& more);
    void onResult(routing::RequestId request, routing::AttemptId attempt, http::ClientResult result);
    void forgetWhenDone(routing::RequestId request);
    http::ClientRequest attemptRequest(
        const Pending& pending, const std::string& address, const std::string& path, std::int64_t timeoutMs) const;
    void recordResult(const Pending& pending, const base::EndpointId& endpoint, bool isAnswered);
    void refuse(const http::Responder& responder, int status, const char* code, const QString& detail) const;

    void readRecords();
    void rememberJoin();
    void onInstances(const std::vector<InstanceEntry>& instances);
    void onConfiguration();
    void updatePeers();
    void scheduleTick();
    std::string recordKey() const;

    Runtime& m_runtime;
    StoreService* m_store = nullptr;
    MembershipService* m_membership = nullptr;
    ConfigurationService* m_configuration = nullptr;
    routing::Gateway m_gateway;
    std::unique_ptr<http::Client> m_client;
    std::unordered_map<routing::RequestId, Pending> m_pending;
    std::unordered_map<base::EndpointId, std::string> m_addresses; // ADDRESS:PORT
    std::map<base::DaemonId, std::string> m_forwardAddresses;      // ADDRESS:PORT of gateways in other data centres
    std::deque<routing::Effects> m_queue;                          // effects that wait while others are carried out
    bool m_isRunning = false;
    routing::RequestId m_nextRequest = 1;
    std::uint64_t m_nextOperation = 1;
    bool m_isWritingRecord = false;
    std::uint64_t m_joinedVersion = 0; // first record version that names this incarnation; 0: none yet
    bool m_isClosing = false;
    bool m_isClosed = false;
    QTimer m_tickTimer;
    QTimer m_recordTimer;
};

void registerGatewayService(Runtime& runtime);

} // namespace lacewing::daemon
