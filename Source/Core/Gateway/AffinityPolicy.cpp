#include "Gateway/AffinityPolicy.h"

#include "Common/HashFraction.h"
#include "Gateway/Queries/RunnerQueries.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>

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

    /// Rendezvous hash of a prompt and a runner, from 0 to 1. The runner with the highest score is preferred.
    /// @param runner Hash of the runner's id.
    /// @param speed Relative speed of the runner, its weight: a runner of twice the speed is first for twice as many
    /// prompts.
    double rendezvousScoreOf(std::uint64_t prompt, std::uint64_t runner, double speed)
    {
        const double score = toFraction(XXH3_64bits_withSeed(&runner, sizeof runner, prompt));
        return speed == 1 ? score : std::pow(score, 1 / speed);
    }

} // namespace

/// A candidate with the inputs of its cost.
struct AffinityPolicy::Option {
    const RunnerCandidate* candidate = nullptr;
    /// Tokens of the prompt that other requests share.
    double sharedTokens = 0;
    /// Tokens of the prompt that no other request shares.
    double ownTokens = 0;
    /// Shared tokens that the runner is reported to have cached.
    double cachedTokens = 0;
    /// Shared tokens that `source` has cached, counted from the start of the prompt; 0 without a source.
    double copiedTokens = 0;
    /// Runner with a longer cached prefix than this one, if any.
    const RunnerCandidate* source = nullptr;
    double rendezvousScore = 0;
    /// Speed of the runner relative to the median of its service.
    double speed = 1;

    /// Probability that the runner has the shared parts cached although this was not reported.
    double cachedProbability = 0;

    /// Expected number of shared tokens that the runner has to compute.
    double missedTokens() const
    {
        const double known = std::max(cachedTokens, copiedTokens);
        return std::max(0.0, sharedTokens - known) * (1 - cachedProbability);
    }
};

/// Cached prefixes of a prompt at the runners with one version of the weights.
struct AffinityPolicy::PromptCacheState {
    std::vector<SharedPrefix> prefixes;
    /// Runners that have each prefix cached, in the order of `prefixes`.
    std::vector<std::vector<const RunnerCandidate*>> holders;
};

AffinityPolicy::AffinityPolicy(ZoneId ownZone, const PrefixQueries& prefixes, AffinityCosts costs)
    : m_ownZone(std::move(ownZone))
    , m_prefixes(prefixes)
    , m_costs(costs)
{
}

AffinityPolicy::PromptCacheState AffinityPolicy::findHolders(const ForwardRequest& request,
    const std::string& cacheSalt, WeightsVersion weights, std::span<const RunnerCandidate> candidates) const
{
    PromptCacheState cacheState;
    cacheState.prefixes = sharedPrefixes(request, cacheSalt, weights);
    // The hashes of the candidates are the same for all prefixes of the prompt.
    std::vector<std::uint64_t> processes;
    for (const auto& prefix : cacheState.prefixes) {
        auto& holders = cacheState.holders.emplace_back();
        const auto hashes = m_prefixes.holdersOf(prefix.hash);
        if (hashes.empty()) {
            continue;
        }
        if (processes.empty()) {
            processes.reserve(candidates.size());
            for (const auto& candidate : candidates) {
                processes.push_back(holderHash(candidate.id, candidate.incarnation));
            }
        }
        for (std::size_t n = 0; n < candidates.size(); ++n) {
            if (candidates[n].weights == weights && std::ranges::find(hashes, processes[n]) != hashes.end()) {
                holders.push_back(&candidates[n]);
            }
        }
    }
    return cacheState;
}

void AffinityPolicy::findSource(const PromptCacheState& cacheState, Option& option)
{
    for (std::size_t i = cacheState.prefixes.size(); i-- > 0;) {
        const auto& holders = cacheState.holders[i];
        if (holders.empty()) {
            continue;
        }
        if (std::ranges::find(holders, option.candidate) != holders.end()) {
            option.cachedTokens = cacheState.prefixes[i].tokens;
            return;
        }
        if (!option.source) {
            const auto nearest = std::ranges::find(
                holders, option.candidate->zone, [](const RunnerCandidate* it) { return it->zone; });
            option.source = nearest == holders.end() ? holders.front() : *nearest;
            option.copiedTokens = cacheState.prefixes[i].tokens;
        }
    }
}

void AffinityPolicy::assignProbabilities(std::vector<Option>& options)
{
    std::vector<Option*> order;
    order.reserve(options.size());
    for (auto& option : options) {
        order.push_back(&option);
    }
    const auto ranks = std::min(order.size(), cachedProbabilityByRank.size());
    std::ranges::partial_sort(
        order, order.begin() + static_cast<std::ptrdiff_t>(ranks), std::greater(), &Option::rendezvousScore);
    for (std::size_t rank = 0; rank < ranks; ++rank) {
        order[rank]->cachedProbability = cachedProbabilityByRank[rank];
    }
}

