#include "Gateway/GatewayFixture.h"
#include "Gateway/GatewaySync.h"
#include "Gateway/QuarantineRecords.h"
#include "Gateway/RestoringStore.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

// Longest time for which a test waits for a condition.
constexpr std::chrono::seconds conditionTimeout { 20 };

/// A VM that follows a store with one configuration and two runners. The time of its tables passes only by hand.
struct CrossingFixture {
    explicit CrossingFixture(bool isStarted = true)
    {
        store.put("config", "1 k1 k2");
        store.put("runner/r1", "1 ready");
        store.put("runner/r2", "1 ready");
        if (isStarted) {
            start();
            runUntil([this] { return candidates() == 2; });
        }
    }

    /// Starts the process of the VM.
    void start()
    {
        asio::co_spawn(context, sync.run(), asio::detached);
        asio::co_spawn(context, sync.followOtherVms(), asio::detached);
    }

    /// Withdraws k2 in version 2 and restores the store from a copy with version 1.
    /// @return The lost record.
    StoreEntry loseWithdrawal()
    {
        store.copy();
        store.put("config", "2 k1");
        store.restore();
        return { "config", "2 k1", 13, LeaseId() };
    }

    /// The store turns this VM away for longer than it may accept keys, and k2 is withdrawn meanwhile. Then the store
    /// is restored from a copy with k2 and serves this VM again.
    /// @return The lost record.
    StoreEntry missWithdrawal()
    {
        store.isDown = true;
        clock.advance(10s);
        auto lost = loseWithdrawal();
        cr_assert(!sync.mayAcceptKeys());
        store.isDown = false;
        return lost;
    }

    /// Runs the synchronisation until a condition holds; fails the test when it does not within the timeout.
    template <typename Condition> void runUntil(Condition condition)
    {
        const auto limit = std::chrono::steady_clock::now() + conditionTimeout;
        while (!condition()) {
            cr_assert(std::chrono::steady_clock::now() < limit, "the condition did not hold in time");
            context.run_for(1ms);
        }
    }
    /// Runs the synchronisation until it has taken over a change that is written now.
    void runUntilFollowed()
    {
        const auto version = ++target;
        store.put("target", std::to_string(version));
        runUntil([&] {
            return runners.targetWeights().contains("model") && runners.targetWeights().at("model") == version;
        });
    }
    std::size_t candidates() const { return runners.candidates(ServiceId("app"), "").size(); }
    bool hasKey(const std::string& key) const { return routing.findOrganisation(sha256(key)) != nullptr; }
    bool isCopyUnconfirmed() const { return metrics.prometheusText().contains("store_copy_unconfirmed 1"); }
    std::vector<TimelineEvent> eventsOf(EventKind kind) const
    {
        auto events = timeline.events();
        std::erase_if(events, [kind](const auto& it) { return it.kind != kind; });
        return events;
    }

    asio::io_context context;
    ManualClock clock;
    MetricTable metrics;
    Timeline timeline { clock, "test" };
    RoutingTable routing { timeline };
    RunnerTable runners { clock, timeline, {} };
    FleetQuota quota { clock };
    FleetView fleet { clock, timeline, VmId("vm"), ZoneId("a") };
    IgnoredCommands commands;
    OrderLease orders { clock, commands, timeline, VmId("vm"), Incarnation(1), {} };
    RestoringStore store;
    TextCodec codec;
    FeedPolicy policy { clock, fleet, VmId("vm"), 4000ms };
    ChangeFeeds feeds { context.get_executor(), store, policy, timeline };
    ChangeLog log;
    RolloutTable rollouts { clock, timeline, metrics, { { 0.1, 50 } } };
    PartQuarantine quarantine { clock, timeline, metrics, fleet };
    QuarantineRecords quarantineRecords { clock, commands, quarantine, quarantine, fleet };
    ScriptedFleetConfigurations fleetConfigurations;
    GatewaySync sync { { clock, feeds, log, codec, routing, runners, quota, fleet, orders, timeline, metrics,
                           quarantineRecords, rollouts, fleetConfigurations },
        { .watchWait = 200ms, .batchDelay = 1ms, .retryPause = 1ms, .inquiryInterval = 1ms } };
    std::int64_t target = 1;
};

} // namespace

