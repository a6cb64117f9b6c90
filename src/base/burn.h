// Burn rates of service-level objectives (multi-window, multi-burn-rate rule).
//
// The error budget of an objective with target share T is 1 - T. A burn rate of 1 uses up the budget exactly over the
// budget period; a rate of B uses it up in 1/B of the period. A rule pages when the rate is above its threshold over a
// long and a short window: the long one shows that the loss is significant, the short one that it is still going on.
#pragma once

#include "base/metrics.h"
#include "base/names.h"

#include <QJsonObject>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lacewing::base {

enum class ObjectiveKind { Latency, Availability };

constexpr EnumNames<ObjectiveKind, 2> objectiveKindNames { {
    { ObjectiveKind::Latency, "latency" },
    { ObjectiveKind::Availability, "availability" },
} };

// Objective of one service. Latency: the share `target` of the answered requests ends within the threshold.
// Availability: the share `target` of all requests is answered.
struct Objective {
    std::string service;
    ObjectiveKind kind = ObjectiveKind::Availability;
    double target = 0.999;             // in (0, 1)
    std::optional<Duration> threshold; // Latency only
};

enum class Severity { None, Ticket, Page };

constexpr EnumNames<Severity, 3> severityNames { {
    { Severity::None, "none" },
    { Severity::Ticket, "ticket" },
    { Severity::Page, "page" },
} };

struct BurnRule {
    Window longWindow;
    Window shortWindow;
    double threshold; // burn rate
    Severity severity;
};

// For a budget period of 30 days: 14.4 over one hour uses 2% of the budget, 6 over six hours 5%, 1 over three days 10%.
constexpr std::array<BurnRule, 3> burnRules { {
    { Window::OneHour, Window::FiveMinutes, 14.4, Severity::Page },
    { Window::SixHours, Window::FiveMinutes, 6.0, Severity::Page },
    { Window::ThreeDays, Window::SixHours, 1.0, Severity::Ticket },
} };

// Fewer counted requests than this in the long window raise no alert: at low traffic, one failure in three is no trend.
constexpr std::uint64_t minimumAlertRequests = 20;

// Share of bad requests divided by the allowed share; 0 without requests.
double burnRate(const Objective& objective, const SloCounts& counts);

struct WindowBurn {
    Window window = Window::FiveMinutes;
    SloCounts counts;
    double rate = 0;
};

struct ObjectiveBurn {
    Objective objective;
    std::array<WindowBurn, windowCount> windows;
    double budgetUsedShare = 0; // bad requests of the longest window divided by those allowed in it; above 1: exceeded
    Severity severity = Severity::None;
    std::optional<BurnRule> firedRule;
};

// Window sums of one series of one daemon, as in GET /v1/slo.
struct SloSample {
    std::string daemon;
    std::string dataCentre; // of the daemon
    SloKey key;
    std::array<SloCounts, windowCount> windows;
    LatencyHistogram latency;
};

ObjectiveBurn evaluate(const Objective& objective, const std::array<SloCounts, windowCount>& windows);

// Requests that an objective covers, and those of them that violate it.
struct ObjectiveCounts {
    std::uint64_t counted = 0;
    std::uint64_t bad = 0;
};
ObjectiveCounts objectiveCounts(const Objective& objective, const SloCounts& counts);

// An endpoint or data centre that consumes the error budget, with its share of the bad requests of the objective.
struct Contributor {
    std::string name;
    SloCounts counts; // one hour
    double rate = 0;
    double shareOfBad = 0; // of all bad requests of the objective in that hour
};

enum class ContributorKind { Endpoint, DataCentre };

// Contributors with bad requests in the last hour, largest share first, at most `limit`.
std::vector<Contributor> topContributors(
    const Objective& objective, const std::vector<SloSample>& samples, ContributorKind kind, std::size_t limit);

// One response of GET /v1/slo; the JSON shape is documented in docs/slo.md.
struct SloResponse {
    std::string daemon;
    std::string dataCentre;
    std::int64_t timeMs = 0; // milliseconds since the Unix epoch
    Duration upTime {};      // windows longer than this are only partly filled
    std::vector<Objective> objectives;
    std::vector<SloSample> samples;
    std::map<std::string, std::array<std::vector<SloCounts>, windowCount>>
        buckets; // by service, oldest first, for plots
};

QJsonObject toJson(const SloResponse& response);
std::optional<SloResponse> sloResponseFromJson(const QJsonObject& json, std::string& error);

// The response of this process.
SloResponse sloResponse(const Metrics& metrics, std::string daemon, std::string dataCentre,
    std::vector<Objective> objectives, TimePoint started, TimePoint now, std::int64_t wallClockMs);

} // namespace lacewing::base
