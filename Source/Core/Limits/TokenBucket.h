#pragma once

#include "Limits/GrantTypes.h"
#include "Limits/HeadroomHistory.h"

namespace Pollenwind {

/// Upper bound on the relative difference between the clock rates of two VMs, and of a VM and real time.
inline constexpr double clockRateTolerance = 0.01;

/// Time after the reception of a grant request from which on the borrower can no longer spend from the grant. The
/// constant term covers the resolution of the clocks.
inline constexpr auto lenderGrantLifetime
    = std::chrono::milliseconds(grantLifetime) * 101 / 100 + std::chrono::milliseconds(100);

/// Largest fraction of a bucket's cap that may be lent out, and of a burst that one request may take.
inline constexpr double largestLentFraction = 0.75;

/// Rate and cap of a bucket.
struct BucketLimits {
    /// Tokens a second.
    double rate = 0;
    /// Tokens.
    double cap = 0;

    bool operator==(const BucketLimits&) const = default;
};

/// Token bucket of one organisation on one VM.
///
/// level + outstanding never rises above the cap, and rises no faster than the rate, so the tokens spent in a window of
/// length t, by this VM and by its borrowers, are at most cap + rate x t.
class TokenBucket {
public:
    /// @param level Initial level; limited to the cap.
    TokenBucket(MonotonicTime now, BucketLimits limits, double level);

    /// Brings the level up to date. A change of the limits never raises the level: the time since the last refill is
    /// credited at the lower of the two rates and up to the lower of the two caps.
    void refill(MonotonicTime now, BucketLimits limits);

    /// Reduces the level after some of this VM's slots went to other VMs.
    /// @param keptFraction Fraction of the slots that this VM keeps.
    void shrink(MonotonicTime now, double keptFraction, BucketLimits limits);

    double level() const { return m_level; }
    double outstanding() const { return m_outstanding; }
    double headroom() const { return m_limits.cap - m_level - m_outstanding; }
    const BucketLimits& limits() const { return m_limits; }

    /// Takes tokens from the level, which must be sufficient.
    void spend(double tokens);
    /// Largest number of tokens that may be lent now.
    double lendable() const;
    /// Moves tokens from the level to the outstanding grants.
    void lend(double tokens);
    /// Ends a grant.
    /// @param returned Tokens of the grant that were not spent.
    void endGrant(double tokens, double returned);

    /// Refunds unused tokens of a reservation, limited to the smallest headroom since the reservation, so that a refund
    /// cannot create a second burst. A reservation from before the bucket existed gets no refund.
    /// @return Tokens added to the level.
    double refund(MonotonicTime now, MonotonicTime reservedAt, double tokens);

private:
    BucketLimits m_limits;
    MonotonicTime m_createdAt;
    MonotonicTime m_refilledAt;
    double m_level = 0;
    double m_outstanding = 0;
    HeadroomHistory m_headroomHistory;
};

} // namespace Pollenwind
