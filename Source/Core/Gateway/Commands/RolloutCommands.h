#pragma once

#include "Gateway/RolloutTypes.h"

namespace Pollenwind {

/// Updates the state of roll-outs.
class RolloutCommands {
public:
    RolloutCommands() = default;
    RolloutCommands(const RolloutCommands&) = delete;
    RolloutCommands& operator=(const RolloutCommands&) = delete;
    virtual ~RolloutCommands() = default;

    /// Takes over an order, unless a newer one for the service is known. An order that came back with a copy of the
    /// store, or that was written again after a restore, is the same order.
    /// @param orderedAfter Earliest time at which the operator may have given it; 0 when that is not known.
    virtual void adoptOrder(const RolloutOrder& order, MonotonicTime orderedAfter) = 0;
    /// Ends an undecided roll-out whose order was withdrawn: it is rolled back.
    virtual void withdrawOrder(const ServiceId& service) = 0;
    /// Takes over a record of the store, unless a newer one is known.
    /// @param revision Revision of the record.
    virtual void adoptRecord(const RolloutRecord& record, std::int64_t revision) = 0;
    /// Notes that all records of the store have been taken over as of a position. After a restore, records that were
    /// not among them are lost, and orders that were not are expected to be written again.
    virtual void endRead(std::int64_t position) = 0;
    /// Takes over what another VM reported. It replaces what that VM reported before.
    virtual void recordRemote(const VmId& vm, std::vector<RolloutReport> reports) = 0;
    /// Forgets what a relay reported, when another one reports the same VMs.
    virtual void clearRemote(const VmId& vm) = 0;

    /// Updates what changes with time: outstanding requests count as slow, and the evidence is evaluated.
    /// @param isFresh Whether the local copy of the store is recent. Without it, the share of the target version does
    /// not grow.
    /// @param fleetSize Number of VMs over which the exposure limit is divided.
    virtual void refresh(bool isFresh, std::size_t fleetSize) = 0;

    /// Records that a request was sent to a runner.
    /// @param version Version of the runner's software.
    /// @param work Prompt tokens that the runner is expected to compute; 0 for other requests.
    virtual RolloutAttemptId recordSent(
        const ServiceId& service, const VersionId& version, const std::string& route, double work)
        = 0;
    /// Records that an attempt produced output.
    virtual void recordOutput(RolloutAttemptId attempt) = 0;
    virtual void recordEnded(RolloutAttemptId attempt, VersionResult result) = 0;
};

} // namespace Pollenwind
