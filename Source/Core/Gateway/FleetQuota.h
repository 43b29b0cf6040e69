#pragma once

#include "Common/Clock.h"
#include "Gateway/Commands/QuotaCommands.h"

#include <map>
#include <vector>

namespace Pollenwind {

/// One token bucket for each organisation, which every VM updates from its own requests and the reports of the others.
///
/// In a network partition, the VMs in contact with each other use only their share of the rate, so that all parts
/// together stay within it. Since reports lag, the level may fall below zero. The debt delays later requests, which
/// keeps the use over a window of seconds at the rate.
class FleetQuota final : public QuotaCommands {
public:
    /// Share of each burst that the buckets of a large fleet hold. An organisation at 7.5 times its usual use takes
    /// tokens for about half a second before the reports reach all zones.
    static constexpr double largeFleetBurstShare = 0.35;

    explicit FleetQuota(const Clock& clock)
        : m_clock(clock)
    {
    }

    Outcome<void> take(const OrganisationRule& organisation, double tokens) override;
    void recordRemoteUsage(const VmId& vm, Incarnation incarnation, const UsageTotals& totals) override;
    void setReachableShare(double share) override { m_share = share; }

    /// Sets the share of each burst that the buckets hold. In a large fleet reports take longer, and the tokens that
    /// all VMs take before they receive each other's reports come on top of the burst.
    void setBurstShare(double share) { m_burstShare = share; }

    /// Tokens taken by this VM since the process started.
    const UsageTotals& ownTotals() const { return m_ownTotals; }
    /// Tokens taken by the given VMs since the first report that this VM received from each.
    UsageTotals usageOf(const std::vector<VmId>& vms, const VmId& ownVm) const;

private:
    struct Bucket {
        /// Available tokens; negative for a debt.
        double level = 0;
        /// Tokens per second.
        double rate = 0;
        double burst = 0;
        MonotonicTime refilledAt { 0 };

        void refill(MonotonicTime now, double newRate, double newBurst);
    };
    struct RemoteUsage {
        Incarnation incarnation;
        /// Totals of the last report.
        UsageTotals totals;
        /// Tokens taken since the VM's first report, over its restarts.
        UsageTotals taken;
    };

    Bucket& bucketOf(const OrganisationRule& organisation, std::uint64_t hash);

    const Clock& m_clock;
    double m_share = 1;
    double m_burstShare = 1;
    std::map<std::uint64_t, Bucket> m_buckets;
    std::map<VmId, RemoteUsage> m_remotes;
    UsageTotals m_ownTotals;
};

} // namespace Pollenwind
