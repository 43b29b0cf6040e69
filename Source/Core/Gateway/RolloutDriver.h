#pragma once

#include "Gateway/Commands/RolloutCommands.h"
#include "Gateway/FleetView.h"
#include "Gateway/OrderLease.h"
#include "Gateway/Queries/FreshnessQueries.h"
#include "Gateway/Queries/RecordCodec.h"
#include "Gateway/Queries/RolloutQueries.h"
#include "Store/Commands/StoreCommands.h"
#include "Timeline/Commands/TimelineCommands.h"

#include <functional>

namespace Pollenwind {

/// Dependencies of the roll-out driver.
struct RolloutDriverContext {
    const Clock& clock;
    const RolloutQueries& rollouts;
    RolloutCommands& rolloutCommands;
    const FreshnessQueries& freshness;
    const FleetView& fleet;
    const OrderLease& lease;
    StoreCommands& store;
    const RecordCodec& codec;
    TimelineCommands& timeline;
};

/// Evaluates the roll-outs on every VM, and writes their states to the store on the VM that holds the order lease. A
/// verdict that the holder does not write in time is written by another VM, since a lease whose holder has stopped
/// expires too late for a verdict that is due shortly before the time limit.
///
/// The record and the state for the operator are written in one transaction that requires the record's last revision,
/// so that only one verdict can be written, whatever the VMs believe about the lease.
class RolloutDriver {
public:
    RolloutDriver(RolloutDriverContext context, VmId vm)
        : m_context(context)
        , m_vm(std::move(vm))
    {
    }

    /// Evaluates and writes indefinitely.
    Task<> run();

    /// Sets the handler that is called when a change has been written.
    void onWritten(std::function<void()> handler) { m_onWritten = std::move(handler); }

private:
    /// Whether this VM writes the change now.
    bool mayWrite(const RolloutChange& change) const;
    /// @return False if the store could not be reached.
    Task<bool> write(RolloutChange change);

    RolloutDriverContext m_context;
    VmId m_vm;
    std::function<void()> m_onWritten;
};

} // namespace Pollenwind
