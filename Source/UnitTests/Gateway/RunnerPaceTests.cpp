#include "Gateway/GatewayFixture.h"
#include "Gateway/RunnerPace.h"

#include <array>
#include <cmath>
#include <limits>
#include <random>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

/// Streams of one route in virtual time, one at each runner of a service. Events of a runner of speed 1 are 50 ms apart
/// with a spread of 20%.
class PaceReplay {
public:
    explicit PaceReplay(std::vector<double> runnerSpeeds)
        : speeds(std::move(runnerSpeeds))
        , m_nextEvent(speeds.size(), clock.now())
        , m_lastEvent(speeds.size(), clock.now())
    {
        for (std::size_t n = 0; n < speeds.size(); ++n) {
            runners.front().push_back(n + 1);
        }
    }

    void run(std::chrono::milliseconds duration)
    {
        std::uniform_real_distribution<double> spread(0.8, 1.2);
        for (const auto end = clock.now() + duration; clock.now() < end; clock.advance(5ms)) {
            for (std::size_t n = 0; n < speeds.size(); ++n) {
                if (clock.now() < m_nextEvent[n]) {
                    continue;
                }
                pace.recordPause("route", n + 1, clock.now() - m_lastEvent[n]);
                m_lastEvent[n] = clock.now();
                m_nextEvent[n] += std::chrono::microseconds(std::llround(50'000 * spread(m_random) / speeds[n]));
            }
            if (clock.now() >= m_nextUpdate) {
                pace.update(runners);
                m_nextUpdate = clock.now() + RunnerPace::updateInterval;
            }
        }
    }

    ManualClock clock;
    std::vector<double> speeds;
    std::vector<std::vector<std::uint64_t>> runners { {} };
    RunnerPace pace { clock };

private:
    std::mt19937 m_random { 1 };
    std::vector<MonotonicTime> m_nextEvent;
    std::vector<MonotonicTime> m_lastEvent;
    MonotonicTime m_nextUpdate { 0 };
};

/// Ratios of 20 events for each of some runners.
std::vector<PaceSample> samplesOf(const std::vector<double>& ratios)
{
    std::vector<PaceSample> samples;
    for (std::size_t n = 0; n < ratios.size(); ++n) {
        samples.push_back({ n + 1, ratios[n] * 20, 20 });
    }
    return samples;
}

class RecordingPace final : public PaceCommands {
public:
    void recordPause(const std::string& route, std::uint64_t runner, std::chrono::nanoseconds pause) override
    {
        cr_assert_eq(route, "/stream/");
        cr_assert_neq(runner, 0);
        pauses.push_back(pause);
    }

    std::vector<std::chrono::nanoseconds> pauses;
};

} // namespace

// Runners of lasting different speeds must be found, relative to the median runner, and count as uneven.
Test(RunnerPace, measuresLastingDifferences)
{
    PaceReplay replay({ 1, 0.7, 1, 1.7, 1, 0.7, 1, 1.7, 1 });
    replay.run(3s);
    cr_assert(!replay.pace.isUneven(), "load makes runners differ for a shorter time");
    replay.run(5s);
    cr_assert_float_eq(replay.pace.speedOf(2), 0.7, 0.1);
    cr_assert_float_eq(replay.pace.speedOf(4), 1.7, 0.2);
    cr_assert_eq(replay.pace.speedOf(1), 1);
    cr_assert_eq(replay.pace.speeds().size(), 4);
    cr_assert(replay.pace.isUneven());
    replay.speeds.assign(9, 1);
    replay.run(3s);
    cr_assert(replay.pace.speeds().empty());
    replay.run(RunnerPace::unevenRetention);
    cr_assert(!replay.pace.isUneven());
}

// A runner that is 2.5 times slower for 0.6 s must be found while it matters, and be back at its full share soon.
Test(RunnerPace, findsARunnerThatIsSlowForAMoment)
{
    PaceReplay replay(std::vector<double>(9, 1));
    replay.run(5s);
    replay.speeds[3] = 0.4;
    replay.run(600ms);
    replay.speeds[3] = 1;
    replay.run(300ms);
    cr_assert_lt(replay.pace.speedOf(4), 1 / RunnerPace::unevenFactor);
    replay.run(1700ms);
    cr_assert_eq(replay.pace.speedOf(4), 1);
    cr_assert(!replay.pace.isUneven());
}

// Fleets of nearly equal runners must be served as before.
Test(RunnerPace, takesNearlyEqualRunnersForEqual)
{
    PaceReplay replay({ 1, 0.85, 1.15, 1, 0.9, 1.1, 1 });
    for (int second = 0; second < 20; ++second) {
        replay.run(1s);
        cr_assert(replay.pace.speeds().empty());
        cr_assert(!replay.pace.isUneven());
    }
}

// The speeds are looked up in a table with open addressing: runners whose hashes share their low bits must neither get
// each other's speed nor lose their own.
Test(RunnerPace, findsSpeedsOfRunnersWithSimilarHashes)
{
    ManualClock clock;
    RunnerPace pace(clock);
    std::vector<std::uint64_t> runners;
    std::vector<PaceSample> samples;
    for (std::uint64_t n = 0; n < 200; ++n) {
        // Runner 0 has the hash 0.
        runners.push_back(n * 4096);
        samples.push_back({ runners.back(), n % 4 == 0 ? 40.0 : 20.0, 20 });
    }
    pace.recordRemote(samples, true);
    pace.update(std::array { runners });
    std::vector<double> speeds(runners.size(), 7);
    pace.speedsOf(runners, speeds);
    for (std::size_t n = 0; n < runners.size(); ++n) {
        cr_assert_float_eq(speeds[n], n % 4 == 0 ? 0.5 : 1, 1e-6, "runner %zu", n);
        cr_assert_eq(speeds[n], pace.speedOf(runners[n]));
    }
    cr_assert_eq(pace.speedOf(1), 1);
}

// A runner without recent streams, e.g. because it got none while it was slow, must be used again.
Test(RunnerPace, forgetsOldSpeeds)
{
    ManualClock clock;
    RunnerPace pace(clock);
    const std::vector<std::vector<std::uint64_t>> runners { { 1, 2, 3, 4 } };
    pace.recordRemote(samplesOf({ 1, 1, 1, 2 }), true);
    pace.update(runners);
    cr_assert_float_eq(pace.speedOf(4), 0.5, 1e-6);
    clock.advance(RunnerPace::maxAge + 1ms);
    cr_assert_eq(pace.speedOf(4), 1, "also if nothing updates the speeds");
    pace.update(runners);
    cr_assert(pace.speeds().empty());
}

// A VM with few streams must know the speeds from the reports of the others, and a relay must pass on the samples of
// its zone but not those of other zones.
Test(RunnerPace, poolsTheReportsOfOtherVms)
{
    PaceReplay other({ 1, 1, 1, 0.5, 1 });
    other.run(4s);
    const auto report = other.pace.takeReport();
    cr_assert_eq(report.size(), 5);
    cr_assert(other.pace.takeReport().empty(), "samples are reported once");
    ManualClock clock;
    RunnerPace pace(clock);
    pace.recordRemote(report, true);
    pace.update(other.runners);
    cr_assert_float_eq(pace.speedOf(4), 0.5, 0.1);
    cr_assert_eq(pace.takeZoneReport().size(), 5);
    cr_assert(pace.takeReport().empty());
    pace.recordRemote(report, false);
    cr_assert(pace.takeZoneReport().empty());
}

// Values that cannot be a runner's speed must have no effect, and forged ones only a bounded one that ends with them.
Test(RunnerPace, boundsTheEffectOfForgedReports)
{
    ManualClock clock;
    RunnerPace pace(clock);
    const std::vector<std::vector<std::uint64_t>> runners { { 1, 2, 3, 4 } };
    pace.recordRemote(samplesOf({ 1, 1, 1, 1 }), true);
    const double nan = std::numeric_limits<double>::quiet_NaN();
    const double infinity = std::numeric_limits<double>::infinity();
    pace.recordRemote(std::array { PaceSample { 1, nan, 5 }, PaceSample { 1, infinity, 5 }, PaceSample { 2, -40, 20 },
                          PaceSample { 2, 0, 20 }, PaceSample { 3, 5, 0 }, PaceSample { 3, 1e30, 20 },
                          PaceSample { 4, 1, 0xffffffff } },
        true);
    pace.update(runners);
    cr_assert(pace.speeds().empty());
    for (std::uint64_t n = 0; n < 100'000; ++n) {
        pace.recordRemote(std::array { PaceSample { 1000 + n, 200, 20 } }, true);
    }
    cr_assert_leq(pace.takeZoneReport().size(), 256);
    pace.recordRemote(std::array { PaceSample { 4, 9e9, 1'000'000'000 } }, true);
    pace.update(runners);
    cr_assert_geq(pace.speedOf(4), 0.3);
    for (int n = 0; n < 10; ++n) {
        clock.advance(250ms);
        pace.recordRemote(samplesOf({ 1, 1, 1, 1 }), true);
    }
    pace.update(runners);
    cr_assert(pace.speeds().empty());
}

// The median of two runners says nothing about either.
Test(RunnerPace, needsThreeRunnersToCompare)
{
    PaceReplay replay({ 0.5, 1 });
    replay.run(10s);
    cr_assert(replay.pace.speeds().empty());
}

// The pauses between events are measured, not the time to the first event. Events that waited while the caller read
// slowly show a pause that is too short, which would make the runner look fast.
Test(ForwardDispatcher, measuresThePausesOfStreams)
{
    GatewayFixture fixture;
    RecordingPace pace;
    ForwardDispatcher dispatcher(
        { fixture.clock, fixture.routing, fixture.freshness, fixture.runners, fixture.runners, fixture.policy,
            fixture.directory, fixture.quota, fixture.retryBudget, fixture.scripted, fixture.metrics, fixture.log,
            fixture.quarantine, fixture.quarantine, fixture.crashes, fixture.rollouts, fixture.rollouts, 2, &pace });
    const ScriptedAttempt attempt { .isEventStream = true,
        .parts = { "id: 1\ndata: x\n\n", "id: 2\ndata: x\n\n", "id: 3\ndata: x\n\n" },
        .partInterval = 40ms,
        .headSilence = 300ms };
    for (const auto writeTime : { 0ms, 30ms }) {
        pace.pauses.clear();
        fixture.scripted.script = { attempt };
        fixture.sink.onWrite = [&fixture, writeTime] { fixture.clock.advance(writeTime); };
        const auto request = fixture.makeRequest("/stream/x");
        cr_assert(runTask(fixture.context, dispatcher.forward(request, fixture.clock.now(), fixture.sink)));
        if (writeTime == 0ms) {
            cr_assert(pace.pauses == (std::vector<std::chrono::nanoseconds> { 40ms, 40ms }));
        } else {
            cr_assert(pace.pauses.empty());
        }
    }
}
