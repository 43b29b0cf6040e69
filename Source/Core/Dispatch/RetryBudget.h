#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"

#include <map>

namespace Pollenwind {

/// Bounds the attempts beyond the first for each service, so that retries do not amplify an overload: 10% of the
/// requests of the last 10 s plus 3 a second over the same time.
class RetryBudget {
public:
    explicit RetryBudget(const Clock& clock)
        : m_clock(clock)
    {
    }

    /// Notes a request's first attempt.
    void noteRequest(const ServiceId& service);

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
    std::map<ServiceId, Bucket> m_buckets;
};

} // namespace Pollenwind
