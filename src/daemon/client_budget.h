// The budget for clients in the daemon: its limits from the settings, return of freed memory, log line and metrics.
//
// Which holder is refused or closed is decided in http/budget.h.
#pragma once

#include "base/metrics.h"
#include "daemon/settings.h"
#include "http/server.h"

#include <QTimer>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace lacewing::daemon {

struct Runtime;

// Servers by the name of their listener; null before the start and after the end of one.
using ListenerServers = std::vector<std::pair<const char*, const http::Server*>>;

// The descriptors are bounded by the limit that the operating system has set for this process, too.
std::shared_ptr<http::Budget> makeClientBudget(const ProcessLimits& limits);

// Limits of a server that shares the budget: the number of connections is left to the budget.
http::ServerLimits clientServerLimits(const http::Budget& budget);

void exportClientBudget(base::Metrics& metrics, const http::Budget& budget, const ListenerServers& servers);

// Checks once a second whether memory is to be returned and whether clients were refused.
class ClientBudgetWatch {
public:
    void start(Runtime& runtime, std::function<ListenerServers()> servers);
    void stop() { m_timer.stop(); }

private:
    void check(http::Budget& budget, const ListenerServers& servers);

    QTimer m_timer;
    std::uint64_t m_loggedRefusals = 0; // refusals for the budget and connections closed for it, at the last line
};

} // namespace lacewing::daemon
