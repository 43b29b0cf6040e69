#include "Router/FleetHarness.h"
#include "Router/StoreKeys.h"
#include "Transport/ServerFixture.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace Pollenwind;

namespace {

std::uint64_t linkCount(Fleet& fleet, std::size_t router)
{
    const auto members = fleet.query(router, "members")["members"];
    return static_cast<std::uint64_t>(
        std::ranges::count_if(members, [](const auto& it) { return it["link"]["state"] == "up"; }));
}

std::int64_t keyAge(Fleet& fleet, std::size_t router)
{
    return fleet.query(router, "status").value("key_confirmation_age_ms", std::int64_t(1) << 40);
}

std::uint64_t counter(Fleet& fleet, std::size_t router, const char* name)
{
    return fleet.query(router, "status")["counters"].value(name, std::uint64_t(0));
}

/// Waits for the full mesh, applies a configuration, adds the key "k" and waits until all routers have confirmed keys.
void prepare(Fleet& fleet)
{
    cr_assert(fleet.runUntilAll([&](std::size_t i) { return linkCount(fleet, i) == fleet.size() - 1; }));
    const auto revision = fleet.apply(0, "first");
    cr_assert_eq(fleet.setKey(0, "k", "valid").first, 200);
    cr_assert(fleet.runUntilAll([&](std::size_t i) {
        return fleet.revisionOf(i) == revision && fleet.keyStateOf(i, "k") == "valid" && keyAge(fleet, i) < 2000;
    }));
}

/// Runs idle routers and checks their store calls and peer traffic against the design's budget.
void checkSteadyState(int test, std::size_t n)
{
    Fleet fleet(test, n);
    prepare(fleet);
    fleet.runFor(std::chrono::milliseconds(1000));
    const auto calls = fleet.store().callCount();
    const auto sent = counter(fleet, 0, "peer_bytes_sent_total");
    const auto received = counter(fleet, 0, "peer_bytes_received_total");
    const auto start = std::chrono::steady_clock::now();
    fleet.runFor(std::chrono::milliseconds(6000));
    const std::chrono::duration<double> time = std::chrono::steady_clock::now() - start;
    const auto rate = [&](std::uint64_t n) { return static_cast<double>(n) / time.count(); };
    const auto callRate = rate(fleet.store().callCount() - calls);
    const auto sentRate = rate(counter(fleet, 0, "peer_bytes_sent_total") - sent);
    const auto receivedRate = rate(counter(fleet, 0, "peer_bytes_received_total") - received);
    cr_log_info("%zu routers: %.2f store calls/s in all; a router sends %.0f B/s and receives %.0f B/s", n, callRate,
        sentRate, receivedRate);
    cr_assert_leq(callRate, 1.5 * static_cast<double>(n));
    cr_assert_leq(sentRate + receivedRate, 9000);
}

/// Calls that a store has received.
struct CallTally {
    explicit CallTally(const StoreStandIn& store)
        : calls(store.callCount())
        , probes(store.readCount(std::string(StoreKeys::probe)))
        , shareReads(store.readCount(std::string(StoreKeys::shares)))
        , transactions(store.transactionCount())
        , conflicts(store.conflictCount())
    {
    }

    void subtract(const CallTally& earlier)
    {
        calls -= earlier.calls;
        probes -= earlier.probes;
        shareReads -= earlier.shareReads;
        transactions -= earlier.transactions;
        conflicts -= earlier.conflicts;
    }

    /// Without probes and without what routers need for their shares: a list call and a read, and mostly a write.
    std::uint64_t otherCalls() const { return calls - probes - 2 * shareReads - transactions; }

    std::uint64_t calls;
    std::uint64_t probes;
    std::uint64_t shareReads;
    std::uint64_t transactions;
    std::uint64_t conflicts;
};

} // namespace