// Guards against reads that are not used and leave no trace: all requests were refused for seconds, and the log did not
// differ from that of a store which did not answer.
Test(StoreCrossing, reportsReadsThatAreOlderThanTheLocalRecords)
{
    CrossingFixture fixture;
    fixture.store.readPosition = fixture.store.position() - 1;
    fixture.store.forgetHistory();
    fixture.runUntil([&] { return fixture.metrics.total(Counter::StoreReadsRejected) >= 3; });
    cr_assert_eq(fixture.eventsOf(EventKind::StoreReadRejected).size(), 1);
    fixture.store.readPosition.reset();
    fixture.runUntilFollowed();
}

// Guards against an outage after a restore, and against a copy that takes back a configuration or gives back a key: the
// copy is older than what the operator has confirmed.
Test(StoreCrossing, keepsTheConfigurationInForce)
{
    CrossingFixture fixture;
    fixture.store.copy();
    fixture.store.put("config", "2 k1");
    fixture.runUntil([&] { return !fixture.hasKey("k2"); });
    fixture.store.restore();
    fixture.runUntil([&] { return fixture.metrics.total(Counter::StoreRestores) == 1; });
    cr_assert(fixture.sync.mayAcceptKeys());
    fixture.runUntilFollowed();
    cr_assert(fixture.hasKey("k1") && !fixture.hasKey("k2"));
    fixture.store.put("config", "2 k1");
    fixture.runUntilFollowed();
    cr_assert(!fixture.hasKey("k2"));
    fixture.store.put("config", "3 k1 k3");
    fixture.runUntil([&] { return fixture.hasKey("k3"); });
    cr_assert(!fixture.hasKey("k2"));
}

// The log must tell what a restored store lacks, once for each restore.
Test(StoreCrossing, reportsWhatACopyLacks)
{
    CrossingFixture fixture;
    const auto record = FleetView::encodeRecord({ "127.0.0.1", 7600 }, ZoneId("a"));
    fixture.store.copy();
    fixture.store.put("config", "2 k1");
    fixture.store.put("runner/r3", "1 ready");
    fixture.store.put(std::string(vmRecordPrefix) + "other", record);
    fixture.runUntil([&] { return fixture.candidates() == 3 && fixture.fleet.size() == 2; });
    for (std::size_t n = 1; n <= 2; ++n) {
        fixture.store.restore();
        fixture.runUntil([&] { return fixture.eventsOf(EventKind::StoreRestored).size() == n; });
    }
    const EventFields expected { { "from", "1/16" }, { "to", "2/13" }, { "runners", "2" }, { "missing_runners", "1" },
        { "missing_vms", "1" }, { "configuration", "older" }, { "version", "1" }, { "known_version", "2" } };
    const auto events = fixture.eventsOf(EventKind::StoreRestored);
    cr_assert(events.front().fields == expected);
    cr_assert(events.back().fields.front().second == "2/13");
    cr_assert_eq(fixture.eventsOf(EventKind::StoreReadRejected).size(), 0);
}

// A record that the store lost is not the end of a VM: a fleet that seems smaller would take larger shares of the rates
// and of the retries.
Test(StoreCrossing, keepsTheSizeOfTheFleet)
{
    CrossingFixture fixture;
    const auto record = FleetView::encodeRecord({ "127.0.0.1", 7600 }, ZoneId("a"));
    fixture.store.copy();
    for (int n = 0; n < 20; ++n) {
        fixture.store.put(std::string(vmRecordPrefix) + "vm" + std::to_string(n), record);
    }
    fixture.runUntil([&] { return fixture.fleet.size() == 21; });
    fixture.store.restore();
    fixture.runUntil([&] { return fixture.metrics.total(Counter::StoreRestores) == 1; });
    cr_assert(fixture.fleet.size() == 21 && fixture.fleet.isLarge());
    fixture.clock.advance(14s);
    cr_assert_eq(fixture.fleet.size(), 21);
}

