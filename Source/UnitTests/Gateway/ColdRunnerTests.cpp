#include "Gateway/GatewayFixture.h"
#include "Gateway/ZoneEvacuations.h"

#include <algorithm>
#include <memory>
#include <random>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

const UpstreamId r1("r1");
const ServiceId app("app");
constexpr double coldRate = 7.7;
// The rate x 1.5 + 5.
constexpr double bound = 16.55;

/// Clock of one VM, whose wall-clock time differs from the others'.
class VmClock final : public Clock {
public:
    explicit VmClock(const Clock& base)
        : m_base(base)
    {
    }

    MonotonicTime now() const override { return m_base.now(); }
    WallTime wallNow() const override { return m_base.wallNow() + offset; }

    WallTime offset { 0 };

private:
    const Clock& m_base;
};

/// Times at which requests reached a runner.
struct Arrivals {
    void add(MonotonicTime at) { times.push_back(at); }
    /// Most within any second.
    std::size_t mostInASecond() const
    {
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] >= 1s) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    std::vector<MonotonicTime> times;
};

/// VMs with requests for one cold runner at all times, in steps of 10 ms. A request arrives up to 0.2 s after it was
/// allowed, the time of a connection.
struct ColdFleet {
    explicit ColdFleet(std::size_t size, unsigned seed)
        : random(seed)
    {
        for (std::size_t n = 0; n < size; ++n) {
            clocks.push_back(std::make_unique<VmClock>(clock));
            clocks.back()->offset = std::chrono::milliseconds(random() % 60);
            limits.emplace_back();
        }
        for (std::size_t n = 0; n < size; ++n) {
            restart(n);
        }
    }

    void restart(std::size_t n)
    {
        limits[n] = std::make_unique<ColdRunnerLimit>(*clocks[n], ColdTolerance {}, 0x9E3779B97F4A7C15U * (n + 1));
        limits[n]->setFleet(limits.size(), n);
    }
    void settle() { clock.advance(ColdRunnerLimit::settleTime); }
    void run(std::chrono::milliseconds duration)
    {
        for (auto left = duration; left > 0ms; left -= 10ms) {
            for (auto& limit : limits) {
                if (limit->timeUntilToken(process, coldRate, coldSince).count() == 0) {
                    limit->take(process, coldRate, coldSince);
                    arrivals.add(clock.now() + std::chrono::milliseconds(random() % 200));
                }
            }
            clock.advance(10ms);
        }
        std::ranges::sort(arrivals.times);
    }

    ManualClock clock;
    std::mt19937 random;
    std::vector<std::unique_ptr<VmClock>> clocks;
    std::vector<std::unique_ptr<ColdRunnerLimit>> limits;
    MonotonicTime coldSince { clock.now() };
    std::uint64_t process = 0x123456789ABCDEF0U;
    Arrivals arrivals;
};

RunnerEntry makeEntry(const std::string& id, std::optional<std::chrono::milliseconds> coldTime, std::uint64_t start = 1)
{
    auto entry = makeRunner(id);
    entry.coldTime = coldTime;
    entry.incarnation = Incarnation(start);
    return entry;
}

/// A VM with runners of a service whose cold runners are limited.
struct ColdFixture : GatewayFixture {
    explicit ColdFixture(double rate = coldRate)
    {
        RoutingConfiguration configuration = *routing.current();
        configuration.version = 2;
        ServiceRule service;
        service.id = app;
        service.coldRequestsPerSecond = rate;
        service.coldTime = 8s;
        configuration.services.emplace(app, service);
        routing.adopt(configuration);
        coldLimit.setFleet(1, 0);
        clock.advance(10s);
    }

    std::vector<std::string> candidates() const
    {
        std::vector<std::string> ids;
        for (const auto& it : limited.candidates(app, "")) {
            ids.push_back(it.id.value());
        }
        return ids;
    }
    Outcome<void> forwardLimited(const ForwardRequest& request)
    {
        return runTask(context, limitedDispatcher.forward(request, clock.now(), sink));
    }

