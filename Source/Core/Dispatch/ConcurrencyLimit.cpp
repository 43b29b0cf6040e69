#include "Dispatch/ConcurrencyLimit.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    // Half of the 0.54 s that the first token may take at p95; the other half is left for the queue and the network.
    constexpr std::chrono::duration<double> targetLatency { 0.27 };
    constexpr double smoothing = 0.1;
    constexpr double lowering = 0.9;
    constexpr double smallest = 4;
    constexpr double largest = 256;

} // namespace

void ConcurrencyLimit::noteFirstToken(std::chrono::nanoseconds latency, bool isFull)
{
    m_smoothed += smoothing * (std::chrono::duration<double>(latency) - m_smoothed);
    if (m_smoothed <= targetLatency) {
        m_value = isFull ? std::min(largest, m_value + 1 / m_value) : m_value;
        return;
    }
    // One step for each target latency, since the effect of a step shows only after that time.
    const auto now = m_clock.now();
    if (now - m_loweredAt >= targetLatency) {
        m_value = std::max(smallest, m_value * lowering);
        m_loweredAt = now;
    }
}

} // namespace Pollenwind
