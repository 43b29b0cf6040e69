#pragma once

#include "Common/EnumTable.h"

#include <chrono>
#include <expected>
#include <optional>
#include <string>
#include <utility>

namespace Pollenwind {

/// Whether a refused or failed request was executed by an upstream.
enum class RunState {
    /// Not executed, and it will not be: a retry is safe.
    NotRun,
    /// It may have been executed, e.g. because the connection was lost after the request was sent.
    Unknown,
    Ran,
};

template <> struct EnumTable<RunState> {
    static constexpr std::array rows {
        EnumName { RunState::NotRun, "not-run" },
        EnumName { RunState::Unknown, "unknown" },
        EnumName { RunState::Ran, "ran" },
    };
};

/// Stable error codes. The names appear in responses to callers and in `pollenwindctl` output.
enum class ErrorCode {
    Malformed,
    KeyUnknown,
    KeyWithdrawn,
    KeyUnconfirmed,
    Forbidden,
    NoRoute,
    MethodNotAllowed,
    TooLarge,
    RateExceeded,
    RequestExceedsBurst,
    Unavailable,
    Overloaded,
    ShuttingDown,
    DeadlineExceeded,
    InProgress,
    OutcomeUnknown,
    Conflict,
    NotFound,
    StoreUnavailable,
    ConnectFailed,
    ConnectionLost,
    ProtocolError,
    Cancelled,
    Mismatch,
    Internal,
};

template <> struct EnumTable<ErrorCode> {
    static constexpr std::array rows {
        EnumName { ErrorCode::Malformed, "malformed" },
        EnumName { ErrorCode::KeyUnknown, "key-unknown" },
        EnumName { ErrorCode::KeyWithdrawn, "key-withdrawn" },
        EnumName { ErrorCode::KeyUnconfirmed, "key-unconfirmed" },
        EnumName { ErrorCode::Forbidden, "forbidden" },
        EnumName { ErrorCode::NoRoute, "no-route" },
        EnumName { ErrorCode::MethodNotAllowed, "method-not-allowed" },
        EnumName { ErrorCode::TooLarge, "too-large" },
        EnumName { ErrorCode::RateExceeded, "rate-exceeded" },
        EnumName { ErrorCode::RequestExceedsBurst, "request-exceeds-burst" },
        EnumName { ErrorCode::Unavailable, "unavailable" },
        EnumName { ErrorCode::Overloaded, "overloaded" },
        EnumName { ErrorCode::ShuttingDown, "shutting-down" },
        EnumName { ErrorCode::DeadlineExceeded, "deadline-exceeded" },
        EnumName { ErrorCode::InProgress, "in-progress" },
        EnumName { ErrorCode::OutcomeUnknown, "outcome-unknown" },
        EnumName { ErrorCode::Conflict, "conflict" },
        EnumName { ErrorCode::NotFound, "not-found" },
        EnumName { ErrorCode::StoreUnavailable, "store-unavailable" },
        EnumName { ErrorCode::ConnectFailed, "connect-failed" },
        EnumName { ErrorCode::ConnectionLost, "connection-lost" },
        EnumName { ErrorCode::ProtocolError, "protocol-error" },
        EnumName { ErrorCode::Cancelled, "cancelled" },
        EnumName { ErrorCode::Mismatch, "mismatch" },
        EnumName { ErrorCode::Internal, "internal" },
    };
};

/// An error as a value: a stable code, a human-readable message, and whether the request was executed.
struct Error {
    ErrorCode code = ErrorCode::Internal;
    std::string message;
    RunState runState = RunState::NotRun;
    /// Time after which a retry may succeed, where known.
    std::optional<std::chrono::milliseconds> retryAfter = std::nullopt;
};

/// Result of an operation that can fail.
template <typename T> using Outcome = std::expected<T, Error>;

/// Makes the failing side of an Outcome.
/// @param code The stable code.
/// @param message Human-readable text. It must not contain a caller's key.
/// @param runState Whether the request was executed.
inline std::unexpected<Error> fail(ErrorCode code, std::string message, RunState runState = RunState::NotRun)
{
    return std::unexpected(Error { code, std::move(message), runState });
}

} // namespace Pollenwind
