#include "Moves/Queries/MovePlanner.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    // Fraction of the remaining time that the steps after the canary may take; the rest is a reserve for a lost lease
    // or a store outage.
    constexpr double plannedFraction = 0.8;
    constexpr std::chrono::seconds shortestStep { 2 };
    // Fraction of the total time for the canary, the longest step: a version that fails at once should fail while it
    // has the smallest share.
    constexpr double canaryFraction = 0.48;
    // Number of requests after which the canary step may end early.
    constexpr std::uint32_t canaryRequests = 150;

    bool isUsable(const MoveUpstream& it, const VersionId& version)
    {
        return it.isReachable && !it.isLoading && it.versions.contains(version);
    }

    std::size_t countUsable(const MoveView& view, const VersionId& version)
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(view.upstreams, [&](const auto& it) { return isUsable(it, version); }));
    }

    std::size_t countReachable(const MoveView& view)
    {
        return static_cast<std::size_t>(std::ranges::count_if(view.upstreams, &MoveUpstream::isReachable));
    }

    /// Number of upstreams that should have the new version loaded for the next share; at least two, so that one crash
    /// does not decide the result.
    std::size_t wantedUpstreams(const MoveRecord& record, std::size_t reachable)
    {
        const auto share = moveShareAt(record.step + 1);
        const auto needed = (reachable * share + 999) / 1000;
        return std::min(reachable, std::max<std::size_t>(2, needed));
    }

    std::vector<UpstreamOrder> unloadOrders(const MoveView& view, const VersionId& kept)
    {
        std::vector<UpstreamOrder> orders;
        for (const auto& it : view.upstreams) {
            if (!isUsable(it, kept)) {
                continue;
            }
            for (const auto& version : it.versions) {
                if (version != kept) {
                    orders.push_back({ it.id, UpstreamOrderKind::Unload, version });
                }
            }
        }
        return orders;
    }

    std::vector<UpstreamOrder> loadOrders(const MoveView& view, const VersionId& version, std::size_t wanted)
    {
        std::vector<UpstreamOrder> orders;
        auto have = countUsable(view, version);
        auto loading = static_cast<std::size_t>(std::ranges::count_if(view.upstreams, &MoveUpstream::isLoading));
        for (const auto& it : view.upstreams) {
            const bool canLoad = it.isReachable && !it.isLoading && !it.versions.contains(version);
            if (canLoad && have + loading < wanted && loading < view.concurrentLoads) {
                orders.push_back({ it.id, UpstreamOrderKind::Load, version });
                ++loading;
            }
        }
        return orders;
    }

    std::vector<UpstreamOrder> reconcile(const MoveRecord& record, const MoveView& view)
    {
        const auto all = view.upstreams.size();
        if (record.state == MoveState::Done || record.state == MoveState::RolledBack) {
            const auto& kept = record.state == MoveState::Done ? record.to : record.from;
            auto orders = loadOrders(view, kept, all);
            const auto unloads = unloadOrders(view, kept);
            orders.insert(orders.end(), unloads.begin(), unloads.end());
            return orders;
        }
        // Both versions are needed until the move ends; the old one is loaded first.
        auto orders = loadOrders(view, record.from, all);
        if (orders.empty()) {
            orders = loadOrders(view, record.to, wantedUpstreams(record, countReachable(view)));
        }
        return orders;
    }

    MoveRecord finished(const MoveRecord& record, const MoveView& view, MoveState state, MoveReason reason)
    {
        MoveRecord next = record;
        next.state = state;
        next.reason = reason;
        next.stepSince = view.now;
        next.evidence = view.evaluation.route.empty() ? view.evaluation.text
                                                      : "route " + view.evaluation.route + ", " + view.evaluation.text;
        return next;
    }

    std::chrono::nanoseconds part(double fraction, std::chrono::nanoseconds total)
    {
        return std::chrono::duration_cast<std::chrono::nanoseconds>(
            fraction * std::chrono::duration<double, std::nano>(total));
    }

    /// The canary takes a fixed fraction of the total time. Later steps divide the time that was left when they began,
    /// so that a canary prolonged by suspect evidence does not make a healthy version miss its deadline.
    std::chrono::nanoseconds stepDuration(const MoveRecord& record)
    {
        if (record.step == 0) {
            return std::max<std::chrono::nanoseconds>(
                shortestStep, part(canaryFraction, record.deadline - record.orderedAt));
        }
        const auto stepsLeft = static_cast<std::int64_t>(moveShares().size() - record.step);
        const auto left = part(plannedFraction, record.deadline - record.stepSince);
        return std::max<std::chrono::nanoseconds>(shortestStep, left / stepsLeft);
    }

    std::optional<MoveRecord> advance(const MoveRecord& record, const MoveView& view)
    {
        if (view.isDependencyMoving || view.evaluation.isSuspect) {
            return std::nullopt;
        }
        MoveRecord next = record;
        next.stepSince = view.now;
        const auto usable = countUsable(view, record.to);
        const auto wanted = wantedUpstreams(record, countReachable(view));
        if (record.state == MoveState::Preparing) {
            if (usable == 0 || usable < std::min<std::size_t>(wanted, 2)) {
                return std::nullopt;
            }
            next.state = MoveState::Shifting;
            return next;
        }
        const auto spent = view.now - record.stepSince;
        const bool isCanaryOver = record.step == 0 && view.newRequests >= canaryRequests && spent >= shortestStep;
        if ((spent < stepDuration(record) && !isCanaryOver) || usable < wanted) {
            return std::nullopt;
        }
        if (record.state == MoveState::Confirming) {
            return finished(record, view, MoveState::Done, MoveReason::Healthy);
        }
        ++next.step;
        if (next.step + 1 == moveShares().size()) {
            next.state = MoveState::Confirming;
        }
        return next;
    }

} // namespace

const std::vector<std::uint32_t>& moveShares()
{
    static const std::vector<std::uint32_t> s_shares { 15, 30, 100, 400, 1000 };
    return s_shares;
}

std::uint32_t moveShareAt(std::size_t step) { return moveShares()[std::min(step, moveShares().size() - 1)]; }

MovePlan StepPlanner::plan(const MoveRecord& record, const MoveView& view) const
{
    MovePlan plan;
    plan.orders = reconcile(record, view);
    if (isFinal(record.state)) {
        return plan;
    }
    if (view.evaluation.fault != MoveReason::None) {
        plan.next = finished(record, view, MoveState::RolledBack, view.evaluation.fault);
    } else if (view.now >= record.deadline) {
        plan.next = finished(record, view, MoveState::RolledBack, MoveReason::DeadlinePassed);
    } else {
        plan.next = advance(record, view);
    }
    return plan;
}

} // namespace Pollenwind
