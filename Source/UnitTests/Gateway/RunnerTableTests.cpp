#include "Gateway/GatewayFixture.h"

#include <limits>
#include <random>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

struct RunnerFixture {
    RunnerFixture()
    {
        runners.updateEntry(makeRunner("r1"));
        runners.updateEntry(makeRunner("r2"));
    }

    std::vector<std::string> candidates(const std::string& model = "")
    {
        std::vector<std::string> ids;
        for (const auto& it : runners.candidates(ServiceId("app"), model)) {
            ids.push_back(it.id.value());
        }
        return ids;
    }

    ManualClock clock;
    Timeline timeline { clock, "test" };
    RunnerTable runners { clock, timeline, { .maxOldWeightsTime = 6500ms } };
};

const std::vector<std::string> both { "r1", "r2" };
const std::vector<std::string> first { "r1" };
const std::vector<std::string> second { "r2" };

} // namespace

// A draining runner gets no new requests, even if a delayed entry shows it as ready. A new incarnation is used.
Test(RunnerTable, excludesDrainingRunners)
{
    RunnerFixture fixture;
    auto entry = makeRunner("r1");
    entry.state = RunnerState::Draining;
    fixture.runners.updateEntry(entry);
    cr_assert(fixture.candidates() == second);
    fixture.runners.updateEntry(makeRunner("r1"));
    cr_assert(fixture.candidates() == second);
    entry = makeRunner("r1");
    entry.incarnation = Incarnation(2);
    fixture.runners.updateEntry(entry);
    cr_assert(fixture.candidates() == both);
}

// Entries may expire because the store is unavailable. Their runners are used if there are no others, but not longer
// than the drain limit allows for runners that did stop.
Test(RunnerTable, usesExpiredEntriesOnlyWithoutOthersAndForALimitedTime)
{
    RunnerFixture fixture;
    fixture.runners.markEntryEnded(UpstreamId("r1"));
    cr_assert(fixture.candidates() == second);
    fixture.runners.markEntryEnded(UpstreamId("r2"));
    cr_assert(fixture.candidates() == both);
    fixture.clock.advance(1600ms);
    cr_assert(fixture.candidates().empty());
}

// The entry of a draining runner ends because the runner stopped, so it is not used like an expired one.
Test(RunnerTable, excludesADrainingRunnerWhenItsEntryEnds)
{
    RunnerFixture fixture;
    for (const auto* id : { "r1", "r2" }) {
        auto entry = makeRunner(id);
        entry.state = RunnerState::Draining;
        fixture.runners.updateEntry(entry);
        fixture.runners.markEntryEnded(UpstreamId(id));
    }
    cr_assert(fixture.candidates().empty());
}

// Requests may begin on older weights only within the limit after a new target was set.
Test(RunnerTable, excludesOldWeightsAfterTheLimit)
{
    RunnerFixture fixture;
    auto entry = makeRunner("r2");
    entry.weights["model"] = 2;
    fixture.runners.updateEntry(entry);
    fixture.runners.setTargetWeights("model", 2, fixture.clock.now(), ChangeSource::Event);
    fixture.clock.advance(6400ms);
    cr_assert(fixture.candidates("model") == both);
    fixture.clock.advance(200ms);
    cr_assert(fixture.candidates("model") == second);
}

// A newer target must not restart the limit of an earlier one.
Test(RunnerTable, appliesTheLimitToEachTargetVersion)
{
    RunnerFixture fixture;
    fixture.runners.setTargetWeights("model", 2, fixture.clock.now(), ChangeSource::Event);
    fixture.clock.advance(4s);
    fixture.runners.setTargetWeights("model", 3, fixture.clock.now(), ChangeSource::Event);
    fixture.clock.advance(3s);
    cr_assert(fixture.candidates("model").empty());
}

// A restarted router must not count the age of the target weights from its own start: requests began on old weights 8.3
// s after a new target was set. Without a report from another VM the target counts as old.
Test(RunnerTable, treatsTargetsOfUnknownAgeAsOldUntilReported)
{
    RunnerFixture fixture;
    auto entry = makeRunner("r2");
    entry.weights["model"] = 2;
    fixture.runners.updateEntry(entry);
    fixture.runners.setTargetWeights("model", 2, MonotonicTime(0), ChangeSource::Read);
    cr_assert(fixture.candidates("model") == second);
    fixture.runners.setTargetWeightsAge(modelHash("model"), 2, 3s);
    cr_assert(fixture.candidates("model") == both);
    fixture.clock.advance(3600ms);
    cr_assert(fixture.candidates("model") == second);
}

