#pragma once

#include "Common/EnumTable.h"
#include "Common/Ids.h"
#include "Placement/PrefixChain.h"

#include <cstdint>

namespace Pollenwind {

/// One engine that may take a request.
struct PlacementCandidate {
    UpstreamId upstream;
    Incarnation incarnation;
    ZoneId zone;
    /// Tokens waiting or running there, as last reported plus what this router sent since.
    double queuedTokens = 0;
    /// Share of full work that the engine may get, from 0 to 1. Below 1 during a slow start.
    double admission = 1;
};

/// What the choice of an engine depends on.
struct PlacementRequest {
    ServiceId service;
    VersionId version;
    PrefixChain chain;
    ZoneId ownZone;
};

/// The chosen engine.
struct PlacementChoice {
    UpstreamId upstream;
    Incarnation incarnation;
    /// Prompt tokens that the engine is believed to hold.
    std::uint32_t expectedCachedTokens = 0;
};

/// Kind of an engine's cache event.
enum class CacheEventKind {
    Stored,
    Evicted,
    Cleared,
};

template <> struct EnumTable<CacheEventKind> {
    static constexpr std::array rows {
        EnumName { CacheEventKind::Stored, "stored" },
        EnumName { CacheEventKind::Evicted, "evicted" },
        EnumName { CacheEventKind::Cleared, "cleared" },
    };
};

/// Cache event of an engine.
struct CacheEvent {
    std::uint64_t sequence = 0;
    Incarnation incarnation;
    CacheEventKind kind = CacheEventKind::Stored;
    ChainHash hash = 0;
};

} // namespace Pollenwind
