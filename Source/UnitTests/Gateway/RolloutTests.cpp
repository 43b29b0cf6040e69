#include "Gateway/FleetReportCodec.h"
#include "Gateway/GatewayFixture.h"
#include "Gateway/RolloutRecords.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

const ServiceId service("app");
const VersionId oldVersion("v1");
const VersionId target("v2");
constexpr auto duration = 15s;

RolloutOrder makeOrder(std::int64_t revision = 50) { return { service, target, duration, revision }; }

/// A fleet of VMs that send requests in turn and report to each other every 250 ms.
struct RolloutFleet {
    explicit RolloutFleet(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            vms.push_back(std::make_unique<RolloutTable>(clock, timeline, metrics));
            vms.back()->adoptOrder(makeOrder(), clock.now() - 100ms);
        }
    }

    /// Sends one request through a VM.
    /// @return Whether it went to the target version.
    bool send(std::size_t vm, const std::function<VersionResult(bool isTarget)>& result)
    {
        const RequestId id("q" + std::to_string(++requests));
        const auto rules = vms[vm]->versionsFor(service, id, std::nullopt);
        const bool isTarget = rules.front().permits(target);
        cr_assert(isTarget || rules.front().permits(oldVersion));
        const auto attempt = vms[vm]->recordSent(service, isTarget ? target : oldVersion, "route", 1);
        targetRequests += isTarget ? 1 : 0;
        vms[vm]->recordEnded(attempt, result(isTarget));
        return isTarget;
    }

    void report()
    {
        for (std::size_t i = 0; i < vms.size(); ++i) {
            for (std::size_t j = 0; j < vms.size(); ++j) {
                if (i != j && !(isCut && (i == 0 || j == 0))) {
                    vms[j]->recordRemote(VmId("vm" + std::to_string(i)), vms[i]->reports());
                }
            }
        }
    }

    /// Runs the fleet at a rate of requests per second.
    void run(std::chrono::milliseconds time, unsigned rate, const std::function<VersionResult(bool isTarget)>& result)
    {
        const auto end = clock.now() + time;
        for (unsigned tick = 0; clock.now() < end; ++tick) {
            clock.advance(50ms);
            for (unsigned i = 0; i < rate / 20; ++i) {
                send(requests % vms.size(), result);
            }
            if (tick % 5 == 0) {
                report();
            }
            for (auto& vm : vms) {
                vm->refresh(true, vms.size());
            }
        }
    }

    ManualClock clock;
    MetricTable metrics;
    Timeline timeline { clock, "test" };
    std::vector<std::unique_ptr<RolloutTable>> vms;
    unsigned requests = 0;
    unsigned targetRequests = 0;
    /// The first VM and the others do not receive each other's reports.
    bool isCut = false;
};

VersionResult succeed(bool) { return VersionResult::Succeeded; }
VersionResult failTarget(bool isTarget) { return isTarget ? VersionResult::Failed : VersionResult::Succeeded; }

RunnerEntry makeVersionedRunner(const std::string& id, const VersionId& version)
{
    auto entry = makeRunner(id);
    entry.software = version;
    return entry;
}

} // namespace

// Guards against new runners that get their share like all others: a bad version got 206 of 729 requests of its
// roll-out where 123 were allowed. The bound must hold without a verdict and without reports between the VMs.
Test(RolloutTable, boundsTheExposureOfAVersionWithoutAVerdict)
{
    for (const bool isCut : { false, true }) {
        RolloutFleet fleet(9);
        fleet.isCut = isCut;
        fleet.run(20s, 60, succeed);
        cr_assert_leq(fleet.targetRequests, 0.1 * fleet.requests + 50);
        cr_assert_gt(fleet.targetRequests, 20);
    }
}

// Guards against a bad version that stays in use until its verdict is written, e.g. while the store is down.
Test(RolloutTable, stopsUsingARejectedVersionBeforeTheVerdict)
{
    RolloutFleet fleet(9);
    fleet.run(10s, 60, failTarget);
    const auto before = fleet.targetRequests;
    cr_assert_lt(before, 30);
    fleet.run(30s, 60, succeed);
    cr_assert_eq(fleet.targetRequests, before);
    const auto changes = fleet.vms[3]->dueChanges();
    cr_assert(changes.size() == 1 && changes[0].record.state == RolloutState::RolledBack);
    cr_assert_eq(changes[0].record.reason, MoveReason::Failures);
}

// Guards against good versions that are never completed: their time limit passed and the order counted as missed.
Test(RolloutTable, completesAGoodVersionBeforeTheTimeLimit)
{
    RolloutFleet fleet(9);
    fleet.run(14s, 60, succeed);
    cr_assert(fleet.vms[0]->dueChanges().at(0).record.state == RolloutState::Running);
    fleet.run(850ms, 60, succeed);
    const auto changes = fleet.vms[0]->dueChanges();
    cr_assert(changes.size() == 1 && changes[0].record.state == RolloutState::Complete);
    fleet.vms[0]->adoptRecord(changes[0].record, 60);
    cr_assert(fleet.vms[0]->dueChanges().empty());
    const auto rules = fleet.vms[0]->versionsFor(service, RequestId("q"), std::nullopt);
    cr_assert(rules.front().permits(target) && !rules.front().permits(oldVersion));
    // The other VMs learn it from the report.
    fleet.report();
    cr_assert(!fleet.vms[5]->versionsFor(service, RequestId("q"), std::nullopt).front().permits(oldVersion));
}

