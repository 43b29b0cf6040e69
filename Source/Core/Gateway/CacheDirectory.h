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

    void noteRead(std::span<const HeldPrefix> prefixes) override;
    void noteRemoteRead(std::span<const HeldPrefix> prefixes, bool isOwnZone) override;
    bool isHeld(std::uint64_t prefix, std::uint64_t holder) const override;
    std::vector<std::uint64_t> holdersOf(std::uint64_t prefix) const override;

    /// Takes the prefixes noted since the last call, to be reported to the other VMs.
    std::vector<HeldPrefix> takeNews();
    /// Takes the prefixes that VMs of the own zone noted since the last call, to be passed on to the other zones.
    std::vector<HeldPrefix> takeZoneNews();
    /// Forgets prefixes that were not read for a while.
    void forgetOld();

private:
    struct Holder {
        std::uint64_t hash = 0;
        MonotonicTime readAt { 0 };
        /// Time at which the others were told last.
        MonotonicTime toldAt { 0 };
    };

    /// @return True when the others do not know of it or are about to forget it.
    bool note(const HeldPrefix& prefix);
    static void addNews(std::vector<HeldPrefix>& news, const HeldPrefix& prefix);

    const Clock& m_clock;
    std::unordered_map<std::uint64_t, std::vector<Holder>> m_holders;
    std::vector<HeldPrefix> m_news;
    std::vector<HeldPrefix> m_zoneNews;
};

} // namespace Pollenwind
