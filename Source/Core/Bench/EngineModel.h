#pragma once

#include "Placement/PlacementTypes.h"

#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace Pollenwind::Bench {

/// A cache event with its time in virtual seconds.
struct TimedCacheEvent {
    double at = 0;
    CacheEvent event;
};

/// Prefix cache of one engine with least-recently-used eviction.
class CacheModel {
public:
    explicit CacheModel(std::size_t blocks)
        : m_capacity(blocks)
    {
    }

    /// Returns the number of leading blocks of a chain that are cached.
    std::uint32_t countCachedBlocks(const PrefixChain& chain) const;

    /// Marks the blocks of a chain as used, stores the missing ones and evicts blocks above the capacity.
    void use(const PrefixChain& chain, double now);

    const std::vector<TimedCacheEvent>& events() const { return m_events; }

private:
    void emit(CacheEventKind kind, ChainHash hash, double now);

    std::size_t m_capacity;
    std::list<ChainHash> m_leastRecentlyUsed;
    std::unordered_map<ChainHash, std::list<ChainHash>::iterator> m_blocks;
    std::vector<TimedCacheEvent> m_events;
};

/// One engine: prefills prompts sequentially and decodes the running responses concurrently.
struct EngineModel {
    UpstreamId id;
    Incarnation incarnation { 1 };
    std::size_t zone = 0;
    CacheModel cache;
    /// Requests that wait for prefill; the first one is in prefill if isPrefilling is set.
    std::deque<std::size_t> waiting;
    bool isPrefilling = false;
    std::size_t decoding = 0;
    double busySeconds = 0;
    double prefillEndsAt = 0;
    /// Uncached tokens of the waiting requests, counted on their arrival.
    double waitingTokens = 0;
};

/// Prefill time of one token in seconds while no response is decoded.
inline constexpr double prefillPerToken = 20e-6;

/// Fraction by which each response that is decoded in the same batch slows down the prefill.
inline constexpr double decodeSlowdown = 0.01;

/// Decode time of one output token in seconds.
inline constexpr double decodePerToken = 0.02;

/// Maximum number of responses that an engine decodes concurrently.
inline constexpr std::size_t maxDecoding = 256;

} // namespace Pollenwind::Bench
