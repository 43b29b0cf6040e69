#include "Common/HashFraction.h"
#include "Gateway/GatewayFixture.h"
#include "Gateway/RandomState.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

/// Speeds by hash of the runner; 1 for all others.
struct FixedPace final : PaceQueries {
    double speedOf(std::uint64_t runner) const override
    {
        const auto it = speeds.find(runner);
        return it == speeds.end() ? 1 : it->second;
    }

    std::map<std::uint64_t, double> speeds;
};

/// The inputs of one choice.
struct ChoiceState {
    explicit ChoiceState(std::uint64_t seed)
    {
        Random random(seed);
        addCandidates(random);
        request.model = "model";
        for (auto parts = below(random, 5); parts > 0; --parts) {
            request.parts.push_back(
                { below(random, 3), oneOf<std::uint32_t, 5>(random, { 50, 300, 1200, 2500, 3800 }) });
        }
        if (!isOneIn(random, 4)) {
            request.tokens = TokenCount { static_cast<std::uint32_t>(below(random, 12'000)), 20 };
        }
        targetWeights = oneOf<WeightsVersion, 3>(random, { 0, 4, 5 });
        for (const auto& zone : zones) {
            if (!isOneIn(random, 3)) {
                stores.push_back({ { "10.1.0." + std::to_string(stores.size()), 7000 }, ZoneId(zone), 0 });
            }
        }
        placement = isOneIn(random, 2) ? CacheStorePlacement::Prefix : CacheStorePlacement::Zone;
        isOtherZoneLoadUnknown = isOneIn(random, 2);
        hasPace = !isOneIn(random, 3);
        addHolders(random);
    }

    void addCandidates(Random& random)
    {
        const auto size = oneOf<std::size_t, 6>(random, { 0, 1, 2, 7, 30, 90 });
        // In a third of the states most runners are equal, so that the rendezvous order decides.
        const bool isEven = isOneIn(random, 3);
        const bool hasEvenWeights = isOneIn(random, 2);
        for (std::size_t n = 0; n < size; ++n) {
            RunnerCandidate it { UpstreamId(
                "engine-with-a-long-name-" + std::to_string(below(random, 10) * 1000 + n)) };
            it.endpoint = Endpoint { "10.0.0." + std::to_string(n), 9000 };
            it.zone = ZoneId(oneOf(random, zones));
            it.incarnation = Incarnation(1 + below(random, 2));
            it.slots = oneOf<unsigned, 3>(random, { 1, 12, 32 });
            it.software = VersionId("2026." + std::to_string(below(random, 2)));
            it.weights = hasEvenWeights || !isOneIn(random, 4) ? 4 : 3 + static_cast<WeightsVersion>(below(random, 3));
            if (isOneIn(random, 4)) {
                it.beginBy = MonotonicTime(std::chrono::seconds(below(random, 9)));
            }
            it.load.requests = isEven ? 1 : static_cast<unsigned>(below(random, 34));
            it.load.waitingTokens = isEven ? 0 : static_cast<double>(below(random, 20'000)) / 4;
            it.load.yieldingTokens = it.load.waitingTokens / 2;
            it.admission = isOneIn(random, 8) ? oneOf<double, 3>(random, { 0, 0.1, 0.6 }) : 1;
            it.isInPromptPool = isOneIn(random, 3);
            if (!isEven && isOneIn(random, 3)) {
                pace.speeds[runnerHash(it.id)] = oneOf<double, 4>(random, { 0.3, 0.7, 1.7, 2.5 });
            }
            candidates.push_back(it);
        }
    }

    /// Records holders of prefixes, some of which have expired by the time of the choice.
    void addHolders(Random& random)
    {
        const auto rarity = oneOf<std::uint64_t, 3>(random, { 2, 8, 40 });
        for (const WeightsVersion weights : { 3, 4, 5 }) {
            for (const auto& prefix : sharedPrefixes(request, "salt", weights)) {
                for (const auto& it : candidates) {
                    if (isOneIn(random, rarity)) {
                        const Incarnation holder(isOneIn(random, 4) ? 9 : it.incarnation.value());
                        directory.recordRead(std::array { CachedPrefix { prefix.hash, holderHash(it.id, holder) } });
                    }
                }
                for (const auto& store : stores) {
                    if (isOneIn(random, 3)) {
                        directory.recordRead(std::array { CachedPrefix { prefix.hash, storeHash(store.endpoint) } });
                    }
                }
                clock.advance(std::chrono::seconds(below(random, 3) * 4));
            }
        }
    }

    ManualClock clock;
    CacheDirectory directory { clock };
    FixedPace pace;
    std::vector<RunnerCandidate> candidates;
    ForwardRequest request;
    WeightsVersion targetWeights = 0;
    std::vector<CacheStore> stores;
    CacheStorePlacement placement = CacheStorePlacement::Zone;
    bool isOtherZoneLoadUnknown = false;
    bool hasPace = false;
};

/// The choice by its definition, without regard to its cost: each candidate is evaluated on its own.
class ReferenceChoice {
public:
    explicit ReferenceChoice(const ChoiceState& state)
        : m_state(state)
        , m_lastPart(state.request.parts.size() > 1 ? state.request.parts[state.request.parts.size() - 2].id : 0)
    {
    }

    std::optional<RunnerChoice> choose() const
    {
        const RunnerCandidate* best = nullptr;
        double lowest = 0;
        for (const auto& it : m_state.candidates) {
            const double cost = costOf(it, evaluate(it));
            if (!best || cost < lowest) {
                best = &it;
                lowest = cost;
            }
        }
        if (!best) {
            return std::nullopt;
        }
        const auto values = evaluate(*best);
        RunnerChoice choice { best->id, best->endpoint };
        choice.incarnation = best->incarnation;
        choice.weights = best->weights;
        choice.beginBy = best->beginBy;
        choice.software = best->software;
        choice.tokensAhead = best->load.yieldingTokens;
        choice.computedTokens = values.missed + values.own;
        choice.uncachedTokens = std::max(0.0, values.shared - std::max(values.cached, values.copied)) + values.own;
        if (values.source && values.copied > values.cached) {
            choice.cacheSource = values.source->endpoint;
        }
        chooseStore(*best, values, choice);
        return choice;
    }

private:
    struct Values {
        double shared = 0;
        double own = 0;
        double cached = 0;
        double copied = 0;
        const RunnerCandidate* source = nullptr;
        double missed = 0;
    };

    double speedOf(const RunnerCandidate& it) const
    {
        return m_state.hasPace ? m_state.pace.speedOf(runnerHash(it.id)) : 1;
    }
    double scoreOf(const RunnerCandidate& it) const
    {
        const auto hash = runnerHash(it.id);
        const double score = toFraction(XXH3_64bits_withSeed(&hash, sizeof hash, m_lastPart));
        return speedOf(it) == 1 ? score : std::pow(score, 1 / speedOf(it));
    }
    bool holds(const RunnerCandidate& it, std::uint64_t prefix) const
    {
        return m_state.directory.isCached(prefix, holderHash(it.id, it.incarnation));
    }

    Values evaluate(const RunnerCandidate& it) const
    {
        const auto prefixes = sharedPrefixes(m_state.request, "salt", it.weights);
        Values values;
        values.shared = prefixes.empty() ? 0 : prefixes.back().tokens;
        values.own
            = std::max(0.0, (m_state.request.tokens ? m_state.request.tokens->prompt : values.shared) - values.shared);
        for (auto prefix = prefixes.rbegin(); prefix != prefixes.rend() && values.cached == 0; ++prefix) {
            if (holds(it, prefix->hash)) {
                values.cached = prefix->tokens;
                continue;
            }
            if (values.source) {
                continue;
            }
            for (const auto& other : m_state.candidates) {
                const bool isHolder = other.weights == it.weights && holds(other, prefix->hash);
                const bool isNearer = values.source && values.source->zone != it.zone && other.zone == it.zone;
                if (isHolder && (!values.source || isNearer)) {
                    values.source = &other;
                    values.copied = prefix->tokens;
                }
            }
        }
        const auto rank
            = std::ranges::count_if(m_state.candidates, [&](const auto& o) { return scoreOf(o) > scoreOf(it); });
        const double probability = rank == 0 ? 0.7 : rank == 1 ? 0.3 : 0;
        values.missed = std::max(0.0, values.shared - std::max(values.cached, values.copied)) * (1 - probability);
        return values;
    }

    double costOf(const RunnerCandidate& it, const Values& values) const
    {
        const AffinityCosts costs;
        const double speed = speedOf(it);
        const double copied = std::max(0.0, values.copied - values.cached);
        const double zoneFactor = values.source && values.source->zone != it.zone ? 2 : 1;
        double cost = it.load.waitingTokens * costs.secondsPerToken / speed
            + values.missed * costs.secondsPerToken * costs.recomputeWeight
            + copied * (costs.secondsPerCopiedToken * zoneFactor + costs.secondsPerToken * costs.evictionWeight)
            + it.load.requests * costs.secondsPerRequest / speed + (1 - scoreOf(it)) * 0.02;
        if (it.load.requests >= costs.queueingShare * (it.slots * std::min(1.0, speed))) {
            cost += costs.queueingSeconds * it.load.requests / it.slots / speed;
        }
        if (it.zone != ZoneId("a")) {
            cost += m_state.isOtherZoneLoadUnknown ? costs.unknownZoneSeconds : costs.otherZoneSeconds;
        }
        cost += it.weights < m_state.targetWeights ? costs.oldWeightsSeconds : 0;
        cost += it.isInPromptPool ? costs.promptPoolSeconds : 0;
        return cost + 1 - it.admission;
    }

    void chooseStore(const RunnerCandidate& chosen, const Values& values, RunnerChoice& choice) const
    {
        const auto prefixes = sharedPrefixes(m_state.request, "salt", chosen.weights);
        if (prefixes.empty() || m_state.stores.empty() || values.shared < 1000) {
            return;
        }
        const CacheStoreChoice byPlacement(m_state.placement);
        const auto& store = byPlacement.choose(m_state.stores, chosen.zone, m_lastPart);
        const auto hasAll = [&](const CacheStore& it) {
            return m_state.directory.isCached(prefixes.back().hash, storeHash(it.endpoint));
        };
        const bool isByPrefix = m_state.placement == CacheStorePlacement::Prefix;
        const bool isStored = hasAll(store);
        const auto other = std::ranges::find_if(m_state.stores, hasAll);
        if (isStored && isByPrefix) {
            choice.cacheSource.reset();
        }
        if (!choice.cacheSource && !isStored && isByPrefix && other != m_state.stores.end()) {
            choice.cacheSource = other->endpoint;
            choice.computedTokens = choice.uncachedTokens = values.own;
        } else if (!choice.cacheSource) {
            choice.cacheSource = store.endpoint;
            choice.computedTokens = isStored ? values.own : choice.computedTokens;
            choice.uncachedTokens = isStored ? values.own : choice.uncachedTokens;
        }
        if (!isStored && chosen.weights >= m_state.targetWeights) {
            choice.cacheStore = store.endpoint;
        }
    }

    const ChoiceState& m_state;
    std::uint64_t m_lastPart;
};

std::string describe(const std::optional<RunnerChoice>& choice)
{
    if (!choice) {
        return "none";
    }
    const auto endpoint = [](const auto& it) { return it ? it->toString() : "-"; };
    const auto number = [](double it) { return std::to_string(std::bit_cast<std::uint64_t>(it)); };
    return choice->id.value() + " " + choice->endpoint.toString() + " " + std::to_string(choice->incarnation.value())
        + " w" + std::to_string(choice->weights) + " " + choice->software.value() + " "
        + std::to_string(choice->beginBy ? choice->beginBy->count() : -1) + " " + endpoint(choice->cacheSource) + " "
        + endpoint(choice->cacheStore) + " " + number(choice->computedTokens) + " " + number(choice->uncachedTokens)
        + " " + number(choice->tokensAhead);
}

} // namespace

// An evaluation that shares work between the candidates must not change a choice: VMs with different choices copy and
// compute the same prefixes twice.
Test(RunnerChoice, equalsTheChoiceByDefinition)
{
    std::size_t withSource = 0;
    std::size_t withStore = 0;
    for (std::uint64_t seed = 0; seed < 4000; ++seed) {
        const ChoiceState state(seed);
        AffinityPolicy policy(ZoneId("a"), state.directory);
        policy.setStorePlacement(state.placement);
        policy.setOtherZoneLoadUnknown(state.isOtherZoneLoadUnknown);
        policy.setPace(state.hasPace ? &state.pace : nullptr);
        const auto chosen = policy.choose(state.request, "salt", state.targetWeights, state.stores, state.candidates);
        const auto expected = ReferenceChoice(state).choose();
        cr_assert(describe(chosen) == describe(expected), "seed %llu: %s instead of %s",
            static_cast<unsigned long long>(seed), describe(chosen).c_str(), describe(expected).c_str());
        withSource += chosen && chosen->cacheSource ? 1 : 0;
        withStore += chosen && chosen->cacheStore ? 1 : 0;
    }
    // The states reach both parts of a choice.
    cr_assert(withSource > 500 && withStore > 500, "%zu, %zu", withSource, withStore);
}
