// Seeded random numbers with the same sequence on every platform.
//
// The standard distributions differ between library versions. The functions below do not, so that a printed seed
// reproduces a failing schedule.
#pragma once

#include <cmath>
#include <cstdint>
#include <random>

namespace lacewing::base {

__extension__ using Uint128 = unsigned __int128;

struct Rng {
    explicit Rng(std::uint64_t seed)
        : engine(seed)
    {
    }

    std::mt19937_64 engine;
};

// Uniform in [0, 1).
inline double uniform(Rng& rng) { return static_cast<double>(rng.engine() >> 11) * 0x1.0p-53; }

// Uniform in [0, bound). bound must be greater than 0.
inline std::uint64_t below(Rng& rng, std::uint64_t bound)
{
    return static_cast<std::uint64_t>((static_cast<Uint128>(rng.engine()) * bound) >> 64);
}

// True with the given probability.
inline bool chance(Rng& rng, double probability) { return uniform(rng) < probability; }

// Exponential distribution with the given mean.
inline double exponential(Rng& rng, double mean) { return -mean * std::log1p(-uniform(rng)); }

} // namespace lacewing::base