    ZoneEvacuations evacuations { clock, timeline };
    ColdRunnerLimit coldLimit { clock, {}, 1 };
    RunnerTable limited { clock, timeline, {}, { &evacuations, &routing, &coldLimit } };
    ForwardDispatcher limitedDispatcher { { clock, routing, freshness, limited, limited, policy, directory, quota,
        retryBudget, scripted, metrics, log, quarantine, quarantine, crashes, rollouts, rollouts } };
};

} // namespace

// Guards against more requests than a cold runner can handle, as a sum over all VMs, whether they had requests for it
// before or not, and against a limit that leaves it idle.
Test(ColdRunnerLimit, keepsTheBoundOverAllVms)
{
    for (const std::size_t size : { 1U, 2U, 3U, 5U, 9U, 59U, 73U, 295U }) {
        for (unsigned seed = 1; seed <= 3; ++seed) {
            ColdFleet fleet(size, seed);
            fleet.settle();
            fleet.coldSince = fleet.clock.now();
            fleet.run(30s);
            cr_assert(fleet.arrivals.mostInASecond() <= bound, "%zu VMs: %zu", size, fleet.arrivals.mostInASecond());
            cr_assert(fleet.arrivals.times.size() >= 0.6 * coldRate * 30, "%zu VMs: %zu in 30 s", size,
                fleet.arrivals.times.size());
            // VMs that were idle must not send what they have saved.
            fleet.arrivals.times.clear();
            fleet.clock.advance(45s);
            fleet.run(5s);
            cr_assert(fleet.arrivals.mostInASecond() <= bound, "%zu VMs after a pause: %zu", size,
                fleet.arrivals.mostInASecond());
        }
    }
}

// Guards against VMs that take the whole rate because they have just started, all at once, and see no other VM yet: the
// records of all have expired.
Test(ColdRunnerLimit, keepsTheBoundWhileVmsThatRestartTogetherDoNotSeeEachOther)
{
    for (const std::size_t size : { 9U, 73U, 295U }) {
        for (unsigned seed = 1; seed <= 5; ++seed) {
            ColdFleet fleet(size, seed);
            for (auto& limit : fleet.limits) {
                limit->setFleet(1, 0);
            }
            fleet.run(2s);
            for (std::size_t n = 0; n < size; ++n) {
                fleet.limits[n]->setFleet(size, n);
            }
            fleet.run(20s);
            cr_assert(fleet.arrivals.mostInASecond() <= bound, "%zu VMs: %zu", size, fleet.arrivals.mostInASecond());
        }
    }
}

// Guards against parts of a cut fleet that each take the whole rate: the records of one zone have expired at the
// others, and its own VMs go on with their view.
Test(ColdRunnerLimit, keepsTheBoundInAFleetThatIsCutInParts)
{
    constexpr std::size_t size = 72;
    for (unsigned seed = 1; seed <= 5; ++seed) {
        ColdFleet fleet(size, seed);
        fleet.settle();
        fleet.run(5s);
        for (std::size_t n = 0; n < size; ++n) {
            // VMs that restart in the larger part have no memory of the whole fleet.
            if (n >= size / 3) {
                fleet.restart(n);
                fleet.limits[n]->setFleet(size * 2 / 3, n - size / 3);
            }
        }
        fleet.run(30s);
        cr_assert(fleet.arrivals.mostInASecond() <= bound, "%zu", fleet.arrivals.mostInASecond());
    }
}

