#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Gateway/RunnerBackOff.h"
#include "Gateway/RunnerTypes.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>

namespace Pollenwind {

/// Failure state of one incarnation of a runner, in addition to its circuit breaker: refusals, failed connections from
/// this VM and from others, another process at its address, and weights that differ from its entry.
class RunnerFailureState {
public:
    /// Records that the runner refused a request and is expected to refuse others until a time.
    void recordRefusal(MonotonicTime until);
    /// Records that this VM could not connect.
    void recordConnectFailure(MonotonicTime now);
    /// Records that another VM could not connect.
    void recordRemoteConnectFailure(const VmId& vm, MonotonicTime now);
    /// Marks the runner as replaced because another process answered at its address.
    /// @return False if it was already marked.
    bool markReplaced(MonotonicTime now);
    /// Reacts to a refused request because the runner has other weights than those expected: assumes that it has the
    /// target weights if these are newer, otherwise avoids the runner until its entry is likely to be up to date.
    /// @param target Target weights of the model; 0 if none are configured.
    void onWeightsMismatch(const std::string& model, WeightsVersion expected, WeightsVersion target, MonotonicTime now);
    /// Ends the avoidance and the assumption about weights after the runner reported its weights.
    void onWeightsReported();

    /// Back-off that the runner itself asked for.
    RunnerBackOff& backOff() { return m_backOff; }
    const RunnerBackOff& backOff() const { return m_backOff; }

    /// Whether requests should go to other runners where possible.
    bool isSuspect(MonotonicTime now) const
    {
        return now < m_avoidUntil || (!m_remoteConnectFailures.empty() && isSuspectToOthers(now));
    }
    bool isReplaced() const { return m_replacedAt.count() > 0; }
    /// Weights that the runner is assumed to have. Used for the choice of a runner only, so that a runner with older
    /// reported weights is still ordered to load the target.
    /// @param reported Weights in its entry.
    WeightsVersion inferredWeights(const std::string& model, WeightsVersion reported, MonotonicTime now) const
    {
        const bool isInferred = m_inferred && m_inferred->model == model && now < m_inferred->until;
        return isInferred ? std::max(reported, m_inferred->version) : reported;
    }

    /// Whether this VM failed to connect so recently that the failure is reported to the other VMs.
    bool hasRecentConnectFailure(MonotonicTime now) const;
    /// Whether the runner was marked as replaced so recently that this is reported to the other VMs.
    bool wasRecentlyReplaced(MonotonicTime now) const;

private:
    /// Whether several other VMs could not connect.
    bool isSuspectToOthers(MonotonicTime now) const;

    struct InferredWeights {
        std::string model;
        WeightsVersion version = 0;
        MonotonicTime until { 0 };
    };

    MonotonicTime m_avoidUntil { 0 };
    /// 0 if no connection from this VM failed.
    MonotonicTime m_connectFailedAt { 0 };
    /// Time of the last failed connection by VM.
    std::map<VmId, MonotonicTime> m_remoteConnectFailures;
    /// 0 if the runner was not replaced.
    MonotonicTime m_replacedAt { 0 };
    std::optional<InferredWeights> m_inferred;
    RunnerBackOff m_backOff;
};

} // namespace Pollenwind