// A VM that restarts after versions were named in quick succession reads only the newest one. Requests began on version
// 1 up to 6.5 s after version 3 had been named, although the limit of version 2 had passed.
Test(RunnerTable, appliesTheLimitOfAVersionThatItNeverRead)
{
    RunnerFixture fixture;
    auto entry = makeRunner("r2");
    entry.weights["model"] = 2;
    fixture.runners.updateEntry(entry);
    fixture.runners.setTargetWeights("model", 3, MonotonicTime(0), ChangeSource::Read);
    fixture.runners.setTargetWeightsAge(modelHash("model"), 3, 1s);
    cr_assert(fixture.candidates("model") == second);
    fixture.runners.setTargetWeightsAge(modelHash("model"), 2, 4s);
    cr_assert(fixture.candidates("model") == both);
    fixture.clock.advance(2600ms);
    cr_assert(fixture.candidates("model") == second);
}

// The other VMs must learn the age of each target that still limits older weights, not only of the newest.
Test(RunnerTable, reportsTheAgesOfAllRecentTargets)
{
    RunnerFixture fixture;
    fixture.clock.advance(1h);
    fixture.runners.setTargetWeights("model", 2, fixture.clock.now(), ChangeSource::Event);
    fixture.clock.advance(4s);
    fixture.runners.setTargetWeights("model", 3, fixture.clock.now(), ChangeSource::Event);
    fixture.clock.advance(1s);
    const auto ages = fixture.runners.targetWeightsAges();
    cr_assert_eq(ages.size(), 2);
    cr_assert(ages.front().version == 2 && ages.front().age == 5s);
    cr_assert(ages.back().version == 3 && ages.back().age == 1s);
}

// A VM that was paused reads a change late and takes its target for newer than it is. It must use the older age that
// another VM reports: requests began on old weights 10 s after the target had been set.
Test(RunnerTable, takesOverTheOlderAgeOfATarget)
{
    RunnerFixture fixture;
    auto entry = makeRunner("r2");
    entry.weights["model"] = 2;
    fixture.runners.updateEntry(entry);
    fixture.clock.advance(1h);
    fixture.runners.setTargetWeights("model", 2, fixture.clock.now(), ChangeSource::Event);
    fixture.runners.setTargetWeightsAge(modelHash("model"), 2, 4s);
    fixture.runners.setTargetWeightsAge(modelHash("model"), 2, 1s);
    fixture.clock.advance(2600ms);
    cr_assert(fixture.candidates("model") == second);
}

// A runner that loads weights by order of any VM gets no requests while others are available.
Test(RunnerTable, excludesLoadingRunners)
{
    RunnerFixture fixture;
    fixture.runners.setLoadingRunners(VmId("other"), { runnerHash(UpstreamId("r1")) });
    cr_assert(fixture.candidates() == second);
    fixture.runners.clearRemoteLoad(VmId("other"));
    cr_assert(fixture.candidates() == both);
}

// The entry of a runner shows loaded weights up to two seconds late. Requests that still expected the old weights were
// refused (2,540 of 17,111). An entry that was written before the load must not restore the old weights, but one of a
// new incarnation does.
Test(RunnerTable, keepsReportedLoadsUntilTheEntryShowsThem)
{
    RunnerFixture fixture;
    const auto weightsOf
        = [&fixture](const std::string& id) { return fixture.runners.find(UpstreamId(id))->weights.at("model"); };
    const std::array loaded { LoadedWeights { runnerHash(UpstreamId("r1")), modelHash("model"), 3 },
        LoadedWeights { runnerHash(UpstreamId("r2")), modelHash("other"), 3 } };
    fixture.runners.recordLoadedWeights(loaded);
    cr_assert(weightsOf("r1") == 3 && weightsOf("r2") == 1);
    fixture.runners.updateEntry(makeRunner("r1"));
    cr_assert_eq(weightsOf("r1"), 3);
    auto restarted = makeRunner("r1");
    restarted.incarnation = Incarnation(99);
    fixture.runners.updateEntry(restarted);
    cr_assert_eq(weightsOf("r1"), 1);
}

