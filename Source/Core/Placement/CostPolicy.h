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

/// Parameters of the cost function, and which of its terms are enabled. Terms are disabled only in benchmarks, to
/// measure what each contributes.
struct CostPolicyOptions {
    /// Prefill time of one uncached token.
    std::chrono::nanoseconds prefillPerToken { 20'000 };
    /// Weight of the prefill work relative to the queueing time of the request. Above 1 because a cache miss also
    /// delays every request behind it and evicts other prefixes; with 1 a loaded fleet spreads its prefixes until none
    /// stays cached.
    double missedWeight = 1.5;
    /// Number of routers that place requests concurrently.
    unsigned routers = 9;
    /// Lag of the engines' load reports.
    std::chrono::nanoseconds reportLag { std::chrono::milliseconds(200) };
    /// Largest candidate set that is scanned in full; of a larger one only the engines found by hashing are considered.
    std::size_t fullScanLimit = 64;
    bool usesQueue = true;
    /// Fraction of an engine's prefill capacity that one prefix may use before it gets another engine.
    double engineShare = 0.4;
    /// Minimum number of engines that a prefix may use. Two, so that there is an alternative when one of them is busy
    /// with other prefixes.
    std::size_t minPreferredEngines = 2;
    bool usesPreferredEngines = true;
    std::uint64_t seed = 1;
};

/// Chooses the engine with the lowest cost: uncached tokens x prefill time + expected queueing time.
///
/// A prefix that no engine is known to have cached goes to the engine that rendezvous hashing over its first unknown
/// block selects, so that routers agree without messages. A prefix may use as many engines as its demand requires,
/// the first ones in its rendezvous order; their number increases and decreases with the demand.
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
        /// Expected time until the queue of the engine is empty, in seconds.
        double wait = 0;
        /// Cost of the request at this engine, in seconds.
        double cost = 0;
        /// Rendezvous weight, which breaks ties between equal costs.
        std::uint64_t weight = 0;
    };

    /// @return The candidates to consider, with the blocks that they have cached.
    std::vector<ScoredCandidate> collectCandidates(
        const PlacementRequest& request, std::span<const PlacementCandidate> candidates) const;
    /// @return Number of engines that the demand for the prefix of a chain requires.
    std::size_t preferredEngineCount(const PrefixChain& chain) const;
    /// Removes engines in slow start at random, so that each keeps the admitted fraction of its requests. Removes none
    /// if no candidate would remain.
    void applySlowStart(std::vector<ScoredCandidate>& scored) const;
    void computeCosts(const PlacementRequest& request, std::vector<ScoredCandidate>& scored) const;
    /// Reduces the candidates to the preferred engines of the prefix, the first ones in its rendezvous order.
    void keepPreferredEngines(const PrefixChain& chain, std::vector<ScoredCandidate>& scored) const;
    /// @return Expected queueing time at an engine, in seconds.
    double expectedWait(const PlacementCandidate& candidate) const;

    const Clock& m_clock;
    const CacheQueries& m_cache;
    const LoadQueries& m_load;
    CostPolicyOptions m_options;
    // Mutable because choose() is a query: the generator and the ring do not affect what the policy knows.
    mutable std::mt19937_64 m_random;
    mutable CandidateRing m_ring;
};

} // namespace Pollenwind
