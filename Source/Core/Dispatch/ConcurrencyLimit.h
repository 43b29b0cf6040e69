#pragma once

#include "Common/Clock.h"

namespace Pollenwind {

/// Number of requests that may run at one engine at a time. It rises while first tokens come in time and falls when
/// they do not, so that requests wait in the router's fair queue and not in the engines' queues.
class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(const Clock& clock)
        : m_clock(clock)
    {
    }

    /// Takes the time from dispatch to first token of one request.
    /// @param isFull True when the limit kept requests waiting; an unused limit does not rise.
    void recordFirstToken(std::chrono::nanoseconds latency, bool isFull);

    double value() const { return m_value; }

private:
    const Clock& m_clock;
    double m_value = 32;
    std::chrono::duration<double> m_smoothedLatency { 0 };
    MonotonicTime m_decreasedAt { 0 };
};

} // namespace Pollenwind
