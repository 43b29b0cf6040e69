#include "Common/Sleep.h"
#include "Gateway/EraStore.h"
#include "Gateway/FleetReportCodec.h"
#include "Gateway/GatewayFixture.h"
#include "Gateway/GatewayKeys.h"
#include "Gateway/OrderLease.h"
#include "Gateway/RolloutDriver.h"
#include "Gateway/RolloutRecords.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

const ServiceId service("app");
const VersionId oldVersion("v1");
const VersionId target("v2");
const VersionId other("v3");

std::int64_t at(std::int64_t era, std::int64_t number) { return StorePosition::encode(StoreEra(era), number).value(); }

RolloutOrder makeOrder(std::int64_t position, const VersionId& version = target)
{
    return { service, version, 15s, position };
}

RolloutRecord makeRecord(std::int64_t order, RolloutState state, const VersionId& version = target)
{
    RolloutRecord record { service, order, version, state };
    // Start of the clock.
    record.orderedAt = ManualClock().wallNow();
    record.reason = MoveReason::Failures;
    record.evidence = "seen";
    return record;
}

struct RolloutVm {
    explicit RolloutVm(ManualClock& manualClock)
        : clock(manualClock)
        , timeline(clock, "test")
        , table(clock, timeline, metrics)
    {
    }

    bool mayUse(const VersionId& version) const
    {
        return std::ranges::any_of(table.versionsFor(service, RequestId("q"), std::nullopt),
            [&version](const VersionRule& rule) { return rule.permits(version); });
    }

    void send(unsigned requests, VersionResult result)
    {
        for (unsigned n = 0; n < requests; ++n) {
            table.recordEnded(table.recordSent(service, target, "route", 1), result);
            table.recordEnded(table.recordSent(service, oldVersion, "route", 1), VersionResult::Succeeded);
        }
    }

    ManualClock& clock;
    MetricTable metrics;
    Timeline timeline;
    RolloutTable table;
};

/// VMs that are running when the store is restored, and one that starts afterwards.
struct RolloutEraFleet {
    RolloutEraFleet()
    {
        for (auto* vm : { &first, &second }) {
            vm->table.endRead(at(1, 40));
            vm->table.adoptOrder(makeOrder(at(1, 50)), clock.now() - 100ms);
            vm->table.refresh(true, 2);
        }
    }

    void adoptRecord(const RolloutRecord& record, std::int64_t position)
    {
        for (auto* vm : { &first, &second }) {
            vm->table.adoptRecord(record, position);
        }
    }

    ManualClock clock;
    RolloutVm first { clock };
    RolloutVm second { clock };
    RolloutVm started { clock };
};

} // namespace

// Guards against a rejected version that comes back into use, and gets a second verdict, because the store lost the
// verdict and has the order at another revision.
Test(RolloutTableEra, keepsTheVerdictOfAnOrderThatIsWrittenAgain)
{
    // The copy has the order, or the operator writes it again.
    for (const std::int64_t number : { 50, 45 }) {
        RolloutEraFleet fleet;
        auto& vm = fleet.first;
        fleet.adoptRecord(makeRecord(at(1, 50), RolloutState::RolledBack), at(1, 60));
        vm.table.endRead(at(2, 44));
        vm.table.adoptOrder(makeOrder(at(2, number)), fleet.clock.now());
        vm.table.refresh(true, 2);
        cr_assert(!vm.mayUse(target));
        const auto changes = vm.table.dueChanges();
        cr_assert_eq(changes.size(), 1);
        cr_assert(changes[0].record.state == RolloutState::RolledBack && changes[0].isRepeat);
        cr_assert_eq(changes[0].record.order, at(1, 50));
        cr_assert_eq(changes[0].record.evidence, "seen");
        cr_assert_eq(changes[0].expectedRevision, 0);
        vm.table.adoptRecord(changes[0].record, at(2, 46));
        cr_assert(vm.table.dueChanges().empty());
    }
}

// Guards against a good version whose completion the operator never sees, because the copy has an older state.
Test(RolloutTableEra, replacesAnOlderStateOfTheCopy)
{
    RolloutEraFleet fleet;
    auto& vm = fleet.first;
    fleet.adoptRecord(makeRecord(at(1, 50), RolloutState::Running), at(1, 51));
    fleet.adoptRecord(makeRecord(at(1, 50), RolloutState::Complete), at(1, 60));
    vm.table.adoptOrder(makeOrder(at(2, 50)), MonotonicTime(0));
    vm.table.adoptRecord(makeRecord(at(1, 50), RolloutState::Running), at(2, 51));
    vm.table.endRead(at(2, 51));
    vm.table.refresh(true, 2);
    const auto changes = vm.table.dueChanges();
    cr_assert_eq(changes.size(), 1);
    cr_assert_eq(changes[0].record.state, RolloutState::Complete);
    cr_assert_eq(changes[0].expectedRevision, at(2, 51));
}