// A runner whose entry was written after the copy was made writes it again within two seconds. It must stay in normal
// use until then, and count as gone after that.
Test(StoreCrossing, keepsRunnersInUseUntilTheirEntriesAreBack)
{
    CrossingFixture fixture;
    fixture.store.copy();
    for (const auto* key : { "runner/r3", "runner/r4" }) {
        fixture.store.put(key, "1 ready");
    }
    fixture.runUntil([&] { return fixture.candidates() == 4; });
    fixture.store.restore();
    fixture.runUntil([&] { return fixture.metrics.total(Counter::StoreRestores) == 1; });
    cr_assert_eq(fixture.candidates(), 4);
    fixture.clock.advance(1900ms);
    // Records that are read again meanwhile still lack the entries.
    fixture.store.forgetHistory();
    fixture.store.put("runner/r3", "1 ready");
    fixture.runUntilFollowed();
    cr_assert_eq(fixture.candidates(), 4);
    fixture.clock.advance(200ms);
    cr_assert_eq(fixture.candidates(), 3);
    fixture.runUntil([&] { return fixture.runners.find(UpstreamId("r4"))->state == RunnerState::Gone; });
    cr_assert(fixture.runners.find(UpstreamId("r3"))->state == RunnerState::Ready);
}

// A copy may show the entry of a process that has ended, or that a later one has replaced. Requests would go to an
// address where nothing listens, or where a runner of another service does.
Test(StoreCrossing, doesNotUseEndedProcessesAgain)
{
    CrossingFixture fixture;
    fixture.store.copy();
    fixture.store.erase("runner/r1");
    fixture.store.put("runner/r2", "2 ready");
    fixture.runUntil([&] { return fixture.runners.find(UpstreamId("r2"))->incarnation == Incarnation(2); });
    fixture.clock.advance(5s);
    cr_assert_eq(fixture.candidates(), 1);
    for (std::size_t n = 1; n <= 2; ++n) {
        fixture.store.restore();
        fixture.runUntil([&] { return fixture.metrics.total(Counter::StoreRestores) == n; });
        // Also when all records are read once more.
        fixture.store.forgetHistory();
        fixture.runUntilFollowed();
        cr_assert(fixture.runners.find(UpstreamId("r1"))->state == RunnerState::Gone);
        cr_assert(fixture.runners.find(UpstreamId("r2"))->incarnation == Incarnation(2));
        cr_assert_eq(fixture.candidates(), 1);
    }
    fixture.store.put("runner/r1", "1 ready");
    fixture.runUntil([&] { return fixture.candidates() == 2; });
}

// A copy must not take back that a process shuts down, whether its entry or the process itself has said so.
Test(StoreCrossing, doesNotUseDrainingProcessesAgain)
{
    CrossingFixture fixture;
    fixture.store.put("runner/r3", "1 ready");
    fixture.store.put("runner/r4", "1 ready");
    fixture.runUntil([&] { return fixture.candidates() == 4; });
    fixture.store.copy();
    fixture.store.put("runner/r1", "1 draining");
    fixture.store.put("runner/r2", "1 draining");
    fixture.runUntil([&] { return fixture.candidates() == 2; });
    fixture.store.erase("runner/r2");
    fixture.runners.recordLeaving(UpstreamId("r3"), Incarnation(1), LeavingSource::Response, RequestId("q"));
    fixture.runUntilFollowed();
    cr_assert_eq(fixture.candidates(), 1);
    fixture.store.restore();
    fixture.runUntil([&] { return fixture.metrics.total(Counter::StoreRestores) == 1; });
    cr_assert_eq(fixture.candidates(), 1);
    fixture.store.put("runner/r3", "1 ready");
    fixture.runUntilFollowed();
    cr_assert_eq(fixture.candidates(), 1);
}

// Weights never go back with a copy: neither those that a process has loaded nor the target.
Test(StoreCrossing, keepsWeights)
{
    CrossingFixture fixture;
    fixture.store.copy();
    fixture.runUntilFollowed();
    const std::vector loaded { LoadedWeights { runnerHash(UpstreamId("r1")), modelHash("model"), 2 } };
    fixture.runners.recordLoadedWeights(loaded);
    fixture.store.restore();
    fixture.runUntil([&] { return fixture.metrics.total(Counter::StoreRestores) == 1; });
    cr_assert_eq(fixture.runners.targetWeights().at("model"), 2);
    cr_assert_eq(fixture.runners.find(UpstreamId("r1"))->weights.at("model"), 2);
}

