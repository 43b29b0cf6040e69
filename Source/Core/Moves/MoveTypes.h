#pragma once

#include "Common/Clock.h"
#include "Common/EnumTable.h"
#include "Common/Ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Pollenwind {

/// State of a move, which replaces the version of a model service step by step. Done and RolledBack are final.
enum class MoveState {
    /// Ordered; the first engines load the new version.
    Preparing,
    /// The new version gets a share of the traffic.
    Shifting,
    /// The new version gets all traffic; the old one stays loaded until the move ends.
    Confirming,
    Done,
    RolledBack,
};

template <> struct EnumTable<MoveState> {
    static constexpr std::array rows {
        EnumName { MoveState::Preparing, "preparing" },
        EnumName { MoveState::Shifting, "shifting" },
        EnumName { MoveState::Confirming, "confirming" },
        EnumName { MoveState::Done, "done" },
        EnumName { MoveState::RolledBack, "taken-back" },
    };
};

inline bool isFinal(MoveState state) { return state == MoveState::Done || state == MoveState::RolledBack; }

/// Reason for the result of a move; None while it runs.
enum class MoveReason {
    None,
    Healthy,
    Failures,
    SlowFirstToken,
    SlowTokens,
    DeadlinePassed,
    Cancelled,
};

template <> struct EnumTable<MoveReason> {
    static constexpr std::array rows {
        EnumName { MoveReason::None, "none" },
        EnumName { MoveReason::Healthy, "healthy" },
        EnumName { MoveReason::Failures, "failures" },
        EnumName { MoveReason::SlowFirstToken, "slow-first-token" },
        EnumName { MoveReason::SlowTokens, "slow-tokens" },
        EnumName { MoveReason::DeadlinePassed, "deadline-passed" },
        EnumName { MoveReason::Cancelled, "cancelled" },
    };
};

/// Identifies one order of an operator.
using MoveId = Id<struct MoveTag, std::string>;

/// A move as kept in the platform's store.
struct MoveRecord {
    MoveId id;
    ServiceId service;
    VersionId from;
    VersionId to;
    std::string operatorName;
    WallTime orderedAt { 0 };
    WallTime deadline { 0 };
    MoveState state = MoveState::Preparing;
    /// Index into the table of shares, see moveShares().
    std::uint32_t step = 0;
    /// Time at which the current step began.
    WallTime stepSince { 0 };
    MoveReason reason = MoveReason::None;
    /// Figures behind the result, for operators.
    std::string evidence;
};

/// Share of the new version at each step, in requests per 1,000.
const std::vector<std::uint32_t>& moveShares();

/// Share of the new version at a step, in requests per 1,000. Steps beyond the last count as the last.
std::uint32_t moveShareAt(std::size_t step);

} // namespace Pollenwind
