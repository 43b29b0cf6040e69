#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Dispatch/ClaimTypes.h"

#include <optional>

namespace Pollenwind {

/// Ensures that a non-idempotent call with an idempotency key is dispatched at most once in the fleet.
class ClaimCommands {
public:
    ClaimCommands() = default;
    ClaimCommands(const ClaimCommands&) = delete;
    ClaimCommands& operator=(const ClaimCommands&) = delete;
    virtual ~ClaimCommands() = default;

    /// Claims a call, or returns the outcome of an earlier request for it. A claim is never taken over from its holder.
    /// @return The result; StoreUnavailable with RunState::NotRun if the store could not be queried.
    virtual Task<Outcome<ClaimAnswer>> claim(ClaimRequest request) = 0;

    /// Stores the outcome of a claimed call. If it is never stored, repeated requests get OutcomeUnknown.
    /// @param answer The upstream's response, or nothing if the outcome is unknown.
    virtual Task<Outcome<void>> complete(ClaimTicket ticket, std::optional<PlainAnswer> answer) = 0;

    /// Releases a claim after a call that certainly did not run, so that a repeated request can run it.
    virtual Task<Outcome<void>> release(ClaimTicket ticket) = 0;
};

} // namespace Pollenwind
