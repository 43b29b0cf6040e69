#pragma once

#include "Common/EnumTable.h"

#include <chrono>
#include <cstdint>

namespace Pollenwind {

/// What the driver of a roll-out does next.
enum class RampAction {
    /// Goes on with the decided share.
    Continue,
    /// Reports the new version as complete.
    Complete,
    /// Rejects the new version.
    RollBack,
};

template <> struct EnumTable<RampAction> {
    static constexpr std::array rows {
        EnumName { RampAction::Continue, "continue" },
        EnumName { RampAction::Complete, "complete" },
        EnumName { RampAction::RollBack, "roll-back" },
    };
};

/// Part of a roll-out that its share of the requests belongs to.
enum class RampStage {
    /// A small share collects evidence.
    Canary,
    /// The new version gets all requests for a short time, which shows faults that depend on load.
    FullLoad,
    /// Small share again, until the last answers of the full load have been judged.
    Settling,
    /// A verdict has been reached.
    Ended,
};

template <> struct EnumTable<RampStage> {
    static constexpr std::array rows {
        EnumName { RampStage::Canary, "canary" },
        EnumName { RampStage::FullLoad, "full-load" },
        EnumName { RampStage::Settling, "settling" },
        EnumName { RampStage::Ended, "ended" },
    };
};

/// Requests that a version may get before its verdict: a share of all requests to the service plus a constant.
struct ExposureAllowance {
    double share = 0.1;
    double slack = 50;
};

/// State of a roll-out over the whole fleet.
struct RampState {
    std::chrono::nanoseconds sinceOrder { 0 };
    /// Time from the order to its time limit.
    std::chrono::nanoseconds duration { 0 };
    /// Requests to the service since the order, for either version.
    std::uint64_t requests = 0;
    /// Requests that were sent to the new version since the order, outstanding ones included.
    std::uint64_t newRequests = 0;
    /// Present rate of requests to the service, for either version.
    double requestsPerSecond = 0;
    ExposureAllowance allowance;
    /// The evidence points against the new version.
    bool isSuspect = false;
    /// The evidence suffices to reject the new version.
    bool isRejected = false;
};

/// Decision on a roll-out.
struct RampDecision {
    RampAction action = RampAction::Continue;
    RampStage stage = RampStage::Canary;
    /// Share of the requests that the new version gets until the next decision, from 0 to 1.
    double share = 0;
    /// Requests that the fleet may send to the new version until newer counts are known. Each VM that also keeps to its
    /// part of this number keeps the bound whatever the share and the rate turn out to be.
    std::uint64_t budget = 0;
};

/// Tuning of ExposureRamp.
struct RampSettings {
    /// Part of the allowance that is used; the rest covers requests that are not counted yet.
    double usedAllowance = 0.7;
    /// Time until a decision has replaced the one before on all VMs, and its requests have been counted.
    std::chrono::nanoseconds reactionTime = std::chrono::milliseconds(500);
    double minCanaryShare = 0.01;
    double maxCanaryShare = 0.07;
    /// Part of the time in which the share is at most initialShare: a version that fails at once then fails few.
    double initialPart = 0.2;
    double initialShare = 0.04;
    /// Length of the full load that the canary leaves allowance for.
    std::chrono::nanoseconds reservedFullLoad = std::chrono::milliseconds(800);
    /// Largest part of the allowance that is left for the full load; the canary of a large service needs the rest.
    double maxReservedPart = 0.65;
    /// Longest full load, as a part of the time from the order to the time limit.
    double maxFullLoadPart = 0.2;
    /// Time between the end of the full load and the verdict, in which its answers arrive and are reported.
    std::chrono::nanoseconds settlingTime = std::chrono::milliseconds(1000);
    /// Time between the verdict and the time limit; covers the write to the store.
    std::chrono::nanoseconds verdictMargin = std::chrono::milliseconds(400);
};

/// Bounds how many requests reach a new version before its verdict, and decides when the roll-out ends.
///
/// A decision depends only on its state, so any VM that takes over the roll-out decides the same. A small share
/// collects evidence. Near the end all requests go to the new version for as long as the rest of the allowance lasts,
/// since a version that fails under load only shows it then. The share never grows while the version is suspect, and a
/// version that is still suspect at the end is rejected.
class ExposureRamp {
public:
    explicit ExposureRamp(RampSettings settings = {});

    /// @param state Counts and evaluation of the whole fleet.
    /// @return Share of the new version until the next decision, and whether the roll-out ends.
    RampDecision decide(const RampState& state) const;

    /// Time after the order at which a version that is not suspect is complete.
    std::chrono::nanoseconds verdictTime(std::chrono::nanoseconds duration) const;

private:
    std::chrono::nanoseconds fullLoadEnd(std::chrono::nanoseconds duration) const;
    double remainingAllowance(const RampState& state) const;
    double canaryShare(const RampState& state) const;
    RampStage stageOf(const RampState& state) const;

    RampSettings m_settings;
};

} // namespace Pollenwind
