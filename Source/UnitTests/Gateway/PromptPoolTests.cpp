#include "Gateway/PromptPool.h"
#include "Gateway/PromptPoolSize.h"
#include "Gateway/RefusalFleet.h"
#include "Timeline/Log.h"

#include <algorithm>
#include <cstdio>
#include <set>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

std::vector<RunnerCandidate> makeEngines(std::size_t count)
{
    std::vector<RunnerCandidate> engines(count);
    for (std::size_t n = 0; n < count; ++n) {
        engines[n].id = UpstreamId("e" + std::to_string(n));
        engines[n].slots = 32;
    }
    return engines;
}

std::set<UpstreamId> membersOf(std::vector<RunnerCandidate> engines)
{
    PromptPool::markMembers(engines, PromptPoolSize::largestShare);
    std::set<UpstreamId> members;
    for (const auto& it : engines) {
        if (it.isInPromptPool) {
            members.insert(it.id);
        }
    }
    return members;
}

/// Load of the first customer at a fifth of its size: long prompts that yield, and short ones.
RefusalLoad mixedLoad(double peakFactor)
{
    RefusalLoad load;
    load.vms = 6;
    load.runners = 12;
    load.slots = 32;
    load.queue = 96;
    load.duration = 12s;
    load.engine.emplace();
    // 47 ms a prompt: a quarter of the engines' time at the usual load.
    load.engine->requests = { { .prefix = "/long/",
                                  .priority = 2,
                                  .objective = 600ms,
                                  .timeout = 4s,
                                  .promptTokens = 7400,
                                  .events = 7,
                                  .rate = 63,
                                  .peakFactor = peakFactor },
        { .prefix = "/short/",
            .priority = 0,
            .objective = 250ms,
            .timeout = 10s,
            .promptTokens = 826,
            .events = 36,
            .rate = 68,
            .peakFactor = 1.8 } };
    return load;
}

} // namespace

// VMs that know different sizes or lack a runner must differ only at the edge of the pool, else prefixes are cached
// twice. The order of the candidates must not matter.
Test(PromptPool, differsOnlyAtTheEdge)
{
    auto engines = makeEngines(60);
    const auto members = membersOf(engines);
    cr_assert_eq(members.size(), 30);
    std::ranges::reverse(engines);
    cr_assert(membersOf(engines) == members);
    std::erase_if(engines, [&](const auto& it) { return it.id == *members.begin(); });
    const auto next = membersOf(engines);
    const auto kept = std::ranges::count_if(members, [&next](const auto& it) { return next.contains(it); });
    cr_assert_geq(kept, 28);
}

// With few engines there must still be a pool, and an engine outside it if there are several.
Test(PromptPool, existsWithFewEngines)
{
    cr_assert_eq(membersOf(makeEngines(1)).size(), 1);
    cr_assert_eq(membersOf(makeEngines(2)).size(), 1);
    cr_assert(membersOf({}).empty());
    cr_assert_eq(membersOf(makeEngines(60)).size(), 30);
}

// Long prompts of the least urgent route occupied all engines, and each batch step with a part of one delayed every
// stream: more than 250 ms between two events made an answer late. The first measure is the behaviour without pools.
// The values of requests are those of the first customer.
Test(PromptPool, keepsLongPromptsAwayFromStreams)
{
    configureLog(LogLevel::Off);
    for (const double peakFactor : { 1.8, 2.6 }) {
        double streamsBefore = 0;
        double valueBefore = 0;
        for (const unsigned yieldRanks : { 0U, 2U }) {
            auto load = mixedLoad(peakFactor);
            load.engine->yieldRanks = yieldRanks;
            const auto outcome = RefusalFleet(load, 1).run();
            const auto& streams = outcome.routes.at("/short/org");
            const auto& prompts = outcome.routes.at("/long/org");
            const double value = 4.2 * static_cast<double>(streams.inTime) + 0.5 * static_cast<double>(streams.late)
                + 0.73 * static_cast<double>(prompts.inTime) + 0.33 * static_cast<double>(prompts.late);
            std::printf("long prompts %.1f times, yield ranks %u: short %.3f of %zu in time, long %.3f of %zu, refused "
                        "by engines %zu, value %.0f\n",
                peakFactor, yieldRanks, streams.inTimeShare(), streams.requests, prompts.inTimeShare(),
                prompts.requests, outcome.engineRefusals, value);
            if (yieldRanks == 0) {
                streamsBefore = streams.inTimeShare();
                valueBefore = value;
                continue;
            }
            cr_assert(streams.inTimeShare() > streamsBefore);
            cr_assert(value > valueBefore);
        }
    }
}

