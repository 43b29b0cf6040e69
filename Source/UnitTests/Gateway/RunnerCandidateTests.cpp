#include "Gateway/GatewayFixture.h"
#include "Gateway/RandomState.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

/// Zones that a test takes out of service.
struct FixedEvacuations final : EvacuationQueries {
    explicit FixedEvacuations(const Clock& vmClock)
        : clock(vmClock)
    {
    }
    bool isEvacuated(const ZoneId& zone) const override { return zone == evacuated; }
    std::optional<std::chrono::nanoseconds> timeSinceEnd(const ZoneId& zone) const override
    {
        return zone == returned ? std::optional<std::chrono::nanoseconds>(clock.now() - returnedAt) : std::nullopt;
    }

    const Clock& clock;
    ZoneId evacuated;
    ZoneId returned;
    MonotonicTime returnedAt { 0 };
};

/// Random changes of a VM's runners. Each step changes one thing.
struct TableWalk : GatewayFixture {
    explicit TableWalk(std::uint64_t seed)
        : random(seed)
    {
        RoutingConfiguration configuration = *routing.current();
        configuration.version = 2;
        ServiceRule service;
        service.id = ServiceId("cold");
        service.coldRequestsPerSecond = 7.7;
        service.coldTime = 8s;
        configuration.services.emplace(service.id, service);
        routing.adopt(configuration);
        coldLimit.setFleet(1, 0);
        clock.advance(10s);
        for (unsigned n = 0; n < 20; ++n) {
            update();
        }
    }

    UpstreamId runner() { return UpstreamId("engine-with-a-long-name-" + std::to_string(10 + below(random, 24))); }
    std::string model() { return isOneIn(random, 4) ? "" : "model"; }
    RunnerEntry makeEntry()
    {
        RunnerEntry entry;
        entry.id = runner();
        entry.service = ServiceId(isOneIn(random, 3) ? "cold" : "app");
        entry.endpoint = { "10.0.0." + std::to_string(below(random, 200)), 9000 };
        entry.zone = ZoneId(oneOf(random, zones));
        entry.software = VersionId("2026." + std::to_string(below(random, 2)));
        entry.incarnation = Incarnation(1 + below(random, 6));
        entry.slots = 8;
        entry.state = isOneIn(random, 12) ? RunnerState::Draining : RunnerState::Ready;
        entry.weights["model"] = 3 + static_cast<WeightsVersion>(below(random, 3));
        if (isOneIn(random, 3)) {
            entry.weights["other"] = 7;
        }
        if (isOneIn(random, 4)) {
            entry.coldTime = std::chrono::milliseconds(below(random, 9000));
        }
        entry.revision = static_cast<std::int64_t>(below(random, 50));
        return entry;
    }
    void update() { limitedTable.updateEntry(makeEntry()); }
    std::map<std::uint64_t, RunnerLoad> makeLoads()
    {
        std::map<std::uint64_t, RunnerLoad> loads;
        for (auto n = below(random, 10); n > 0; --n) {
            const auto requests = static_cast<unsigned>(below(random, 9));
            const auto tokens = static_cast<double>(below(random, 9000)) / 8;
            loads[runnerHash(runner())] = { requests, tokens, requests / 2, tokens / 4 };
        }
        return loads;
    }
    RunnerFailures makeFailures()
    {
        return { { runnerHash(runner()) }, { holderHash(runner(), Incarnation(1)) },
            { { holderHash(runner(), Incarnation(2)), 20ms } } };
    }

