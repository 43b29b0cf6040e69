#pragma once

#include "Placement/PlacementTypes.h"

namespace Pollenwind {

/// Keeps the knowledge of what engines have cached.
class CacheCommands {
public:
    CacheCommands() = default;
    CacheCommands(const CacheCommands&) = delete;
    CacheCommands& operator=(const CacheCommands&) = delete;
    virtual ~CacheCommands() = default;

    /// Notes that a prompt was sent to an engine, which will hold its pieces.
    virtual void recordPlacement(const PlacementChoice& choice, const PrefixChain& chain) = 0;

    /// Corrects the knowledge by an engine's count of cached prompt tokens.
    virtual void recordCachedTokens(const PlacementChoice& choice, const PrefixChain& chain, std::uint32_t cachedTokens)
        = 0;

    /// Takes a cache event.
    virtual void onCacheEvent(const UpstreamId& upstream, const CacheEvent& event) = 0;

    /// Notes whether an engine's event stream is being followed. While it is interrupted, knowledge from before the
    /// interruption is not trusted; when it is followed again without a gap, that knowledge counts again.
    virtual void setEventStreamActive(const UpstreamId& upstream, bool isActive) = 0;

    /// Notes the life that an engine is in; knowledge of earlier lives is dropped.
    virtual void setIncarnation(const UpstreamId& upstream, Incarnation incarnation) = 0;
};

} // namespace Pollenwind
