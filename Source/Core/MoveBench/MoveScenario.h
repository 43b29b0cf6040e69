#pragma once

#include "Common/EnumTable.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace Pollenwind {

/// Behaviour of the simulated new version.
enum class VersionBehaviour {
    Good,
    /// Good, but one engine loses all connections for ten seconds.
    GoodWithCrash,
    FailsAtOnce,
    SlowFirstToken,
    SlowTokens,
    /// Fails once it has been in use for a minute.
    FailsLater,
    /// Fails while it serves 40% of the traffic or more.
    FailsUnderLoad,
    FailsOnOneRoute,
    /// Some responses are truncated.
    CutsAnswers,
};

template <> struct EnumTable<VersionBehaviour> {
    static constexpr std::array rows {
        EnumName { VersionBehaviour::Good, "good" },
        EnumName { VersionBehaviour::GoodWithCrash, "good-with-crash" },
        EnumName { VersionBehaviour::FailsAtOnce, "fails-at-once" },
        EnumName { VersionBehaviour::SlowFirstToken, "slow-first-token" },
        EnumName { VersionBehaviour::SlowTokens, "slow-tokens" },
        EnumName { VersionBehaviour::FailsLater, "fails-later" },
        EnumName { VersionBehaviour::FailsUnderLoad, "fails-under-load" },
        EnumName { VersionBehaviour::FailsOnOneRoute, "fails-on-one-route" },
        EnumName { VersionBehaviour::CutsAnswers, "cuts-answers" },
    };
};

inline bool isGood(VersionBehaviour behaviour)
{
    return behaviour == VersionBehaviour::Good || behaviour == VersionBehaviour::GoodWithCrash;
}

/// Faults of the infrastructure during a move.
enum class MoveDisturbance {
    None,
    /// The store is unavailable during a part of the move.
    StoreOutage,
    /// The routers of one zone reach neither the store nor other routers during a part of the move.
    Partition,
    /// All routers restart at the same time and lose their evidence.
    HerdRestart,
};

template <> struct EnumTable<MoveDisturbance> {
    static constexpr std::array rows {
        EnumName { MoveDisturbance::None, "none" },
        EnumName { MoveDisturbance::StoreOutage, "store-outage" },
        EnumName { MoveDisturbance::Partition, "partition" },
        EnumName { MoveDisturbance::HerdRestart, "herd-restart" },
    };
};

/// Parameters of one simulated move.
struct MoveScenario {
    std::uint32_t engines = 9;
    std::uint32_t concurrentLoads = 2;
    /// Requests per second over the fleet.
    double requestRate = 6;
    std::chrono::seconds deadline { 600 };
    VersionBehaviour behaviour = VersionBehaviour::Good;
    MoveDisturbance disturbance = MoveDisturbance::None;
    std::uint64_t seed = 1;
};

/// Result of a simulated move.
struct MoveResult {
    bool isDone = false;
    bool isRolledBack = false;
    std::string reason;
    std::string evidence;
    std::uint64_t requests = 0;
    std::uint64_t newRequests = 0;
    /// Time from the first failure of the new version to the last request that was sent to it before the move ended.
    std::chrono::nanoseconds exposure { 0 };
    /// Requests that a router sent to the new version after it had received the record of the rollback.
    std::uint64_t requestsAfterRollback = 0;
};

/// Runs one move in virtual time with the production planner, evaluator and tables.
MoveResult simulateMove(const MoveScenario& scenario);

} // namespace Pollenwind
