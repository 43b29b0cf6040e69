#include "Gateway/ConfigurationCheck.h"
#include "Gateway/GatewayFixture.h"

#include <criterion/criterion.h>

#include <functional>
#include <limits>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

/// A configuration without findings.
RoutingConfiguration soundConfiguration()
{
    RoutingConfiguration configuration;
    configuration.version = 7;
    configuration.routes = { makeRoute("/safe/", RequestKind::Safe, 2), makeRoute("/unsafe/", RequestKind::Unsafe, 1),
        makeRoute("/stream/", RequestKind::Streaming, 2, true) };
    ServiceRule service;
    service.id = ServiceId("app");
    service.engine = EngineProfile { 8, 1000, { "model" } };
    configuration.services[service.id] = service;
    configuration.organisations = { makeOrganisation("org", 100), makeOrganisation("other", 0) };
    return configuration;
}

using Change = std::function<void(RoutingConfiguration&)>;

/// Fails unless the findings contain one with the kind, the subject and the text.
void expectFinding(const std::vector<ConfigurationFinding>& findings, FindingKind kind, const std::string& subject,
    const std::string& text)
{
    std::string all;
    for (const auto& it : findings) {
        all += std::string(nameOf(it.kind)) + ": " + it.subject + ": " + it.text + "\n";
    }
    const bool isFound = std::ranges::any_of(findings, [&](const ConfigurationFinding& it) {
        return it.kind == kind && it.subject == subject && it.text.find(text) != std::string::npos;
    });
    cr_assert(isFound, "%s of %s expected, found:\n%s", text.c_str(), subject.c_str(), all.c_str());
}

} // namespace

Test(ConfigurationCheck, findsNothingInASoundConfiguration)
{
    cr_assert(checkConfiguration(soundConfiguration()).empty());
    cr_assert(compareConfigurations(RoutingConfiguration(), soundConfiguration()).size() > 0);
}

// Each bad value is found, and nothing else: guards against a check that misses a kind of mistake or reports sound
// entries.
Test(ConfigurationCheck, findsEachMistake)
{
    struct Case {
        FindingKind kind;
        const char* subject;
        const char* text;
        Change change;
    };
    using Config = RoutingConfiguration;
    const auto error = FindingKind::Error;
    const auto never = FindingKind::NeverMatches;
    const auto contradiction = FindingKind::Contradiction;
    const auto* safe = "route \"/safe/\"";
    const auto* unsafe = "route \"/unsafe/\"";
    const auto* stream = "route \"/stream/\"";
    const auto* org = "organisation \"org\"";
    const std::vector<Case> cases {
        { error, "version", "above 0", [](Config& it) { it.version = 0; } },
        { error, "version", "above 0", [](Config& it) { it.version = -3; } },
        { error, "route \"\"", "no name", [](Config& it) { it.routes[0].name = ""; } },
        { error, safe, "no host", [](Config& it) { it.routes[0].host = ""; } },
        { error, safe, "slash", [](Config& it) { it.routes[0].prefix = "safe/"; } },
        { error, safe, "slash", [](Config& it) { it.routes[0].prefix = "/safe"; } },
        { error, safe, "no service", [](Config& it) { it.routes[0].shares.clear(); } },
        { error, safe, "all 0", [](Config& it) { it.routes[0].shares[0].weight = 0; } },
        { error, safe, "weight", [](Config& it) { it.routes[0].shares[0].weight = -1; } },
        { error, safe, "weight",
            [](Config& it) { it.routes[0].shares[0].weight = std::numeric_limits<double>::quiet_NaN(); } },
        { error, safe, "objective is 0", [](Config& it) { it.routes[0].objective = 0ms; } },
        { error, safe, "priority 10", [](Config& it) { it.routes[0].priority = 10; } },
        { error, safe, "more than once",
            [](Config& it) {
                it.routes.push_back(it.routes[0]);
                it.routes.back().prefix = "/x/";
            } },
        { error, org, "more than once",
            [](Config& it) {
                it.organisations.push_back(it.organisations[0]);
                it.organisations.back().keyDigests = { sha256("another") };
            } },
        { error, org, "negative", [](Config& it) { it.organisations[0].rate = -1; } },
        { error, org, "negative", [](Config& it) { it.organisations[0].burst = -1; } },
        { error, org, "priority 12", [](Config& it) { it.organisations[0].priority = 12; } },
        { error, "organisation \"\"", "no name", [](Config& it) { it.organisations[0].id = OrganisationId(""); } },
        { error, "service \"app\"", "no slots", [](Config& it) { it.services.begin()->second.engine->slots = 0; } },
        { error, "limits", "headers is 0", [](Config& it) { it.limits.headerBytes = 0; } },
        { error, "limits", "bodies is 0", [](Config& it) { it.limits.bodyBytes = 0; } },
        { error, "limits", "idle", [](Config& it) { it.limits.idleTimeout = 0ms; } },
        { error, "limits", "time for a header", [](Config& it) { it.limits.headerTimeout = 0ms; } },
        { never, "route \"second\"", "hidden by route \"/safe/\"",
            [](Config& it) {
                it.routes.push_back(it.routes[0]);
                it.routes.back().name = "second";
            } },
        { never, safe, "\"gone\" is not defined",
            [](Config& it) { it.routes[0].shares[0].service = ServiceId("gone"); } },
        { never, safe, "upper-case", [](Config& it) { it.routes[0].host = "Shop.example"; } },
        { never, safe, "port", [](Config& it) { it.routes[0].host = "shop.example:80"; } },
        { never, org, "no keys", [](Config& it) { it.organisations[0].keyDigests.clear(); } },
        { never, "organisation \"other\"", "key 2 is also key 1 of organisation \"org\"",
            [](Config& it) { it.organisations[1].keyDigests.push_back(it.organisations[0].keyDigests[0]); } },
        { contradiction, safe, "the objective of 2000 ms is above the timeout of 1000 ms",
            [](Config& it) {
                it.routes[0].objective = 2000ms;
                it.routes[0].timeout = 1000ms;
            } },
        { contradiction, org, "burst of 0", [](Config& it) { it.organisations[0].burst = 0; } },
        { contradiction, org, "101 tokens, more than the burst of 100",
            [](Config& it) { it.organisations[0].uncountedTokens = 101; } },
        { contradiction, "organisations", "no organisation has a key, but 3 routes need one",
            [](Config& it) { it.organisations.clear(); } },
        { contradiction, unsafe, "2 attempts", [](Config& it) { it.routes[1].maxAttempts = 2; } },
        { contradiction, stream, "only one attempt", [](Config& it) { it.routes[2].maxAttempts = 1; } },
        { contradiction, safe, "its kind is safe", [](Config& it) { it.routes[0].isResumable = true; } },
    };
    for (const auto& it : cases) {
        auto configuration = soundConfiguration();
        it.change(configuration);
        const auto findings = checkConfiguration(configuration);
        expectFinding(findings, it.kind, it.subject, it.text);
        cr_assert_eq(findings.size(), 1, "%s: %s: %zu findings", it.subject, it.text, findings.size());
    }
    auto open = soundConfiguration();
    open.organisations.clear();
    open.requiresKeys = false;
    cr_assert(checkConfiguration(open).empty(), "routes that need no keys are reported");
    auto timeless = soundConfiguration();
    timeless.routes[0].timeout = 0ms;
    expectFinding(checkConfiguration(timeless), error, safe, "timeout is 0");
    auto store = soundConfiguration();
    store.services.begin()->second.cacheStore = CacheStore { { "10.0.0.1", 1 }, ZoneId("a") };
    expectFinding(checkConfiguration(store), error, safe, "is a cache store");
}