double AffinityPolicy::costOf(const Option& option, WeightsVersion targetWeights) const
{
    const auto& candidate = *option.candidate;
    const double copied = std::max(0.0, option.copiedTokens - option.cachedTokens);
    const double zoneFactor = option.source && option.source->zone != candidate.zone ? 2 : 1;
    // A fast runner ends its work sooner but has no more slots than its entry says.
    const double usableSlots = candidate.slots * std::min(1.0, option.speed);
    double cost = candidate.load.waitingTokens * m_costs.secondsPerToken / option.speed
        + option.missedTokens() * m_costs.secondsPerToken * m_costs.recomputeWeight
        + copied * (m_costs.secondsPerCopiedToken * zoneFactor + m_costs.secondsPerToken * m_costs.evictionWeight)
        + candidate.load.requests * m_costs.secondsPerRequest / option.speed
        + (1 - option.rendezvousScore) * rendezvousSeconds;
    if (candidate.load.requests >= m_costs.queueingShare * usableSlots) {
        cost += m_costs.queueingSeconds * candidate.load.requests / std::max(1U, candidate.slots) / option.speed;
    }
    if (candidate.zone != m_ownZone) {
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
    std::vector<Option> options;
    options.reserve(candidates.size());
    std::map<WeightsVersion, PromptCacheState> cacheStates;
    const std::uint64_t prompt = request.parts.size() > 1 ? request.parts[request.parts.size() - 2].id : 0;
    auto it = cacheStates.end();
    for (const auto& candidate : candidates) {
        if (it == cacheStates.end() || it->first != candidate.weights) {
            it = cacheStates.find(candidate.weights);
        }
        if (it == cacheStates.end()) {
            auto found = findHolders(request, cacheSalt, candidate.weights, candidates);
            it = cacheStates.emplace(candidate.weights, std::move(found)).first;
        }
        auto& option = options.emplace_back();
        option.candidate = &candidate;
        option.sharedTokens = it->second.prefixes.empty() ? 0 : it->second.prefixes.back().tokens;
        const double promptTokens = request.tokens ? request.tokens->prompt : option.sharedTokens;
        option.ownTokens = std::max(0.0, promptTokens - option.sharedTokens);
        const auto hash = runnerHash(candidate.id);
        option.speed = m_pace ? m_pace->speedOf(hash) : 1;
        option.rendezvousScore = rendezvousScoreOf(prompt, hash, option.speed);
        findSource(it->second, option);
    }
    assignProbabilities(options);
    const Option* best = nullptr;
    double lowestCost = 0;
    for (const auto& option : options) {
        const double cost = costOf(option, targetWeights);
        if (!best || cost < lowestCost) {
            best = &option;
            lowestCost = cost;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    RunnerChoice choice { best->candidate->id, best->candidate->endpoint };
    choice.incarnation = best->candidate->incarnation;
    choice.weights = best->candidate->weights;
    choice.beginBy = best->candidate->beginBy;
    choice.software = best->candidate->software;
    choice.tokensAhead = best->candidate->load.yieldingTokens;
    choice.computedTokens = best->missedTokens() + best->ownTokens;
    choice.uncachedTokens
        = std::max(0.0, best->sharedTokens - std::max(best->cachedTokens, best->copiedTokens)) + best->ownTokens;
    if (best->source && best->copiedTokens > best->cachedTokens) {
        choice.cacheSource = best->source->endpoint;
    }
    chooseStore(cacheStates.at(choice.weights).prefixes, prompt, targetWeights, stores, *best, choice);
    return choice;
}

void AffinityPolicy::chooseStore(const std::vector<SharedPrefix>& prefixes, std::uint64_t lastPart,
    WeightsVersion targetWeights, std::span<const CacheStore> stores, const Option& option, RunnerChoice& choice) const
{
    if (prefixes.empty() || stores.empty() || option.sharedTokens < minStoredTokens) {
        return;
    }
    const auto& store = m_storeChoice.choose(stores, option.candidate->zone, lastPart);
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
        choice.computedTokens = option.ownTokens;
        choice.uncachedTokens = option.ownTokens;
    } else if (!choice.cacheSource) {
        // The runner copies only what it does not have, and a request to a store without the parts costs a millisecond.
        // VMs of another zone may have saved parts that were not reported here.
        choice.cacheSource = store.endpoint;
        choice.computedTokens = isStored ? option.ownTokens : choice.computedTokens;
        choice.uncachedTokens = isStored ? option.ownTokens : choice.uncachedTokens;
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
