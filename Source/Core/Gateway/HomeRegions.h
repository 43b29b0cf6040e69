#pragma once

#include "Common/Ids.h"

#include <algorithm>
#include <map>
#include <span>
#include <vector>

namespace Pollenwind {

/// Region of each availability zone.
using RegionMap = std::map<ZoneId, RegionId>;

/// Regions to which a request is restricted by its route and its organisation.
class HomeRegions {
public:
    HomeRegions() = default;
    /// @param regions Region of each zone. A zone without a region is in none of the home regions.
    explicit HomeRegions(const RegionMap& regions)
        : m_regions(&regions)
    {
    }

    /// Adds a restriction. All of them apply.
    /// @param allowed Permitted regions; empty for no restriction.
    void restrictTo(std::span<const RegionId> allowed)
    {
        if (!allowed.empty()) {
            m_restrictions.emplace_back(allowed.begin(), allowed.end());
        }
    }

    bool isRestricted() const { return !m_restrictions.empty(); }

    /// Whether a request may be sent to the runners of a zone.
    bool permits(const ZoneId& zone) const
    {
        if (!isRestricted()) {
            return true;
        }
        const auto it = m_regions ? m_regions->find(zone) : RegionMap::const_iterator();
        if (!m_regions || it == m_regions->end() || it->second.value().empty()) {
            return false;
        }
        return std::ranges::all_of(m_restrictions,
            [&it](const auto& allowed) { return std::ranges::find(allowed, it->second) != allowed.end(); });
    }

private:
    const RegionMap* m_regions = nullptr;
    std::vector<std::vector<RegionId>> m_restrictions;
};

} // namespace Pollenwind
