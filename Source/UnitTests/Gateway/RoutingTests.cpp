#include "Gateway/EventSplitter.h"
#include "Gateway/GatewayFixture.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

// The longest matching prefix wins, and a prefix matches complete path segments only.
Test(RoutingTable, prefersTheLongestPrefix)
{
    ManualClock clock;
    Timeline timeline(clock, "test");
    RoutingTable table(timeline);
    RoutingConfiguration configuration;
    configuration.version = 3;
    configuration.routes = { makeRoute("/a/", RequestKind::Safe, 1), makeRoute("/a/b/", RequestKind::Safe, 1) };
    cr_assert(table.adopt(configuration));
    cr_assert_eq(table.findRoute("shop.example", "/a/b/c")->prefix, "/a/b/");
    cr_assert_eq(table.findRoute("shop.example", "/a/bc")->prefix, "/a/");
    cr_assert_null(table.findRoute("shop.example", "/ab/"));
    cr_assert_null(table.findRoute("other.example", "/a/"));
}

// Guards against a route that serves all paths of a host, or requests without a host, because its own host or prefix is
// missing.
Test(RoutingTable, matchesNothingByARouteWithoutAHostOrAPrefix)
{
    ManualClock clock;
    Timeline timeline(clock, "test");
    RoutingTable table(timeline);
    RoutingConfiguration configuration;
    configuration.version = 3;
    configuration.routes = { makeRoute("", RequestKind::Safe, 1), makeRoute("a", RequestKind::Safe, 1),
        makeRoute("/b", RequestKind::Safe, 1), makeRoute("/c/", RequestKind::Safe, 1),
        makeRoute("/", RequestKind::Safe, 1) };
    configuration.routes[3].host = "";
    configuration.routes[4].host = "other.example";
    cr_assert(table.adopt(configuration));
    for (const auto* path : { "/x", "/", "a", "/b", "/b/x", "/bc", "/c/x" }) {
        cr_assert_null(table.findRoute("shop.example", path), "%s", path);
        cr_assert_null(table.findRoute("", path), "%s", path);
    }
    cr_assert_eq(table.findRoute("other.example", "/c/x")->prefix, "/");
}

// A configuration with an older version must be ignored.
Test(RoutingTable, neverRevertsToAnOlderVersion)
{
    ManualClock clock;
    Timeline timeline(clock, "test");
    RoutingTable table(timeline);
    RoutingConfiguration configuration;
    configuration.version = 3;
    cr_assert(table.adopt(configuration));
    configuration.version = 2;
    configuration.organisations = { makeOrganisation("org", 1) };
    cr_assert(!table.adopt(configuration));
    cr_assert_null(table.findOrganisation(sha256("key-of-org")));
}

// Events must not be cut, merged or reordered, whatever chunks the bytes arrive in.
Test(EventSplitter, splitsEventsIndependentlyOfTheChunks)
{
    const std::string text = "id: 1\ndata: a\n\nx-weight-versions: 2\nid: 2\ndata: b\n\nid:3\r\ndata: c\r\n\r\n";
    for (std::size_t step = 1; step <= text.size(); ++step) {
        EventSplitter splitter(std::nullopt);
        std::string complete;
        for (std::size_t at = 0; at < text.size(); at += step) {
            splitter.append(std::string_view(text).substr(at, step));
            complete += splitter.takeCompleteEvents();
        }
        cr_assert_eq(complete, text);
        cr_assert(splitter.lastId() == 3U);
        cr_assert(!splitter.hasPartialEvent());
    }
}

// Requests with the same shared parts go to the same runner while it is not busier than others.
Test(AffinityPolicy, sendsASharedPromptToOneRunner)
{
    GatewayFixture fixture;
    std::set<std::string> chosen;
    for (std::uint64_t own = 0; own < 20; ++own) {
        auto request = fixture.makeRequest("/stream/x");
        request.model = "model";
        request.parts = { { 1, 2500 }, { 2, 3800 }, { 100 + own, 900 } };
        request.tokens = TokenCount { 7200, 20 };
        const auto candidates = fixture.runners.candidates(ServiceId("app"), "model");
        chosen.insert(fixture.policy.choose(request, "", 0, {}, candidates)->id.value());
    }
    cr_assert_eq(chosen.size(), 1);
}

