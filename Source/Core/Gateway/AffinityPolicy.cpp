#include "Gateway/AffinityPolicy.h"

#include "Common/HashFraction.h"
#include "Common/ShortText.h"
#include "Gateway/Queries/RunnerQueries.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <bitset>
#include <cmath>
#include <limits>
#include <utility>

namespace Pollenwind {

namespace {

    // Largest cost of a low rendezvous score, in seconds. It decides between runners that are equally busy.
    constexpr double rendezvousSeconds = 0.02;

    // Assumed probability that a runner has the shared parts of a prompt cached although this was not reported, by its
    // rank in the prompt's rendezvous order. A VM that has just started has an empty cache directory; with this it
    // chooses the same runners as the other VMs.
    constexpr std::array<double, 2> cachedProbabilityByRank { 0.7, 0.3 };

    // Below this number of shared tokens, computing them takes hardly longer than requesting them from a store.
    constexpr double minStoredTokens = 1000;

    /// Rendezvous hash of a prompt and a runner of usual speed, from 0 to 1. The runner with the highest score is
    /// preferred.
    /// @param runner Hash of the runner's id.
    double rendezvousScoreOf(std::uint64_t prompt, std::uint64_t runner)
    {
        return toFraction(XXH3_64bits_withSeed(&runner, sizeof runner, prompt));
    }

    /// Weights a score by the relative speed of its runner: one of twice the speed is first for twice as many prompts.
    double weightedScore(double score, double speed) { return speed == 1 ? score : std::pow(score, 1 / speed); }

    /// A number that is not less than the weighted score and takes less time.
    double weightedScoreLimit(double score, double speed)
    {
        // Covers the rounding of std::pow().
        constexpr double margin = 1e-9;
        // A power with an exponent above 1 is below its base, one with an exponent below 1 is below its tangent at 1.
        return speed <= 1 ? score + margin : 1 - (1 - score) / speed + margin;
    }

    /// The runner processes and stores that have the prefixes of a prompt cached, for look-ups by many runners of which
    /// few have any.
    class HolderSet {
    public:
        /// Adds the holders of the next longer prefix.
        void add(std::vector<std::uint64_t> hashes)
        {
            for (const auto hash : hashes) {
                m_filter[hash % m_filter.size()] = true;
            }
            m_isEmpty = m_isEmpty && hashes.empty();
            if (hashes.size() > longestUnsorted) {
                std::ranges::sort(hashes);
            }
            m_holders.push_back(std::move(hashes));
        }

        bool isEmpty() const { return m_isEmpty; }

        /// Number of prefixes up to the longest one that a holder has cached; 0 if it has none.
        std::uint32_t longestOf(std::uint64_t hash) const
        {
            if (!m_filter[hash % m_filter.size()]) {
                return 0;
            }
            const auto it = std::find_if(m_holders.rbegin(), m_holders.rend(), [hash](const auto& hashes) {
                return hashes.size() > longestUnsorted ? std::ranges::binary_search(hashes, hash)
                                                       : std::ranges::find(hashes, hash) != hashes.end();
            });
            return static_cast<std::uint32_t>(m_holders.rend() - it);
        }

    private:
        /// Longest list that is searched from start to end.
        static constexpr std::size_t longestUnsorted = 16;

        /// The holders of each prefix, the shortest prefix first.
        std::vector<std::vector<std::uint64_t>> m_holders;
        /// Whether any holder has a hash with this remainder.
        std::bitset<1024> m_filter;
        bool m_isEmpty = true;
    };

} // namespace

/// What all options of a choice have in common.
struct AffinityPolicy::Prompt {
    const ForwardRequest& request;
    const std::string& cacheSalt;
    /// Id of the last shared part; 0 without one.
    std::uint64_t lastPart = 0;
    /// Tokens that other requests share.
    double sharedTokens = 0;
    /// Tokens that no other request shares.
    double ownTokens = 0;
};

/// Numbers of the zones of the candidates, so that the zone of each is compared once. Zone 0 is that of this VM.
class AffinityPolicy::ZoneNumbers {
public:
    explicit ZoneNumbers(const ZoneId& ownZone) { m_zones.push_back(&ownZone); }

    std::uint32_t numberOf(const ZoneId& zone)
    {
        for (std::size_t n = 0; n < m_zones.size(); ++n) {
            if (isEqualText(m_zones[n]->value(), zone.value())) {
                return static_cast<std::uint32_t>(n);
            }
        }
        m_zones.push_back(&zone);
        return static_cast<std::uint32_t>(m_zones.size() - 1);
    }

private:
    std::vector<const ZoneId*> m_zones;
};

/// Speeds and rendezvous scores of the candidates, in their order.
struct AffinityPolicy::Ranking {
    struct Score {
        double unweighted = 0;
        /// Weighted by the speed, or a limit that is not less.
        double weighted = 0;
        bool isLimit = false;
    };