// Guards against a second request from the place of a VM whose clock was set back, and against one that never sends
// because its clock was set.
Test(ColdRunnerLimit, keepsTheBoundWhileClocksAreSet)
{
    for (unsigned seed = 1; seed <= 5; ++seed) {
        ColdFleet fleet(73, seed);
        fleet.settle();
        for (int n = 0; n < 30; ++n) {
            fleet.clocks[fleet.random() % fleet.clocks.size()]->offset
                += std::chrono::milliseconds(static_cast<int>(fleet.random() % 6000) - 3000);
            fleet.run(1s);
        }
        cr_assert(fleet.arrivals.mostInASecond() <= bound, "%zu", fleet.arrivals.mostInASecond());
        cr_assert(fleet.arrivals.times.size() >= 0.5 * coldRate * 30);
    }
}

// Guards against the load that crashed a cold runner before the limit: it became the only runner of its service, and
// 18 requests reached it in one second.
Test(ColdRunners, limitsTheRequestsAtTheOnlyRunnerOfAService)
{
    for (const bool isLimited : { false, true }) {
        ColdFixture fixture;
        RunnerTable unlimited(fixture.clock, fixture.timeline, {});
        auto& table = isLimited ? fixture.limited : unlimited;
        table.updateEntry(makeEntry("r1", 8s));
        Arrivals arrivals;
        for (int n = 0; n < 18 * 5; ++n) {
            if (!table.candidates(app, "").empty()) {
                table.recordSent(r1, 0);
                arrivals.add(fixture.clock.now());
            }
            fixture.clock.advance(55ms);
        }
        const auto most = static_cast<double>(arrivals.mostInASecond());
        cr_assert(isLimited ? most <= bound && most >= coldRate - 1 : most >= 18, "%f", most);
    }
}

// Guards against a cold runner that gets requests because it looks idle beside busy warm ones, and against one that is
// left idle while no other is there.
Test(ColdRunners, getRequestsOnlyIfThereIsNoWarmRunner)
{
    ColdFixture fixture;
    fixture.limited.updateEntry(makeEntry("r1", 0ms));
    fixture.limited.updateEntry(makeEntry("r2", 8s));
    fixture.clock.advance(1s);
    cr_assert(fixture.candidates() == std::vector<std::string> { "r1" });
    // A warm runner that is avoided for a moment still comes first.
    fixture.limited.recordRefusal(r1, 150ms);
    cr_assert(fixture.candidates() == std::vector<std::string> { "r1" });
    fixture.limited.markEntryEnded(r1);
    fixture.clock.advance(2s);
    cr_assert(fixture.candidates() == std::vector<std::string> { "r2" });
    cr_assert_eq(fixture.limited.unwillingRunners().cold, 1);
}

// Guards against a request that is sent to a cold runner beyond the share, and against a refusal without the time to
// the next one.
Test(ColdRunners, refusesWithTheTimeToTheNextRequest)
{
    ColdFixture fixture;
    fixture.limited.updateEntry(makeEntry("r1", 8s));
    fixture.coldLimit.setFleet(73, 20);
    fixture.clock.advance(1ms);
    for (int n = 0; n < 2; ++n) {
        fixture.scripted.script = { { .parts = { "body" } } };
        const auto result = fixture.forwardLimited(fixture.makeRequest("/unsafe/x"));
        if (result) {
            continue;
        }
        cr_assert(result.error().runState == RunState::NotRun && result.error().retryAfter);
        cr_assert(*result.error().retryAfter <= std::chrono::seconds(15));
    }
    cr_assert(fixture.scripted.sent.size() <= 1);
    cr_assert(fixture.metrics.total(Counter::ColdRunnerRefusals) >= 1);
}

// Guards against requests that reach a runner after its restart under the same id: they were placed at the process
// before, or waited for their connection when the runner turned cold.
Test(ColdRunners, divertsRequestsThatWerePlacedBeforeTheRunnerTurnedCold)
{
    ColdFixture fixture;
    fixture.limited.updateEntry(makeEntry("r1", 0ms, 1));
    fixture.clock.advance(10s);
    cr_assert(fixture.limited.mayStillSend(r1, Incarnation(1)));
    fixture.limited.updateEntry(makeEntry("r1", 7s, 2));
    cr_assert(!fixture.limited.mayStillSend(r1, Incarnation(1)));
    cr_assert(!fixture.limited.mayStillSend(r1, Incarnation(2)));
    cr_assert(fixture.candidates().empty());
    fixture.clock.advance(1s);
    cr_assert(!fixture.limited.mayStillSend(r1, Incarnation(1)));
    cr_assert(fixture.limited.mayStillSend(r1, Incarnation(2)));
    cr_assert_eq(fixture.candidates().size(), 1);
}

