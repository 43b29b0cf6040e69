#pragma once

#include "Common/Clock.h"
#include "Common/Digest.h"
#include "Common/EnumTable.h"
#include "Common/Ids.h"
#include "Upstream/UpstreamTypes.h"

#include <cstdint>
#include <string>

namespace Pollenwind {

/// State of a claim's record.
enum class ClaimState {
    /// The holder may be running the call.
    Running,
    /// The call ran and its answer is stored.
    Done,
    /// The call ran; its answer was too large to store.
    DoneWithoutAnswer,
    /// The holder could not learn whether the call ran.
    Unknown,
};

template <> struct EnumTable<ClaimState> {
    static constexpr std::array rows {
        EnumName { ClaimState::Running, "running" },
        EnumName { ClaimState::Done, "done" },
        EnumName { ClaimState::DoneWithoutAnswer, "done-without-answer" },
        EnumName { ClaimState::Unknown, "unknown" },
    };
};

/// Record of one non-idempotent call with an idempotency key.
struct ClaimRecord {
    /// Random id of the attempt that created the record.
    std::string attempt;
    /// Digest of the call. The same idempotency key with another call is refused.
    Digest call {};
    ClaimState state = ClaimState::Running;
    /// Time by which the holder has finished. A record that is still running later has lost its holder.
    WallTime runsUntil { 0 };
    PlainAnswer answer;
};

/// What a claim is made for.
struct ClaimRequest {
    OrganisationId organisation;
    std::string idempotencyKey;
    Digest call {};
    /// Latest end of the call by this process's clock.
    MonotonicTime deadline { 0 };
};

/// A claim that this process holds.
struct ClaimTicket {
    std::string key;
    std::int64_t revision = 0;
    ClaimRecord record;
};

/// What became of an attempt to claim.
enum class ClaimResult {
    /// This process holds the claim and may dispatch the call.
    Created,
    /// The call ran before; its answer is stored.
    Replay,
    /// Another request with the idempotency key is running.
    InProgress,
    /// Another request with the idempotency key ended or vanished with an unknown outcome.
    OutcomeUnknown,
    /// The call ran before; its answer was not kept.
    AnswerNotKept,
    /// The idempotency key was used for another call.
    Conflict,
};

template <> struct EnumTable<ClaimResult> {
    static constexpr std::array rows {
        EnumName { ClaimResult::Created, "created" },
        EnumName { ClaimResult::Replay, "replay" },
        EnumName { ClaimResult::InProgress, "in-progress" },
        EnumName { ClaimResult::OutcomeUnknown, "outcome-unknown" },
        EnumName { ClaimResult::AnswerNotKept, "answer-not-kept" },
        EnumName { ClaimResult::Conflict, "conflict" },
    };
};

/// Answer to an attempt to claim.
struct ClaimAnswer {
    ClaimResult result = ClaimResult::OutcomeUnknown;
    /// Set for Created.
    ClaimTicket ticket;
    /// Set for Replay.
    PlainAnswer answer;
};

} // namespace Pollenwind
