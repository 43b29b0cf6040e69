#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Task.h"
#include "Store/Commands/StoreCommands.h"
#include "Timeline/Commands/TimelineCommands.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace Pollenwind {

/// Timeouts of the order lease.
struct OrderLeaseOptions {
    /// Time to live of the lease. A new holder waits for it to end.
    std::chrono::seconds timeToLive { 2 };
    std::chrono::milliseconds renewInterval { 700 };
    /// The holder stops this much before the lease can end, since an order is under way for some time.
    std::chrono::milliseconds safetyMargin { 400 };
    /// Time from taking the lease to the first order, when another VM may have given orders until its lease ended.
    std::chrono::milliseconds handoverPause { 2800 };
};

/// The right to give orders to runners, which one VM at a time holds by a lease in the store.
class OrderLease {
public:
    OrderLease(const Clock& clock, StoreCommands& store, TimelineCommands& timeline, VmId vm, Incarnation incarnation,
        OrderLeaseOptions options);

    /// Takes the lease when nobody holds it and renews it, for the life of the process.
    Task<> run();

    /// Sets the number of VMs that may try to take the lease.
    void setFleetSize(std::size_t size) { m_fleetSize = size; }
    /// Time that this VM waits before it tries to take a lease that nobody holds; differs between the VMs.
    std::chrono::milliseconds acquireDelay() const;

    /// Takes the holder's record from the store.
    void updateHolder(const std::string& holder, std::int64_t revision);
    void clearHolder();
    /// Takes the record of the last VM that gave orders.
    void updateState(const std::string& value, std::int64_t revision);

    /// Tells whether an order may be given now.
    bool mayOrder() const;
    /// Tells whether an order may be given after some time.
    bool mayOrderWithin(std::chrono::nanoseconds time) const;
    /// Tells whether this VM holds the lease.
    bool isHeld() const { return m_isHeld && m_clock.now() < m_validUntil; }
    /// Rises with each new holder.
    std::int64_t fencingToken() const { return m_fencingToken; }

    /// Records that orders begin, so that another VM that takes over waits before it gives its own.
    /// @return False when the record could not be written; no order may be given then.
    Task<bool> beginOrders();
    /// Records that all orders are done.
    Task<> endOrders();

    /// Gives the lease up.
    Task<> release();

private:
    Task<> acquire();
    Task<> renew();
    Task<bool> writeState(bool isActive);
    void lose(std::string_view why);

    const Clock& m_clock;
    StoreCommands& m_store;
    TimelineCommands& m_timeline;
    VmId m_vm;
    std::string m_holderValue;
    OrderLeaseOptions m_options;

    std::size_t m_fleetSize = 1;

    bool m_isHolderKnown = false;
    std::string m_holder;
    std::string m_stateVm;
    bool m_isStateActive = false;
    std::int64_t m_stateRevision = 0;

    bool m_isHeld = false;
    bool m_isReleased = false;
    LeaseId m_lease;
    std::int64_t m_fencingToken = 0;
    MonotonicTime m_validUntil { 0 };
    MonotonicTime m_orderFrom { 0 };
};

} // namespace Pollenwind
