// Every limit of the routing module, with its unit and default. The names equal the keys of the operators' files.
#pragma once

#include <cstdint>

namespace lacewing::routing {

struct RouterLimits {
    // --- Choice ---
    int sampleCount = 8;                   // endpoints compared for one choice by latencyAware
    double estimateWeight = 0.05;          // weight of a new sample in the service time estimate, 0..1
    std::int64_t initialEstimateUs = 5000; // service time assumed before the first sample, us
    // --- Ejection ---
    int failuresToEject = 5;           // consecutive failures
    double latencyFactorToEject = 3.0; // estimate compared with the median of the pool
    int samplesToEject = 10;           // samples needed before latency counts as evidence
    double lastResortWait = 1.0; // predicted wait, in median service times, above which slow ejected endpoints are used
    std::int64_t ejectionMs = 10000;     // first ejection, ms; each further one in a row lasts that much longer
    std::int64_t ejectionMaxMs = 300000; // longest ejection, ms
    double ejectedShareMax = 0.30;       // share of the pool that may be ejected
    double panicShare = 0.50;            // below this eligible share of the listed endpoints ejection is ignored
    std::int64_t slowStartMs = 10000;    // slow start after an endpoint returns, ms
};

struct SlotLimits {
    int slotsPerEndpoint = 8;              // used when the instance list gives none; at most 64
    std::int64_t isolationMs = 120000;     // without evidence for this time a member stops using its slots, ms
    std::int64_t silenceMs = 10000;        // a member unheard for this time may be proposed for removal, ms
    std::int64_t longestRequestMs = 30000; // upper bound of one attempt on an endpoint, ms
    std::int64_t loanLeaseMs = 2000;       // lease of a lent slot, ms
    std::int64_t loanRetryMs = 20;         // pause between two loan requests of one daemon, ms
    int loanReserve = 1;                   // free slots of an endpoint that its owner keeps
    std::int64_t proposalPauseMs = 1000;   // pause between two writes of the record by one daemon, ms
    double lendLoadMax = 0.85;             // nothing is lent above this share of the usable slots in use
    int loanMaxSlots = 2;                  // slots lent by one reply
};

struct QueueLimits {
    int urgentMax = 256; // waiting urgent requests
    int slowMax = 256;   // waiting slow requests
    int slowEvery = 8;   // at least one of this many dispatches goes to a waiting slow request
};

struct RequestLimits {
    std::int64_t urgentDeadlineMs = 2000; // deadline of an urgent request that gives none, ms
    std::int64_t slowDeadlineMs = 30000;  // deadline of a slow request that gives none, ms
    std::int64_t deadlineMaxMs = 30000;   // longer deadlines are shortened, ms; at most SlotLimits::longestRequestMs
    int attemptsMax = 3;                  // attempts of one request, hedges included
    double retryShare = 0.10;             // retries as a share of requests
    double hedgeShare = 0.05;             // hedges as a share of requests
    double budgetBurst = 20.0;            // unused retries or hedges that may be kept
    int hedgeSamplesMin = 100;            // latency samples needed before the p95 estimate is used
    double hedgeLoadMax = 0.85;           // no hedges above this share of the usable slots in use
    int hopsMax = 1;                      // forwards between daemons
    double forwardsMax = 64;              // forwards in flight to one peer
    std::int64_t forwardMarginMs = 2;     // time kept back from a forwarded request's deadline, ms
};

struct Limits {
    RouterLimits router;
    SlotLimits slots;
    QueueLimits queue;
    RequestLimits request;
};

} // namespace lacewing::routing
