#include "Gateway/GatewayFixture.h"
#include "Gateway/QuotaFleet.h"
#include "Gateway/QuotaReserve.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

constexpr QuotaTolerance siteTolerance { .window = 8000ms, .overage = 0.1, .slack = 110'000 };

// A small, a medium and a large organisation; the rate is 1.8 times the usual use.
constexpr std::array<double, 3> siteRates { 68'000, 290'000, 888'000 };

} // namespace

// An organisation at several times its rate had its urgent requests, which need an eighth of its tokens, refused as
// often as its long prompts. The usual share in time of callers within their rate is 0.9.
Test(QuotaReserve, admitsUrgentRequestsOfAnOrganisationOverItsRate)
{
    for (const double rate : siteRates) {
        for (const std::size_t callerVms : { 0UL, 18UL }) {
            QuotaFleet fleet(3, 24, siteTolerance,
                { .rate = rate,
                    .burst = rate,
                    .demand = rate * 0.49,
                    .reserveDemand = rate * 0.07,
                    .callerVms = callerVms },
                1);
            fleet.idle(2s);
            fleet.run(4s);
            fleet.setDemand(rate * 2.2, rate * 0.3);
            const auto before = fleet.outcome();
            fleet.run(8s);
            const auto after = fleet.outcome();
            const auto requests = static_cast<double>(after.reserveRequests - before.reserveRequests);
            const auto refused = static_cast<double>(after.reserveRefused - before.reserveRefused);
            cr_expect(refused <= 0.1 * requests, "rate %.0f, callers at %zu VMs: %.0f of %.0f refused", rate, callerVms,
                refused, requests);
            cr_expect(after.mostInWindow <= fleet.allowedInWindow(), "rate %.0f, callers at %zu VMs: %.0f of %.0f",
                rate, callerVms, after.mostInWindow, fleet.allowedInWindow());
        }
    }
}

// The reserve must not let an organisation exceed the tolerated use, whatever part of its requests is urgent and
// whenever they begin, also after a restart of all VMs.
Test(QuotaReserve, keepsTheBoundOfTheRate)
{
    for (const double rate : siteRates) {
        for (const double urgent : { 0.25, 0.5, 1.0 }) {
            for (const bool isRestarted : { false, true }) {
                QuotaFleet fleet(3, 24, siteTolerance,
                    { .rate = rate, .burst = rate, .demand = rate * 4.2, .callerVms = isRestarted ? 0UL : 18UL }, 2);
                fleet.idle(2s);
                fleet.run(3s);
                // The long prompts have put the bucket into debt.
                fleet.setDemand(rate * 4.2 * (1 - urgent), rate * 4.2 * urgent);
                fleet.run(3s);
                if (isRestarted) {
                    fleet.restartAll();
                }
                fleet.run(8s);
                const auto outcome = fleet.outcome();
                cr_expect(outcome.mostInWindow <= fleet.allowedInWindow(),
                    "rate %.0f, urgent share %.2f, restarted %d: %.0f of %.0f", rate, urgent, isRestarted,
                    outcome.mostInWindow, fleet.allowedInWindow());
            }
        }
    }
}

// Each VM admits a request that is larger than its part of the reserve. At a low rate, large requests at all VMs must
// not add up to more than the tolerated use.
Test(QuotaReserve, keepsTheBoundOfALowRateWithLargeRequests)
{
    for (const double rate : { 2000.0, 5000.0, 20'000.0 }) {
        QuotaFleet fleet(
            3, 24, siteTolerance, { .rate = rate, .burst = rate, .demand = rate * 2, .reserveTokens = 4000 }, 4);
        fleet.idle(2s);
        fleet.run(3s);
        fleet.setDemand(rate * 2, rate * 8);
        fleet.run(10s);
        cr_expect(fleet.outcome().mostInWindow <= fleet.allowedInWindow(), "rate %.0f: %.0f of %.0f", rate,
            fleet.outcome().mostInWindow, fleet.allowedInWindow());
    }
}

// VMs that are cut off from each other must not add up their reserves to more than the tolerated use.
Test(QuotaReserve, keepsTheBoundWhileAZoneIsCutOff)
{
    for (const double rate : siteRates) {
        QuotaFleet fleet(3, 24, siteTolerance, { .rate = rate, .burst = rate, .demand = rate * 2 }, 3);
        fleet.idle(2s);
        fleet.run(2s);
        fleet.setDemand(rate * 2, rate * 2);
        fleet.setCut(true);
        fleet.run(5s);
        fleet.setCut(false);
        fleet.run(5s);
        cr_expect(fleet.outcome().mostInWindow <= fleet.allowedInWindow(), "rate %.0f: %.0f of %.0f", rate,
            fleet.outcome().mostInWindow, fleet.allowedInWindow());
    }
}

// The reserve is for requests that do not yield, in fleets that know their size: nothing may change for the others.
Test(QuotaReserve, changesNothingForOtherRequestsAndFleets)
{
    ManualClock clock;
    const auto organisation = makeOrganisation("org", 1000);
    for (const bool isLarge : { false, true }) {
        FleetQuota quota(clock, siteTolerance);
        quota.setOrganisations({ &organisation, 1 });
        quota.setLargeFleet(isLarge);
        clock.advance(5s);
        while (quota.take(organisation, { 100 })) { }
        cr_assert(!quota.take(organisation, { .tokens = 1, .mayUseReserve = true }), "the size is not known");
        quota.setFleetSize(20);
        cr_assert(!quota.take(organisation, { .tokens = 1 }), "it has no reserve");
        cr_assert_eq(quota.take(organisation, { .tokens = 1, .mayUseReserve = true }).has_value(), isLarge);
    }
}

// A request with an absurd number of tokens must not empty the reserve for longer than its own tokens take.
Test(QuotaReserve, delaysLaterRequestsByTheTokensTaken)
{
    QuotaReserve reserve;
    MonotonicTime now { 10s };
    const auto take = [&](double tokens) { return reserve.take(now, 1, 10'000, {}, 10, tokens); };
    cr_assert(take(1000));
    cr_assert(!take(1));
    // 500 tokens a second, and 400 were there.
    now += 1100ms;
    cr_assert(!take(1));
    now += 200ms;
    cr_assert(take(1));
    cr_assert_eq(reserve.admissions(), 2);
}
