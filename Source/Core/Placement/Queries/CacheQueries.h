#pragma once

#include "Placement/PlacementTypes.h"

#include <cstdint>
#include <vector>

namespace Pollenwind {

/// Leading blocks of a chain that one engine is believed to have cached.
struct CachedPrefixMatch {
    UpstreamId upstream;
    Incarnation incarnation;
    std::uint32_t blocks = 0;
    /// Last confirmation of the least recently confirmed block among them.
    std::uint64_t oldestConfirmedAt = 0;
};

/// Reads what engines are believed to have cached.
class CacheQueries {
public:
    CacheQueries() = default;
    CacheQueries(const CacheQueries&) = delete;
    CacheQueries& operator=(const CacheQueries&) = delete;
    virtual ~CacheQueries() = default;

    /// @return The engines believed to have cached at least the first block, in no particular order.
    virtual std::vector<CachedPrefixMatch> holders(const PrefixChain& chain) const = 0;

    /// @return Sequence number of the next cache event to request from an engine; 1 before the first event.
    virtual std::uint64_t nextSequence(const UpstreamId& upstream) const = 0;
};

} // namespace Pollenwind
