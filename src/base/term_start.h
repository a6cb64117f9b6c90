// Begin of a leader's term, as the election records it and the scheduler uses it.
#pragma once

#include <cstdint>

namespace lacewing::base {

struct TermStart {
    std::int64_t token = 0;   // fencing token of the term
    std::int64_t clockMs = 0; // on the term clock (election/election.h)
};

} // namespace lacewing::base
