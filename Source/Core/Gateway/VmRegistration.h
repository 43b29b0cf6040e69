#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Task.h"
#include "Store/Commands/StoreCommands.h"

#include <string>

namespace Pollenwind {

/// Keeps this entry VM's record in the store under a lease, so that the other VMs find it.
class VmRegistration {
public:
    /// @param record Text from FleetView::encodeRecord().
    VmRegistration(StoreCommands& store, VmId vm, std::string record);

    /// Writes the record and renews its lease until release() is called. A record whose lease expired is written again.
    Task<> run();
    /// Revokes the lease, which deletes the record.
    Task<> release();

private:
    Task<bool> registerVm();

    StoreCommands& m_store;
    VmId m_vm;
    std::string m_record;
    LeaseId m_lease;
    bool m_isReleased = false;
};

} // namespace Pollenwind
