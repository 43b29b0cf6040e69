#include "Gateway/GatewayFixture.h"
#include "Gateway/GatewaySync.h"
#include "Gateway/QuarantineRecords.h"
#include "Gateway/RestoringStore.h"
#include "Gateway/ZoneEvacuations.h"

#include <algorithm>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

// Longest time for which a test waits for a condition.
constexpr std::chrono::seconds conditionTimeout { 20 };

const ZoneId zoneA("a");
const ZoneId zoneB("b");

RunnerEntry runnerIn(const ZoneId& zone, const std::string& id)
{
    auto entry = makeRunner(id);
    entry.zone = zone;
    return entry;
}

std::vector<std::string> idsOf(const std::vector<RunnerCandidate>& candidates)
{
    std::vector<std::string> ids;
    for (const auto& it : candidates) {
        ids.push_back(it.id.value());
    }
    return ids;
}

/// Runners r1 and r2 in zone a and r3 in zone b.
struct EvacuationFixture : GatewayFixture {
    EvacuationFixture()
    {
        restricted.updateEntry(runnerIn(zoneA, "r1"));
        restricted.updateEntry(runnerIn(zoneA, "r2"));
        restricted.updateEntry(runnerIn(zoneB, "r3"));
    }

    Outcome<void> forwardRestricted(const ForwardRequest& request)
    {
        return runTask(context, restrictedDispatcher.forward(request, clock.now(), sink));
    }
    std::vector<std::string> candidates() const { return idsOf(restricted.candidates(ServiceId("app"), "")); }
    std::size_t events(EventKind kind) const
    {
        const auto list = timeline.events();
        return static_cast<std::size_t>(std::ranges::count(list, kind, &TimelineEvent::kind));
    }

    ZoneEvacuations evacuations { clock, timeline };
    RunnerTable restricted { clock, timeline, {}, { .evacuations = &evacuations } };
    ForwardDispatcher restrictedDispatcher { { clock, routing, freshness, restricted, restricted, policy, directory,
        quota, retryBudget, scripted, metrics, log, quarantine, quarantine, crashes, rollouts, rollouts } };
};

/// A VM that follows a store with one configuration and one runner.
struct FollowingVm {
    FollowingVm()
    {
        store.put("config", "1 k1");
        store.put("runner/r1", "1 ready");
    }

    void start() { asio::co_spawn(context, sync.run(), asio::detached); }

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

    RestoringStore store;
    asio::io_context context;
    ManualClock clock;
    MetricTable metrics;
    Timeline timeline { clock, "test" };
    RoutingTable routing { timeline };
    ZoneEvacuations evacuations { clock, timeline };
    RunnerTable runners { clock, timeline, {}, { .evacuations = &evacuations } };
    FleetQuota quota { clock };
    FleetView fleet { clock, timeline, VmId("vm"), zoneA };
    IgnoredCommands commands;
    OrderLease orders { clock, commands, timeline, VmId("vm"), Incarnation(1), {} };
    TextCodec codec;
    FeedPolicy policy { clock, fleet, VmId("vm"), 4000ms };
    ChangeFeeds feeds { context.get_executor(), store, policy, timeline };
    ChangeLog log;
    RolloutTable rollouts { clock, timeline, metrics, { { 0.1, 50 } } };
    PartQuarantine quarantine { clock, timeline, metrics, fleet };
    QuarantineRecords quarantineRecords { clock, commands, quarantine, quarantine, fleet };
    ScriptedFleetConfigurations fleetConfigurations;
    GatewaySync sync { { clock, feeds, log, codec, routing, runners, quota, fleet, orders, timeline, metrics,
                           quarantineRecords, rollouts, fleetConfigurations, &evacuations },
        { .watchWait = 200ms, .batchDelay = 1ms, .retryPause = 1ms, .inquiryInterval = 1ms } };
    std::int64_t target = 1;
};

} // namespace

// Guards against a runner of an evacuated zone that is used because the others are suspect: the zone is excluded
// completely.
Test(ZoneEvacuations, excludesTheRunnersOfAZoneCompletely)
{
    EvacuationFixture fixture;
    fixture.evacuations.begin(zoneA);
    cr_assert(fixture.candidates() == std::vector<std::string> { "r3" });
    fixture.restricted.recordRefusal(UpstreamId("r3"), 1s);
    fixture.restricted.recordConnectFailure(UpstreamId("r3"));
    cr_assert(fixture.candidates() == std::vector<std::string> { "r3" });
    fixture.restricted.markEntryEnded(UpstreamId("r3"));
    fixture.clock.advance(2s);
    cr_assert(fixture.candidates().empty());
    // The runners still get their weights.
    cr_assert_eq(fixture.restricted.entries().size(), 2);
    fixture.evacuations.end(zoneA);
    cr_assert(fixture.candidates() == (std::vector<std::string> { "r1", "r2" }));
}

