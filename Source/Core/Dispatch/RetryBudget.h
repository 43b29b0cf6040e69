#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"

#include <map>

namespace Pollenwind {

/// Limits of a retry budget.
struct RetryBudgetOptions {
    double retriesPerRequest = 0.1;
    double retriesPerSecond = 3;
    /// Time over which requests count and unused retries accumulate, in seconds.
    double windowSeconds = 10;
};

/// Bounds the retries of each service, so that they do not amplify an overload. The budget is a fraction of the
/// requests of the last window plus a fixed number of retries per second of the window.
class RetryBudget {
public:
    explicit RetryBudget(const Clock& clock, RetryBudgetOptions options = {})
        : m_clock(clock)
        , m_options(options)
    {
    }

    /// Replaces the limits. Accumulated retries are capped to the new limits at the next use.
    void setOptions(const RetryBudgetOptions& options) { m_options = options; }

    /// Records the first attempt of a request.
    void recordRequest(const ServiceId& service);

    /// Tells whether tryTake() would succeed now.
    bool mayTake(const ServiceId& service);

    /// Takes one retry from the budget.
    /// @return False if the budget is exhausted.
    bool tryTake(const ServiceId& service);

    /// Takes one resume from the budget. A resume is never refused, because a response that has begun is worth more
    /// than a new one, but it reduces the budget for retries.
    void takeResume(const ServiceId& service);

private:
    struct Bucket {
        /// Retries that are available now.
        double level = 0;
        /// Number of requests, which decays by a factor of e per window.
        double recentRequests = 0;
        MonotonicTime updatedAt { 0 };
    };

    Bucket& refill(const ServiceId& service);

    const Clock& m_clock;
    RetryBudgetOptions m_options;
    std::map<ServiceId, Bucket> m_buckets;
};

} // namespace Pollenwind
