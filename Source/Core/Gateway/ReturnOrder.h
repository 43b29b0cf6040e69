#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"

#include <chrono>
#include <cstddef>
#include <map>

namespace Pollenwind {

/// Assigns the times at which the callers of rejected requests return: those of one organisation in the order in which
/// they were rejected, spread over the time needed to work off the excess. There is no order between organisations.
///
/// Load pattern that it answers: callers that compete for scarce capacity. Without an order a caller that was rejected
/// later returns earlier and takes the capacity for which another one has waited longer.
class ReturnOrder {
public:
    /// Organisations whose order is kept. Of more, the one whose last caller returns first is dropped.
    static constexpr std::size_t maxOrganisations = 1024;

    /// Assigns the time at which a caller returns: not before the excess is worked off, at least 100 ms, and not before
    /// the organisation's caller that was rejected last; at most a third of the caller's remaining time, which callers
    /// follow.
    /// @param excess Time needed to work off what is too much now.
    /// @param remaining Time until the request's deadline.
    /// @param spread From 0 to 1, different for each request.
    /// @return Time from now, for Retry-After.
    std::chrono::milliseconds assign(MonotonicTime now, const OrganisationId& organisation,
        std::chrono::nanoseconds excess, std::chrono::nanoseconds remaining, double spread);

    std::size_t size() const { return m_queues.size(); }

private:
    /// Callers of one organisation that are to return.
    struct Queue {
        MonotonicTime lastReturn { 0 };
        /// The same as the callers were told it, in whole milliseconds from their rejections.
        MonotonicTime lastAssigned { 0 };
        MonotonicTime lastRejection { 0 };
        /// Rejections in the time needed to work off the excess, older ones weigh less.
        double rejections = 0;
    };

    Queue& queueOf(MonotonicTime now, const OrganisationId& organisation);

    std::map<OrganisationId, Queue> m_queues;
};

} // namespace Pollenwind
