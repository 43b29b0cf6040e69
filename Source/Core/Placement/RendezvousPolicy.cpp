#include "Placement/RendezvousPolicy.h"

#include <xxhash.h>

namespace Pollenwind {

std::optional<PlacementChoice> RendezvousPolicy::choose(
    const PlacementRequest& request, std::span<const PlacementCandidate> candidates) const
{
    const ChainHash key = request.chain.hashes.empty() ? 0 : request.chain.hashes.front();
    const PlacementCandidate* best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const auto& it : candidates) {
        const auto& name = it.upstream.value();
        const auto weight = XXH3_64bits_withSeed(name.data(), name.size(), key);
        if (!best || weight > bestWeight) {
            best = &it;
            bestWeight = weight;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    return PlacementChoice { best->upstream, best->incarnation, 0 };
}

} // namespace Pollenwind
