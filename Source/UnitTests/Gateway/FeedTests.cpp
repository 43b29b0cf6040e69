#include "Common/Sleep.h"
#include "Gateway/FeedCodec.h"
#include "Gateway/FeedFrontEnd.h"
#include "Gateway/GatewayFixture.h"
#include "Gateway/GatewaySync.h"
#include "Gateway/PartQuarantine.h"
#include "Gateway/QuarantineRecords.h"
#include "Gateway/RestoringStore.h"
#include "Gateway/RolloutTable.h"
#include "Store/StorePosition.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

StoreEntry makeEntry(std::string key, std::int64_t revision, std::string value = "v")
{
    return { std::move(key), std::move(value), revision, LeaseId(7) };
}

StoreEvents makeChanges(std::vector<StoreEvent> events, std::int64_t revision)
{
    return { std::move(events), revision };
}

std::int64_t positionOf(std::int64_t era, std::int64_t revision)
{
    return *StorePosition::encode(StoreEra(era), revision);
}

/// Adds VMs with records and recent reports to a fleet.
void addVms(FleetView& fleet, const std::string& zone, int count, const Endpoint& endpoint = { "127.0.0.1", 7600 })
{
    for (int n = 0; n < count; ++n) {
        const VmId vm(zone + std::to_string(100 + n));
        fleet.updateRecord(vm, FleetView::encodeRecord(endpoint, ZoneId(zone)));
        fleet.recordReport(vm, Incarnation(1), 1);
    }
}

class AgedKnowledge final : public FreshnessQueries {
public:
    std::chrono::nanoseconds age() const override { return currentAge; }
    bool mayAcceptKeys() const override { return true; }

    std::chrono::nanoseconds currentAge { 0 };
};

/// A feed served on loopback, as a watcher of zone "z" serves it.
struct ServedFeed {
    explicit ServedFeed(bool isOwnVmKnown = true)
    {
        if (isOwnVmKnown) {
            addVms(fleet, "z", 3);
        }
        endpoint = *server.listen({ "127.0.0.1", 0 });
    }

    asio::io_context context;
    SystemClock clock;
    Timeline timeline { clock, "test" };
    FleetView fleet { clock, timeline, VmId("z0"), ZoneId("z") };
    ChangeLog log;
    AgedKnowledge freshness;
    FeedFrontEnd frontEnd { clock, log, freshness, fleet };
    HttpServer server { context.get_executor(), frontEnd, {} };
    Endpoint endpoint;
};

/// Runs a task and stops the servers of a context when it ends.
void runScenario(asio::io_context& context, Task<> task)
{
    asio::co_spawn(context, std::move(task), [&context](const std::exception_ptr& error) {
        cr_assert(!error);
        context.stop();
    });
    context.run();
}

/// A store in memory whose calls the test counts.
class MemoryStore final : public StoreQueries {
public:
    Task<Outcome<StoreRange>> read(std::string) override { co_return StoreRange {}; }
    Task<Outcome<StoreRange>> readPrefix(std::string) override
    {
        ++calls;
        if (isDown) {
            co_return fail(ErrorCode::StoreUnavailable, "down");
        }
        co_return records;
    }
    Task<Outcome<WatchId>> openWatch(std::string, std::int64_t) override { co_return WatchId(1); }
    Task<Outcome<StoreEvents>> nextEvents(WatchId) override { co_return StoreEvents {}; }
    Task<Outcome<StoreEvents>> nextEventsWithin(WatchId, std::chrono::milliseconds wait) override
    {
        ++calls;
        co_await sleepFor(wait);
        if (isDown) {
            co_return fail(ErrorCode::StoreUnavailable, "down");
        }
        co_return StoreEvents { {}, records.revision };
    }
    void closeWatch(WatchId) override { }
    Task<Outcome<VmList>> listVms() override { co_return VmList {}; }

    StoreRange records { {}, 10 };
    bool isDown = false;
    unsigned calls = 0;
};

