#include "Limits/FleetLimiter.h"

#include "Common/Sleep.h"
#include "Common/TaskFault.h"

namespace Pollenwind {

namespace {

    constexpr std::chrono::milliseconds sweepInterval { 100 };

} // namespace

/// Entry of one request in its organisation's queue. It is removed when the request's task ends for any reason.
class FleetLimiter::Wait {
public:
    Wait(FleetLimiter& limiter, OrganisationId organisation, WaiterId id)
        : timer(limiter.m_executor)
        , m_limiter(limiter.m_self)
        , m_organisation(std::move(organisation))
        , m_id(id)
    {
        limiter.m_wakeups.emplace(id, &timer);
    }
    Wait(const Wait&) = delete;
    Wait& operator=(const Wait&) = delete;
    ~Wait()
    {
        if (const auto limiter = m_limiter.lock()) {
            (*limiter)->m_wakeups.erase(m_id);
            (*limiter)->m_table.abandon(m_organisation, m_id);
            (*limiter)->wakeFirst(m_organisation);
        }
    }

    asio::steady_timer timer;

private:
    std::weak_ptr<FleetLimiter*> m_limiter;
    OrganisationId m_organisation;
    WaiterId m_id;
};

FleetLimiter::FleetLimiter(asio::any_io_executor executor, const Clock& clock, LimitTable& table,
    GrantTransport& transport, MetricCommands& metrics)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_table(table)
    , m_transport(transport)
    , m_metrics(metrics)
    , m_self(std::make_shared<FleetLimiter*>(this))
{
}

Task<Outcome<ReservationId>> FleetLimiter::reserve(OrganisationId organisation, double tokens, MonotonicTime deadline)
{
    const auto waiter = m_table.enqueue(organisation, tokens, deadline);
    if (!waiter) {
        co_return std::unexpected(waiter.error());
    }
    Wait wait(*this, organisation, *waiter);
    for (;;) {
        const auto admitted = m_table.poll(organisation, *waiter);
        sendOrders(organisation);
        if (!admitted) {
            co_return std::unexpected(admitted.error());
        }
        if (*admitted) {
            co_return **admitted;
        }
        wait.timer.expires_after(m_table.nextCheck(organisation, *waiter) - m_clock.now());
        co_await wait.timer.async_wait(asTuple);
    }
}

void FleetLimiter::settle(ReservationId reservation, double used)
{
    if (const auto organisation = m_table.settleReservation(reservation, used)) {
        wakeFirst(*organisation);
    }
}

Task<> FleetLimiter::sweepAccounts()
{
    for (;;) {
        co_await sleepFor(sweepInterval);
        for (const auto& organisation : m_table.sweep()) {
            sendOrders(organisation);
        }
        sendSettlements();
    }
}

Task<> FleetLimiter::borrow(BorrowOrder order)
{
    const auto reply = co_await m_transport.requestGrant(order.lender, order.request);
    if (reply && reply->tokens > 0) {
        m_metrics.count(Counter::GrantsReceived);
    }
    m_table.onGrantReply(order, reply ? std::optional(*reply) : std::nullopt);
    wakeFirst(order.request.organisation);
    sendOrders(order.request.organisation);
}

void FleetLimiter::sendOrders(const OrganisationId& organisation)
{
    for (auto& order : m_table.takeBorrowOrders(organisation)) {
        spawnTask(m_executor, TaskKind::PeerCall, borrow(std::move(order)));
    }
    sendSettlements();
}

void FleetLimiter::sendSettlements()
{
    for (const auto& order : m_table.takeSettlements()) {
        m_transport.settleGrant(order.lender, order.settlement);
    }
}

void FleetLimiter::wakeFirst(const OrganisationId& organisation)
{
    const auto first = m_table.firstWaiter(organisation);
    const auto it = first ? m_wakeups.find(*first) : m_wakeups.end();
    if (it != m_wakeups.end()) {
        it->second->cancel();
    }
}

} // namespace Pollenwind
