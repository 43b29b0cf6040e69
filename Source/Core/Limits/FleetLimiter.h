#pragma once

#include "Limits/Commands/GrantTransport.h"
#include "Limits/LimitTable.h"
#include "Metrics/Commands/MetricCommands.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <unordered_map>

namespace Pollenwind {

/// Admits requests as a LimitTable decides: suspends them until tokens are available, and exchanges grant messages.
class FleetLimiter final : public LimitCommands {
public:
    FleetLimiter(asio::any_io_executor executor, const Clock& clock, LimitTable& table, GrantTransport& transport,
        MetricCommands& metrics);

    Task<Outcome<ReservationId>> reserve(OrganisationId organisation, double tokens, MonotonicTime deadline) override;
    void settle(ReservationId reservation, double used) override;

    /// Periodically removes expired grants, returns unused ones and borrows ahead of demand, until the process ends.
    Task<> sweepAccounts();

private:
    class Wait;

    Task<> borrow(BorrowOrder order);
    void sendOrders(const OrganisationId& organisation);
    void sendSettlements();
    void wakeFirst(const OrganisationId& organisation);

    asio::any_io_executor m_executor;
    const Clock& m_clock;
    LimitTable& m_table;
    GrantTransport& m_transport;
    MetricCommands& m_metrics;
    std::unordered_map<WaiterId, asio::steady_timer*> m_wakeups;
    /// Lets a Wait that outlives this object, at the end of the process, detect that.
    std::shared_ptr<FleetLimiter*> m_self;
};

} // namespace Pollenwind
