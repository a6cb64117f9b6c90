// Typed policy: the operators' merged configuration as C++ structs.
//
// The schema tables in policy_schema.cpp give the range, unit, default and meaning of every key; docs/configuration.md
// lists them. The defaults of the structs below equal the schema's defaults (a test compares them).
#pragma once

#include "base/ids.h"
#include "base/names.h"
#include "base/result.h"
#include "base/schema.h"
#include "base/time.h"
#include "config/error.h"
#include "config/merge.h"

#include <QJsonObject>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lacewing::config {

enum class DataCentreState { In, Out };
enum class Idempotency { ByMethod, Always, Never };
enum class RoutingPolicyName { Random, RoundRobin, LeastOutstanding, TwoChoices, LatencyAware };

inline constexpr base::EnumNames<DataCentreState, 2> dataCentreStateNames { {
    { DataCentreState::In, "in" },
    { DataCentreState::Out, "out" },
} };

inline constexpr base::EnumNames<Idempotency, 3> idempotencyNames { {
    { Idempotency::ByMethod, "byMethod" },
    { Idempotency::Always, "always" },
    { Idempotency::Never, "never" },
} };

inline constexpr base::EnumNames<RoutingPolicyName, 5> routingPolicyNames { {
    { RoutingPolicyName::Random, "random" },
    { RoutingPolicyName::RoundRobin, "roundRobin" },
    { RoutingPolicyName::LeastOutstanding, "leastOutstanding" },
    { RoutingPolicyName::TwoChoices, "twoChoices" },
    { RoutingPolicyName::LatencyAware, "latencyAware" },
} };

struct DataCentrePolicy {
    DataCentreState state = DataCentreState::In;
    double weight = 1.0; // relative share of new work, 0..100

    bool operator==(const DataCentrePolicy&) const = default;
};

struct ServiceObjectives {
    base::Duration latencyThreshold = base::milliseconds(500);
    double latencyTarget = 0.99;       // share of requests answered within latencyThreshold
    double availabilityTarget = 0.999; // share of requests answered without a server error

    bool operator==(const ServiceObjectives&) const = default;
};

// Selects the endpoints of a service. An empty member matches every endpoint; an endpoint must match all members.
struct EndpointSelector {
    std::string idPrefix;
    std::vector<std::string> ids;
    std::vector<base::DataCentreId> dataCentres;

    bool operator==(const EndpointSelector&) const = default;
};

struct ServicePolicy {
    Idempotency idempotency = Idempotency::ByMethod;
    // --- Limits ---
    base::Duration deadline = base::seconds(2);     // of a request that gives none
    base::Duration maxDeadline = base::seconds(30); // upper bound of Lacewing-Deadline-Ms
    int urgentQueueLength = 64;                     // urgent requests waiting at one daemon
    int slowQueueLength = 256;                      // slow requests waiting at one daemon
    std::int64_t bodyBytes = 8'000'000;             // longest request body
    // --- Objectives ---
    ServiceObjectives objectives;
    EndpointSelector endpoints;

    bool operator==(const ServicePolicy&) const = default;
};

struct TeamPolicy {
    // --- Quota: upper bounds of the resources in use at the same time; -1: no bound ---
    std::int64_t cpuMilli = -1;
    std::int64_t memoryMb = -1;
    std::int64_t accelerators = -1;
    int waitingJobs = 10'000; // jobs accepted and not yet started
    // --- Fair share ---
    double share = 1.0; // relative to the other teams

    bool operator==(const TeamPolicy&) const = default;
};

struct RoutingPolicy {
    RoutingPolicyName policy = RoutingPolicyName::LatencyAware;
    int samples = 4; // endpoints compared for each request by LatencyAware
    // --- Ejection ---
    int consecutiveFailures = 5;                 // consecutive failures that eject an endpoint
    double latencyFactor = 5.0;                  // ejects an endpoint above this multiple of the pool's median latency
    base::Duration ejection = base::seconds(30); // duration of the first ejection; doubles with each further one
    base::Duration maxEjection = base::seconds(300);
    double maxEjectedShare = 0.30; // largest ejected share of one pool
    double panicShare = 0.50;      // if the eligible share of a pool is lower, ejection is ignored
    base::Duration slowStart = base::seconds(10);
    // --- Extra requests ---
    double retryBudget = 0.10; // retries as a share of requests
    double hedgeBudget = 0.05; // hedges as a share of requests