    /// Whether a score that is not above a limit is below those of all ranks with a cache probability.
    bool isBelowFirst(double limit) const { return first.back() != none && limit < scores[first.back()].weighted; }

    /// Inserts a candidate into the ranks with a cache probability if its score is among the highest.
    void insert(std::size_t moved)
    {
        for (auto& it : first) {
            if (it == none || scores[moved].weighted > scores[it].weighted) {
                std::swap(it, moved);
            }
            if (moved == none) {
                return;
            }
        }
    }

    /// Probability that a runner has the shared parts cached although this was not reported.
    double cachedProbabilityOf(std::size_t n) const
    {
        const auto it = std::ranges::find(first, n);
        return it == first.end() ? 0 : cachedProbabilityByRank[static_cast<std::size_t>(it - first.begin())];
    }

    static constexpr std::size_t none = std::numeric_limits<std::size_t>::max();

    std::vector<double> speeds;
    std::vector<Score> scores;
    /// The candidates with the highest scores, the highest first.
    std::array<std::size_t, cachedProbabilityByRank.size()> first = [] {
        std::array<std::size_t, cachedProbabilityByRank.size()> empty {};
        empty.fill(none);
        return empty;
    }();
};

/// The inputs of the cost of a candidate.
struct AffinityPolicy::Option {
    /// Speed of the runner relative to the median of its service.
    double speed = 1;
    /// Weighted by the speed.
    double rendezvousScore = 0;
    /// Probability that the runner has the shared parts cached although this was not reported.
    double cachedProbability = 0;
    /// Shared tokens that the runner is reported to have cached.
    double cachedTokens = 0;
    /// Shared tokens that `source` has cached, counted from the start of the prompt; 0 without a source.
    double copiedTokens = 0;
    /// Runner with a longer cached prefix than this one, if any.
    const RunnerCandidate* source = nullptr;
    bool isSourceInOtherZone = false;
    bool isInOtherZone = false;

    /// Expected number of shared tokens that the runner has to compute.
    double missedTokens(double sharedTokens) const
    {
        const double known = std::max(cachedTokens, copiedTokens);
        return std::max(0.0, sharedTokens - known) * (1 - cachedProbability);
    }
};

/// Cached prefixes of a prompt at the runners with one version of the weights.
struct AffinityPolicy::PromptCacheState {
    /// A runner from which others copy.
    struct Source {
        const RunnerCandidate* candidate = nullptr;
        std::uint32_t zone = 0;
    };

    WeightsVersion weights = 0;
    std::vector<SharedPrefix> prefixes;
    /// Number of prefixes that each candidate has cached, counted from the shortest to its longest one. Empty if no
    /// candidate has any.
    std::vector<std::uint32_t> cachedPrefixes;
    /// The largest of these numbers.
    std::uint32_t mostCachedPrefixes = 0;
    /// The first candidate of each zone that has the most prefixes cached, in the order of the candidates.
    std::vector<Source> sources;

    /// Sets the cached tokens of an option and the runner from which it can copy more, preferably in its own zone.
    /// @param n Position of the candidate.
    /// @param zone Number of its zone.
    void setSource(std::size_t n, std::uint32_t zone, Option& option) const
    {
        if (mostCachedPrefixes == 0) {
            return;
        }
        const auto cached = cachedPrefixes[n];
        option.cachedTokens = cached > 0 ? prefixes[cached - 1].tokens : 0;
        if (cached == mostCachedPrefixes) {
            return;
        }
        const auto nearest = std::ranges::find(sources, zone, &Source::zone);
        const auto& source = nearest == sources.end() ? sources.front() : *nearest;
        option.source = source.candidate;
        option.isSourceInOtherZone = source.zone != zone;
        option.copiedTokens = prefixes[mostCachedPrefixes - 1].tokens;
    }
};

AffinityPolicy::AffinityPolicy(ZoneId ownZone, const PrefixQueries& prefixes, AffinityCosts costs)
    : m_ownZone(std::move(ownZone))
    , m_prefixes(prefixes)
    , m_costs(costs)
{
}

AffinityPolicy::PromptCacheState AffinityPolicy::findHolders(
    const Prompt& prompt, WeightsVersion weights, std::span<const RunnerCandidate> candidates, ZoneNumbers& zones) const
{
    PromptCacheState cacheState;
    cacheState.weights = weights;
    cacheState.prefixes = sharedPrefixes(prompt.request, prompt.cacheSalt, weights);
    HolderSet holders;
    for (const auto& prefix : cacheState.prefixes) {
        holders.add(m_prefixes.holdersOf(prefix.hash));
    }
    if (holders.isEmpty()) {
        return cacheState;
    }
    cacheState.cachedPrefixes.resize(candidates.size());
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        if (candidates[n].weights == weights) {
            const auto cached = holders.longestOf(holderHash(candidates[n]));
            cacheState.cachedPrefixes[n] = cached;
            cacheState.mostCachedPrefixes = std::max(cacheState.mostCachedPrefixes, cached);
        }
    }
    for (std::size_t n = 0; n < candidates.size() && cacheState.mostCachedPrefixes > 0; ++n) {
        if (cacheState.cachedPrefixes[n] != cacheState.mostCachedPrefixes) {
            continue;
        }
        const auto zone = zones.numberOf(candidates[n].zone);
        if (std::ranges::find(cacheState.sources, zone, &PromptCacheState::Source::zone) == cacheState.sources.end()) {
            cacheState.sources.push_back({ &candidates[n], zone });
        }
    }
    return cacheState;
}

