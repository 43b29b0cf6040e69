#pragma once

#include "Common/Ids.h"

#include <chrono>
#include <cstdint>

namespace Pollenwind {

/// Identifies a grant at its lender. A grant is a loan of tokens from one VM's share to another VM, valid for
/// grantLifetime. Ids are random, so that a restarted lender never reuses one.
using GrantId = Id<struct GrantTag, std::uint64_t>;

/// Time for which borrowed tokens may be spent, counted by the borrower from the time it sent the request.
inline constexpr std::chrono::seconds grantLifetime { 2 };

/// Request for tokens from another VM's share.
struct GrantRequest {
    OrganisationId organisation;
    /// Tokens wanted.
    double tokens = 0;
};

/// Response to a grant request.
struct GrantReply {
    GrantId id;
    /// Tokens granted; 0 when the lender has none to spare.
    double tokens = 0;
    /// Tokens that the lender could still lend after the grant.
    double lenderLevel = 0;
};

/// Ends a grant early. The borrower must not spend from the grant after sending this.
struct GrantSettlement {
    GrantId id;
    /// Tokens of the grant that were spent; the rest returns to the lender.
    double spent = 0;
};

} // namespace Pollenwind
