#include "Gateway/GatewayFixture.h"
#include "Gateway/RunnerPace.h"
#include "Gateway/ZoneWorkSources.h"

#include <algorithm>
#include <deque>
#include <random>
#include <set>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

/// The work of other zones at one runner, as a VM of zone `a` learns it.
struct ZoneWorkFixture {
    ZoneWorkFixture() { runners.updateEntry(makeRunner("r1")); }

    void receive(const std::string& zone, const std::string& vm, std::uint64_t term, unsigned requests)
    {
        if (const auto id = sources.accept(FleetView::relayId(ZoneId(zone), VmId(vm)), term, requests > 0)) {
            std::map<std::uint64_t, RunnerLoad> loads;
            if (requests > 0) {
                loads[runnerHash(UpstreamId("r1"))] = { requests, 0, requests, 0 };
            }
            runners.setRemoteLoad(*id, std::move(loads));
        }
    }
    void markSilent(const std::string& zone, const std::string& vm)
    {
        if (const auto id = sources.markSilent(FleetView::relayId(ZoneId(zone), VmId(vm)))) {
            runners.clearRemoteLoad(*id);
        }
    }
    unsigned requests() const { return runners.requestsAt(UpstreamId("r1")); }

    ManualClock clock;
    Timeline timeline { clock, "test" };
    RunnerTable runners { clock, timeline, {} };
    ZoneWorkSources sources { ZoneId("a") };
};

/// Prompts of a replay, none of which share parts.
struct ReplayLoad {
    double promptTokens = 0;
    /// Time for which a request keeps its slot after its first event.
    std::chrono::milliseconds streamTime { 0 };
};

/// Requests of two zones in virtual time, each with one VM that places them. A runner of 32 slots computes one prompt
/// after the other at 38.7 tokens per millisecond and its speed. VMs learn of each other's work every 250 ms.
class PlacementReplay {
public:
    PlacementReplay(const std::vector<double>& speeds, const ReplayLoad& load, bool sharesWork, bool usesPace)
        : m_load(load)
        , m_sharesWork(sharesWork)
    {
        for (std::size_t n = 0; n < speeds.size(); ++n) {
            auto entry = makeRunner("r" + std::to_string(100 + n));
            entry.zone = ZoneId(n % 2 == 0 ? "a" : "b");
            entry.slots = slots;
            for (auto& vm : m_vms) {
                vm.runners.updateEntry(entry);
            }
            m_queues[entry.id] = { speeds[n] };
            m_pace.speeds[runnerHash(entry.id)] = speeds[n];
        }
        for (auto& vm : m_vms) {
            vm.policy.setPace(usesPace ? &m_pace : nullptr);
            vm.policy.setOtherZoneLoadUnknown(!sharesWork);
        }
    }

    /// @param demand Requests per second of each zone.
    void run(std::chrono::milliseconds duration, const std::array<double, 2>& demand)
    {
        for (const auto end = m_clock.now() + duration; m_clock.now() < end; m_clock.advance(1ms)) {
            for (std::size_t zone = 0; zone < m_vms.size(); ++zone) {
                for (auto n = std::poisson_distribution<int>(demand[zone] / 1000)(m_random); n > 0; --n) {
                    place(zone);
                }
            }
            complete();
            if (m_clock.now() >= m_nextReport) {
                m_nextReport = m_clock.now() + 250ms;
                for (std::size_t zone = 0; m_sharesWork && zone < m_vms.size(); ++zone) {
                    m_vms[1 - zone].runners.setRemoteLoad(VmId("zone-work/other"), m_vms[zone].runners.ownLoads());
                }
            }
        }
    }

    /// Mean time from the placement of a prompt until it is computed, in milliseconds.
    double meanTime() const { return m_sum / std::max(1.0, m_completed); }
    /// Runner of each request in order.
    const std::vector<UpstreamId>& chosen() const { return m_chosen; }

private:
    static constexpr unsigned slots = 32;

