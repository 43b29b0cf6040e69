#pragma once

#include "Common/Clock.h"
#include "Limits/Commands/GrantLender.h"
#include "Limits/Commands/GrantTransport.h"
#include "Membership/Queries/MembershipQueries.h"
#include "Peer/Commands/PeerCommands.h"

#include <boost/asio/steady_timer.hpp>

#include <map>

namespace Pollenwind {

/// Time after which a grant request without a reply fails. It includes the time to open a link.
inline constexpr std::chrono::milliseconds grantRequestTimeout { 300 };

/// Sends grant messages over the peer links and matches replies to requests.
class GrantExchange final : public GrantTransport {
public:
    GrantExchange(
        asio::any_io_executor executor, const Clock& clock, PeerCommands& peers, const MembershipQueries& members);

    Task<Outcome<GrantReply>> requestGrant(VmId lender, GrantRequest request) override;
    void settleGrant(const VmId& lender, const GrantSettlement& settlement) override;

    /// Handles a request from a peer: lends tokens and sends the reply.
    void receiveRequest(GrantLender& lender, const VmId& borrower, const PeerGrantRequest& request);
    /// Passes a reply to the request that waits for it. A reply without a waiting request, or from a VM other than the
    /// lender, is ignored.
    void receiveReply(const VmId& lender, const PeerGrantReply& reply);

private:
    struct Pending {
        VmId lender;
        asio::steady_timer timer;
        std::optional<GrantReply> reply;
    };

    asio::any_io_executor m_executor;
    const Clock& m_clock;
    PeerCommands& m_peers;
    const MembershipQueries& m_members;
    std::map<std::uint64_t, Pending> m_pending;
    std::uint64_t m_nextRequest = 1;
};

} // namespace Pollenwind
