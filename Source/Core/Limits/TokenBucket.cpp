#include "Limits/TokenBucket.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    /// Refills run slower by the tolerance, so that a VM whose clock runs fast does not refill above the rate.
    double creditedSeconds(MonotonicTime duration)
    {
        return std::chrono::duration<double>(duration).count() * (1 - clockRateTolerance);
    }

} // namespace

TokenBucket::TokenBucket(MonotonicTime now, BucketLimits limits, double level)
    : m_limits(limits)
    , m_createdAt(now)
    , m_refilledAt(now)
    , m_level(std::min(level, limits.cap))
{
    m_headroomHistory.record(now, headroom());
}

void TokenBucket::refill(MonotonicTime now, BucketLimits limits)
{
    const double rate = std::min(limits.rate, m_limits.rate);
    m_limits.cap = std::min(limits.cap, m_limits.cap);
    const double credit = rate * creditedSeconds(now - m_refilledAt);
    m_level = std::max(0.0, m_level + std::min(credit, headroom()));
    m_refilledAt = now;
    m_headroomHistory.record(now, std::max(0.0, headroom()));
    m_limits = limits;
}

void TokenBucket::shrink(MonotonicTime now, double keptFraction, BucketLimits limits)
{
    refill(now, m_limits);
    m_level *= keptFraction;
    refill(now, limits);
    // Earlier reservations may have been charged to the slots that this VM lost, so they get no refund.
    m_headroomHistory.record(now, 0);
}

void TokenBucket::spend(double tokens) { m_level = std::max(0.0, m_level - tokens); }

double TokenBucket::lendable() const
{
    return std::max(0.0, std::min(m_level, largestLentFraction * m_limits.cap - m_outstanding));
}

void TokenBucket::lend(double tokens)
{
    m_level -= tokens;
    m_outstanding += tokens;
}

void TokenBucket::endGrant(double tokens, double returned)
{
    m_outstanding = std::max(0.0, m_outstanding - tokens);
    m_level += std::clamp(returned, 0.0, std::max(0.0, std::min(tokens, headroom())));
}

double TokenBucket::refund(MonotonicTime now, MonotonicTime reservedAt, double tokens)
{
    const double smallest
        = reservedAt < m_createdAt ? 0 : std::min(headroom(), m_headroomHistory.smallestSince(reservedAt));
    const double added = std::clamp(tokens, 0.0, std::max(0.0, smallest));
    m_level += added;
    m_headroomHistory.lower(reservedAt, added);
    m_headroomHistory.record(now, std::max(0.0, headroom()));
    return added;
}

} // namespace Pollenwind
