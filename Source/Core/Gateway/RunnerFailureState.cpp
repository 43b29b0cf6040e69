#include "Gateway/RunnerFailureState.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    // Time until a runner's entry shows new weights: a heartbeat of 1.2 s and the longest batch delay of a VM.
    constexpr std::chrono::milliseconds inferredWeightsTime { 2200 };

    // Time after which a runner that could not be reached is tried again. Entries of crashed runners expire after
    // 3.6 s.
    constexpr std::chrono::milliseconds connectFailureTime { 1000 };

    // Number of VMs that must fail to reach a runner before the other VMs avoid it. A single VM may be cut off itself.
    constexpr std::size_t minConfirmingVms = 2;

    // Two or three reports contain each failure, so that it gets through when a datagram is lost.
    constexpr std::chrono::milliseconds failureReportTime { 600 };

    bool isRecent(MonotonicTime at, MonotonicTime now) { return at.count() > 0 && at >= now - failureReportTime; }

} // namespace

void RunnerFailureState::recordRefusal(MonotonicTime until) { m_avoidUntil = until; }

void RunnerFailureState::recordConnectFailure(MonotonicTime now)
{
    m_connectFailedAt = now;
    m_avoidUntil = std::max(m_avoidUntil, now + connectFailureTime);
}

void RunnerFailureState::recordRemoteConnectFailure(const VmId& vm, MonotonicTime now)
{
    m_remoteConnectFailures[vm] = now;
}

bool RunnerFailureState::markReplaced(MonotonicTime now)
{
    if (isReplaced()) {
        return false;
    }
    m_replacedAt = now;
    return true;
}

void RunnerFailureState::onWeightsMismatch(
    const std::string& model, WeightsVersion expected, WeightsVersion target, MonotonicTime now)
{
    if (target <= expected) {
        // The runner has neither the weights of its entry nor the target weights.
        m_inferred.reset();
        m_avoidUntil = now + inferredWeightsTime;
        return;
    }
    m_inferred = InferredWeights { model, target, now + inferredWeightsTime };
}

void RunnerFailureState::onWeightsReported()
{
    m_avoidUntil = {};
    m_inferred.reset();
}

bool RunnerFailureState::isSuspectToOthers(MonotonicTime now) const
{
    const auto confirming = std::ranges::count_if(
        m_remoteConnectFailures, [now](const auto& it) { return it.second >= now - connectFailureTime; });
    return static_cast<std::size_t>(confirming) >= minConfirmingVms;
}

bool RunnerFailureState::hasRecentConnectFailure(MonotonicTime now) const { return isRecent(m_connectFailedAt, now); }

bool RunnerFailureState::wasRecentlyReplaced(MonotonicTime now) const { return isRecent(m_replacedAt, now); }

} // namespace Pollenwind
