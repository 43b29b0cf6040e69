#include "Bench/PlacementSimulation.h"
#include "Placement/CostPolicy.h"
#include "Placement/PlacementIndex.h"

#include <criterion/criterion.h>

#include <set>

using namespace Pollenwind;

namespace {

/// Placement of one router over a number of engines.
struct Fixture {
    explicit Fixture(std::size_t engines, std::uint64_t seed = 1)
        : index(clock)
        , policy(clock, index, index, { .seed = seed })
    {
        for (std::size_t i = 0; i < engines; ++i) {
            const UpstreamId id("e" + std::to_string(1000 + i));
            index.setIncarnation(id, Incarnation(1));
            candidates.push_back({ id, Incarnation(1), ZoneId("z" + std::to_string(i % 3)), 0, clock.now(), 1 });
        }
    }

    PlacementChoice place(const PrefixChain& chain)
    {
        const PlacementRequest request { ServiceId("m"), VersionId("v1"), chain, ZoneId("z0"), revision };
        const auto choice = *policy.choose(request, candidates);
        index.recordPlacement(choice, chain);
        return choice;
    }

    /// Places requests with one prefix at a constant rate and counts the engines that they used.
    std::size_t enginesUsed(const PrefixChain& chain, int requests, std::chrono::milliseconds gap)
    {
        std::set<UpstreamId> used;
        for (int i = 0; i < requests; ++i) {
            clock.advance(gap);
            for (auto& it : candidates) {
                it.reportedAt = clock.now();
            }
            used.insert(place(chain).upstream);
        }
        return used.size();
    }

    ManualClock clock;
    PlacementIndex index;
    CostPolicy policy;
    std::vector<PlacementCandidate> candidates;
    std::uint64_t revision = 1;
};

PrefixChain chainOf(std::uint64_t number)
{
    return { { number * 100 + 1, number * 100 + 2, number * 100 + 3 }, 2048, 3 * 2048 + 500 };
}

} // namespace

// Guards against choosing an engine when there is no candidate, e.g. because all engines are leaving.
Test(CostPolicy, noCandidateNoChoice)
{
    Fixture fixture(0);
    cr_assert_not(fixture.policy.choose({ ServiceId("m"), VersionId("v1"), chainOf(1), ZoneId("z0") }, {}));
}

// Guards against routers that send a new prefix to different engines, in small and in large candidate sets.
Test(CostPolicy, routersAgreeOnUnseenPrefixes)
{
    for (const std::size_t engines : { 9UL, 18UL, 500UL }) {
        Fixture a(engines, 1);
        Fixture b(engines, 2);
        b.candidates.front().zone = ZoneId("z1");
        std::set<UpstreamId> used;
        for (std::uint64_t i = 1; i <= 50; ++i) {
            const auto choice = a.place(chainOf(i));
            cr_assert(choice.upstream == b.place(chainOf(i)).upstream, "%zu engines, prefix %lu", engines, i);
            used.insert(choice.upstream);
            a.clock.advance(std::chrono::seconds(1));
            b.clock.advance(std::chrono::seconds(1));
        }
        cr_assert_gt(used.size(), engines == 9 ? 6 : 9);
    }
}

// Guards against choosing an engine that left or failed because the index still has entries for it: only candidates are
// chosen, and blocks cached in an earlier incarnation do not count.
Test(CostPolicy, choosesOnlyCandidatesInTheirCurrentIncarnation)
{
    for (const std::size_t engines : { 9UL, 500UL }) {
        Fixture fixture(engines);
        const auto holder = fixture.place(chainOf(1)).upstream;
        fixture.clock.advance(std::chrono::seconds(5));
        cr_assert(fixture.place(chainOf(1)).upstream == holder);
        for (auto& it : fixture.candidates) {
            it.incarnation = it.upstream == holder ? Incarnation(2) : it.incarnation;
        }
        const auto again = fixture.place(chainOf(1));
        cr_assert(again.upstream != holder || again.expectedCachedTokens == 0);
        std::erase_if(fixture.candidates, [&](const auto& it) { return it.upstream == holder; });
        ++fixture.revision;
        cr_assert(fixture.place(chainOf(1)).upstream != holder);
    }
}

// Guards against a hot prefix that stays on few engines, and against one that stays spread after its demand fell.
Test(CostPolicy, hotPrefixSpreadsAndShrinks)
{
    Fixture fixture(18);
    const auto before = fixture.enginesUsed(chainOf(1), 20, std::chrono::seconds(2));
    const auto hot = fixture.enginesUsed(chainOf(1), 4000, std::chrono::milliseconds(5));
    fixture.clock.advance(std::chrono::seconds(60));
    const auto after = fixture.enginesUsed(chainOf(1), 20, std::chrono::seconds(2));
    cr_assert_leq(before, 2, "%zu engines", before);
    cr_assert_geq(hot, 6, "%zu engines", hot);
    cr_assert_leq(after, 2, "%zu engines", after);
}

// Guards against an engine in slow start that gets its full share of requests.
Test(CostPolicy, slowStartGetsLess)
{
    Fixture fixture(9);
    const auto preferred = fixture.place(chainOf(1)).upstream;
    for (auto& it : fixture.candidates) {
        it.admission = it.upstream == preferred ? 0.1 : 1;
    }
    int n = 0;
    for (int i = 0; i < 1000; ++i) {
        n += fixture.place(chainOf(1)).upstream == preferred;
        fixture.clock.advance(std::chrono::seconds(1));
    }
    cr_assert(n > 20 && n < 200, "%d of 1000", n);
}

// Guards against herding: nine routers with the same outdated reports must not overload one engine while others are
// idle. Also guards against avoidable recomputation and late first tokens, compared with the other policies in the same
// run.
Test(CostPolicy, simulationBeatsLeastLoadAndWholePrefix)
{
    Bench::SimulationOptions options;
    options.shape = Bench::shapeOf(Bench::WorkloadKind::Drattur);
    options.rate = 35;
    options.seconds = 60;
    const auto run = [&](Bench::PolicyKind policy) {
        options.policy = policy;
        return Bench::PlacementSimulation(options).run();
    };
    const auto cost = run(Bench::PolicyKind::Cost);
    const auto leastLoad = run(Bench::PolicyKind::LeastLoad);
    const auto wholePrefix = run(Bench::PolicyKind::WholePrefix);
    cr_assert_leq(cost.p99, leastLoad.p99 / 2);
    cr_assert_leq(cost.p99, wholePrefix.p99);
    cr_assert_lt(cost.wasted, leastLoad.wasted / 2);
    cr_assert_gt(cost.hitRate, wholePrefix.hitRate);
    cr_assert_eq(run(Bench::PolicyKind::Cost).p99, cost.p99);
}
