#include "Gateway/LoadAdmission.h"
#include "Gateway/RefusalFleet.h"
#include "Timeline/Log.h"

#include <criterion/criterion.h>

#include <cstdio>
#include <limits>
#include <vector>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

constexpr double tokensPerSecond = 157'000;
constexpr MonotonicTime start { 100s };

/// Engines that take 10 ms for a prompt without tokens.
EngineRate learntRate(MonotonicTime now = start)
{
    EngineRate rate;
    for (int n = 0; n < 20; ++n) {
        const double ahead = 3000.0 * (n % 5);
        const double seconds = 0.01 + (ahead + 3000) / tokensPerSecond;
        rate.recordFirstOutput(now, ahead, 3000, std::chrono::nanoseconds(static_cast<std::int64_t>(seconds * 1e9)));
    }
    return rate;
}

RunnerCandidate makeEngine(unsigned requests, double yieldingTokens)
{
    RunnerCandidate engine;
    engine.slots = 32;
    engine.load.requests = requests;
    engine.load.yieldingTokens = yieldingTokens;
    return engine;
}

EngineDemand makeDemand(RouteUrgency urgency = RouteUrgency::Yielding)
{
    return { .urgency = urgency, .tokens = 3000, .untilObjective = 600ms, .remaining = 4s };
}

} // namespace