// Guards against a router that misses a change, and against a withdrawal reported as in force where it is not.
Test(Fleet, changesReachAllRouters)
{
    Fleet fleet(1, 9);
    prepare(fleet);
    const auto revision = fleet.apply(4, "second");
    cr_assert(fleet.runUntilAll([&](std::size_t i) { return fleet.revisionOf(i) == revision; }));
    const auto [status, body] = fleet.setKey(3, "k", "withdrawn");
    cr_assert_eq(status, 200);
    cr_assert_eq(body.value("in_force", 0), 9);
    cr_assert(body["not_reached"].empty());
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        cr_assert(fleet.keyStateOf(i, "k") == "withdrawn");
    }
}

// Guards against a fleet that fails in a store outage: keys must stay confirmed through peers, and a withdrawal must be
// accepted and reach the store later.
Test(Fleet, withdrawsWhileStoreIsDown)
{
    Fleet fleet(2, 9);
    prepare(fleet);
    fleet.store().setFault(StoreFault::Down, 1);
    fleet.runFor(std::chrono::milliseconds(3500));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        cr_assert_lt(keyAge(fleet, i), 3000);
    }
    const auto [status, body] = fleet.setKey(2, "k", "withdrawn");
    cr_assert_eq(status, 200, "%s", body.dump().c_str());
    cr_assert_eq(body.value("in_force", 0), 9);
    cr_assert_eq(body.value("stored", true), false);
    fleet.store().setFault(StoreFault::Down, 0);
    cr_assert(fleet.runUntil([&] { return fleet.isWithdrawnInStore("k"); }));
}

// Guards against a withdrawal that is lost with the router that accepted it.
Test(Fleet, otherRoutersStoreWithdrawalOfLostRouter)
{
    Fleet fleet(3, 3);
    prepare(fleet);
    fleet.store().setFault(StoreFault::Down, 1);
    cr_assert_eq(fleet.setKey(2, "k", "withdrawn").first, 200);
    fleet.kill(2);
    fleet.store().setFault(StoreFault::Down, 0);
    cr_assert(fleet.runUntil([&] { return fleet.isWithdrawnInStore("k"); }));
}

// Guards against a router that relies on its own watch only, which can stay silent indefinitely.
Test(Fleet, peersReplaceSilentWatch)
{
    Fleet fleet(4, 3);
    prepare(fleet);
    fleet.store().setFault(StoreFault::SilentWatches, 1);
    const auto revision = fleet.apply(0, "second");
    cr_assert(fleet.runUntilAll([&](std::size_t i) { return fleet.revisionOf(i) == revision; }));
    cr_assert_eq(fleet.setKey(0, "k", "withdrawn").second.value("in_force", 0), 3);
}

// Guards against a partitioned zone that keeps trusting its key table, accepts a withdrawal that cannot reach the
// others, or does not catch up when the links are restored.
Test(Fleet, isolatedZoneLosesConfirmation)
{
    Fleet fleet(5, 9);
    prepare(fleet);
    fleet.store().setFault(StoreFault::Down, 1);
    fleet.faults.isolatedZones = { "a" };
    cr_assert(fleet.runUntil([&] { return keyAge(fleet, 0) > 3000 && keyAge(fleet, 6) > 3000; }));
    cr_assert_lt(keyAge(fleet, 1), 3000);
    cr_assert_lt(keyAge(fleet, 2), 3000);
    const auto refused = fleet.setKey(0, "k", "withdrawn");
    cr_assert_neq(refused.first, 200);
    const auto [status, body] = fleet.setKey(1, "k", "withdrawn");
    cr_assert_eq(status, 200);
    cr_assert_eq(body.value("in_force", 0), 6);
    cr_assert_eq(body["not_reached"].size(), 3);
    fleet.faults.isolatedZones.clear();
    cr_assert(fleet.runUntilAll(
        [&](std::size_t i) { return keyAge(fleet, i) < 3000 && fleet.keyStateOf(i, "k") == "withdrawn"; }));
}

