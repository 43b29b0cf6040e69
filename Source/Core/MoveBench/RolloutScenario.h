#pragma once

#include "Common/EnumTable.h"
#include "Moves/MoveTypes.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace Pollenwind {

/// Behaviour of the new version, or of the whole service, in a simulated roll-out.
enum class RolloutForm {
    Good,
    /// Good, while all runners are overloaded for some seconds.
    GoodWhileOverloaded,
    /// Good, while another fault fails answers of both versions for some seconds.
    GoodBesideFault,
    /// Every answer is 3 to 8 times as slow.
    SlowAlways,
    /// Half of the answers are 3 to 8 times as slow.
    SlowHalf,
    FailsHalf,
    FailsFifth,
    /// Half of the answers on one route fail or are slow.
    BadOnOneRoute,
    /// Half of the answers fail or are slow from a time on that lies between a fifth and a half of the duration.
    BadLater,
    /// Half of the answers fail or are slow while the version gets more than half of the requests.
    BadUnderLoad,
};

template <> struct EnumTable<RolloutForm> {
    static constexpr std::array rows {
        EnumName { RolloutForm::Good, "good" },
        EnumName { RolloutForm::GoodWhileOverloaded, "good, overloaded" },
        EnumName { RolloutForm::GoodBesideFault, "good, other fault" },
        EnumName { RolloutForm::SlowAlways, "all slow" },
        EnumName { RolloutForm::SlowHalf, "half slow" },
        EnumName { RolloutForm::FailsHalf, "half fail" },
        EnumName { RolloutForm::FailsFifth, "a fifth fail" },
        EnumName { RolloutForm::BadOnOneRoute, "one route" },
        EnumName { RolloutForm::BadLater, "late" },
        EnumName { RolloutForm::BadUnderLoad, "under load" },
    };
};

inline bool isGood(RolloutForm form)
{
    return form == RolloutForm::Good || form == RolloutForm::GoodWhileOverloaded
        || form == RolloutForm::GoodBesideFault;
}

/// Kind of the simulated service.
enum class RolloutTraffic {
    /// Streams of a language model on two routes; the new version starts with an empty cache.
    Streams,
    /// Plain answers on two routes; one of them often fails with either version.
    Plain,
};

template <> struct EnumTable<RolloutTraffic> {
    static constexpr std::array rows {
        EnumName { RolloutTraffic::Streams, "streams" },
        EnumName { RolloutTraffic::Plain, "plain" },
    };
};

/// Parameters of one simulated roll-out.
struct RolloutScenario {
    RolloutForm form = RolloutForm::Good;
    RolloutTraffic traffic = RolloutTraffic::Streams;
    /// Requests to the service over the fleet.
    double requestsPerSecond = 47;
    std::chrono::seconds duration { 15 };
    std::uint64_t seed = 1;
};

/// Result of a simulated roll-out.
struct RolloutResult {
    bool isComplete = false;
    std::chrono::nanoseconds verdictAfter { 0 };
    MoveReason reason = MoveReason::None;
    std::string evidence;
    /// Likelihood ratio at the verdict.
    double likelihoodRatio = 1;
    /// Requests to the service and to the new version between the order and the time limit.
    std::uint64_t requests = 0;
    std::uint64_t newRequests = 0;
    /// Part of the allowance that the new version used.
    double usedAllowance = 0;
    /// Bad answers of the new version that had ended at the verdict.
    std::uint64_t badAnswers = 0;
    /// Time from the 50th bad answer to the last request to the new version; 0 without 50 bad answers.
    std::chrono::nanoseconds reaction { 0 };
};

/// Runs one roll-out in virtual time with the production ramp and evaluator: 9 VMs report each 250 ms, and one of them
/// decides each 250 ms.
RolloutResult simulateRollout(const RolloutScenario& scenario);

} // namespace Pollenwind
