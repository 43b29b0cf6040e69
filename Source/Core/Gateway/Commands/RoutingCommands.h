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

    /// Replaces the configuration if the version is newer than the current one.
    /// @return False for a version that is not newer.
    virtual bool adopt(RoutingConfiguration configuration) = 0;
};

} // namespace Pollenwind
