#pragma once

#include "Placement/PlacementTypes.h"

#include <cstdint>
#include <vector>

namespace Pollenwind {

/// Leading pieces of a chain that one engine is believed to hold.
struct CachedPrefixMatch {
    UpstreamId upstream;
    Incarnation incarnation;
    std::uint32_t blocks = 0;
    /// Time of the last confirmation of the piece confirmed the longest ago.
    std::uint64_t oldestConfirmedAt = 0;
};

/// Reads what engines are believed to have cached.
class CacheQueries {
public:
    CacheQueries() = default;
    CacheQueries(const CacheQueries&) = delete;
    CacheQueries& operator=(const CacheQueries&) = delete;
    virtual ~CacheQueries() = default;

    /// @return The engines believed to hold at least the first piece, in no particular order.
    virtual std::vector<CachedPrefixMatch> holders(const PrefixChain& chain) const = 0;

    /// @return Sequence number of the cache event to ask an engine for next; 1 before the first event.
    virtual std::uint64_t nextSequence(const UpstreamId& upstream) const = 0;
};

} // namespace Pollenwind