// In a peak of both kinds streams must keep their objective. With a pool of constant size 0.712 of them were in time:
// they needed more slots than half of the engines have, and every stream held its slot longer.
Test(PromptPool, givesItsEnginesToStreamsThatNeedThem)
{
    configureLog(LogLevel::Off);
    const auto outcome = RefusalFleet(mixedLoad(2.6), 1).run();
    const auto& streams = outcome.routes.at("/short/org");
    cr_assert(streams.inTimeShare() > 0.9, "%.3f of %zu in time", streams.inTimeShare(), streams.requests);
}

// Both kinds of requests must keep their objectives while the load is below the capacity: in the peak of 1.8 times the
// prompts need less than half of the engines' time.
Test(PromptPool, keepsTheObjectiveOfPromptsInAPeak)
{
    configureLog(LogLevel::Off);
    const auto outcome = RefusalFleet(mixedLoad(1.8), 1).run();
    cr_assert(outcome.routes.at("/long/org").inTimeShare() > 0.9);
}

// Where no route ranks two below another one on the same engines, nothing may change: the same requests get the same
// answers, and no pool exists.
Test(PromptPool, changesNothingWithoutAYieldingRoute)
{
    configureLog(LogLevel::Off);
    std::vector<std::size_t> results;
    for (const unsigned yieldRanks : { 0U, 2U }) {
        auto load = mixedLoad(2.6);
        load.duration = 6s;
        load.engine->requests[0].priority = 1;
        load.engine->yieldRanks = yieldRanks;
        const auto outcome = RefusalFleet(load, 3).run();
        for (const auto& [route, it] : outcome.routes) {
            results.insert(results.end(), { it.inTime, it.late, it.refused });
        }
        results.push_back(outcome.engineRefusals);
    }
    const auto half = results.begin() + static_cast<std::ptrdiff_t>(results.size() / 2);
    cr_assert(std::equal(results.begin(), half, half, results.end()));
}

// Streams that need more slots than half of the engines have must get more engines within about a second, and the
// yielding routes must keep some.
Test(PromptPoolSize, givesWayToStreams)
{
    PromptPoolSize size;
    MonotonicTime now { 10s };
    constexpr double slots = 60 * 32;
    const auto update = [&](double urgentRequests, std::chrono::milliseconds time) {
        double share = 0;
        for (auto passed = 0ms; passed < time; passed += 50ms) {
            now += 50ms;
            share = size.update(now, 60, slots, urgentRequests);
        }
        return share;
    };
    cr_assert_float_eq(update(340, 1s), PromptPoolSize::largestShare, 1e-6, "usual load");
    cr_assert_lt(update(1100, 1s), 0.3, "the streams need three quarters of the engines");
    cr_assert_float_eq(update(5000, 10s), PromptPoolSize::smallestShare, 1e-3, "yielding routes are still served");
    // Back slowly, so that prefixes are not moved between two peaks.
    cr_assert_lt(update(340, 500ms), 0.3);
    cr_assert_gt(update(340, 10s), 0.45);
    const double share = size.update(now, 60, slots, 340);
    cr_assert_float_eq(size.update(now, 0, 0, 0), share, 1e-9, "without an engine nothing is known");
}
