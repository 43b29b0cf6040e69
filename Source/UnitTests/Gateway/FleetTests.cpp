#include "Gateway/FleetReportCodec.h"
#include "Gateway/FleetView.h"
#include "Gateway/GatewayFixture.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

double takeAll(FleetQuota& quota, const OrganisationRule& organisation, double tokens)
{
    double taken = 0;
    while (quota.take(organisation, tokens)) {
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
        auto& quota = *fleet.emplace_back(std::make_unique<FleetQuota>(clock));
        quota.setBurstShare(FleetQuota::largeFleetBurstShare);
        cr_assert(quota.take(organisation, 1).has_value());
        for (std::size_t other = 0; other < vms; ++other) {
            quota.recordRemoteUsage(VmId(std::to_string(other)), Incarnation(1), {});
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
            taken += quota->take(organisation, tokens) ? tokens : 0;
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
                    fleet[to]->recordRemoteUsage(VmId(std::to_string(from)), Incarnation(1), reports.front()[from]);
                }
            }
            reports.pop_front();
        }
        clock.advance(tick);
    }
    return most;
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
    a.recordRemoteUsage(VmId("b"), Incarnation(1), b.ownTotals());
    b.recordRemoteUsage(VmId("a"), Incarnation(1), a.ownTotals());
    double taken = 0;
    for (int quarter = 0; quarter < 80; ++quarter) {
        taken += takeAll(a, organisation, 10) + takeAll(b, organisation, 10);
        clock.advance(250ms);
        a.recordRemoteUsage(VmId("b"), Incarnation(1), b.ownTotals());
        b.recordRemoteUsage(VmId("a"), Incarnation(1), a.ownTotals());
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
    cr_assert(quota.take(organisation, 1).has_value());
    clock.advance(2s);
    cr_assert(quota.take(organisation, 1).has_value());
    const auto hash = quota.ownTotals().begin()->first;
    quota.recordRemoteUsage(VmId("b"), Incarnation(1), { { hash, 5000 } });
    cr_assert(quota.take(organisation, 900).has_value(), "the totals of the first report are no recent use");
    clock.advance(2s);
    quota.recordRemoteUsage(VmId("b"), Incarnation(2), { { hash, 2000 } });
    cr_assert(!quota.take(organisation, 10), "a restarted VM's totals count from zero");
}

// While reports take a second to reach all VMs of a large fleet, an organisation must stay within the allowed use. With
// full bursts, one that requested 4.2 times its rate (7.5 times its usual use) took 3.13 million instead of 2.98
// million tokens in 8 s.
Test(FleetQuota, boundsTheUseOfALargeFleetWithLateReports)
{
    constexpr double rate = 290'000;
    constexpr double allowed = (8 * rate + rate) * 1.1 + 110'000;
    for (const double demand : { 2.0, 3.0, 4.2 }) {
        const double most = maxTakenIn8Seconds(rate, demand);
        cr_assert(most <= allowed, "%.0f of %.0f at %.1f times the rate", most, allowed, demand);
    }
}

// A refusal must contain the time after which the request is admitted.
Test(FleetQuota, returnsATimeAfterWhichARetrySucceeds)
{
    ManualClock clock;
    FleetQuota quota(clock);
    const auto organisation = makeOrganisation("org", 1000);
    takeAll(quota, organisation, 10);
    const auto refused = quota.take(organisation, 500);
    cr_assert(!refused && refused.error().code == ErrorCode::RateExceeded);
    clock.advance(*refused.error().retryAfter + 1ms);
    cr_assert(quota.take(organisation, 500).has_value());
}

// Encoding and decoding must keep every field. Truncated or invalid bytes must not crash the decoder.
Test(FleetReportCodec, keepsEveryField)
{
    FleetReport report;
    report.vm = VmId("vm");
    report.incarnation = Incarnation(7);
    report.sequence = 3;
    report.usage = { { 1, 2.5 } };
    report.work = { { 4, { 5, 6 } } };
    report.loading = { 8 };
    report.cachedPrefixes = { { 9, 10 } };
    report.targetAges = { { 11, 12, 13ms } };
    report.members = 14;
    report.loaded = { { 15, 16, 17 } };
    report.failures = { { 18 }, { 19, 20 } };
    const auto bytes = FleetReportCodec::encode(report);
    const auto decoded = FleetReportCodec::decode(bytes);
    cr_assert(
        decoded && decoded->vm == report.vm && decoded->incarnation == report.incarnation && decoded->sequence == 3);
    cr_assert(decoded->usage == report.usage && decoded->work == report.work && decoded->loading == report.loading);
    cr_assert(decoded->cachedPrefixes == report.cachedPrefixes);
    cr_assert(
        decoded->targetAges.size() == 1 && decoded->targetAges[0].version == 12 && decoded->targetAges[0].age == 13ms);
    cr_assert_eq(decoded->members, 14);
    cr_assert(decoded->loaded == report.loaded && decoded->failures == report.failures);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        FleetReportCodec::decode(std::string_view(bytes).substr(0, n));
    }
    cr_assert(!FleetReportCodec::decode("no report"));
}

