#include "Peer/PeerNetwork.h"

#include "Common/Digest.h"
#include "Common/Sleep.h"
#include "Common/TaskFault.h"
#include "Peer/PeerCodec.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/address.hpp>

#include <algorithm>

namespace Pollenwind {

namespace {

    using asio::ip::tcp;

    constexpr std::chrono::milliseconds minBackoff { 100 };
    constexpr std::chrono::milliseconds maxBackoff { 2000 };
    // Interval at which maintainLink() checks that an existing link is still open.
    constexpr std::chrono::milliseconds linkCheckInterval { 250 };
    // Long enough that the grant requests of one load peak need only one handshake.
    constexpr std::chrono::seconds onDemandRetention { 30 };
    // Limits the connections that unauthenticated peers can occupy, each for at most the handshake timeout.
    constexpr std::size_t maxUnauthenticated = 256;

    std::chrono::milliseconds jittered(std::chrono::milliseconds limit)
    {
        return limit / 2 + std::chrono::milliseconds(randomBits() % static_cast<std::uint64_t>(limit.count()));
    }

} // namespace

PeerNetwork::PeerNetwork(
    asio::any_io_executor executor, PeerNetworkContext context, VmIdentity self, PeerOptions options)
    : m_executor(std::move(executor))
    , m_context(context)
    , m_self(std::move(self))
    , m_options(std::move(options))
    , m_acceptor(m_executor)
{
}

PeerLinkContext PeerNetwork::linkContext() const
{
    return { m_context.clock, m_context.metrics, m_context.faults, m_context.handler, m_self, m_options };
}

Outcome<Endpoint> PeerNetwork::listen(const Endpoint& endpoint)
{
    boost::system::error_code ec;
    const tcp::endpoint local(asio::ip::make_address(endpoint.address, ec), endpoint.port);
    if (!ec) {
        m_acceptor.open(local.protocol(), ec);
    }
    if (!ec) {
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec) {
        m_acceptor.bind(local, ec);
    }
    if (!ec) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        return fail(ErrorCode::Unavailable, "cannot listen on " + endpoint.toString() + ": " + ec.message());
    }
    m_self.peers = { endpoint.address, m_acceptor.local_endpoint().port() };
    spawnService(m_executor, TaskKind::Listener, [this] { return acceptLinks(); });
    return m_self.peers;
}

void PeerNetwork::stop()
{
    m_isStopped = true;
    boost::system::error_code ec;
    m_acceptor.close(ec);
    m_targets.clear();
    m_onDemandUntil.clear();
    for (const auto& [vm, link] : m_links) {
        link->close("this router is stopping");
    }
}

Task<> PeerNetwork::acceptLinks()
{
    while (!m_isStopped) {
        auto [ec, socket] = co_await m_acceptor.async_accept(asTuple);
        if (ec && !m_isStopped) {
            // For example, no file descriptors are left. The pause keeps the loop from spinning until some are free.
            co_await sleepFor(minBackoff);
        } else if (!ec && m_unauthenticated < maxUnauthenticated) {
            spawnTask(m_executor, TaskKind::PeerLink, serveAccepted(std::move(socket)));
        }
    }
}

Task<> PeerNetwork::serveAccepted(tcp::socket socket)
{
    co_await serve(std::make_shared<PeerLink>(std::move(socket), LinkSide::Acceptor, linkContext()));
}

void PeerNetwork::setTargets(const std::vector<Endpoint>& targets)
{
    if (m_isStopped) {
        return;
    }
    m_targets = { targets.begin(), targets.end() };
    m_targets.erase(m_self.peers);
    for (const auto& target : m_targets) {
        startDialing(target);
    }
    for (const auto& [vm, link] : m_links) {
        if (link->side() == LinkSide::Dialer && !isWanted(link->peer().peers)) {
            link->close("no longer a target");
        }
    }
}

bool PeerNetwork::isWanted(const Endpoint& target)
{
    const auto it = m_onDemandUntil.find(target);
    if (it != m_onDemandUntil.end() && it->second < m_context.clock.now()) {
        m_onDemandUntil.erase(it);
    }
    return !m_isStopped && (m_targets.contains(target) || m_onDemandUntil.contains(target));
}

bool PeerNetwork::isLinkedAt(const Endpoint& target) const
{
    return std::ranges::any_of(m_links, [&](const auto& it) { return it.second->peer().peers == target; });
}

void PeerNetwork::startDialing(const Endpoint& target)
{
    if (m_dialing.insert(target).second) {
        spawnService(m_executor, TaskKind::PeerLink, [this, target] { return maintainLink(target); });
    }
}

Task<> PeerNetwork::maintainLink(Endpoint target)
{
    auto backoff = minBackoff;
    while (isWanted(target)) {
        if (isLinkedAt(target)) {
            backoff = minBackoff;
            co_await sleepFor(linkCheckInterval);
            continue;
        }
        if (co_await dial(target)) {
            backoff = minBackoff;
        }
        co_await sleepFor(jittered(backoff));
        backoff = std::min(backoff * 2, maxBackoff);
    }
    m_dialing.erase(target);
}

