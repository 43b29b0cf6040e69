#pragma once

#include "Gateway/RoutingTypes.h"

#include <memory>
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
};

} // namespace Pollenwind
