// Service `admin`: the HTTP server of the daemon. It routes requests to the other services and serves status, metrics,
// service-level data, health and readiness. Paths and fields are documented in docs/http.md.
#pragma once

#include "daemon/runtime.h"
#include "http/server.h"

#include <functional>
#include <memory>

namespace lacewing::daemon {

class ConfigurationService;
class DispatcherService;
class GatewayService;
class MembershipService;
class StoreService;

class AdminService {
public:
    // `requestStop` begins the planned stop of the whole daemon.
    AdminService(Runtime& runtime, std::function<void()> requestStop);

    // Returns the cause of a failure, or an empty string.
    std::string start();
    void beginStop();
    bool isIdle() const;
    void stop();

private:
    void route(const http::Request& request, const http::Responder& responder);
    bool routeJobs(const http::Request& request, const http::Responder& responder);
    void handleStatus(const http::Responder& responder) const;
    void handleReady(const http::Responder& responder) const;
    void handleMetrics(const http::Responder& responder);
    void handleSlo(const http::Responder& responder) const;
    void handleLogLevel(const http::Request& request, const http::Responder& responder) const;
    void handleDrain(const http::Responder& responder);
    void updateGauges();

    Runtime& m_runtime;
    std::function<void()> m_requestStop;
    std::unique_ptr<http::Server> m_server;
    GatewayService* m_gateway = nullptr;
    DispatcherService* m_dispatcher = nullptr;
    ConfigurationService* m_configuration = nullptr;
    MembershipService* m_membership = nullptr;
    StoreService* m_store = nullptr;
    bool m_isStopping = false;
};

void registerAdminService(Runtime& runtime, std::function<void()> requestStop);

} // namespace lacewing::daemon
