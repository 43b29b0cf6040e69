#include "Dispatch/Queries/RetryRule.h"

#include "Common/Invariant.h"

#include <optional>

namespace Pollenwind {

namespace {

    struct RetryRow {
        RetryKind kind;
        Progress progress;
        /// Absent in the row for all failures without a row of their own.
        std::optional<AttemptFailure> failure;
        RetryAction action;
        /// Action if no further attempt is allowed.
        RetryAction last;
    };

    constexpr auto anyOtherFailure = std::nullopt;

    // A connect failure or an explicit refusal means that the attempt did not start, whatever was written before it.
    // After any other failure that follows the first byte it is unknown whether the upstream ran the request. Plain
    // responses are not streamed, so they have no row for AnswerBegun.
    constexpr std::array retryRows {
        // clang-format off
        RetryRow { RetryKind::Generation, Progress::NotStarted, anyOtherFailure, RetryAction::Retry, RetryAction::RefuseNotRun },
        RetryRow { RetryKind::Generation, Progress::Sent, AttemptFailure::ConnectFailed, RetryAction::Retry, RetryAction::RefuseNotRun },
        RetryRow { RetryKind::Generation, Progress::Sent, AttemptFailure::Refused, RetryAction::Retry, RetryAction::RefuseNotRun },
        RetryRow { RetryKind::Generation, Progress::Sent, anyOtherFailure, RetryAction::Retry, RetryAction::ReportUnknown },
        RetryRow { RetryKind::Generation, Progress::AnswerBegun, anyOtherFailure, RetryAction::Resume, RetryAction::EndWithError },
        RetryRow { RetryKind::IdempotentCall, Progress::NotStarted, anyOtherFailure, RetryAction::Retry, RetryAction::RefuseNotRun },
        RetryRow { RetryKind::IdempotentCall, Progress::Sent, AttemptFailure::ConnectFailed, RetryAction::Retry, RetryAction::RefuseNotRun },
        RetryRow { RetryKind::IdempotentCall, Progress::Sent, AttemptFailure::Refused, RetryAction::Retry, RetryAction::RefuseNotRun },
        RetryRow { RetryKind::IdempotentCall, Progress::Sent, anyOtherFailure, RetryAction::Retry, RetryAction::ReportUnknown },
        RetryRow { RetryKind::NonIdempotentCall, Progress::NotStarted, anyOtherFailure, RetryAction::Retry, RetryAction::RefuseNotRun },
        RetryRow { RetryKind::NonIdempotentCall, Progress::Sent, AttemptFailure::ConnectFailed, RetryAction::Retry, RetryAction::RefuseNotRun },
        RetryRow { RetryKind::NonIdempotentCall, Progress::Sent, AttemptFailure::Refused, RetryAction::Retry, RetryAction::RefuseNotRun },
        RetryRow { RetryKind::NonIdempotentCall, Progress::Sent, anyOtherFailure, RetryAction::ReportUnknown, RetryAction::ReportUnknown },
        // clang-format on
    };

} // namespace

AttemptFailure classifyFailure(const Error& error)
{
    switch (error.code) {
    case ErrorCode::ConnectFailed:
        return AttemptFailure::ConnectFailed;
    case ErrorCode::Unavailable:
        return AttemptFailure::Refused;
    case ErrorCode::DeadlineExceeded:
        return AttemptFailure::Timeout;
    case ErrorCode::ConnectionLost:
    case ErrorCode::Cancelled:
        return AttemptFailure::ConnectionLost;
    case ErrorCode::Mismatch:
        return AttemptFailure::Mismatch;
    default:
        return AttemptFailure::UpstreamError;
    }
}

RetryAction decideRetry(RetryKind kind, Progress progress, AttemptFailure failure, bool canRepeat)
{
    for (const auto& row : retryRows) {
        if (row.kind == kind && row.progress == progress && row.failure.value_or(failure) == failure) {
            return canRepeat ? row.action : row.last;
        }
    }
    checkInvariant(false, "plain responses are not streamed, so they never fail after AnswerBegun");
    return RetryAction::ReportUnknown;
}

} // namespace Pollenwind
