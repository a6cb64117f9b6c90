// Waits of the soak in its own event loop, and for ends of processes.
#pragma once

#include <cstdint>
#include <functional>

namespace lacewing::soak {

// Runs the event loop until the condition holds; false when it does not hold after the time limit. Events that wait at
// the limit are handled first: where a handler has held up this process, what they report may be older than the limit.
bool waitUntil(const std::function<bool()>& condition, int limitMs);

// The child has exited; true before the kernel has released it, which may take seconds while hundreds of processes map
// the same libraries. False for a process that does not exist.
bool hasExited(std::int64_t pid);

} // namespace lacewing::soak
