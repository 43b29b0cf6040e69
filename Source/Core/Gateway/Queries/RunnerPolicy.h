#pragma once

#include "Gateway/ForwardTypes.h"
#include "Gateway/RoutingTypes.h"
#include "Gateway/RunnerTypes.h"

#include <optional>
#include <span>
#include <string>

namespace Pollenwind {

/// The chosen runner.
struct RunnerChoice {
    UpstreamId id;
    Endpoint endpoint;
    Incarnation incarnation;
    /// The runner's weights of the request's model.
    WeightsVersion weights = 0;
    /// Prompt tokens that the runner is expected to compute.
    double computedTokens = 0;
    /// Runner or store that holds shared parts of the prompt which this runner lacks or may have evicted.
    std::optional<Endpoint> cacheSource;
    /// Store that does not hold the shared parts yet.
    std::optional<Endpoint> cacheStore;
};

/// Chooses the runner of a request.
class RunnerPolicy {
public:
    RunnerPolicy() = default;
    RunnerPolicy(const RunnerPolicy&) = delete;
    RunnerPolicy& operator=(const RunnerPolicy&) = delete;
    virtual ~RunnerPolicy() = default;

    /// @param cacheSalt Separates the cache entries of isolated organisations.
    /// @param targetWeights Newest weights of the request's model; 0 when none were named.
    /// @param stores Stores of cache entries.
    /// @param candidates Runners that may take the request.
    /// @return The choice, or nothing when there is no candidate.
    virtual std::optional<RunnerChoice> choose(const ForwardRequest& request, const std::string& cacheSalt,
        WeightsVersion targetWeights, std::span<const CacheStore> stores,
        std::span<const RunnerCandidate> candidates) const
        = 0;
};

} // namespace Pollenwind
