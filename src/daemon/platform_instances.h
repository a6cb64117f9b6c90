// Client of the platform's instance list (design section 4). The list lags and can be wrong in both directions; this
// adapter only checks its form.
#pragma once

#include "base/ids.h"
#include "base/names.h"
#include "base/result.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lacewing::http {
class Client;
}

namespace lacewing::daemon {

enum class InstanceKind { Worker, Entry, Endpoint };
enum class InstanceState { Live, Leaving };

constexpr base::EnumNames<InstanceKind, 3> instanceKindNames { {
    { InstanceKind::Worker, "worker" },
    { InstanceKind::Entry, "entry" },
    { InstanceKind::Endpoint, "endpoint" },
} };
constexpr base::EnumNames<InstanceState, 2> instanceStateNames { {
    { InstanceState::Live, "live" },
    { InstanceState::Leaving, "leaving" },
} };

struct InstanceEntry {
    base::InstanceId id;
    InstanceKind kind = InstanceKind::Endpoint;
    base::DataCentreId dataCentre;
    std::string rack;
    std::string address; // IP address
    std::uint16_t port = 0;
    InstanceState state = InstanceState::Live;
    int slots = 0;       // endpoints: requests at the same time
    int connections = 0; // endpoints: open connections
    std::string service; // endpoints: service that it serves; empty means any
};

enum class InstancesErrorCode { Unreachable, Refused, BadAnswer };

constexpr base::EnumNames<InstancesErrorCode, 3> instancesErrorNames { {
    { InstancesErrorCode::Unreachable, "unreachable" },
    { InstancesErrorCode::Refused, "refused" },
    { InstancesErrorCode::BadAnswer, "badAnswer" },
} };

struct InstancesError {
    InstancesErrorCode code = InstancesErrorCode::Unreachable;
    std::string detail;
};

using InstancesCallback = std::function<void(base::Result<std::vector<InstanceEntry>, InstancesError>)>;

// Callbacks run from the event loop, exactly once, unless the http::Client is destroyed first.
class PlatformInstances {
public:
    // baseUrl: "http://ADDRESS:PORT"
    PlatformInstances(http::Client& client, std::string baseUrl, int timeoutMs = 2000);

    void read(const InstancesCallback& callback);

private:
    http::Client& m_client;
    std::string m_baseUrl;
    int m_timeoutMs;
};

} // namespace lacewing::daemon