    struct Pending {
        std::size_t zone = 0;
        MonotonicTime placedAt { 0 };
        MonotonicTime outputAt { 0 };
    };
    struct Queue {
        double speed = 1;
        MonotonicTime freeAt { 0 };
        std::deque<Pending> waiting = {};
        std::deque<Pending> streaming = {};
        /// Ends of the requests that have or will get a slot.
        std::multiset<MonotonicTime> ends = {};
    };
    struct KnownPace final : PaceQueries {
        double speedOf(std::uint64_t runner) const override { return speeds.at(runner); }
        std::map<std::uint64_t, double> speeds;
    };
    struct Vm {
        Vm(const Clock& clock, Timeline& timeline, const CacheDirectory& directory, ZoneId zone)
            : runners(clock, timeline, {})
            , policy(std::move(zone), directory)
        {
        }
        RunnerTable runners;
        AffinityPolicy policy;
    };

    void place(std::size_t zone)
    {
        const auto tokens = static_cast<std::uint32_t>(m_load.promptTokens);
        ForwardRequest request;
        request.model = "model";
        request.parts = { { ++m_prompts, 10 }, { m_prompts, tokens - 10 } };
        request.tokens = TokenCount { tokens, 20 };
        auto& vm = m_vms[zone];
        const auto choice = vm.policy.choose(request, "", 1, {}, vm.runners.candidates(ServiceId("app"), "model"));
        m_chosen.push_back(choice->id);
        vm.runners.recordSent(choice->id, tokens);
        auto& queue = m_queues[choice->id];
        queue.ends.erase(queue.ends.begin(), queue.ends.upper_bound(m_clock.now()));
        auto startAt = std::max(queue.freeAt, m_clock.now());
        if (queue.ends.size() >= slots) {
            startAt = std::max(startAt, *queue.ends.begin());
            queue.ends.erase(queue.ends.begin());
        }
        const std::chrono::duration<double, std::milli> time(tokens / 38.7 / queue.speed);
        queue.freeAt = startAt + std::chrono::duration_cast<std::chrono::nanoseconds>(time);
        queue.ends.insert(queue.freeAt + m_load.streamTime);
        queue.waiting.push_back({ zone, m_clock.now(), queue.freeAt });
    }

    void complete()
    {
        for (auto& [id, queue] : m_queues) {
            for (; !queue.waiting.empty() && queue.waiting.front().outputAt <= m_clock.now();
                queue.waiting.pop_front()) {
                const auto& it = queue.waiting.front();
                m_vms[it.zone].runners.recordFirstOutput(id, m_load.promptTokens);
                m_sum += std::chrono::duration<double, std::milli>(it.outputAt - it.placedAt).count();
                ++m_completed;
                queue.streaming.push_back(it);
            }
            for (; !queue.streaming.empty() && queue.streaming.front().outputAt + m_load.streamTime <= m_clock.now();
                queue.streaming.pop_front()) {
                m_vms[queue.streaming.front().zone].runners.recordEnded(id, 0, RunnerResult::Succeeded);
            }
        }
    }

    ManualClock m_clock;
    Timeline m_timeline { m_clock, "test" };
    CacheDirectory m_directory { m_clock };
    ReplayLoad m_load;
    bool m_sharesWork;
    KnownPace m_pace;
    std::array<Vm, 2> m_vms { Vm { m_clock, m_timeline, m_directory, ZoneId("a") },
        Vm { m_clock, m_timeline, m_directory, ZoneId("b") } };
    std::map<UpstreamId, Queue> m_queues;
    std::mt19937 m_random { 1 };
    std::uint64_t m_prompts = 0;
    MonotonicTime m_nextReport { 0 };
    double m_sum = 0;
    double m_completed = 0;
    std::vector<UpstreamId> m_chosen;
};

} // namespace

