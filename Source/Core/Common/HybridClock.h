#pragma once

#include "Common/Clock.h"

#include <compare>
#include <cstdint>
#include <string>

namespace Pollenwind {

/// Stamp of a hybrid logical clock: wall time in microseconds and a counter for events within one microsecond.
struct HybridTime {
    std::uint64_t wallMicroseconds = 0;
    std::uint32_t counter = 0;

    auto operator<=>(const HybridTime&) const = default;
};

/// Hybrid logical clock. A stamp is later than that of every event that caused it, also across processes whose wall
/// clocks differ.
class HybridClock {
public:
    explicit HybridClock(const Clock& clock)
        : m_clock(clock)
    {
    }

    /// Stamps a local event.
    HybridTime next();

    /// Takes note of a stamp received from another process, so that later local stamps follow it.
    void observe(HybridTime remote);

private:
    const Clock& m_clock;
    HybridTime m_last;
};

} // namespace Pollenwind