// A VM that receives no reports of loads must infer new weights from a refusal instead of expecting the old ones again,
// which caused 2,122 refusals. The inferred weights must not appear in the entry, since the driver would then not order
// a load that is still needed.
Test(RunnerTable, infersTargetWeightsAfterAMismatch)
{
    RunnerFixture fixture;
    const auto weightsOf = [&fixture] { return fixture.runners.candidates(ServiceId("app"), "model").front().weights; };
    fixture.runners.setTargetWeights("model", 3, fixture.clock.now(), ChangeSource::Event);
    fixture.runners.onWeightsMismatch(UpstreamId("r1"), "model", 1);
    cr_assert_eq(weightsOf(), 3);
    cr_assert_eq(fixture.runners.find(UpstreamId("r1"))->weights.at("model"), 1);
    auto entry = makeRunner("r1");
    entry.weights["model"] = 2;
    fixture.runners.updateEntry(entry);
    cr_assert_eq(weightsOf(), 2);
    fixture.runners.onWeightsMismatch(UpstreamId("r1"), "model", 2);
    fixture.runners.onWeightsMismatch(UpstreamId("r1"), "model", 3);
    cr_assert(fixture.candidates("model") == second);
}

// Failed connections are reported, so that not every VM has to detect a crashed runner itself: 82 VMs had 2,600
// connections refused. Two VMs must agree, since one alone may be cut off itself.
Test(RunnerTable, avoidsARunnerThatTwoVmsCannotReach)
{
    RunnerFixture fixture;
    const RunnerFailures failures { { runnerHash(UpstreamId("r1")) }, {} };
    fixture.runners.recordRemoteFailures(VmId("vm-1"), failures);
    fixture.runners.recordRemoteFailures(VmId("vm-1"), failures);
    cr_assert(fixture.candidates() == both);
    fixture.runners.recordRemoteFailures(VmId("vm-2"), failures);
    cr_assert(fixture.candidates() == second);
    cr_assert(fixture.runners.recentFailures().isEmpty());
    fixture.clock.advance(1100ms);
    cr_assert(fixture.candidates() == both);
    fixture.runners.recordConnectFailure(UpstreamId("r2"));
    cr_assert(fixture.candidates() == first);
    cr_assert(fixture.runners.recentFailures().unreachable == std::vector { runnerHash(UpstreamId("r2")) });
}

// An incarnation of a runner whose address another process uses must not get requests again: 82 VMs sent requests for
// the previous processes of 42 restarted runners every 1.2 s until the entries expired. A new incarnation is used at
// once.
Test(RunnerTable, excludesAReplacedIncarnation)
{
    RunnerFixture fixture;
    const auto hash = holderHash(UpstreamId("r1"), makeRunner("r1").incarnation);
    fixture.runners.recordRemoteFailures(VmId("vm-1"), { {}, { hash } });
    fixture.clock.advance(3s);
    fixture.runners.updateEntry(makeRunner("r1"));
    cr_assert(fixture.candidates() == second);
    auto restarted = makeRunner("r1");
    restarted.incarnation = Incarnation(99);
    fixture.runners.updateEntry(restarted);
    cr_assert(fixture.candidates() == both);
    fixture.runners.markReplaced(UpstreamId("r1"));
    cr_assert(fixture.runners.recentFailures().replaced
        == std::vector { holderHash(UpstreamId("r1"), restarted.incarnation) });
    fixture.runners.markReplaced(UpstreamId("r2"));
    cr_assert(fixture.candidates().empty());
}

// Guards against requests for a service that a runner does not belong to: another program wrote an entry under its id,
// without the start time that the runner tells.
Test(RunnerTable, doesNotUseAnEntryOfAnotherWriter)
{
    RunnerFixture fixture;
    auto other = makeRunner("r1", "other");
    other.incarnation = Incarnation(0);
    const auto usesOther = [&] { return !fixture.runners.candidates(ServiceId("other"), "").empty(); };
    fixture.runners.updateEntry(other);
    fixture.clock.advance(3s);
    cr_assert(!usesOther() && fixture.candidates() == second);
    fixture.runners.updateEntry(makeRunner("r1"));
    cr_assert(fixture.candidates() == both);
    fixture.runners.replaceEntries({ other, makeRunner("r2") });
    fixture.clock.advance(3s);
    cr_assert(!usesOther() && fixture.candidates() == second);
    // Some deployments have no start times.
    auto unnamed = makeRunner("r9", "other");
    unnamed.incarnation = Incarnation(0);
    fixture.runners.updateEntry(unnamed);
    cr_assert(usesOther());
}

