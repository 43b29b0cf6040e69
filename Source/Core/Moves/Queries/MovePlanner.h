#pragma once

#include "Moves/MoveTypes.h"
#include "Moves/Queries/VersionEvaluator.h"

#include <optional>
#include <set>
#include <vector>

namespace Pollenwind {

/// One upstream as the planner sees it.
struct MoveUpstream {
    UpstreamId id;
    ZoneId zone;
    bool isReachable = false;
    bool isLoading = false;
    std::set<VersionId> versions;
};

/// What a plan depends on besides the record.
struct MoveView {
    WallTime now { 0 };
    std::vector<MoveUpstream> upstreams;
    /// Upstreams that may load at the same time.
    std::uint32_t concurrentLoads = 1;
    /// A service that this one depends on is being moved; steps wait until that move has ended.
    bool isDependencyMoving = false;
    Evaluation evaluation;
    std::uint32_t newRequests = 0;
};

/// Order to an upstream.
enum class UpstreamOrderKind {
    Load,
    Unload,
};

template <> struct EnumTable<UpstreamOrderKind> {
    static constexpr std::array rows {
        EnumName { UpstreamOrderKind::Load, "load" },
        EnumName { UpstreamOrderKind::Unload, "unload" },
    };
};

/// One order to an upstream.
struct UpstreamOrder {
    UpstreamId upstream;
    UpstreamOrderKind kind = UpstreamOrderKind::Load;
    VersionId version;
};

/// Next actions of the move lease's holder.
struct MovePlan {
    /// Orders that bring the upstreams to the desired state. They are computed from the reported state, so a lost order
    /// is repeated and the effect of a stale holder's order is reverted.
    std::vector<UpstreamOrder> orders;
    /// The next record, when it changes.
    std::optional<MoveRecord> next;
};

/// Plans the next step of a move.
class MovePlanner {
public:
    MovePlanner() = default;
    MovePlanner(const MovePlanner&) = delete;
    MovePlanner& operator=(const MovePlanner&) = delete;
    virtual ~MovePlanner() = default;

    virtual MovePlan plan(const MoveRecord& record, const MoveView& view) const = 0;
};

/// Raises the new version's share step by step.
class StepPlanner final : public MovePlanner {
public:
    MovePlan plan(const MoveRecord& record, const MoveView& view) const override;
};

} // namespace Pollenwind