// The learnt line must predict queues that differ from the observed ones, else a full pool is noticed too late.
Test(EngineRate, predictsOtherQueues)
{
    const auto time = learntRate().timeToFirstOutput(start, 60'000, 3000);
    cr_assert(time && *time > 390ms && *time < 430ms);
}

// Without observations or with old ones nothing is known, so that requests are admitted.
Test(EngineRate, isUnknownWithoutRecentObservations)
{
    cr_assert(!EngineRate().timeToFirstOutput(start, 0, 3000));
    cr_assert(!learntRate().timeToFirstOutput(start + 6s, 0, 3000));
}

// One absurd token count or an invalid value must not decide the rate of all requests.
Test(EngineRate, survivesAbsurdCounts)
{
    auto rate = learntRate();
    const auto before = rate.timeToFirstOutput(start, 60'000, 3000);
    rate.recordFirstOutput(start, 0, 4e9, 30ms);
    rate.recordFirstOutput(start, std::numeric_limits<double>::quiet_NaN(), 3000, 30ms);
    rate.recordFirstOutput(start, -5, 3000, 30ms);
    const auto after = rate.timeToFirstOutput(start, 60'000, 3000);
    cr_assert(before && after && *after > *before / 4 && *after < *before * 4);
    cr_assert(*rate.timeToFirstOutput(start, 0, 4e9) <= 60s);
}

// A request that declares no tokens must not be expected earlier than one with the usual number.
Test(EngineRate, givesNoAdvantageToADeclarationBelowTheUsual)
{
    const auto rate = learntRate();
    cr_assert(rate.timeToFirstOutput(start, 9000, 0) == rate.timeToFirstOutput(start, 9000, 3000));
}

// A prompt that would start after its objective or after its caller's time is rejected at once; one that starts in time
// at the best engine is admitted.
Test(LoadAdmission, rejectsWhatTheBestEngineWouldStartTooLate)
{
    const auto rate = learntRate();
    const std::vector full { makeEngine(20, 120'000), makeEngine(25, 150'000) };
    const auto rejected = LoadAdmission::decide(start, makeDemand(), full, rate);
    cr_assert(rejected.verdict == AdmissionVerdict::Reject && rejected.reason == AdmissionReason::LateStart);
    cr_assert(rejected.excess > 100ms && rejected.excess < 300ms);
    auto demand = makeDemand();
    demand.untilObjective = 2s;
    cr_assert(LoadAdmission::decide(start, demand, full, rate).verdict == AdmissionVerdict::Admit);
    demand.remaining = 300ms;
    cr_assert(LoadAdmission::decide(start, demand, full, rate).verdict == AdmissionVerdict::Reject);
    const std::vector oneBetter { makeEngine(20, 120'000), makeEngine(25, 30'000) };
    cr_assert(LoadAdmission::decide(start, makeDemand(), oneBetter, rate).verdict == AdmissionVerdict::Admit);
}

// No request may be refused while a slot that could serve it is free, whatever was learnt.
Test(LoadAdmission, admitsWhileAnEngineIsFree)
{
    EngineRate slow;
    for (int n = 0; n < 20; ++n) {
        slow.recordFirstOutput(start, 0, 3000, 10s);
    }
    const std::vector engines { makeEngine(40, 300'000), makeEngine(31, 0) };
    cr_assert(LoadAdmission::decide(start, makeDemand(), engines, slow).verdict == AdmissionVerdict::Admit);
}

// Urgent requests must not be refused in favour of yielding ones, and without a learnt rate or without engines nothing
// is rejected.
Test(LoadAdmission, admitsUrgentRequestsAndThoseWithoutALearntRate)
{
    const std::vector full { makeEngine(40, 900'000) };
    const auto urgent = makeDemand(RouteUrgency::Urgent);
    cr_assert(LoadAdmission::decide(start, urgent, full, learntRate()).verdict == AdmissionVerdict::Admit);
    const auto unknown = LoadAdmission::decide(start, makeDemand(), full, EngineRate());
    cr_assert(unknown.verdict != AdmissionVerdict::Reject);
    cr_assert(LoadAdmission::decide(start, makeDemand(), {}, learntRate()).verdict == AdmissionVerdict::Admit);
}

namespace {

/// Long prompts at a multiple of the capacity of the pool, in the peak from 4 to 10 s, beside urgent streams.
RefusalLoad overload(double capacityFactor)
{
    RefusalLoad load;
    load.vms = 6;
    load.runners = 12;
    load.slots = 32;
    load.queue = 96;
    load.duration = 14s;
    load.engine.emplace();
    // The load is a multiple of what 8 engines compute: 21 prompts of 7,400 tokens a second each.
    load.engine->requests = { { .prefix = "/long/",
                                  .priority = 2,
                                  .objective = 600ms,
                                  .timeout = 4s,
                                  .promptTokens = 7400,
                                  .events = 2,
                                  .rate = 56,
                                  .peakFactor = 3 * capacityFactor },
        { .prefix = "/short/",
            .priority = 0,
            .objective = 250ms,
            .timeout = 10s,
            .promptTokens = 200,
            .events = 10,
            .rate = 40 } };
    return load;
}

void printOutcome(const char* name, unsigned yieldRanks, const RefusalOutcome& outcome)
{
    const auto& prompts = outcome.routes.at("/long/org");
    std::printf("%s, yield ranks %u: engines refused %zu of %zu, rejected by 95%% after %.0f ms, free %zu, short %.3f, "
                "long %.3f; long in time by second:",
        name, yieldRanks, outcome.engineRefusals, outcome.requests,
        std::chrono::duration<double, std::milli>(outcome.refusalTime(0.95)).count(), outcome.refusedWhileFree,
        outcome.routes.at("/short/org").inTimeShare(), prompts.inTimeShare());
    for (const auto it : prompts.inTimeBySecond) {
        std::printf(" %zu", it);
    }
    std::printf("\n");
}

} // namespace

// Prompts above the capacity filled the queues of the engines, so that all of them were late and the engines refused
// the rest. The excess must be rejected in less than 50 ms, engines refuse less than 1% of the arrivals, and the work
// done in time must not collapse. The first measure is the behaviour without pools and admission.
Test(LoadReplay, rejectsTheExcessAboveTheCapacity)
{
    configureLog(LogLevel::Off);
    for (const double factor : { 2.0, 3.0 }) {
        auto load = overload(factor);
        load.engine->yieldRanks = 0;
        const auto before = RefusalFleet(load, 1).run();
        printOutcome(factor > 2 ? "three times" : "twice", 0, before);
        load.engine->yieldRanks = 2;
        const auto after = RefusalFleet(load, 1).run();
        printOutcome(factor > 2 ? "three times" : "twice", 2, after);
        cr_assert(after.refusedAfter.empty() || after.refusedAfter.back() < 50ms);
        cr_assert(static_cast<double>(after.engineRefusals) < 0.01 * static_cast<double>(after.requests));
        cr_assert(after.routes.at("/long/org").inTime > before.routes.at("/long/org").inTime);
    }
}

// Without reports of other VMs, after a crash of a quarter of the engines and with uneven speeds, streams must be
// served as well as without pools and admission, and engines must still refuse less than 1% of the arrivals.
Test(LoadReplay, holdsWithoutReportsAndWithLostOrUnevenEngines)
{
    configureLog(LogLevel::Off);
    std::vector<std::pair<const char*, RefusalLoad>> cases(3, { "no reports", overload(2) });
    cases[0].second.engine->hasReports = false;
    cases[1].first = "a quarter crashes";
    cases[1].second.engine->crashing = 3;
    cases[2].first = "uneven speeds";
    cases[2].second.engine->speeds = { 0.7, 1, 1.7 };
    for (auto& [name, load] : cases) {
        load.engine->yieldRanks = 0;
        const auto before = RefusalFleet(load, 2).run();
        printOutcome(name, 0, before);
        load.engine->yieldRanks = 2;
        const auto after = RefusalFleet(load, 2).run();
        printOutcome(name, 2, after);
        cr_assert(after.routes.at("/short/org").inTimeShare() >= before.routes.at("/short/org").inTimeShare());
        cr_assert(static_cast<double>(after.engineRefusals) < 0.01 * static_cast<double>(after.requests));
    }
}
