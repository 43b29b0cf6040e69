#pragma once

#include "Common/EnumTable.h"
#include "Common/Error.h"
#include "Config/ServiceDocument.h"

namespace Pollenwind {

/// How far an attempt got.
enum class Progress {
    /// No byte was written to the upstream, or the upstream reported that it did not start.
    NotStarted,
    /// Bytes were written; no part of the response reached the caller.
    Sent,
    /// Part of the response reached the caller.
    AnswerBegun,
};

template <> struct EnumTable<Progress> {
    static constexpr std::array rows {
        EnumName { Progress::NotStarted, "not-started" },
        EnumName { Progress::Sent, "sent" },
        EnumName { Progress::AnswerBegun, "answer-begun" },
    };
};

/// Action of a router after a failed attempt.
enum class RetryAction {
    /// Start again at another upstream.
    Retry,
    /// Continue the response at another engine of the same version.
    Resume,
    /// Refuse the request, which certainly did not run.
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

/// Kind of request for the purpose of retries.
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
    /// The upstream reported that it did not start the request.
    Refused,
    Timeout,
    ConnectionLost,
    /// The response belonged to another request.
    Mismatch,
    /// The upstream responded with an error or violated the protocol.
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

/// Decides what to do after a failed attempt. Implements the retry rule of docs/design.md, section 4.4.
/// @param progress How far the failed attempt got; also AnswerBegun if an earlier attempt began the response.
/// @param canRepeat False if the retry budget, the deadline or the number of attempts forbids another attempt.
RetryAction decideRetry(RetryKind kind, Progress progress, AttemptFailure failure, bool canRepeat);

} // namespace Pollenwind