// Guards against a runner that comes back within its heartbeat and looks idle to VMs that have not read its new entry:
// after a failed connection it counts as cold until its next entry can be there.
Test(ColdRunners, limitsARunnerThatCouldNotBeReached)
{
    ColdFixture fixture;
    fixture.limited.updateEntry(makeEntry("r1", 0ms));
    fixture.limited.updateEntry(makeEntry("r2", 0ms));
    fixture.clock.advance(10s);
    fixture.limited.recordConnectFailure(r1);
    fixture.clock.advance(2s);
    fixture.limited.updateEntry(makeEntry("r1", 0ms));
    cr_assert(fixture.candidates() == std::vector<std::string> { "r2" });
    fixture.clock.advance(RunnerColdState::doubtTime);
    cr_assert_eq(fixture.candidates().size(), 2);
    // Two other VMs that could not reach it tell it as well.
    const auto hash = runnerHash(r1);
    fixture.limited.recordRemoteFailures(VmId("vm2"), { { hash }, {} });
    fixture.limited.recordRemoteFailures(VmId("vm3"), { { hash }, {} });
    fixture.clock.advance(2s);
    cr_assert(fixture.candidates() == std::vector<std::string> { "r2" });
}

// Guards against a rush of all VMs to runners that become warm at the same time, after a zone or the fleet returns.
Test(ColdRunners, getTheirLoadBackFromOneVmAfterTheOther)
{
    ColdFixture fixture;
    std::vector<std::unique_ptr<RunnerTable>> vms;
    for (std::uint64_t n = 0; n < 40; ++n) {
        vms.push_back(
            std::make_unique<RunnerTable>(fixture.clock, fixture.timeline, RunnerTableOptions { .spreadSeed = n },
                RunnerRestrictions { &fixture.evacuations, &fixture.routing, &fixture.coldLimit }));
        vms.back()->updateEntry(makeEntry("r1", 4s));
        vms.back()->updateEntry(makeEntry("r2", 0ms));
    }
    const auto returned = [&] {
        return std::ranges::count_if(vms, [](const auto& vm) { return vm->candidates(app, "").size() == 2; });
    };
    fixture.clock.advance(3900ms);
    cr_assert_eq(returned(), 0);
    std::vector<long> counts;
    for (int n = 0; n < 5; ++n) {
        fixture.clock.advance(500ms);
        counts.push_back(returned());
    }
    cr_assert(counts[0] > 0 && counts[0] < 20, "%ld", counts[0]);
    cr_assert(counts[1] > counts[0] && counts[2] > counts[1] && counts[4] == 40);
}

// Guards against runners of a zone that returns, which may have turned cold since their entries were read: with and
// without a limit for cold runners the others come first for some seconds.
Test(ColdRunners, includeThoseOfAZoneThatReturns)
{
    for (const double rate : { 0.0, coldRate }) {
        ColdFixture fixture(rate);
        fixture.limited.updateEntry(makeEntry("r1", 0ms));
        auto other = makeEntry("r2", 0ms);
        other.zone = ZoneId("b");
        fixture.limited.updateEntry(other);
        fixture.clock.advance(10s);
        fixture.evacuations.begin(ZoneId("a"));
        fixture.clock.advance(10s);
        fixture.evacuations.end(ZoneId("a"));
        fixture.clock.advance(1s);
        cr_assert(fixture.candidates() == std::vector<std::string> { "r2" });
        fixture.limited.markEntryEnded(UpstreamId("r2"));
        fixture.clock.advance(1600ms);
        // There is no other runner, so it gets requests within the limit.
        cr_assert_eq(fixture.candidates().size(), 1);
        cr_assert_eq(fixture.limited.candidates(app, "").front().isCold, rate > 0);
        fixture.clock.advance(5s);
        cr_assert(!fixture.limited.candidates(app, "").front().isCold);
    }
}

