#include "Peer/PeerLink.h"

#include "Common/Digest.h"
#include "Common/Sleep.h"
#include "Peer/PeerCodec.h"
#include "Transport/SocketOptions.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace Pollenwind {

namespace {

    // Capacity for two frames of the largest size.
    constexpr std::size_t maxQueuedBytes = 2 * PeerCodec::maxFrameBytes;
    // A Hello has a few hundred bytes; an unauthenticated peer must not make the router buffer more.
    constexpr std::size_t maxHelloBytes = 4096;

} // namespace

PeerLink::PeerLink(asio::ip::tcp::socket socket, LinkSide side, PeerLinkContext context)
    : m_socket(std::move(socket))
    , m_side(side)
    , m_context(context)
    , m_writeWakeup(m_socket.get_executor())
    , m_timer(m_socket.get_executor())
{
    setLowLatencyOptions(m_socket.native_handle(), context.options.silenceLimit);
}

LinkFault PeerLink::fault() const { return m_context.faults.faultBetween(m_context.self.vm, m_peer.vm); }

void PeerLink::close(std::string reason)
{
    if (m_socket.is_open()) {
        m_closeReason = std::move(reason);
        boost::system::error_code ec;
        m_socket.close(ec);
    }
    m_writeWakeup.cancel();
    m_timer.cancel();
}

PeerHello PeerLink::makeHello() const
{
    return { m_context.options.minVersion, m_context.options.maxVersion, m_context.self, randomToken(), {} };
}

Task<Outcome<void>> PeerLink::authenticate()
{
    m_timer.expires_after(m_context.options.handshakeTimeout);
    m_timer.async_wait([link = shared_from_this()](const boost::system::error_code& ec) {
        // The handshake may have ended after the timer fired but before this handler runs.
        if (!ec && link->m_version == 0) {
            link->close("the handshake timed out");
        }
    });
    auto result = co_await exchangeHellos();
    m_timer.cancel();
    if (!result) {
        close(result.error().message);
    }
    co_return result;
}

Task<Outcome<void>> PeerLink::exchangeHellos()
{
    const auto& secret = m_context.options.secret;
    auto own = makeHello();
    if (m_side == LinkSide::Dialer) {
        co_await write(PeerCodec::encodeFrame(own));
        const auto other = co_await readHello();
        if (!other) {
            co_return std::unexpected(other.error());
        }
        if (!isProofValid(secret, LinkSide::Acceptor, *other, own.nonce)) {
            m_context.metrics.count(Counter::PeerAuthFailures);
            co_return fail(ErrorCode::Forbidden, "the peer does not know the cluster secret");
        }
        own.proof = makeProof(secret, LinkSide::Dialer, own, other->nonce);
        const auto written = co_await write(PeerCodec::encodeFrame(own));
        co_return written ? acceptIdentity(own, *other) : written;
    }
    const auto first = co_await readHello();
    if (!first) {
        co_return std::unexpected(first.error());
    }
    own.proof = makeProof(secret, LinkSide::Acceptor, own, first->nonce);
    co_await write(PeerCodec::encodeFrame(own));
    const auto second = co_await readHello();
    if (!second) {
        co_return std::unexpected(second.error());
    }
    if (!isProofValid(secret, LinkSide::Dialer, *second, own.nonce)) {
        m_context.metrics.count(Counter::PeerAuthFailures);
        co_return fail(ErrorCode::Forbidden, "the peer does not know the cluster secret");
    }
    co_return acceptIdentity(own, *second);
}

Outcome<void> PeerLink::acceptIdentity(const PeerHello& own, const PeerHello& other)
{
    const auto version = negotiateVersion(own, other);
    if (!version) {
        return fail(ErrorCode::ProtocolError, "no common protocol version");
    }
    m_version = *version;
    m_peer = other.identity;
    m_lastFrameAt = m_context.clock.now();
    return {};
}

Task<Outcome<PeerHello>> PeerLink::readHello()
{
    auto message = co_await readMessage(maxHelloBytes);
    if (!message) {
        co_return std::unexpected(message.error());
    }
    auto* hello = std::get_if<PeerHello>(&*message);
    if (!hello) {
        m_context.metrics.count(Counter::PeerBadFrames);
        co_return fail(ErrorCode::ProtocolError, "expected a Hello");
    }
    co_return std::move(*hello);
}

