#include "Dispatch/Queries/CandidateRule.h"

#include <algorithm>

namespace Pollenwind {

void preferUntried(std::vector<PlacementCandidate>& candidates, const std::set<UpstreamId>& tried,
    const std::optional<UpstreamId>& last)
{
    const auto isTried = [&](const PlacementCandidate& it) { return tried.contains(it.upstream); };
    const auto isLast = [&](const PlacementCandidate& it) { return it.upstream == last; };
    if (!std::ranges::all_of(candidates, isTried)) {
        std::erase_if(candidates, isTried);
    } else if (!std::ranges::all_of(candidates, isLast)) {
        std::erase_if(candidates, isLast);
    }
}

} // namespace Pollenwind
