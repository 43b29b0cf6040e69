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
    /// Tokens waiting for prefill there, as last reported.
    double queuedTokens = 0;
    /// Time at which the report arrived.
    MonotonicTime reportedAt { 0 };
    /// Share of full work that the engine may get, from 0 to 1. Below 1 during a slow start.
    double admission = 1;
};

/// What the choice of an engine depends on.
struct PlacementRequest {
    ServiceId service;
    VersionId version;
    PrefixChain chain;
    ZoneId ownZone;
    /// Number of the candidate set; changes whenever an engine joins or leaves it. 0 when the caller keeps no such
    /// number; then a large set is indexed anew for each request.
    std::uint64_t candidatesRevision = 0;
};

/// The chosen engine.
struct PlacementChoice {
    UpstreamId upstream;
    Incarnation incarnation;
    /// Prompt tokens that the engine is believed to hold.
    std::uint32_t expectedCachedTokens = 0;
    /// Confirmation time of the expected piece that was confirmed the longest ago; 0 when none is expected.
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

/// Cache event of an engine.
struct CacheEvent {
    std::uint64_t sequence = 0;
    Incarnation incarnation;
    CacheEventKind kind = CacheEventKind::Stored;
    ChainHash hash = 0;
};

} // namespace Pollenwind
