#pragma once

#include "Limits/GrantTypes.h"
#include "Limits/HeadroomHistory.h"

namespace Pollenwind {

/// Bound on the difference between the clock rates of two VMs, and of a VM and true time.
inline constexpr double clockRateTolerance = 0.01;

/// Time after the reception of a grant request after which no token of the grant can be spent any more. The addend
/// covers the resolution of the clocks.
inline constexpr auto lenderGrantLifetime
    = std::chrono::milliseconds(grantLifetime) * 101 / 100 + std::chrono::milliseconds(100);

/// Largest part of a bucket that may be lent out, and of a burst that one request may take.
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
    /// @param level First level; limited to the cap.
    TokenBucket(MonotonicTime now, BucketLimits limits, double level);

    /// Brings the level up to date. A change of the limits never raises the level: the time since the last refill is
    /// credited at the lower of the two rates and up to the lower of the two caps.
    void refill(MonotonicTime now, BucketLimits limits);

    /// Reduces the level because a part of the bucket was handed to another VM.
    /// @param keptFraction Part that stays.
    void shrink(MonotonicTime now, double keptFraction, BucketLimits limits);

    double level() const { return m_level; }
    double outstanding() const { return m_outstanding; }
    double headroom() const { return m_limits.cap - m_level - m_outstanding; }
    const BucketLimits& limits() const { return m_limits; }

    /// Takes tokens from the level, which must hold them.
    void spend(double tokens);
    /// Tokens that may be lent at most.
    double lendable() const;
    /// Moves tokens from the level to the outstanding grants.
    void lend(double tokens);
    /// Ends a grant.
    /// @param returned Tokens of the grant that were not spent.
    void endGrant(double tokens, double returned);

    /// Returns tokens of a reservation that were not used, limited to the smallest room since the reservation, so that
    /// a refund cannot create a second burst. A reservation from before the bucket existed gets nothing back.
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