class NoStoreCommands final : public StoreCommands {
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

class NoRecords final : public RecordCodec {
public:
    Outcome<DecodedRecord> decode(const StoreEntry&) const override { return DecodedRecord {}; }
    std::optional<UpstreamId> runnerOf(std::string_view) const override { return std::nullopt; }
    std::optional<ServiceId> rolloutOrderOf(std::string_view) const override { return std::nullopt; }
    StoreWrite encodeStatus(const RolloutStatus&) const override { return {}; }
};

/// The synchronisation of a VM of zone "z" in a large fleet.
struct Follower {
    explicit Follower(asio::io_context& context)
        : feeds(context.get_executor(), store, policy, timeline)
    {
        addVms(fleet, "y", 30);
    }

    SystemClock clock;
    MetricTable metrics;
    Timeline timeline { clock, "test" };
    RoutingTable routing { timeline };
    RunnerTable runners { clock, timeline, {} };
    FleetQuota quota { clock };
    FleetView fleet { clock, timeline, VmId("z999"), ZoneId("z") };
    RolloutTable rollouts { clock, timeline, metrics };
    NoStoreCommands commands;
    OrderLease orders { clock, commands, timeline, VmId("z999"), Incarnation(1), {} };
    MemoryStore store;
    NoRecords records;
    FeedPolicy policy { clock, fleet, VmId("z999"), 4000ms };
    ChangeFeeds feeds;
    ChangeLog log;
    PartQuarantine quarantine { clock, timeline, metrics, fleet };
    QuarantineRecords quarantineRecords { clock, commands, quarantine, quarantine, fleet };
    ScriptedFleetConfigurations fleetConfigurations;
    GatewaySync sync { { clock, feeds, log, records, routing, runners, quota, fleet, orders, timeline, metrics,
                           quarantineRecords, rollouts, fleetConfigurations },
        {} };
};

} // namespace

// A follower must get each change after its revision once, and must learn when it has missed some.
Test(ChangeLog, returnsTheChangesAfterARevision)
{
    ChangeLog log(3);
    cr_assert(!log.changesAfter(0), "nothing has been read");
    log.replace({ { makeEntry("a", 4), makeEntry("b", 9) }, 10 });
    log.append(makeChanges({ { false, makeEntry("a", 11, "new") }, { true, makeEntry("b", 12) } }, 12));
    const auto changes = log.changesAfter(11);
    cr_assert(changes && changes->events.size() == 1 && changes->events.front().isErased);
    cr_assert_eq(changes->revision, 12);
    cr_assert_eq(log.changesAfter(10)->events.size(), 2);
    cr_assert(!log.changesAfter(9), "changes before the read are not known");
    cr_assert(log.changesAfter(50)->events.empty(), "the follower may know more");
    cr_assert_eq(log.changesAfter(50)->revision, 50, "a revision never goes back");
    const auto records = log.records();
    cr_assert(records.entries.size() == 1 && records.entries.front().value == "new" && records.revision == 12);
    for (int n = 13; n < 20; ++n) {
        log.append(makeChanges({ { false, makeEntry("c", n) } }, n));
    }
    cr_assert(!log.changesAfter(12), "changes that were dropped are not passed over");
    cr_assert_eq(log.changesAfter(17)->events.size(), 2);
}

// Encoding must keep every field and round an age up. Truncated or invalid bytes must not crash the decoder.
Test(FeedCodec, keepsEveryField)
{
    FeedChanges changes { makeChanges(
                              { { false, makeEntry("a", 3, std::string("x\0y", 3)) }, { true, makeEntry("b", 4) } }, 5),
        1500us, 2500ns };
    const auto bytes = FeedCodec::encode(changes);
    const auto decoded = FeedCodec::decode(bytes);
    cr_assert(decoded && decoded->changes.revision == 5 && decoded->changes.events.size() == 2);
    cr_assert(decoded->waited == 1500us && decoded->age == 3us);
    const auto& first = decoded->changes.events.front();
    cr_assert(!first.isErased && first.entry.key == "a" && first.entry.value == std::string("x\0y", 3));
    cr_assert(first.entry.modRevision == 3 && first.entry.lease == LeaseId(7));
    cr_assert(decoded->changes.events.back().isErased);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        FeedCodec::decode(std::string_view(bytes).substr(0, n));
    }
    cr_assert(!FeedCodec::decode("no reply"));
}

