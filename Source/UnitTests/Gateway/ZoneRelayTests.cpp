#include "Gateway/GatewayFixture.h"
#include "Gateway/RelayFleet.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

// A fleet with relays, and the rates of the grown site. Organisations use 1 / 1.8 of them.
constexpr std::size_t zones = 3;
constexpr std::size_t vmsPerZone = 9;
constexpr QuotaTolerance siteTolerance { .window = 8000ms, .overage = 0.1, .slack = 110'000 };
constexpr double usualShare = 1 / 1.8;
constexpr std::array<double, 3> siteRates { 68'000, 290'000, 888'000 };

QuotaLoad loadOf(double rate, double shareOfRate)
{
    return { .rate = rate, .burst = rate, .demand = rate * shareOfRate };
}

// A fault is over once the VMs are in contact (1.4 s) and reports between zones have arrived (up to 1 s).
constexpr auto settledAfter = 2500ms;

/// Runs the usual load and expects that every request which one bucket for the whole fleet admits is admitted.
void expectNoWrongRefusals(RelayFleet& fleet, std::chrono::milliseconds duration, double rate)
{
    const auto before = fleet.outcome();
    fleet.run(duration);
    const auto after = fleet.outcome();
    cr_expect_eq(after.wronglyRefused, before.wronglyRefused, "rate %.0f: %zu of %zu requests wrongly refused", rate,
        after.wronglyRefused - before.wronglyRefused, after.requests - before.requests);
}

const VmId idA { "a" };
const VmId idB { "b" };

} // namespace

// A relay whose reports pause for longer than 1 s is followed by another VM. The sums of its successor must not count
// again what the zone took since the start: all organisations within their rates were refused for about 10 s.
Test(ZoneRelayFleet, leavesNoDebtAfterRelaysWereSuspended)
{
    for (const double rate : siteRates) {
        RelayFleet fleet(zones, vmsPerZone, siteTolerance, loadOf(rate, usualShare), 1);
        fleet.run(20s);
        for (std::size_t zone = 0; zone < zones; ++zone) {
            fleet.suspend(fleet.vmAt(zone, 0), 1600ms);
        }
        fleet.run(1600ms + settledAfter);
        expectNoWrongRefusals(fleet, 8s, rate);
    }
}

// A VM that becomes the relay again must not count what its successor had reported in between.
Test(ZoneRelayFleet, leavesNoDebtWhenARelayReturnsAgainAndAgain)
{
    for (const double rate : siteRates) {
        RelayFleet fleet(zones, vmsPerZone, siteTolerance, loadOf(rate, usualShare), 2);
        fleet.run(10s);
        for (int n = 0; n < 3; ++n) {
            for (const std::size_t place : { 0, 1 }) {
                fleet.suspend(fleet.vmAt(0, place), 1800ms);
                fleet.run(1800ms + settledAfter);
                expectNoWrongRefusals(fleet, 4s, rate);
            }
        }
    }
}

// VMs that handle reports late must not make their zone change its relay without end.
Test(ZoneRelayFleet, leavesNoDebtAfterVmsWereSlow)
{
    for (const double rate : siteRates) {
        RelayFleet fleet(zones, vmsPerZone, siteTolerance, loadOf(rate, usualShare), 3);
        fleet.run(3s);
        for (std::size_t vm = 0; vm < fleet.size(); vm += 3) {
            fleet.slowDown(vm, 1550ms);
        }
        fleet.run(12s);
        for (std::size_t vm = 0; vm < fleet.size(); vm += 3) {
            fleet.slowDown(vm, 250ms);
        }
        fleet.run(1550ms + settledAfter);
        expectNoWrongRefusals(fleet, 6s, rate);
    }
}

// A VM that was suspended or is slow must not take the others for silent while their reports wait in its socket: it
// used only its own share of the rates, 1 / 82 on the grown site, and refused nearly all requests.
Test(ZoneRelayFleet, usesTheRatesAfterAPauseOfItsOwn)
{
    RelayFleet fleet(zones, vmsPerZone, siteTolerance, loadOf(290'000, usualShare), 5);
    fleet.run(4s);
    const auto suspended = fleet.vmAt(0, 5);
    const auto slow = fleet.vmAt(1, 5);
    fleet.slowDown(slow, 1550ms);
    for (int n = 0; n < 3; ++n) {
        fleet.suspend(suspended, 2500ms);
        fleet.run(2600ms);
        cr_expect_gt(fleet.shareUsedBy(suspended), 0.9, "suspended: %f", fleet.shareUsedBy(suspended));
        cr_expect_gt(fleet.shareUsedBy(slow), 0.9, "slow: %f", fleet.shareUsedBy(slow));
        fleet.run(1500ms);
    }
}

// Whatever happens to relays, an organisation over its rate must not take more than rate x window + burst and the
// tolerance: no change of relays may lose what a zone took.
Test(ZoneRelayFleet, boundsAnOrganisationOverItsRateWhileRelaysChange)
{
    for (const double rate : siteRates) {
        for (unsigned seed = 1; seed <= 4; ++seed) {
            RelayFleet fleet(zones, vmsPerZone, siteTolerance, loadOf(rate, usualShare), seed);
            std::mt19937 random(seed);
            fleet.run(3s);
            fleet.setDemand(rate * 3);
            for (int n = 0; n < 24; ++n) {
                const auto vm
                    = random() % 3 == 0 ? random() % fleet.size() : fleet.vmAt(random() % zones, random() % 3);
                switch (random() % 3) {
                case 0:
                    fleet.suspend(vm, std::chrono::milliseconds(500 + random() % 3500));
                    break;
                case 1:
                    fleet.restart(vm, std::chrono::milliseconds(300 + random() % 2000));
                    break;
                default:
                    fleet.slowDown(vm, random() % 2 == 0 ? 250ms : 1550ms);
                }
                fleet.run(600ms);
            }
            const auto outcome = fleet.outcome();
            cr_expect(outcome.mostInWindow <= fleet.allowedInWindow(), "rate %.0f, seed %u: %.0f of %.0f", rate, seed,
                outcome.mostInWindow, fleet.allowedInWindow());
        }
    }
}

// Suspended and restarted VMs must leave no debt behind.
Test(ZoneRelayFleet, leavesNoDebtAfterFaultsOfRelays)
{
    for (const double rate : siteRates) {
        for (unsigned seed = 1; seed <= 3; ++seed) {
            RelayFleet fleet(zones, vmsPerZone, siteTolerance, loadOf(rate, usualShare), seed);
            std::mt19937 random(seed);
            fleet.run(3s);
            for (int n = 0; n < 10; ++n) {
                const auto vm
                    = random() % 3 == 0 ? random() % fleet.size() : fleet.vmAt(random() % zones, random() % 3);
                if (random() % 2 == 0) {
                    fleet.suspend(vm, std::chrono::milliseconds(500 + random() % 2000));
                } else {
                    fleet.restart(vm, std::chrono::milliseconds(300 + random() % 2000));
                }
                fleet.run(1000ms);
            }
            fleet.run(1500ms + settledAfter);
            expectNoWrongRefusals(fleet, 6s, rate);
        }
    }
}

// A zone must have exactly one relay some time after a common start and after each change.
Test(ZoneRelayFleet, hasOneRelayInEachZone)
{
    RelayFleet fleet(zones, vmsPerZone, siteTolerance, loadOf(290'000, usualShare), 4);
    fleet.run(1500ms);
    cr_assert_eq(fleet.relays(), zones);
    fleet.suspend(fleet.vmAt(1, 0), 3s);
    fleet.restart(fleet.vmAt(2, 0), 300ms);
    fleet.run(4s);
    cr_assert_eq(fleet.relays(), zones);
}

// A zone must have exactly one relay: the VM with the smallest id while no other is known.
Test(ZoneRelay, choosesTheSmallestId)
{
    ZoneRelay relay(idB);
    relay.update({}, 1s);
    cr_assert_eq(relay.term(), 1U, "a has not reported yet");
    ZoneRelay second(idB);
    second.recordReport(idA, 0, 1s, {}, 1s);
    second.update({}, 1s);
    cr_assert_eq(second.term(), 0U);
}

// Sums of a relay begin with what its predecessor had not sent, and those of its next term at zero again.
Test(ZoneRelay, countsEachTermFromItsPredecessor)
{
    ZoneRelay relay(idB);
    relay.recordReport(idA, 1, 600ms, { { 7, 100 } }, 700ms);
    relay.update({ { 7, 150 } }, 1000ms);
    cr_assert_eq(relay.term(), 0U, "another VM is the relay");
    relay.update({ { 7, 180 } }, 2200ms);
    cr_assert_eq(relay.term(), 2U);
    const auto sums = relay.sums({ { 7, 180 }, { 8, 5 } }, 2200ms);
    cr_assert(sums.term == 2 && sums.age == 1500ms);
    cr_assert(sums.usage == UsageTotals({ { 7, 80 }, { 8, 5 } }));
    relay.recordReport(idA, 3, 9s, { { 7, 300 } }, 3000ms);
    relay.update({ { 7, 300 } }, 3100ms);
    cr_assert_eq(relay.term(), 0U, "a later term began while this VM was suspended");
    relay.update({ { 7, 310 } }, 5000ms);
    cr_assert(relay.sums({ { 7, 310 } }, 5000ms).usage == UsageTotals({ { 7, 10 } }));
}

// The relay stays when a VM with a smaller id is back, and of two that begin at once the smaller id remains.
Test(ZoneRelay, remainsWhileItReports)
{
    ZoneRelay relay(idB);
    relay.update({}, 400ms);
    cr_assert_eq(relay.term(), 0U, "VMs that start together do not know each other yet");
    relay.update({}, 600ms);
    cr_assert_eq(relay.term(), 1U);
    relay.recordReport(idA, 0, 5s, {}, 700ms);
    relay.update({}, 800ms);
    cr_assert_eq(relay.term(), 1U);
    relay.recordReport(idA, 1, 5s, {}, 900ms);
    relay.update({}, 1000ms);
    cr_assert_eq(relay.term(), 0U);
    cr_assert(ZoneRelay::incarnationOfTerm(Incarnation(1), 1) != ZoneRelay::incarnationOfTerm(Incarnation(1), 2));
}

// A process that has just started knows little of what its zone took, so another VM follows a relay that restarts.
Test(ZoneRelay, followsARelayThatRestarts)
{
    ZoneRelay relay(idB);
    relay.recordReport(idA, 1, 9s, { { 7, 100 } }, 9s);
    relay.update({ { 7, 100 } }, 9s);
    cr_assert_eq(relay.term(), 0U);
    relay.recordReport(idA, 0, 250ms, { { 7, 130 } }, 10s);
    relay.update({ { 7, 130 } }, 10s);
    cr_assert(relay.term() == 2 && relay.sums({ { 7, 130 } }, 10s).usage == UsageTotals({ { 7, 30 } }));
}

// What the VMs of a small fleet have reported to all others must not count again when the fleet gets large.
Test(ZoneRelay, countsNothingThatTheVmsReportedThemselves)
{
    ZoneRelay relay(idA);
    relay.recordDirectReports({ { 7, 100 } }, 5s);
    relay.update({ { 7, 120 } }, 6s);
    cr_assert(relay.sums({ { 7, 120 } }, 6s).usage == UsageTotals({ { 7, 20 } }));
}
