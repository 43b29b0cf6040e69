#pragma once

#include "Placement/PlacementTypes.h"

namespace Pollenwind {

/// Updates the index of the prompt blocks that engines have cached.
class CacheCommands {
public:
    CacheCommands() = default;
    CacheCommands(const CacheCommands&) = delete;
    CacheCommands& operator=(const CacheCommands&) = delete;
    virtual ~CacheCommands() = default;

    /// Records that a prompt was sent to an engine, which will cache its blocks.
    virtual void recordPlacement(const PlacementChoice& choice, const PrefixChain& chain) = 0;

    /// Corrects the index with the number of cached prompt tokens that an engine reported for a request.
    virtual void recordCachedTokens(const PlacementChoice& choice, const PrefixChain& chain, std::uint32_t cachedTokens)
        = 0;

    /// Applies a cache event of an engine.
    virtual void onCacheEvent(const UpstreamId& upstream, const CacheEvent& event) = 0;

    /// Sets whether an engine's event stream is being read. While it is interrupted, entries from before the
    /// interruption are not trusted; if it continues without a gap, they are trusted again.
    virtual void setEventStreamActive(const UpstreamId& upstream, bool isActive) = 0;

    /// Sets the current incarnation of an engine; entries of earlier incarnations are dropped.
    virtual void setIncarnation(const UpstreamId& upstream, Incarnation incarnation) = 0;
};

} // namespace Pollenwind