// Guards against a service that is refused altogether because all of its runners are cold, as after the return of the
// whole fleet: each of them gets its share.
Test(ColdRunners, areAllUsedIfAllAreCold)
{
    ColdFixture fixture;
    for (const auto* id : { "r1", "r2", "r3" }) {
        fixture.limited.updateEntry(makeEntry(id, 8s));
    }
    std::map<std::string, int> sent;
    for (int n = 0; n < 500; ++n) {
        for (const auto& it : fixture.limited.candidates(app, "")) {
            fixture.limited.recordSent(it.id, 0);
            ++sent[it.id.value()];
        }
        fixture.clock.advance(10ms);
    }
    cr_assert_eq(sent.size(), 3);
    for (const auto& [id, count] : sent) {
        cr_assert(count >= 0.6 * coldRate * 5 && count <= bound * 5, "%d", count);
    }
}

// Guards against entries without a remaining time, or with one that no runner can mean: the start of the process tells
// it, and a mistaken entry costs its own runner only.
Test(ColdRunners, areKnownByTheirStartIfTheirEntryDoesNotTell)
{
    ColdFixture fixture;
    auto young = makeEntry("r1", std::nullopt);
    young.startedAt = fixture.clock.wallNow() - 3s;
    auto old = makeEntry("r2", std::nullopt);
    old.startedAt = fixture.clock.wallNow() - 1min;
    auto unknown = makeEntry("r3", std::nullopt);
    auto absurd = makeEntry("r4", std::chrono::hours(24 * 365));
    auto future = makeEntry("r5", std::nullopt);
    future.startedAt = fixture.clock.wallNow() + std::chrono::hours(24);
    for (const auto& entry : { young, old, unknown, absurd, future }) {
        fixture.limited.updateEntry(entry);
    }
    cr_assert(fixture.candidates() == (std::vector<std::string> { "r2", "r3" }));
    // A process that follows another one has just started.
    unknown.incarnation = Incarnation(2);
    fixture.limited.updateEntry(unknown);
    cr_assert(fixture.candidates() == std::vector<std::string> { "r2" });
    fixture.clock.advance(11s);
    cr_assert_eq(fixture.candidates().size(), 5);
}

// Guards against a runner that turns cold again later and gets the load of a warm one.
Test(ColdRunners, mayTurnColdAgain)
{
    ColdFixture fixture;
    fixture.limited.updateEntry(makeEntry("r1", 0ms));
    fixture.limited.updateEntry(makeEntry("r2", 0ms));
    fixture.clock.advance(1min);
    cr_assert_eq(fixture.candidates().size(), 2);
    fixture.limited.updateEntry(makeEntry("r1", 5s));
    cr_assert(fixture.candidates() == std::vector<std::string> { "r2" });
}

// Guards against any change where the service has no limit for cold runners.
Test(ColdRunners, areUsedAsBeforeWithoutALimit)
{
    ColdFixture fixture(0);
    fixture.limited.updateEntry(makeEntry("r1", 8s));
    fixture.limited.updateEntry(makeEntry("r2", 0ms));
    cr_assert_eq(fixture.candidates().size(), 2);
    fixture.limited.recordConnectFailure(r1);
    fixture.clock.advance(1100ms);
    cr_assert_eq(fixture.candidates().size(), 2);
    fixture.limited.updateEntry(makeEntry("r1", 8s, 2));
    cr_assert_eq(fixture.candidates().size(), 2);
    cr_assert(fixture.limited.mayStillSend(r1, Incarnation(1)));
}
