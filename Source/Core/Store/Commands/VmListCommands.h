#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Store/StoreTypes.h"

namespace Pollenwind {

/// Changes the platform's list of VMs.
class VmListCommands {
public:
    VmListCommands() = default;
    VmListCommands(const VmListCommands&) = delete;
    VmListCommands& operator=(const VmListCommands&) = delete;
    virtual ~VmListCommands() = default;

    /// Creates or replaces the entry of a VM. Idempotent.
    virtual Task<Outcome<void>> setListedVm(ListedVm vm) = 0;
};

} // namespace Pollenwind
