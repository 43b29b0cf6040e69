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
    void noteRemoteRead(std::span<const HeldPrefix> prefixes) override;
    bool isHeld(std::uint64_t prefix, std::uint64_t holder) const override;

    /// Takes the prefixes noted since the last call, to be reported to the other VMs.
    std::vector<HeldPrefix> takeNews();
    /// Forgets prefixes that were not read for a while.
    void forgetOld();

private:
    void note(const HeldPrefix& prefix);

    const Clock& m_clock;
    /// Time of the last read by prefix and holder.
    std::unordered_map<std::uint64_t, std::vector<std::pair<std::uint64_t, MonotonicTime>>> m_holders;
    std::vector<HeldPrefix> m_news;
};

} // namespace Pollenwind
