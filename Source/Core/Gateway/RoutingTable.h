#pragma once

#include "Gateway/Commands/RoutingCommands.h"
#include "Gateway/Queries/RoutingQueries.h"
#include "Timeline/Commands/TimelineCommands.h"

#include <map>
#include <set>
#include <string>

namespace Pollenwind {

/// The current routing configuration, indexed by host and by API key.
class RoutingTable final : public RoutingCommands, public RoutingQueries {
public:
    explicit RoutingTable(TimelineCommands& timeline);

    bool adopt(RoutingConfiguration configuration) override;
    std::shared_ptr<const RoutingConfiguration> current() const override { return m_current; }
    const RouteRule* findRoute(std::string_view host, std::string_view path) const override;
    const OrganisationRule* findOrganisation(const Digest& keyDigest) const override;
    std::string cacheSaltFor(const std::optional<OrganisationId>& organisation) const override;

private:
    TimelineCommands& m_timeline;
    std::shared_ptr<const RoutingConfiguration> m_current;
    /// Routes by host, the longest prefix first.
    std::map<std::string, std::vector<const RouteRule*>, std::less<>> m_routesByHost;
    std::map<Digest, const OrganisationRule*> m_organisationsByKey;
    /// Organisations that are not isolated.
    std::set<OrganisationId> m_sharingOrganisations;
    std::string m_sharedCacheSalt;
};

} // namespace Pollenwind
