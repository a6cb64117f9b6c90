// Rendezvous (highest random weight) hashing: processes agree on the owner of a key without coordination, and few keys
// move when the candidates change.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace lacewing::base {

// 64-bit hash with the same result on every platform.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

// Weight of a candidate for a key; the candidate with the highest weight owns the key.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

// Index of the owner among the candidates, which must not be empty. On equal weights the smaller name is the owner.
std::size_t rendezvousOwner(std::string_view key, std::span<const std::string> candidates);

} // namespace lacewing::base
