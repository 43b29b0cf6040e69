#include "Gateway/RefusalFleet.h"
#include "Timeline/Log.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <string>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

/// Long prompts of the first customer, which yield: a part of 6,300 tokens that others share and 2,890 of their own.
EngineRequests longPrompts(double rate)
{
    return { .prefix = "/long/",
        .priority = 2,
        .objective = 600ms,
        .timeout = 4s,
        .promptTokens = 2890,
        .events = 7,
        .rate = rate,
        .sharedTokens = 6300 };
}

/// Short prompts of the first customer, whose streams are late after a pause of 250 ms.
EngineRequests shortPrompts(double rate)
{
    return { .prefix = "/short/",
        .priority = 0,
        .objective = 250ms,
        .timeout = 10s,
        .promptTokens = 826,
        .events = 36,
        .rate = rate };
}

/// A fifth of the engines of the first customer, which keep shared parts.
RefusalLoad fifthOfFleet(std::vector<EngineRequests> requests)
{
    RefusalLoad load;
    load.vms = 6;
    load.runners = 12;
    load.slots = 32;
    load.queue = 96;
    load.engine.emplace();
    load.engine->cacheTokens = 136'408;
    load.engine->requests = std::move(requests);
    return load;
}

/// What became of the requests of some routes that arrived from one second to another.
struct Served {
    std::size_t arrived = 0;
    std::size_t inTime = 0;

    double share() const
    {
        return static_cast<double>(inTime) / static_cast<double>(std::max<std::size_t>(1, arrived));
    }
};

Served servedBetween(
    const RefusalOutcome& outcome, const std::vector<std::string>& routes, std::size_t from, std::size_t to)
{
    Served served;
    for (const auto& route : routes) {
        const auto& it = outcome.routes.at(route);
        for (auto n = from; n < std::min(to, it.arrivedBySecond.size()); ++n) {
            served.arrived += it.arrivedBySecond[n];
            served.inTime += it.inTimeBySecond[n];
        }
    }
    return served;
}

void printOutcome(const std::string& name, const RefusalOutcome& outcome)
{
    std::printf("%s: engines refused %zu of %zu, rejected %zu times, all after %.0f ms\n", name.c_str(),
        outcome.engineRefusals, outcome.requests, outcome.refusedAfter.size(),
        std::chrono::duration<double, std::milli>(outcome.refusalTime(1)).count());
    for (const auto& [route, it] : outcome.routes) {
        std::printf("  %s: %zu requests, in time %.3f, late %zu, refused %zu; in time by second:", route.c_str(),
            it.requests, it.inTimeShare(), it.late, it.refused);
        for (const auto n : it.inTimeBySecond) {
            std::printf(" %zu", n);
        }
        std::printf("\n");
    }
}

/// A caller that is rejected must know at once, so that it has time to return: in less than 50 ms. Engines must refuse
/// less than 1% of the arrivals, since each refusal costs a round trip and a message of an engine at its capacity.
void checkRefusals(const RefusalOutcome& outcome)
{
    cr_expect(outcome.refusedAfter.empty() || outcome.refusedAfter.back() < 50ms);
    cr_expect(static_cast<double>(outcome.engineRefusals) < 0.01 * static_cast<double>(outcome.requests));
}

/// Share of the requests in time below which callers regard a route as disturbed.
constexpr double servedWell = 0.9;

} // namespace

