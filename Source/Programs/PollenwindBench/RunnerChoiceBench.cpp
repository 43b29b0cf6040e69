#include "Gateway/AffinityPolicy.h"
#include "Gateway/CacheDirectory.h"
#include "Gateway/RunnerPace.h"
#include "Gateway/RunnerTable.h"
#include "Timeline/Timeline.h"

#include <benchmark/benchmark.h>

#include <array>

namespace {

using namespace Pollenwind;

/// A VM's tables for one service: work reported by other VMs at each runner, the prefixes of a long prompt cached at
/// three runners, every third runner of uneven speed. Ids are too long for the
/// buffer within a string.
struct ChoiceFixture {
    ChoiceFixture(std::size_t runnerCount, std::size_t vms)
        : runners(clock, timeline, {})
        , directory(clock)
        , pace(clock)
        , policy(ZoneId("kef-a"), directory)
    {
        std::map<std::uint64_t, RunnerLoad> loads;
        std::vector<std::vector<std::uint64_t>> hashes(1);
        std::vector<PaceSample> samples;
        for (std::size_t n = 0; n < runnerCount; ++n) {
            RunnerEntry entry;
            entry.id = UpstreamId("engine-kef-" + std::to_string(100'000 + n));
            entry.service = ServiceId("chat");
            entry.endpoint = { "10.20.30." + std::to_string(n % 250), 9000 };
            entry.zone = ZoneId("kef-" + std::string(1, static_cast<char>('a' + n % 3)));
            entry.software = VersionId("2026.11.3");
            entry.incarnation = Incarnation(n + 1);
            entry.slots = 32;
            entry.weights["model-large"] = 4;
            loads[runnerHash(entry.id)] = { 1, 40, 1, 0 };
            hashes[0].push_back(runnerHash(entry.id));
            samples.push_back({ hashes[0].back(), n % 3 == 0 ? 40.0 : 20.0, 20 });
            runners.updateEntry(std::move(entry));
        }
        for (std::size_t n = 0; n < vms; ++n) {
            runners.setRemoteLoad(VmId("vm-" + std::to_string(n)), loads);
        }
        pace.recordRemote(samples, true);
        pace.update(hashes);
        policy.setPace(&pace);
        clock.advance(std::chrono::seconds(4));
        request.model = "model-large";
        request.parts = { { 1, 2500 }, { 2, 3800 }, { 3, 2890 } };
        request.tokens = TokenCount { 9190, 20 };
        std::size_t n = 0;
        for (const auto& it : runners.candidates(ServiceId("chat"), request.model)) {
            for (const auto& prefix : sharedPrefixes(request, "salt", 4)) {
                if (n < 3) {
                    directory.recordRead(
                        std::array { CachedPrefix { prefix.hash, holderHash(it.id, it.incarnation) } });
                }
            }
            ++n;
        }
    }

    ManualClock clock;
    Timeline timeline { clock, "bench" };
    RunnerTable runners;
    CacheDirectory directory;
    RunnerPace pace;
    AffinityPolicy policy;
    ForwardRequest request;
};

/// Measures one decision: the candidates of the service and the choice. Arguments: number of runners, number of VMs
/// that report work.
void chooseRunner(benchmark::State& state)
{
    ChoiceFixture fixture(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
    const ServiceId service("chat");
    for (auto _ : state) {
        const auto candidates = fixture.runners.candidates(service, fixture.request.model);
        benchmark::DoNotOptimize(fixture.policy.choose(fixture.request, "salt", 4, {}, candidates));
    }
}

/// Measures the candidates alone. Arguments as above.
void listCandidates(benchmark::State& state)
{
    ChoiceFixture fixture(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
    const ServiceId service("chat");
    for (auto _ : state) {
        benchmark::DoNotOptimize(fixture.runners.candidates(service, fixture.request.model));
    }
}

} // namespace

BENCHMARK(chooseRunner)->ArgsProduct({ { 60, 240 }, { 0, 72 } });
BENCHMARK(listCandidates)->ArgsProduct({ { 60, 240 }, { 72 } });
BENCHMARK_MAIN();
