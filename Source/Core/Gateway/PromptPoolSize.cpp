#include "Gateway/PromptPoolSize.h"

#include <algorithm>
#include <cmath>

namespace Pollenwind {

namespace {

    // Share of the slots outside the pool that urgent requests use on average before the pool gives way. Requests begin
    // to queue at this share of an engine's slots, see AffinityCosts::queueingShare.
    constexpr double usedSlotShare = 0.75;

    // Times in which two thirds of a change take effect. Peaks of streams build up within one to two seconds; a pool
    // that grows computes the prefixes again that move.
    constexpr std::chrono::milliseconds shrinkTime { 500 };
    constexpr std::chrono::milliseconds growthTime { 3000 };

    // After a pause without requests one observation must not decide the size.
    constexpr std::chrono::milliseconds longestStep { 500 };

} // namespace

double PromptPoolSize::update(MonotonicTime now, std::size_t engines, double slots, double urgentRequests)
{
    if (engines == 0 || slots <= 0) {
        return m_share;
    }
    const double target = std::clamp(1 - urgentRequests / (slots * usedSlotShare), smallestShare, largestShare);
    const std::chrono::duration<double> elapsed(std::min<std::chrono::nanoseconds>(now - m_updatedAt, longestStep));
    m_updatedAt = now;
    const std::chrono::duration<double> time = target < m_share ? shrinkTime : growthTime;
    m_share += (target - m_share) * (1 - std::exp(-elapsed / time));
    return m_share;
}

} // namespace Pollenwind