// Guards against a request that was placed before the evacuation and reaches the zone after it, since its connection
// took long.
Test(ZoneEvacuations, divertsARequestThatWaitsForItsConnection)
{
    EvacuationFixture fixture;
    fixture.restricted.markEntryEnded(UpstreamId("r3"));
    fixture.clock.advance(2s);
    fixture.scripted.script = { { .onConnect =
                                        [&fixture] {
                                            fixture.evacuations.begin(zoneA);
                                            fixture.restricted.updateEntry(runnerIn(zoneB, "r3"));
                                        } },
        { .parts = { "body" } } };
    cr_assert(fixture.forwardRestricted(fixture.makeRequest("/unsafe/x")).has_value());
    cr_assert(fixture.scripted.sent == std::vector<Endpoint> { makeRunner("r3").endpoint });
    cr_assert_eq(fixture.metrics.total(Counter::RequestsDiverted), 1);
    cr_assert(!fixture.restricted.mayStillSend(UpstreamId("r1"), Incarnation(1)));
    cr_assert(fixture.restricted.mayStillSend(UpstreamId("r3"), Incarnation(1)));
}

// Guards against a repeat or a resumed stream that goes into an evacuated zone, and against a stream that is cut off
// because its zone is evacuated.
Test(ZoneEvacuations, letsStreamsEndAndResumesElsewhere)
{
    EvacuationFixture fixture;
    fixture.restricted.markEntryEnded(UpstreamId("r3"));
    fixture.clock.advance(2s);
    fixture.restricted.markEntryEnded(UpstreamId("r2"));
    fixture.clock.advance(2s);
    fixture.sink.onWrite = [&fixture] {
        fixture.evacuations.begin(zoneA);
        fixture.restricted.updateEntry(runnerIn(zoneA, "r2"));
        fixture.restricted.updateEntry(runnerIn(zoneB, "r3"));
    };
    fixture.scripted.script = { { .isEventStream = true, .parts = { "id: 1\n\n", "id: 2\n\n" } } };
    cr_assert(fixture.forwardRestricted(fixture.makeRequest("/resumable/x")).has_value());
    cr_assert(fixture.sink.isComplete);

    fixture.evacuations.end(zoneA);
    fixture.restricted.markEntryEnded(UpstreamId("r2"));
    fixture.restricted.markEntryEnded(UpstreamId("r3"));
    fixture.clock.advance(2s);
    fixture.scripted.sent.clear();
    const Error lost { ErrorCode::ConnectionLost, "reset", RunState::Unknown };
    fixture.scripted.script = { { .isEventStream = true, .parts = { "id: 1\n\n" }, .endError = lost },
        { .isEventStream = true, .parts = { "id: 2\n\n" } } };
    cr_assert(fixture.forwardRestricted(fixture.makeRequest("/resumable/x")).has_value());
    cr_assert(
        fixture.scripted.sent == (std::vector<Endpoint> { makeRunner("r1").endpoint, makeRunner("r3").endpoint }));
}

// Guards against callers that wait for runners which will not come back, and against a refusal without a time to come
// back, when all runners of a service are in evacuated zones.
Test(ZoneEvacuations, refusesAtOnceWhileAllRunnersAreInEvacuatedZones)
{
    EvacuationFixture fixture;
    fixture.evacuations.begin(zoneA);
    fixture.evacuations.begin(zoneB);
    const auto result = fixture.forwardRestricted(fixture.makeRequest("/safe/x"));
    cr_assert(!result && result.error().code == ErrorCode::Unavailable);
    cr_assert(result.error().runState == RunState::NotRun);
    cr_assert(result.error().retryAfter && result.error().retryAfter->count() > 0);
    cr_assert(fixture.scripted.arrivals.empty());
    // A back-off in an evacuated zone says nothing about the time to come back.
    fixture.restricted.recordBackOff(UpstreamId("r1"), Incarnation(1), 20s, RequestId("q"));
    cr_assert(!fixture.restricted.timeUntilReturn(ServiceId("app")));
}

