// Stable hashes on top of xxHash.
#include "base/hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace lacewing::base {

std::uint64_t stableHash(std::string_view text, std::uint64_t seed) { return XXH64(text.data(), text.size(), seed); }

std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate)
{
    return stableHash(candidate, stableHash(key));
}

std::size_t rendezvousOwner(std::string_view key, std::span<const std::string> candidates)
{
    std::size_t best = 0;
    std::uint64_t bestWeight = rendezvousWeight(key, candidates[0]);
    for (std::size_t index = 1; index < candidates.size(); ++index) {
        const std::uint64_t weight = rendezvousWeight(key, candidates[index]);
        const bool isSmallerName = weight == bestWeight && candidates[index] < candidates[best];
        if (weight > bestWeight || isSmallerName) {
            best = index;
            bestWeight = weight;
        }
    }
    return best;
}

} // namespace lacewing::base
