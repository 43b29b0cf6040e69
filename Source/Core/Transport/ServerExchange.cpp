#include "Transport/ServerExchange.h"

#include "Transport/IdleLimits.h"
#include "Transport/ResponseHead.h"
#include "Transport/SocketOptions.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace Pollenwind::detail {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

    /// Waits until the socket is readable. Received bytes are a pipelined request of a client that is still
    /// connected.
    void waitForDisconnect(beast::tcp_stream& stream, std::weak_ptr<std::function<void()>> handler)
    {
        auto& socket = stream.socket();
        socket.async_wait(tcp::socket::wait_read, [&socket, handler = std::move(handler)](const beast::error_code& ec) {
            const auto alive = handler.lock();
            if (alive && (ec || isClosedByPeer(socket.native_handle()))) {
                (*alive)();
            }
        });
    }

} // namespace

ServerExchange::ServerExchange(beast::tcp_stream& stream, HttpRequest request, const HttpServerLimits& limits,
    bool keepAlive, const bool& isClosing)
    : m_stream(stream)
    , m_request(std::move(request))
    , m_limits(limits)
    , m_keepAlive(keepAlive)
    , m_isClosing(isClosing)
{
}

template <typename Message> void ServerExchange::fillHead(Message& message, const HttpAnswer& answer)
{
    m_keepAlive = m_keepAlive && !m_isClosing;
    detail::fillHead(message, answer, m_keepAlive);
    m_promisedIdleTime = m_keepAlive ? detail::promisedIdleTime(m_limits) : std::chrono::seconds(0);
    if (m_promisedIdleTime.count() > 0) {
        message.set(http::field::keep_alive, "timeout=" + std::to_string(m_promisedIdleTime.count()));
    }
}

std::string ServerExchange::remoteAddress() const
{
    beast::error_code ec;
    const auto endpoint = m_stream.socket().remote_endpoint(ec);
    return ec ? std::string() : endpoint.address().to_string();
}

Task<Outcome<void>> ServerExchange::answer(const HttpAnswer& answer)
{
    http::response<http::span_body<const char>> message;
    fillHead(message, answer);
    m_isBegun = true;
    message.body() = { answer.body.data(), answer.body.size() };
    message.prepare_payload();
    m_stream.expires_after(m_limits.writeTimeout);
    const auto [ec, n] = co_await http::async_write(m_stream, message, asTuple);
    if (ec) {
        co_return std::unexpected(writeError("write response", ec));
    }
    m_isComplete = true;
    co_return Outcome<void> {};
}

Task<Outcome<void>> ServerExchange::beginStream(const HttpAnswer& head)
{
    http::response<http::empty_body> message;
    fillHead(message, head);
    m_isBegun = true;
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer(message);
    m_stream.expires_after(m_limits.writeTimeout);
    const auto [ec, n] = co_await http::async_write_header(m_stream, serializer, asTuple);
    if (ec) {
        co_return std::unexpected(writeError("write response head", ec));
    }
    co_return Outcome<void> {};
}

Task<Outcome<void>> ServerExchange::writeChunk(std::string_view chunk)
{
    if (chunk.empty()) {
        co_return Outcome<void> {};
    }
    m_stream.expires_after(m_limits.writeTimeout);
    const auto [ec, n]
        = co_await asio::async_write(m_stream, http::make_chunk(asio::buffer(chunk.data(), chunk.size())), asTuple);
    if (ec) {
        co_return std::unexpected(writeError("write chunk", ec));
    }
    co_return Outcome<void> {};
}

Task<Outcome<void>> ServerExchange::endStream()
{
    m_stream.expires_after(m_limits.writeTimeout);
    const auto [ec, n] = co_await asio::async_write(m_stream, http::make_chunk_last(), asTuple);
    if (ec) {
        co_return std::unexpected(writeError("write last chunk", ec));
    }
    m_isComplete = true;
    co_return Outcome<void> {};
}

bool ServerExchange::isDisconnected() { return isClosedByPeer(m_stream.socket().native_handle()); }

void ServerExchange::onDisconnect(std::function<void()> handler)
{
    m_disconnectHandler = std::make_shared<std::function<void()>>([this, handler = std::move(handler)] {
        m_isClosedByClient = true;
        handler();
    });
    waitForDisconnect(m_stream, m_disconnectHandler);
}

void ServerExchange::abort()
{
    m_keepAlive = false;
    m_stream.close();
}

ConnectionEnd ServerExchange::end() const
{
    return { .requestId = m_requestId, .isClosedByClient = m_isClosedByClient, .cause = m_fault };
}

Error ServerExchange::writeError(std::string_view what, const beast::error_code& ec)
{
    m_isClosedByClient = m_isClosedByClient || isCloseByClient(ec);
    m_fault = std::string(what) + ": " + ec.message();
    return Error { ErrorCode::ConnectionLost, m_fault, RunState::Unknown };
}

} // namespace Pollenwind::detail
