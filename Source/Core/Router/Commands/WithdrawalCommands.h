#pragma once

#include "Common/Ids.h"
#include "Common/Task.h"
#include "Keys/KeyTypes.h"

#include <cstddef>
#include <vector>

namespace Pollenwind {

/// Which routers have confirmed a withdrawal.
struct PropagationReport {
    /// Number of VMs that confirmed it, including this one, and of all VMs that are not known to be gone.
    std::size_t inForce = 0;
    std::size_t members = 0;
    std::vector<VmId> notReached;
    /// True when, in a majority of the configuration's zones, at least one VM and every VM that is not suspected
    /// confirmed it.
    bool hasZoneMajority = false;
};

/// Propagates withdrawals to the other routers.
class WithdrawalCommands {
public:
    WithdrawalCommands() = default;
    WithdrawalCommands(const WithdrawalCommands&) = delete;
    WithdrawalCommands& operator=(const WithdrawalCommands&) = delete;
    virtual ~WithdrawalCommands() = default;

    /// Applies a withdrawal here, sends it to all other routers and waits for their acknowledgements.
    virtual Task<PropagationReport> propagateWithdrawal(KeyRecord record) = 0;
};

} // namespace Pollenwind
