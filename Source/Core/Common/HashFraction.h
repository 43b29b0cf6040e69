#pragma once

#include <cstdint>

namespace Pollenwind {

/// Maps a hash to a number from 0 to below 1, with the 53 bits that a double holds exactly.
constexpr double toFraction(std::uint64_t hash)
{
    constexpr int unusedBits = 11;
    constexpr double range = 9007199254740992.0;
    return static_cast<double>(hash >> unusedBits) / range;
}

} // namespace Pollenwind