AffinityPolicy::Ranking AffinityPolicy::rank(std::uint64_t lastPart, std::span<const RunnerCandidate> candidates) const
{
    Ranking ranking;
    std::vector<std::uint64_t> hashes(candidates.size());
    std::ranges::transform(
        candidates, hashes.begin(), [](const RunnerCandidate& candidate) { return runnerHash(candidate); });
    ranking.speeds.resize(candidates.size(), 1.0);
    if (m_pace) {
        m_pace->speedsOf(hashes, ranking.speeds);
    }
    ranking.scores.resize(candidates.size());
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        auto& score = ranking.scores[n];
        const double speed = ranking.speeds[n];
        score.unweighted = rendezvousScoreOf(lastPart, hashes[n]);
        score.weighted = score.unweighted;
        if (speed != 1) {
            const double limit = weightedScoreLimit(score.unweighted, speed);
            score.isLimit = ranking.isBelowFirst(limit);
            score.weighted = score.isLimit ? limit : weightedScore(score.unweighted, speed);
        }
        if (!score.isLimit) {
            ranking.insert(n);
        }
    }
    return ranking;
}

double AffinityPolicy::costOf(
    const RunnerCandidate& candidate, const Option& option, const Prompt& prompt, WeightsVersion targetWeights) const
{
    const double copied = std::max(0.0, option.copiedTokens - option.cachedTokens);
    const double zoneFactor = option.isSourceInOtherZone ? 2 : 1;
    // A fast runner ends its work sooner but has no more slots than its entry says.
    const double usableSlots = candidate.slots * std::min(1.0, option.speed);
    double cost = candidate.load.waitingTokens * m_costs.secondsPerToken / option.speed
        + option.missedTokens(prompt.sharedTokens) * m_costs.secondsPerToken * m_costs.recomputeWeight
        + copied * (m_costs.secondsPerCopiedToken * zoneFactor + m_costs.secondsPerToken * m_costs.evictionWeight)
        + candidate.load.requests * m_costs.secondsPerRequest / option.speed
        + (1 - option.rendezvousScore) * rendezvousSeconds;
    if (candidate.load.requests >= m_costs.queueingShare * usableSlots) {
        cost += m_costs.queueingSeconds * candidate.load.requests / std::max(1U, candidate.slots) / option.speed;
    }
    if (option.isInOtherZone) {
        cost += m_isOtherZoneLoadUnknown ? m_costs.unknownZoneSeconds : m_costs.otherZoneSeconds;
    }
    cost += candidate.weights < targetWeights ? m_costs.oldWeightsSeconds : 0;
    cost += candidate.isInPromptPool ? m_costs.promptPoolSeconds : 0;
    // A runner that recovers from failures gets work if the others would take clearly longer.
    return cost + 1 - candidate.admission;
}