// Guards against a reply without a revision that a VM which starts takes for all records of an empty store.
Test(FeedCodec, rejectsAReplyWithoutARevision)
{
    for (const std::int64_t revision : { 0, -1 }) {
        cr_assert(!FeedCodec::decode(FeedCodec::encode(FeedRecords { { {}, revision }, 0ns })));
    }
}

// The calls to the store must not grow with the fleet: in 5 zones of 59 VMs only two in each follow the store. Each of
// 295 VMs followed it before, 15,774 calls on a day of 75 s.
Test(FeedPolicy, followsTwoWatchersInEachZone)
{
    ManualClock clock;
    Timeline timeline(clock, "test");
    for (const int vms : { 3, 59, 200 }) {
        std::size_t watchers = 0;
        for (int own = 0; own < vms; ++own) {
            const VmId vm("z" + std::to_string(100 + own));
            FleetView fleet(clock, timeline, vm, ZoneId("z"));
            addVms(fleet, "y", 30);
            addVms(fleet, "z", vms);
            const FeedPolicy policy(clock, fleet, vm, 3000ms);
            watchers += policy.choose(1s, false) ? 0 : 1;
            cr_assert(!policy.choose(1s, true), "the VM that gives orders follows the store");
        }
        cr_assert_eq(watchers, vms < 16 ? 1 : 2);
    }
}

// When the watchers know nothing new, the other VMs must turn to the store in time for a change that is due within 3 s,
// but not all at once: a dead watcher must not become a herd at the store. With ages of 2.5 to 3.3 s a VM in contact
// with the store refused a route of a version that had been confirmed 3 s before (kutpenz grown, trouble-2, seed
// 1055159865766).
Test(FeedPolicy, turnsToTheStoreOneAfterTheOther)
{
    ManualClock clock;
    Timeline timeline(clock, "test");
    std::map<std::int64_t, unsigned> turned;
    for (int own = 10; own < 210; ++own) {
        const VmId vm("z" + std::to_string(100 + own));
        FleetView fleet(clock, timeline, vm, ZoneId("z"));
        addVms(fleet, "y", 30);
        addVms(fleet, "z", 210);
        const FeedPolicy policy(clock, fleet, vm, 3000ms);
        auto age = 0ms;
        while (policy.choose(age, false)) {
            age += 10ms;
        }
        cr_assert(age >= 1300ms && age <= 1800ms);
        ++turned[age / 100ms];
    }
    for (const auto& [tenth, vms] : turned) {
        cr_assert(vms <= 80, "%u of 200 VMs turn to the store within 0.1 s", vms);
    }
}

// A watcher that failed is left for the other one, and for the store when both have failed.
Test(FeedPolicy, leavesAWatcherThatFailed)
{
    ManualClock clock;
    Timeline timeline(clock, "test");
    FleetView fleet(clock, timeline, VmId("z999"), ZoneId("z"));
    addVms(fleet, "z", 40);
    FeedPolicy policy(clock, fleet, VmId("z999"), 4000ms);
    const auto first = policy.choose(0s, false);
    cr_assert(first.has_value());
    policy.recordFailure(first->vm);
    const auto second = policy.choose(0s, false);
    cr_assert(second && second->vm != first->vm);
    policy.recordFailure(second->vm);
    cr_assert(!policy.choose(0s, false));
    clock.advance(1300ms);
    cr_assert(!policy.choose(0s, false));
    clock.advance(1s);
    for (int n = 0; n < 40; ++n) {
        fleet.recordReport(VmId("z" + std::to_string(100 + n)), Incarnation(1), 2);
    }
    cr_assert(policy.choose(0s, false).has_value());
}

