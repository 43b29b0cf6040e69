#pragma once

#include "Limits/ShareTypes.h"

#include <set>

namespace Pollenwind {

/// Applies the allocation of slots on this VM.
class ShareCommands {
public:
    ShareCommands() = default;
    ShareCommands(const ShareCommands&) = delete;
    ShareCommands& operator=(const ShareCommands&) = delete;
    virtual ~ShareCommands() = default;

    /// Adopts a revision of the allocation record.
    /// @param record The allocation, which also names the VMs that lend tokens.
    /// @param used Slots that this VM spends from; a slot not used before starts empty.
    virtual void adoptShares(const ShareRecord& record, const std::set<ShareSlotId>& used) = 0;

    /// Adopts a record that this VM has just created. No VM held its slots before, so no earlier grant can be live and
    /// the slots have their full cap at once.
    virtual void adoptNewRecord(const ShareRecord& record, const std::set<ShareSlotId>& used) = 0;
};

} // namespace Pollenwind