// Guards against evidence that begins from zero, which lets a bad version have its allowance twice.
Test(RolloutTableEra, keepsTheEvidenceOfAnOrderThatIsWrittenAgain)
{
    RolloutEraFleet fleet;
    auto& vm = fleet.first;
    vm.send(5, VersionResult::Succeeded);
    vm.table.endRead(at(2, 44));
    fleet.clock.advance(3s);
    vm.table.adoptOrder(makeOrder(at(2, 45)), fleet.clock.now());
    vm.table.refresh(true, 2);
    const auto report = vm.table.reports().at(0);
    cr_assert_eq(report.order, at(1, 50));
    cr_assert_eq(report.latest, at(2, 45));
    cr_assert_eq(report.requests, 10);
    cr_assert_geq(report.age.count(), 3000);
}

// A second order of the same version is a new one: the operator may have repaired what made it fail.
Test(RolloutTableEra, startsANewRolloutOnASecondOrder)
{
    RolloutEraFleet fleet;
    auto& vm = fleet.first;
    fleet.adoptRecord(makeRecord(at(1, 50), RolloutState::RolledBack), at(1, 60));
    vm.table.adoptOrder(makeOrder(at(2, 50)), MonotonicTime(0));
    vm.table.adoptRecord(makeRecord(at(1, 50), RolloutState::RolledBack), at(2, 60));
    vm.table.endRead(at(2, 61));
    cr_assert(!vm.mayUse(target));
    fleet.clock.advance(11s);
    vm.table.adoptOrder(makeOrder(at(2, 70)), fleet.clock.now());
    vm.table.refresh(true, 2);
    cr_assert(vm.mayUse(target));
    cr_assert_eq(vm.table.dueChanges().at(0).record.order, at(2, 70));
}

// Guards against an order that the operator had replaced and that comes back with the copy.
Test(RolloutTableEra, ignoresAReplacedOrderOfTheCopy)
{
    RolloutEraFleet fleet;
    auto& vm = fleet.first;
    vm.table.adoptOrder(makeOrder(at(1, 60), other), fleet.clock.now());
    vm.table.adoptOrder(makeOrder(at(2, 50)), MonotonicTime(0));
    vm.table.endRead(at(2, 55));
    vm.table.refresh(true, 2);
    cr_assert_eq(vm.table.reports().at(0).order, at(1, 60));
    vm.table.adoptOrder(makeOrder(at(2, 56), other), fleet.clock.now());
    cr_assert_eq(vm.table.reports().at(0).order, at(1, 60));
    cr_assert_eq(vm.table.reports().at(0).latest, at(2, 56));
}

// Guards against a roll-out that ends because the copy does not have its order yet.
Test(RolloutTableEra, goesOnWithoutAnOrderThatIsNotYetWrittenAgain)
{
    RolloutEraFleet fleet;
    auto& vm = fleet.first;
    vm.table.endRead(at(2, 44));
    fleet.clock.advance(3s);
    vm.table.refresh(true, 2);
    cr_assert(vm.mayUse(target));
    const auto changes = vm.table.dueChanges();
    cr_assert(changes.size() == 1 && changes[0].record.state == RolloutState::Running);
    // An order that was withdrawn stays so when the copy has it, but a new one counts.
    vm.table.withdrawOrder(service);
    vm.table.adoptOrder(makeOrder(at(3, 50)), MonotonicTime(0));
    vm.table.endRead(at(3, 50));
    cr_assert(!vm.mayUse(target));
    vm.table.withdrawOrder(service);
    vm.table.adoptOrder(makeOrder(at(3, 52)), fleet.clock.now());
    vm.table.refresh(true, 2);
    cr_assert(vm.mayUse(target));
}

// Guards against a verdict of a VM that started after the restore, while the others know one that the store has lost.
Test(RolloutTableEra, learnsTheVerdictFromTheOthersOnAVmThatStarted)
{
    RolloutEraFleet fleet;
    fleet.adoptRecord(makeRecord(at(1, 50), RolloutState::RolledBack), at(1, 60));
    fleet.clock.advance(20s);
    auto& started = fleet.started;
    started.table.adoptOrder(makeOrder(at(2, 50)), MonotonicTime(0));
    started.table.endRead(at(2, 55));
    started.send(20, VersionResult::Failed);
    started.table.refresh(true, 2);
    cr_assert(started.table.dueChanges().empty(), "the others may know a verdict");
    // The verdict is old, but the store does not have it.
    auto& running = fleet.first;
    running.table.adoptOrder(makeOrder(at(2, 50)), MonotonicTime(0));
    running.table.endRead(at(2, 55));
    fleet.clock.advance(11s);
    started.table.recordRemote(VmId("first"), running.table.reports());
    cr_assert(!started.mayUse(target));
    cr_assert_eq(started.table.dueChanges().at(0).record.order, at(1, 50));
    cr_assert_eq(started.table.dueChanges().at(0).record.state, RolloutState::RolledBack);
}

