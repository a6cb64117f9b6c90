// Discrete-event model of entry instances, endpoints and links, which drives the real routing::Gateway on a virtual
// clock.
//
// Assumptions: the platform's balancer sends each request to a random live entry instance. A service time is 8 ms plus
// an exponential part of 12 ms mean, times a factor between 0.7 and 1.3 for the batch tasks beside the endpoint (drawn
// again every 2 s), times up to 1.25 when all slots of the endpoint are in use. Full load (100%) is what all slots
// serve when all are in use. Link delays are one way. Half of the requests are idempotent, one in ten is of class slow.
#pragma once

#include "routing/gateway.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lacewing::bench {

enum class Situation { Steady, SlowEndpoint, FailingEndpoints, Burst, EntryLost, DataCentreOut };
inline constexpr base::EnumNames<Situation, 6> situationNames { {
    { Situation::Steady, "steady" },
    { Situation::SlowEndpoint, "slowEndpoint" },
    { Situation::FailingEndpoints, "failing" },
    { Situation::Burst, "burst" },
    { Situation::EntryLost, "entryLost" },
    { Situation::DataCentreOut, "dataCentreOut" },
} };

// How the slots of an endpoint are shared (alternatives of design question Q3).
enum class Sharing { Loans, StaticSplit, SingleHome };
inline constexpr base::EnumNames<Sharing, 3> sharingNames { {
    { Sharing::Loans, "splitWithLoans" },
    { Sharing::StaticSplit, "staticSplit" },
    { Sharing::SingleHome, "singleHome" },
} };

struct Deployment {
    std::string name;
    int endpoints = 50;
    int dataCentres = 3;
    int entries = 8;
    std::int64_t distanceUs = 500; // between data centres, one way
    std::int64_t clientUs = 1000;  // between clients and entry instances, one way
    std::int64_t localUs = 100;    // inside a data centre, one way
    int slots = 8;                 // of each endpoint
};

struct ModelInput {
    Deployment deployment;
    Situation situation = Situation::Steady;
    routing::PolicyName policy = routing::PolicyName::LatencyAware;
    Sharing sharing = Sharing::Loans;
    routing::Limits limits;
    double load = 0.8;     // offered work as a share of all slots
    double clientSkew = 0; // extra share of requests that go to the first entry instance
    base::Duration warmUp = base::seconds(2);
    base::Duration duration = base::seconds(12); // with the warm-up
    std::uint64_t seed = 1;
};

struct ModelResult {
    double p50Ms = 0; // answered urgent requests, seen by the client
    double p99Ms = 0;
    double p999Ms = 0;
    double refusedShare = 0; // requests without an answer in time, of all classes
    double goodputShare = 0; // answers in time as a share of what all slots could serve
    double forwardedShare = 0;
    double hedgedShare = 0;
    double loansPerSecond = 0;
    double slowP99Ms = 0;       // answered requests of class slow
    int slotsInUseMax = 0;      // highest number of attempts in flight on one endpoint
    std::uint64_t requests = 0; // requests measured
};

ModelResult runModel(const ModelInput& input);

// Baselines choose without ejection; the project's policy ejects.
routing::Limits limitsFor(routing::PolicyName policy);

} // namespace lacewing::bench
