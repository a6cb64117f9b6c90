// Rendezvous (highest random weight) hashing: agrees on an owner without coordination, and moves few keys when the
// candidates change.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace lacewing::base {

// 64-bit hash, equal on every platform.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

// Weight of a candidate for a key; the candidate with the highest weight owns the key.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

// Index of the owner among the candidates. candidates must not be empty. Equal weights: the smaller name wins.
std::size_t rendezvousOwner(std::string_view key, std::span<const std::string> candidates);

} // namespace lacewing::base