// One shared part in half of the long prompts from 4 to 10 s: a policy that places a prompt only by its shared part
// sends all of them to one engine, where they are late. Afterwards, copies on many engines would evict other parts.
Test(OverloadReplay, spreadsAHotPromptWhileItIsHot)
{
    configureLog(LogLevel::Off);
    constexpr std::uint64_t hotPart = 1ULL << 40;
    auto others = longPrompts(63);
    others.peakFactor = 1.3;
    auto hot = longPrompts(4);
    hot.organisation = "hot";
    hot.part = hotPart;
    hot.peakFactor = 20.5;
    auto streams = shortPrompts(68);
    streams.peakFactor = 1.8;
    for (const unsigned seed : { 1U, 2U, 3U }) {
        auto load = fifthOfFleet({ others, streams, hot });
        load.duration = 24s;
        const auto outcome = RefusalFleet(load, seed).run();
        printOutcome("hot prompt, seed " + std::to_string(seed), outcome);
        const auto& engines = outcome.enginesByPart.at(hotPart);
        std::printf("  engines with the hot part by second:");
        for (const auto& it : engines) {
            std::printf(" %zu", it.size());
        }
        std::set<std::uint16_t> later;
        for (std::size_t n = 20; n < engines.size(); ++n) {
            later.insert(engines[n].begin(), engines[n].end());
        }
        std::printf("; %zu from 20 s\n", later.size());
        for (const auto* route : { "/long/hot", "/long/org", "/short/org" }) {
            const auto served = servedBetween(outcome, { route }, 4, 10);
            std::printf("  in the peak: %s %.3f\n", route, served.share());
            cr_expect(served.share() >= servedWell);
        }
        // 82 prompts a second with 18 ms for the tokens of their own need 1.5 engines.
        for (std::size_t n = 5; n < 10; ++n) {
            cr_expect(engines[n].size() >= 2);
        }
        // If each of the 41 parts is on 3 of the 6 engines of the pool, all of them fit into the caches there.
        cr_expect(later.size() <= 3);
        checkRefusals(outcome);
    }
}

namespace {

/// Prompts of 30,000 and of 826 tokens, each with half of the tokens, in a peak of a multiple of the pool's capacity.
RefusalLoad largeAndSmall(double capacityFactor)
{
    EngineRequests large { .prefix = "/large/",
        .priority = 2,
        .objective = 600ms,
        .timeout = 4s,
        .promptTokens = 30'000,
        .events = 1,
        .organisation = "large" };
    auto small = large;
    small.prefix = "/small/";
    small.promptTokens = 826;
    small.organisation = "small";
    // Six engines are the pool. Half of its capacity at first, so that the rate of the engines is learnt.
    for (auto* it : { &large, &small }) {
        it->rate = 0.25 * 6 * 157'000 / it->promptTokens;
        it->peakFactor = 2 * capacityFactor;
    }
    auto load = fifthOfFleet({ large, small, shortPrompts(20) });
    load.duration = 12s;
    return load;
}

void checkLargeAndSmall(double capacityFactor)
{
    configureLog(LogLevel::Off);
    for (const unsigned seed : { 1U, 2U, 3U, 4U }) {
        const auto outcome = RefusalFleet(largeAndSmall(capacityFactor), seed).run();
        printOutcome("large and small, seed " + std::to_string(seed), outcome);
        // Not the first second of the peak, in which the queues of the engines fill.
        const auto all = servedBetween(outcome, { "/large/large", "/small/small" }, 5, 10);
        for (const auto* route : { "/large/large", "/small/small" }) {
            const auto served = servedBetween(outcome, { route }, 5, 10);
            std::printf("  in the peak: %s %.3f, all %.3f\n", route, served.share(), all.share());
            cr_expect(served.share() >= all.share() / 4);
        }
        cr_expect(!outcome.refusedAfter.empty());
        checkRefusals(outcome);
    }
}

} // namespace

// If prompts are admitted by the time of their first output, small ones fill every gap before a large one fits, so that
// large ones starve. If large ones came first, each would take the time of 36 small ones.
Test(OverloadReplay, starvesNeitherLargeNorSmallPromptsAtTwiceTheCapacity) { checkLargeAndSmall(2); }

// As above. The gaps that the large prompts need become rarer with the load.
Test(OverloadReplay, starvesNeitherLargeNorSmallPromptsAtThreeTimesTheCapacity) { checkLargeAndSmall(3); }