// Guards against a paused VM that treats heartbeats buffered during the pause as fresh and then accepts a withdrawn
// key.
Test(Fleet, resumedRouterIgnoresBufferedHeartbeats)
{
    Fleet fleet(6, 6);
    prepare(fleet);
    fleet.store().setFault(StoreFault::Down, 1);
    fleet.setPaused(5, true);
    fleet.runFor(std::chrono::milliseconds(2500));
    const auto [status, body] = fleet.setKey(0, "k", "withdrawn");
    cr_assert_eq(status, 200);
    cr_assert_eq(body.value("in_force", 0), 5);
    fleet.runFor(std::chrono::milliseconds(1500));
    fleet.setPaused(5, false);
    // The age and the keys come from one response, so they are consistent.
    bool isConfirmed = false;
    while (!isConfirmed) {
        const auto keys = fleet.query(5, "keys");
        isConfirmed = keys.value("confirmation_age_ms", std::int64_t(1) << 40) < 3000;
        cr_assert(!isConfirmed || keys["keys"][0]["state"] == "withdrawn");
    }
}

// Guards against a restart that needs the store: configuration, keys and members must come from a peer.
Test(Fleet, restartsWithoutStore)
{
    Fleet fleet(7, 3);
    prepare(fleet);
    const auto revision = fleet.revisionOf(0);
    fleet.store().setFault(StoreFault::Down, 1);
    fleet.kill(2);
    fleet.start(2);
    cr_assert(fleet.runUntil([&] {
        return fleet.revisionOf(2) == revision && fleet.keyStateOf(2, "k") == "valid" && keyAge(fleet, 2) < 3000
            && linkCount(fleet, 2) == 2;
    }));
    // The other routers must recognise the new incarnation as the same VM.
    cr_assert(fleet.runUntilAll([&](std::size_t i) { return fleet.query(i, "members")["members"].size() == 3; }));
    cr_assert(fleet.query(2, "status")["store"] == "down");
}

// Guards against a stale read of the store that reverts a router to an older configuration.
Test(Fleet, staleReadsNeverRevert)
{
    Fleet fleet(8, 3);
    prepare(fleet);
    const auto revision = fleet.apply(0, "second");
    cr_assert(fleet.runUntilAll([&](std::size_t i) { return fleet.revisionOf(i) == revision; }));
    fleet.store().setFault(StoreFault::StaleReads, 1);
    // Ends the watches, so that all routers read again.
    fleet.store().setFault(StoreFault::Down, 1);
    fleet.runFor(std::chrono::milliseconds(100));
    fleet.store().setFault(StoreFault::Down, 0);
    fleet.kill(2);
    fleet.start(2);
    // Each router then reads the records at least once more, with a watch and probes around it.
    std::vector<std::uint64_t> calls;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        calls.push_back(counter(fleet, i, "store_calls_total"));
    }
    cr_assert(fleet.runUntilAll([&](std::size_t i) { return counter(fleet, i, "store_calls_total") > calls[i] + 5; }));
    cr_assert(fleet.runUntil([&] { return fleet.revisionOf(2) == revision; }));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        cr_assert_eq(fleet.revisionOf(i), revision);
        std::int64_t last = 0;
        for (const auto& event : fleet.query(i, "timeline")["events"]) {
            if (event["event"] == "configuration-adopted") {
                const auto adopted = std::stoll(event["fields"]["revision"].get<std::string>());
                cr_assert_gt(adopted, last);
                last = adopted;
            }
        }
    }
}

// Guards against a shutdown that the other routers treat as a crash.
Test(Fleet, leavingIsAnnounced)
{
    Fleet fleet(9, 3);
    prepare(fleet);
    cr_assert_eq(fleet.command(1, "drain", nlohmann::json::object()).first, 200);
    cr_assert(fleet.runUntil([&] {
        for (const auto& event : fleet.query(0, "timeline")["events"]) {
            if (event["event"] == "member-leaving" && event["fields"]["vm"] == "b1") {
                return true;
            }
        }
        return false;
    }));
}

