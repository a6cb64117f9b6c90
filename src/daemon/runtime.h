// State shared by all services of one daemon process: settings, identity, metrics, the store client, and the kernel in
// which services find each other by name.
#pragma once

#include "base/metrics.h"
#include "base/time.h"
#include "daemon/settings.h"
#include "daemon/work_budget.h"
#include "kernel/kernel.h"
#include "platform/store.h"
#include "scheduler/types.h"

#include <functional>
#include <memory>
#include <optional>

namespace lacewing::http {
struct Budget;
}

namespace lacewing::daemon {

struct Runtime {
    explicit Runtime(Settings values);

    Settings settings;
    const std::int64_t incarnation; // ms since the Unix epoch at start; increases with each start under the same name
    base::Metrics metrics;
    kernel::Kernel kernel;
    std::shared_ptr<http::Budget> clientBudget; // of all HTTP servers
    WorkBudget work;                            // of accepted jobs
    std::unique_ptr<platform::Store> store;
    platform::Store::Subscription storeReachability; // logs its changes
    http::ChannelCounters peerTraffic;               // answers to other daemons; bytes only
    // Latency objective in force for a service, by which GET /v1/slo counts requests as fast.
    std::function<std::optional<base::Duration>(const std::string& service)> latencyObjective;
    bool isStopping = false;
};

// Milliseconds of the boot-time clock.
scheduler::Millis nowMs();

// False before the first answer of the store, and after it has been failing for some time.
bool isStoreReachable(const Runtime& runtime);

// Names under which the services publish themselves.
namespace serviceNames {
    inline const std::string configuration = "configuration";
    inline const std::string policy = "policy";
    inline const std::string jobTable = "jobTable";
    inline const std::string term = "term";
    inline const std::string dispatcher = "dispatcher";
    inline const std::string sync = "sync";
    inline const std::string gateway = "gateway";
    inline const std::string admin = "admin";
} // namespace serviceNames

// Longest record that is written: the store's limit of a value less its text encoding.
constexpr qsizetype maxRecordBytes = 700000;

// Keys of the project in the store.
namespace storeKeys {
    inline const std::string term = "lacewing/term";
    inline const std::string workers = "lacewing/workers";               // workers known to the term, for the next one
    inline const std::string leases = "lacewing/leases";                 // lease table (scheduler/lease_table.h)
    inline const std::string placements = "lacewing/placements";         // of a term that ended by resignation
    inline const std::string openStarts = "lacewing/openStarts";         // unanswered starts (scheduler/open_start.h)
    inline const std::string root = "lacewing/";                         // prefix of the keys declared in src/config
    inline const std::string policy = "lacewing/config/current";         // the policy
    inline const std::string policyHistory = "lacewing/config/history/"; // one entry for each revision
    inline const std::string interference = "lacewing/interference";     // observed interference between images
    inline const std::string acceptedPrefix = "lacewing/in/";   // accepted jobs by id, and requests to cancel them
    inline const std::string cancelSuffix = "/cancel";          // after the key of an accepted job
    inline const std::string progressPrefix = "lacewing/jobs/"; // progress by id, written by the scheduling daemon
} // namespace storeKeys

} // namespace lacewing::daemon
