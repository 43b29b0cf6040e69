#pragma once

#include "Limits/ShareTypes.h"

#include <vector>

namespace Pollenwind {

/// State of one organisation's tokens on this VM.
struct LimitStatus {
    OrganisationId organisation;
    /// Tokens that may be spent or lent now.
    double level = 0;
    /// Tokens lent to other VMs and not yet settled.
    double outstanding = 0;
    /// Tokens borrowed from other VMs and still valid.
    double borrowed = 0;
    /// Slots of the organisation's group that this VM holds.
    std::uint32_t slots = 0;
};

/// The allocation of slots as last read by this VM.
struct ShareStatus {
    ShareRecord record;
    /// Slots that this VM uses.
    std::vector<ShareSlotId> used;
};

/// Reads the token state.
class LimitQueries {
public:
    LimitQueries() = default;
    LimitQueries(const LimitQueries&) = delete;
    LimitQueries& operator=(const LimitQueries&) = delete;
    virtual ~LimitQueries() = default;

    /// @return Every organisation with state on this VM.
    virtual std::vector<LimitStatus> status() const = 0;
    virtual ShareStatus shares() const = 0;
};

} // namespace Pollenwind
