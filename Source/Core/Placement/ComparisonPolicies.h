#pragma once

#include "Placement/Queries/LoadQueries.h"
#include "Placement/Queries/PlacementPolicy.h"

namespace Pollenwind {

/// Takes the candidates in turn. For comparison.
class RoundRobinPolicy final : public PlacementPolicy {
public:
    std::optional<PlacementChoice> choose(
        const PlacementRequest& request, std::span<const PlacementCandidate> candidates) const override;

private:
    mutable std::size_t m_next = 0;
};

/// Takes the candidate with the fewest tokens, as last reported plus what this router sent since. For comparison.
class LeastLoadPolicy final : public PlacementPolicy {
public:
    explicit LeastLoadPolicy(const LoadQueries& load)
        : m_load(load)
    {
    }

    std::optional<PlacementChoice> choose(
        const PlacementRequest& request, std::span<const PlacementCandidate> candidates) const override;

private:
    const LoadQueries& m_load;
};

/// Rendezvous hashing over the whole prefix, without regard to load. For comparison.
class WholePrefixPolicy final : public PlacementPolicy {
public:
    std::optional<PlacementChoice> choose(
        const PlacementRequest& request, std::span<const PlacementCandidate> candidates) const override;
};

} // namespace Pollenwind
