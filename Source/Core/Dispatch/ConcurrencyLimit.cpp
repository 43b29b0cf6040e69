#include "Dispatch/ConcurrencyLimit.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    // Half of the objective of 0.54 s for the first token at p95; the other half is left for the queue and the network.
    constexpr std::chrono::duration<double> targetLatency { 0.27 };
    constexpr double smoothingFactor = 0.1;
    constexpr double decreaseFactor = 0.9;
    constexpr double minLimit = 4;
    constexpr double maxLimit = 256;

} // namespace

void ConcurrencyLimit::recordFirstToken(std::chrono::nanoseconds latency, bool isFull)
{
    m_smoothedLatency += smoothingFactor * (std::chrono::duration<double>(latency) - m_smoothedLatency);
    if (m_smoothedLatency <= targetLatency) {
        m_value = isFull ? std::min(maxLimit, m_value + 1 / m_value) : m_value;
        return;
    }
    // At most one decrease per target latency, because its effect is measurable only after that time.
    const auto now = m_clock.now();
    if (now - m_decreasedAt >= targetLatency) {
        m_value = std::max(minLimit, m_value * decreaseFactor);
        m_decreasedAt = now;
    }
}

} // namespace Pollenwind