// Guards against the same when the record of the verdict is in the copy and only the order was lost.
Test(RolloutTableEra, takesTheOrderFromItsRecordOnAVmThatStarted)
{
    RolloutEraFleet fleet;
    auto& started = fleet.started;
    started.table.adoptRecord(makeRecord(at(1, 50), RolloutState::RolledBack), at(2, 60));
    started.table.endRead(at(2, 60));
    fleet.clock.advance(2s);
    started.table.adoptOrder(makeOrder(at(2, 61)), fleet.clock.now());
    started.table.refresh(true, 2);
    cr_assert(!started.mayUse(target));
    cr_assert(started.table.dueChanges().empty());
    cr_assert_eq(started.table.reports().at(0).order, at(1, 50));
}

// Guards against the verdict of an earlier order of the same target, which a VM that started later gave to a new order
// and reported to the others.
Test(RolloutTableEra, doesNotApplyAnOldVerdictToANewOrderOnAVmThatStarted)
{
    RolloutEraFleet fleet;
    auto& started = fleet.started;
    fleet.clock.advance(60s);
    started.table.adoptRecord(makeRecord(at(1, 50), RolloutState::RolledBack), at(2, 60));
    started.table.endRead(at(2, 60));
    started.table.adoptOrder(makeOrder(at(2, 61)), fleet.clock.now());
    started.table.refresh(true, 2);
    cr_assert_eq(started.table.reports().at(0).order, at(2, 61));
    cr_assert_eq(started.table.reports().at(0).state, RolloutState::Running);
}

// Guards against a verdict beyond the time limit: a VM that receives the order when it is written again takes it for
// young, and its report would make it younger for all. Nor may it use its part of the constant allowance again.
Test(RolloutTableEra, doesNotMakeTheOrderYoungerOnAVmThatStarted)
{
    RolloutEraFleet fleet;
    fleet.clock.advance(5s);
    auto& started = fleet.started;
    started.table.endRead(at(2, 44));
    started.table.adoptOrder(makeOrder(at(2, 45)), fleet.clock.now());
    started.table.refresh(true, 2);
    cr_assert(!started.mayUse(target));
    auto& running = fleet.first;
    running.table.endRead(at(2, 44));
    running.table.adoptOrder(makeOrder(at(2, 45)), fleet.clock.now());
    running.table.recordRemote(VmId("started"), started.table.reports());
    cr_assert_geq(running.table.reports().at(0).age.count(), 5000);
    started.table.recordRemote(VmId("first"), running.table.reports());
    cr_assert_geq(started.table.reports().at(0).age.count(), 5000);
    cr_assert_eq(started.table.reports().at(0).order, at(1, 50));
}

// The verdict is written again although its order has been withdrawn since, or has not been written again.
Test(RolloutTableEra, writesTheVerdictOfAnUnknownOrderAgain)
{
    ManualClock clock;
    RolloutVm vm(clock);
    vm.table.adoptRecord(makeRecord(at(1, 50), RolloutState::RolledBack), at(1, 60));
    vm.table.endRead(at(1, 60));
    cr_assert(vm.table.dueChanges().empty());
    vm.table.endRead(at(2, 44));
    const auto changes = vm.table.dueChanges();
    cr_assert(changes.size() == 1 && changes[0].isRepeat);
    cr_assert_eq(changes[0].record.order, at(1, 50));
    cr_assert(!vm.mayUse(target));
    vm.table.adoptRecord(changes[0].record, at(2, 45));
    cr_assert(vm.table.dueChanges().empty());
}

// Both positions of an order must survive the way between the VMs.
Test(FleetReportCodec, keepsThePositionsOfAnOrder)
{
    FleetReport report;
    report.vm = VmId("vm1");
    RolloutReport rollout { service, at(1, 50), RolloutState::Complete };
    rollout.latest = at(2, 45);
    report.rollouts = { rollout };
    const auto decoded = FleetReportCodec::decode(FleetReportCodec::encode(report));
    cr_assert(decoded && decoded->rollouts.size() == 1);
    cr_assert_eq(decoded->rollouts[0].order, at(1, 50));
    cr_assert_eq(decoded->rollouts[0].latest, at(2, 45));
}

