#include "Gateway/LoadAdmission.h"

#include <algorithm>
#include <optional>

namespace Pollenwind {

namespace {

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

} // namespace Pollenwind
