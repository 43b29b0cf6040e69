#include "Common/HashFraction.h"
#include "Gateway/GatewayFixture.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <random>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

using Random = std::mt19937_64;

/// A number from 0 to `bound` - 1. Unlike the library's distributions it is the same with each implementation.
std::uint64_t below(Random& random, std::uint64_t bound) { return random() % bound; }
bool isOneIn(Random& random, std::uint64_t bound) { return below(random, bound) == 0; }
template <typename T, std::size_t size> T oneOf(Random& random, const std::array<T, size>& values)
{
    return values[below(random, size)];
}

const std::array<std::string, 3> zones { "a", "b", "far-away-zone-with-a-long-name" };

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

/// Zones that a test takes out of service.
struct FixedEvacuations final : EvacuationQueries {
    explicit FixedEvacuations(const Clock& vmClock)
        : clock(vmClock)
    {
    }
    bool isEvacuated(const ZoneId& zone) const override { return zone == evacuated; }
    std::optional<std::chrono::nanoseconds> timeSinceEnd(const ZoneId& zone) const override
    {
        return zone == returned ? std::optional<std::chrono::nanoseconds>(clock.now() - returnedAt) : std::nullopt;
    }

    const Clock& clock;
    ZoneId evacuated;
    ZoneId returned;
    MonotonicTime returnedAt { 0 };
};

/// Random changes of a VM's runners. Each step changes one thing.
struct TableWalk : GatewayFixture {
    explicit TableWalk(std::uint64_t seed)
        : random(seed)
    {
        RoutingConfiguration configuration = *routing.current();
        configuration.version = 2;
        ServiceRule service;
        service.id = ServiceId("cold");
        service.coldRequestsPerSecond = 7.7;
        service.coldTime = 8s;
        configuration.services.emplace(service.id, service);
        routing.adopt(configuration);
        coldLimit.setFleet(1, 0);
        clock.advance(10s);
        for (unsigned n = 0; n < 20; ++n) {
            update();
        }
    }

    UpstreamId runner() { return UpstreamId("engine-with-a-long-name-" + std::to_string(10 + below(random, 24))); }
    std::string model() { return isOneIn(random, 4) ? "" : "model"; }
    RunnerEntry makeEntry()
    {
        RunnerEntry entry;
        entry.id = runner();
        entry.service = ServiceId(isOneIn(random, 3) ? "cold" : "app");
        entry.endpoint = { "10.0.0." + std::to_string(below(random, 200)), 9000 };
        entry.zone = ZoneId(oneOf(random, zones));
        entry.software = VersionId("2026." + std::to_string(below(random, 2)));
        entry.incarnation = Incarnation(1 + below(random, 6));
        entry.slots = 8;
        entry.state = isOneIn(random, 12) ? RunnerState::Draining : RunnerState::Ready;
        entry.weights["model"] = 3 + static_cast<WeightsVersion>(below(random, 3));
        if (isOneIn(random, 3)) {
            entry.weights["other"] = 7;
        }
        if (isOneIn(random, 4)) {
            entry.coldTime = std::chrono::milliseconds(below(random, 9000));
        }
        entry.revision = static_cast<std::int64_t>(below(random, 50));
        return entry;
    }
    void update() { limitedTable.updateEntry(makeEntry()); }
    std::map<std::uint64_t, RunnerLoad> makeLoads()
    {
        std::map<std::uint64_t, RunnerLoad> loads;
        for (auto n = below(random, 10); n > 0; --n) {
            const auto requests = static_cast<unsigned>(below(random, 9));
            const auto tokens = static_cast<double>(below(random, 9000)) / 8;
            loads[runnerHash(runner())] = { requests, tokens, requests / 2, tokens / 4 };
        }
        return loads;
    }
    RunnerFailures makeFailures()
    {
        return { { runnerHash(runner()) }, { holderHash(runner(), Incarnation(1)) },
            { { holderHash(runner(), Incarnation(2)), 20ms } } };
    }