// Guards against a version that comes back into use after its verdict, or whose verdict another VM changes.
Test(RolloutTable, keepsTheVerdictUntilANewOrder)
{
    RolloutFleet fleet(1);
    auto& table = *fleet.vms[0];
    RolloutRecord record { service, 50, target, RolloutState::RolledBack };
    table.adoptRecord(record, 60);
    record.state = RolloutState::Complete;
    table.adoptRecord(record, 61);
    table.recordRemote(VmId("other"), { { service, 50, RolloutState::Complete } });
    for (const auto& rule : table.versionsFor(service, RequestId("q"), std::nullopt)) {
        cr_assert(!rule.permits(target) && rule.permits(oldVersion));
    }
    // The verdict outlives the order, also on a VM that has just started.
    RolloutTable started(fleet.clock, fleet.timeline, fleet.metrics);
    record.state = RolloutState::RolledBack;
    started.adoptRecord(record, 60);
    cr_assert(!started.versionsFor(service, RequestId("q"), std::nullopt).front().permits(target));
    started.adoptOrder(makeOrder(70), fleet.clock.now());
    started.refresh(true, 1);
    cr_assert(started.versionsFor(service, RequestId("q"), std::nullopt).back().permits(target));
    cr_assert_eq(started.dueChanges().at(0).expectedRevision, 60);
}

// A stream that has begun must not go on at another version, and a request that failed at the new version must not
// fail there again.
Test(RolloutTable, keepsStreamsOnTheirVersionAndRepeatsRequestsOnTheOldOne)
{
    RolloutFleet fleet(1);
    fleet.run(1s, 60, succeed);
    for (unsigned i = 0; i < 100; ++i) {
        const RequestId id("s" + std::to_string(i));
        cr_assert(fleet.vms[0]->versionsFor(service, id, PreviousAttempt { target, true }).front().permits(target));
        cr_assert(!fleet.vms[0]->versionsFor(service, id, PreviousAttempt { target, false }).front().permits(target));
        cr_assert(
            !fleet.vms[0]->versionsFor(service, id, PreviousAttempt { oldVersion, true }).front().permits(target));
    }
}

// Guards against a VM that restarts during a roll-out and uses the constant part of the allowance a second time.
Test(RolloutTable, givesARestartedVmNoSecondPartOfTheConstantAllowance)
{
    ManualClock clock;
    MetricTable metrics;
    Timeline timeline { clock, "test" };
    RolloutTable started(clock, timeline, metrics);
    started.adoptOrder(makeOrder(), MonotonicTime(0));
    started.refresh(true, 1);
    for (const auto& rule : started.versionsFor(service, RequestId("q"), std::nullopt)) {
        cr_assert(!rule.permits(target));
    }
}

