#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"

#include <array>
#include <cstdint>
#include <map>

namespace Pollenwind {

/// Limits of a retry budget.
struct RetryBudgetOptions {
    double retriesPerRequest = 0.1;
    double retriesPerSecond = 3;
    /// Length of the sliding window over which requests and retries count, in seconds.
    double windowSeconds = 10;
};

/// Bounds the retries of each service, so that they do not amplify an overload. In each sliding window a service gets
/// at most a fixed number of retries per second of the window plus a fraction of its requests: those of the window, of
/// the one before it or of the one half a window before it, whichever has most. Unused retries of a window are
/// available at once. In the first window after the start, half of the fixed number counts as taken.
class RetryBudget {
public:
    explicit RetryBudget(const Clock& clock, RetryBudgetOptions options = {})
        : m_clock(clock)
        , m_options(options)
        , m_startedAt(clock.now())
    {
    }

    /// Replaces the limits. Retries that were taken still count. If the length of the window changes, they count as
    /// taken now, and the requests so far no longer count.
    void setOptions(const RetryBudgetOptions& options);

    /// Records the first attempt of a request.
    void recordRequest(const ServiceId& service);

    /// Tells whether tryTake() would succeed now.
    bool mayTake(const ServiceId& service) const;

    /// Takes one retry from the budget.
    /// @return False if the budget is exhausted.
    bool tryTake(const ServiceId& service);

    /// Takes one resume from the budget. A resume is never refused, because a response that has begun is worth more
    /// than a new one, but it reduces the budget for retries.
    void takeResume(const ServiceId& service);

private:
    /// The requests of one slot in a window are not credited, since the window may contain only a part of it.
    static constexpr int slotsPerWindow = 100;
    /// The rule looks at the requests of two windows.
    static constexpr int historySlots = 2 * slotsPerWindow;

    struct Slot {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    /// Slots of the last two windows, at their number modulo the size. A slot with another number is out of date.
    using History = std::array<Slot, historySlots>;

    std::int64_t slotNumber(MonotonicTime time) const;
    Slot& currentSlot(const ServiceId& service);

    const Clock& m_clock;
    RetryBudgetOptions m_options;
    MonotonicTime m_startedAt;
    std::map<ServiceId, History> m_histories;
};

} // namespace Pollenwind
