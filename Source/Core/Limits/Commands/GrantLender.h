#pragma once

#include "Limits/GrantTypes.h"

namespace Pollenwind {

/// Lends tokens of this VM's shares to other VMs.
class GrantLender {
public:
    GrantLender() = default;
    GrantLender(const GrantLender&) = delete;
    GrantLender& operator=(const GrantLender&) = delete;
    virtual ~GrantLender() = default;

    /// Lends up to the wanted number of tokens.
    virtual GrantReply lend(const VmId& borrower, const GrantRequest& request) = 0;

    /// Ends a grant early. An unknown or expired grant is ignored.
    virtual void settle(const VmId& borrower, const GrantSettlement& settlement) = 0;
};

} // namespace Pollenwind
