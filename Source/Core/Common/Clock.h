#pragma once

#include <chrono>

namespace Pollenwind {

/// Time since an arbitrary start. It never goes back, and it includes the time in which the VM was suspended.
using MonotonicTime = std::chrono::nanoseconds;
/// Wall-clock time since the Unix epoch.
using WallTime = std::chrono::nanoseconds;

/// Source of time, abstract so that tests can control it.
class Clock {
public:
    Clock() = default;
    Clock(const Clock&) = delete;
    Clock& operator=(const Clock&) = delete;
    virtual ~Clock() = default;

    virtual MonotonicTime now() const = 0;
    virtual WallTime wallNow() const = 0;
};

/// Clock of the operating system. now() reads CLOCK_BOOTTIME, because a grant must also expire on a VM that was
/// suspended and CLOCK_MONOTONIC does not count that time.
class SystemClock final : public Clock {
public:
    MonotonicTime now() const override;
    WallTime wallNow() const override;
};

/// Clock that only advance() moves. For tests and simulations.
class ManualClock final : public Clock {
public:
    MonotonicTime now() const override { return m_now; }
    WallTime wallNow() const override { return m_wallNow; }

    /// Moves both times forward.
    void advance(std::chrono::nanoseconds step)
    {
        m_now += step;
        m_wallNow += step;
    }

private:
    MonotonicTime m_now { std::chrono::seconds(1000) };
    WallTime m_wallNow { std::chrono::seconds(1'700'000'000) };
};

} // namespace Pollenwind
