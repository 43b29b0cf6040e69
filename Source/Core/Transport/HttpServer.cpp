#include "Transport/HttpServer.h"

#include "Common/Sleep.h"
#include "Transport/SocketOptions.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>

namespace Pollenwind {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using RequestParser = http::request_parser<http::string_body>;
using TimePoint = std::chrono::steady_clock::time_point;

namespace {

    // Smallest space for one read.
    constexpr std::size_t minReadBytes = 512;

    /// Cancels the operations of a socket at a point in time. The socket stays open, so that bytes which arrived before
    /// the process reacted to the limit can still be read.
    class SocketTimer {
    public:
        SocketTimer(tcp::socket& socket, TimePoint until)
            : m_timer(socket.get_executor(), until)
        {
            // The handler may run after the timer was destroyed; then the weak pointer has expired.
            m_timer.async_wait([this, &socket, alive = std::weak_ptr<bool>(m_alive)](const beast::error_code& ec) {
                if (!ec && alive.lock()) {
                    m_isExpired = true;
                    beast::error_code ignored;
                    socket.cancel(ignored);
                }
            });
        }

        bool isExpired() const { return m_isExpired; }

    private:
        asio::steady_timer m_timer;
        std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
        bool m_isExpired = false;
    };

    HttpRequest toRequest(http::request<http::string_body>&& message)
    {
        HttpRequest request;
        request.method = message.method_string();
        const std::string_view target = message.target();
        const auto mark = target.find('?');
        request.path = target.substr(0, mark);
        if (mark != std::string_view::npos) {
            request.query = target.substr(mark + 1);
            if (request.query.empty()) {
                // Keeps a '?' with an empty query in the path, so that a forwarded request has the same target.
                request.path += '?';
            }
        }
        for (const auto& field : message) {
            request.headers.emplace_back(field.name_string(), field.value());
        }
        request.body = std::move(message.body());
        return request;
    }

    Error connectionError(std::string_view what, const beast::error_code& ec)
    {
        return Error { ErrorCode::ConnectionLost, std::string(what) + ": " + ec.message(), RunState::Unknown };
    }

    template <typename Message> void fillHead(Message& message, const HttpAnswer& answer, bool keepAlive)
    {
        message.result(static_cast<unsigned>(answer.status));
        message.version(11);
        if (!answer.contentType.empty()) {
            message.set(http::field::content_type, answer.contentType);
        }
        for (const auto& [name, value] : answer.headers) {
            message.insert(name, value);
        }
        message.keep_alive(keepAlive);
    }

    class Exchange final : public HttpExchange {
    public:
        Exchange(beast::tcp_stream& stream, HttpRequest request, const HttpServerLimits& limits, bool keepAlive)
            : m_stream(stream)
            , m_request(std::move(request))
            , m_limits(limits)
            , m_keepAlive(keepAlive)
        {
        }

        const HttpRequest& request() const override { return m_request; }

        std::string remoteAddress() const override
        {
            beast::error_code ec;
            const auto endpoint = m_stream.socket().remote_endpoint(ec);
            return ec ? std::string() : endpoint.address().to_string();
        }

        bool isComplete() const { return m_isComplete; }
        bool keepAlive() const { return m_keepAlive && m_stream.socket().is_open(); }

        Task<Outcome<void>> answer(const HttpAnswer& answer) override
        {
            http::response<http::string_body> message;
            fillHead(message, answer, m_keepAlive);
            message.body() = answer.body;
            message.prepare_payload();
            m_stream.expires_after(m_limits.writeTimeout);
            const auto [ec, n] = co_await http::async_write(m_stream, message, asTuple);
            if (ec) {
                co_return std::unexpected(connectionError("write response", ec));
            }
            m_isComplete = true;
            co_return Outcome<void> {};
        }

        Task<Outcome<void>> beginStream(const HttpAnswer& head) override
        {
            http::response<http::empty_body> message;
            fillHead(message, head, m_keepAlive);
            message.chunked(true);
            http::response_serializer<http::empty_body> serializer(message);
            m_stream.expires_after(m_limits.writeTimeout);
            const auto [ec, n] = co_await http::async_write_header(m_stream, serializer, asTuple);
            if (ec) {
                co_return std::unexpected(connectionError("write response head", ec));
            }
            co_return Outcome<void> {};
        }

        Task<Outcome<void>> writeChunk(std::string_view chunk) override
        {
            if (chunk.empty()) {
                co_return Outcome<void> {};
            }
            m_stream.expires_after(m_limits.writeTimeout);
            const auto [ec, n] = co_await asio::async_write(
                m_stream, http::make_chunk(asio::buffer(chunk.data(), chunk.size())), asTuple);
            if (ec) {
                co_return std::unexpected(connectionError("write chunk", ec));
            }
            co_return Outcome<void> {};
        }

        Task<Outcome<void>> endStream() override
        {
            m_stream.expires_after(m_limits.writeTimeout);
            const auto [ec, n] = co_await asio::async_write(m_stream, http::make_chunk_last(), asTuple);
            if (ec) {
                co_return std::unexpected(connectionError("write last chunk", ec));
            }
            m_isComplete = true;
            co_return Outcome<void> {};
        }