// If the runner with the shared parts has a long queue, an idle runner must get the request and copy the parts from it.
// A runner that has the parts cached copies nothing.
Test(AffinityPolicy, avoidsABusyRunnerAndCopiesFromIt)
{
    GatewayFixture fixture;
    auto request = fixture.makeRequest("/stream/x");
    request.model = "model";
    request.parts = { { 1, 2500 }, { 2, 3800 }, { 3, 900 } };
    request.tokens = TokenCount { 7200, 20 };
    const auto choose = [&] {
        const auto candidates = fixture.runners.candidates(ServiceId("app"), "model");
        return *fixture.policy.choose(request, "", 0, {}, candidates);
    };
    const auto preferred = choose();
    for (const auto& prefix : sharedPrefixes(request, "", 1)) {
        fixture.directory.recordRead(
            std::array { CachedPrefix { prefix.hash, holderHash(preferred.id, preferred.incarnation) } });
    }
    cr_assert(choose().id == preferred.id);
    cr_assert(!choose().cacheSource);
    fixture.runners.recordSent(preferred.id, 40'000);
    const auto other = choose();
    cr_assert(other.id != preferred.id);
    cr_assert(other.cacheSource == preferred.endpoint);
    cr_assert_float_eq(other.computedTokens, 900, 1e-6);
}

// VMs of different zones must choose the same runner for a long prompt: a copy in each zone evicted so many other
// entries that 3.3 million tokens were computed again in 25 s. A short prompt stays in the zone.
Test(AffinityPolicy, choosesOneRunnerForALongPromptInAllZones)
{
    ManualClock clock;
    CacheDirectory directory(clock);
    std::vector<RunnerCandidate> candidates;
    for (unsigned n = 0; n < 24; ++n) {
        RunnerCandidate candidate { UpstreamId("r" + std::to_string(n)) };
        candidate.zone = ZoneId(n % 2 == 0 ? "a" : "b");
        candidate.slots = 12;
        candidate.weights = 1;
        candidates.push_back(candidate);
    }
    for (std::uint64_t prompt = 0; prompt < 50; ++prompt) {
        ForwardRequest request;
        request.model = "model";
        request.tokens = TokenCount { 7200, 20 };
        request.parts = { { 1, 2500 }, { 100 + prompt, 3800 }, { 200 + prompt, 900 } };
        std::set<UpstreamId> chosen;
        for (const char* zone : { "a", "b" }) {
            AffinityPolicy policy(ZoneId(zone), directory);
            policy.setOtherZoneLoadUnknown(true);
            chosen.insert(policy.choose(request, "", 1, {}, candidates)->id);
            auto brief = request;
            brief.tokens = TokenCount { 200, 20 };
            brief.parts = { { 1, 50 }, { 100 + prompt, 50 }, { 200 + prompt, 100 } };
            const auto near = policy.choose(brief, "", 1, {}, candidates)->id;
            cr_assert_eq(std::ranges::find(candidates, near, &RunnerCandidate::id)->zone, ZoneId(zone));
        }
        cr_assert_eq(chosen.size(), 1);
    }
}

// Shared parts are saved to a store once, and not by a runner whose weights are about to change.
Test(AffinityPolicy, savesNewPartsToTheStoreOnce)
{
    GatewayFixture fixture;
    const std::array stores { CacheStore { { "127.0.0.9", 9900 }, ZoneId("a") } };
    auto request = fixture.makeRequest("/stream/x");
    request.model = "model";
    request.parts = { { 1, 2500 }, { 2, 3800 }, { 3, 900 } };
    const auto choose = [&](WeightsVersion target) {
        const auto candidates = fixture.runners.candidates(ServiceId("app"), "model");
        return *fixture.policy.choose(request, "", target, stores, candidates);
    };
    cr_assert(!choose(2).cacheStore);
    cr_assert(choose(1).cacheStore == stores[0].endpoint);
    for (const auto& prefix : sharedPrefixes(request, "", 1)) {
        fixture.directory.recordRead(std::array { CachedPrefix { prefix.hash, storeHash(stores[0].endpoint) } });
    }
    cr_assert(!choose(1).cacheStore);
    cr_assert(choose(1).cacheSource == stores[0].endpoint);
}

// Cache entries of different weights, isolated organisations or incarnations are different, and entries expire.
Test(CacheDirectory, separatesWeightsAndIsolatedOrganisations)
{
    GatewayFixture fixture;
    auto request = fixture.makeRequest("/stream/x");
    request.parts = { { 1, 2500 }, { 2, 900 } };
    const auto hash = sharedPrefixes(request, "", 1).front().hash;
    cr_assert_neq(hash, sharedPrefixes(request, "", 2).front().hash);
    cr_assert_neq(hash, sharedPrefixes(request, "org", 1).front().hash);
    const auto holder = holderHash(UpstreamId("r1"), Incarnation(1));
    fixture.directory.recordRead(std::array { CachedPrefix { hash, holder } });
    cr_assert(fixture.directory.isCached(hash, holder));
    cr_assert(!fixture.directory.isCached(hash, holderHash(UpstreamId("r1"), Incarnation(2))));
    fixture.clock.advance(15s);
    cr_assert(!fixture.directory.isCached(hash, holder));
}

// Updates of the own zone must be forwarded to the other zones; without this, each zone computed each prompt itself and
// 17 million tokens were computed again. Updates of other zones must not be forwarded back, and repeated reads of a
// prefix are not reported each time.
Test(CacheDirectory, forwardsUpdatesOfTheOwnZoneOnce)
{
    ManualClock clock;
    CacheDirectory directory(clock);
    const std::array own { CachedPrefix { 1, 10 } };
    const std::array near { CachedPrefix { 2, 20 } };
    const std::array far { CachedPrefix { 3, 30 } };
    clock.advance(1s);
    directory.recordRead(own);
    directory.recordRemoteRead(near, true);
    directory.recordRemoteRead(far, false);
    cr_assert_eq(directory.takeUpdates().size(), 1);
    cr_assert_eq(directory.takeZoneUpdates().size(), 2);
    directory.recordRead(own);
    directory.recordRemoteRead(near, true);
    cr_assert(directory.takeUpdates().empty() && directory.takeZoneUpdates().empty());
    // Reported again before the entry expires at the other VMs.
    clock.advance(8s);
    directory.recordRead(own);
    cr_assert_eq(directory.takeUpdates().size(), 1);
    cr_assert(directory.holdersOf(3) == std::vector<std::uint64_t> { 30 });
}