// Keys are accepted as soon as the restored store has been read, also when the store was away for longer than keys may
// be used without it.
Test(StoreCrossing, acceptsKeysWithTheFirstReadOfARestoredStore)
{
    CrossingFixture fixture;
    fixture.store.copy();
    fixture.runUntilFollowed();
    fixture.store.isDown = true;
    fixture.clock.advance(10s);
    cr_assert(!fixture.sync.mayAcceptKeys());
    fixture.store.restore();
    fixture.store.isDown = false;
    fixture.runUntil([&] { return fixture.metrics.total(Counter::StoreRestores) == 1; });
    cr_assert(fixture.sync.mayAcceptKeys());
    cr_assert_eq(fixture.sync.age().count(), 0);
}

// Guards against a running VM that missed a withdrawal and takes the configuration of the copy for the newest, since it
// had just read it: it accepted the key until the operator wrote the configuration again (review case 7).
Test(StoreCrossing, acceptsNoKeyByACopyBeforeTheOtherVmsHaveAnswered)
{
    CrossingFixture fixture;
    fixture.fleetConfigurations.isHeld = true;
    fixture.fleetConfigurations.newer = { fixture.missWithdrawal() };
    fixture.runUntil([&] {
        return !fixture.fleetConfigurations.asked.empty() || fixture.metrics.total(Counter::StoreRestores) == 1;
    });
    fixture.context.run_for(20ms);
    cr_assert(!fixture.sync.mayAcceptKeys());
    fixture.fleetConfigurations.isHeld = false;
    fixture.runUntil([&] { return fixture.sync.mayAcceptKeys(); });
    cr_assert(fixture.hasKey("k1") && !fixture.hasKey("k2"));
    cr_assert_eq(fixture.candidates(), 2);
}

// A VM that cannot reach the others must follow the store, but accept no key until they answer or the operator has
// written its configuration after the restore. Changes of other records prove nothing.
Test(StoreCrossing, acceptsNoKeyByACopyWhileTheOtherVmsCannotBeReached)
{
    for (const bool isWritten : { false, true }) {
        CrossingFixture fixture;
        fixture.fleetConfigurations.isAnswered = false;
        const auto lost = fixture.missWithdrawal();
        fixture.runUntil([&] { return fixture.metrics.total(Counter::StoreRestores) == 1; });
        fixture.store.put("runner/r3", "1 ready");
        fixture.runUntil([&] { return fixture.candidates() == 3; });
        fixture.store.forgetHistory();
        fixture.runUntilFollowed();
        cr_assert(!fixture.sync.mayAcceptKeys());
        cr_assert(fixture.isCopyUnconfirmed());
        if (isWritten) {
            fixture.store.put("config", lost.value);
        } else {
            fixture.fleetConfigurations.newerLater = { lost };
            fixture.fleetConfigurations.isAnswered = true;
        }
        fixture.runUntil([&] { return fixture.sync.mayAcceptKeys(); });
        cr_assert(fixture.hasKey("k1") && !fixture.hasKey("k2"));
        cr_assert(!fixture.isCopyUnconfirmed());
    }
}

// Guards against a VM that passes over a newer configuration which it cannot read, and takes the answer with it for a
// proof that there is none: it accepted withdrawn keys.
Test(StoreCrossing, acceptsNoKeyByACopyWhileANewerConfigurationCannotBeRead)
{
    for (const bool isStarting : { false, true }) {
        CrossingFixture fixture(!isStarting);
        const StoreEntry unreadable { "config", "unreadable", 13, LeaseId() };
        fixture.fleetConfigurations.newer = { unreadable };
        const auto lost = isStarting ? fixture.loseWithdrawal() : fixture.missWithdrawal();
        if (isStarting) {
            fixture.start();
        }
        fixture.runUntil([&] { return fixture.candidates() == 2 && !fixture.fleetConfigurations.asked.empty(); });
        fixture.runUntilFollowed();
        cr_assert(!fixture.sync.mayAcceptKeys());
        cr_assert(fixture.isCopyUnconfirmed());
        fixture.store.put("config", lost.value);
        fixture.runUntil([&] { return fixture.sync.mayAcceptKeys(); });
        cr_assert(!fixture.hasKey("k2") && !fixture.isCopyUnconfirmed());
    }
}