        bool isDisconnected() override { return isClosedByPeer(m_stream.socket().native_handle()); }

        void onDisconnect(std::function<void()> handler) override
        {
            m_disconnectHandler = std::make_shared<std::function<void()>>(std::move(handler));
            waitForDisconnect(m_stream, m_disconnectHandler);
        }

        void abort() override
        {
            m_keepAlive = false;
            m_stream.close();
        }

    private:
        /// Waits until the socket is readable. Received bytes are a pipelined request of a client that is still
        /// connected.
        static void waitForDisconnect(beast::tcp_stream& stream, std::weak_ptr<std::function<void()>> handler)
        {
            auto& socket = stream.socket();
            socket.async_wait(tcp::socket::wait_read, [&socket, handler](const beast::error_code& ec) {
                const auto alive = handler.lock();
                if (alive && (ec || isClosedByPeer(socket.native_handle()))) {
                    (*alive)();
                }
            });
        }

        beast::tcp_stream& m_stream;
        HttpRequest m_request;
        const HttpServerLimits& m_limits;
        bool m_keepAlive;
        bool m_isComplete = false;
        /// The pending wait has only a weak pointer to it, so that it has no effect after the exchange has ended.
        std::shared_ptr<std::function<void()>> m_disconnectHandler;
    };

} // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
    using ConnectionId = std::uint64_t;

    State(asio::any_io_executor ex, HttpHandler& h, HttpServerLimits l)
        : executor(std::move(ex))
        , handler(h)
        , limits(l)
        , acceptor(executor)
    {
    }

    /// One client.
    struct Connection {
        explicit Connection(tcp::socket socket)
            : stream(std::move(socket))
        {
        }

        beast::tcp_stream stream;
        /// Bytes that were received and not parsed.
        beast::flat_buffer buf;
    };

    /// How much of a request to read.
    enum class ReadUntil { Header, Body };

    Task<> acceptLoop();
    Task<> serve(ConnectionId id);
    Task<> serveRequests(Connection& connection, ConnectionId id);
    /// Reads and parses a request up to the end of its header or body.
    /// @return beast::error::timeout when that has not arrived at the time limit.
    Task<beast::error_code> readRequest(Connection& connection, RequestParser& parser, ReadUntil end, TimePoint until);
    /// Appends what arrives next to the connection's buffer.
    Task<beast::error_code> readSome(Connection& connection, TimePoint until);
    void recordReadEnd(const beast::error_code& ec, bool isRequestBegun);

    asio::any_io_executor executor;
    HttpHandler& handler;
    HttpServerLimits limits;
    tcp::acceptor acceptor;
    std::map<ConnectionId, Connection> connections;
    std::set<ConnectionId> idle;
    ConnectionId nextId = 1;
    bool isStopping = false;
    bool isCloseAnnounced = false;
};

Task<> HttpServer::State::acceptLoop()
{
    // Keeps the state alive while the acceptor is open.
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
        auto [ec, socket] = co_await acceptor.async_accept(asTuple);
        if (ec == asio::error::operation_aborted || !acceptor.is_open()) {
            co_return;
        }
        if (ec) {
            // For example, no file descriptors are left. The pause lets some connections end.
            co_await sleepFor(std::chrono::milliseconds(50));
            continue;
        }
        if (connections.size() >= limits.connections) {
            handler.onConnectionEvent(ConnectionEvent::Rejected);
            continue;
        }
        setLowLatencyOptions(socket.native_handle(), limits.writeTimeout);
        const auto id = nextId++;
        // Applies to operations without a handler; others never block.
        socket.non_blocking(true, ec);
        connections.try_emplace(id, std::move(socket));
        asio::co_spawn(executor, serve(id), asio::detached);
    }
}

Task<> HttpServer::State::serve(ConnectionId id)
{
    const auto self = shared_from_this();
    const auto it = connections.find(id);
    co_await serveRequests(it->second, id);
    beast::error_code ec;
    it->second.stream.socket().shutdown(tcp::socket::shutdown_both, ec);
    idle.erase(id);
    connections.erase(it);
}

Task<beast::error_code> HttpServer::State::readSome(Connection& connection, TimePoint until)
{
    auto& socket = connection.stream.socket();
    auto& buf = connection.buf;
    const auto space = buf.prepare(std::max(minReadBytes, buf.capacity() - buf.size()));
    beast::error_code ec;
    std::size_t n = 0;
    bool isLate = false;
    {
        const SocketTimer timer(socket, until);
        std::tie(ec, n) = co_await socket.async_read_some(space, asTuple);
        isLate = timer.isExpired();
    }
    if (ec == asio::error::operation_aborted && socket.is_open()) {
        // The process may have been held up, so the bytes may have arrived long before the operation was cancelled.
        n = socket.read_some(space, ec);
        if (ec == asio::error::would_block) {
            ec = isLate ? beast::error_code(beast::error::timeout) : asio::error::operation_aborted;
        } else if (!ec) {
            handler.onConnectionEvent(ConnectionEvent::ReadLate);
        }
    }
    buf.commit(n);
    co_return ec;
}

