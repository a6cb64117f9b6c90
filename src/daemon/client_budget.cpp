// Limits, periodic check, log line and metrics of the budget for clients.
#include "daemon/client_budget.h"

#include "daemon/runtime.h"
#include "kernel/log.h"

#include <algorithm>
#include <malloc.h>
#include <sys/resource.h>

namespace lacewing::daemon {

namespace {

    constexpr int checkPeriodMs = 1000;

    // Causes that mean that the budget or a number of connections was exhausted.
    constexpr http::Refusal budgetCauses[]
        = { http::Refusal::OverBudget, http::Refusal::ClosedForBudget, http::Refusal::TooManyConnections };

    std::uint64_t refusals(const ListenerServers& servers, http::Refusal cause)
    {
        std::uint64_t sum = 0;
        for (const auto& [name, server] : servers)
            sum += server ? server->counters().refusals[static_cast<std::size_t>(cause)] : 0;
        return sum;
    }

} // namespace

std::shared_ptr<http::Budget> makeClientBudget(const ProcessLimits& limits)
{
    rlimit system {};
    int descriptors = limits.descriptors;
    if (::getrlimit(RLIMIT_NOFILE, &system) == 0 && system.rlim_cur < static_cast<rlim_t>(descriptors))
        descriptors = static_cast<int>(system.rlim_cur);
    auto budget = std::make_shared<http::Budget>();
    budget->limits = http::budgetLimits(limits.memoryMb, limits.clientShare, descriptors);
    return budget;
}

http::ServerLimits clientServerLimits(const http::Budget& budget)
{
    http::ServerLimits limits;
    limits.pathBodyLimits.clear();
    limits.connections = static_cast<int>(budget.limits.connections);
    return limits;
}

void exportClientBudget(base::Metrics& metrics, const http::Budget& budget, const ListenerServers& servers)
{
    const auto gauge = [&metrics](const char* name, const char* help, const char* kind, double value) {
        metrics.gauge(name, help, { { "kind", kind } }).value = value;
    };
    const char* bytesHelp = "Memory that clients make this process hold, and its limit.";
    gauge("lacewing_client_budget_bytes", bytesHelp, "used", static_cast<double>(budget.usedBytes));
    gauge("lacewing_client_budget_bytes", bytesHelp, "limit", static_cast<double>(budget.limits.bytes));
    const char* connectionsHelp = "Connections of clients, their limit, and those that are being closed.";
    gauge("lacewing_client_connections", connectionsHelp, "open", static_cast<double>(openConnections(budget)));
    gauge("lacewing_client_connections", connectionsHelp, "limit", static_cast<double>(budget.limits.connections));
    gauge("lacewing_client_connections", connectionsHelp, "closing", static_cast<double>(budget.closing));
    for (const auto& [name, server] : servers) {
        if (!server)
            continue;
        for (const auto& [cause, causeName] : http::refusalNames) {
            metrics
                .counter("lacewing_http_refusals_total",
                    "Requests refused before they were handled and connections closed, by listener and cause.",
                    { { "listener", name }, { "code", std::string(causeName) } })
                .value
                = server->counters().refusals[static_cast<std::size_t>(cause)];
        }
    }
}

void ClientBudgetWatch::start(Runtime& runtime, std::function<ListenerServers()> servers)
{
    QObject::connect(&m_timer, &QTimer::timeout, &m_timer,
        [this, &runtime, servers = std::move(servers)] { check(*runtime.clientBudget, servers()); });
    m_timer.start(checkPeriodMs);
}

void ClientBudgetWatch::check(http::Budget& budget, const ListenerServers& servers)
{
    if (takeTrim(budget, base::monotonicNow()))
        ::malloc_trim(0);
    std::uint64_t count = 0;
    for (const http::Refusal cause : budgetCauses)
        count += refusals(servers, cause);
    if (count == m_loggedRefusals)
        return;
    kernel::logEvent(kernel::LogLevel::Warning, "http", "clientsRefused",
        { { "sinceLastLine", static_cast<std::int64_t>(count - m_loggedRefusals) },
            { "overBudget", static_cast<std::int64_t>(refusals(servers, http::Refusal::OverBudget)) },
            { "closedForBudget", static_cast<std::int64_t>(refusals(servers, http::Refusal::ClosedForBudget)) },
            { "tooManyConnections", static_cast<std::int64_t>(refusals(servers, http::Refusal::TooManyConnections)) },
            { "usedBytes", budget.usedBytes }, { "limitBytes", budget.limits.bytes },
            { "openConnections", static_cast<std::int64_t>(openConnections(budget)) } });
    m_loggedRefusals = count;
}

} // namespace lacewing::daemon
