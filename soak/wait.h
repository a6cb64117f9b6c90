// Waits of the soak in its own event loop.
#pragma once

#include <functional>

namespace lacewing::soak {

// Runs the event loop until the condition holds; false when it does not hold after the time limit. Events that wait at
// the limit are handled first: where a handler has held up this process, what they report may be older than the limit.
bool waitUntil(const std::function<bool()>& condition, int limitMs);

} // namespace lacewing::soak
