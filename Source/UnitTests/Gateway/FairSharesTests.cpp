#include "Gateway/FairShares.h"
#include "Gateway/LoadAdmission.h"
#include "Gateway/RefusalFleet.h"
#include "Timeline/Log.h"

#include <cmath>
#include <cstdio>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime start { 100s };

OrganisationId organisation(std::size_t n) { return OrganisationId("org-" + std::to_string(n)); }

void record(FairShares& shares, MonotonicTime now, const OrganisationId& id, double demand, double admitted)
{
    shares.recordDemand(now, id, demand);
    shares.recordAdmitted(now, id, admitted);
}

} // namespace

// An organisation that asks for less than an equal part must get all of it, and what it leaves belongs to the others.
// An equal division would take capacity from organisations that use it.
Test(FairShares, givesWhatSmallOrganisationsLeaveToTheOthers)
{
    FairShares shares;
    record(shares, start, organisation(0), 1000, 500);
    record(shares, start, organisation(1), 400, 400);
    record(shares, start, organisation(2), 100, 100);
    // 1,000 tokens were admitted: 100, 400 and 500 are the fair shares.
    cr_assert(!shares.isAboveShare(organisation(0)));
    cr_assert(!shares.isAboveShare(organisation(1)));
    cr_assert(!shares.isAboveShare(organisation(2)));
    shares.recordDemand(start, organisation(1), 400);
    // The level is now 450 for the first two.
    cr_assert(shares.isAboveShare(organisation(0)));
    cr_assert(!shares.isAboveShare(organisation(1)));
    cr_assert(std::abs(shares.shareOfDemand(organisation(0)) - 0.45) < 1e-9);
    cr_assert(!shares.isAboveShare(organisation(3)));
}

// A single organisation, and any number of them below the capacity, must be served as without shares.
Test(FairShares, limitsNobodyWithoutCompetition)
{
    FairShares alone;
    record(alone, start, organisation(0), 5000, 1700);
    cr_assert(!alone.isAboveShare(organisation(0)));
    FairShares all;
    for (std::size_t n = 0; n < 50; ++n) {
        const double tokens = 0.1 + 7.3 * static_cast<double>(n);
        record(all, start + n * 30ms, organisation(n), tokens, tokens);
    }
    for (std::size_t n = 0; n < 50; ++n) {
        cr_assert(!all.isAboveShare(organisation(n)));
    }
}

// An organisation over its quota must not take a fair share that it cannot use: another one was rejected although
// engines had room for it.
Test(FairShares, countsNoDemandThatTheQuotaRefused)
{
    FairShares shares;
    record(shares, start, organisation(0), 10, 10);
    record(shares, start, organisation(1), 50, 50);
    shares.recordDemand(start, organisation(0), 490);
    cr_assert(shares.isAboveShare(organisation(1)));
    shares.withdrawDemand(start, organisation(0), 490);
    cr_assert(!shares.isAboveShare(organisation(1)));
}

