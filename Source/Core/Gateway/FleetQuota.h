#pragma once

#include "Common/Clock.h"
#include "Gateway/Commands/QuotaCommands.h"

#include <map>

namespace Pollenwind {

/// How far the tokens that an organisation takes from all VMs may exceed its rate and burst.
struct QuotaTolerance {
    /// Time over which the use is compared to the rate.
    std::chrono::milliseconds window { 8000 };
    /// Share of the rate x window + burst.
    double overage = 0;
    /// Further tokens in each window.
    double slack = 0;
};

/// One token bucket for each organisation, which every VM updates from its own requests and the reports of the others.
///
/// Load patterns that it answers: short peaks of an organisation within its rate wait for their tokens; an organisation
/// that requests several times its rate on all VMs at once is refused although reports lag, because buckets of a large
/// fleet hold back what all VMs may take before they receive each other's reports; a herd of restarted VMs starts with
/// partly filled buckets.
///
/// In a network partition, the VMs in contact with each other use only their share of the rate, so that all parts
/// together stay within it. Since reports lag, the level may fall below zero. The debt delays later requests, which
/// keeps the use over a window of seconds at the rate.
class FleetQuota final : public QuotaCommands {
public:
    explicit FleetQuota(const Clock& clock, QuotaTolerance tolerance = {})
        : m_clock(clock)
        , m_tolerance(tolerance)
        , m_startedAt(clock.now())
    {
    }

    void setOrganisations(std::span<const OrganisationRule> organisations) override;
    Outcome<MonotonicTime> take(const OrganisationRule& organisation, const QuotaDemand& demand) override;
    void recordRemoteUsage(const VmId& vm, Incarnation incarnation, const UsageTotals& totals, bool isOfOwnZone,
        std::chrono::nanoseconds uptime) override;
    void recordRemoteLevels(const UsageTotals& levels) override;
    void markSilent(const VmId& vm, double share) override;
    void setLargeFleet(bool isLargeFleet) override;
    void setReachableShare(double share) override;

    /// Levels of the buckets that are below the level of a new one.
    UsageTotals lowLevels() const;
    /// Tokens taken by this VM since the process started.
    const UsageTotals& ownTotals() const { return m_ownTotals; }
    /// Tokens taken by this VM and by the other VMs of its zone since the first report of each. They never decrease, so
    /// that a VM that leaves does not hide what the others take.
    const UsageTotals& zoneTotals() const { return m_zoneTotals; }

private:
    struct Bucket {
        /// Available tokens; negative for a debt.
        double level = 0;
        /// Tokens per second of the whole fleet.
        double rate = 0;
        /// Capacity of the whole fleet.
        double burst = 0;
        MonotonicTime refilledAt { 0 };

        /// Adds the tokens since the last refill for a share of the fleet.
        void refill(MonotonicTime now, double share);
    };
    struct RemoteUsage {
        Incarnation incarnation;
        /// Totals of the last report.
        UsageTotals totals;
        MonotonicTime reportedAt { 0 };
        /// Share of the rates that the VM may have used while it did not report; 0 while it reports.
        double silentShare = 0;
    };

    Bucket& bucketOf(const OrganisationRule& organisation, std::uint64_t hash);
    /// Part of an organisation's burst that the buckets hold.
    double usableBurst(const OrganisationRule& organisation) const;
    void takeRemote(std::uint64_t hash, double tokens);

    const Clock& m_clock;
    QuotaTolerance m_tolerance;
    MonotonicTime m_startedAt;
    double m_share = 1;
    bool m_isLargeFleet = false;
    std::map<std::uint64_t, Bucket> m_buckets;
    std::map<VmId, RemoteUsage> m_remotes;
    UsageTotals m_ownTotals;
    UsageTotals m_zoneTotals;
};

} // namespace Pollenwind
