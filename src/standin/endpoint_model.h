// An endpoint as a plain state machine: what it does with a request, and counts of requests, connections and maxima.
#pragma once

#include "base/names.h"

#include <cstdint>
#include <map>
#include <string>

namespace lacewing::standin {

enum class EndpointMode {
    Normal,            // answers after the service time
    Fail,              // runs the request and answers with failStatus
    Refuse,            // answers 503 with `Lacewing-Executed: no`, without running the request
    CloseAfterReading, // runs the request and closes the connection without an answer
    Truncate,          // runs the request and cuts the answer in the middle
    Stall,             // runs the request and sends half of the answer, then nothing
};

constexpr base::EnumNames<EndpointMode, 6> endpointModeNames { {
    { EndpointMode::Normal, "normal" },
    { EndpointMode::Fail, "fail" },
    { EndpointMode::Refuse, "refuse" },
    { EndpointMode::CloseAfterReading, "closeAfterReading" },
    { EndpointMode::Truncate, "truncate" },
    { EndpointMode::Stall, "stall" },
} };

struct EndpointModel {
    // --- Identity and limits ---
    std::string id;
    std::string dataCentre;
    std::string rack;
    std::string service; // empty: any
    int slots = 8;
    int connectionLimit = 64;

    // --- Behaviour ---
    EndpointMode mode = EndpointMode::Normal;
    int serviceMs = 5; // service time
    int extraMs = 0;   // added to the service time: a slow endpoint
    int failStatus = 500;

    // --- Counts ---
    int inProgress = 0;
    int maxInProgress = 0; // above `slots` violates I11
    int connections = 0;
    int maxConnections = 0; // above `connectionLimit` violates I11
    std::uint64_t requests = 0;
    std::uint64_t executed = 0;
    std::map<std::string, int> executions; // by header Lacewing-Request-Id; above 1 violates I7
};

inline void onConnectionOpened(EndpointModel& endpoint)
{
    if (++endpoint.connections > endpoint.maxConnections)
        endpoint.maxConnections = endpoint.connections;
}

inline void onConnectionClosed(EndpointModel& endpoint) { --endpoint.connections; }

// A complete request has arrived. `requestId` may be empty. Returns true when the request is run.
inline bool onRequest(EndpointModel& endpoint, const std::string& requestId)
{
    ++endpoint.requests;
    if (++endpoint.inProgress > endpoint.maxInProgress)
        endpoint.maxInProgress = endpoint.inProgress;
    if (endpoint.mode == EndpointMode::Refuse)
        return false;
    ++endpoint.executed;
    if (!requestId.empty())
        ++endpoint.executions[requestId];
    return true;
}

inline void onRequestDone(EndpointModel& endpoint) { --endpoint.inProgress; }

} // namespace lacewing::standin
