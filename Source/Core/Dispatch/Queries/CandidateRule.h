#pragma once

#include "Placement/PlacementTypes.h"

#include <optional>
#include <set>
#include <vector>

namespace Pollenwind {

/// Leaves the candidates for the next attempt: those not tried yet; when all were tried, all but the last.
/// @param tried Upstreams at which the request failed since it last made progress.
/// @param last The upstream of the last attempt; it stays only when there is no other.
void preferUntried(std::vector<PlacementCandidate>& candidates, const std::set<UpstreamId>& tried,
    const std::optional<UpstreamId>& last);

} // namespace Pollenwind