// The work of a zone must count once while its relays change: the new relay's sum has the same VMs as the old one's.
Test(ZoneWork, countsOnceWhenRelaysChange)
{
    ZoneWorkFixture fixture;
    fixture.receive("b", "b1", 1, 5);
    fixture.receive("c", "c1", 1, 3);
    cr_assert_eq(fixture.requests(), 8);
    fixture.receive("b", "b2", 2, 6);
    cr_assert_eq(fixture.requests(), 9);
    fixture.receive("b", "b1", 1, 50);
    cr_assert_eq(fixture.requests(), 9, "the old relay was suspended and has not noticed the new one");
    fixture.markSilent("b", "b1");
    cr_assert_eq(fixture.requests(), 9, "the new relay still reports");
}

// The work that a silent relay reported must not remain. After a restart of all VMs terms begin at 1 again.
Test(ZoneWork, isDroppedWhenTheRelayFallsSilent)
{
    ZoneWorkFixture fixture;
    fixture.receive("b", "b1", 7, 5);
    fixture.markSilent("b", "b1");
    cr_assert_eq(fixture.requests(), 0);
    cr_assert_eq(fixture.sources.zones(), 0);
    fixture.receive("b", "b2", 1, 4);
    cr_assert_eq(fixture.requests(), 4);
}

// After a lost report the next one tells the whole work, so nothing adds up and nothing remains.
Test(ZoneWork, isReplacedByTheNextReport)
{
    ZoneWorkFixture fixture;
    fixture.receive("b", "b1", 1, 5);
    fixture.receive("b", "b1", 1, 2);
    cr_assert_eq(fixture.requests(), 2);
}

// The work of a zone that has become idle must not remain. A relay that has never reported work does not share it.
Test(ZoneWork, endsWithAnEmptyReport)
{
    ZoneWorkFixture fixture;
    fixture.receive("c", "c1", 1, 0);
    cr_assert_eq(fixture.sources.zones(), 0);
    fixture.receive("b", "b1", 1, 5);
    fixture.receive("b", "b1", 1, 0);
    cr_assert_eq(fixture.requests(), 0);
    cr_assert_eq(fixture.sources.zones(), 1);
}

// The VMs of the own zone report directly, and ids that are not those of relays have no zone. Neither must count as the
// work of a zone.
Test(ZoneWork, ignoresTheOwnZoneAndInvalidIds)
{
    ZoneWorkFixture fixture;
    fixture.receive("a", "a2", 9, 5);
    cr_assert(!fixture.sources.accept(VmId("b1"), 1, true));
    cr_assert(!fixture.sources.accept(VmId("zone/b"), 1, true));
    cr_assert_eq(fixture.requests(), 0);
    fixture.receive("b", "b1", 1, 5);
    for (const auto& id : fixture.sources.clear()) {
        fixture.runners.clearRemoteLoad(id);
    }
    cr_assert_eq(fixture.requests(), 0, "VMs of a small fleet report directly");
}

// A relay's sum has the work of this VM and of the VMs in contact, but not what other zones reported. Otherwise the
// work would return to its own zone.
Test(ZoneWork, sumsOnlyTheVmsOfTheZone)
{
    ZoneWorkFixture fixture;
    const UpstreamId runner("r1");
    const auto hash = runnerHash(runner);
    fixture.runners.recordSent(runner, 10, RouteUrgency::Yielding);
    fixture.runners.setRemoteLoad(VmId("a2"), { { hash, { 2, 20, 2, 0 } }, { 77, { 1, 5, 1, 0 } } });
    fixture.runners.setRemoteLoad(VmId("a3"), { { hash, { 4, 40, 1, 30 } } });
    fixture.receive("b", "b1", 1, 100);
    const std::array zone { VmId("a1"), VmId("a2") };
    const auto sums = fixture.runners.sumOfLoads(zone);
    cr_assert(sums.at(hash) == (RunnerLoad { 3, 30, 2, 10 }));
    cr_assert(sums.at(77) == (RunnerLoad { 1, 5, 1, 0 }), "a runner whose entry this VM has not read yet");
}