std::optional<RunnerChoice> AffinityPolicy::choose(const ForwardRequest& request, const std::string& cacheSalt,
    WeightsVersion targetWeights, std::span<const CacheStore> stores, std::span<const RunnerCandidate> candidates) const
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    Prompt prompt { request, cacheSalt };
    if (request.parts.size() > 1) {
        prompt.lastPart = request.parts[request.parts.size() - 2].id;
        for (const auto& part : std::span(request.parts).first(request.parts.size() - 1)) {
            prompt.sharedTokens += part.tokens;
        }
    }
    const double promptTokens = request.tokens ? request.tokens->prompt : prompt.sharedTokens;
    prompt.ownTokens = std::max(0.0, promptTokens - prompt.sharedTokens);

    auto ranking = rank(prompt.lastPart, candidates);
    ZoneNumbers zones(m_ownZone);
    // Runners have few versions of the weights at a time.
    std::vector<PromptCacheState> cacheStates;
    std::size_t state = 0;
    std::size_t best = 0;
    Option bestOption;
    double lowestCost = 0;
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        const auto& candidate = candidates[n];
        if (cacheStates.empty() || cacheStates[state].weights != candidate.weights) {
            const auto known = std::ranges::find(cacheStates, candidate.weights, &PromptCacheState::weights);
            state = static_cast<std::size_t>(known - cacheStates.begin());
            if (known == cacheStates.end()) {
                cacheStates.push_back(findHolders(prompt, candidate.weights, candidates, zones));
            }
        }
        const auto zone = zones.numberOf(candidate.zone);
        Option option { ranking.speeds[n], ranking.scores[n].weighted, ranking.cachedProbabilityOf(n) };
        option.isInOtherZone = zone != 0;
        cacheStates[state].setSource(n, zone, option);
        double cost = costOf(candidate, option, prompt, targetWeights);
        if (ranking.scores[n].isLimit && cost < lowestCost) {
            // The cost was a lower limit. The score of the first candidate is never a limit.
            option.rendezvousScore = weightedScore(ranking.scores[n].unweighted, option.speed);
            cost = costOf(candidate, option, prompt, targetWeights);
        }
        if (n == 0 || cost < lowestCost) {
            best = n;
            bestOption = option;
            lowestCost = cost;
        }
    }
    const auto& candidate = candidates[best];
    RunnerChoice choice { candidate.id, candidate.endpoint };
    choice.incarnation = candidate.incarnation;
    choice.weights = candidate.weights;
    choice.beginBy = candidate.beginBy;
    choice.software = candidate.software;
    choice.tokensAhead = candidate.load.yieldingTokens;
    choice.computedTokens = bestOption.missedTokens(prompt.sharedTokens) + prompt.ownTokens;
    choice.uncachedTokens
        = std::max(0.0, prompt.sharedTokens - std::max(bestOption.cachedTokens, bestOption.copiedTokens))
        + prompt.ownTokens;
    if (bestOption.source && bestOption.copiedTokens > bestOption.cachedTokens) {
        choice.cacheSource = bestOption.source->endpoint;
    }
    const auto chosen = std::ranges::find(cacheStates, choice.weights, &PromptCacheState::weights);
    chooseStore(prompt, chosen->prefixes, targetWeights, stores, candidate.zone, choice);
    return choice;
}

void AffinityPolicy::chooseStore(const Prompt& prompt, const std::vector<SharedPrefix>& prefixes,
    WeightsVersion targetWeights, std::span<const CacheStore> stores, const ZoneId& zone, RunnerChoice& choice) const
{
    if (prefixes.empty() || stores.empty() || prompt.sharedTokens < minStoredTokens) {
        return;
    }
    const auto& store = m_storeChoice.choose(stores, zone, prompt.lastPart);
    const auto holders = m_prefixes.holdersOf(prefixes.back().hash);
    const auto isIn = [&holders](const CacheStore& it) {
        return std::ranges::find(holders, storeHash(it.endpoint)) != holders.end();
    };
    const bool isStored = isIn(store);
    if (isStored && m_storeChoice.isByPrefix()) {
        // While the prefixes in use exceed one store, runners evict them before their reports expire here.
        choice.cacheSource.reset();
    }
    // Saved before the placement changed, or by a VM that still places by zone.
    const auto other = isStored || !m_storeChoice.isByPrefix() ? stores.end() : std::ranges::find_if(stores, isIn);
    if (!choice.cacheSource && other != stores.end()) {
        choice.cacheSource = other->endpoint;
        choice.computedTokens = prompt.ownTokens;
        choice.uncachedTokens = prompt.ownTokens;
    } else if (!choice.cacheSource) {
        // The runner copies only what it does not have, and a request to a store without the parts costs a millisecond.
        // VMs of another zone may have saved parts that were not reported here.
        choice.cacheSource = store.endpoint;
        choice.computedTokens = isStored ? prompt.ownTokens : choice.computedTokens;
        choice.uncachedTokens = isStored ? prompt.ownTokens : choice.uncachedTokens;
    }
    if (isStored) {
        return;
    }
    // A runner that is about to load new weights might compute the last parts with them.
    if (choice.weights >= targetWeights) {
        choice.cacheStore = store.endpoint;
    }
}

} // namespace Pollenwind
