#include "Dispatch/RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace Pollenwind {

RetryBudget::Bucket& RetryBudget::refill(const ServiceId& service)
{
    const auto now = m_clock.now();
    // Accumulated over the window, so that the failure of one upstream does not exhaust the budget of a service with
    // few requests.
    const double savedRetries = m_options.retriesPerSecond * m_options.windowSeconds;
    const auto [it, isNew] = m_buckets.emplace(service, Bucket { savedRetries, 0, now });
    auto& bucket = it->second;
    const double elapsed = std::chrono::duration<double>(now - bucket.updatedAt).count();
    bucket.recentRequests *= std::exp(-elapsed / m_options.windowSeconds);
    const double cap = savedRetries + m_options.retriesPerRequest * bucket.recentRequests;
    bucket.level = std::min(cap, bucket.level + m_options.retriesPerSecond * elapsed);
    bucket.updatedAt = now;
    return bucket;
}

void RetryBudget::recordRequest(const ServiceId& service)
{
    auto& bucket = refill(service);
    bucket.recentRequests += 1;
    bucket.level += m_options.retriesPerRequest;
}

bool RetryBudget::mayTake(const ServiceId& service) { return refill(service).level >= 1; }

bool RetryBudget::tryTake(const ServiceId& service)
{
    if (!mayTake(service)) {
        return false;
    }
    m_buckets.at(service).level -= 1;
    return true;
}

void RetryBudget::takeResume(const ServiceId& service)
{
    auto& bucket = refill(service);
    bucket.level = std::max(0.0, bucket.level - 1);
}

} // namespace Pollenwind
