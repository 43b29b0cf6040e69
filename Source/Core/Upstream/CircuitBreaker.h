#pragma once

#include "Common/Clock.h"
#include "Common/EnumTable.h"

#include <cstdint>
#include <memory>

namespace Pollenwind {

/// State of a circuit breaker.
enum class BreakerState {
    Closed,
    /// The upstream gets no requests.
    Open,
    /// The upstream gets one probe request, whose result decides the next state.
    HalfOpen,
    /// The upstream gets a growing fraction of its normal load.
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
    /// Consecutive failures that open a closed breaker. During a slow start, one failure opens it.
    std::uint32_t failuresToOpen = 3;
    /// Time to stay open after the first opening; it doubles with each failed probe.
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
    /// @return Fraction of its normal load that the upstream may get now, from 0 to 1.
    double admission() const { return m_isClosed ? 1 : admissionAfterFailures(); }

    /// Applies the state transitions that are due at the current time. A closed breaker does not change with time; each
    /// placement refreshes the breakers of all runners.
    void refresh()
    {
        if (!m_isClosed) {
            refreshAfterFailures();
        }
    }
    /// Records that a request was sent; if the breaker is half-open, the request is the probe.
    void recordStarted();
    void recordSuccess();
    void recordFailure();
    /// Records a request that ended for a reason unrelated to the upstream, e.g. because its caller disconnected.
    void recordAbandoned();
    /// Records that the upstream's process was restarted, after which earlier failures say little about it: an open
    /// breaker becomes half-open at once.
    void recordRestart();

private:
    struct BreakerStateMachine;

    double admissionAfterFailures() const;
    void refreshAfterFailures();
    template <typename Event> void process(const Event& event);

    std::unique_ptr<BreakerStateMachine> m_breakerStateMachine;
    /// Whether the state is Closed, kept here so that reading it needs no access to the state machine.
    bool m_isClosed = true;
};

} // namespace Pollenwind
