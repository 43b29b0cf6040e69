#include "MoveBench/MoveScenario.h"
#include "Moves/MoveTable.h"

#include <criterion/criterion.h>

using namespace Pollenwind;

namespace {

class FakeTimeline final : public TimelineCommands {
public:
    void record(EventKind, EventFields) override { }
    void observe(HybridTime) override { }
    HybridTime stamp() override { return {}; }
};

class FakeFreshness final : public RecordFreshness {
public:
    std::chrono::nanoseconds age() const override { return m_age; }
    std::chrono::nanoseconds m_age { 0 };
};

struct Fixture {
    ManualClock clock;
    FakeFreshness freshness;
    SequentialEvaluator evaluator;
    FakeTimeline timeline;
    MoveTable table { clock, freshness, evaluator, timeline };
};

const ServiceId model { "model" };
const VersionId oldVersion { "v1" };
const VersionId newVersion { "v2" };

MoveRecord makeRecord(MoveState state)
{
    MoveRecord record;
    record.id = MoveId("order");
    record.service = model;
    record.from = oldVersion;
    record.to = newVersion;
    record.state = state;
    // A confirming move is at its last step, where the new version gets all traffic.
    record.step = state == MoveState::Confirming ? 4 : 0;
    return record;
}

std::size_t countNew(const MoveTable& table, bool isIdempotent)
{
    std::size_t n = 0;
    for (int i = 0; i < 10'000; ++i) {
        const RequestId id("request-" + std::to_string(i));
        n += table.versionFor(model, oldVersion, id, isIdempotent) == newVersion ? 1 : 0;
    }
    return n;
}

} // namespace

// Guards against a canary that gets more than its share, or non-idempotent calls.
Test(MoveTable, boundsCanaryShare)
{
    Fixture f;
    f.table.adopt(5, makeRecord(MoveState::Shifting));
    const auto n = countNew(f.table, true);
    cr_assert(n > 0 && n < 200);
    cr_assert_eq(countNew(f.table, false), 0);
}

// Guards against a partitioned router that keeps using a version that may have been rolled back.
Test(MoveTable, usesOldVersionWhileRecordIsStale)
{
    Fixture f;
    f.table.adopt(5, makeRecord(MoveState::Confirming));
    cr_assert_eq(countNew(f.table, true), 10'000);
    f.freshness.m_age = std::chrono::milliseconds(3001);
    cr_assert_eq(countNew(f.table, true), 0);
}

// Guards against an older record that arrives late and replaces the move's result.
Test(MoveTable, ignoresOlderRecords)
{
    Fixture f;
    f.table.adopt(7, makeRecord(MoveState::RolledBack));
    f.table.adopt(6, makeRecord(MoveState::Confirming));
    cr_assert_eq(countNew(f.table, true), 0);
}

// Guards against a router that keeps using a version until the move ends, although its own evidence suffices to reject
// it.
Test(MoveTable, stopsUsingVersionThatFailsHere)
{
    Fixture f;
    f.table.adopt(5, makeRecord(MoveState::Confirming));
    for (int i = 0; i < 8; ++i) {
        f.table.recordOutcome({ model, newVersion, "chat", UpstreamId("e"), false, false, {}, {}, 0 });
    }
    cr_assert_eq(countNew(f.table, true), 0);
}

// Guards against rejecting a version because one engine's crash broke many streams at once.
Test(MoveTable, countsOneLostConnectionPerCrash)
{
    Fixture f;
    f.table.adopt(5, makeRecord(MoveState::Confirming));
    for (int i = 0; i < 50; ++i) {
        f.table.recordOutcome({ model, newVersion, "chat", UpstreamId("e"), false, true, {}, {}, 0 });
    }
    cr_assert_eq(f.table.ownEvidence(model)->newVersion.at("chat").failures, 1);
    cr_assert_eq(countNew(f.table, true), 10'000);
}

// Guards against an evaluator that misses a kind of faulty version or rejects a healthy one. Fixed seeds in virtual
// time.
Test(MoveScenario, reachesTheRightResultForEachBehaviour)
{
    for (const auto& behaviour : EnumTable<VersionBehaviour>::rows) {
        for (const auto& disturbance : EnumTable<MoveDisturbance>::rows) {
            MoveScenario scenario;
            scenario.behaviour = behaviour.value;
            scenario.disturbance = disturbance.value;
            scenario.deadline = std::chrono::seconds(300);
            scenario.requestRate = 20;
            scenario.seed = 11;
            const auto result = simulateMove(scenario);
            cr_assert_eq(result.isDone, isGood(behaviour.value), "%s under %s: %s, %s",
                std::string(behaviour.name).c_str(), std::string(disturbance.name).c_str(), result.reason.c_str(),
                result.evidence.c_str());
            cr_assert_neq(result.isDone, result.isRolledBack);
            cr_assert_eq(result.requestsAfterRollback, 0);
        }
    }
}
