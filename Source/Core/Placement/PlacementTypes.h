#pragma once

#include "Common/Clock.h"
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
    /// Tokens that were waiting for prefill at the engine according to its last report.
    double queuedTokens = 0;
    /// Time at which that report arrived.
    MonotonicTime reportedAt { 0 };
    /// Fraction of its normal load that the engine may get, from 0 to 1. Below 1 during a slow start.
    double admission = 1;
};

/// Properties of a request that determine the choice of an engine.
struct PlacementRequest {
    ServiceId service;
    VersionId version;
    PrefixChain chain;
    ZoneId ownZone;
    /// Revision of the candidate set; changes whenever an engine joins or leaves it. 0 if the caller does not track
    /// revisions; a large set is then indexed again for each request.
    std::uint64_t candidatesRevision = 0;
};

/// The chosen engine.
struct PlacementChoice {
    UpstreamId upstream;
    Incarnation incarnation;
    /// Prompt tokens that the engine is believed to have cached.
    std::uint32_t expectedCachedTokens = 0;
    /// Last confirmation of the least recently confirmed block among those expected; 0 if none is expected.
    std::uint64_t oldestConfirmedAt = 0;
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

/// Change of an engine's prefix cache.
struct CacheEvent {
    /// Number of the event within the incarnation, from 1. A gap means that events were lost.
    std::uint64_t sequence = 0;
    Incarnation incarnation;
    CacheEventKind kind = CacheEventKind::Stored;
    /// The block; unused for Cleared.
    ChainHash hash = 0;
};

} // namespace Pollenwind
