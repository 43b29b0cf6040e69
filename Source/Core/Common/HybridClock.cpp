#include "Common/HybridClock.h"

namespace Pollenwind {

HybridTime HybridClock::next()
{
    const auto wall
        = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(m_clock.wallNow()).count());
    if (wall > m_last.wallMicroseconds) {
        m_last = { wall, 0 };
    } else {
        ++m_last.counter;
    }
    return m_last;
}

void HybridClock::observe(HybridTime remote)
{
    if (remote > m_last) {
        m_last = remote;
    }
}

} // namespace Pollenwind
