#pragma once

#include "Common/Clock.h"
#include "Placement/CacheTable.h"
#include "Placement/Commands/CacheCommands.h"
#include "Placement/Queries/CacheQueries.h"
#include "Placement/Queries/LoadQueries.h"

#include <deque>
#include <unordered_map>
#include <vector>

namespace Pollenwind {

/// Bounds of the index, and which sources it uses. The sources are switched off only to measure what each is worth.
struct PlacementIndexOptions {
    /// Most pairs of a chain hash and an engine.
    std::size_t maxBlocks = 1'000'000;
    /// Most engines with knowledge.
    std::size_t maxEngines = 16'384;
    /// Most prefixes whose demand is counted.
    std::size_t maxPrefixes = 16'384;
    /// Knowledge that nothing confirmed for so long is dropped; bounds what a lost eviction can spoil.
    std::chrono::nanoseconds maxAge { std::chrono::minutes(10) };
    bool usesEvents = true;
    bool usesPlacements = true;
    bool usesCachedTokenCounts = true;
};

/// Owner of the cache index and of the load view: what each engine is believed to hold, and the work that this router
/// sent to it.
class PlacementIndex final : public CacheCommands, public CacheQueries, public LoadQueries {
public:
    explicit PlacementIndex(const Clock& clock, PlacementIndexOptions options = {});

    void recordPlacement(const PlacementChoice& choice, const PrefixChain& chain) override;
    void recordCachedTokens(
        const PlacementChoice& choice, const PrefixChain& chain, std::uint32_t cachedTokens) override;
    void onCacheEvent(const UpstreamId& upstream, const CacheEvent& event) override;
    void setEventStreamActive(const UpstreamId& upstream, bool isActive) override;
    void setIncarnation(const UpstreamId& upstream, Incarnation incarnation) override;

    std::vector<CachedPrefixMatch> holders(const PrefixChain& chain) const override;
    std::uint64_t nextSequence(const UpstreamId& upstream) const override;
    SentWork sentWork(const UpstreamId& upstream, MonotonicTime since) const override;
    double prefixDemand(ChainHash prefix) const override;

    std::size_t blockCount() const { return m_table.size(); }
    /// Memory of the table in bytes.
    std::size_t memoryBytes() const { return m_table.memoryBytes(); }

private:
    struct Sent {
        MonotonicTime at;
        double tokens = 0;
    };

    /// Exponentially decaying average rate.
    struct Rate {
        double value = 0;
        MonotonicTime at { 0 };
    };

    /// One life of one engine. Entries refer to it by number, so that a new incarnation drops them all at once.
    struct EngineIncarnation {
        UpstreamId upstream;
        Incarnation incarnation;
        bool isCurrent = false;
        std::size_t entries = 0;
        std::uint64_t lastSequence = 0;
        /// Entries touched before this time are not trusted: events were lost since.
        std::uint64_t trustedFrom = 0;
        /// Entries touched before this time are not trusted while the event stream is interrupted.
        std::uint64_t interruptedAt = 0;
        MonotonicTime usedAt { 0 };
        std::deque<Sent> sent;
        Rate sentRate;
    };

    std::uint64_t nextTimestamp();
    EngineIncarnation* findIncarnation(const UpstreamId& upstream);
    const EngineIncarnation* findIncarnation(const UpstreamId& upstream) const;
    EngineIncarnation* findIncarnation(const PlacementChoice& choice);
    void touch(ChainHash hash, IncarnationIndex engine);
    void releaseEntry(IncarnationIndex engine);
    void retireIncarnation(IncarnationIndex index);
    void dropOldBlocks();
    void evictLeastRecentlyUsedEngine();
    bool isTrusted(const CacheTable::Entry& entry) const;
    void recordSentWork(EngineIncarnation& engine, double tokens);
    void recordDemand(const PrefixChain& chain);
    double currentRate(const Rate& rate) const;
    void addToRate(Rate& rate, double tokens) const;

    const Clock& m_clock;
    PlacementIndexOptions m_options;
    CacheTable m_table;
    std::vector<EngineIncarnation> m_incarnations;
    std::vector<IncarnationIndex> m_freeIncarnations;
    std::unordered_map<UpstreamId, IncarnationIndex> m_current;
    std::unordered_map<ChainHash, Rate> m_demand;
    std::uint64_t m_lastTimestamp = 0;
};

} // namespace Pollenwind
