#include "Moves/ExposureRamp.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    using std::chrono::nanoseconds;

    double secondsOf(nanoseconds time) { return std::chrono::duration<double>(time).count(); }

    nanoseconds part(double fraction, nanoseconds total)
    {
        return std::chrono::duration_cast<nanoseconds>(fraction * std::chrono::duration<double, std::nano>(total));
    }

} // namespace

ExposureRamp::ExposureRamp(RampSettings settings)
    : m_settings(settings)
{
}

nanoseconds ExposureRamp::verdictTime(nanoseconds duration) const
{
    // Half of a very short time limit is left for the evidence.
    return std::max(duration - m_settings.verdictMargin, duration / 2);
}

nanoseconds ExposureRamp::fullLoadEnd(nanoseconds duration) const
{
    return verdictTime(duration) - std::min(m_settings.settlingTime, duration / 10);
}

double ExposureRamp::remainingAllowance(const RampState& state) const
{
    const auto& allowance = state.allowance;
    const double allowed
        = m_settings.usedAllowance * (allowance.share * static_cast<double>(state.requests) + allowance.slack);
    return std::max(0.0, allowed - static_cast<double>(state.newRequests));
}

double ExposureRamp::canaryShare(const RampState& state) const
{
    // Spreads what the full load leaves of the allowance over the time that is left.
    const auto& allowance = state.allowance;
    const double left
        = state.requestsPerSecond * std::max(0.0, secondsOf(fullLoadEnd(state.duration) - state.sinceOrder));
    const double total
        = m_settings.usedAllowance * (allowance.share * (static_cast<double>(state.requests) + left) + allowance.slack);
    const double reserved = std::min(
        state.requestsPerSecond * secondsOf(m_settings.reservedFullLoad), m_settings.maxReservedPart * total);
    const double planned = std::clamp((total - reserved - static_cast<double>(state.newRequests)) / std::max(1.0, left),
        m_settings.minCanaryShare, m_settings.maxCanaryShare);
    const bool isInitial = state.isSuspect || state.sinceOrder < part(m_settings.initialPart, state.duration);
    return isInitial ? std::min(planned, m_settings.initialShare) : planned;
}

RampStage ExposureRamp::stageOf(const RampState& state) const
{
    const auto end = fullLoadEnd(state.duration);
    if (state.sinceOrder >= end) {
        return RampStage::Settling;
    }
    if (state.isSuspect) {
        return RampStage::Canary;
    }
    // The allowance and the time to the end shrink alike under full load, so it goes on until the end once begun.
    const double longest = secondsOf(part(m_settings.maxFullLoadPart, state.duration));
    const double lasting = remainingAllowance(state) / std::max(1.0, state.requestsPerSecond);
    return secondsOf(end - state.sinceOrder) <= std::min(longest, lasting) ? RampStage::FullLoad : RampStage::Canary;
}

RampDecision ExposureRamp::decide(const RampState& state) const
{
    RampDecision decision;
    const bool isOver = state.sinceOrder >= verdictTime(state.duration);
    if (state.isRejected || (isOver && state.isSuspect)) {
        decision.action = RampAction::RollBack;
        decision.stage = RampStage::Ended;
        return decision;
    }
    if (isOver) {
        decision.action = RampAction::Complete;
        decision.stage = RampStage::Ended;
        decision.share = 1;
        return decision;
    }
    decision.stage = stageOf(state);
    const double wanted = decision.stage == RampStage::FullLoad ? 1 : canaryShare(state);
    const double remaining = remainingAllowance(state);
    if (remaining < 1) {
        return decision;
    }
    decision.budget = static_cast<std::uint64_t>(remaining);
    const double expected = state.requestsPerSecond * secondsOf(m_settings.reactionTime);
    decision.share = std::min(wanted, remaining / std::max(1.0, expected));
    return decision;
}

} // namespace Pollenwind
