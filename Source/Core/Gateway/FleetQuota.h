#pragma once

#include "Common/Clock.h"
#include "Gateway/Commands/QuotaCommands.h"
#include "Gateway/QuotaReserve.h"
#include "Gateway/RecentUse.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

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
/// a debt, except for organisations that are known to have used little just before.
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
        , m_startDebt(startDebtSeconds)
    {
    }

    void setOrganisations(std::span<const OrganisationRule> organisations) override;
    Outcome<MonotonicTime> take(const OrganisationRule& organisation, const QuotaDemand& demand) override;
    void recordRemoteUsage(const VmId& vm, Incarnation incarnation, const UsageTotals& totals, bool isOfOwnZone,
        std::chrono::nanoseconds uptime) override;
    void recordRemoteLevels(const UsageTotals& levels) override;
    void markSilent(const VmId& vm, double share) override;
    void setLargeFleet(bool isLargeFleet) override;
    void setFleetSize(std::size_t vms) override { m_vms = vms; }
    void setReachableShare(double share) override;

    /// Starts the organisations without heavy use before the start of this process with a full bucket instead of a
    /// debt. Each is on probation for the window of the tolerance: once its bucket is empty, what it started with and
    /// the debt are subtracted after all, so that the use in a window stays what it is without a record. The last use
    /// may have been higher than a record tells.
    ///
    /// Must follow the first configuration and precede the first request.
    /// @param heavy Organisations in heavy use, by hash.
    /// @return Number of organisations that start without debt, or will do when the fleet is found to be large.
    std::size_t startWithRecentUse(std::set<std::uint64_t> heavy);

    /// Starts all organisations with a larger debt, because the processes of a short time ago had started without one
    /// and what was taken from them is not known.
    void startAfterRepeatedRestart();

    /// Organisations, by hash, whose next use might exceed the tolerance if a restarted fleet gave them a full burst:
    /// those that used nearly their rate, or more, in one of the last seconds, and those whose buckets are low.
    /// @param knownShare Share of the fleet, above 0, whose use is known here.
    std::vector<std::uint64_t> heavyUsers(double knownShare) const;
    /// Whether an organisation with a rate has taken tokens from any VM in the last seconds.
    bool isInUse() const;
    /// Digest of the ids, keys, rates and bursts of the organisations that have a rate.
    std::uint64_t rulesDigest() const { return m_rulesDigest; }
    /// Number of organisations that are on probation, see startWithRecentUse().
    std::size_t probationCount() const;
    /// Number of debts that were subtracted in a probation.
    std::size_t failedProbations() const { return m_failedProbations; }

    /// Number of requests that were admitted from a reserve.
    std::size_t reserveAdmissions() const { return m_reserve.admissions(); }

    /// Levels of the buckets that are below the level of a new one.
    UsageTotals lowLevels() const;
    /// Tokens taken by this VM since the process started.
    const UsageTotals& ownTotals() const { return m_ownTotals; }
    /// Tokens taken by this VM and by the other VMs of its zone since the first report of each. They never decrease, so
    /// that a VM that leaves does not hide what the others take.
    const UsageTotals& zoneTotals() const { return m_zoneTotals; }

private:
    // Debt of a new process of a large fleet, in seconds of the rate: when all VMs restart, what they took just before
    // is not known to any of them, and callers whose requests were cut off come back at once.
    static constexpr double startDebtSeconds = 0.6;

    struct Bucket {
        /// Available tokens; negative for a debt.
        double level = 0;
        /// Tokens per second of the whole fleet.
        double rate = 0;
        /// Capacity of the whole fleet.
        double burst = 0;
        MonotonicTime refilledAt { 0 };
        /// Part of the burst that a large fleet may use.
        double largeBurst = 0;
        RecentUse use {};
        /// Part of the use that was taken from this VM.
        RecentUse ownUse {};
        /// Whether the bucket started without a debt and may still get it.
        bool isOnProbation = false;

        double capacity() const;
        /// Start level and capacity on probation.
        double probationBurst() const;
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
    /// Part of an organisation's burst that the buckets of a large fleet hold.
    double largeBurst(const OrganisationRule& organisation) const;
    void takeRemote(std::uint64_t hash, double tokens);
    /// Applies the start level of a large fleet to a bucket.
    void startInLargeFleet(std::uint64_t hash, Bucket& bucket) const;
    /// Whether requests would wait for too long, or a bucket on probation gets its debt.
    bool isBacklogged(const Bucket& bucket) const;
    /// Whether a request that the rate refuses is admitted from the reserve of its organisation.
    bool takeReserve(std::uint64_t hash, const Bucket& bucket, const QuotaDemand& demand);
    /// Ends a bucket's probation if it was passed or failed.
    void updateProbation(Bucket& bucket);

    const Clock& m_clock;
    QuotaTolerance m_tolerance;
    MonotonicTime m_startedAt;
    double m_share = 1;
    bool m_isLargeFleet = false;
    std::size_t m_vms = 0;
    QuotaReserve m_reserve;
    std::map<std::uint64_t, Bucket> m_buckets;
    std::map<VmId, RemoteUsage> m_remotes;
    /// Organisations in heavy use before the start; nothing if that is not known.
    std::optional<std::set<std::uint64_t>> m_heavyBefore;
    /// Debt of the start in a large fleet, in seconds of the rate.
    double m_startDebt;
    /// Start of the probations.
    MonotonicTime m_probationFrom { 0 };
    std::uint64_t m_rulesDigest = 0;
    std::size_t m_failedProbations = 0;
    UsageTotals m_ownTotals;
    UsageTotals m_zoneTotals;
};

} // namespace Pollenwind
