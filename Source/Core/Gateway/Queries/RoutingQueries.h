#pragma once

#include "Gateway/RoutingTypes.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Pollenwind {

/// Reads the current routing configuration. The returned pointers stay valid while a pointer to the configuration is
/// kept.
class RoutingQueries {
public:
    RoutingQueries() = default;
    RoutingQueries(const RoutingQueries&) = delete;
    RoutingQueries& operator=(const RoutingQueries&) = delete;
    virtual ~RoutingQueries() = default;

    /// @return The current configuration; its version is 0 before the first one was received.
    virtual std::shared_ptr<const RoutingConfiguration> current() const = 0;

    /// Finds the route of a host with the longest prefix that matches the path.
    /// @return The route, or nullptr.
    virtual const RouteRule* findRoute(std::string_view host, std::string_view path) const = 0;

    /// Finds the organisation to which an API key belongs.
    /// @return The organisation, or nullptr for an unknown key.
    virtual const OrganisationRule* findOrganisation(const Digest& keyDigest) const = 0;

    /// Salt of the cache entries that a request may use and make under the current configuration. It differs for
    /// organisations that must not share entries.
    /// @param organisation Organisation of the request, if it has one. One that the configuration does not have shares
    ///     no entries.
    virtual std::string cacheSaltFor(const std::optional<OrganisationId>& organisation) const = 0;
};

} // namespace Pollenwind
