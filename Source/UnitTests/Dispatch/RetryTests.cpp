#include "Dispatch/Queries/RetryRule.h"
#include "Dispatch/RetryBudget.h"

#include <criterion/criterion.h>

#include <string>

using namespace Pollenwind;

namespace {

bool isStillNotStarted(Progress progress, AttemptFailure failure)
{
    return progress == Progress::NotStarted || failure == AttemptFailure::ConnectFailed
        || failure == AttemptFailure::Refused;
}

/// Independent implementation of the rule of docs/design.md, section 4.4, which the code implements as a table.
RetryAction expectedAction(RetryKind kind, Progress progress, AttemptFailure failure, bool canRepeat)
{
    if (progress == Progress::AnswerBegun) {
        return canRepeat ? RetryAction::Resume : RetryAction::EndWithError;
    }
    if (isStillNotStarted(progress, failure)) {
        return canRepeat ? RetryAction::Retry : RetryAction::RefuseNotRun;
    }
    return canRepeat && kind != RetryKind::NonIdempotentCall ? RetryAction::Retry : RetryAction::ReportUnknown;
}

} // namespace

// Guards against a row that repeats a non-idempotent call that may have run, or reports a started request as not run.
Test(RetryRule, everyRow)
{
    for (const auto& kind : EnumTable<RetryKind>::rows) {
        for (const auto& progress : EnumTable<Progress>::rows) {
            for (const auto& failure : EnumTable<AttemptFailure>::rows) {
                if (kind.value != RetryKind::Generation && progress.value == Progress::AnswerBegun) {
                    continue;
                }
                for (const bool canRepeat : { false, true }) {
                    cr_expect(decideRetry(kind.value, progress.value, failure.value, canRepeat)
                            == expectedAction(kind.value, progress.value, failure.value, canRepeat),
                        "%s %s %s %d", std::string(kind.name).c_str(), std::string(progress.name).c_str(),
                        std::string(failure.name).c_str(), canRepeat);
                }
            }
        }
    }
}

// Guards against retries that multiply the load of a failing service.
Test(RetryBudget, grantsATenthOfRequestsAndThreeASecond)
{
    ManualClock clock;
    RetryBudget budget(clock);
    const ServiceId service("fitter");
    // Later than the first window, in which half of the three a second counts as taken.
    clock.advance(std::chrono::seconds(20));
    int granted = 0;
    for (int n = 0; n < 10'000; ++n) {
        clock.advance(std::chrono::milliseconds(1));
        budget.recordRequest(service);
        granted += budget.tryTake(service) ? 1 : 0;
    }
    // 10 s: 1000 for the requests, 30 for the time; one percent may be lost to rounding.
    cr_assert(granted >= 1019 && granted <= 1030, "%d", granted);
}

// Guards against a budget that accumulates without bound while a service is idle, and against one service that uses
// the budget of another.
Test(RetryBudget, isBoundedAndPerService)
{
    ManualClock clock;
    RetryBudget budget(clock);
    while (budget.tryTake(ServiceId("a"))) { }
    clock.advance(std::chrono::hours(1));
    int granted = 0;
    while (budget.tryTake(ServiceId("a"))) {
        ++granted;
    }
    cr_assert_eq(granted, 30);
    cr_assert(budget.tryTake(ServiceId("b")));
}
