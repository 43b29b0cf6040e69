#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Task.h"
#include "Metrics/Commands/MetricCommands.h"
#include "Peer/LinkFaults.h"
#include "Peer/PeerAuthentication.h"
#include "Peer/PeerHandler.h"
#include "Peer/Queries/PeerQueries.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <string>

namespace Pollenwind {

/// Settings of the peer links.
struct PeerOptions {
    /// Cluster secret.
    std::string secret;
    std::uint16_t minVersion = oldestPeerProtocolVersion;
    std::uint16_t maxVersion = peerProtocolVersion;
    std::chrono::milliseconds heartbeatInterval { 500 };
    /// Longest time without a received frame; the link is closed after it.
    std::chrono::milliseconds silenceLimit { 1500 };
    std::chrono::milliseconds connectTimeout { 500 };
    std::chrono::milliseconds handshakeTimeout { 1000 };
};

/// Dependencies of a link. All references must stay valid until io_context::run() returns.
struct PeerLinkContext {
    const Clock& clock;
    MetricCommands& metrics;
    const LinkFaults& faults;
    PeerHandler& handler;
    const VmIdentity& self;
    const PeerOptions& options;
};

/// One connection to another router. A single task authenticates it and then reads, writes and sends heartbeats.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
    PeerLink(asio::ip::tcp::socket socket, LinkSide side, PeerLinkContext context);

    /// Exchanges Hello frames until both sides have proved that they know the cluster secret.
    /// @return An error when the handshake fails or takes longer than the handshake timeout; the link is closed then.
    Task<Outcome<void>> authenticate();

    /// Reads, writes and sends heartbeats until the link is closed.
    Task<> run();

    /// Queues an encoded frame. The link is closed when its queue is full, since the peer then reads too slowly.
    /// @return False when the link is closed or was closed by this call.
    bool send(std::shared_ptr<const std::string> frame);

    /// Closes the connection at once; its tasks end.
    /// @param reason Recorded in the timeline as the reason for which the link went down.
    void close(std::string reason);

    const VmIdentity& peer() const { return m_peer; }
    LinkSide side() const { return m_side; }
    bool isOpen() const { return m_socket.is_open(); }
    const std::string& closeReason() const { return m_closeReason; }
    PeerLinkStatus status() const;

private:
    Task<Outcome<void>> exchangeHellos();
    Task<Outcome<PeerMessage>> readMessage(std::size_t limit);
    Task<Outcome<PeerHello>> readHello();
    Task<Outcome<void>> write(const std::string& frame);
    Task<> readFrames();
    Task<> writeFrames();
    /// Sends heartbeats, and closes the link when the peer is silent or the link is to be cut.
    Task<> runHeartbeats();
    void sendHeartbeat();
    void onHeartbeat(const PeerHeartbeat& heartbeat);
    PeerHello makeHello() const;
    Outcome<void> acceptIdentity(const PeerHello& own, const PeerHello& other);
    LinkFault fault() const;

    asio::ip::tcp::socket m_socket;
    LinkSide m_side;
    PeerLinkContext m_context;
    /// Wakes writeFrames() when a frame is queued or the link is closed.
    asio::steady_timer m_writeWakeup;
    /// Handshake timeout, then the heartbeat interval.
    asio::steady_timer m_timer;
    VmIdentity m_peer;
    /// Negotiated protocol version; 0 until the handshake has ended.
    std::uint16_t m_version = 0;
    std::deque<std::shared_ptr<const std::string>> m_queue;
    std::size_t m_queuedBytes = 0;
    MonotonicTime m_lastFrameAt { 0 };
    std::int64_t m_lastSentAtOfPeer = 0;
    std::string m_closeReason;
};

} // namespace Pollenwind