    void step()
    {
        UpstreamId id;
        const VmId vm("vm-" + std::to_string(below(random, 4)));
        const auto urgency = isOneIn(random, 2) ? RouteUrgency::Urgent : RouteUrgency::Yielding;
        const auto tokens = static_cast<double>(below(random, 4000));
        switch (below(random, 30)) {
        case 0:
            limitedTable.markEntryEnded(runner());
            break;
        case 1:
            limitedTable.replaceEntries(
                { makeEntry(), makeEntry(), makeEntry(), makeEntry(), makeEntry(), makeEntry() });
            break;
        case 2:
            limitedTable.restoreEntries({ makeEntry(), makeEntry(), makeEntry(), makeEntry(), makeEntry() });
            break;
        case 3:
            limitedTable.endMissingEntries();
            break;
        case 4:
            limitedTable.setTargetWeights("model", 3 + static_cast<WeightsVersion>(below(random, 4)), clock.now(),
                isOneIn(random, 2) ? ChangeSource::Event : ChangeSource::Read);
            break;
        case 5:
            limitedTable.recordRefusal(runner(), 300ms);
            break;
        case 6:
            limitedTable.onWeightsMismatch(runner(), "model", 3);
            break;
        case 7:
            limitedTable.recordConnectFailure(runner());
            break;
        case 8:
            limitedTable.recordLeaving(runner(), Incarnation(1), LeavingSource::Response, RequestId("q"));
            break;
        case 9:
            id = runner();
            limitedTable.recordBackOff(id, Incarnation(1 + below(random, 6)), 700ms, RequestId("q"));
            break;
        case 10:
            limitedTable.recordRemoteFailures(vm, makeFailures());
            break;
        case 11:
            limitedTable.setLoadingRunners(vm, { runnerHash(runner()), runnerHash(runner()) });
            break;
        case 12:
            limitedTable.setLoadingRunners(vm, {});
            break;
        case 13:
            limitedTable.clearRemoteLoad(vm);
            break;
        case 14:
            evacuations.evacuated = ZoneId(isOneIn(random, 2) ? "" : oneOf(random, zones));
            break;
        case 15:
            evacuations.returned = ZoneId(isOneIn(random, 2) ? "" : oneOf(random, zones));
            evacuations.returnedAt = clock.now();
            break;
        case 16:
            clock.advance(isOneIn(random, 8) ? 70s : std::chrono::seconds(1 + below(random, 3)));
            break;
        case 17:
            for (unsigned n = 0; n < 4; ++n) {
                limitedTable.recordEnded(failing, 0, n > 0 ? RunnerResult::Failed : RunnerResult::Refused, urgency);
            }
            failing = runner();
            break;
        case 18:
            limitedTable.recordEnded(runner(), tokens, RunnerResult::Succeeded, urgency);
            break;
        case 19:
            limitedTable.setRemoteLoad(vm, makeLoads());
            break;
        case 20:
            limitedTable.recordSent(runner(), tokens, urgency);
            break;
        default:
            update();
        }
        clock.advance(std::chrono::milliseconds(below(random, 200)));
    }

    /// The candidates of one query as text.
    std::string query()
    {
        VersionRule versions;
        if (isOneIn(random, 4)) {
            versions.only = VersionId("2026.1");
        } else if (isOneIn(random, 4)) {
            versions.excluded.insert(VersionId("2026.0"));
        }
        const RegionMap regions { { ZoneId("a"), RegionId("north") }, { ZoneId("b"), RegionId("south") } };
        HomeRegions home(regions);
        if (isOneIn(random, 6)) {
            home.restrictTo(std::array { RegionId("north") });
        }
        std::string text;
        const ServiceId service(isOneIn(random, 3) ? "cold" : "app");
        for (const auto& it : limitedTable.candidates(service, model(), versions, home)) {
            const auto rounded = [](double value) { return std::to_string(std::llround(value * 1024)); };
            text += it.id.value() + " " + it.endpoint->toString() + " " + it.zone.value() + " " + it.software.value()
                + " " + std::to_string(it.incarnation.value()) + " " + std::to_string(it.slots) + " w"
                + std::to_string(it.weights) + " " + std::to_string(it.beginBy ? it.beginBy->count() : -1) + " "
                + std::to_string(it.load.requests) + " " + std::to_string(it.load.urgentRequests) + " "
                + rounded(it.load.waitingTokens) + " " + rounded(it.load.yieldingTokens) + " " + rounded(it.admission)
                + (it.isCold ? " cold" : "") + (it.isInPromptPool ? " pool" : "") + "\n";
        }
        return text;
    }

    Random random;
    FixedEvacuations evacuations { clock };
    ColdRunnerLimit coldLimit { clock, {}, 1 };
    RunnerTable limitedTable { clock, timeline, {}, { &evacuations, &routing, &coldLimit } };
    UpstreamId failing;
};

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

// A faster list of candidates must not change who may get a request. The values were recorded with the list that
// examines every runner of the table by its fields (commit 95bef96).
Test(RunnerChoice, keepsTheRecordedCandidates)
{
    constexpr std::array<std::uint64_t, 8> recorded { 0x346F48E97500BC2B, 0x89BF50E951AF0F9A, 0x8DA5B9D8D25CB2A4,
        0x1584184AEE55D749, 0x61E5DA4A946713F3, 0x315918EEA1211D0F, 0xF5C5D3C41783328B, 0x1D2061594FAE720F };
    constexpr std::uint64_t walks = 60;
    for (std::uint64_t n = 0; n < recorded.size(); ++n) {
        std::uint64_t digest = 0;
        std::size_t lines = 0;
        for (std::uint64_t seed = n * walks; seed < (n + 1) * walks; ++seed) {
            TableWalk walk(seed);
            for (unsigned steps = 0; steps < 80; ++steps) {
                walk.step();
                const auto text = walk.query();
                lines += static_cast<std::size_t>(std::ranges::count(text, '\n'));
                digest = XXH3_64bits_withSeed(text.data(), text.size(), digest);
            }
        }
        cr_expect(digest == recorded[n], "walks from %llu: 0x%llX, %zu candidates",
            static_cast<unsigned long long>(n * walks), static_cast<unsigned long long>(digest), lines);
    }
}
