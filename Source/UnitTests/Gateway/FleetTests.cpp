#include "Gateway/FleetReportCodec.h"
#include "Gateway/FleetView.h"
#include "Gateway/GatewayFixture.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

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
    report.failures = { { 18 }, { 19, 20 }, { { 24, 25ms } } };
    report.lowLevels = { { 21, -22.5 } };
    report.isForZone = true;
    report.uptime = 23ms;
    report.term = 26;
    report.paces = { { 27, 28.5, 29 } };
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
    cr_assert(decoded->lowLevels == report.lowLevels && decoded->isForZone && decoded->uptime == 23ms);
    cr_assert_eq(decoded->term, 26U);
    cr_assert(decoded->paces == report.paces);
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

// The reachable share must include the VMs that a relay represents.
Test(FleetView, countsTheVmsThatARelayRepresents)
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
    cr_assert(fleet.recordReport(VmId("a"), Incarnation(1), 1));
    cr_assert_eq(fleet.othersOfOwnZone().size(), 2);
    cr_assert_eq(fleet.entryPointsOfOtherZones(0).size(), 1, "no relay of y is known");
    cr_assert(fleet.recordReport(VmId("zone/y/d"), Incarnation(1), 1, 3));
    cr_assert_eq(fleet.size(), 6);
    cr_assert_float_eq(fleet.reachableShare(), 5.0 / 6, 1e-6);
}

// Reports between zones go to a bounded number of VMs whatever the size of the fleet: sent to every VM, they were half
// of 0.66 GB between zones on a day of 295 VMs. A relay that has stopped must not be the only way into its zone.
Test(FleetView, sendsReportsForAnotherZoneToItsRelayAndOneMoreVm)
{
    ManualClock clock;
    Timeline timeline(clock, "test");
    FleetView fleet(clock, timeline, VmId("a1"), ZoneId("a"));
    for (int n = 1; n <= 60; ++n) {
        for (const auto* zone : { "a", "b", "c" }) {
            const Endpoint reports { "127.0.0.1", static_cast<std::uint16_t>(7600 + n) };
            fleet.updateRecord(VmId(zone + std::to_string(n)), FleetView::encodeRecord(reports, ZoneId(zone)));
        }
    }
    cr_assert(fleet.recordReport(FleetView::relayId(ZoneId("b"), VmId("b7")), Incarnation(1), 1, 60));
    std::set<std::uint16_t> ports;
    for (std::uint64_t round = 0; round < 120; ++round) {
        const auto endpoints = fleet.entryPointsOfOtherZones(round);
        cr_assert_eq(endpoints.size(), 3, "the relay of b and one more VM, and one VM of c");
        cr_assert_eq(endpoints.front().port, 7607);
        ports.insert(endpoints[1].port);
    }
    cr_assert_eq(ports.size(), 59, "all other VMs of b have their turn");
}