// An organisation that has stopped must leave its share to the others within a few seconds, also after hours, when
// units that grow with the time would overflow.
Test(FairShares, forgetsOrganisationsWithoutDemand)
{
    FairShares shares;
    record(shares, start, organisation(0), 10'000, 5000);
    record(shares, start + 24h, organisation(1), 1000, 300);
    record(shares, start + 24h, organisation(2), 1000, 300);
    cr_assert_eq(shares.size(), 2);
    cr_assert(!shares.isAboveShare(organisation(1)));
    record(shares, start + 24h + 15s, organisation(3), 1000, 600);
    record(shares, start + 24h + 15s, organisation(4), 1000, 400);
    cr_assert(shares.isAboveShare(organisation(3)));
    cr_assert(std::abs(shares.shareOfDemand(organisation(4)) - 0.5) < 0.01);
}

// The memory must stay bounded with any number of organisations, and a large one must not be forgotten for a small one.
Test(FairShares, keepsTheLargestOfManyOrganisations)
{
    FairShares shares;
    record(shares, start, organisation(0), 100'000, 50'000);
    for (std::size_t n = 1; n < 5000; ++n) {
        record(shares, start + n * 1ms, organisation(n), 10, 5);
    }
    cr_assert_eq(shares.size(), FairShares::maxOrganisations);
    cr_assert(shares.isAboveShare(organisation(0)));
}

// Above its share an organisation may use the engines up to half of the objective, so that the rest is left to others.
// An organisation at its share is served as before, and a free engine serves all.
Test(LoadAdmission, leavesHalfOfTheObjectiveToOrganisationsBelowTheirShare)
{
    EngineRate rate;
    for (int n = 0; n < 20; ++n) {
        const double ahead = 3000.0 * (n % 5);
        rate.recordFirstOutput(
            start, ahead, 3000, std::chrono::nanoseconds(static_cast<std::int64_t>(ahead + 3000) * 10'000));
    }
    EngineDemand demand { .urgency = RouteUrgency::Yielding, .tokens = 3000, .untilObjective = 600ms, .remaining = 4s };
    RunnerCandidate engine;
    engine.slots = 32;
    engine.load = { .requests = 20, .yieldingTokens = 42'000 };
    for (const bool isAboveShare : { false, true }) {
        demand.isAboveShare = isAboveShare;
        const auto decision = LoadAdmission::decide(start, demand, std::vector { engine }, rate);
        cr_assert(decision.reason == (isAboveShare ? AdmissionReason::AboveShare : AdmissionReason::None));
        cr_assert(!isAboveShare || (decision.excess > 100ms && decision.excess < 200ms));
    }
    engine.load.yieldingTokens = 20'000;
    cr_assert(LoadAdmission::decide(start, demand, std::vector { engine }, rate).verdict == AdmissionVerdict::Admit);
    engine.load = {};
    demand.untilObjective = 1ms;
    cr_assert(LoadAdmission::decide(start, demand, std::vector { engine }, rate).verdict == AdmissionVerdict::Admit);
}

namespace {

/// Organisations with equal usual rates. All prompts go to the pool of 6 engines, which computes 127 prompts of 7,400
/// tokens a second. With the hot organisation at 5 times its rate the load is twice that.
RefusalLoad hotOrganisation(bool hasHotOne)
{
    constexpr double poolRate = 127;
    constexpr double hotFactor = 5;
    constexpr int others = 4;
    RefusalLoad load;
    load.vms = 6;
    load.runners = 12;
    load.slots = 32;
    load.queue = 96;
    load.duration = 14s;
    load.engine.emplace();
    EngineRequests requests { .prefix = "/long/",
        .priority = 2,
        .objective = 600ms,
        .timeout = 4s,
        .promptTokens = 7400,
        .events = 2,
        .rate = 2 * poolRate / (others + hotFactor) };
    for (int n = 0; n < others; ++n) {
        requests.organisation = "other-" + std::to_string(n);
        load.engine->requests.push_back(requests);
    }
    if (hasHotOne) {
        requests.organisation = "hot";
        requests.peakFactor = hotFactor;
        load.engine->requests.push_back(requests);
    }
    load.engine->requests.push_back({ .prefix = "/short/",
        .priority = 0,
        .objective = 250ms,
        .timeout = 10s,
        .promptTokens = 200,
        .events = 10,
        .rate = 40 });
    return load;
}

/// Share of the requests that arrived in the peak and were on time, of routes and organisations with a prefix.
double inTimeInPeak(const RefusalOutcome& outcome, std::string_view prefix)
{
    std::size_t arrived = 0;
    std::size_t inTime = 0;
    for (const auto& [route, it] : outcome.routes) {
        if (route.starts_with(prefix)) {
            for (std::size_t second = 4; second < 10; ++second) {
                arrived += it.arrivedBySecond[second];
                inTime += it.inTimeBySecond[second];
            }
        }
    }
    return static_cast<double>(inTime) / static_cast<double>(arrived);
}

} // namespace

// An organisation that sends 5 times its usual load took the capacity of all others, since rejections fell on any
// request. The max-min fair share of the others is 0.9 of their demand.
Test(LoadReplay, keepsTheShareOfOthersBesideAHotOrganisation)
{
    configureLog(LogLevel::Off);
    for (const unsigned seed : { 1U, 2U, 3U }) {
        const auto alone = inTimeInPeak(RefusalFleet(hotOrganisation(false), seed).run(), "/long/other");
        const auto outcome = RefusalFleet(hotOrganisation(true), seed).run();
        const auto beside = inTimeInPeak(outcome, "/long/other");
        std::printf("hot organisation, seed %u: others in time %.3f, %.3f beside it; the hot one %.3f; refused by "
                    "engines %zu of %zu\n",
            seed, alone, beside, inTimeInPeak(outcome, "/long/hot"), outcome.engineRefusals, outcome.requests);
        cr_expect(beside >= 0.9 * alone);
    }
}

// Rejections must fall on the organisation that causes them: of its requests a smaller part may be on time than of
// the others' requests. Streams keep their objective, and rejections are immediate.
Test(LoadReplay, rejectsAHotOrganisationBeforeTheOthers)
{
    configureLog(LogLevel::Off);
    for (const unsigned seed : { 1U, 2U, 3U, 4U }) {
        const auto outcome = RefusalFleet(hotOrganisation(true), seed).run();
        cr_assert(inTimeInPeak(outcome, "/long/other") > inTimeInPeak(outcome, "/long/hot"));
        cr_assert(outcome.routes.at("/short/org").inTimeShare() > 0.95);
        cr_assert(outcome.refusedAfter.back() < 50ms);
        cr_assert(static_cast<double>(outcome.engineRefusals) < 0.01 * static_cast<double>(outcome.requests));
    }
}