// Guards against an operator who waits for a zone that is empty already: the end of the last request is reported, once.
Test(ZoneEvacuations, reportsStartCompletionAndEnd)
{
    EvacuationFixture fixture;
    fixture.restricted.recordSent(UpstreamId("r1"), 0);
    fixture.evacuations.begin(zoneA);
    fixture.evacuations.begin(zoneA);
    auto progress = fixture.evacuations.update(fixture.restricted.ownRequestsByZone());
    cr_assert(progress.zones == 1 && progress.requests == 1);
    cr_assert_eq(fixture.events(EventKind::EvacuationCompleted), 0);
    fixture.restricted.recordEnded(UpstreamId("r1"), 0, RunnerResult::Succeeded);
    for (int n = 0; n < 2; ++n) {
        progress = fixture.evacuations.update(fixture.restricted.ownRequestsByZone());
        cr_assert(progress.zones == 1 && progress.requests == 0);
    }
    cr_assert_eq(fixture.events(EventKind::EvacuationStarted), 1);
    cr_assert_eq(fixture.events(EventKind::EvacuationCompleted), 1);
    fixture.evacuations.end(zoneA);
    cr_assert_eq(fixture.events(EventKind::EvacuationEnded), 1);
    fixture.clock.advance(3s);
    cr_assert(fixture.evacuations.timeSinceEnd(zoneA) == 3s);
    cr_assert(!fixture.evacuations.timeSinceEnd(zoneB));
}

// Guards against requests into an evacuated zone from a VM that starts: its first read of the records must tell the
// evacuation before the first request is sent.
Test(ZoneEvacuations, isKnownToAVmThatStartsBeforeItsFirstRequest)
{
    FollowingVm vm;
    vm.store.put("evacuate/a", "{");
    bool wasKnown = false;
    vm.sync.onRead([&] { wasKnown = vm.evacuations.isEvacuated(zoneA); });
    vm.start();
    vm.runUntil([&] { return vm.routing.current()->version == 1; });
    cr_assert(wasKnown);
    cr_assert(vm.runners.candidates(ServiceId("app"), "").empty());
    vm.store.erase("evacuate/a");
    vm.runUntilFollowed();
    cr_assert(!vm.evacuations.isEvacuated(zoneA));
    cr_assert_eq(vm.runners.candidates(ServiceId("app"), "").size(), 1);
}

// Guards against an evacuation that ends because the store was restored from a copy without its key, and against one
// that never ends: it is kept for a minute.
Test(ZoneEvacuations, isKeptForAMinuteWhenARestoredStoreLacksTheKey)
{
    FollowingVm vm;
    vm.start();
    vm.runUntilFollowed();
    vm.store.copy();
    vm.store.put("evacuate/a", "{}");
    vm.runUntilFollowed();
    cr_assert(vm.evacuations.isEvacuated(zoneA));
    vm.store.restore();
    vm.runUntilFollowed();
    cr_assert_eq(vm.metrics.total(Counter::StoreRestores), 1);
    cr_assert(vm.evacuations.isEvacuated(zoneA));
    // A read of the same store later still lacks the key.
    vm.clock.advance(30s);
    vm.store.forgetHistory();
    vm.runUntilFollowed();
    cr_assert(vm.evacuations.isEvacuated(zoneA));
    vm.clock.advance(30s);
    cr_assert(!vm.evacuations.isEvacuated(zoneA));
    cr_assert_eq(vm.evacuations.update({}).zones, 0);
}

// Guards against an evacuation that lasts for the rest of the minute although the operator has written its key again
// and deleted it, and against one that ends after the minute although the key is there again.
Test(ZoneEvacuations, followsTheKeyThatIsWrittenAgainAfterARestore)
{
    FollowingVm vm;
    vm.start();
    vm.runUntilFollowed();
    vm.store.copy();
    vm.store.put("evacuate/a", "{}");
    vm.runUntilFollowed();
    vm.store.restore();
    vm.runUntilFollowed();
    vm.store.put("evacuate/a", "{}");
    vm.runUntilFollowed();
    vm.clock.advance(2min);
    cr_assert(vm.evacuations.isEvacuated(zoneA));
    vm.store.erase("evacuate/a");
    vm.runUntilFollowed();
    cr_assert(!vm.evacuations.isEvacuated(zoneA));
}

// Guards against an evacuation that goes on because its deletion fell into a gap of the changes.
Test(ZoneEvacuations, endsWithAReadThatLacksItsKey)
{
    FollowingVm vm;
    vm.start();
    vm.store.put("evacuate/a", "{}");
    vm.runUntilFollowed();
    cr_assert(vm.evacuations.isEvacuated(zoneA));
    vm.store.erase("evacuate/a");
    vm.store.forgetHistory();
    vm.runUntilFollowed();
    cr_assert(!vm.evacuations.isEvacuated(zoneA));
}
