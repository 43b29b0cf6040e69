#pragma once

#include "Gateway/CacheStoreChoice.h"
#include "Gateway/Queries/PaceQueries.h"
#include "Gateway/Queries/PrefixQueries.h"
#include "Gateway/Queries/RunnerPolicy.h"

namespace Pollenwind {

/// Parameters of the cost of each candidate, in seconds of a runner's time.
struct AffinityCosts {
    /// Time to compute one prompt token, at the specified 38.7 tokens per millisecond.
    double secondsPerToken = 1.0 / 38'700;
    /// Time to copy one cached token from another runner or a store: 328 KB at 550 Gbit/s.
    double secondsPerCopiedToken = 4.8e-6;
    /// Factor on the time to compute shared tokens that the runner does not have cached. Above 1 because this also
    /// delays the requests behind it and evicts other entries.
    double recomputeWeight = 1.5;
    /// Time that one more running request adds to the others: each of about 70 batch steps takes about 12 microseconds
    /// longer per request.
    double secondsPerRequest = 0.001;
    /// Share of the slots in use from which further requests are likely to wait in the runner's queue.
    double queueingShare = 0.75;
    /// Cost of waiting in the queue of a runner whose slots are all in use.
    double queueingSeconds = 0.3;
    /// Share of the time to compute a token that is added for each copied token, since the copy evicts an entry that
    /// has to be computed again.
    double evictionWeight = 0.3;
    /// Cost of a runner in another zone.
    double otherZoneSeconds = 0.012;
    /// Cost of a runner in another zone when VMs do not report their work to other zones and its runners therefore look
    /// idle. Less than the cost of copying the shared parts of a long prompt, since a copy in each zone would evict
    /// other entries.
    double unknownZoneSeconds = 0.03;
    /// Cost of weights older than the target, whose responses are worth a fifth less.
    double oldWeightsSeconds = 0.05;
    /// Cost of an engine of the prompt pool for a request that does not yield, since the prompts there delay its
    /// stream. Less than the cost of a runner whose slots are in use, so that the pool takes such requests before they
    /// have to queue elsewhere.
    double promptPoolSeconds = 0.15;
};

/// Chooses the runner with the lowest cost: waiting work, tokens to compute or copy, zone, weights and recent failures.
///
/// Among runners of equal cost, rendezvous hashing over the last shared part of the prompt decides, so that all VMs
/// choose the same runner without messages. Shared parts that another runner or a store has cached are copied from
/// there.
class AffinityPolicy final : public RunnerPolicy {
public:
    AffinityPolicy(ZoneId ownZone, const PrefixQueries& prefixes, AffinityCosts costs = {});

    std::optional<RunnerChoice> choose(const ForwardRequest& request, const std::string& cacheSalt,
        WeightsVersion targetWeights, std::span<const CacheStore> stores,
        std::span<const RunnerCandidate> candidates) const override;

    /// Sets whether the work at the runners of other zones is not reported to this VM.
    void setOtherZoneLoadUnknown(bool isOtherZoneLoadUnknown) { m_isOtherZoneLoadUnknown = isOtherZoneLoadUnknown; }

    /// Decides which store keeps the shared parts of a prompt; by default that of the runner's zone.
    CacheStoreChoice& storeChoice() { return m_storeChoice; }
    void setStorePlacement(CacheStorePlacement placement) { m_storeChoice = CacheStoreChoice(placement); }
    /// Sets whether work and the rendezvous order are weighted by the relative speed of the runners.
    /// @param pace The speeds; null for none.
    void setPace(const PaceQueries* pace) { m_pace = pace; }

private:
    struct Option;
    struct Ranking;
    struct PromptCacheState;
    struct Prompt;
    class ZoneNumbers;

    /// Looks up which runners with the given weights have the prefixes of a prompt cached.
    PromptCacheState findHolders(const Prompt& prompt, WeightsVersion weights,
        std::span<const RunnerCandidate> candidates, ZoneNumbers& zones) const;
    /// Determines the speeds and the rendezvous scores of the candidates.
    Ranking rank(std::uint64_t lastPart, std::span<const RunnerCandidate> candidates) const;
    /// Adds the store of the prompt to a choice: as the source if there is none yet, and as the destination of shared
    /// parts that it does not have. Parts that only another store is known to have are copied from that one.
    /// @param zone Zone of the runner.
    void chooseStore(const Prompt& prompt, const std::vector<SharedPrefix>& prefixes, WeightsVersion targetWeights,
        std::span<const CacheStore> stores, const ZoneId& zone, RunnerChoice& choice) const;
    /// Cost of an option in seconds.
    double costOf(const RunnerCandidate& candidate, const Option& option, const Prompt& prompt,
        WeightsVersion targetWeights) const;

    ZoneId m_ownZone;
    const PrefixQueries& m_prefixes;
    AffinityCosts m_costs;
    CacheStoreChoice m_storeChoice;
    const PaceQueries* m_pace = nullptr;
    bool m_isOtherZoneLoadUnknown = false;
};

} // namespace Pollenwind
