#include "Dispatch/Queries/ClaimRule.h"

namespace Pollenwind {

ClaimResult evaluateClaim(const ClaimRecord& record, const Digest& call, WallTime now)
{
    if (record.call != call) {
        return ClaimResult::Conflict;
    }
    switch (record.state) {
    case ClaimState::Done:
        return ClaimResult::Replay;
    case ClaimState::DoneWithoutAnswer:
        return ClaimResult::AnswerNotKept;
    case ClaimState::Running:
        return now < record.runsUntil ? ClaimResult::InProgress : ClaimResult::OutcomeUnknown;
    case ClaimState::Unknown:
        break;
    }
    return ClaimResult::OutcomeUnknown;
}

ClaimRecord finishedRecord(ClaimRecord record, std::optional<PlainAnswer> answer)
{
    if (!answer) {
        record.state = ClaimState::Unknown;
    } else if (answer->body.size() > maxStoredBodyBytes) {
        record.state = ClaimState::DoneWithoutAnswer;
    } else {
        record.state = ClaimState::Done;
        record.answer = std::move(*answer);
    }
    return record;
}

} // namespace Pollenwind
