#pragma once

#include "Common/Clock.h"
#include "Common/EnumTable.h"
#include "Common/Ids.h"
#include "Moves/MoveTypes.h"
#include "Moves/VersionEvidence.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Pollenwind {

/// State of a roll-out, which moves the traffic of a service to runners with another version of the software. Complete
/// and RolledBack are final.
enum class RolloutState {
    /// A share of the requests goes to the target version; see ExposureRamp.
    Running,
    Complete,
    RolledBack,
};

template <> struct EnumTable<RolloutState> {
    static constexpr std::array rows {
        EnumName { RolloutState::Running, "running" },
        EnumName { RolloutState::Complete, "complete" },
        EnumName { RolloutState::RolledBack, "rolled-back" },
    };
};

inline bool isFinal(RolloutState state) { return state != RolloutState::Running; }

/// Order of the operator to move a service to a version.
struct RolloutOrder {
    ServiceId service;
    VersionId target;
    /// Time limit of the roll-out, from the moment of the order.
    std::chrono::milliseconds duration { 0 };
    /// Position of the order's record in the store. The first one identifies the order; the record gets another one
    /// when the store is restored.
    std::int64_t revision = 0;
};

/// State of a roll-out as kept in the store. Routers change it by compare-and-swap.
struct RolloutRecord {
    ServiceId service;
    /// First position of the order.
    std::int64_t order = 0;
    VersionId target;
    RolloutState state = RolloutState::Running;
    WallTime orderedAt { 0 };
    /// VM that wrote the record, with the fencing token of its lease; 0 if it did not hold the lease.
    VmId vm;
    std::int64_t token = 0;
    MoveReason reason = MoveReason::None;
    /// Figures behind the last change, for operators.
    std::string evidence;
};

/// State of a roll-out as it is reported to the operator.
struct RolloutStatus {
    ServiceId service;
    VersionId target;
    RolloutState state = RolloutState::Running;
};

/// What one VM tells the others about a roll-out. Counts and evidence are totals since the order.
struct RolloutReport {
    ServiceId service;
    /// First position of the order that is known.
    std::int64_t order = 0;
    /// Final states are reported only after they have been written to the store.
    RolloutState state = RolloutState::Running;
    /// Longest time since the order; 0 if the VM does not know it.
    std::chrono::milliseconds age { 0 };
    /// Requests that the VM sent to runners of the service.
    std::uint64_t requests = 0;
    /// Those of them that went to the target version.
    std::uint64_t targetRequests = 0;
    MoveEvidence evidence;
    /// Latest position of the order's record.
    std::int64_t latest = 0;
};

/// Restricts the runners of a request by the version of their software.
struct VersionRule {
    /// The only permitted version, if set.
    std::optional<VersionId> only;
    std::set<VersionId> excluded;

    bool permits(const VersionId& version) const { return (!only || *only == version) && !excluded.contains(version); }
};

/// Identifies an attempt whose outcome is evidence for a roll-out; 0 for one that is not recorded.
using RolloutAttemptId = Id<struct RolloutAttemptTag, std::uint64_t>;

/// End of an attempt as evidence on the version that served it.
enum class VersionResult {
    Succeeded,
    /// An error response, or a response that is invalid or incomplete.
    Failed,
    /// The time limit passed. Only the time counts: limits that are too short pass on any version.
    TimedOut,
    /// Says nothing about the version, e.g. because the caller disconnected.
    Inconclusive,
};

template <> struct EnumTable<VersionResult> {
    static constexpr std::array rows {
        EnumName { VersionResult::Succeeded, "succeeded" },
        EnumName { VersionResult::Failed, "failed" },
        EnumName { VersionResult::TimedOut, "timed-out" },
        EnumName { VersionResult::Inconclusive, "inconclusive" },
    };
};

/// Next state of a roll-out, to be written to the store by the holder of the order lease.
struct RolloutChange {
    RolloutRecord record;
    /// Revision of the record that it replaces; 0 if there is none.
    std::int64_t expectedRevision = 0;
    /// Time since the change has been due.
    std::chrono::nanoseconds overdue { 0 };
    /// Whether it is a verdict that the store had and lost.
    bool isRepeat = false;
};

} // namespace Pollenwind