// A second restore must not count what the first copy gave as proof, and a VM whose knowledge is recent goes on with
// it.
Test(StoreCrossing, keepsItsOwnProofAcrossACopy)
{
    CrossingFixture fixture;
    fixture.fleetConfigurations.isAnswered = false;
    fixture.store.copy();
    fixture.runUntilFollowed();
    for (std::size_t n = 1; n <= 2; ++n) {
        fixture.store.restore();
        fixture.runUntil([&] { return fixture.metrics.total(Counter::StoreRestores) == n; });
        cr_assert(fixture.sync.mayAcceptKeys());
        fixture.clock.advance(2s);
        fixture.runUntilFollowed();
    }
    fixture.clock.advance(1s);
    fixture.runUntilFollowed();
    cr_assert(!fixture.sync.mayAcceptKeys(), "no proof within the limit");
}

// Guards against a VM that starts after a restore and takes the configuration of the copy for the newest: it accepted
// withdrawn keys until the operator wrote the configuration again.
Test(StoreCrossing, startsWithTheNewestConfigurationOfTheFleet)
{
    CrossingFixture fixture(false);
    fixture.fleetConfigurations.newer = { fixture.loseWithdrawal() };
    fixture.start();
    fixture.runUntil([&] { return fixture.candidates() == 2; });
    cr_assert(fixture.hasKey("k1") && !fixture.hasKey("k2"));
    cr_assert(fixture.fleetConfigurations.asked == std::vector<std::int64_t> { 1 });
    cr_assert(fixture.sync.mayAcceptKeys());
    // Other VMs that start get it from this one.
    cr_assert(fixture.log.configuration().version == 2 && fixture.log.configuration().entry.value == "2 k1");
    // The operator's records follow, with lower revisions than those that were lost.
    fixture.store.put("config", "2 k1");
    fixture.runUntilFollowed();
    cr_assert(fixture.hasKey("k1") && !fixture.hasKey("k2"));
    fixture.store.put("config", "3 k1 k3");
    fixture.runUntil([&] { return fixture.hasKey("k3"); });
}

// The VM must not accept a key, nor serve a route, between the read of the restored store and the answers.
Test(StoreCrossing, servesNothingBeforeTheOtherVmsHaveAnswered)
{
    CrossingFixture fixture(false);
    fixture.fleetConfigurations.newer = { fixture.loseWithdrawal() };
    fixture.fleetConfigurations.isHeld = true;
    fixture.start();
    fixture.runUntil([&] { return !fixture.fleetConfigurations.asked.empty(); });
    fixture.context.run_for(20ms);
    cr_assert(fixture.routing.current()->version == 0 && !fixture.sync.mayAcceptKeys());
    cr_assert_eq(fixture.log.revision(), 0, "other VMs read nothing from it either");
    fixture.fleetConfigurations.isHeld = false;
    fixture.runUntil([&] { return fixture.sync.mayAcceptKeys(); });
    cr_assert(!fixture.hasKey("k2"));
}

// A VM that was cut off while this one started must be heard when it is back.
Test(StoreCrossing, takesOverAConfigurationFromAVmThatAnswersLater)
{
    CrossingFixture fixture(false);
    const auto lost = fixture.loseWithdrawal();
    fixture.start();
    fixture.runUntil([&] { return fixture.candidates() == 2; });
    cr_assert(fixture.hasKey("k2"));
    fixture.fleetConfigurations.newerLater = { lost };
    fixture.runUntil([&] { return !fixture.hasKey("k2"); });
}

// When all VMs start at the same time, no one knows more than the store, which must be enough. A store that was never
// restored knows everything, so that no VM has to be asked.
Test(StoreCrossing, startsFromTheStoreWhenNoVmKnowsMore)
{
    CrossingFixture fixture(false);
    fixture.loseWithdrawal();
    fixture.start();
    fixture.runUntil([&] { return fixture.sync.mayAcceptKeys(); });
    cr_assert(fixture.hasKey("k2") && fixture.candidates() == 2);
    cr_assert_eq(fixture.store.reads, 1);
    const CrossingFixture other;
    cr_assert(other.fleetConfigurations.asked.empty());
}
