#pragma once

#include "Gateway/RoutingTypes.h"

namespace Pollenwind {

/// Changes the routing configuration.
class RoutingCommands {
public:
    RoutingCommands() = default;
    RoutingCommands(const RoutingCommands&) = delete;
    RoutingCommands& operator=(const RoutingCommands&) = delete;
    virtual ~RoutingCommands() = default;

    /// Puts a configuration in force, unless a newer version is.
    /// @return False for a version that is not newer.
    virtual bool adopt(RoutingConfiguration configuration) = 0;
};

} // namespace Pollenwind
