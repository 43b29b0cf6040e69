#include "Dispatch/RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace Pollenwind {

namespace {

    constexpr double retriesPerRequest = 0.1;
    constexpr double retriesPerSecond = 3;
    constexpr double windowSeconds = 10;
    // Retries that a service may save up, so that the failure of one engine does not exhaust a quiet service.
    constexpr double savedRetries = retriesPerSecond * windowSeconds;

} // namespace

RetryBudget::Bucket& RetryBudget::refill(const ServiceId& service)
{
    const auto now = m_clock.now();
    const auto [it, isNew] = m_buckets.emplace(service, Bucket { savedRetries, 0, now });
    auto& bucket = it->second;
    const double elapsed = std::chrono::duration<double>(now - bucket.updatedAt).count();
    bucket.recentRequests *= std::exp(-elapsed / windowSeconds);
    const double cap = savedRetries + retriesPerRequest * bucket.recentRequests;
    bucket.level = std::min(cap, bucket.level + retriesPerSecond * elapsed);
    bucket.updatedAt = now;
    return bucket;
}

void RetryBudget::noteRequest(const ServiceId& service)
{
    auto& bucket = refill(service);
    bucket.recentRequests += 1;
    bucket.level += retriesPerRequest;
}

bool RetryBudget::tryTake(const ServiceId& service)
{
    auto& bucket = refill(service);
    if (bucket.level < 1) {
        return false;
    }
    bucket.level -= 1;
    return true;
}

void RetryBudget::takeResume(const ServiceId& service)
{
    auto& bucket = refill(service);
    bucket.level = std::max(0.0, bucket.level - 1);
}

} // namespace Pollenwind
