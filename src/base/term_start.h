// Begin of a leader's term, as the election records it and the scheduler uses it.
#pragma once

#include <cstdint>

namespace lacewing::base {

struct TermStart {
    std::int64_t token = 0;       // fencing token of the term
    std::int64_t formerEndMs = 0; // term clock (election/election.h) at which the term before had ended at the latest
};

} // namespace lacewing::base
