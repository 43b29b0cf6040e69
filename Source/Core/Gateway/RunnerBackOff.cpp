#include "Gateway/RunnerBackOff.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    // The VMs return to a runner over this share of the time that it named, at most over the second value.
    constexpr int spreadDivisor = 8;
    constexpr std::chrono::milliseconds longestSpread { 500 };

} // namespace

bool RunnerBackOff::recordRefusal(MonotonicTime now, std::chrono::nanoseconds wanted, double spread)
{
    if (wanted.count() <= 0) {
        return false;
    }
    const auto time = std::min<std::chrono::nanoseconds>(wanted, longestTime);
    const auto range = std::min<std::chrono::nanoseconds>(time / spreadDivisor, longestSpread);
    const auto until = now + time + std::chrono::duration_cast<std::chrono::nanoseconds>(range * spread);
    m_needsTrial = true;
    if (until <= m_until) {
        return false;
    }
    m_until = until;
    return true;
}

void RunnerBackOff::endTrial(MonotonicTime now, bool isAccepted)
{
    m_isTrialRunning = false;
    // Another request that was sent before may have been refused during the trial.
    m_needsTrial = m_needsTrial && (!isAccepted || isActive(now));
}

} // namespace Pollenwind
