#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Task.h"
#include "Store/Commands/StoreCommands.h"

#include <string>

namespace Pollenwind {

/// Keeps this VM's record in the store under a lease, so that the other VMs find it.
class VmRegistration {
public:
    VmRegistration(StoreCommands& store, VmId vm, std::string record);

    /// Registers and renews for the life of the process.
    Task<> run();
    /// Ends the record.
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
