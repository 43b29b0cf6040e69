#pragma once

#include "Common/Clock.h"
#include "Common/EnumTable.h"

#include <cstdint>
#include <memory>

namespace Pollenwind {

/// State of a circuit breaker.
enum class BreakerState {
    Closed,
    /// The upstream gets no work.
    Open,
    /// The upstream gets one request, whose result decides.
    HalfOpen,
    /// The upstream gets a growing share of full work.
    SlowStart,
};

template <> struct EnumTable<BreakerState> {
    static constexpr std::array rows {
        EnumName { BreakerState::Closed, "closed" },
        EnumName { BreakerState::Open, "open" },
        EnumName { BreakerState::HalfOpen, "half-open" },
        EnumName { BreakerState::SlowStart, "slow-start" },
    };
};

/// Limits of a circuit breaker.
struct BreakerOptions {
    /// Consecutive failures that open a closed breaker. One failure opens it during a slow start.
    std::uint32_t failuresToOpen = 3;
    /// First time to stay open; it doubles with each failed probe.
    std::chrono::nanoseconds openTime { std::chrono::seconds(1) };
    std::chrono::nanoseconds longestOpenTime { std::chrono::seconds(15) };
    std::chrono::nanoseconds slowStartTime { std::chrono::seconds(5) };
};

/// Circuit breaker of one upstream.
class CircuitBreaker {
public:
    explicit CircuitBreaker(const Clock& clock, BreakerOptions options = {});
    ~CircuitBreaker();
    CircuitBreaker(CircuitBreaker&&) noexcept;
    CircuitBreaker& operator=(CircuitBreaker&&) noexcept;

    BreakerState state() const;
    /// @return Share of full work that the upstream may get now, from 0 to 1.
    double admission() const;

    /// Moves on as time requires.
    void refresh();
    /// Notes that work was sent; to a half-open breaker it is the probe.
    void recordStarted();
    void recordSuccess();
    void recordFailure();
    /// Notes work that ended without saying anything about the upstream, e.g. because its caller left.
    void recordAbandoned();
    /// Notes that the upstream's process was restarted: what failed before says little about it now.
    void recordRestart();

private:
    struct Machine;
    std::unique_ptr<Machine> m_machine;
};

} // namespace Pollenwind
