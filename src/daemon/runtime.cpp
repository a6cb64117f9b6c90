// Construction of the shared state.
#include "daemon/runtime.h"

#include <random>

namespace lacewing::daemon {

namespace {

    std::uint64_t randomSeed()
    {
        std::random_device device;
        return (static_cast<std::uint64_t>(device()) << 32) | device();
    }

} // namespace

Runtime::Runtime(Settings values)
    : settings(std::move(values))
    , incarnation(static_cast<std::uint64_t>(base::wallClockMs()))
    , startedAt(base::monotonicNow())
    , rng(randomSeed())
{
}

} // namespace lacewing::daemon
