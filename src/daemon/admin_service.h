// Readiness probe of the load balancer and HTTP interface for operators: status, jobs, policy, metrics (docs/http.md).
#pragma once

#include "daemon/client_budget.h"
#include "daemon/runtime.h"
#include "http/server.h"
#include "scheduler/scheduler.h"

#include <QJsonArray>
#include <QJsonObject>
#include <QObject>
#include <functional>
#include <memory>
#include <string>

namespace lacewing::daemon {

class ConfigurationService;
class DispatcherService;
class GatewayService;
class PolicyService;
class TermService;
struct JobTable;

class AdminService : public QObject {
public:
    AdminService(Runtime& runtime, std::function<void()> beginDrain);

    std::string start();
    void stop();

private:
    bool isReady() const;
    ListenerServers servers() const;
    void handle(const http::Request& request, const http::Responder& responder);
    http::Response status() const;
    QJsonArray members() const;
    QJsonArray workers(const scheduler::Scheduler& scheduler) const;
    QJsonObject term(const scheduler::Scheduler& scheduler) const;
    static http::Response setLogLevel(const QByteArray& body);
    http::Response jobList(const http::Request& request) const;
    http::Response jobDetails(const std::string& id) const;
    http::Response metrics() const;
    http::Response accounts() const;
    http::Response slo() const;

    Runtime& m_runtime;
    std::function<void()> m_beginDrain;
    ConfigurationService* m_configuration = nullptr;
    DispatcherService* m_dispatcher = nullptr;
    PolicyService* m_policy = nullptr;
    TermService* m_term = nullptr;
    GatewayService* m_gateway = nullptr;
    JobTable* m_table = nullptr;
    std::unique_ptr<http::Server> m_readinessServer;
    std::unique_ptr<http::Server> m_adminServer;
    ClientBudgetWatch m_budgetWatch;
    const base::TimePoint m_startedAt = base::monotonicNow();
    bool m_wasReady = false;
};

void registerAdminService(Runtime& runtime, std::function<void()> beginDrain);

} // namespace lacewing::daemon
