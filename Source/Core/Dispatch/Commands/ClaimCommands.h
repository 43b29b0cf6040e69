#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Dispatch/ClaimTypes.h"

#include <optional>

namespace Pollenwind {

/// Lets a non-idempotent call with an idempotency key be dispatched at most once in the fleet.
class ClaimCommands {
public:
    ClaimCommands() = default;
    ClaimCommands(const ClaimCommands&) = delete;
    ClaimCommands& operator=(const ClaimCommands&) = delete;
    virtual ~ClaimCommands() = default;

    /// Claims a call, or tells what became of it before. A claim is never taken over.
    /// @return The answer; StoreUnavailable with RunState::NotRun when nothing could be learned.
    virtual Task<Outcome<ClaimAnswer>> claim(ClaimRequest request) = 0;

    /// Stores the outcome of a claimed call. Without it, repeats are told that the outcome is unknown.
    /// @param answer The upstream's answer, or nothing when the outcome is unknown.
    virtual Task<Outcome<void>> complete(ClaimTicket ticket, std::optional<PlainAnswer> answer) = 0;

    /// Gives a claim up after a call that certainly did not run, so that a repeat can run.
    virtual Task<Outcome<void>> release(ClaimTicket ticket) = 0;
};

} // namespace Pollenwind
