#include "Gateway/LoadAdmission.h"

#include <algorithm>
#include <optional>

namespace Pollenwind {

namespace {

    constexpr std::chrono::milliseconds shortestReturnTime { 100 };

    // Part of the remaining time that callers wait at most when they follow Retry-After.
    constexpr int remainingDivisor = 3;

    // Part of the time until the objective up to which organisations above their fair share use the engines. The rest
    // is for those below it, whose requests arrive in between.
    constexpr int aboveShareDivisor = 2;

    /// Whether an engine can begin with a prompt at once, whatever rate was learnt.
    bool isFree(const RunnerCandidate& engine)
    {
        return engine.load.requests < engine.slots && engine.load.yieldingTokens <= 0;
    }

} // namespace

AdmissionDecision LoadAdmission::decide(
    MonotonicTime now, const EngineDemand& demand, std::span<const RunnerCandidate> engines, const EngineRate& rate)
{
    if (engines.empty() || demand.urgency == RouteUrgency::Urgent) {
        // Without an engine the dispatcher knows the time at which one returns. Engines put urgent requests first.
        return {};
    }
    const auto limit = std::min(demand.untilObjective, demand.remaining);
    std::optional<std::chrono::nanoseconds> earliest;
    for (const auto& engine : engines) {
        if (isFree(engine)) {
            return {};
        }
        if (const auto time = rate.timeToFirstOutput(now, engine.load.yieldingTokens, demand.tokens)) {
            earliest = std::min(earliest.value_or(*time), *time);
        }
    }
    if (earliest && *earliest > limit) {
        return { AdmissionVerdict::Reject, AdmissionReason::LateStart, *earliest - limit };
    }
    if (const auto ownLimit = std::min(demand.untilObjective / aboveShareDivisor, limit);
        earliest && demand.isAboveShare && *earliest > ownLimit) {
        return { AdmissionVerdict::Reject, AdmissionReason::AboveShare, *earliest - ownLimit };
    }
    return {};
}

std::chrono::milliseconds LoadAdmission::retryAfter(
    std::chrono::nanoseconds excess, std::chrono::nanoseconds remaining, double spread)
{
    // Half of what the caller follows, so that the spread is not cut off.
    const auto longest
        = std::max<std::chrono::nanoseconds>(remaining / remainingDivisor / 2, std::chrono::nanoseconds(0));
    const auto base = std::min(std::max<std::chrono::nanoseconds>(excess, shortestReturnTime), longest);
    const auto spreadTime = std::chrono::duration_cast<std::chrono::nanoseconds>(base * std::clamp(spread, 0.0, 1.0));
    return std::chrono::duration_cast<std::chrono::milliseconds>(base + spreadTime);
}

} // namespace Pollenwind
