#include "Placement/ComparisonPolicies.h"

#include "Placement/CandidateRing.h"

#include <algorithm>

namespace Pollenwind {

std::optional<PlacementChoice> RoundRobinPolicy::choose(
    const PlacementRequest&, std::span<const PlacementCandidate> candidates) const
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto& it = candidates[m_next++ % candidates.size()];
    return PlacementChoice { it.upstream, it.incarnation };
}

std::optional<PlacementChoice> LeastLoadPolicy::choose(
    const PlacementRequest&, std::span<const PlacementCandidate> candidates) const
{
    const auto load = [&](const PlacementCandidate& it) {
        return it.queuedTokens + m_load.sentWork(it.upstream, it.reportedAt).tokens;
    };
    const auto it = std::min_element(
        candidates.begin(), candidates.end(), [&](const auto& a, const auto& b) { return load(a) < load(b); });
    if (it == candidates.end()) {
        return std::nullopt;
    }
    return PlacementChoice { it->upstream, it->incarnation };
}

std::optional<PlacementChoice> WholePrefixPolicy::choose(
    const PlacementRequest& request, std::span<const PlacementCandidate> candidates) const
{
    const auto& hashes = request.chain.hashes;
    const ChainHash key = hashes.empty() ? 0 : hashes.back();
    const auto it = std::max_element(candidates.begin(), candidates.end(), [&](const auto& a, const auto& b) {
        return rendezvousWeight(engineHash(a.upstream), key) < rendezvousWeight(engineHash(b.upstream), key);
    });
    if (it == candidates.end()) {
        return std::nullopt;
    }
    return PlacementChoice { it->upstream, it->incarnation };
}

} // namespace Pollenwind
