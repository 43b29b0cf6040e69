#pragma once

#include "Placement/PlacementTypes.h"

#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace Pollenwind::Bench {

/// A cache event with the time at which it happened.
struct TimedCacheEvent {
    double at = 0;
    CacheEvent event;
};

/// Prefix cache of one engine: the pieces used the longest ago make room.
class CacheModel {
public:
    explicit CacheModel(std::size_t blocks)
        : m_capacity(blocks)
    {
    }

    /// @return Leading pieces that are held.
    std::uint32_t countCachedBlocks(const PrefixChain& chain) const;

    /// Marks a chain's pieces as used and stores those that are missing.
    void use(const PrefixChain& chain, double now);

    const std::vector<TimedCacheEvent>& events() const { return m_events; }

private:
    void emit(CacheEventKind kind, ChainHash hash, double now);

    std::size_t m_capacity;
    std::list<ChainHash> m_leastRecentlyUsed;
    std::unordered_map<ChainHash, std::list<ChainHash>::iterator> m_blocks;
    std::vector<TimedCacheEvent> m_events;
};

/// One engine: prefills one prompt after the other while the running answers are decoded beside it.
struct EngineModel {
    UpstreamId id;
    Incarnation incarnation { 1 };
    std::size_t zone = 0;
    CacheModel cache;
    /// Requests that wait for prefill; the first is being prefilled while isPrefilling.
    std::deque<std::size_t> waiting;
    bool isPrefilling = false;
    std::size_t decoding = 0;
    double busySeconds = 0;
    double prefillEndsAt = 0;
    /// Missed tokens of the waiting requests, as of their arrival.
    double waitingTokens = 0;
};

/// Seconds of prefill for one token when nothing is decoded.
inline constexpr double prefillPerToken = 20e-6;

/// Share by which each running answer slows the prefill down in the common batch.
inline constexpr double decodeSlowdown = 0.01;

/// Seconds for one output token.
inline constexpr double decodePerToken = 0.02;

/// Answers that an engine decodes at the same time.
inline constexpr std::size_t maxDecoding = 256;

} // namespace Pollenwind::Bench
