#pragma once

#include "Placement/Queries/PlacementPolicy.h"

namespace Pollenwind {

/// Places requests by rendezvous hashing over the first piece of the prompt, so that routers agree without messages.
class RendezvousPolicy final : public PlacementPolicy {
public:
    std::optional<PlacementChoice> choose(
        const PlacementRequest& request, std::span<const PlacementCandidate> candidates) const override;
};

} // namespace Pollenwind
