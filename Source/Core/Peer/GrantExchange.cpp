#include "Peer/GrantExchange.h"

namespace Pollenwind {

GrantExchange::GrantExchange(
    asio::any_io_executor executor, const Clock& clock, PeerCommands& peers, const MembershipQueries& members)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_peers(peers)
    , m_members(members)
{
}

Task<Outcome<GrantReply>> GrantExchange::requestGrant(VmId lender, GrantRequest request)
{
    const auto deadline = m_clock.now() + grantRequestTimeout;
    const auto member = m_members.find(lender);
    if (!member || member->state == MemberState::Gone) {
        co_return fail(ErrorCode::Unavailable, "unknown VM " + lender.value());
    }
    if (!co_await m_peers.openLink(lender, member->identity.peers, grantRequestTimeout)) {
        co_return fail(ErrorCode::Unavailable, "no link to VM " + lender.value());
    }
    const auto id = m_nextRequest++;
    const auto it
        = m_pending
              .emplace(id, Pending { lender, asio::steady_timer(m_executor, deadline - m_clock.now()), std::nullopt })
              .first;
    if (m_peers.send(lender, PeerGrantRequest { id, std::move(request) })) {
        co_await it->second.timer.async_wait(asTuple);
    }
    const auto reply = it->second.reply;
    m_pending.erase(it);
    if (!reply) {
        co_return fail(
            ErrorCode::DeadlineExceeded, "VM " + lender.value() + " did not reply to a grant request in time");
    }
    co_return *reply;
}

void GrantExchange::settleGrant(const VmId& lender, const GrantSettlement& settlement)
{
    m_peers.send(lender, PeerGrantSettle { settlement });
}

void GrantExchange::receiveRequest(GrantLender& lender, const VmId& borrower, const PeerGrantRequest& request)
{
    m_peers.send(borrower, PeerGrantReply { request.request, lender.lend(borrower, request.wanted) });
}

void GrantExchange::receiveReply(const VmId& lender, const PeerGrantReply& reply)
{
    const auto it = m_pending.find(reply.request);
    if (it != m_pending.end() && it->second.lender == lender) {
        it->second.reply = reply.reply;
        it->second.timer.cancel();
    }
}

} // namespace Pollenwind
