#pragma once

#include "Common/Clock.h"
#include "Gateway/Commands/QuotaCommands.h"

#include <map>
#include <vector>

namespace Pollenwind {

/// One token bucket for each organisation, kept by every VM from its own requests and the reports of the others.
///
/// A VM that others cannot hear uses only its part of the rate, so that the parts add up to the whole rate in any
/// partition. Reports lag, so the level may fall below zero; the debt delays later requests, which keeps the use over
/// a window of seconds at the rate.
class FleetQuota final : public QuotaCommands {
public:
    /// Part of each burst that the buckets of a large fleet hold. An organisation at 7.5 times its usual use takes
    /// about half a second of it before all zones know.
    static constexpr double largeFleetBurstShare = 0.35;

    explicit FleetQuota(const Clock& clock)
        : m_clock(clock)
    {
    }

    Outcome<void> take(const OrganisationRule& organisation, double tokens) override;
    void recordRemoteUsage(const VmId& vm, Incarnation incarnation, const UsageTotals& totals) override;
    void setReachableShare(double share) override { m_share = share; }

    /// Sets the part of each burst that the buckets hold. In a large fleet reports take longer, and what all VMs take
    /// before they hear of each other comes on top of the burst.
    void setBurstShare(double share) { m_burstShare = share; }

    /// Tokens taken here since the start.
    const UsageTotals& ownTotals() const { return m_ownTotals; }
    /// Tokens taken by some VMs since each was first heard of here.
    UsageTotals sumOf(const std::vector<VmId>& vms, const VmId& ownVm) const;

private:
    struct Bucket {
        double level = 0;
        double rate = 0;
        double burst = 0;
        MonotonicTime refilledAt { 0 };

        void refill(MonotonicTime now, double newRate, double newBurst);
    };
    struct Remote {
        Incarnation incarnation;
        UsageTotals totals;
        /// Tokens taken since the VM was first heard of, over its restarts.
        UsageTotals taken;
    };

    Bucket& bucketOf(const OrganisationRule& organisation, std::uint64_t hash);

    const Clock& m_clock;
    double m_share = 1;
    double m_burstShare = 1;
    std::map<std::uint64_t, Bucket> m_buckets;
    std::map<VmId, Remote> m_remotes;
    UsageTotals m_ownTotals;
};

} // namespace Pollenwind