Task<Outcome<PeerMessage>> PeerLink::readMessage(std::size_t limit)
{
    std::array<std::uint8_t, PeerCodec::headerBytes> header {};
    const auto [headerError, n] = co_await asio::async_read(m_socket, asio::buffer(header), asTuple);
    if (headerError) {
        co_return fail(ErrorCode::ConnectionLost, "read: " + headerError.message());
    }
    const auto size = PeerCodec::decodeLength(header);
    if (!size || *size > limit) {
        m_context.metrics.count(Counter::PeerBadFrames);
        co_return fail(ErrorCode::Malformed, "a frame is empty or too large");
    }
    std::vector<std::uint8_t> body(*size);
    const auto [bodyError, m] = co_await asio::async_read(m_socket, asio::buffer(body), asTuple);
    if (bodyError) {
        co_return fail(ErrorCode::ConnectionLost, "read: " + bodyError.message());
    }
    m_context.metrics.count(Counter::PeerBytesReceived, header.size() + body.size());
    auto message = PeerCodec::decodeBody(body);
    if (!message) {
        m_context.metrics.count(Counter::PeerBadFrames);
    }
    co_return message;
}

Task<Outcome<void>> PeerLink::write(const std::string& frame)
{
    const auto [ec, n] = co_await asio::async_write(m_socket, asio::buffer(frame), asTuple);
    m_context.metrics.count(Counter::PeerBytesSent, n);
    if (ec) {
        co_return fail(ErrorCode::ConnectionLost, "write: " + ec.message());
    }
    co_return Outcome<void> {};
}

Task<> PeerLink::run()
{
    using namespace asio::experimental::awaitable_operators;
    sendHeartbeat();
    // Each loop ends when the link is closed, and closes the link when it ends for another reason.
    co_await (readFrames() && writeFrames() && runHeartbeats());
}

Task<> PeerLink::readFrames()
{
    while (isOpen()) {
        const auto message = co_await readMessage(PeerCodec::maxFrameBytes);
        if (!message) {
            close(message.error().message);
            co_return;
        }
        m_lastFrameAt = m_context.clock.now();
        if (const auto* heartbeat = std::get_if<PeerHeartbeat>(&*message)) {
            onHeartbeat(*heartbeat);
        }
        if (isOpen()) {
            m_context.handler.receive(m_peer, *message);
        }
    }
}

void PeerLink::onHeartbeat(const PeerHeartbeat& heartbeat)
{
    const bool isFirst = m_lastSentAtOfPeer == 0;
    m_lastSentAtOfPeer = heartbeat.sentAt;
    if (isFirst) {
        // The first heartbeat is echoed at once, so that a starting router can confirm its keys without waiting for the
        // heartbeat interval.
        sendHeartbeat();
    }
}

Task<> PeerLink::writeFrames()
{
    while (isOpen()) {
        if (m_queue.empty()) {
            m_writeWakeup.expires_at(asio::steady_timer::time_point::max());
            co_await m_writeWakeup.async_wait(asTuple);
            continue;
        }
        const auto frame = m_queue.front();
        const auto kind = fault();
        if (kind == LinkFault::Slow) {
            co_await sleepFor(m_context.faults.delay());
        }
        const auto written = kind == LinkFault::Silent ? Outcome<void>() : co_await write(*frame);
        if (!written) {
            close(written.error().message);
            co_return;
        }
        m_queuedBytes -= frame->size();
        m_queue.pop_front();
    }
}

Task<> PeerLink::runHeartbeats()
{
    const auto& options = m_context.options;
    const auto step = options.heartbeatInterval / 2;
    for (bool isHeartbeatDue = false; isOpen(); isHeartbeatDue = !isHeartbeatDue) {
        m_timer.expires_after(step);
        co_await m_timer.async_wait(asTuple);
        if (!isOpen()) {
            co_return;
        }
        if (m_context.clock.now() - m_lastFrameAt > options.silenceLimit) {
            close("the peer is silent");
        } else if (fault() == LinkFault::Cut) {
            close("the link was cut");
        } else if (isHeartbeatDue) {
            sendHeartbeat();
        }
    }
}

void PeerLink::sendHeartbeat()
{
    auto heartbeat = m_context.handler.makeHeartbeat();
    heartbeat.sentAt = m_context.clock.now().count();
    heartbeat.echo = m_lastSentAtOfPeer;
    send(std::make_shared<const std::string>(PeerCodec::encodeFrame(heartbeat)));
}

bool PeerLink::send(std::shared_ptr<const std::string> frame)
{
    if (!isOpen()) {
        return false;
    }
    if (m_queuedBytes + frame->size() > maxQueuedBytes) {
        close("the peer reads too slowly");
        return false;
    }
    m_queuedBytes += frame->size();
    m_queue.push_back(std::move(frame));
    m_writeWakeup.cancel();
    return true;
}

PeerLinkStatus PeerLink::status() const
{
    return { m_peer, m_side == LinkSide::Dialer, m_version, m_context.clock.now() - m_lastFrameAt, m_queuedBytes };
}

} // namespace Pollenwind
