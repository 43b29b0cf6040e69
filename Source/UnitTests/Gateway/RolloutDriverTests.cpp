#include "Common/Sleep.h"
#include "Gateway/GatewayFixture.h"
#include "Gateway/GatewayKeys.h"
#include "Gateway/OrderLease.h"
#include "Gateway/RolloutDriver.h"
#include "Gateway/RolloutRecords.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

const ServiceId service("app");
const VersionId target("v2");

/// Store in memory. The order lease is granted to every VM, as if each believed that it holds it.
class RolloutStore final : public StoreCommands {
public:
    Task<Outcome<SwapResult>> compareAndSwap(
        std::string key, std::int64_t expected, std::string value, LeaseId) override
    {
        if (key == orderHolderKey) {
            co_return SwapResult { true, ++revision, std::nullopt };
        }
        co_return swap(key, expected, std::move(value));
    }
    Task<Outcome<SwapResult>> compareAndSwapWith(StoreWrite write, std::int64_t expected, StoreWrite also) override
    {
        if (isDown) {
            co_return fail(ErrorCode::StoreUnavailable, "down");
        }
        const auto result = swap(write.key, expected, std::move(write.value));
        if (result.isSwapped) {
            statuses.push_back(also.value);
        }
        if (std::exchange(losesNextAnswer, false)) {
            co_return fail(ErrorCode::StoreUnavailable, "lost", RunState::Unknown);
        }
        co_return result;
    }
    Task<Outcome<SwapResult>> compareAndErase(std::string, std::int64_t) override { co_return SwapResult(); }
    Task<Outcome<LeaseId>> grantLease(std::chrono::seconds) override { co_return LeaseId(1); }
    Task<Outcome<std::chrono::seconds>> keepAlive(LeaseId) override { co_return 2s; }
    Task<Outcome<void>> revoke(LeaseId) override { co_return Outcome<void> {}; }

    RolloutState stateInStore() const
    {
        const auto it = entries.find(RolloutRecords::keyOf(service));
        return it == entries.end() ? RolloutState::Running
                                   : RolloutRecords::decode(service, it->second.value).value().state;
    }

    std::map<std::string, StoreEntry> entries;
    /// States written for the operator, in order.
    std::vector<std::string> statuses;
    std::int64_t revision = 100;
    bool isDown = false;
    /// Executes the next write and reports it as lost.
    bool losesNextAnswer = false;

private:
    SwapResult swap(const std::string& key, std::int64_t expected, std::string value)
    {
        auto& entry = entries[key];
        if (entry.modRevision != expected) {
            return { false, 0, entry };
        }
        entry = { key, std::move(value), ++revision, {} };
        return { true, revision, std::nullopt };
    }
};

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

/// A VM that holds the order lease.
struct DriverVm {
    DriverVm(ManualClock& manualClock, RolloutStore& store, const char* name)
        : clock(manualClock)
        , lease(clock, store, timeline, VmId(name), Incarnation(1), {})
        , driver({ clock, rollouts, rollouts, freshness, fleet, lease, store, codec, timeline }, VmId(name))
    {
        lease.clearHolder();
        rollouts.adoptOrder({ service, target, 15s, 50 }, clock.now());
    }

    void run(asio::io_context& context)
    {
        if (takesLease) {
            asio::co_spawn(context, lease.run(), asio::detached);
        }
        asio::co_spawn(context, driver.run(), asio::detached);
    }

    void recordFailures()
    {
        for (unsigned i = 0; i < 20; ++i) {
            rollouts.recordEnded(rollouts.recordSent(service, target, "route", 0), VersionResult::Failed);
        }
    }

    bool takesLease = true;
    ManualClock& clock;
    Timeline timeline { clock, "test" };
    MetricTable metrics;
    RolloutTable rollouts { clock, timeline, metrics };
    FixedFreshness freshness;
    FleetView fleet { clock, timeline, VmId("vm"), ZoneId("a") };
    OrderLease lease;
    StatusCodec codec;
    RolloutDriver driver;
};

struct DriverFixture {
    template <typename Scenario> void run(Scenario scenario)
    {
        for (auto* vm : { &first, &second }) {
            vm->run(context);
        }
        asio::co_spawn(
            context,
            [&]() -> Task<> {
                co_await scenario();
                context.stop();
            },
            [](const std::exception_ptr& error) { cr_assert(!error); });
        context.run();
    }

    Task<> waitFor(RolloutState state)
    {
        for (unsigned i = 0; i < 4000 && (store.stateInStore() != state || store.statuses.empty()); ++i) {
            clock.advance(1ms);
            co_await sleepFor(5ms);
        }
        cr_assert_eq(store.stateInStore(), state);
    }

    asio::io_context context;
    ManualClock clock;
    RolloutStore store;
    DriverVm first { clock, store, "vm1" };
    DriverVm second { clock, store, "vm2" };
};

} // namespace

// Guards against two verdicts of one roll-out: two VMs believe that they hold the lease, and their evidence differs.
Test(RolloutDriver, writesOneVerdictAlthoughTwoVmsActAsHolder)
{
    DriverFixture fixture;
    fixture.run([&]() -> Task<> {
        co_await fixture.waitFor(RolloutState::Running);
        fixture.first.recordFailures();
        co_await fixture.waitFor(RolloutState::RolledBack);
        fixture.clock.advance(15s);
        for (unsigned i = 0; i < 60; ++i) {
            fixture.clock.advance(10ms);
            co_await sleepFor(10ms);
        }
        cr_assert_eq(fixture.store.stateInStore(), RolloutState::RolledBack);
        cr_assert(fixture.store.statuses == std::vector<std::string>({ "running", "rolled-back" }));
        // The second VM has learned the verdict from the store's answer.
        for (const auto& rule : fixture.second.rollouts.versionsFor(service, RequestId("q"), std::nullopt)) {
            cr_assert(!rule.permits(target));
        }
    });
}

// Guards against a verdict that is given up, or written twice, because the store was down or lost its answer.
Test(RolloutDriver, repeatsTheVerdictUntilTheStoreHasIt)
{
    DriverFixture fixture;
    fixture.run([&]() -> Task<> {
        co_await fixture.waitFor(RolloutState::Running);
        fixture.store.isDown = true;
        fixture.first.recordFailures();
        co_await sleepFor(500ms);
        cr_assert_eq(fixture.store.stateInStore(), RolloutState::Running);
        fixture.store.losesNextAnswer = true;
        fixture.store.isDown = false;
        co_await fixture.waitFor(RolloutState::RolledBack);
        co_await sleepFor(600ms);
        cr_assert(fixture.store.statuses == std::vector<std::string>({ "running", "rolled-back" }));
    });
}

// Guards against a verdict that misses the time limit because the holder of the lease has just stopped: its lease
// expires 2 s later, and the verdict is due 0.4 s before the limit.
Test(RolloutDriver, writesTheVerdictForAHolderThatHasStopped)
{
    DriverFixture fixture;
    fixture.first.takesLease = fixture.second.takesLease = false;
    fixture.run([&]() -> Task<> {
        fixture.clock.advance(14550ms);
        co_await sleepFor(150ms);
        cr_assert_eq(fixture.store.stateInStore(), RolloutState::Running);
        fixture.clock.advance(80ms);
        co_await sleepFor(150ms);
        cr_assert(fixture.store.statuses.empty());
        fixture.clock.advance(300ms);
        co_await sleepFor(300ms);
        cr_assert_eq(fixture.store.stateInStore(), RolloutState::Complete);
        cr_assert(fixture.store.statuses == std::vector<std::string>({ "complete" }));
    });
}
