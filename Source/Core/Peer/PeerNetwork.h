#pragma once

#include "Peer/Commands/PeerCommands.h"
#include "Peer/PeerLink.h"
#include "Peer/Queries/PeerQueries.h"
#include "Timeline/Commands/TimelineCommands.h"

#include <map>
#include <set>
#include <string>

namespace Pollenwind {

/// Dependencies of the peer network. All references must stay valid until io_context::run() returns.
struct PeerNetworkContext {
    const Clock& clock;
    MetricCommands& metrics;
    TimelineCommands& timeline;
    const LinkFaults& faults;
    PeerHandler& handler;
};

/// Owner of the link table: accepts links, keeps links to the target peers open and opens others on demand.
///
/// When two VMs open links to each other at the same time, both keep the link that the VM with the lower id opened.
class PeerNetwork final : public PeerCommands, public PeerQueries {
public:
    PeerNetwork(asio::any_io_executor executor, PeerNetworkContext context, VmIdentity self, PeerOptions options);

    /// Binds the peer port and starts to accept links.
    /// @return The bound endpoint, or Unavailable when it cannot be bound.
    Outcome<Endpoint> listen(const Endpoint& endpoint);

    /// Closes all links and the listening socket.
    void stop();

    void setTargets(const std::vector<Endpoint>& targets) override;
    bool send(const VmId& vm, const PeerMessage& message) override;
    std::vector<VmId> broadcast(const PeerMessage& message, const std::optional<VmId>& except) override;
    Task<bool> openLink(VmId vm, Endpoint endpoint, std::chrono::nanoseconds timeout) override;

    std::vector<PeerLinkStatus> links() const override;
    bool isLinked(const VmId& vm) const override { return m_links.contains(vm); }

private:
    using LinkPointer = std::shared_ptr<PeerLink>;

    Task<> acceptLinks();
    Task<> serveAccepted(asio::ip::tcp::socket socket);
    Task<> maintainLink(Endpoint target);
    Task<bool> dial(Endpoint target);
    Task<bool> serve(LinkPointer link);
    bool registerLink(const LinkPointer& link);
    void unregisterLink(const LinkPointer& link);
    /// True when this link is kept of two that were opened at the same time.
    bool isPreferred(const PeerLink& link) const;
    /// True while a link is to be kept. Removes the on-demand entry of the endpoint when it has expired.
    bool isWanted(const Endpoint& target);
    bool isLinkedAt(const Endpoint& target) const;
    void startDialing(const Endpoint& target);
    PeerLinkContext linkContext() const;

    asio::any_io_executor m_executor;
    PeerNetworkContext m_context;
    VmIdentity m_self;
    PeerOptions m_options;
    asio::ip::tcp::acceptor m_acceptor;
    /// Timers of openLink() calls that wait; cancelled when a link comes up.
    std::set<asio::steady_timer*> m_waiters;
    std::map<VmId, LinkPointer> m_links;
    std::set<Endpoint> m_targets;
    /// Endpoints of links opened on demand, with the time until which they are kept.
    std::map<Endpoint, MonotonicTime> m_onDemandUntil;
    /// Endpoints for which a maintainLink() task runs.
    std::set<Endpoint> m_dialing;
    /// Connections whose handshake has not ended.
    std::size_t m_unauthenticated = 0;
    bool m_isStopped = false;
};

} // namespace Pollenwind
