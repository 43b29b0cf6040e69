#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Gateway/RunnerTypes.h"

#include <map>
#include <optional>
#include <string>

namespace Pollenwind {

/// What is held against one start of a runner, beyond its circuit breaker: refusals, failed connections of this VM and
/// of others, another process at its address, weights that differ from its entry.
class RunnerFailureState {
public:
    /// Notes that the runner refused a request and will refuse others until a time.
    void recordRefusal(MonotonicTime until);
    /// Notes that no connection could be made.
    void recordConnectFailure(MonotonicTime now);
    /// Notes that another VM could not connect.
    void recordRemoteConnectFailure(const VmId& vm, MonotonicTime now);
    /// Notes that another process answered at the address.
    /// @return False when that was known.
    bool markReplaced(MonotonicTime now);
    /// Notes that the runner refused a request since it has other weights than those expected.
    /// @param newest Newest weights that were named; 0 when none were.
    void onWeightsMismatch(const std::string& model, WeightsVersion expected, WeightsVersion target, MonotonicTime now);
    /// Notes that the runner's weights are known anew.
    void onWeightsReported();

    /// Tells whether other runners are to be preferred.
    bool isSuspect(MonotonicTime now) const;
    bool isReplaced() const { return m_replacedAt.count() > 0; }
    /// Weights that the runner is taken to have, for the choice of a runner only.
    /// @param known Weights of its entry.
    WeightsVersion inferredWeights(const std::string& model, WeightsVersion reported, MonotonicTime now) const;

    /// Tells whether the other VMs are to be told of a failed connection, or of another process at the address.
    bool hasRecentConnectFailure(MonotonicTime now) const;
    bool wasRecentlyReplaced(MonotonicTime now) const;

private:
    struct InferredWeights {
        std::string model;
        WeightsVersion version = 0;
        MonotonicTime until { 0 };
    };

    MonotonicTime m_avoidUntil { 0 };
    MonotonicTime m_connectFailedAt { 0 };
    std::map<VmId, MonotonicTime> m_remoteConnectFailures;
    /// 0 when no other process was found.
    MonotonicTime m_replacedAt { 0 };
    std::optional<InferredWeights> m_inferred;
};

} // namespace Pollenwind
