#pragma once

#include "Common/Clock.h"
#include "Common/EnumTable.h"
#include "Gateway/EngineRate.h"
#include "Gateway/RunnerTypes.h"

#include <array>
#include <chrono>
#include <span>

namespace Pollenwind {

/// Whether a request is sent to an engine now.
enum class AdmissionVerdict {
    Admit,
    Reject,
};

template <> struct EnumTable<AdmissionVerdict> {
    static constexpr std::array rows {
        EnumName { AdmissionVerdict::Admit, "admit" },
        EnumName { AdmissionVerdict::Reject, "reject" },
    };
};

/// Why a request is rejected.
enum class AdmissionReason {
    None,
    /// The best engine would produce the first output after the objective or after the caller's time.
    LateStart,
    /// The first output would be later than half of the objective, and more of the organisation's tokens were admitted
    /// than its fair share.
    AboveShare,
};

template <> struct EnumTable<AdmissionReason> {
    static constexpr std::array rows {
        EnumName { AdmissionReason::None, "none" },
        EnumName { AdmissionReason::LateStart, "late-start" },
        EnumName { AdmissionReason::AboveShare, "above-share" },
    };
};

/// What a request needs from an engine.
struct EngineDemand {
    RouteUrgency urgency = RouteUrgency::Urgent;
    /// Organisation of the caller; empty if it has none.
    OrganisationId organisation;
    /// Prompt tokens, as the caller declares them.
    double tokens = 0;
    /// Time left until the first output is due.
    std::chrono::nanoseconds untilObjective { 0 };
    /// Time left until the request's deadline.
    std::chrono::nanoseconds remaining { 0 };
    /// See FairShares.
    bool isAboveShare = false;
};

/// Decision on a request.
struct AdmissionDecision {
    AdmissionVerdict verdict = AdmissionVerdict::Admit;
    AdmissionReason reason = AdmissionReason::None;
    /// Time needed to work off what is too much now; 0 if that is not known.
    std::chrono::nanoseconds excess { 0 };
};

/// Decides for a request to an engine service whether it is sent or rejected.
///
/// Load pattern that it answers: prompts above the capacity of the pool. Without it the queues of the engines grow
/// until they refuse, all prompts are late, and refused callers return together.
class LoadAdmission {
public:
    /// @param engines Engines that the request may use.
    /// @param rate Rate of the service's engines.
    static AdmissionDecision decide(MonotonicTime now, const EngineDemand& demand,
        std::span<const RunnerCandidate> engines, const EngineRate& rate);
};

} // namespace Pollenwind