// A waiting follower must get a change at once, with the age of the watcher's knowledge; without a change the response
// comes when the wait ends.
Test(FeedFrontEnd, passesChangesOn)
{
    ServedFeed served;
    served.log.replace({ { makeEntry("a", 4) }, 10 });
    PeerFeed peer(served.context.get_executor(), served.endpoint);
    runScenario(served.context, [&]() -> Task<> {
        const auto records = co_await peer.readAll();
        cr_assert(records && records->range.entries.size() == 1 && records->range.revision == 10);
        served.freshness.currentAge = 70ms;
        const auto silent = co_await peer.changesAfter(10, 50ms);
        cr_assert(silent && silent->changes.events.empty() && silent->waited >= 50ms && silent->age >= 70ms);
        asio::co_spawn(
            served.context,
            [&]() -> Task<> {
                co_await sleepFor(20ms);
                served.log.append(makeChanges({ { false, makeEntry("b", 11) } }, 11));
            },
            asio::detached);
        const auto changed = co_await peer.changesAfter(10, 5s);
        cr_assert(changed && changed->changes.events.size() == 1 && changed->changes.revision == 11);
        cr_assert(changed->waited < 4s);
        const auto missed = co_await peer.changesAfter(3, 5s);
        cr_assert(!missed && missed.error().code == ErrorCode::Conflict);
    }());
}

// The records contain API keys. Addresses that are not those of the zone's VMs must get nothing.
Test(FeedFrontEnd, refusesStrangers)
{
    ServedFeed served(false);
    served.log.replace({ { makeEntry("a", 4) }, 10 });
    PeerFeed peer(served.context.get_executor(), served.endpoint);
    runScenario(served.context, [&]() -> Task<> {
        const auto records = co_await peer.readAll();
        cr_assert(!records && records.error().code == ErrorCode::StoreUnavailable);
    }());
}

// Invalid parameters and paths get an error, and the connection stays usable.
Test(FeedFrontEnd, rejectsInvalidRequests)
{
    ServedFeed served;
    served.log.replace({ {}, 10 });
    runScenario(served.context, [&]() -> Task<> {
        for (const auto* query : { "", "after=1", "after=x&wait_ms=1", "after=-1&wait_ms=1", "after=1&wait_ms=" }) {
            const auto answer = co_await fetch(served.endpoint, { "GET", "/feed/changes", query, {}, "" }, 2s);
            cr_assert(answer && answer->status == 400, "%s", query);
        }
        const auto answer = co_await fetch(served.endpoint, { "GET", "/elsewhere", "", {}, "" }, 2s);
        cr_assert(answer && answer->status == 404);
    }());
}

// A follower's knowledge is as old as its watcher's: when the watcher has lost the store, the follower must turn to the
// store itself before it would have to refuse keys, and must never count the watcher's answers as fresh.
Test(GatewaySync, neverTakesAWatchersKnowledgeForYoungerThanItIs)
{
    ServedFeed served;
    served.log.replace({ {}, 10 });
    Follower follower(served.context);
    runScenario(served.context, [&]() -> Task<> {
        asio::co_spawn(served.context, follower.sync.run(), asio::detached);
        co_await sleepFor(100ms);
        cr_assert(follower.store.calls >= 1 && follower.sync.mayAcceptKeys());
        addVms(follower.fleet, "z", 3, served.endpoint);
        served.freshness.currentAge = 3s;
        follower.store.isDown = true;
        // The store's own answers no longer count, and those of the watcher are 3 s old.
        co_await sleepFor(1500ms);
        cr_assert(follower.sync.age() >= 1200ms, "the age of the last own knowledge");
    }());
}

// A VM must follow its watcher without calls to the store, and go on from its own revision when the watcher stops.
Test(GatewaySync, goesOnWithTheStoreWhenItsWatcherStops)
{
    ServedFeed served;
    served.log.replace({ {}, 10 });
    Follower follower(served.context);
    addVms(follower.fleet, "z", 3, served.endpoint);
    runScenario(served.context, [&]() -> Task<> {
        asio::co_spawn(served.context, follower.sync.run(), asio::detached);
        co_await sleepFor(200ms);
        cr_assert_eq(follower.log.revision(), 10);
        const auto calls = follower.store.calls;
        for (int n = 11; n < 14; ++n) {
            served.log.append(makeChanges({ { false, makeEntry("a", n) } }, n));
            co_await sleepFor(250ms);
            cr_assert_eq(follower.log.revision(), n);
        }
        cr_assert_eq(follower.store.calls, calls, "a follower does not call the store");
        follower.store.records = { { makeEntry("a", 13) }, 13 };
        served.server.stopAccepting();
        served.server.closeAll();
        co_await sleepFor(500ms);
        cr_assert(follower.store.calls > calls && follower.sync.mayAcceptKeys());
        cr_assert_eq(follower.log.revision(), 13);
    }());
}

