#include "Limits/LocalLimiter.h"

#include "Common/Sleep.h"

#include <algorithm>
#include <cmath>

namespace Pollenwind {

namespace {

    double seconds(std::chrono::nanoseconds duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

LocalLimiter::LocalLimiter(const Clock& clock, const ConfigurationQueries& configuration)
    : m_clock(clock)
    , m_configuration(configuration)
{
}

LocalLimiter::Bucket& LocalLimiter::refill(const OrganisationSpec& spec)
{
    const auto now = m_clock.now();
    const auto [it, isNew] = m_buckets.emplace(spec.id, Bucket { 0, now });
    auto& bucket = it->second;
    if (isNew) {
        bucket.level = spec.burst;
    }
    bucket.level = std::min(spec.burst, bucket.level + spec.rate * seconds(now - bucket.refilledAt));
    bucket.refilledAt = now;
    return bucket;
}

Task<Outcome<ReservationId>> LocalLimiter::reserve(OrganisationId organisation, double tokens, MonotonicTime deadline)
{
    for (;;) {
        const auto configuration = m_configuration.current();
        const auto it = configuration->document.organisations.find(organisation);
        if (it == configuration->document.organisations.end()) {
            co_return fail(ErrorCode::Forbidden, "the organisation is not configured");
        }
        const auto& spec = it->second;
        if (tokens > spec.burst) {
            co_return fail(
                ErrorCode::RequestExceedsBurst, "the request needs more tokens than the organisation's burst");
        }
        auto& bucket = refill(spec);
        if (bucket.level >= tokens) {
            bucket.level -= tokens;
            const ReservationId id(m_nextReservation++);
            m_reservations.emplace(id, Reservation { organisation, tokens });
            co_return id;
        }
        const double missing = tokens - bucket.level;
        const auto wait = std::chrono::milliseconds(
            spec.rate > 0 ? static_cast<std::int64_t>(std::ceil(1000 * missing / spec.rate)) : 86'400'000);
        if (m_clock.now() + wait > deadline) {
            auto error = fail(ErrorCode::RateExceeded, "the organisation's rate is exhausted");
            error.error().retryAfter = wait;
            co_return error;
        }
        co_await sleepFor(wait);
    }
}

void LocalLimiter::settle(ReservationId reservation, double used)
{
    const auto it = m_reservations.find(reservation);
    if (it == m_reservations.end()) {
        return;
    }
    const auto bucket = m_buckets.find(it->second.organisation);
    if (bucket != m_buckets.end()) {
        bucket->second.level += std::max(0.0, it->second.tokens - used);
    }
    m_reservations.erase(it);
}

std::vector<LimitStatus> LocalLimiter::status() const
{
    std::vector<LimitStatus> all;
    for (const auto& [organisation, bucket] : m_buckets) {
        all.push_back({ organisation, bucket.level, 0, 0 });
    }
    return all;
}

} // namespace Pollenwind
