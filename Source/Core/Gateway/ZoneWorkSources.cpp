#include "Gateway/ZoneWorkSources.h"

#include "Gateway/FleetView.h"

namespace Pollenwind {

namespace {

    // Not a VM's id, and not that of a relay either.
    VmId workId(const ZoneId& zone) { return VmId("zone-work/" + zone.value()); }

} // namespace

std::optional<VmId> ZoneWorkSources::accept(const VmId& relay, std::uint64_t term, bool hasWork)
{
    const auto zone = FleetView::zoneOfRelay(relay);
    if (!zone || *zone == m_ownZone || (!hasWork && !m_sources.contains(*zone))) {
        return std::nullopt;
    }
    auto& source = m_sources[*zone];
    // A relay that was suspended may still send sums of a term that has ended.
    if (source.relay != relay && !source.relay.value().empty() && term < source.term) {
        return std::nullopt;
    }
    source = { relay, term };
    return workId(*zone);
}

std::optional<VmId> ZoneWorkSources::markSilent(const VmId& relay)
{
    const auto zone = FleetView::zoneOfRelay(relay);
    const auto it = zone ? m_sources.find(*zone) : m_sources.end();
    if (it == m_sources.end() || it->second.relay != relay) {
        return std::nullopt;
    }
    m_sources.erase(it);
    return workId(*zone);
}

std::vector<VmId> ZoneWorkSources::clear()
{
    std::vector<VmId> ids;
    for (const auto& [zone, source] : m_sources) {
        ids.push_back(workId(zone));
    }
    m_sources.clear();
    return ids;
}

} // namespace Pollenwind
