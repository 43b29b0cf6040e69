#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Limits/GrantTypes.h"

namespace Pollenwind {

/// Sends grant messages to other VMs.
class GrantTransport {
public:
    GrantTransport() = default;
    GrantTransport(const GrantTransport&) = delete;
    GrantTransport& operator=(const GrantTransport&) = delete;
    virtual ~GrantTransport() = default;

    /// Requests tokens from a VM.
    /// @return The reply; an error when the VM cannot be reached in time, after which a late reply is ignored.
    virtual Task<Outcome<GrantReply>> requestGrant(VmId lender, GrantRequest request) = 0;

    /// Ends a grant early. Best effort: a lost message only delays the return of the tokens until the grant expires.
    virtual void settleGrant(const VmId& lender, const GrantSettlement& settlement) = 0;
};

} // namespace Pollenwind
