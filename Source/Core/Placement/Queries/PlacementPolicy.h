#pragma once

#include "Placement/PlacementTypes.h"

#include <optional>
#include <span>

namespace Pollenwind {

/// Chooses the engine for a request.
class PlacementPolicy {
public:
    PlacementPolicy() = default;
    PlacementPolicy(const PlacementPolicy&) = delete;
    PlacementPolicy& operator=(const PlacementPolicy&) = delete;
    virtual ~PlacementPolicy() = default;

    /// @param request The request.
    /// @param candidates Engines that may take it.
    /// @return The choice, or nothing if there is no candidate.
    virtual std::optional<PlacementChoice> choose(
        const PlacementRequest& request, std::span<const PlacementCandidate> candidates) const
        = 0;
};

} // namespace Pollenwind
