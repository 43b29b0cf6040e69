#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Task.h"
#include "Gateway/StoreEraTracker.h"
#include "Store/Commands/StoreCommands.h"
#include "Timeline/Commands/TimelineCommands.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace Pollenwind {

/// Timeouts of the order lease.
struct OrderLeaseOptions {
    /// Time to live of the lease. Another VM can take it only after it has expired.
    std::chrono::seconds timeToLive { 2 };
    std::chrono::milliseconds renewInterval { 700 };
    /// The holder gives no orders in this time before the lease can expire, since an order takes some time to arrive.
    std::chrono::milliseconds safetyMargin { 400 };
    /// Time from acquiring the lease to the first order if another VM may have given orders until its lease ended.
    std::chrono::milliseconds handoverPause { 2800 };
};

/// The right to give orders to runners, which one VM at a time holds through a lease in the store.
///
/// A lease ends with the era of the store. The store that comes back from a copy does not tell who held it last or
/// whether orders were given, so the first orders of an era wait until no holder of an earlier one can give orders any
/// more, and for the handover pause. Only the VM that still held the lease of the earlier era need not wait.
class OrderLease {
public:
    OrderLease(const Clock& clock, StoreCommands& store, TimelineCommands& timeline, VmId vm, Incarnation incarnation,
        OrderLeaseOptions options);

    /// Acquires the lease when it has no holder, and renews it, until release() is called.
    Task<> run();

    /// Sets the number of VMs that may try to acquire the lease.
    void setFleetSize(std::size_t size) { m_fleetSize = size; }
    /// Time that this VM waits before it tries to acquire a lease without a holder. It differs between the VMs.
    std::chrono::milliseconds acquireDelay() const;

    /// Takes over a position of the store. With a new era this VM loses the lease, and it acquires the lease again only
    /// after the holder of the new era has been set.
    void updateStorePosition(std::int64_t position);
    /// Sets the holder from its record in the store. This VM loses the lease if the record names another holder and is
    /// newer than its own.
    void updateHolder(const std::string& holder, std::int64_t revision);
    /// Records that the lease has no holder.
    void clearHolder();
    /// Updates the state from the record of the last VM that gave orders, unless a newer one is known. A record of
    /// another VM that arrives after this one has acquired the lease delays the first order.
    void updateState(const std::string& value, std::int64_t revision);

    /// Whether an order may be given now.
    bool mayOrder() const;
    /// Whether this VM holds the lease and the pause after another holder ends within the given time.
    bool mayOrderWithin(std::chrono::nanoseconds time) const;
    /// Whether this VM holds the lease.
    bool isHeld() const { return m_isHeld && m_clock.now() < m_validUntil; }
    /// Position of the holder's record in the store, which increases with each new holder, also across eras. It is sent
    /// with each order.
    std::int64_t fencingToken() const { return m_fencingToken; }

    /// Records in the store that orders begin, so that the next holder waits before it gives its own. The record is
    /// written once under each lease, which shows whether another VM has given orders since. mayOrder() has to be
    /// asked again after it.
    /// @return False if the record could not be written; no order may be given then.
    Task<bool> beginOrders();
    /// Records that an order is sent or may have just arrived.
    void recordOrder() { m_lastOrderAt = m_clock.now(); }
    /// Records in the store that all orders are completed, once the last one is so long ago that the next holder need
    /// not wait.
    Task<> endOrders();

    /// Releases the lease and stops run(). No order may be given from now on. The lease ends only a safety margin after
    /// the last order, as it does when it expires, since the pause of the next holder begins with it.
    Task<> release();

private:
    Task<> acquire();
    Task<> renew();
    /// Erases a holder record that names this VM although it does not hold the lease, e.g. one that came back with a
    /// copy of the store, or one whose write got no answer.
    Task<> eraseOwnRecord();
    /// Time of the first order under the present lease, as far as the known state tells.
    MonotonicTime firstOrderTime() const;
    /// Delays the first order under the present lease if the known state requires it.
    void delayOrders();
    /// Whether the known state belongs to the present era of the store.
    bool isStateStored() const;
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
    std::int64_t m_holderRevision = 0;
    std::string m_stateVm;
    bool m_isStateActive = false;
    std::int64_t m_stateRevision = 0;
    /// A write of the state got no answer. It may be executed later, as long as its condition holds.
    bool m_isStateWriteUnanswered = false;
    /// Fencing token of the last lease under which the state was written or confirmed.
    std::int64_t m_stateWrittenUnder = 0;

    bool m_isHeld = false;
    bool m_isReleased = false;
    LeaseId m_lease;
    std::int64_t m_fencingToken = 0;
    MonotonicTime m_validUntil { 0 };
    MonotonicTime m_acquiredAt { 0 };
    MonotonicTime m_orderFrom { 0 };
    /// 0 if this VM has given no order.
    MonotonicTime m_lastOrderAt { 0 };

    StoreEraTracker m_era;
    /// Time at which each lease of an earlier era has ended; 0 if there was no earlier era.
    MonotonicTime m_earlierLeasesEnd { 0 };
    /// Whether this VM still held the lease of the earlier era when it learned of this one, so that no other VM can
    /// have given orders.
    bool m_wasHolder = false;
};

} // namespace Pollenwind
