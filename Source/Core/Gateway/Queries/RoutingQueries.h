#pragma once

#include "Gateway/RoutingTypes.h"

#include <memory>
#include <string_view>

namespace Pollenwind {

/// Reads the routing configuration in force. Pointers stay valid while the configuration they came from is held.
class RoutingQueries {
public:
    RoutingQueries() = default;
    RoutingQueries(const RoutingQueries&) = delete;
    RoutingQueries& operator=(const RoutingQueries&) = delete;
    virtual ~RoutingQueries() = default;

    /// @return The configuration in force; its version is 0 before the first one.
    virtual std::shared_ptr<const RoutingConfiguration> current() const = 0;

    /// Finds the route with the longest prefix.
    /// @return The route, or nullptr.
    virtual const RouteRule* findRoute(std::string_view host, std::string_view path) const = 0;

    /// Finds the organisation that holds a key.
    /// @return The organisation, or nullptr for an unknown key.
    virtual const OrganisationRule* findOrganisation(const Digest& keyDigest) const = 0;
};

} // namespace Pollenwind
