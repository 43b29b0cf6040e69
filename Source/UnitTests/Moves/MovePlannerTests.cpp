#include "Moves/Queries/MovePlanner.h"

#include <criterion/criterion.h>

using namespace Pollenwind;

namespace {

MoveRecord makeRecord(MoveState state)
{
    MoveRecord record;
    record.id = MoveId("order");
    record.service = ServiceId("model");
    record.from = VersionId("v1");
    record.to = VersionId("v2");
    record.deadline = std::chrono::seconds(600);
    record.state = state;
    return record;
}

MoveUpstream makeUpstream(const char* name, std::set<VersionId> versions, bool isLoading = false)
{
    return { UpstreamId(name), ZoneId("a"), true, isLoading, std::move(versions) };
}

std::size_t countOrders(const MovePlan& plan, UpstreamOrderKind kind, const char* version)
{
    std::size_t n = 0;
    for (const auto& it : plan.orders) {
        n += it.kind == kind && it.version == VersionId(version) ? 1 : 0;
    }
    return n;
}

const VersionId oldVersion { "v1" };
const VersionId newVersion { "v2" };

} // namespace

// Guards against more concurrent loads than the weight store can serve.
Test(MovePlanner, boundsConcurrentLoads)
{
    MoveView view;
    view.concurrentLoads = 2;
    view.upstreams = { makeUpstream("a", { oldVersion }), makeUpstream("b", { oldVersion }),
        makeUpstream("c", { oldVersion }), makeUpstream("d", { oldVersion }, true) };
    auto record = makeRecord(MoveState::Shifting);
    record.step = 4;
    cr_assert_eq(countOrders(StepPlanner().plan(record, view), UpstreamOrderKind::Load, "v2"), 1);
}

// Guards against a stale holder's order that leaves an engine without the old version before the move has ended.
Test(MovePlanner, reloadsOldVersionThatAStaleHolderUnloaded)
{
    MoveView view;
    view.upstreams = { makeUpstream("a", { oldVersion }), makeUpstream("b", { newVersion }) };
    const auto plan = StepPlanner().plan(makeRecord(MoveState::Shifting), view);
    cr_assert_eq(countOrders(plan, UpstreamOrderKind::Load, "v1"), 1);
    cr_assert_eq(countOrders(plan, UpstreamOrderKind::Unload, "v1"), 0);
}

// Guards against leaving the rejected version loaded, also when a late order loads it again, and against unloading it
// from an upstream that does not have the kept version loaded yet.
Test(MovePlanner, unloadsRejectedVersionAfterRollback)
{
    MoveView view;
    view.upstreams = { makeUpstream("a", { oldVersion, newVersion }), makeUpstream("b", { newVersion }) };
    const auto plan = StepPlanner().plan(makeRecord(MoveState::RolledBack), view);
    cr_assert_eq(countOrders(plan, UpstreamOrderKind::Unload, "v2"), 1);
    cr_assert_eq(countOrders(plan, UpstreamOrderKind::Load, "v1"), 1);
    cr_assert(!plan.next);
}

// Guards against a move whose result changes after it has ended.
Test(MovePlanner, keepsFinalResult)
{
    MoveView view;
    view.now = std::chrono::seconds(10'000);
    view.evaluation.fault = MoveReason::Failures;
    cr_assert(!StepPlanner().plan(makeRecord(MoveState::Done), view).next);
    cr_assert(!StepPlanner().plan(makeRecord(MoveState::RolledBack), view).next);
}

// Guards against a move that is neither done nor rolled back at its deadline.
Test(MovePlanner, rollsBackAtDeadline)
{
    MoveView view;
    view.now = std::chrono::seconds(600);
    const auto plan = StepPlanner().plan(makeRecord(MoveState::Shifting), view);
    cr_assert(plan.next && plan.next->state == MoveState::RolledBack);
    cr_assert(plan.next->reason == MoveReason::DeadlinePassed);
}

// Guards against a service that moves before the move of a service that it depends on has ended.
Test(MovePlanner, waitsForDependency)
{
    MoveView view;
    view.isDependencyMoving = true;
    view.upstreams = { makeUpstream("a", { oldVersion, newVersion }), makeUpstream("b", { oldVersion, newVersion }) };
    cr_assert(!StepPlanner().plan(makeRecord(MoveState::Preparing), view).next);
    view.isDependencyMoving = false;
    cr_assert(StepPlanner().plan(makeRecord(MoveState::Preparing), view).next.has_value());
}