// Guards against a mass restart that overloads the store. Each router needs a read, a watch, a registration and a list
// call to start, and claims its share of the rates once, or again if another router has overtaken the claim. What it
// repeats at fixed intervals is bounded by the time, since it depends on how long the start takes.
Test(Fleet, massRestartIsBounded)
{
    constexpr std::size_t callsPerStart = 4;
    constexpr std::chrono::milliseconds probeInterval { 1000 };
    constexpr std::chrono::milliseconds minListInterval { 3750 };
    constexpr std::chrono::milliseconds minShareInterval { 4500 };
    constexpr std::chrono::milliseconds minClaimInterval { 500 };
    Fleet fleet(10, 9, std::chrono::milliseconds(1000));
    prepare(fleet);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.kill(i);
    }
    const CallTally before(fleet.store());
    const auto startedAt = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.start(i);
    }
    cr_assert(fleet.runUntilAll([&](std::size_t i) { return fleet.revisionOf(i) > 0 && linkCount(fleet, i) == 8; }));
    CallTally tally(fleet.store());
    tally.subtract(before);
    const auto time = std::chrono::steady_clock::now() - startedAt;
    const auto repetitions
        = [&](std::chrono::milliseconds interval) { return fleet.size() * static_cast<std::size_t>(time / interval); };
    cr_log_info("9 routers restart together in %lld ms: %zu probes; %zu reads, %zu writes and %zu conflicts of shares; "
                "%zu other calls",
        static_cast<long long>(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()),
        static_cast<std::size_t>(tally.probes), static_cast<std::size_t>(tally.shareReads),
        static_cast<std::size_t>(tally.transactions), static_cast<std::size_t>(tally.conflicts),
        static_cast<std::size_t>(tally.otherCalls()));
    cr_assert_leq(tally.otherCalls(), callsPerStart * fleet.size() + repetitions(minListInterval));
    cr_assert_leq(tally.probes, repetitions(probeInterval));
    cr_assert_leq(tally.transactions, tally.shareReads);
    cr_assert_leq(tally.shareReads, fleet.size() + tally.conflicts + repetitions(minShareInterval));
    cr_assert_leq(tally.shareReads, fleet.size() + repetitions(minClaimInterval));
}

// Guards against a steady load on the store, or control traffic between peers, beyond the budget of the design.
Test(Fleet, steadyStateOf3RoutersStaysInBudget) { checkSteadyState(11, 3); }

// As above, with the number of links of a complete deployment.
Test(Fleet, steadyStateOf9RoutersStaysInBudget) { checkSteadyState(12, 9); }

// Guards against a request that crosses the close of an idle connection at a stop and gets no answer: callers did not
// know for how long a connection is kept, and responses did not announce that the router stops.
Test(Fleet, promisesAnIdleTimeAndAnnouncesTheCloseAtAStop)
{
    // Enough for a promise of one second.
    constexpr std::chrono::milliseconds listenTime { 1700 };
    Fleet fleet(13, 1);
    fleet.kill(0);
    fleet.setShutdownListenTime(0, listenTime);
    fleet.start(0);
    RawClient client(fleet.callersEndpoint(0));
    const auto exchange = [&] {
        client.clear();
        client.send(requestOf("/"));
        return fleet.runUntil([&] {
            client.receive();
            return client.received().contains("\r\n\r\n");
        });
    };
    cr_assert(exchange());
    cr_assert(client.received().contains("Keep-Alive: timeout=1\r\n"), "%s", client.received().c_str());
    cr_assert_eq(fleet.command(0, "drain", nlohmann::json::object()).first, 200);
    cr_assert(client.receive(), "the router closed the connection before the time that it had promised");
    cr_assert(exchange());
    cr_assert(client.received().contains("Connection: close\r\n"), "%s", client.received().c_str());
    cr_assert(!client.received().contains("Keep-Alive"), "%s", client.received().c_str());
    cr_assert(fleet.runUntil([&] { return !client.receive(); }));
}
