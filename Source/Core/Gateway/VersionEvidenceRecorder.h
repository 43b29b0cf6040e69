#pragma once

#include "Common/Clock.h"
#include "Gateway/RolloutTypes.h"

#include <map>

namespace Pollenwind {

/// Records this VM's attempts of one roll-out as evidence on both versions.
///
/// Each attempt contributes at most one time to first output and one mean time between events. Both are taken while the
/// attempt is still running once it is certain that they are long, so that a version that hangs is detected without
/// waiting for its answers.
class VersionEvidenceRecorder {
public:
    explicit VersionEvidenceRecorder(const Clock& clock)
        : m_clock(clock)
    {
    }

    /// @param work Prompt tokens that the runner is expected to compute. The time to first output is divided by them.
    void start(RolloutAttemptId attempt, bool isTarget, std::string route, double work);
    void recordOutput(RolloutAttemptId attempt);
    /// @return Whether the attempt was on the target version, or nothing for an unknown attempt.
    std::optional<bool> end(RolloutAttemptId attempt, VersionResult result);

    /// Takes the times of outstanding attempts that already exceed those of the old version.
    /// @param baseline Evidence on the old version from the whole fleet.
    void refresh(const std::map<std::string, RouteEvidence>& baseline);

    const MoveEvidence& totals() const { return m_totals; }

private:
    struct Attempt {
        bool isTarget = false;
        std::string route;
        double work = 0;
        MonotonicTime sentAt { 0 };
        /// 0 before the first output.
        MonotonicTime firstOutputAt { 0 };
        MonotonicTime lastOutputAt { 0 };
        /// Outputs after the first one.
        unsigned laterOutputs = 0;
        bool isFirstOutputTaken = false;
        bool isPauseTaken = false;
    };

    RouteEvidence& evidenceOf(const Attempt& attempt);
    void takeFirstOutput(Attempt& attempt, std::chrono::nanoseconds time);
    void takePause(Attempt& attempt, std::chrono::nanoseconds pause);

    const Clock& m_clock;
    std::map<RolloutAttemptId, Attempt> m_attempts;
    MoveEvidence m_totals;
};

} // namespace Pollenwind
