#pragma once

#include "Common/EnumTable.h"
#include "Common/Error.h"
#include "Config/ServiceDocument.h"

namespace Pollenwind {

/// How far an attempt got.
enum class Progress {
    /// No byte was written to the upstream, or the upstream said that it did not start.
    NotStarted,
    /// Bytes were written; nothing of the answer reached the caller.
    Sent,
    /// Part of the answer reached the caller.
    AnswerBegun,
};

template <> struct EnumTable<Progress> {
    static constexpr std::array rows {
        EnumName { Progress::NotStarted, "not-started" },
        EnumName { Progress::Sent, "sent" },
        EnumName { Progress::AnswerBegun, "answer-begun" },
    };
};

/// What a router does after a failed attempt.
enum class RetryAction {
    /// Start again at another upstream.
    Retry,
    /// Continue the answer at another engine of the same version.
    Resume,
    /// Refuse; the request certainly did not run.
    RefuseNotRun,
    /// Report that the outcome is unknown.
    ReportUnknown,
    /// End the stream with an error event.
    EndWithError,
};

template <> struct EnumTable<RetryAction> {
    static constexpr std::array rows {
        EnumName { RetryAction::Retry, "retry" },
        EnumName { RetryAction::Resume, "resume" },
        EnumName { RetryAction::RefuseNotRun, "refuse-not-run" },
        EnumName { RetryAction::ReportUnknown, "report-unknown" },
        EnumName { RetryAction::EndWithError, "end-with-error" },
    };
};

/// Kind of request as far as retries are concerned.
enum class RetryKind {
    /// Token stream of an engine: idempotent and resumable.
    Generation,
    IdempotentCall,
    NonIdempotentCall,
};

template <> struct EnumTable<RetryKind> {
    static constexpr std::array rows {
        EnumName { RetryKind::Generation, "generation" },
        EnumName { RetryKind::IdempotentCall, "idempotent-call" },
        EnumName { RetryKind::NonIdempotentCall, "non-idempotent-call" },
    };
};

/// Why an attempt failed.
enum class AttemptFailure {
    ConnectFailed,
    /// The upstream said that it did not start the request.
    Refused,
    Timeout,
    ConnectionLost,
    /// The answer belonged to another request.
    Mismatch,
    /// The upstream answered with an error or broke the protocol.
    UpstreamError,
};

template <> struct EnumTable<AttemptFailure> {
    static constexpr std::array rows {
        EnumName { AttemptFailure::ConnectFailed, "connect-failed" },
        EnumName { AttemptFailure::Refused, "refused" },
        EnumName { AttemptFailure::Timeout, "timeout" },
        EnumName { AttemptFailure::ConnectionLost, "connection-lost" },
        EnumName { AttemptFailure::Mismatch, "mismatch" },
        EnumName { AttemptFailure::UpstreamError, "upstream-error" },
    };
};

/// Classifies an attempt's error.
AttemptFailure classifyFailure(const Error& error);

/// The retry rule of docs/design.md, section 4.4.
/// @param progress How far the failed attempt got; AnswerBegun also when an earlier attempt began the answer.
/// @param canRepeat False when the budget, the deadline or the number of upstreams forbids another attempt.
RetryAction decideRetry(RetryKind kind, Progress progress, AttemptFailure failure, bool canRepeat);

} // namespace Pollenwind
