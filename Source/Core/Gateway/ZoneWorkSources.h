#pragma once

#include "Common/Ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Pollenwind {

/// Decides which relay's report of a zone's work counts, so that the work of a VM does not count twice when relays
/// change: one report for each zone, that of the latest term.
class ZoneWorkSources {
public:
    /// @param ownZone Zone of this VM, whose VMs report their work directly.
    explicit ZoneWorkSources(ZoneId ownZone)
        : m_ownZone(std::move(ownZone))
    {
    }

    /// Records a relay's report.
    /// @param relay Id of the relay; see FleetView::relayId().
    /// @param hasWork Whether the report has any work. One without is of an idle zone if the zone's work is known, else
    /// of a zone that does not share it.
    /// @return Id under which the zone's work counts; nothing if the report does not count.
    std::optional<VmId> accept(const VmId& relay, std::uint64_t term, bool hasWork);
    /// Records that a relay has become silent.
    /// @return Id of the work to drop; nothing if another relay reports the zone's work.
    std::optional<VmId> markSilent(const VmId& relay);
    /// Forgets all relays, as in a small fleet whose VMs report directly.
    /// @return Ids of the work to drop.
    std::vector<VmId> clear();
    /// Number of other zones whose work is known.
    std::size_t zones() const { return m_sources.size(); }

private:
    struct Source {
        VmId relay;
        std::uint64_t term = 0;
    };

    ZoneId m_ownZone;
    std::map<ZoneId, Source> m_sources;
};

} // namespace Pollenwind
