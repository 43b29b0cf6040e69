#include "Dispatch/Queries/RetryRule.h"

#include "Common/Invariant.h"

namespace Pollenwind {

namespace {

    struct RetryRow {
        RetryKind kind;
        Progress progress;
        RetryAction action;
        /// Taken when no further attempt is allowed.
        RetryAction last;
    };

    // A connect failure and an explicit refusal leave an attempt not started whatever the kind; every other failure
    // after the first byte leaves it unknown whether the upstream ran the request.
    constexpr std::array retryRows {
        RetryRow { RetryKind::Generation, Progress::NotStarted, RetryAction::Retry, RetryAction::RefuseNotRun },
        RetryRow { RetryKind::Generation, Progress::Sent, RetryAction::Retry, RetryAction::ReportUnknown },
        RetryRow { RetryKind::Generation, Progress::AnswerBegun, RetryAction::Resume, RetryAction::EndWithError },
        RetryRow { RetryKind::IdempotentCall, Progress::NotStarted, RetryAction::Retry, RetryAction::RefuseNotRun },
        RetryRow { RetryKind::IdempotentCall, Progress::Sent, RetryAction::Retry, RetryAction::ReportUnknown },
        RetryRow { RetryKind::NonIdempotentCall, Progress::NotStarted, RetryAction::Retry, RetryAction::RefuseNotRun },
        RetryRow {
            RetryKind::NonIdempotentCall, Progress::Sent, RetryAction::ReportUnknown, RetryAction::ReportUnknown },
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
    const bool isRefused = failure == AttemptFailure::ConnectFailed || failure == AttemptFailure::Refused;
    const auto effective = progress == Progress::Sent && isRefused ? Progress::NotStarted : progress;
    for (const auto& row : retryRows) {
        if (row.kind == kind && row.progress == effective) {
            return canRepeat ? row.action : row.last;
        }
    }
    checkInvariant(false, "plain answers are passed on whole, so they never fail after they began");
    return RetryAction::ReportUnknown;
}

} // namespace Pollenwind
