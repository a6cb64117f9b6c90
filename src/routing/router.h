// Choice of the endpoint for a request, ejection of outliers, and slow start.
//
// The router knows the endpoints that requests may be sent to and what this daemon saw of them. It does not know slots;
// the caller passes a SlotTable when only endpoints with a free slot may be chosen. An endpoint in state leaving never
// receives a new request, also not under the panic rule.
#pragma once

#include "base/ids.h"
#include "base/names.h"
#include "base/rng.h"
#include "base/time.h"
#include "routing/limits.h"
#include "routing/reasons.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace lacewing::routing {

struct SlotTable;

enum class PolicyName { Random, RoundRobin, LeastOutstanding, TwoChoices, LatencyAware };
inline constexpr base::EnumNames<PolicyName, 5> policyNames { {
    { PolicyName::Random, "random" },
    { PolicyName::RoundRobin, "roundRobin" },
    { PolicyName::LeastOutstanding, "leastOutstanding" },
    { PolicyName::TwoChoices, "twoChoices" },
    { PolicyName::LatencyAware, "latencyAware" },
} };

enum class EndpointStatus { Live, Leaving };
inline constexpr base::EnumNames<EndpointStatus, 2> endpointStatusNames { {
    { EndpointStatus::Live, "live" },
    { EndpointStatus::Leaving, "leaving" },
} };

// One entry of the platform's instance list, kind endpoint.
struct EndpointInfo {
    base::EndpointId id;
    base::DataCentreId dataCentre;
    std::string address; // IP address
    std::uint16_t port = 0;
    EndpointStatus status = EndpointStatus::Live;
    int slots = 8;                 // requests at the same time, summed over all daemons
    base::Duration distance { 0 }; // extra round trip to its data centre; 0 in the own one
};

struct EndpointState {
    EndpointInfo info;
    // --- Load ---
    int inFlight = 0;                    // attempts of this daemon
    std::vector<base::TimePoint> sentAt; // start of each attempt in flight, unordered
    // --- Estimates ---
    double serviceUs = 0; // estimate of the service time, us
    int samples = 0;      // samples in serviceUs since the endpoint was added or returned
    // --- Ejection ---
    int failuresInRow = 0;
    int ejectionsInRow = 0;
    bool isEjected = false;
    bool isSlow = false; // ejected for its latency only; it still serves as a last resort
    base::TimePoint ejectedUntil;
    base::TimePoint slowStartUntil; // end of slow start; the past when there is none
};

struct Router {
    RouterLimits limits;
    PolicyName policy = PolicyName::LatencyAware;
    std::vector<EndpointState> endpoints;                      // in the order of first appearance in the list
    std::unordered_map<base::EndpointId, std::size_t> indexes; // id to position in endpoints
    std::size_t nextRoundRobin = 0;
    std::size_t ejectedCount = 0;            // endpoints with isEjected
    std::size_t eligibleCount = 0;           // live endpoints that are neither ejected nor failed
    base::TimePoint nextReturnAt;            // earliest end of an ejection, when ejectedCount > 0
    double medianUs = 0;                     // median of the service estimates; 0 before it is known
    std::optional<base::TimePoint> medianAt; // time of the last computation of medianUs
    Counters* counters = nullptr;            // not owned, may be null
};

struct RequestView {
    const SlotTable* slots = nullptr;           // only endpoints with a usable slot; null: no limit
    bool mayUseSlow = false;                    // an endpoint ejected for its latency is better than waiting
    base::Duration timeLimit { 0 };             // time limit of the attempt, compared with the lease of lent slots
    std::span<const base::EndpointId> excluded; // endpoints tried before; chosen again only when no other is left
};

enum class OutcomeKind { Success, Failure, Cancelled };

// Replaces the list. Endpoints that are missing from it are dropped when nothing is in flight on them and are treated
// as leaving until then.
void onEndpointList(Router& router, std::span<const EndpointInfo> list, base::TimePoint now);

// Endpoint for the next attempt, or nothing when none may be used.
std::optional<base::EndpointId> chooseEndpoint(
    Router& router, const RequestView& request, base::TimePoint now, base::Rng& rng);

// Records that an attempt starts on the endpoint.
void onSent(Router& router, const base::EndpointId& endpoint, base::TimePoint now);

// Records the end of an attempt that was started at sentAt. Cancelled attempts count neither as success nor as failure.
void onOutcome(
    Router& router, const base::EndpointId& endpoint, base::TimePoint sentAt, OutcomeKind kind, base::TimePoint now);

// Returns endpoints whose ejection has ended. Called by chooseEndpoint; a caller without traffic may call it.
void updateEjections(Router& router, base::TimePoint now);

const EndpointState* findEndpoint(const Router& router, const base::EndpointId& endpoint);

} // namespace lacewing::routing
