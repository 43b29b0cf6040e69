#include "Gateway/CacheStoreChoice.h"
#include "Gateway/GatewayFixture.h"

#include <list>
#include <random>
#include <set>
#include <unordered_map>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

// Sizes of a large deployment: each store holds half of the prefixes in use.
constexpr std::uint64_t storeTokens = 3'067'866;
constexpr std::uint64_t prefixes = 1587;
constexpr double prefixTokens = 3780;

std::vector<CacheStore> makeStores(std::uint64_t capacity = storeTokens)
{
    return { { { "127.0.0.9", 9901 }, ZoneId("a"), capacity }, { { "127.0.0.9", 9902 }, ZoneId("b"), capacity },
        { { "127.0.0.9", 9903 }, ZoneId("c"), capacity } };
}

/// A store that evicts the prefix that was used least recently.
class SmallStore {
public:
    /// @return Whether the store had the prefix.
    bool use(std::uint64_t prefix)
    {
        const auto it = m_places.find(prefix);
        const bool isHit = it != m_places.end();
        if (isHit) {
            m_order.erase(it->second);
        }
        m_order.push_front(prefix);
        m_places[prefix] = m_order.begin();
        if (static_cast<double>(m_order.size()) * prefixTokens > static_cast<double>(storeTokens)) {
            m_places.erase(m_order.back());
            m_order.pop_back();
        }
        return isHit;
    }

private:
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_places;
};

/// Replays requests with random prefixes at runners of all zones.
/// @return Share of the requests whose prefix the asked store has, after a first round.
double hitShare(const CacheStoreChoice& choice)
{
    const auto stores = makeStores();
    std::map<Endpoint, SmallStore> contents;
    std::mt19937 random(1);
    constexpr unsigned requests = 40'000;
    unsigned hits = 0;
    for (unsigned n = 0; n < 2 * requests; ++n) {
        const std::uint64_t prefix = random() % prefixes;
        const auto& store = choice.choose(stores, stores[random() % stores.size()].zone, prefix);
        const bool isHit = contents[store.endpoint].use(prefix);
        hits += n >= requests && isHit ? 1 : 0;
    }
    return static_cast<double>(hits) / requests;
}

