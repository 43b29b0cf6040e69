#pragma once

#include "Common/Clock.h"
#include "Placement/CandidateRing.h"
#include "Placement/Queries/CacheQueries.h"
#include "Placement/Queries/LoadQueries.h"
#include "Placement/Queries/PlacementPolicy.h"

#include <chrono>
#include <random>
#include <vector>

namespace Pollenwind {

/// Weights of the cost, and which parts of it are in use. Parts are switched off only to measure what each is worth.
struct CostPolicyOptions {
    /// Prefill time of one missed token.
    std::chrono::nanoseconds prefillPerToken { 20'000 };
    /// Weight of the prefill work against the wait of the request itself. Above 1 because a missed prefix also delays
    /// every request behind it and evicts others; with 1 a loaded fleet spreads its prefixes until none is held.
    double missedWeight = 1.5;
    /// Routers that place requests at the same time.
    unsigned routers = 9;
    /// Lag of the engines' load reports.
    std::chrono::nanoseconds reportLag { std::chrono::milliseconds(200) };
    /// Up to this number of candidates all are considered; above, only those found by hashing.
    std::size_t fullScanLimit = 64;
    bool usesQueue = true;
    /// Share of an engine's prefill that one prefix may fill before it gets another engine.
    double engineShare = 0.4;
    /// Fewest engines that a prefix may use; two allow for an engine that others made busy.
    std::size_t minPreferredEngines = 2;
    bool usesPreferredEngines = true;
    std::uint64_t seed = 1;
};

/// Places a request where missed tokens x prefill time + expected queue is least.
///
/// A prefix that no engine is known to hold goes to the engine that rendezvous hashing over its first unknown piece
/// names, so that routers agree without messages. A prefix may use as many engines as its demand needs, the first ones
/// in its rendezvous order; the number follows the demand up and down.
class CostPolicy final : public PlacementPolicy {
public:
    CostPolicy(const Clock& clock, const CacheQueries& cache, const LoadQueries& load, CostPolicyOptions options = {});

    std::optional<PlacementChoice> choose(
        const PlacementRequest& request, std::span<const PlacementCandidate> candidates) const override;

private:
    struct ScoredCandidate {
        const PlacementCandidate* candidate = nullptr;
        std::uint32_t blocks = 0;
        std::uint64_t oldestConfirmedAt = 0;
        /// Expected seconds until the queue of the engine is empty.
        double wait = 0;
        double cost = 0;
        std::uint64_t weight = 0;
    };

    std::vector<ScoredCandidate> collectCandidates(
        const PlacementRequest& request, std::span<const PlacementCandidate> candidates) const;
    std::size_t preferredEngineCount(const PrefixChain& chain) const;
    void applySlowStart(std::vector<ScoredCandidate>& scored) const;
    void computeCosts(const PlacementRequest& request, std::vector<ScoredCandidate>& scored) const;
    void keepPreferredEngines(const PrefixChain& chain, std::vector<ScoredCandidate>& scored) const;
    double expectedWait(const PlacementCandidate& candidate) const;

    const Clock& m_clock;
    const CacheQueries& m_cache;
    const LoadQueries& m_load;
    CostPolicyOptions m_options;
    // Choosing changes no knowledge; the generator and the ring are caches of the policy itself.
    mutable std::mt19937_64 m_random;
    mutable CandidateRing m_ring;
};

} // namespace Pollenwind
