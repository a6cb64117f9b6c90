// Service `dispatcher`: batch work of this daemon.
//
// All decisions are made by batch::Dispatcher; this file carries out its effects: store calls, worker calls and replies
// to callers. Calls for a job of a shard that another daemon owns are passed on over HTTP, at most one hop.
#pragma once

#include "batch/dispatcher.h"
#include "cluster/membership.h"
#include "codec/message.h"
#include "daemon/platform_worker.h"
#include "daemon/runtime.h"
#include "http/client.h"
#include "http/server.h"

#include <QJsonObject>
#include <QTimer>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace lacewing::daemon {

class ConfigurationService;
class JobSearch;
class MembershipService;
class StoreService;

class DispatcherService {
public:
    explicit DispatcherService(Runtime& runtime);
    ~DispatcherService();

    void start();
    void stop();
    void beginStop();
    bool isIdle() const;

    // --- HTTP (docs/http.md) ---
    void handleSubmit(const http::Request& request, const http::Responder& responder);
    void handleStatus(const http::Request& request, const std::string& job, const http::Responder& responder);
    void handleList(const http::Request& request, const http::Responder& responder);
    void handleCancel(const http::Request& request, const std::string& job, const http::Responder& responder);
    void handleEvents(const http::Request& request, const std::string& job, const http::Responder& responder);

    // --- Messages of other daemons ---
    void onTransferOffer(const codec::TransferOffer& offer);
    void onTransferAccept(const codec::TransferAccept& accept);

    // --- State ---
    std::vector<std::string> ownedShards() const;
    QJsonObject statusJson() const;
    const batch::Dispatcher& dispatcher() const { return m_dispatcher; }

private:
    struct Waiting { // a caller that waits for ReplySubmit
        http::Request request;
        http::Responder responder;
        bool isCancel = false;
        base::JobId job;
    };
    struct Poll { // a long poll for events of a job
        base::JobId job;
        std::uint64_t cursor = 0;
        base::TimePoint until;
        http::Responder responder;
    };

    void run(batch::Effects effects);
    void carryOut(const batch::WriteShard& effect);
    void carryOut(const batch::ReadShard& effect);
    void carryOut(const batch::FenceWorker& effect);
    void carryOut(const batch::StartTask& effect);
    void carryOut(const batch::RenewWorker& effect);
    void carryOut(const batch::CheckpointTask& effect);
    void carryOut(const batch::ThrottleTask& effect);
    void carryOut(const batch::StopTask& effect);
    void carryOut(const batch::AcknowledgeTask& effect);
    void carryOut(const batch::PollWorker& effect);
    void carryOut(const batch::ReplySubmit& effect);
    void carryOut(const batch::OfferTransfer& effect);
    void carryOut(const batch::AcceptTransfer& effect);
    template <typename Effect> WorkerCallback<WorkerDone> taskCallback(const Effect& effect);

    void tick();
    void onInstances();
    void onPolicy();
    void answerPolls(bool isFinal);
    const WorkerAddress* addressOf(const base::WorkerId& worker) const;

    void onMemberEvent(const cluster::MemberEvent& event);
    void reportSilentOwners(base::TimePoint now, batch::Effects& effects);
    void reportUnreachable(const batch::ShardKey& key, const base::WorkerId& worker, batch::RequestId request);
    template <typename Effect> const WorkerAddress* addressOrFail(const Effect& effect);
    base::DataCentreId dataCentreOf(const batch::ShardKey& key) const;

    Runtime& m_runtime;
    StoreService* m_store = nullptr;
    MembershipService* m_membership = nullptr;
    ConfigurationService* m_configuration = nullptr;
    batch::Dispatcher m_dispatcher;
    std::unique_ptr<http::Client> m_client;
    std::unique_ptr<PlatformWorker> m_worker;
    std::map<base::WorkerId, WorkerAddress> m_addresses;
    std::map<batch::SubmitToken, Waiting> m_waiting;
    std::vector<Poll> m_polls;
    std::deque<batch::Effects> m_queue; // effects that wait while others are carried out
    bool m_isRunning = false;
    batch::SubmitToken m_nextToken = 1;
    bool m_isStopping = false;
    QTimer m_tickTimer;
    std::map<base::DaemonId, base::TimePoint> m_suspectedAt;
    std::set<base::DataCentreId> m_dataCentres; // of all workers ever listed
    std::unique_ptr<JobSearch> m_search;
};

void registerDispatcherService(Runtime& runtime);

} // namespace lacewing::daemon
