// What all services of one daemon process share: settings, identity, random numbers, metrics and the kernel in which
// services find each other by name.
#pragma once

#include "base/metrics.h"
#include "base/rng.h"
#include "base/time.h"
#include "daemon/settings.h"
#include "kernel/kernel.h"

namespace lacewing::daemon {

struct Runtime {
    explicit Runtime(Settings values);

    const Settings settings;
    const std::uint64_t incarnation; // ms since the Unix epoch at start; rises with each start under the same name
    const base::TimePoint startedAt;
    base::Rng rng; // seeded from the system's random device
    base::Metrics metrics;
    kernel::Kernel kernel;
};

// Names under which the services publish themselves.
namespace serviceNames {
    inline const std::string store = "store";
    inline const std::string membership = "membership";
    inline const std::string configuration = "configuration";
    inline const std::string gateway = "gateway";
    inline const std::string dispatcher = "dispatcher";
    inline const std::string admin = "admin";
} // namespace serviceNames

} // namespace lacewing::daemon