// A runner that has just refused a request is avoided for the given time.
Test(RunnerTable, avoidsARunnerThatRefused)
{
    RunnerFixture fixture;
    fixture.runners.recordRefusal(UpstreamId("r2"), 1s);
    cr_assert(fixture.candidates() == first);
    fixture.clock.advance(1s);
    cr_assert(fixture.candidates() == both);
}

// The load of a candidate is the sum over all VMs; finished work must not remain in it.
Test(RunnerTable, sumsTheWorkOfAllVms)
{
    RunnerFixture fixture;
    const UpstreamId runner("r1");
    fixture.runners.recordSent(runner, 100);
    fixture.runners.setRemoteLoad(VmId("other"), { { runnerHash(runner), { 2, 50 } } });
    auto load = fixture.runners.candidates(ServiceId("app"), "").front().load;
    cr_assert_eq(load.requests, 3);
    cr_assert_float_eq(load.waitingTokens, 150, 1e-6);
    fixture.runners.recordFirstOutput(runner, 100);
    fixture.runners.recordEnded(runner, 0, RunnerResult::Succeeded);
    fixture.runners.setRemoteLoad(VmId("other"), {});
    load = fixture.runners.candidates(ServiceId("app"), "").front().load;
    cr_assert_eq(load.requests, 0);
    cr_assert_float_eq(load.waitingTokens, 0, 1e-6);
}

// The sums are kept from report to report. They must not drift, whatever the order of reports, silences and entries.
Test(RunnerTable, keepsTheSumsOfReportedWork)
{
    ManualClock clock;
    Timeline timeline(clock, "test");
    RunnerTable runners(clock, timeline, {});
    std::mt19937 random(1);
    std::map<VmId, std::map<std::uint64_t, RunnerLoad>> reports;
    const auto id = [](unsigned n) { return UpstreamId("r" + std::to_string(n)); };
    for (unsigned step = 0; step < 3000; ++step) {
        const VmId vm("vm" + std::to_string(random() % 7));
        if (random() % 5 == 0) {
            runners.clearRemoteLoad(vm);
            reports.erase(vm);
        } else {
            auto& loads = reports[vm];
            loads.clear();
            for (unsigned n = random() % 6; n > 0; --n) {
                const auto requests = static_cast<unsigned>(random() % 40);
                loads[runnerHash(id(random() % 8))]
                    = { requests, static_cast<float>(random() % 1'000'000) / 7, requests / 2, 0 };
            }
            runners.setRemoteLoad(vm, loads);
        }
        if (step % 300 == 0) {
            runners.updateEntry(makeRunner(id(step / 300).value()));
        }
    }
    for (const auto& candidate : runners.candidates(ServiceId("app"), "")) {
        RunnerLoad expected;
        for (const auto& [vm, loads] : reports) {
            if (const auto it = loads.find(runnerHash(candidate.id)); it != loads.end()) {
                expected.requests += it->second.requests;
                expected.urgentRequests += it->second.urgentRequests;
                expected.waitingTokens += it->second.waitingTokens;
            }
        }
        cr_assert_eq(candidate.load.requests, expected.requests);
        cr_assert_eq(candidate.load.urgentRequests, expected.urgentRequests);
        cr_assert_float_eq(candidate.load.waitingTokens, expected.waitingTokens, 0.05);
    }
    for (unsigned n = 0; n < 7; ++n) {
        runners.clearRemoteLoad(VmId("vm" + std::to_string(n)));
    }
    for (const auto& candidate : runners.candidates(ServiceId("app"), "")) {
        cr_assert(candidate.load == RunnerLoad {});
    }
}

// A report with absurd values must not make a runner unusable for longer than the report counts.
Test(RunnerTable, boundsAbsurdReports)
{
    RunnerFixture fixture;
    const auto load = [&] { return fixture.runners.candidates(ServiceId("app"), "").front().load; };
    const double nan = std::numeric_limits<double>::quiet_NaN();
    const double infinity = std::numeric_limits<double>::infinity();
    for (const double tokens : { nan, infinity, -infinity, -5.0, 1e300 }) {
        fixture.runners.setRemoteLoad(
            VmId("vm"), { { runnerHash(UpstreamId("r1")), { 0xffffffff, tokens, 0xffffffff, tokens } } });
        cr_assert(load().waitingTokens >= 0 && load().waitingTokens <= 1e9);
        cr_assert(load().requests <= 100'000);
    }
    fixture.runners.clearRemoteLoad(VmId("vm"));
    cr_assert(load() == RunnerLoad {});
}