Task<beast::error_code> HttpServer::State::readRequest(
    Connection& connection, RequestParser& parser, ReadUntil end, TimePoint until)
{
    auto& buf = connection.buf;
    const auto isDone = [&] { return end == ReadUntil::Header ? parser.is_header_done() : parser.is_done(); };
    parser.eager(end == ReadUntil::Body);
    for (;;) {
        beast::error_code ec;
        while (!ec && !isDone() && buf.size() > 0) {
            buf.consume(parser.put(buf.data(), ec));
        }
        if (isDone() || (ec && ec != http::error::need_more)) {
            co_return ec;
        }
        if (const auto failure = co_await readSome(connection, until)) {
            co_return failure;
        }
    }
}

Task<> HttpServer::State::serveRequests(Connection& connection, ConnectionId id)
{
    auto& stream = connection.stream;
    auto& buf = connection.buf;
    for (bool isFirst = true;; isFirst = false) {
        RequestParser parser;
        parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
        parser.body_limit(limits.bodyBytes);
        if (buf.size() == 0) {
            idle.insert(id);
        }
        const auto headerLimit = isFirst ? limits.headerTimeout : limits.idleTimeout;
        auto ec = co_await readRequest(
            connection, parser, ReadUntil::Header, std::chrono::steady_clock::now() + headerLimit);
        idle.erase(id);
        if (!ec) {
            ec = co_await readRequest(
                connection, parser, ReadUntil::Body, std::chrono::steady_clock::now() + limits.bodyTimeout);
        }
        if (ec == http::error::body_limit || ec == http::error::header_limit) {
            Exchange exchange(stream, {}, limits, false);
            co_await exchange.answer(handler.refusal(ec == http::error::body_limit ? 413 : 431, ec.message()));
            co_return;
        }
        if (ec && ec.category() == make_error_code(http::error::bad_method).category()) {
            Exchange exchange(stream, {}, limits, false);
            co_await exchange.answer(handler.refusal(400, ec.message()));
            co_return;
        }
        if (ec) {
            recordReadEnd(ec, parser.got_some() || buf.size() > 0);
            co_return;
        }
        const bool keepAlive = parser.get().keep_alive() && !isStopping && !isCloseAnnounced;
        Exchange exchange(stream, toRequest(parser.release()), limits, keepAlive);
        co_await handler.handle(exchange);
        if (!exchange.isComplete()) {
            handler.onConnectionEvent(ConnectionEvent::Unanswered);
            co_return;
        }
        if (!exchange.keepAlive() || isStopping) {
            co_return;
        }
    }
}

void HttpServer::State::recordReadEnd(const beast::error_code& ec, bool isRequestBegun)
{
    if (ec == beast::error::timeout) {
        handler.onConnectionEvent(isRequestBegun ? ConnectionEvent::RequestTimedOut : ConnectionEvent::IdleClosed);
    } else if (isRequestBegun) {
        handler.onConnectionEvent(isStopping ? ConnectionEvent::RequestStopped : ConnectionEvent::RequestCutOff);
    }
}

HttpServer::HttpServer(asio::any_io_executor executor, HttpHandler& handler, HttpServerLimits limits)
    : m_state(std::make_shared<State>(std::move(executor), handler, limits))
{
}

HttpServer::~HttpServer()
{
    stopAccepting();
    closeAll();
}

Outcome<Endpoint> HttpServer::listen(const Endpoint& endpoint)
{
    beast::error_code ec;
    const auto address = asio::ip::make_address(endpoint.address, ec);
    auto& acceptor = m_state->acceptor;
    const tcp::endpoint local(address, endpoint.port);
    if (!ec) {
        acceptor.open(local.protocol(), ec);
    }
    if (!ec) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec) {
        acceptor.bind(local, ec);
    }
    if (!ec) {
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        return fail(ErrorCode::Unavailable, "cannot listen on " + endpoint.toString() + ": " + ec.message());
    }
    asio::co_spawn(m_state->executor, m_state->acceptLoop(), asio::detached);
    return Endpoint { endpoint.address, acceptor.local_endpoint().port() };
}

void HttpServer::setLimits(const HttpServerLimits& limits) { m_state->limits = limits; }

void HttpServer::announceClose() { m_state->isCloseAnnounced = true; }

void HttpServer::stopAccepting()
{
    m_state->isStopping = true;
    beast::error_code ec;
    m_state->acceptor.close(ec);
    // Connections that wait for their next request have nothing to finish and would delay the shutdown.
    for (const auto id : m_state->idle) {
        m_state->connections.at(id).stream.cancel();
    }
}

void HttpServer::closeAll()
{
    for (auto& [id, connection] : m_state->connections) {
        connection.stream.close();
    }
}

std::size_t HttpServer::connectionCount() const { return m_state->connections.size(); }

} // namespace Pollenwind