// A VM that starts during a roll-out does not know the age of the order. Its guess must not make the order younger for
// the others, which would move the verdict beyond the time limit, and it takes over their age.
Test(RolloutTable, keepsTheAgeOfTheOrderWhenAVmStarts)
{
    RolloutFleet fleet(1);
    fleet.clock.advance(10s);
    RolloutTable started(fleet.clock, fleet.timeline, fleet.metrics);
    started.adoptOrder(makeOrder(), MonotonicTime(0));
    started.refresh(true, 2);
    fleet.clock.advance(250ms);
    auto& observer = *fleet.vms.front();
    observer.recordRemote(VmId("started"), started.reports());
    cr_assert_geq(observer.reports().front().age.count(), 10'000);
    started.recordRemote(VmId("vm0"), observer.reports());
    cr_assert_geq(started.reports().front().age.count(), 10'000);
}

// A hung version has no responses that could count against it: outstanding requests count as they age.
Test(VersionEvidenceRecorder, countsOutstandingRequestsAsSlow)
{
    ManualClock clock;
    VersionEvidenceRecorder recorder(clock);
    std::uint64_t id = 0;
    for (unsigned i = 0; i < 100; ++i) {
        recorder.start(RolloutAttemptId(++id), false, "route", 100);
        clock.advance(20ms);
        recorder.end(RolloutAttemptId(id), VersionResult::Succeeded);
    }
    recorder.start(RolloutAttemptId(++id), true, "route", 100);
    clock.advance(10ms);
    recorder.refresh(recorder.totals().oldVersion);
    cr_assert(recorder.totals().newVersion.empty());
    clock.advance(60ms);
    recorder.refresh(recorder.totals().oldVersion);
    cr_assert_eq(recorder.totals().newVersion.at("route").firstTokenPerWork.total(), 1);
    // The response adds no second time.
    recorder.recordOutput(RolloutAttemptId(id));
    recorder.end(RolloutAttemptId(id), VersionResult::Succeeded);
    cr_assert_eq(recorder.totals().newVersion.at("route").firstTokenPerWork.total(), 1);
    cr_assert_eq(recorder.totals().newVersion.at("route").requests, 1);
}

// Guards against good versions that are rolled back because of requests whose time limit is too short for any version:
// 3 of 3 such requests counted as failures of the target version.
Test(VersionEvidenceRecorder, countsTimeLimitsAsTimesAndNotAsFailures)
{
    ManualClock clock;
    VersionEvidenceRecorder recorder(clock);
    recorder.start(RolloutAttemptId(1), true, "route", 0);
    clock.advance(400ms);
    recorder.end(RolloutAttemptId(1), VersionResult::TimedOut);
    const auto& evidence = recorder.totals().newVersion.at("route");
    cr_assert(evidence.failures == 0 && evidence.requests == 0 && evidence.firstTokenPerWork.total() == 1);
}

// Guards against zones of a large fleet that judge a version by their own answers only.
Test(RolloutTable, reportsTheSumsOfAZone)
{
    RolloutFleet fleet(3);
    fleet.run(4s, 60, failTarget);
    const auto own = fleet.vms[0]->reports().at(0);
    const auto sums = fleet.vms[0]->reportsOfZone({ VmId("vm0"), VmId("vm1") }).at(0);
    cr_assert(sums.requests > own.requests && sums.requests < fleet.requests);
    cr_assert_gt(sums.evidence.requests(), own.evidence.requests());
}

// Runners of a new version must not get requests before the order of their roll-out has been received. A release that
// has no order must go on working, and so must a service whose old runners have gone.
Test(RunnerTable, holdsBackANewVersionUntilItsOrderMayBeKnown)
{
    ManualClock clock;
    Timeline timeline { clock, "test" };
    RunnerTable runners(clock, timeline, {});
    const auto ids = [&] {
        std::vector<std::string> list;
        for (const auto& it : runners.candidates(service, "")) {
            list.push_back(it.id.value());
        }
        return list;
    };
    runners.updateEntry(makeVersionedRunner("r1", oldVersion));
    clock.advance(10s);
    runners.updateEntry(makeVersionedRunner("r2", target));
    cr_assert(ids() == std::vector<std::string> { "r1" });
    runners.markEntryEnded(UpstreamId("r1"));
    clock.advance(1600ms);
    cr_assert(ids() == std::vector<std::string> { "r2" });
    runners.updateEntry(makeVersionedRunner("r1", oldVersion));
    clock.advance(1500ms);
    cr_assert_eq(ids().size(), 2);
}

// Guards against evidence that is lost or assigned to the other version on its way between two VMs.
Test(FleetReportCodec, keepsTheEvidenceOfARollout)
{
    FleetReport report;
    report.vm = VmId("vm1");
    RolloutReport rollout { service, 50, RolloutState::Complete, 1500ms, 70, 5, {} };
    rollout.evidence.oldVersion["a"].requests = 40;
    rollout.evidence.oldVersion["a"].firstTokenPerWork.add(3ms);
    rollout.evidence.newVersion["b"].failures = 2;
    rollout.evidence.newVersion["b"].timeBetweenTokens.add(9ms);
    report.rollouts = { rollout };
    const auto decoded = FleetReportCodec::decode(FleetReportCodec::encode(report));
    cr_assert(decoded && decoded->rollouts.size() == 1);
    const auto& read = decoded->rollouts[0];
    cr_assert(read.service == service && read.order == 50 && read.state == RolloutState::Complete);
    cr_assert(read.age == 1500ms && read.requests == 70 && read.targetRequests == 5);
    cr_assert(read.evidence.oldVersion.at("a").requests == 40 && read.evidence.newVersion.at("b").failures == 2);
    cr_assert(read.evidence.oldVersion.at("a").firstTokenPerWork.bins()
        == rollout.evidence.oldVersion.at("a").firstTokenPerWork.bins());
    cr_assert(read.evidence.newVersion.at("b").timeBetweenTokens.bins()
        == rollout.evidence.newVersion.at("b").timeBetweenTokens.bins());
}

// Guards against a verdict that cannot be read after a restart of all VMs.
Test(RolloutRecords, keepsTheRecordAndRejectsOtherContent)
{
    const RolloutRecord record { service, 50, target, RolloutState::RolledBack, 1700000000s, VmId("vm"), 41,
        MoveReason::SlowTokens, "text" };
    const auto read = RolloutRecords::decode(service, RolloutRecords::encode(record));
    cr_assert(read && read->order == 50 && read->target == target && read->state == RolloutState::RolledBack);
    cr_assert(read->orderedAt == record.orderedAt && read->token == 41 && read->reason == MoveReason::SlowTokens);
    cr_assert(!RolloutRecords::decode(service, "[]") && !RolloutRecords::decode(service, "{}"));
}
