#pragma once

#include "Common/Clock.h"

namespace Pollenwind {

/// Adaptive limit of concurrent requests per engine. It increases while the time to first token is within its target
/// and decreases when it is not, so that requests wait in the router's fair queue and not in the engines' queues.
class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(const Clock& clock)
        : m_clock(clock)
    {
    }

    /// Updates the limit with the time from admission to the first token of one request.
    /// @param isFull True if requests are waiting because of the limit; an unused limit does not increase.
    void recordFirstToken(std::chrono::nanoseconds latency, bool isFull);

    double value() const { return m_value; }

private:
    const Clock& m_clock;
    double m_value = 32;
    std::chrono::duration<double> m_smoothedLatency { 0 };
    MonotonicTime m_decreasedAt { 0 };
};

} // namespace Pollenwind