    void step()
    {
        UpstreamId id;
        const VmId vm("vm-" + std::to_string(below(random, 4)));
        const auto urgency = isOneIn(random, 2) ? RouteUrgency::Urgent : RouteUrgency::Yielding;
        const auto tokens = static_cast<double>(below(random, 4000));
        switch (below(random, 30)) {
        case 0:
            limitedTable.markEntryEnded(runner());
            break;
        case 1:
            limitedTable.replaceEntries(
                { makeEntry(), makeEntry(), makeEntry(), makeEntry(), makeEntry(), makeEntry() });
            break;
        case 2:
            limitedTable.restoreEntries({ makeEntry(), makeEntry(), makeEntry(), makeEntry(), makeEntry() });
            break;
        case 3:
            limitedTable.endMissingEntries();
            break;
        case 4:
            limitedTable.setTargetWeights("model", 3 + static_cast<WeightsVersion>(below(random, 4)), clock.now(),
                isOneIn(random, 2) ? ChangeSource::Event : ChangeSource::Read);
            break;
        case 5:
            limitedTable.recordRefusal(runner(), 300ms);
            break;
        case 6:
            limitedTable.onWeightsMismatch(runner(), "model", 3);
            break;
        case 7:
            limitedTable.recordConnectFailure(runner());
            break;
        case 8:
            limitedTable.recordLeaving(runner(), Incarnation(1), LeavingSource::Response, RequestId("q"));
            break;
        case 9:
            id = runner();
            limitedTable.recordBackOff(id, Incarnation(1 + below(random, 6)), 700ms, RequestId("q"));
            break;
        case 10:
            limitedTable.recordRemoteFailures(vm, makeFailures());
            break;
        case 11:
            limitedTable.setLoadingRunners(vm, { runnerHash(runner()), runnerHash(runner()) });
            break;
        case 12:
            limitedTable.setLoadingRunners(vm, {});
            break;
        case 13:
            limitedTable.clearRemoteLoad(vm);
            break;
        case 14:
            evacuations.evacuated = ZoneId(isOneIn(random, 2) ? "" : oneOf(random, zones));
            break;
        case 15:
            evacuations.returned = ZoneId(isOneIn(random, 2) ? "" : oneOf(random, zones));
            evacuations.returnedAt = clock.now();
            break;
        case 16:
            clock.advance(isOneIn(random, 8) ? 70s : std::chrono::seconds(1 + below(random, 3)));
            break;
        case 17:
            for (unsigned n = 0; n < 4; ++n) {
                limitedTable.recordEnded(failing, 0, n > 0 ? RunnerResult::Failed : RunnerResult::Refused, urgency);
            }
            failing = runner();
            break;
        case 18:
            limitedTable.recordEnded(runner(), tokens, RunnerResult::Succeeded, urgency);
            break;
        case 19:
            limitedTable.setRemoteLoad(vm, makeLoads());
            break;
        case 20:
            limitedTable.recordSent(runner(), tokens, urgency);
            break;
        default:
            update();
        }
        clock.advance(std::chrono::milliseconds(below(random, 200)));
    }

    /// The candidates of one query as text.
    std::string query()
    {
        VersionRule versions;
        if (isOneIn(random, 4)) {
            versions.only = VersionId("2026.1");
        } else if (isOneIn(random, 4)) {
            versions.excluded.insert(VersionId("2026.0"));
        }
        const RegionMap regions { { ZoneId("a"), RegionId("north") }, { ZoneId("b"), RegionId("south") } };
        HomeRegions home(regions);
        if (isOneIn(random, 6)) {
            home.restrictTo(std::array { RegionId("north") });
        }
        std::string text;
        const ServiceId service(isOneIn(random, 3) ? "cold" : "app");
        for (const auto& it : limitedTable.candidates(service, model(), versions, home)) {
            const auto rounded = [](double value) { return std::to_string(std::llround(value * 1024)); };
            text += it.id.value() + " " + it.endpoint->toString() + " " + it.zone.value() + " " + it.software.value()
                + " " + std::to_string(it.incarnation.value()) + " " + std::to_string(it.slots) + " w"
                + std::to_string(it.weights) + " " + std::to_string(it.beginBy ? it.beginBy->count() : -1) + " "
                + std::to_string(it.load.requests) + " " + std::to_string(it.load.urgentRequests) + " "
                + rounded(it.load.waitingTokens) + " " + rounded(it.load.yieldingTokens) + " " + rounded(it.admission)
                + (it.isCold ? " cold" : "") + (it.isInPromptPool ? " pool" : "") + "\n";
        }
        return text;
    }

    Random random;
    FixedEvacuations evacuations { clock };
    ColdRunnerLimit coldLimit { clock, {}, 1 };
    RunnerTable limitedTable { clock, timeline, {}, { &evacuations, &routing, &coldLimit } };
    UpstreamId failing;
};

} // namespace

// A faster list of candidates must not change who may get a request. The values were recorded with the list that
// examines every runner of the table by its fields (commit 95bef96).
Test(RunnerCandidates, equalTheRecordedOnes)
{
    constexpr std::array<std::uint64_t, 8> recorded { 0x346F48E97500BC2B, 0x89BF50E951AF0F9A, 0x8DA5B9D8D25CB2A4,
        0x1584184AEE55D749, 0x61E5DA4A946713F3, 0x315918EEA1211D0F, 0xF5C5D3C41783328B, 0x1D2061594FAE720F };
    constexpr std::uint64_t walks = 60;
    for (std::uint64_t n = 0; n < recorded.size(); ++n) {
        std::uint64_t digest = 0;
        std::size_t lines = 0;
        for (std::uint64_t seed = n * walks; seed < (n + 1) * walks; ++seed) {
            TableWalk walk(seed);
            for (unsigned steps = 0; steps < 80; ++steps) {
                walk.step();
                const auto text = walk.query();
                lines += static_cast<std::size_t>(std::ranges::count(text, '\n'));
                digest = XXH3_64bits_withSeed(text.data(), text.size(), digest);
            }
        }
        cr_expect(digest == recorded[n], "walks from %llu: 0x%llX, %zu candidates",
            static_cast<unsigned long long>(n * walks), static_cast<unsigned long long>(digest), lines);
    }
}
