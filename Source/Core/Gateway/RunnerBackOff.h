#pragma once

#include "Common/Clock.h"

#include <chrono>

namespace Pollenwind {

/// Back-off of this VM from one incarnation of a runner that refuses requests and names the time for which it wants
/// none. After that time one request at a time is sent as a trial until one is accepted.
class RunnerBackOff {
public:
    /// Longest time for which one refusal counts. A runner that names a longer one gets a trial after this time.
    static constexpr std::chrono::seconds longestTime { 30 };

    /// Records a refusal. A later one extends the time and never shortens it.
    /// @param wanted Time for which the runner wants no requests.
    /// @param spread From 0 to 1, different for each VM, so that the VMs do not return together.
    /// @return Whether the time was extended.
    bool recordRefusal(MonotonicTime now, std::chrono::nanoseconds wanted, double spread);

    /// Whether the runner wants no requests now.
    bool isActive(MonotonicTime now) const { return now < m_until; }
    /// Whether a request may be sent: the time has passed and no trial is running.
    bool admits(MonotonicTime now) const { return !isActive(now) && !m_isTrialRunning; }
    /// Whether the next request is a trial.
    bool needsTrial() const { return m_needsTrial; }
    /// End of the time; 0 if there was no refusal.
    MonotonicTime until() const { return m_until; }

    void beginTrial() { m_isTrialRunning = true; }
    /// @param isAccepted Whether the runner accepted the request, so that it gets others again.
    void endTrial(MonotonicTime now, bool isAccepted);

private:
    MonotonicTime m_until { 0 };
    bool m_needsTrial = false;
    bool m_isTrialRunning = false;
};

} // namespace Pollenwind
