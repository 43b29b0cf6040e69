#include "Gateway/AffinityPolicy.h"

#include "Gateway/Queries/RunnerQueries.h"

#include <xxhash.h>

#include <algorithm>

namespace Pollenwind {

namespace {

    // Advantage of the first runner of a prompt's rendezvous order over the last, in seconds. It decides between
    // runners that are equally busy.
    constexpr double rendezvousSeconds = 0.02;

    // Below this, computing the parts takes hardly longer than asking for them.
    constexpr double fewestStoredTokens = 1000;

    /// Place of a runner in a prompt's rendezvous order, from 0 to 1.
    double rendezvousPlace(std::uint64_t prompt, const UpstreamId& runner)
    {
        const auto hash = runnerHash(runner);
        return static_cast<double>(XXH3_64bits_withSeed(&hash, sizeof hash, prompt) >> 11) / 9007199254740992.0;
    }

} // namespace

struct AffinityPolicy::Option {
    const RunnerCandidate* candidate = nullptr;
    double sharedTokens = 0;
    /// Tokens of the prompt that no other request shares.
    double ownTokens = 0;
    double heldTokens = 0;
    /// Shared tokens that another runner holds beyond those held here, and that runner.
    double copiedTokens = 0;
    const RunnerCandidate* source = nullptr;
    double place = 0;

    double missedTokens() const { return std::max(0.0, sharedTokens - heldTokens - copiedTokens); }
};

AffinityPolicy::AffinityPolicy(ZoneId ownZone, const PrefixQueries& prefixes, AffinityCosts costs)
    : m_ownZone(std::move(ownZone))
    , m_prefixes(prefixes)
    , m_costs(costs)
{
}

void AffinityPolicy::findSource(
    const std::vector<SharedPrefix>& prefixes, Option& option, std::span<const RunnerCandidate> candidates) const
{
    const auto own = holderHash(option.candidate->id, option.candidate->boot);
    for (auto it = prefixes.rbegin(); it != prefixes.rend(); ++it) {
        if (m_prefixes.isHeld(it->hash, own)) {
            option.heldTokens = it->tokens;
            return;
        }
        for (const auto& other : candidates) {
            const bool isSource = !option.source && other.weights == option.candidate->weights
                && m_prefixes.isHeld(it->hash, holderHash(other.id, other.boot));
            if (isSource) {
                option.source = &other;
                option.copiedTokens = it->tokens;
            }
        }
    }
}

double AffinityPolicy::costOf(const Option& option, WeightsVersion newestWeights) const
{
    const auto& candidate = *option.candidate;
    const double copied = std::max(0.0, option.copiedTokens - option.heldTokens);
    const double zoneFactor = option.source && option.source->zone != candidate.zone ? 2 : 1;
    double cost = candidate.load.waitingTokens * m_costs.secondsPerToken
        + option.missedTokens() * m_costs.secondsPerToken * m_costs.missedWeight
        + copied * m_costs.secondsPerCopiedToken * zoneFactor + candidate.load.requests * m_costs.secondsPerRequest
        + (1 - option.place) * rendezvousSeconds;
    if (candidate.load.requests >= m_costs.crowdedShare * candidate.slots) {
        cost += m_costs.crowdedSeconds * candidate.load.requests / std::max(1U, candidate.slots);
    }
    if (candidate.zone != m_ownZone) {
        cost += m_areZonesApart ? m_costs.unknownZoneSeconds : m_costs.otherZoneSeconds;
    }
    cost += candidate.weights < newestWeights ? m_costs.oldWeightsSeconds : 0;
    // A runner that is recovering gets work when the others would take clearly longer.
    return cost + 1 - candidate.admission;
}

std::optional<RunnerChoice> AffinityPolicy::choose(const ForwardRequest& request, const std::string& cacheSalt,
    WeightsVersion newestWeights, std::span<const CacheStore> stores, std::span<const RunnerCandidate> candidates) const
{
    std::optional<Option> best;
    double leastCost = 0;
    for (const auto& candidate : candidates) {
        const auto prefixes = sharedPrefixes(request, cacheSalt, candidate.weights);
        Option option;
        option.candidate = &candidate;
        option.sharedTokens = prefixes.empty() ? 0 : prefixes.back().tokens;
        const double promptTokens = request.tokens ? request.tokens->prompt : option.sharedTokens;
        option.ownTokens = std::max(0.0, promptTokens - option.sharedTokens);
        const std::uint64_t prompt = request.parts.size() > 1 ? request.parts[request.parts.size() - 2].id : 0;
        option.place = rendezvousPlace(prompt, candidate.id);
        findSource(prefixes, option, candidates);
        const double cost = costOf(option, newestWeights);
        if (!best || cost < leastCost) {
            leastCost = cost;
            best = option;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    RunnerChoice choice { best->candidate->id, best->candidate->endpoint };
    choice.boot = best->candidate->boot;
    choice.weights = best->candidate->weights;
    choice.computedTokens = best->missedTokens() + best->ownTokens;
    if (best->source && best->copiedTokens > best->heldTokens) {
        choice.cacheSource = best->source->endpoint;
    }
    chooseStore(sharedPrefixes(request, cacheSalt, choice.weights), newestWeights, stores, *best, choice);
    return choice;
}

void AffinityPolicy::chooseStore(const std::vector<SharedPrefix>& prefixes, WeightsVersion newestWeights,
    std::span<const CacheStore> stores, const Option& option, RunnerChoice& choice) const
{
    if (prefixes.empty() || stores.empty() || option.sharedTokens < fewestStoredTokens) {
        return;
    }
    const auto near
        = std::ranges::find(stores, option.candidate->zone, [](const CacheStore& store) { return store.zone; });
    const auto& store = near == stores.end() ? stores.front() : *near;
    const bool isStored = m_prefixes.isHeld(prefixes.back().hash, storeHash(store.endpoint));
    if (!choice.cacheSource) {
        // The runner copies only what it does not hold, and a store that lacks the parts costs a millisecond. VMs of
        // another zone may have saved parts without this one's knowledge.
        choice.cacheSource = store.endpoint;
        choice.computedTokens = isStored ? option.ownTokens : choice.computedTokens;
    }
    if (isStored) {
        return;
    }
    // A runner that is about to load weights might make the last parts with the new ones.
    if (choice.weights >= newestWeights) {
        choice.cacheStore = store.endpoint;
    }
}

} // namespace Pollenwind
