#pragma once

#include "Common/Clock.h"

#include <compare>
#include <cstdint>
#include <string>

namespace Pollenwind {

/// Timestamp of a hybrid logical clock: wall time in microseconds and a counter for events within one microsecond.
struct HybridTime {
    std::uint64_t wallMicroseconds = 0;
    std::uint32_t counter = 0;

    auto operator<=>(const HybridTime&) const = default;
};

/// Hybrid logical clock. The timestamp of an event is later than that of every event that caused it, even across
/// processes whose wall clocks differ.
class HybridClock {
public:
    explicit HybridClock(const Clock& clock)
        : m_clock(clock)
    {
    }

    /// @return The timestamp of a local event or of a message to send.
    HybridTime next();

    /// Advances the clock to a timestamp received from another process, so that later local timestamps follow it.
    void observe(HybridTime remote);

private:
    const Clock& m_clock;
    HybridTime m_last;
};

} // namespace Pollenwind
