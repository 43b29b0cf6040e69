#pragma once

#include "Placement/PlacementTypes.h"

#include <optional>
#include <set>
#include <vector>

namespace Pollenwind {

/// Reduces the candidates for the next attempt to those not tried yet, or, if all were tried, to all but the last.
/// @param tried Upstreams at which the request failed since it last made progress.
/// @param last The upstream of the last attempt; it is kept only if there is no other.
void preferUntried(std::vector<PlacementCandidate>& candidates, const std::set<UpstreamId>& tried,
    const std::optional<UpstreamId>& last);

} // namespace Pollenwind
