#pragma once

#include "Common/EnumTable.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace Pollenwind {

/// How a simulated version behaves.
enum class VersionBehaviour {
    Good,
    /// Good, and one engine that runs it crashes.
    GoodWithCrash,
    FailsAtOnce,
    SlowFirstToken,
    SlowTokens,
    /// Good at first, fails after a minute in use.
    FailsLater,
    /// Fails while it carries two fifths of the traffic or more.
    FailsUnderLoad,
    FailsOnOneRoute,
    /// Some answers end early.
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

/// What happens around a move.
enum class MoveDisturbance {
    None,
    /// The store takes no writes and answers no reads for a part of the move.
    StoreOutage,
    /// The routers of one zone see neither the store nor other routers for a part of the move.
    Partition,
    /// All routers restart at once and lose their evidence.
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

/// One simulated move.
struct MoveScenario {
    std::uint32_t engines = 9;
    std::uint32_t concurrentLoads = 2;
    /// Requests a second over the fleet.
    double requestRate = 6;
    std::chrono::seconds deadline { 600 };
    VersionBehaviour behaviour = VersionBehaviour::Good;
    MoveDisturbance disturbance = MoveDisturbance::None;
    std::uint64_t seed = 1;
};

/// Outcome of a simulated move.
struct MoveResult {
    bool isDone = false;
    bool isRolledBack = false;
    std::string reason;
    std::string evidence;
    std::uint64_t requests = 0;
    std::uint64_t newRequests = 0;
    /// From the first adverse outcome of the new version to the last request that it got before the verdict.
    std::chrono::nanoseconds exposure { 0 };
    /// Requests that the new version got after a final record that took it back had reached their router.
    std::uint64_t requestsAfterRollback = 0;
};

/// Runs one move in virtual time with the production planner, judge and tables.
MoveResult simulateMove(const MoveScenario& scenario);

} // namespace Pollenwind
