#include "Gateway/GatewayFixture.h"
#include "Gateway/QuotaFleet.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

constexpr QuotaTolerance siteTolerance { .window = 8000ms, .overage = 0.1, .slack = 110'000 };

// The organisations of a large deployment: a small, a medium and the largest one. Their rates are 1.8 times their usual
// use, their bursts a second of the rate.
constexpr std::array<double, 3> siteRates { 68'000, 290'000, 888'000 };
constexpr double usualShare = 1 / 1.8;

double takeAll(FleetQuota& quota, const OrganisationRule& organisation, double tokens)
{
    double taken = 0;
    while (quota.take(organisation, { tokens })) {
        taken += tokens;
    }
    return taken;
}

/// Simulates a large fleet in which reports take one second: a report within the zone, the relay's report and a busy
/// VM.
/// @param demand Requested tokens per second, in multiples of the rate.
/// @return Largest number of tokens that an organisation takes from all VMs within any 8 s.
double maxTakenIn8Seconds(double rate, double demand)
{
    constexpr std::size_t vms = 24;
    constexpr auto tick = 50ms;
    constexpr std::size_t lagTicks = 20;
    constexpr std::size_t windowTicks = 160;
    ManualClock clock;
    const auto organisation = makeOrganisation("org", rate);
    std::vector<std::unique_ptr<FleetQuota>> fleet;
    for (std::size_t n = 0; n < vms; ++n) {
        auto& quota = *fleet.emplace_back(std::make_unique<FleetQuota>(clock, siteTolerance));
        quota.setLargeFleet(true);
        cr_assert(quota.take(organisation, { 1 }).has_value());
        for (std::size_t other = 0; other < vms; ++other) {
            quota.recordRemoteUsage(VmId(std::to_string(other)), Incarnation(1), {}, false, 0s);
        }
    }
    clock.advance(5s);
    std::deque<std::vector<UsageTotals>> reports;
    std::deque<double> window;
    double sum = 0;
    double most = 0;
    for (int n = 0; n < 400; ++n) {
        const double tokens = demand * rate * 0.05 / vms;
        double taken = 0;
        auto& totals = reports.emplace_back();
        for (auto& quota : fleet) {
            taken += quota->take(organisation, { tokens }) ? tokens : 0;
            totals.push_back(quota->ownTotals());
        }
        sum += window.emplace_back(taken);
        most = std::max(most, sum);
        if (window.size() == windowTicks) {
            sum -= window.front();
            window.pop_front();
        }
        if (reports.size() > lagTicks) {
            for (std::size_t pair = 0; pair < vms * vms; ++pair) {
                const auto from = pair / vms;
                const auto to = pair % vms;
                if (from != to) {
                    fleet[to]->recordRemoteUsage(
                        VmId(std::to_string(from)), Incarnation(1), reports.front()[from], false, 0s);
                }
            }
            reports.pop_front();
        }
        clock.advance(tick);
    }
    return most;
}

QuotaLoad loadOf(double rate, double shareOfRate)
{
    return { .rate = rate, .burst = rate, .demand = rate * shareOfRate };
}

} // namespace

// An organisation never takes more than rate x time + burst from one VM.
Test(FleetQuota, keepsToRateAndBurst)
{
    ManualClock clock;
    FleetQuota quota(clock);
    const auto organisation = makeOrganisation("org", 1000);
    double taken = 0;
    for (int tenth = 0; tenth < 80; ++tenth) {
        taken += takeAll(quota, organisation, 10);
        clock.advance(100ms);
    }
    cr_assert(taken <= 8 * 1000 + 1000, "%f", taken);
    cr_assert(taken >= 8 * 1000 * 0.9, "%f", taken);
}

// Two VMs together must stay within the rate, so each must count the tokens that the other reports. Without contact
// each must stay within its share.
Test(FleetQuota, countsTheTokensOfOtherVms)
{
    ManualClock clock;
    FleetQuota a(clock);
    FleetQuota b(clock);
    const auto organisation = makeOrganisation("org", 1000);
    a.recordRemoteUsage(VmId("b"), Incarnation(1), b.ownTotals(), true, 0s);
    b.recordRemoteUsage(VmId("a"), Incarnation(1), a.ownTotals(), true, 0s);
    double taken = 0;
    for (int quarter = 0; quarter < 80; ++quarter) {
        taken += takeAll(a, organisation, 10) + takeAll(b, organisation, 10);
        clock.advance(250ms);
        a.recordRemoteUsage(VmId("b"), Incarnation(1), b.ownTotals(), true, 0s);
        b.recordRemoteUsage(VmId("a"), Incarnation(1), a.ownTotals(), true, 0s);
    }
    cr_assert(taken <= 20 * 1000 * 1.1 + 1000, "%f", taken);
    a.setReachableShare(0.5);
    b.setReachableShare(0.5);
    taken = 0;
    for (int quarter = 0; quarter < 80; ++quarter) {
        taken += takeAll(a, organisation, 10) + takeAll(b, organisation, 10);
        clock.advance(250ms);
    }
    cr_assert(taken <= 20 * 1000 + 1000, "%f", taken);
}

// The totals of a restarted VM start at zero again. They must not be ignored because they are lower than before, and
// the totals of the first report must not count as recent use.
Test(FleetQuota, countsARestartedVmFromZero)
{
    ManualClock clock;
    FleetQuota quota(clock);
    const auto organisation = makeOrganisation("org", 1000);
    clock.advance(1s);
    cr_assert(quota.take(organisation, { 1 }).has_value());
    clock.advance(2s);
    cr_assert(quota.take(organisation, { 1 }).has_value());
    const auto hash = quota.ownTotals().begin()->first;
    quota.recordRemoteUsage(VmId("b"), Incarnation(1), { { hash, 5000 } }, true, 0s);
    cr_assert(quota.take(organisation, { 900 }).has_value(), "the totals of the first report are no recent use");
    clock.advance(2s);
    quota.recordRemoteUsage(VmId("b"), Incarnation(2), { { hash, 2000 } }, true, 0s);
    cr_assert(!quota.take(organisation, { 10 }), "a restarted VM's totals count from zero");
}

// While reports take a second to reach all VMs of a large fleet, an organisation must stay within the allowed use. With
// full bursts, one that requested 4.2 times its rate (7.5 times its usual use) took 3.13 million instead of 2.98
// million tokens in 8 s.
Test(FleetQuota, boundsTheUseOfALargeFleetWithLateReports)
{
    for (const double rate : siteRates) {
        const double allowed = (8 * rate + rate) * 1.1 + 110'000;
        for (const double demand : { 2.0, 3.0, 4.2 }) {
            const double most = maxTakenIn8Seconds(rate, demand);
            cr_assert(most <= allowed, "%.0f of %.0f at %.1f times the rate of %.0f", most, allowed, demand, rate);
        }
    }
}

// A refusal must contain the time after which the request is admitted.
Test(FleetQuota, returnsATimeAfterWhichARetrySucceeds)
{
    ManualClock clock;
    FleetQuota quota(clock);
    const auto organisation = makeOrganisation("org", 1000);
    takeAll(quota, organisation, 10);
    const auto refused = quota.take(organisation, { 500 });
    cr_assert(!refused && refused.error().code == ErrorCode::RateExceeded);
    clock.advance(*refused.error().retryAfter + 1ms);
    cr_assert(quota.take(organisation, { 500 }).has_value());
}

// A VM must not hold an organisation's first request for an empty bucket. Buckets that were created with the first
// request at each of 295 VMs, with a quarter of a reduced burst, refused 8.8% of a calm day's requests.
Test(FleetQuota, admitsUsualUseOfALargeFleet)
{
    for (const double rate : siteRates) {
        QuotaFleet fleet(5, 59, siteTolerance, loadOf(rate, usualShare), 1);
        fleet.idle(2s);
        fleet.run(10s);
        const auto outcome = fleet.outcome();
        cr_assert(outcome.requests > 20);
        cr_assert(outcome.wronglyRefused * 1000 <= outcome.requests, "rate %.0f: %zu of %zu wrongly refused", rate,
            outcome.wronglyRefused, outcome.requests);
    }
}

// An organisation that suddenly requests 7.5 times its usual use at all VMs must stay within the tolerated use although
// the VMs learn of each other's requests only through reports.
Test(FleetQuota, boundsASurgeOfOneOrganisation)
{
    for (const double rate : siteRates) {
        for (const double demand : { 2.0, 3.0, 4.2 }) {
            QuotaFleet fleet(5, 20, siteTolerance, loadOf(rate, usualShare), 2);
            fleet.idle(2s);
            fleet.run(2s);
            fleet.setDemand(rate * demand);
            fleet.run(12s);
            cr_assert(fleet.outcome().mostInWindow <= fleet.allowedInWindow(), "rate %.0f, demand x%.1f: %.0f of %.0f",
                rate, demand, fleet.outcome().mostInWindow, fleet.allowedInWindow());
        }
    }
}

// VMs that are replaced one after the other must not hide what the others take: a relay's sums over the VMs in contact
// fell with each VM that left, and the other zones ignored the use until the sums had grown past the old value.
Test(FleetQuota, boundsASurgeDuringARollingRestart)
{
    for (const double rate : siteRates) {
        QuotaFleet fleet(5, 20, siteTolerance, loadOf(rate, usualShare), 3);
        fleet.idle(2s);
        fleet.setDemand(rate * 3);
        fleet.setRollingRestart(true);
        fleet.run(12s);
        cr_assert(fleet.outcome().mostInWindow <= fleet.allowedInWindow(), "rate %.0f: %.0f of %.0f", rate,
            fleet.outcome().mostInWindow, fleet.allowedInWindow());
    }
}

// After a restart of all VMs no process knows what was taken before, and callers whose requests were cut off come back
// at once: an organisation at 2.7 times its rate took 6.2 of 5.5 million allowed tokens in 8 s on a day of 295 VMs.
Test(FleetQuota, boundsASurgeAfterARestartOfAllVms)
{
    for (const double rate : { 68'000.0, 290'000.0, 545'000.0, 888'000.0 }) {
        for (const unsigned seed : { 1U, 2U, 3U }) {
            QuotaFleet fleet(5, 59, siteTolerance, loadOf(rate, 2.67), seed);
            fleet.idle(2s);
            fleet.run(7s);
            fleet.idle(550ms);
            fleet.restartAll();
            fleet.setDemand(rate * 5.1);
            fleet.run(1s);
            fleet.setDemand(rate * 2.67);
            fleet.run(8s);
            cr_assert(fleet.outcome().mostInWindow <= fleet.allowedInWindow(), "rate %.0f, seed %u: %.0f of %.0f", rate,
                seed, fleet.outcome().mostInWindow, fleet.allowedInWindow());
        }
    }
}

// After a zone was cut off, the use of its own share of the rate must not become a debt: all requests of an
// organisation within its rate were refused for about a second after a cut of 6 s.
Test(FleetQuota, admitsUsualUseAfterAZoneWasCutOff)
{
    QuotaFleet fleet(5, 20, siteTolerance, loadOf(290'000, usualShare), 4);
    fleet.idle(2s);
    fleet.run(2s);
    fleet.setCut(true);
    fleet.run(6s);
    const auto before = fleet.outcome();
    fleet.setCut(false);
    fleet.run(3s);
    const auto after = fleet.outcome();
    cr_assert(after.requests - before.requests > 20);
    cr_assert_eq(after.wronglyRefused, before.wronglyRefused, "%zu requests were wrongly refused after the cut",
        after.wronglyRefused - before.wronglyRefused);
}

// A request that lacks a few tokens waits for them in its order instead of being refused, and the wait is known when it
// is admitted.
Test(FleetQuota, letsRequestsWaitInOrder)
{
    ManualClock clock;
    FleetQuota quota(clock);
    const auto organisation = makeOrganisation("org", 1000);
    takeAll(quota, organisation, 10);
    const auto first = quota.take(organisation, { 100, 300ms });
    const auto second = quota.take(organisation, { 100, 300ms });
    cr_assert(first && second);
    cr_assert(*first > clock.now() && *second > *first);
    cr_assert(*second <= clock.now() + 200ms);
    cr_assert(!quota.take(organisation, { 200, 300ms }), "its tokens come too late");
}

// An organisation over its rate must not keep its small and urgent requests waiting behind large ones that may wait
// longer: drafts that may wait 350 ms were refused 3.6 times as often as lookups.
Test(FleetQuota, admitsRequestsOfAllSizesAlikeInAnOverload)
{
    ManualClock clock;
    FleetQuota quota(clock);
    const auto organisation = makeOrganisation("org", 100'000);
    std::array<unsigned, 3> admitted {};
    const std::array<QuotaDemand, 3> demands { { { 9200, 560ms }, { 860, 350ms }, { 200, 105ms } } };
    std::mt19937 random(5);
    for (int n = 0; n < 9000; ++n) {
        const auto kind = random() % demands.size();
        admitted.at(kind) += quota.take(organisation, demands.at(kind)) ? 1 : 0;
        clock.advance(10ms);
    }
    for (const auto count : admitted) {
        cr_assert(count * 4 >= admitted[0] * 3, "%u, %u, %u", admitted[0], admitted[1], admitted[2]);
    }
}

// Requests that are refused at the same time must not come back at the same time.
Test(FleetQuota, spreadsTheReturnOfRefusedRequests)
{
    ManualClock clock;
    FleetQuota quota(clock);
    const auto organisation = makeOrganisation("org", 1000);
    takeAll(quota, organisation, 10);
    const auto soon = quota.take(organisation, { 800, 0ms, 0 });
    const auto late = quota.take(organisation, { 800, 0ms, 1 });
    cr_assert(!soon && !late);
    cr_assert(*late.error().retryAfter >= *soon.error().retryAfter * 3 / 2);
}

// A relay sends sums over its zone. They must count the use since the first report of each VM only, continue over a
// restart and never decrease, otherwise the other zones would count tokens twice or not at all.
Test(FleetQuota, sumsTheUseOfAZoneSinceTheFirstReportOfEachVm)
{
    ManualClock clock;
    FleetQuota relay(clock);
    const VmId other("other");
    relay.recordRemoteUsage(other, Incarnation(1), { { 7, 5000 } }, true, 0s);
    cr_assert(!relay.zoneTotals().contains(7));
    relay.recordRemoteUsage(other, Incarnation(1), { { 7, 5100 } }, true, 0s);
    relay.recordRemoteUsage(other, Incarnation(2), { { 7, 50 } }, true, 0s);
    cr_assert_float_eq(relay.zoneTotals().at(7), 150, 1e-6);
    relay.recordRemoteUsage(VmId("elsewhere"), Incarnation(1), {}, false, 0s);
    relay.recordRemoteUsage(VmId("elsewhere"), Incarnation(1), { { 7, 500 } }, false, 0s);
    relay.markSilent(other, 0.5);
    cr_assert_float_eq(relay.zoneTotals().at(7), 150, 1e-6);
}

// Guards against tokens that are not counted: the share of a VM that was silent must be taken from what it used in its
// silence, not from the first totals of a process or a relay's term that began much later.
Test(FleetQuota, countsTheFirstTotalsOfATermAfterALongSilence)
{
    ManualClock clock;
    FleetQuota quota(clock);
    cr_assert(quota.take(makeOrganisation("org", 1000), { 1 }).has_value());
    const auto hash = quota.ownTotals().begin()->first;
    const VmId relay("zone/b/1");
    quota.recordRemoteUsage(relay, Incarnation(1), { { hash, 100 } }, true, 1s);
    quota.markSilent(relay, 0.5);
    clock.advance(60s);
    const auto before = quota.zoneTotals().at(hash);
    quota.recordRemoteUsage(relay, Incarnation(2), { { hash, 3000 } }, true, 1s);
    cr_assert_float_eq(quota.zoneTotals().at(hash) - before, 2500, 1e-6);
}
