#pragma once

#include "Common/Error.h"
#include "Gateway/RoutingTypes.h"

#include <cstdint>
#include <map>

namespace Pollenwind {

/// Tokens taken by each organisation since a process started, by hash of the organisation's id.
using UsageTotals = std::map<std::uint64_t, double>;

/// Admits requests against the rates of organisations, which hold over all VMs together.
class QuotaCommands {
public:
    QuotaCommands() = default;
    QuotaCommands(const QuotaCommands&) = delete;
    QuotaCommands& operator=(const QuotaCommands&) = delete;
    virtual ~QuotaCommands() = default;

    /// Takes tokens.
    /// @return RateExceeded with the time after which the tokens may be there.
    virtual Outcome<void> take(const OrganisationRule& organisation, double tokens) = 0;

    /// Takes another VM's totals; what it took since its last report counts here too.
    /// @param boot Tells two starts of the VM's process apart.
    virtual void recordRemoteUsage(const VmId& vm, Incarnation incarnation, const UsageTotals& totals) = 0;

    /// Sets the part of each rate that the VMs in contact with this one may use together.
    virtual void setReachableShare(double share) = 0;
};

} // namespace Pollenwind