// A VM that is cut off, or whose records expired with the store, must still count the other VMs as parts of the fleet.
// Otherwise it would use more than its share of the rates.
Test(FleetView, countsCutOffVmsAsPartsOfTheFleet)
{
    ManualClock clock;
    Timeline timeline(clock, "test");
    FleetView fleet(clock, timeline, VmId("own"), ZoneId("z"));
    cr_assert_float_eq(fleet.reachableShare(), 1, 1e-6);
    for (const auto* vm : { "own", "a", "b", "c" }) {
        fleet.updateRecord(VmId(vm), FleetView::encodeRecord({ "127.0.0.1", 7600 }, ZoneId("z")));
    }
    cr_assert_float_eq(fleet.reachableShare(), 0.25, 1e-6);
    cr_assert(fleet.recordReport(VmId("a"), Incarnation(1), 1));
    cr_assert(!fleet.recordReport(VmId("a"), Incarnation(1), 1), "a repeated report is ignored");
    cr_assert_float_eq(fleet.reachableShare(), 0.5, 1e-6);
    fleet.markOtherRecordsEnded({});
    cr_assert_float_eq(fleet.reachableShare(), 0.5, 1e-6);
    clock.advance(2s);
    cr_assert(fleet.takeSilent() == std::vector<VmId> { VmId("a") });
    cr_assert_float_eq(fleet.reachableShare(), 0.25, 1e-6);
    clock.advance(15s);
    cr_assert_float_eq(fleet.reachableShare(), 1, 1e-6);
}

// A damaged record of another VM must be ignored.
Test(FleetView, ignoresUnreadableRecords)
{
    ManualClock clock;
    Timeline timeline(clock, "test");
    FleetView fleet(clock, timeline, VmId("own"), ZoneId("z"));
    for (const auto* text : { "", "{", "[]", "{\"reports\":5}", "{\"reports\":\"x\"}" }) {
        fleet.updateRecord(VmId("a"), text);
    }
    cr_assert(fleet.others().empty());
}

// A relay sends sums over its zone. They must count the use since the first report of each VM only and continue over a
// restart, otherwise the other zones would count tokens twice or not at all.
Test(FleetQuota, sumsTheUseOfAZoneSinceTheFirstReportOfEachVm)
{
    ManualClock clock;
    FleetQuota relay(clock);
    const VmId own("own");
    const VmId other("other");
    relay.recordRemoteUsage(other, Incarnation(1), { { 7, 5000 } });
    cr_assert(relay.usageOf({ own, other }, own)[7] < 1e-6);
    relay.recordRemoteUsage(other, Incarnation(1), { { 7, 5100 } });
    relay.recordRemoteUsage(other, Incarnation(2), { { 7, 50 } });
    cr_assert_float_eq((relay.usageOf({ own, other }, own)[7]), 150, 1e-6);
    cr_assert(relay.usageOf({ own }, own)[7] < 1e-6);
}

// A zone must have exactly one relay, and the reachable share must include the VMs that a relay represents.
Test(FleetView, choosesOneRelayAndCountsTheVmsItRepresents)
{
    ManualClock clock;
    Timeline timeline(clock, "test");
    FleetView fleet(clock, timeline, VmId("b"), ZoneId("z"));
    for (const auto* vm : { "a", "b", "c" }) {
        fleet.updateRecord(VmId(vm), FleetView::encodeRecord({ "127.0.0.1", 7600 }, ZoneId("z")));
    }
    for (const auto* vm : { "d", "e", "f" }) {
        fleet.updateRecord(VmId(vm), FleetView::encodeRecord({ "127.0.0.1", 7600 }, ZoneId("y")));
    }
    cr_assert(fleet.isRelay(), "a has not reported yet");
    cr_assert(fleet.recordReport(VmId("a"), Incarnation(1), 1));
    cr_assert(!fleet.isRelay());
    cr_assert_eq(fleet.othersOfOwnZone().size(), 2);
    cr_assert_eq(fleet.othersOfOtherZones().size(), 3);
    cr_assert(fleet.recordReport(VmId("zone/y/d"), Incarnation(1), 1, 3));
    cr_assert_eq(fleet.size(), 6);
    cr_assert_float_eq(fleet.reachableShare(), 5.0 / 6, 1e-6);
}
