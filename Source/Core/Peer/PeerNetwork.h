#pragma once

#include "Peer/Commands/PeerCommands.h"
#include "Peer/PeerLink.h"
#include "Peer/Queries/PeerQueries.h"
#include "Timeline/Commands/TimelineCommands.h"

#include <map>
#include <set>
#include <string>

namespace Pollenwind {

/// What the peer network works with. All references must outlive the io_context's run.
struct PeerNetworkContext {
    const Clock& clock;
    MetricCommands& metrics;
    TimelineCommands& timeline;
    const LinkFaults& faults;
    PeerHandler& handler;
};

/// Owner of the link table: accepts links, opens those to the chosen peers and opens others on demand.
///
/// Two VMs may open links to each other at the same time. Both then keep the one that the VM with the lower id opened.
class PeerNetwork final : public PeerCommands, public PeerQueries {
public:
    PeerNetwork(asio::any_io_executor executor, PeerNetworkContext context, VmIdentity self, PeerOptions options);

    /// Binds the peer port and starts to accept.
    Outcome<Endpoint> listen(const Endpoint& endpoint);

    /// Closes all links and the port.
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
    bool isPreferred(const PeerLink& link) const;
    bool isWanted(const Endpoint& target);
    bool isLinkedAt(const Endpoint& target) const;
    void startDialing(const Endpoint& target);
    PeerLinkContext linkContext() const;

    asio::any_io_executor m_executor;
    PeerNetworkContext m_context;
    VmIdentity m_self;
    PeerOptions m_options;
    asio::ip::tcp::acceptor m_acceptor;
    /// Timers of the tasks that wait for a link.
    std::set<asio::steady_timer*> m_waiters;
    std::map<VmId, LinkPointer> m_links;
    std::set<Endpoint> m_targets;
    /// Endpoints opened on demand, with the time until which they are wanted.
    std::map<Endpoint, MonotonicTime> m_onDemandUntil;
    std::set<Endpoint> m_dialing;
    std::size_t m_unauthenticated = 0;
    bool m_isStopped = false;
};

} // namespace Pollenwind
