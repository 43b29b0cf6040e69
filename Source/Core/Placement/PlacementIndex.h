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

/// Limits of the index, and which sources it uses. Sources are disabled only in benchmarks, to measure what each
/// contributes.
struct PlacementIndexOptions {
    /// Maximum number of entries, i.e. pairs of a chain hash and an engine.
    std::size_t maxBlocks = 1'000'000;
    /// Maximum number of engines with entries.
    std::size_t maxEngines = 16'384;
    /// Maximum number of prefixes whose demand is tracked.
    std::size_t maxPrefixes = 16'384;
    /// Age at which an entry that was not confirmed again is dropped; bounds the effect of a lost eviction event.
    std::chrono::nanoseconds maxAge { std::chrono::minutes(10) };
    bool usesEvents = true;
    bool usesPlacements = true;
    bool usesCachedTokenCounts = true;
};

/// Index of the blocks that each engine is believed to have cached, and of the work that this router sent to it.
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

    /// State of one incarnation of one engine. Entries refer to it by index, so that a new incarnation invalidates all
    /// of them at once.
    struct EngineIncarnation {
        UpstreamId upstream;
        Incarnation incarnation;
        bool isCurrent = false;
        std::size_t entries = 0;
        std::uint64_t lastSequence = 0;
        /// Entries touched before this time are not trusted, because events were lost, the cache was cleared or a
        /// response showed that older blocks were evicted.
        std::uint64_t trustedFrom = 0;
        /// Entries touched before this time are not trusted while the event stream is interrupted.
        std::uint64_t interruptedAt = 0;
        MonotonicTime usedAt { 0 };
        std::deque<Sent> sent;
        Rate sentRate;
    };

    /// @return The current time in nanoseconds, increased where necessary to be unique.
    std::uint64_t nextTimestamp();
    EngineIncarnation* findIncarnation(const UpstreamId& upstream);
    const EngineIncarnation* findIncarnation(const UpstreamId& upstream) const;
    EngineIncarnation* findIncarnation(const PlacementChoice& choice);
    void touch(ChainHash hash, IncarnationIndex engine);
    /// Updates the entry count after an entry was removed; frees the record of a retired incarnation after the last
    /// one.
    void releaseEntry(IncarnationIndex engine);
    /// Ends an incarnation, which invalidates its entries.
    void retireIncarnation(IncarnationIndex index);
    void dropOldBlocks();
    void evictLeastRecentlyUsedEngine();
    bool isTrusted(const CacheTable::Entry& entry) const;
    void recordSentWork(EngineIncarnation& engine, double tokens);
    void recordDemand(const PrefixChain& chain);
    /// @return The average rate decayed to the present time, in tokens per second.
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
