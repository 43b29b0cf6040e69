#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Common/Task.h"

#include <cstdint>

namespace Pollenwind {

/// Identifies the tokens that one admitted request has reserved.
using ReservationId = Id<struct ReservationTag, std::uint64_t>;

/// Admits requests within the organisations' rates.
class LimitCommands {
public:
    LimitCommands() = default;
    LimitCommands(const LimitCommands&) = delete;
    LimitCommands& operator=(const LimitCommands&) = delete;
    virtual ~LimitCommands() = default;

    /// Reserves tokens for a request, waiting for them up to a limit.
    /// @param organisation The organisation that pays.
    /// @param tokens Prompt plus largest output.
    /// @param deadline Latest time to wait to, by this process's clock.
    /// @return The reservation; RateExceeded with a retry time, RequestExceedsBurst, or Forbidden for an organisation
    /// that the configuration does not name.
    virtual Task<Outcome<ReservationId>> reserve(OrganisationId organisation, double tokens, MonotonicTime deadline)
        = 0;

    /// Ends a reservation and refunds unused tokens.
    /// @param used Tokens that the request used.
    virtual void settle(ReservationId reservation, double used) = 0;
};

} // namespace Pollenwind
