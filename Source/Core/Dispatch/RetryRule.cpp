#include "Dispatch/Queries/RetryRule.h"

#include "Common/Invariant.h"

#include <optional>

namespace Pollenwind {

namespace {

    struct RetryRow {
        RetryKind kind;
        Progress progress;
        /// Absent for every other failure of the kind and progress.
        std::optional<AttemptFailure> failure;
        RetryAction action;
        /// Taken when no further attempt is allowed.
        RetryAction last;
    };

    constexpr auto anyOtherFailure = std::nullopt;

    // A connect failure and an explicit refusal mean that the attempt did not start, whatever was written before;
    // every other failure after the first byte leaves it unknown whether the upstream ran the request. Plain answers
    // are passed on whole, so they have no row for a begun answer.
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
    checkInvariant(false, "plain answers are passed on whole, so they never fail after they began");
    return RetryAction::ReportUnknown;
}

} // namespace Pollenwind
