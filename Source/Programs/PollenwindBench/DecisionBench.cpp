#include "Placement/CostPolicy.h"
#include "Placement/PlacementIndex.h"

#include <benchmark/benchmark.h>

#include <algorithm>

namespace {

using namespace Pollenwind;

constexpr std::size_t chainBlocks = 16;

PrefixChain chainOf(std::uint64_t number)
{
    PrefixChain chain;
    chain.blockTokens = 2048;
    chain.promptTokens = chainBlocks * 2048 + 700;
    for (std::uint64_t i = 0; i < chainBlocks; ++i) {
        chain.hashes.push_back((number * chainBlocks + i + 1) * 0x9e3779b97f4a7c15ULL);
    }
    return chain;
}

/// Index of many cached blocks on many engines; each chain is cached by three engines. Placements are 14 ms apart,
/// which is the rate of one router at the target size (71 requests/s).
struct PlacementFixture {
    PlacementFixture(std::size_t engines, std::size_t blocks)
        : index(clock, { .maxAge = std::chrono::hours(24) })
        , policy(clock, index, index)
    {
        for (std::size_t i = 0; i < engines; ++i) {
            const UpstreamId id("engine-" + std::to_string(100'000 + i));
            index.setIncarnation(id, Incarnation(i + 1));
            candidates.push_back({ id, Incarnation(i + 1), ZoneId("z" + std::to_string(i % 3)), 0, clock.now(), 1 });
        }
        chains = std::max<std::size_t>(1, blocks / chainBlocks / copies);
        for (std::size_t i = 0; i < chains * copies; ++i) {
            const auto& it = candidates[(i * 7919) % engines];
            index.recordPlacement({ it.upstream, it.incarnation }, chainOf(i / copies));
            clock.advance(std::chrono::milliseconds(14));
        }
        for (auto& it : candidates) {
            it.reportedAt = clock.now();
        }
    }

    static constexpr std::size_t copies = 3;
    ManualClock clock;
    PlacementIndex index;
    CostPolicy policy;
    std::vector<PlacementCandidate> candidates;
    std::size_t chains = 0;
};

/// Measures one placement decision. Arguments: number of engines, number of known blocks.
void choose(benchmark::State& state)
{
    PlacementFixture fixture(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
    PlacementRequest request { ServiceId("model"), VersionId("v1"), {}, ZoneId("z0"), 1 };
    std::uint64_t number = 0;
    for (auto _ : state) {
        state.PauseTiming();
        request.chain = chainOf((number += 7919) % fixture.chains);
        state.ResumeTiming();
        benchmark::DoNotOptimize(fixture.policy.choose(request, fixture.candidates));
    }
    state.counters["blocks"] = static_cast<double>(fixture.index.blockCount());
    state.counters["bytes/block"]
        = static_cast<double>(fixture.index.memoryBytes()) / static_cast<double>(fixture.index.blockCount());
}

/// Measures recording one placement in the index. Arguments: number of engines, number of known blocks.
void recordPlacement(benchmark::State& state)
{
    PlacementFixture fixture(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
    std::uint64_t number = 0;
    const auto chain = chainOf(1);
    for (auto _ : state) {
        const auto& it = fixture.candidates[(number++) % fixture.candidates.size()];
        fixture.index.recordPlacement({ it.upstream, it.incarnation }, chain);
    }
}

} // namespace

BENCHMARK(choose)->ArgsProduct({ { 9, 18, 1000, 12000 }, { 10'000, 1'000'000 } });
BENCHMARK(recordPlacement)->Args({ 18, 1'000'000 });
BENCHMARK_MAIN();