// Runners of uneven speed (0.7, 0.7, 1.7) at 0.85 of their capacity: prompts must wait less when the speed is known.
Test(AffinityPolicy, loadsRunnersByTheirSpeed)
{
    std::vector<double> speeds;
    for (unsigned n = 0; n < 12; ++n) {
        speeds.push_back(n % 3 == 2 ? 1.7 : 0.7);
    }
    const ReplayLoad load { 1500 };
    const double demand = 0.85 * 38'700 * 12.4 / load.promptTokens / 2;
    PlacementReplay without(speeds, load, true, false);
    without.run(20s, { demand, demand });
    PlacementReplay with(speeds, load, true, true);
    with.run(20s, { demand, demand });
    std::printf(
        "uneven runners: mean time %.0f ms without pace, %.0f ms with pace\n", without.meanTime(), with.meanTime());
    cr_assert_lt(with.meanTime(), without.meanTime());
}

// Streams that keep their slots for 1.5 s, 0.8 of the slots in use, demand that moves between the zones by 55%: a VM
// that does not know the work of the other zone sends requests to runners whose slots are all in use.
Test(AffinityPolicy, followsDemandThatMovesBetweenZones)
{
    const ReplayLoad load { 300, 1500ms };
    const double total = 0.8 * 12 * 32 / 1.5;
    const auto meanTime = [&](bool sharesWork) {
        PlacementReplay replay(std::vector<double>(12, 1), load, sharesWork, false);
        for (int n = 0; n < 6; ++n) {
            const double first = n % 2 == 0 ? 0.775 : 0.225;
            replay.run(4s, { total * first, total * (1 - first) });
        }
        return replay.meanTime();
    };
    const double unknown = meanTime(false);
    const double known = meanTime(true);
    std::printf(
        "moving demand: mean time %.0f ms with unknown work, %.0f ms with the work of all zones\n", unknown, known);
    cr_assert_lt(known, unknown);
}

// Runners of equal speed must be chosen exactly as without measured speeds.
Test(AffinityPolicy, choosesEqualRunnersAsWithoutPace)
{
    const ReplayLoad load { 1500 };
    const double demand = 0.85 * 38'700 * 6 / load.promptTokens;
    PlacementReplay without(std::vector<double>(12, 1), load, true, false);
    without.run(5s, { demand, demand });
    PlacementReplay with(std::vector<double>(12, 1), load, true, true);
    with.run(5s, { demand, demand });
    cr_assert(with.chosen() == without.chosen());
}

// Fast runners must keep more prefixes: of two runners the one of twice the speed is first for twice as many prompts.
Test(AffinityPolicy, weightsTheRendezvousOrderBySpeed)
{
    struct TwoSpeeds final : PaceQueries {
        double speedOf(std::uint64_t runner) const override { return runner == runnerHash(UpstreamId("fast")) ? 2 : 1; }
    };
    ManualClock clock;
    CacheDirectory directory(clock);
    const TwoSpeeds pace;
    AffinityPolicy policy(ZoneId("a"), directory);
    policy.setPace(&pace);
    std::vector<RunnerCandidate> candidates;
    for (const char* id : { "fast", "other" }) {
        RunnerCandidate candidate { UpstreamId(id) };
        candidate.zone = ZoneId("a");
        candidate.slots = 12;
        candidates.push_back(candidate);
    }
    unsigned fast = 0;
    for (std::uint64_t prompt = 0; prompt < 3000; ++prompt) {
        ForwardRequest request;
        request.model = "model";
        request.parts = { { 100 + prompt, 6300 }, { 1, 900 } };
        request.tokens = TokenCount { 7200, 20 };
        fast += policy.choose(request, "", 0, {}, candidates)->id.value() == "fast" ? 1 : 0;
    }
    cr_assert_float_eq(fast / 3000.0, 2.0 / 3, 0.03);
}
