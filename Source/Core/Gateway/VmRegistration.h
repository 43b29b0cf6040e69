#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Task.h"
#include "Common/WaitList.h"
#include "Store/Commands/StoreCommands.h"

#include <chrono>
#include <optional>
#include <string>

namespace Pollenwind {

/// Times of the registration.
struct VmRegistrationOptions {
    /// Time between two renewals of the lease.
    std::chrono::milliseconds renewInterval { 3300 };
};

/// Keeps this entry VM's record in the store under a lease, so that the other VMs find it.
class VmRegistration {
public:
    /// @param record Text from FleetView::encodeRecord().
    VmRegistration(StoreCommands& store, VmId vm, std::string record, VmRegistrationOptions options = {});

    /// Writes the record and renews its lease until release() is called. A record whose lease expired is written again.
    Task<> run();
    /// Revokes the lease, which deletes the record.
    Task<> release();

    /// Renews the lease soon, since a restored store may have neither the lease nor the record.
    void onStoreRestored(std::size_t fleetSize);
    /// Time after a restore at which a VM renews its lease. The VMs of a fleet do so one after the other.
    static std::chrono::milliseconds restoreDelay(const VmId& vm, std::size_t fleetSize);

private:
    Task<bool> registerVm();

    StoreCommands& m_store;
    VmId m_vm;
    std::string m_record;
    VmRegistrationOptions m_options;
    LeaseId m_lease;
    /// Time after which to renew the lease of a restored store; nothing if it was not restored.
    std::optional<std::chrono::milliseconds> m_restoreDelay;
    WaitList m_waiting;
    bool m_isReleased = false;
};

} // namespace Pollenwind
