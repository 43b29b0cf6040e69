#pragma once

#include "Common/Clock.h"
#include "Gateway/Commands/PrefixCommands.h"
#include "Gateway/Queries/PrefixQueries.h"

#include <unordered_map>

namespace Pollenwind {

/// Prefixes that runners have read lately, from this VM's requests and the other VMs' reports.
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

    /// Takes the prefixes noted since the last call, to be reported to the other VMs.
    std::vector<CachedPrefix> takeUpdates();
    /// Takes the prefixes that VMs of the own zone noted since the last call, to be passed on to the other zones.
    std::vector<CachedPrefix> takeZoneUpdates();
    /// Forgets prefixes that were not read for a while.
    void removeExpired();

private:
    struct Holder {
        std::uint64_t hash = 0;
        MonotonicTime readAt { 0 };
        /// Time at which the others were told last.
        MonotonicTime reportedAt { 0 };
    };

    /// @return True when the others do not know of it or are about to forget it.
    bool record(const CachedPrefix& prefix);
    static void addUpdate(std::vector<CachedPrefix>& updates, const CachedPrefix& prefix);

    const Clock& m_clock;
    std::unordered_map<std::uint64_t, std::vector<Holder>> m_holders;
    std::vector<CachedPrefix> m_updates;
    std::vector<CachedPrefix> m_zoneUpdates;
};

} // namespace Pollenwind
