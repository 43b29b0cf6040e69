#pragma once

#include "Gateway/ForwardTypes.h"
#include "Gateway/RoutingTypes.h"
#include "Gateway/RunnerTypes.h"

#include <optional>
#include <span>
#include <string>

namespace Pollenwind {

/// The runner chosen for one attempt.
struct RunnerChoice {
    UpstreamId id;
    Endpoint endpoint;
    Incarnation incarnation;
    /// The runner's weights of the request's model.
    WeightsVersion weights = 0;
    /// See RunnerCandidate.
    std::optional<MonotonicTime> beginBy;
    /// Version of the runner's software.
    VersionId software;
    /// Prompt tokens that the runner is expected to compute.
    double computedTokens = 0;
    /// Prompt tokens that the runner computes if it has only the parts cached that were reported. Unlike
    /// computedTokens, it makes no assumption that favours runners which have been in use for longer.
    double uncachedTokens = 0;
    /// Prompt tokens of yielding requests without output that the runner had when it was chosen.
    double tokensAhead = 0;
    /// Runner or store from which the runner copies shared parts of the prompt that it does not have cached or may have
    /// evicted.
    std::optional<Endpoint> cacheSource;
    /// Store to which the runner saves the shared parts because it does not have them yet.
    std::optional<Endpoint> cacheStore;
};

/// Chooses the runner for a request.
class RunnerPolicy {
public:
    RunnerPolicy() = default;
    RunnerPolicy(const RunnerPolicy&) = delete;
    RunnerPolicy& operator=(const RunnerPolicy&) = delete;
    virtual ~RunnerPolicy() = default;

    /// @param cacheSalt Separates the cache entries of isolated organisations.
    /// @param targetWeights Target weights of the request's model; 0 if none are configured.
    /// @param stores Cache stores that runners may copy from and save to.
    /// @param candidates Runners that may take the request.
    /// @return The choice, or nothing when there is no candidate.
    virtual std::optional<RunnerChoice> choose(const ForwardRequest& request, const std::string& cacheSalt,
        WeightsVersion targetWeights, std::span<const CacheStore> stores,
        std::span<const RunnerCandidate> candidates) const
        = 0;
};

} // namespace Pollenwind
