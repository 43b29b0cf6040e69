#pragma once

#include <array>
#include <cstdint>
#include <random>
#include <string>

namespace Pollenwind {

using Random = std::mt19937_64;

/// A number from 0 to `bound` - 1. Unlike the library's distributions it is the same with each implementation.
inline std::uint64_t below(Random& random, std::uint64_t bound) { return random() % bound; }
inline bool isOneIn(Random& random, std::uint64_t bound) { return below(random, bound) == 0; }
template <typename T, std::size_t size> T oneOf(Random& random, const std::array<T, size>& values)
{
    return values[below(random, size)];
}

inline const std::array<std::string, 3> zones { "a", "b", "far-away-zone-with-a-long-name" };

} // namespace Pollenwind
