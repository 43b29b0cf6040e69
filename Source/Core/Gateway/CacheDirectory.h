#pragma once

#include "Common/Clock.h"
#include "Gateway/Commands/PrefixCommands.h"
#include "Gateway/Queries/PrefixQueries.h"

#include <unordered_map>

namespace Pollenwind {

/// Prompt prefixes that runners and stores are expected to have cached, from this VM's requests and the other VMs'
/// reports. An entry expires some time after the prefix was last used.
class CacheDirectory final : public PrefixCommands, public PrefixQueries {
public:
    explicit CacheDirectory(const Clock& clock)
        : m_clock(clock)
    {
    }

    void recordRead(std::span<const CachedPrefix> prefixes) override;
    void recordRemoteRead(std::span<const CachedPrefix> prefixes, bool isOwnZone) override;
    bool isCached(std::uint64_t prefix, std::uint64_t holder) const override;
    std::vector<std::uint64_t> holdersOf(std::uint64_t prefix) const override;

    /// Returns the prefixes recorded for this VM's requests since the last call, to be reported to the other VMs.
    std::vector<CachedPrefix> takeUpdates();
    /// Returns the prefixes that VMs of this zone, including this one, recorded since the last call, to be forwarded to
    /// the other zones.
    std::vector<CachedPrefix> takeZoneUpdates();
    /// Removes expired entries and estimates the tokens in use again.
    void removeExpired();
    /// Tokens of the distinct prefixes in use, without those that a prefix shares with a shorter one. Prefixes that
    /// only other VMs reported count as long as those of this VM on average. As of the last removeExpired().
    double tokensInUse() const { return m_tokensInUse; }

private:
    /// A runner process or a store that has a prefix cached.
    struct Holder {
        std::uint64_t hash = 0;
        MonotonicTime readAt { 0 };
        /// Time of the last report to the other VMs; 0 before the first.
        MonotonicTime reportedAt { 0 };
    };

    /// A prefix with its holders.
    struct Entry {
        std::vector<Holder> holders;
        /// See CachedPrefix.
        double ownTokens = 0;
    };

    /// @return True if the entry is new or half of its retention has passed since the last report, so that the other
    /// VMs get it again before it expires there.
    bool record(const CachedPrefix& prefix);
    static void addUpdate(std::vector<CachedPrefix>& updates, const CachedPrefix& prefix);

    const Clock& m_clock;
    std::unordered_map<std::uint64_t, Entry> m_entries;
    double m_tokensInUse = 0;
    std::vector<CachedPrefix> m_updates;
    std::vector<CachedPrefix> m_zoneUpdates;
};

} // namespace Pollenwind