// All VMs are killed in a peak of 1.8 times the usual load and return after a second, with the callers of that second
// and without learnt rates, caches and known work. From two seconds after the return, nine tenths of the work that is
// done in time without a restart must be done in each second, and on each route in the rest of the peak.
Test(OverloadReplay, worksInTimeAgainAfterARestartOfAllVms)
{
    configureLog(LogLevel::Off);
    const std::vector<std::string> routes { "/long/org", "/short/org" };
    auto prompts = longPrompts(63);
    prompts.peakFactor = 1.8;
    auto streams = shortPrompts(68);
    streams.peakFactor = 1.8;
    for (const unsigned seed : { 1U, 2U, 3U }) {
        auto load = fifthOfFleet({ prompts, streams });
        load.duration = 12s;
        load.engine->peakStart = 2s;
        load.engine->peakEnd = 12s;
        const auto without = RefusalFleet(load, seed).run();
        load.engine->restartAt = 5s;
        load.engine->restartTime = 1s;
        const auto outcome = RefusalFleet(load, seed).run();
        printOutcome("restart of all VMs, seed " + std::to_string(seed), outcome);
        for (std::size_t n = 8; n < 12; ++n) {
            const auto usual = servedBetween(without, routes, n, n + 1);
            const auto served = servedBetween(outcome, routes, n, n + 1);
            std::printf("  second %zu: %.3f, without a restart %.3f\n", n, served.share(), usual.share());
            cr_expect(served.share() >= servedWell * usual.share());
        }
        for (const auto& route : routes) {
            const auto usual = servedBetween(without, { route }, 8, 12);
            const auto served = servedBetween(outcome, { route }, 8, 12);
            std::printf("  from 8 s: %s %.3f, without a restart %.3f\n", route.c_str(), served.share(), usual.share());
            cr_expect(served.share() >= servedWell * usual.share());
        }
        checkRefusals(outcome);
    }
}

// The demand of each zone rises and falls by 55% within 17 s, one zone after the other, at three times the usual load
// of the second customer. A VM that prefers the engines of its zone for too long overruns them while others are idle.
// AffinityPolicy::followsDemandThatMovesBetweenZones replays the choice alone; this one has objectives, pauses,
// prompt caches and refusals.
Test(OverloadReplay, keepsObjectivesWhileDemandMovesBetweenZones)
{
    configureLog(LogLevel::Off);
    auto prompts = longPrompts(3 * 22.2);
    prompts.priority = 1;
    prompts.timeout = 5s;
    prompts.events = 10;
    auto streams = shortPrompts(3 * 29.6);
    streams.objective = 300ms;
    streams.timeout = 15s;
    streams.events = 58;
    for (const unsigned seed : { 1U, 2U }) {
        auto load = fifthOfFleet({ prompts, streams });
        load.vms = 8;
        load.slots = 64;
        load.duration = 20s;
        auto& engine = *load.engine;
        engine.tokensPerSecond = 41'400;
        engine.batchStep = 4630us;
        engine.promptStep = 25ms;
        engine.stepsPerEvent = 5;
        engine.longestPause = 300ms;
        engine.cacheTokens = 78'577;
        // 262,144 bytes at 1,100 Gbit/s.
        engine.copySecondsPerToken = 1.9e-6;
        engine.zones = { "a", "b", "c", "d" };
        engine.demandSwing = 0.55;
        engine.sharesZoneWork = true;
        const auto outcome = RefusalFleet(load, seed).run();
        printOutcome("moving demand, seed " + std::to_string(seed), outcome);
        for (const auto& [route, it] : outcome.routes) {
            for (std::size_t n = 0; n < 20; n += 4) {
                cr_expect(servedBetween(outcome, { route }, n, n + 4).share() >= servedWell);
            }
            cr_expect(it.refused == 0);
        }
        checkRefusals(outcome);
    }
}
