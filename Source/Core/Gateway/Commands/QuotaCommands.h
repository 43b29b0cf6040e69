#pragma once

#include "Common/Error.h"
#include "Gateway/RoutingTypes.h"

#include <cstdint>
#include <map>

namespace Pollenwind {

/// Tokens that each organisation took, by hash of the organisation's id.
using UsageTotals = std::map<std::uint64_t, double>;

/// Admits requests against the token rates of organisations. A rate applies to all VMs together.
class QuotaCommands {
public:
    QuotaCommands() = default;
    QuotaCommands(const QuotaCommands&) = delete;
    QuotaCommands& operator=(const QuotaCommands&) = delete;
    virtual ~QuotaCommands() = default;

    /// Takes tokens from an organisation's bucket.
    /// @return RateExceeded, with the time after which the tokens should be available in `retryAfter`.
    virtual Outcome<void> take(const OrganisationRule& organisation, double tokens) = 0;

    /// Records another VM's totals. Tokens that it took since its last report are also taken from the buckets here.
    /// @param incarnation Incarnation of the VM's process; the totals restart at zero with a new one.
    virtual void recordRemoteUsage(const VmId& vm, Incarnation incarnation, const UsageTotals& totals) = 0;

    /// Sets the share of each rate, from 0 to 1, that this VM and the VMs in contact with it may use together.
    virtual void setReachableShare(double share) = 0;
};

} // namespace Pollenwind
