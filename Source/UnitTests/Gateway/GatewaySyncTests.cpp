#include "Common/Sleep.h"
#include "Gateway/GatewayFixture.h"
#include "Gateway/GatewaySync.h"
#include "Gateway/QuarantineRecords.h"
#include "Gateway/RestoringStore.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

constexpr const char* targetKey = "target";

/// A store whose first watch is answered late or not at all, and whose second one returns a new target version.
class LateStore final : public StoreQueries {
public:
    Task<Outcome<StoreRange>> read(std::string) override { co_return StoreRange {}; }
    Task<Outcome<StoreRange>> readPrefix(std::string) override { co_return StoreRange { {}, 10 }; }
    Task<Outcome<WatchId>> openWatch(std::string, std::int64_t) override { co_return WatchId(1); }
    Task<Outcome<StoreEvents>> nextEvents(WatchId) override { co_return StoreEvents {}; }
    Task<Outcome<StoreEvents>> nextEventsWithin(WatchId, std::chrono::milliseconds wait) override
    {
        const StoreEvents changes { { { false, { targetKey, "2", 11, LeaseId() } } }, 11 };
        switch (++m_calls) {
        case 1:
            co_await sleepFor(firstAnswerAfter);
            if (isFirstLost) {
                co_return fail(ErrorCode::StoreUnavailable, "no answer");
            }
            co_return changes;
        case 2:
            if (isFirstLost) {
                co_return changes;
            }
            [[fallthrough]];
        default:
            co_await sleepFor(wait);
            co_return StoreEvents { {}, 11 };
        }
    }
    void closeWatch(WatchId) override { }
    Task<Outcome<VmList>> listVms() override { co_return VmList {}; }

    std::chrono::milliseconds firstAnswerAfter { 0 };
    bool isFirstLost = false;

private:
    unsigned m_calls = 0;
};

class NoCommands final : public StoreCommands {
public:
    Task<Outcome<SwapResult>> compareAndSwap(std::string, std::int64_t, std::string, LeaseId) override
    {
        co_return SwapResult {};
    }
    Task<Outcome<SwapResult>> compareAndErase(std::string, std::int64_t) override { co_return SwapResult {}; }
    Task<Outcome<LeaseId>> grantLease(std::chrono::seconds) override { co_return LeaseId(1); }
    Task<Outcome<std::chrono::seconds>> keepAlive(LeaseId) override { co_return 1s; }
    Task<Outcome<void>> revoke(LeaseId) override { co_return Outcome<void> {}; }
};

/// Reads the records of target versions only.
class TargetCodec final : public RecordCodec {
public:
    Outcome<DecodedRecord> decode(const StoreEntry& entry) const override
    {
        return entry.key == targetKey ? DecodedRecord(TargetWeights { "model", std::stol(entry.value) })
                                      : DecodedRecord {};
    }
    std::optional<UpstreamId> runnerOf(std::string_view) const override { return std::nullopt; }
    std::optional<ServiceId> rolloutOrderOf(std::string_view) const override { return std::nullopt; }
    StoreWrite encodeStatus(const RolloutStatus&) const override { return {}; }
};

/// A VM that follows a store and knows one runner with old and one with new weights.
struct SyncFixture {
    SyncFixture()
    {
        // The store lists no runners, so they are added after it was read.
        sync.onRead([this] {
            runners.updateEntry(makeRunner("r1"));
            auto entry = makeRunner("r2");
            entry.weights["model"] = 2;
            runners.updateEntry(entry);
        });
    }

    /// Follows the store for a time.
    /// @return Number of runners that may take a request then.
    std::size_t candidatesAfter(std::chrono::milliseconds time)
    {
        asio::co_spawn(context, sync.run(), asio::detached);
        context.run_for(time);
        return runners.candidates(ServiceId("app"), "model").size();
    }

    asio::io_context context;
    SystemClock clock;
    MetricTable metrics;
    Timeline timeline { clock, "test" };
    RoutingTable routing { timeline };
    RunnerTable runners { clock, timeline, { .maxOldWeightsTime = 1500ms } };
    FleetQuota quota { clock };
    FleetView fleet { clock, timeline, VmId("vm"), ZoneId("a") };
    NoCommands commands;
    OrderLease orders { clock, commands, timeline, VmId("vm"), Incarnation(1), {} };
    LateStore store;
    TargetCodec codec;
    FeedPolicy policy { clock, fleet, VmId("vm"), 4000ms };
    ChangeFeeds feeds { context.get_executor(), store, policy, timeline };
    ChangeLog log;
    RolloutTable rollouts { clock, timeline, metrics, { { 0.1, 50 } } };
    PartQuarantine quarantine { clock, timeline, metrics, fleet };
    QuarantineRecords quarantineRecords { clock, commands, quarantine, quarantine, fleet };
    ScriptedFleetConfigurations fleetConfigurations;
    GatewaySync sync { { clock, feeds, log, codec, routing, runners, quota, fleet, orders, timeline, metrics,
                           quarantineRecords, rollouts, fleetConfigurations },
        {} };
};

} // namespace

// A target version that is read after a lost answer may have been set as long ago as the last answer. It was taken for
// 0.8 s old, so that requests began on old weights for seconds beyond the limit.
Test(GatewaySync, countsATargetFromTheLastAnswerAfterALostOne)
{
    SyncFixture fixture;
    fixture.store.firstAnswerAfter = 1600ms;
    fixture.store.isFirstLost = true;
    const auto n = fixture.candidatesAfter(2000ms);
    cr_assert_eq(n, 1, "%zu candidates", n);
}

// The same holds when the answer comes only after the time for which the store may wait, e.g. because this VM was
// paused.
Test(GatewaySync, countsATargetFromTheLastAnswerAfterAPause)
{
    SyncFixture fixture;
    fixture.store.firstAnswerAfter = 3200ms;
    const auto n = fixture.candidatesAfter(3300ms);
    cr_assert_eq(n, 1, "%zu candidates", n);
}

// A target that a watch delivers in time is as new as the delay of a watch allows, else old weights would be left out
// while most runners still load.
Test(GatewaySync, countsATargetFromItsEventWhileAnswersAreInTime)
{
    SyncFixture fixture;
    fixture.store.firstAnswerAfter = 1800ms;
    const auto n = fixture.candidatesAfter(1900ms);
    cr_assert_eq(n, 2, "%zu candidates", n);
}