Task<bool> PeerNetwork::dial(Endpoint target)
{
    boost::system::error_code addressError;
    const auto address = asio::ip::make_address(target.address, addressError);
    if (addressError) {
        co_return false;
    }
    auto socket = std::make_shared<tcp::socket>(m_executor);
    asio::steady_timer timer(m_executor, m_options.connectTimeout);
    timer.async_wait([socket](const boost::system::error_code& ec) {
        if (!ec && socket->is_open()) {
            boost::system::error_code ignored;
            socket->cancel(ignored);
        }
    });
    // Connects from the VM's own address, so that a VM can be identified by the source address of its connections.
    boost::system::error_code ec;
    socket->open(tcp::v4(), ec);
    const auto own = asio::ip::make_address(m_self.peers.address, ec);
    socket->bind(tcp::endpoint(own, 0), ec);
    const auto [error] = co_await socket->async_connect(tcp::endpoint(address, target.port), asTuple);
    timer.cancel();
    if (error) {
        co_return false;
    }
    co_return co_await serve(std::make_shared<PeerLink>(std::move(*socket), LinkSide::Dialer, linkContext()));
}

Task<bool> PeerNetwork::serve(LinkPointer link)
{
    ++m_unauthenticated;
    const auto authenticated = co_await withoutExceptions(TaskKind::PeerLink, link->authenticate());
    --m_unauthenticated;
    if (!authenticated || !registerLink(link)) {
        link->close("refused");
        co_return false;
    }
    if (const auto ended = co_await withoutExceptions(TaskKind::PeerLink, link->run()); !ended) {
        link->close(ended.error().message);
    }
    unregisterLink(link);
    co_return true;
}

bool PeerNetwork::isPreferred(const PeerLink& link) const
{
    return (link.side() == LinkSide::Dialer) == (m_self.vm < link.peer().vm);
}

bool PeerNetwork::registerLink(const LinkPointer& link)
{
    const auto& peer = link->peer();
    const auto fault = m_context.faults.faultBetween(m_self.vm, peer.vm);
    if (m_isStopped || peer.vm == m_self.vm || fault == LinkFault::Cut) {
        return false;
    }
    const auto it = m_links.find(peer.vm);
    const bool isDuplicate = it != m_links.end() && it->second->peer().incarnation == peer.incarnation;
    if ((isDuplicate && !isPreferred(*link)) || !m_context.handler.onLinkUp(peer)) {
        return false;
    }
    if (it != m_links.end()) {
        it->second->close("replaced by another link");
    }
    m_links[peer.vm] = link;
    if (!isDuplicate) {
        m_context.timeline.record(EventKind::PeerLinkUp,
            { { "vm", peer.vm.value() }, { "zone", peer.zone.value() }, { "address", peer.peers.toString() } });
    }
    for (auto* timer : m_waiters) {
        timer->cancel();
    }
    return true;
}

void PeerNetwork::unregisterLink(const LinkPointer& link)
{
    const auto it = m_links.find(link->peer().vm);
    if (it == m_links.end() || it->second != link) {
        return;
    }
    m_links.erase(it);
    m_context.timeline.record(
        EventKind::PeerLinkDown, { { "vm", link->peer().vm.value() }, { "reason", link->closeReason() } });
    m_context.handler.onLinkDown(link->peer());
}

bool PeerNetwork::send(const VmId& vm, const PeerMessage& message)
{
    const auto it = m_links.find(vm);
    return it != m_links.end()
        && it->second->send(std::make_shared<const std::string>(PeerCodec::encodeFrame(message)));
}

std::vector<VmId> PeerNetwork::broadcast(const PeerMessage& message, const std::optional<VmId>& except)
{
    const auto frame = std::make_shared<const std::string>(PeerCodec::encodeFrame(message));
    std::vector<VmId> reached;
    for (const auto& [vm, link] : m_links) {
        if (vm != except && link->send(frame)) {
            reached.push_back(vm);
        }
    }
    return reached;
}

Task<bool> PeerNetwork::openLink(VmId vm, Endpoint endpoint, std::chrono::nanoseconds timeout)
{
    const auto deadline = m_context.clock.now() + timeout;
    m_onDemandUntil[endpoint] = m_context.clock.now() + onDemandRetention;
    if (!m_links.contains(vm)) {
        startDialing(endpoint);
    }
    while (!m_links.contains(vm) && m_context.clock.now() < deadline && !m_isStopped) {
        asio::steady_timer timer(m_executor, deadline - m_context.clock.now());
        m_waiters.insert(&timer);
        co_await timer.async_wait(asTuple);
        m_waiters.erase(&timer);
    }
    co_return m_links.contains(vm);
}

std::vector<PeerLinkStatus> PeerNetwork::links() const
{
    std::vector<PeerLinkStatus> links;
    links.reserve(m_links.size());
    for (const auto& [vm, link] : m_links) {
        links.push_back(link->status());
    }
    return links;
}

} // namespace Pollenwind