    bool operator==(const RoutingPolicy&) const = default;
};

struct BatchPolicy {
    // --- Pressure response ---
    double pressureEnter = 0.85;
    double pressureLeave = 0.70;
    base::Duration pressureHold = base::seconds(30);
    // --- Admission and eviction ---
    double urgentHeadroom = 0.10;                  // share of each data centre kept free for urgent tasks
    int evictionsPerMinute = 60;                   // in one shard
    base::Duration minimumRun = base::seconds(60); // a task that ran for less is evicted last
    base::Duration checkpointInterval = base::seconds(300);
    // --- Faulty workers and jobs ---
    int quarantineJobs = 3;                         // failures of different jobs that quarantine a worker
    base::Duration quarantine = base::seconds(300); // time until the worker is probed
    int failedWorkers = 3;                          // different workers after which a job is marked failed
    int attempts = 20;                              // starts of one job, evictions not counted

    bool operator==(const BatchPolicy&) const = default;
};

struct Policy {
    std::map<base::DataCentreId, DataCentrePolicy> dataCentres;
    std::map<base::ServiceId, ServicePolicy> services;
    std::map<base::TeamId, TeamPolicy> teams;
    RoutingPolicy routing;
    BatchPolicy batch;

    bool operator==(const Policy&) const = default;
};

// Schema of the merged configuration.
base::Schema policySchema();

// Unknown keys are refused in a proposal and ignored in an accepted revision, because a daemon of a newer version may
// have accepted keys that this version does not know.
enum class UnknownKeys { Refuse, Ignore };

// Checks the merged object against the schema and the rules between its sections, and returns all errors. `locate`
// gives the file and line for error messages; without it they contain paths only.
base::Result<Policy, ConfigErrors> parsePolicy(
    const QJsonObject& merged, const base::Locator& locate = {}, UnknownKeys unknownKeys = UnknownKeys::Refuse);

// Runs mergeFiles, then parsePolicy. `config check` and the daemon check proposals with it.
base::Result<Policy, ConfigErrors> parseFiles(const Files& files, UnknownKeys unknownKeys = UnknownKeys::Refuse);

// Warns about valid settings that are rarely intended: all data centres out, or all data centres of a service out.
std::vector<std::string> warnings(const Policy& policy);

// Settings of one data centre, service or team. A name that is not in the configuration has the default settings.
DataCentrePolicy dataCentrePolicy(const Policy& policy, const base::DataCentreId& id);
ServicePolicy servicePolicy(const Policy& policy, const base::ServiceId& id);
TeamPolicy teamPolicy(const Policy& policy, const base::TeamId& id);
bool isOut(const Policy& policy, const base::DataCentreId& id);

// True when the endpoint belongs to the service.
bool selects(const EndpointSelector& selector, const base::EndpointId& endpoint, const base::DataCentreId& dataCentre);

// Builds a policy in code, for tests and the bench. `build` checks the same rules as parsePolicy.
class PolicyBuilder {
public:
    PolicyBuilder& dataCentre(std::string name, DataCentreState state = DataCentreState::In, double weight = 1.0);
    PolicyBuilder& service(std::string name, ServicePolicy service = {});
    PolicyBuilder& team(std::string name, TeamPolicy team = {});
    PolicyBuilder& routing(RoutingPolicy routing);
    PolicyBuilder& batch(BatchPolicy batch);
    base::Result<Policy, ConfigErrors> build() const;

private:
    Policy m_policy;
};

// The policy in the form of a merged configuration. parsePolicy(toJson(policy)) returns an equal policy.
QJsonObject toJson(const Policy& policy);

} // namespace lacewing::config