// The differences name what changed, and nothing for what is equal.
Test(ConfigurationCheck, namesTheDifferencesFromTheVersionInForce)
{
    struct Case {
        const char* subject;
        const char* text;
        Change change;
    };
    using Config = RoutingConfiguration;
    const std::vector<Case> cases {
        { "route \"/safe/\"", "timeout 30000 ms -> 5 ms", [](Config& it) { it.routes[0].timeout = 5ms; } },
        { "route \"/safe/\"", "kind safe -> unsafe", [](Config& it) { it.routes[0].kind = RequestKind::Unsafe; } },
        { "route \"/safe/\"", "services app 1 -> app 1, b 0.5",
            [](Config& it) { it.routes[0].shares.push_back({ ServiceId("b"), 0.5 }); } },
        { "route \"/safe/\"", "removed", [](Config& it) { it.routes.erase(it.routes.begin()); } },
        { "route \"/new/\"", "new", [](Config& it) { it.routes.push_back(makeRoute("/new/", RequestKind::Safe, 1)); } },
        { "service \"app\"", "engine 8 slots, 1000 tokens, model -> none",
            [](Config& it) { it.services.begin()->second.engine.reset(); } },
        { "service \"app\"", "connections 0 -> 9", [](Config& it) { it.services.begin()->second.maxConnections = 9; } },
        { "organisation \"org\"", "rate 100 -> 250.5", [](Config& it) { it.organisations[0].rate = 250.5; } },
        { "organisation \"org\"", "isolated false -> true", [](Config& it) { it.organisations[0].isIsolated = true; } },
        { "organisation \"org\"", "keys: 2 added, 1 withdrawn",
            [](Config& it) { it.organisations[0].keyDigests = { sha256("b"), sha256("c") }; } },
        { "organisation \"other\"", "removed", [](Config& it) { it.organisations.pop_back(); } },
        { "organisations", "API keys required true -> false", [](Config& it) { it.requiresKeys = false; } },
        { "limits", "size of bodies 8388608 -> 4096", [](Config& it) { it.limits.bodyBytes = 4096; } },
    };
    for (const auto& it : cases) {
        auto next = soundConfiguration();
        next.version = 8;
        it.change(next);
        const auto findings = compareConfigurations(soundConfiguration(), next);
        expectFinding(findings, FindingKind::Difference, it.subject, it.text);
        cr_assert_eq(findings.size(), 1, "%s: %zu findings", it.text, findings.size());
    }
    auto next = soundConfiguration();
    for (const auto version : { 7, 6 }) {
        next.version = version;
        expectFinding(
            compareConfigurations(soundConfiguration(), next), FindingKind::Error, "version", "does not follow 7");
    }
    next.version = 8;
    std::ranges::reverse(next.organisations[0].keyDigests);
    cr_assert(compareConfigurations(soundConfiguration(), next).empty());
}
