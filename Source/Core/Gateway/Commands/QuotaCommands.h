#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Gateway/RoutingTypes.h"

#include <cstdint>
#include <map>
#include <span>

namespace Pollenwind {

/// Tokens that each organisation took, by hash of the organisation's id.
using UsageTotals = std::map<std::uint64_t, double>;

/// Tokens that a request takes from its organisation's rate.
struct QuotaDemand {
    double tokens = 0;
    /// Longest time that the request may wait for its tokens.
    std::chrono::nanoseconds maxWait { 0 };
    /// From 0 to 1, different for each request. Spreads the times at which refused requests come back.
    double spread = 0;
    /// Whether the request may use the reserve of its organisation, see QuotaReserve.
    bool mayUseReserve = false;
};

/// Admits requests against the token rates of organisations. A rate applies to all VMs together.
class QuotaCommands {
public:
    QuotaCommands() = default;
    QuotaCommands(const QuotaCommands&) = delete;
    QuotaCommands& operator=(const QuotaCommands&) = delete;
    virtual ~QuotaCommands() = default;

    /// Sets the organisations of a new configuration. Their buckets keep their levels.
    virtual void setOrganisations(std::span<const OrganisationRule> organisations) = 0;

    /// Takes tokens from an organisation's bucket, which may have to fill up first. Requests of one organisation get
    /// their tokens in the order of these calls.
    /// @return The time from which the request may be sent; RateExceeded if that is later than the demand allows, with
    /// the time after which the tokens should be available in `retryAfter`.
    virtual Outcome<MonotonicTime> take(const OrganisationRule& organisation, const QuotaDemand& demand) = 0;

    /// Records another VM's totals. Tokens that it took since its last report are also taken from the buckets here.
    /// @param incarnation Incarnation of the VM's process; the totals restart at zero with a new one.
    /// @param isOfOwnZone Whether the VM's tokens belong to the sum that this VM may report for its zone.
    /// @param uptime Time since the VM's process started; 0 if that is not known. The first totals of a process that
    /// has started with this one or later are recent use.
    virtual void recordRemoteUsage(const VmId& vm, Incarnation incarnation, const UsageTotals& totals, bool isOfOwnZone,
        std::chrono::nanoseconds uptime)
        = 0;

    /// Records the levels of another VM's nearly empty buckets. A VM that has just started has not seen the use that
    /// emptied them.
    virtual void recordRemoteLevels(const UsageTotals& levels) = 0;

    /// Records that a VM's reports have stopped. Until they continue it may use only its own share of the rates, which
    /// is therefore not taken from the buckets here when it reports again.
    /// @param share Share of the fleet, from 0 to 1, that the VM's reports represent.
    virtual void markSilent(const VmId& vm, double share) = 0;

    /// Sets whether reports take longer because they pass through relays. The buckets then hold less than the burst.
    virtual void setLargeFleet(bool isLargeFleet) = 0;

    /// Sets the number of VMs among which each organisation's reserve is divided. Until it is known there is none.
    virtual void setFleetSize(std::size_t vms) = 0;

    /// Sets the share of each rate, from 0 to 1, that this VM and the VMs in contact with it may use together.
    virtual void setReachableShare(double share) = 0;
};

} // namespace Pollenwind