namespace {

class StatusCodec final : public RecordCodec {
public:
    Outcome<DecodedRecord> decode(const StoreEntry&) const override { return DecodedRecord {}; }
    std::optional<UpstreamId> runnerOf(std::string_view) const override { return std::nullopt; }
    std::optional<ServiceId> rolloutOrderOf(std::string_view) const override { return std::nullopt; }
    StoreWrite encodeStatus(const RolloutStatus& status) const override
    {
        return { "status", std::string(nameOf(status.state)) };
    }
};

/// A VM with its driver in a fleet of two.
struct DriverVm : RolloutVm {
    DriverVm(ManualClock& manualClock, EraStore& eraStore, const std::string& name)
        : RolloutVm(manualClock)
        , store(eraStore)
        , fleet(clock, timeline, VmId(name), ZoneId("a"))
        , lease(clock, store, timeline, VmId(name), Incarnation(1), {})
        , driver({ clock, table, table, freshness, fleet, lease, store, codec, timeline }, VmId(name))
    {
        for (const auto* vm : { "vm1", "vm2" }) {
            fleet.updateRecord(VmId(vm), FleetView::encodeRecord({ "127.0.0.1", 7600 }, ZoneId("a")));
        }
    }

    /// Receives a report of the other VM.
    void hear(const VmId& vm) { fleet.recordReport(vm, Incarnation(1), ++reports); }

    void readAll()
    {
        const auto entry = store.find(RolloutRecords::keyOf(service));
        if (const auto record = RolloutRecords::decode(service, entry.value)) {
            table.adoptRecord(*record, entry.modRevision);
        }
        table.endRead(store.currentPosition());
    }

    EraStore& store;
    FixedFreshness freshness;
    FleetView fleet;
    OrderLease lease;
    StatusCodec codec;
    RolloutDriver driver;
    std::uint64_t reports = 0;
};

} // namespace

// Guards against a verdict that is lost for good, and against writes of every VM at once, which would use up the
// store's write rate: one VM writes it, also when no VM holds the order lease.
Test(RolloutDriverEra, writesALostVerdictOnce)
{
    asio::io_context context;
    ManualClock clock;
    EraStore store;
    DriverVm first(clock, store, "vm1");
    DriverVm second(clock, store, "vm2");
    const auto copied = store.copy();
    const auto order = store.write("order", "").modRevision;
    const auto record = makeRecord(order, RolloutState::Complete);
    const auto verdict = store.write(RolloutRecords::keyOf(service), RolloutRecords::encode(record)).modRevision;
    for (auto* vm : { &first, &second }) {
        vm->table.adoptOrder(makeOrder(order), clock.now());
        vm->table.adoptRecord(record, verdict);
        vm->readAll();
    }
    store.restore(copied);
    for (auto* vm : { &first, &second }) {
        vm->readAll();
        asio::co_spawn(context, vm->driver.run(), asio::detached);
    }
    asio::co_spawn(
        context,
        [&]() -> Task<> {
            for (unsigned n = 0; n < 100; ++n) {
                clock.advance(200ms);
                first.hear(VmId("vm2"));
                second.hear(VmId("vm1"));
                first.readAll();
                second.readAll();
                co_await sleepFor(60ms);
                if (n == 15) {
                    cr_assert(store.pairs.empty(), "the holder of the lease would write first");
                }
            }
            context.stop();
        },
        [](const std::exception_ptr& error) { cr_assert(!error); });
    context.run();
    cr_assert_eq(store.pairs.size(), 1);
    cr_assert_eq(store.pairs[0].value, "complete");
    cr_assert_eq(store.writes, 1);
    const auto stored = RolloutRecords::decode(service, store.find(RolloutRecords::keyOf(service)).value);
    cr_assert(stored && stored->state == RolloutState::Complete && stored->order == order);
}

// A write of the verdict that is in doubt is checked by what the store has, and not written a second time.
Test(RolloutDriverEra, checksAWriteInDoubtByItsContent)
{
    asio::io_context context;
    ManualClock clock;
    EraStore store;
    DriverVm vm(clock, store, "vm1");
    vm.table.endRead(store.currentPosition());
    const auto order = store.write("order", "").modRevision;
    vm.table.adoptOrder(makeOrder(order), clock.now());
    vm.send(20, VersionResult::Failed);
    store.losesNextAnswer = true;
    vm.lease.clearHolder();
    asio::co_spawn(context, vm.driver.run(), asio::detached);
    asio::co_spawn(
        context,
        [&]() -> Task<> {
            for (unsigned n = 0; n < 60; ++n) {
                clock.advance(20ms);
                co_await sleepFor(20ms);
            }
            context.stop();
        },
        [](const std::exception_ptr& error) { cr_assert(!error); });
    context.run();
    cr_assert_eq(store.pairs.size(), 1);
    cr_assert_eq(store.pairs[0].value, "rolled-back");
    cr_assert(vm.table.dueChanges().empty());
}