// A watcher that has not read a restored store yet must not tell a follower that has that nothing changed: the follower
// would take the answer for a proof of freshness, and use keys that were withdrawn since.
Test(FeedFrontEnd, refusesFollowersOfALaterEra)
{
    ServedFeed served;
    served.log.replace({ { makeEntry("a", positionOf(1, 40)) }, positionOf(1, 40) });
    PeerFeed peer(served.context.get_executor(), served.endpoint);
    runScenario(served.context, [&]() -> Task<> {
        const auto ahead = co_await peer.changesAfter(positionOf(2, 20), 50ms);
        cr_assert(!ahead && ahead.error().code == ErrorCode::StoreUnavailable);
        const auto equal = co_await peer.changesAfter(positionOf(1, 40), 50ms);
        cr_assert(equal && equal->changes.events.empty());
    }());
}

// When a watcher has read a restored store, its followers must read all records anew, from the watcher: 300 VMs that
// turn to a store which has just come back would overload it.
Test(GatewaySync, readsTheRecordsOfALaterEraFromItsWatcher)
{
    ServedFeed served;
    served.log.replace({ { makeEntry("a", positionOf(1, 40)) }, positionOf(1, 40) });
    Follower follower(served.context);
    addVms(follower.fleet, "z", 3, served.endpoint);
    follower.store.records.revision = positionOf(1, 40);
    runScenario(served.context, [&]() -> Task<> {
        asio::co_spawn(served.context, follower.sync.run(), asio::detached);
        const auto limit = std::chrono::steady_clock::now() + 20s;
        std::uint64_t sequence = 0;
        const auto waitFor = [&](std::int64_t position) -> Task<> {
            while (follower.log.revision() != position) {
                cr_assert(std::chrono::steady_clock::now() < limit, "the records were not read");
                follower.fleet.recordReport(VmId("z100"), Incarnation(2), ++sequence);
                co_await sleepFor(5ms);
            }
        };
        co_await waitFor(positionOf(1, 40));
        const auto calls = follower.store.calls;
        for (const auto position : { positionOf(2, 20), positionOf(3, 10) }) {
            served.log.replace({ { makeEntry("b", position) }, position });
            co_await waitFor(position);
            cr_assert_eq(follower.log.records().entries.size(), 1);
            // All records are read without a delay only once in this time.
            co_await sleepFor(600ms);
        }
        cr_assert_eq(follower.store.calls, calls, "a follower does not call the store");
    }());
}

// The same seen from the follower: it must leave a watcher of an earlier era for the store.
Test(GatewaySync, leavesAWatcherOfAnEarlierEra)
{
    ServedFeed served;
    served.log.replace({ {}, positionOf(1, 40) });
    Follower follower(served.context);
    follower.store.records.revision = positionOf(2, 20);
    runScenario(served.context, [&]() -> Task<> {
        asio::co_spawn(served.context, follower.sync.run(), asio::detached);
        const auto isLeft = [&] {
            return std::ranges::any_of(
                follower.timeline.events(), [](const auto& it) { return it.kind == EventKind::FeedLost; });
        };
        while (follower.log.revision() == 0) {
            co_await sleepFor(5ms);
        }
        addVms(follower.fleet, "z", 3, served.endpoint);
        const auto limit = std::chrono::steady_clock::now() + 20s;
        for (std::uint64_t sequence = 1; !isLeft(); ++sequence) {
            cr_assert(std::chrono::steady_clock::now() < limit, "the watcher is still in use");
            follower.fleet.recordReport(VmId("z100"), Incarnation(2), sequence);
            co_await sleepFor(5ms);
        }
        cr_assert_eq(follower.log.revision(), positionOf(2, 20));
    }());
}
