#pragma once

#include "Placement/Queries/LoadQueries.h"
#include "Placement/Queries/PlacementPolicy.h"

namespace Pollenwind {

/// Chooses the candidates in turn. A baseline for benchmarks.
class RoundRobinPolicy final : public PlacementPolicy {
public:
    std::optional<PlacementChoice> choose(
        const PlacementRequest& request, std::span<const PlacementCandidate> candidates) const override;

private:
    mutable std::size_t m_next = 0;
};

/// Chooses the candidate with the fewest queued tokens: those last reported plus those this router sent since. A
/// baseline for benchmarks.
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

/// Chooses by rendezvous hashing over the whole prefix, regardless of load. A baseline for benchmarks.
class WholePrefixPolicy final : public PlacementPolicy {
public:
    std::optional<PlacementChoice> choose(
        const PlacementRequest& request, std::span<const PlacementCandidate> candidates) const override;
};

} // namespace Pollenwind
