#pragma once

#include "Common/Clock.h"
#include "Gateway/Queries/RunnerPolicy.h"

#include <cstdint>

namespace Pollenwind {

/// Costs that the policy compares, in seconds of a runner's time.
struct AffinityCosts {
    /// Time to compute one prompt token; the sheets of the deployments give 38.7 tokens a millisecond.
    double secondsPerToken = 1.0 / 38'700;
    /// Weight of the shared tokens that a runner has to compute again. Above 1 because they also delay the requests
    /// behind it and evict other entries.
    double missedWeight = 1.5;
    /// Time that one more running request adds for the others: a batch step grows by about 12 microseconds a request
    /// over about 70 steps.
    double secondsPerRequest = 0.001;
    /// Share of the slots above which further requests are likely to wait.
    double crowdedShare = 0.75;
    /// Cost of a crowded runner.
    double crowdedSeconds = 0.3;
    /// Cost of leaving the own zone.
    double otherZoneSeconds = 0.004;
    /// Cost of weights that are not the newest, whose answers are worth a fifth less.
    double oldWeightsSeconds = 0.15;
};

/// Sends requests that share a prompt to the same runners, unless these are busy.
///
/// Rendezvous hashing over the shared parts names a prompt's home, so that all VMs agree without messages. The next
/// runners of that order take the overflow, and each is more likely to hold the parts than the one after it.
class AffinityPolicy final : public RunnerPolicy {
public:
    explicit AffinityPolicy(ZoneId ownZone, AffinityCosts costs = {});

    std::optional<RunnerChoice> choose(const ForwardRequest& request, const std::string& cacheSalt,
        WeightsVersion newestWeights, std::span<const RunnerCandidate> candidates) const override;

private:
    ZoneId m_ownZone;
    AffinityCosts m_costs;
};

} // namespace Pollenwind
