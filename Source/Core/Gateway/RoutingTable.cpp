#include "Gateway/RoutingTable.h"

#include "Gateway/CacheSalt.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    /// Whether a route names its requests. An empty prefix would match all paths of the host.
    bool canMatch(const RouteRule& route)
    {
        return !route.host.empty() && route.prefix.starts_with('/') && route.prefix.ends_with('/');
    }

} // namespace

RoutingTable::RoutingTable(TimelineCommands& timeline)
    : m_timeline(timeline)
    , m_current(std::make_shared<RoutingConfiguration>())
{
}

bool RoutingTable::adopt(RoutingConfiguration configuration)
{
    if (configuration.version <= m_current->version) {
        return false;
    }
    m_current = std::make_shared<const RoutingConfiguration>(std::move(configuration));
    m_routesByHost.clear();
    for (const auto& route : m_current->routes) {
        if (canMatch(route)) {
            m_routesByHost[route.host].push_back(&route);
        }
    }
    for (auto& [host, routes] : m_routesByHost) {
        std::ranges::sort(routes, [](const auto* a, const auto* b) { return a->prefix.size() > b->prefix.size(); });
    }
    m_sharedCacheSalt = sharedCacheSalt(m_current->organisations);
    m_sharingOrganisations.clear();
    m_organisationsByKey.clear();
    for (const auto& organisation : m_current->organisations) {
        if (!organisation.isIsolated) {
            m_sharingOrganisations.insert(organisation.id);
        }
        for (const auto& digest : organisation.keyDigests) {
            m_organisationsByKey.emplace(digest, &organisation);
        }
    }
    m_timeline.record(EventKind::ConfigurationAdopted,
        { { "version", std::to_string(m_current->version) }, { "routes", std::to_string(m_current->routes.size()) },
            { "organisations", std::to_string(m_current->organisations.size()) },
            { "keys", std::to_string(m_organisationsByKey.size()) },
            { "keys_required", m_current->requiresKeys ? "true" : "false" } });
    return true;
}

const RouteRule* RoutingTable::findRoute(std::string_view host, std::string_view path) const
{
    const auto it = m_routesByHost.find(host);
    if (it == m_routesByHost.end()) {
        return nullptr;
    }
    const auto route = std::ranges::find_if(it->second, [path](const auto* r) { return path.starts_with(r->prefix); });
    return route == it->second.end() ? nullptr : *route;
}

const OrganisationRule* RoutingTable::findOrganisation(const Digest& keyDigest) const
{
    const auto it = m_organisationsByKey.find(keyDigest);
    return it == m_organisationsByKey.end() ? nullptr : it->second;
}

std::string RoutingTable::cacheSaltFor(const std::optional<OrganisationId>& organisation) const
{
    const bool isSharing = !organisation || m_sharingOrganisations.contains(*organisation);
    return isSharing ? m_sharedCacheSalt : isolatedCacheSalt(*organisation);
}

} // namespace Pollenwind
