#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"

#include <map>

namespace Pollenwind {

/// Size of a retry budget.
struct RetryBudgetOptions {
    double retriesPerRequest = 0.1;
    double retriesPerSecond = 3;
    /// Seconds over which requests count and unused retries are saved.
    double windowSeconds = 10;
};

/// Bounds the attempts beyond the first for each service, so that retries do not amplify an overload: a share of the
/// requests of the last window plus a number a second over the same time.
class RetryBudget {
public:
    explicit RetryBudget(const Clock& clock, RetryBudgetOptions options = {})
        : m_clock(clock)
        , m_options(options)
    {
    }

    /// Replaces the size. Retries that are saved up stay within the new size from the next use on.
    void setOptions(const RetryBudgetOptions& options) { m_options = options; }

    /// Notes a request's first attempt.
    void recordRequest(const ServiceId& service);

    /// Takes one retry.
    /// @return False when the budget is exhausted.
    bool tryTake(const ServiceId& service);

    /// Takes one resume. A begun answer is worth more than a new one, so a resume is never refused; it leaves less for
    /// retries.
    void takeResume(const ServiceId& service);

private:
    struct Bucket {
        double level = 0;
        /// Requests, decaying by a factor e in each window.
        double recentRequests = 0;
        MonotonicTime updatedAt { 0 };
    };

    Bucket& refill(const ServiceId& service);

    const Clock& m_clock;
    RetryBudgetOptions m_options;
    std::map<ServiceId, Bucket> m_buckets;
};

} // namespace Pollenwind
