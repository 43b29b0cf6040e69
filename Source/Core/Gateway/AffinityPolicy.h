#pragma once

#include "Gateway/Queries/PrefixQueries.h"
#include "Gateway/Queries/RunnerPolicy.h"

namespace Pollenwind {

/// Costs that the policy compares, in seconds of a runner's time.
struct AffinityCosts {
    /// Time to compute one prompt token; the sheets of the deployments give 38.7 tokens a millisecond.
    double secondsPerToken = 1.0 / 38'700;
    /// Time to copy one cached token from another runner: 328 KB at 550 Gbit/s.
    double secondsPerCopiedToken = 4.8e-6;
    /// Weight of the shared tokens that a runner has to compute again. Above 1 because they also delay the requests
    /// behind it and evict other entries.
    double recomputeWeight = 1.5;
    /// Time that one more running request adds for the others: a batch step grows by about 12 microseconds a request
    /// over about 70 steps.
    double secondsPerRequest = 0.001;
    /// Share of the slots above which further requests are likely to wait.
    double queueingShare = 0.75;
    /// Cost of a crowded runner.
    double queueingSeconds = 0.3;
    /// Part of the time to compute a token that copying it costs as well, since it evicts an entry that is read again.
    double evictionWeight = 0.3;
    /// Cost of leaving the own zone.
    double otherZoneSeconds = 0.012;
    /// The same where the VMs do not report their work to other zones, whose runners therefore look idle. Below the
    /// cost of copying the shared parts of a long prompt, since a copy in each zone evicts the entries of others.
    double unknownZoneSeconds = 0.03;
    /// Cost of weights that are not the newest, whose answers are worth a fifth less.
    double oldWeightsSeconds = 0.05;
};

/// Sends a request where the work that waits and the tokens to compute or copy take the least time.
///
/// A prompt that no runner holds goes to the runner that rendezvous hashing over its shared parts names, so that all
/// VMs agree without messages. Shared parts that another runner holds are copied from there.
class AffinityPolicy final : public RunnerPolicy {
public:
    AffinityPolicy(ZoneId ownZone, const PrefixQueries& prefixes, AffinityCosts costs = {});

    std::optional<RunnerChoice> choose(const ForwardRequest& request, const std::string& cacheSalt,
        WeightsVersion targetWeights, std::span<const CacheStore> stores,
        std::span<const RunnerCandidate> candidates) const override;

    /// Sets whether the work at the runners of other zones is unknown here.
    void setOtherZoneLoadUnknown(bool isOtherZoneLoadUnknown) { m_isOtherZoneLoadUnknown = isOtherZoneLoadUnknown; }

private:
    struct Option;
    struct PromptCacheState;

    PromptCacheState findHolders(const ForwardRequest& request, const std::string& cacheSalt, WeightsVersion weights,
        std::span<const RunnerCandidate> candidates) const;
    static void findSource(const PromptCacheState& cacheState, Option& option);
    void chooseStore(const std::vector<SharedPrefix>& prefixes, WeightsVersion targetWeights,
        std::span<const CacheStore> stores, const Option& option, RunnerChoice& choice) const;
    static void assignProbabilities(std::vector<Option>& options);
    double costOf(const Option& option, WeightsVersion targetWeights) const;

    ZoneId m_ownZone;
    const PrefixQueries& m_prefixes;
    AffinityCosts m_costs;
    bool m_isOtherZoneLoadUnknown = false;
};

} // namespace Pollenwind
