#pragma once

#include "Common/Clock.h"
#include "Common/Digest.h"
#include "Common/EnumTable.h"
#include "Common/Ids.h"
#include "Upstream/UpstreamTypes.h"

#include <cstdint>
#include <string>

namespace Pollenwind {

/// State of a claim record.
enum class ClaimState {
    /// The holder may be running the call.
    Running,
    /// The call ran and its response is stored.
    Done,
    /// The call ran; its response was too large to store.
    DoneWithoutAnswer,
    /// The holder could not determine whether the call ran.
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

/// Stored record of one non-idempotent call with an idempotency key. A claim is the right to dispatch that call; the
/// process that created the record is the holder of the claim.
struct ClaimRecord {
    /// Random id of the attempt that created the record.
    std::string attempt;
    /// Digest of the call. Another call with the same idempotency key is refused.
    Digest call {};
    ClaimState state = ClaimState::Running;
    /// Time by which the holder has finished. If the state is still Running after it, the holder failed.
    WallTime runsUntil { 0 };
    PlainAnswer answer;
};

/// The call to claim.
struct ClaimRequest {
    OrganisationId organisation;
    std::string idempotencyKey;
    Digest call {};
    /// Deadline of the call by this process's clock.
    MonotonicTime deadline { 0 };
};

/// A claim that this process holds.
struct ClaimTicket {
    /// Store key of the record.
    std::string key;
    /// Store revision at which the record was written.
    std::int64_t revision = 0;
    ClaimRecord record;
};

/// Result of an attempt to claim a call.
enum class ClaimResult {
    /// This process holds the claim and may dispatch the call.
    Created,
    /// The call ran before; its response is stored.
    Replay,
    /// Another request with the same idempotency key is running.
    InProgress,
    /// The outcome of another request with the same idempotency key is unknown, or its holder failed.
    OutcomeUnknown,
    /// The call ran before; its response was too large to store.
    AnswerNotKept,
    /// The idempotency key was used for a different call.
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

/// Result of an attempt to claim a call, with the data that belongs to it.
struct ClaimAnswer {
    ClaimResult result = ClaimResult::OutcomeUnknown;
    /// Set for Created.
    ClaimTicket ticket;
    /// Set for Replay.
    PlainAnswer answer;
};

} // namespace Pollenwind
