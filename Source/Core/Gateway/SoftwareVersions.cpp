#include "Gateway/SoftwareVersions.h"

#include <algorithm>

namespace Pollenwind {

void SoftwareVersions::record(const ServiceId& service, const VersionId& version, MonotonicTime now)
{
    m_firstSeen[service].emplace(version, now);
}

bool SoftwareVersions::isNew(const ServiceId& service, const VersionId& version, MonotonicTime now) const
{
    const auto versions = m_firstSeen.find(service);
    if (versions == m_firstSeen.end()) {
        return false;
    }
    const auto it = versions->second.find(version);
    if (it == versions->second.end() || now - it->second >= orderDelay) {
        return false;
    }
    return std::ranges::any_of(versions->second, [&it](const auto& known) { return known.second < it->second; });
}

void SoftwareVersions::retain(const std::set<std::pair<ServiceId, VersionId>>& used)
{
    for (auto& [service, versions] : m_firstSeen) {
        std::erase_if(versions, [&](const auto& it) { return !used.contains({ service, it.first }); });
    }
}

} // namespace Pollenwind