/// A request with shared parts of the given ids.
ForwardRequest makePrompt(GatewayFixture& fixture, std::uint64_t first, std::uint64_t second)
{
    auto request = fixture.makeRequest("/stream/x");
    request.model = "model";
    request.parts = { { first, 2500 }, { second, 3800 }, { 99'999, 900 } };
    request.tokens = TokenCount { 7200, 20 };
    return request;
}

} // namespace

// By zone, three stores that each hold half of the prefixes in use evicted prefixes that came again, and 24.4 million
// tokens were computed again on a day.
Test(CacheStoreChoice, keepsAllPrefixesInUseThatFitIntoTheStoresTogether)
{
    const double byZone = hitShare(CacheStoreChoice(CacheStorePlacement::Zone));
    const double byPrefix = hitShare(CacheStoreChoice(CacheStorePlacement::Prefix));
    cr_assert(byZone < 0.6, "%.3f", byZone);
    cr_assert(byPrefix > 0.99, "%.3f", byPrefix);
}

// A deployment whose prefixes fit into one store must be served as before, and a load near the limit must not move the
// prefixes back and forth.
Test(CacheStoreChoice, changesWithTheTokensInUse)
{
    const auto stores = makeStores();
    const double capacity = storeTokens;
    CacheStoreChoice choice(CacheStorePlacement::Auto);
    cr_assert(!choice.update(0, stores) && !choice.isByPrefix());
    cr_assert(!choice.update(0.79 * capacity, stores) && !choice.isByPrefix());
    cr_assert(choice.update(0.81 * capacity, stores) && choice.isByPrefix());
    cr_assert(!choice.update(0.61 * capacity, stores) && choice.isByPrefix());
    cr_assert(choice.update(0.59 * capacity, stores) && !choice.isByPrefix());
    auto uneven = stores;
    uneven[1].capacityTokens = storeTokens / 2;
    cr_assert(choice.update(0.5 * capacity, uneven), "the smallest store decides");
    uneven[2].capacityTokens = 0;
    cr_assert(choice.update(5 * capacity, uneven) && !choice.isByPrefix(), "an unknown capacity");
    cr_assert(!choice.update(5 * capacity, {}) && !choice.isByPrefix(), "no store");
}

// The operator's choice must hold whatever the load is.
Test(CacheStoreChoice, keepsAFixedPlacement)
{
    const auto stores = makeStores();
    CacheStoreChoice zone(CacheStorePlacement::Zone);
    CacheStoreChoice prefix(CacheStorePlacement::Prefix);
    cr_assert(!zone.update(1e9, stores) && !zone.isByPrefix());
    cr_assert(!prefix.update(0, stores) && prefix.isByPrefix());
    cr_assert_eq(zone.choose(stores, ZoneId("b"), 1).zone, ZoneId("b"));
    cr_assert_eq(zone.choose(stores, ZoneId("x"), 1).zone, ZoneId("a"));
}

// VMs must agree without messages, also when the configuration lists the stores in another order, and a store that is
// removed must move only its own prefixes.
Test(CacheStoreChoice, movesOnlyThePrefixesOfARemovedStore)
{
    const CacheStoreChoice choice(CacheStorePlacement::Prefix);
    const auto stores = makeStores();
    const std::vector<CacheStore> reversed(stores.rbegin(), stores.rend());
    const std::vector<CacheStore> fewer(stores.begin(), stores.end() - 1);
    std::map<Endpoint, std::size_t> counts;
    for (std::uint64_t prefix = 0; prefix < prefixes; ++prefix) {
        const auto chosen = choice.choose(stores, ZoneId("a"), prefix).endpoint;
        ++counts[chosen];
        cr_assert(chosen == choice.choose(reversed, ZoneId("c"), prefix).endpoint);
        const auto next = choice.choose(fewer, ZoneId("a"), prefix).endpoint;
        cr_assert(chosen == stores.back().endpoint || chosen == next);
    }
    for (const auto& [endpoint, count] : counts) {
        cr_assert(static_cast<double>(count) * prefixTokens < 0.8 * storeTokens, "%zu prefixes", count);
    }
}

// One fetch must find all shared parts of a prompt, so they must be saved to and fetched from one store, and prompts
// that begin alike must not all go to one store.
Test(CacheStoreChoice, keepsTheChainOfAPromptInOneStore)
{
    GatewayFixture fixture;
    fixture.policy.setStorePlacement(CacheStorePlacement::Prefix);
    const auto stores = makeStores();
    std::set<Endpoint> used;
    for (std::uint64_t second = 10; second < 40; ++second) {
        const auto request = makePrompt(fixture, 1, second);
        const auto choose = [&] {
            const auto candidates = fixture.runners.candidates(ServiceId("app"), "model");
            return *fixture.policy.choose(request, "", 1, stores, candidates);
        };
        const auto first = choose();
        cr_assert(first.cacheStore && first.cacheSource == first.cacheStore);
        used.insert(*first.cacheStore);
        for (const auto& prefix : sharedPrefixes(request, "", 1)) {
            fixture.directory.recordRead(std::array { CachedPrefix { prefix.hash, storeHash(*first.cacheStore) } });
        }
        const auto next = choose();
        cr_assert(!next.cacheStore && next.cacheSource == first.cacheStore);
        cr_assert_float_eq(next.computedTokens, 900, 1e-6);
    }
    cr_assert_eq(used.size(), 3);
}

// When the placement changes, parts must be copied from the store that has them instead of being computed again.
Test(CacheStoreChoice, copiesFromTheStoreUsedBefore)
{
    GatewayFixture fixture;
    const auto stores = makeStores();
    bool isMoved = false;
    for (std::uint64_t second = 10; second < 20; ++second) {
        const auto request = makePrompt(fixture, 1, second);
        const auto candidates = fixture.runners.candidates(ServiceId("app"), "model");
        fixture.policy.setStorePlacement(CacheStorePlacement::Zone);
        const auto before = *fixture.policy.choose(request, "", 1, stores, candidates);
        cr_assert(before.cacheStore == stores[0].endpoint);
        for (const auto& prefix : sharedPrefixes(request, "", 1)) {
            fixture.directory.recordRead(std::array { CachedPrefix { prefix.hash, storeHash(*before.cacheStore) } });
        }
        fixture.policy.setStorePlacement(CacheStorePlacement::Prefix);
        const auto after = *fixture.policy.choose(request, "", 1, stores, candidates);
        cr_assert(after.cacheSource == stores[0].endpoint);
        cr_assert_float_eq(after.computedTokens, 900, 1e-6);
        isMoved = isMoved || after.cacheStore;
    }
    cr_assert(isMoved, "some prompts have another store now");
}

// Runners evict prefixes within seconds while these exceed a store. A runner that was reported to have the parts was
// asked for them before the store that keeps them, and the parts were computed again.
Test(CacheStoreChoice, prefersTheStoreOfAPrefixToARunner)
{
    GatewayFixture fixture;
    const auto stores = makeStores();
    const auto request = makePrompt(fixture, 1, 10);
    const auto candidates = fixture.runners.candidates(ServiceId("app"), "model");
    cr_assert(candidates.size() > 1);
    const auto choose = [&](CacheStorePlacement placement) {
        fixture.policy.setStorePlacement(placement);
        return *fixture.policy.choose(request, "", 1, stores, candidates);
    };
    const auto first = choose(CacheStorePlacement::Prefix);
    cr_assert(first.cacheStore.has_value());
    const auto other = std::ranges::find_if(candidates, [&](const RunnerCandidate& it) { return it.id != first.id; });
    for (const auto& prefix : sharedPrefixes(request, "", 1)) {
        fixture.directory.recordRead(std::array { CachedPrefix { prefix.hash, storeHash(*first.cacheStore) },
            CachedPrefix { prefix.hash, holderHash(other->id, other->incarnation) } });
    }
    // So much work at the holder that another runner is chosen.
    fixture.runners.recordSent(other->id, 1e6);
    const auto busy = fixture.runners.candidates(ServiceId("app"), "model");
    const auto next = *fixture.policy.choose(request, "", 1, stores, busy);
    cr_assert(next.id != other->id);
    cr_assert(next.cacheSource == first.cacheStore && !next.cacheStore);
    cr_assert_float_eq(next.computedTokens, 900, 1e-6);
}

// Parts that many prompts share must count once, and prefixes of unknown length, which only other VMs read, must count
// too, else a VM with little traffic would decide differently from the others.
Test(CacheDirectory, estimatesTheTokensInUse)
{
    ManualClock clock;
    CacheDirectory directory(clock);
    directory.removeExpired();
    cr_assert_eq(directory.tokensInUse(), 0);
    for (std::uint64_t n = 0; n < 10; ++n) {
        for (const std::uint64_t holder : { 2U, 4U, 7U }) {
            directory.recordRead(std::array { CachedPrefix { n, holder, 4000 } });
        }
    }
    for (std::uint64_t n = 5; n < 30; ++n) {
        directory.recordRemoteRead(std::array { CachedPrefix { n, 2 } }, true);
    }
    directory.removeExpired();
    cr_assert_float_eq(directory.tokensInUse(), 30 * 4000, 1e-6);
    clock.advance(20s);
    directory.removeExpired();
    cr_assert_float_eq(directory.tokensInUse(), 10 * 4000, 1e-6, "only stores keep prefixes for longer");
    clock.advance(20s);
    directory.removeExpired();
    cr_assert_eq(directory.tokensInUse(), 0);
}
