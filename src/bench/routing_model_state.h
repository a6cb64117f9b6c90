// State of the routing model and the functions shared by its parts. Not for other files than routing_model*.cpp.
#pragma once

#include "bench/routing_model.h"

#include <algorithm>
#include <deque>
#include <queue>
#include <tuple>

namespace lacewing::bench::routingModel {

using namespace routing;

inline constexpr double fixedServiceUs = 8000;
inline constexpr double randomServiceUs = 12000; // mean of the exponential part
inline constexpr std::int64_t failureUs = 500;   // time after which a failing endpoint answers 503
inline constexpr double neighbourSpread = 0.3; // batch tasks on the machine change the service time by up to this share
inline constexpr base::Duration neighbourInterval = base::seconds(2); // time between two changes of an endpoint
inline constexpr double contention = 0.25; // increase of the service time when all slots of an endpoint are in use
inline constexpr double slowFactor = 10;
inline constexpr double burstFactor = 4;
inline constexpr int burstEvery = 5; // one in this many endpoints suffers from the burst
inline constexpr int failingEvery = 10;
inline constexpr std::int64_t urgentDeadlineMs = 500;
inline constexpr std::int64_t slowDeadlineMs = 5000;
inline constexpr base::Duration digestInterval = base::seconds(2);
inline constexpr base::Duration heartbeatInterval = base::seconds(1);
inline constexpr base::Duration faultStart = base::seconds(4);
inline constexpr base::Duration burstEnd = base::seconds(6);
inline constexpr base::Duration balancerLag = base::seconds(1);   // until no request goes to a lost entry instance
inline constexpr base::Duration entryReplaced = base::seconds(9); // new process under the same name
inline constexpr base::Duration dataCentreBack = base::seconds(9);

enum class EventKind { Arrival, Offer, Result, Tick, Control, LoanAsk, LoanAnswer, LoanBack, ForwardReply };

struct Event {
    base::TimePoint at;
    std::uint64_t order = 0; // equal times: first scheduled first
    EventKind kind = EventKind::Arrival;
    int entry = 0;
    std::uint64_t a = 0;
    std::uint64_t b = 0;

    bool operator>(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
};

struct Request {
    base::TimePoint sentAt;
    RequestClass requestClass = RequestClass::Urgent;
    bool isIdempotent = false;
    bool isDone = false;
    bool isMeasured = false;
    // --- Forwarded requests: the attempt of the first daemon ---
    int parentEntry = -1;
    RequestId parent = 0;
    AttemptId parentAttempt = 0;
    std::int64_t deadlineMs = 0;
};

struct Attempt {
    RequestId request = 0;
    int endpoint = -1; // -1: forwarded
    bool isEnded = false;
    AttemptOutcome outcome;
};

struct LoanMessage {
    LoanRequest request;
    LoanReply reply;
    LoanReturn back;
    int from = 0;
};

struct Entry {
    Gateway gateway;
    int dataCentre = 0;
    bool isAlive = true;
    base::TimePoint tickAt = base::TimePoint::max();
    std::uint64_t incarnation = 1;
};

struct Model {
    explicit Model(const ModelInput& settings)
        : input(settings)
        , rng(settings.seed)
        , entries(static_cast<std::size_t>(settings.deployment.entries))
        , inUse(static_cast<std::size_t>(settings.deployment.endpoints), 0)
    {
    }

    const ModelInput& input;
    base::Rng rng;
    base::TimePoint now;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::uint64_t nextOrder = 0;
    std::deque<Entry> entries;
    std::vector<int> inUse;              // attempts in flight, by endpoint
    std::vector<Request> requests { 1 }; // by request id; 0 is unused
    std::vector<std::vector<Attempt>> attempts { entries.size(), std::vector<Attempt>(1) }; // by entry, attempt id
    std::vector<LoanMessage> loans;
    std::vector<std::uint64_t> versions; // slot record version by data centre
    bool isOut = false;                  // data centre 0 is out of service
    std::vector<double> urgentMs;
    std::vector<double> slowMs;
    std::uint64_t measured = 0;
    std::uint64_t refused = 0;
    std::uint64_t good = 0;
    int slotsInUseMax = 0;
};

inline base::DaemonId entryName(int index) { return { "entry" + std::to_string(index) }; }
inline base::DataCentreId dataCentreName(int index) { return { "dc" + std::to_string(index) }; }
inline base::EndpointId endpointName(int index) { return { "endpoint" + std::to_string(index) }; }
inline int numberOf(const std::string& name, std::size_t prefix) { return std::stoi(name.substr(prefix)); }
inline int numberOf(const base::DaemonId& daemon) { return numberOf(daemon.value, 5); }
inline int numberOf(const base::EndpointId& endpoint) { return numberOf(endpoint.value, 8); }

inline Entry& entryAt(Model& model, int index) { return model.entries[static_cast<std::size_t>(index)]; }

inline void schedule(
    Model& model, base::Duration delay, EventKind kind, int entry, std::uint64_t a = 0, std::uint64_t b = 0)
{
    model.events.push({ model.now + delay, model.nextOrder++, kind, entry, a, b });
}

inline base::Duration linkDelay(const Model& model, int firstCentre, int secondCentre)
{
    const Deployment& deployment = model.input.deployment;
    return base::Duration(firstCentre == secondCentre ? deployment.localUs : deployment.distanceUs);
}

inline int centreOfEndpoint(const Model& model, int endpoint) { return endpoint % model.input.deployment.dataCentres; }

// Gives the outcome of a request to its client; the first one counts.
void finish(Model& model, RequestId id, bool isAnswered);
void reply(Model& model, int entry, RequestId id, bool isAnswered, bool isExecutedNo);
void endAttempt(Model& model, int entry, AttemptId id, const AttemptOutcome& outcome);
// Carries out the effects of the gateway of an entry instance.
void carryOut(Model& model, int entry, const Effects& effects);
// Home instance of an endpoint, for Sharing::SingleHome.
int homeOf(const Model& model, const base::EndpointId& endpoint, int dataCentre);

} // namespace lacewing::bench::routingModel
