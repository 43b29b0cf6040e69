#pragma once

#include "Common/Ids.h"
#include "Common/Task.h"
#include "Keys/KeyTypes.h"

#include <cstddef>
#include <vector>

namespace Pollenwind {

/// How far a withdrawal has got.
struct PropagationReport {
    /// VMs that confirmed it, this one included, of all that are not known to be gone.
    std::size_t inForce = 0;
    std::size_t members = 0;
    std::vector<VmId> notReached;
    /// True when in a majority of the configuration's zones every VM that is not suspected, and at least one,
    /// confirmed it.
    bool hasZoneMajority = false;
};

/// Brings withdrawals to the other routers.
class WithdrawalCommands {
public:
    WithdrawalCommands() = default;
    WithdrawalCommands(const WithdrawalCommands&) = delete;
    WithdrawalCommands& operator=(const WithdrawalCommands&) = delete;
    virtual ~WithdrawalCommands() = default;

    /// Puts a withdrawal in force here, sends it to all linked routers and waits for their answers.
    virtual Task<PropagationReport> propagateWithdrawal(KeyRecord record) = 0;
};

} // namespace Pollenwind
