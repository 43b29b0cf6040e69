#include "Transport/HttpServer.h"

#include "Common/Sleep.h"
#include "Transport/SocketOptions.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <cstdint>
#include <map>
#include <set>

namespace Pollenwind {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

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

    Task<> acceptLoop();
    Task<> serve(ConnectionId id);
    Task<> serveRequests(beast::tcp_stream& stream, ConnectionId id);
    void recordReadEnd(const beast::error_code& ec, bool isRequestBegun);

    asio::any_io_executor executor;
    HttpHandler& handler;
    HttpServerLimits limits;
    tcp::acceptor acceptor;
    std::map<ConnectionId, beast::tcp_stream> connections;
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
        connections.emplace(id, beast::tcp_stream(std::move(socket)));
        asio::co_spawn(executor, serve(id), asio::detached);
    }
}

Task<> HttpServer::State::serve(ConnectionId id)
{
    const auto self = shared_from_this();
    const auto it = connections.find(id);
    co_await serveRequests(it->second, id);
    beast::error_code ec;
    it->second.socket().shutdown(tcp::socket::shutdown_both, ec);
    idle.erase(id);
    connections.erase(it);
}

Task<> HttpServer::State::serveRequests(beast::tcp_stream& stream, ConnectionId id)
{
    beast::flat_buffer buf;
    for (bool isFirst = true;; isFirst = false) {
        http::request_parser<http::string_body> parser;
        parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
        parser.body_limit(limits.bodyBytes);
        if (buf.size() == 0) {
            idle.insert(id);
        }
        stream.expires_after(isFirst ? limits.headerTimeout : limits.idleTimeout);
        auto [ec, n] = co_await http::async_read_header(stream, buf, parser, asTuple);
        idle.erase(id);
        if (!ec) {
            stream.expires_after(limits.bodyTimeout);
            std::tie(ec, n) = co_await http::async_read(stream, buf, parser, asTuple);
        }
        if (ec == http::error::body_limit || ec == http::error::header_limit) {
            Exchange exchange(stream, {}, limits, false);
            co_await exchange.answer(handler.refusal(ec == http::error::body_limit ? 413 : 431, ec.message()));
            co_return;
        }
        if (ec && ec.category() == make_error_code(http::error::bad_method).category()
            && ec != http::error::end_of_stream && ec != http::error::partial_message) {
            Exchange exchange(stream, {}, limits, false);
            co_await exchange.answer(handler.refusal(400, ec.message()));
            co_return;
        }
        if (ec) {
            recordReadEnd(ec, parser.got_some() || buf.size() > 0);
            co_return;
        }
        const bool keepAlive = parser.get().keep_alive() && !isStopping && !isCloseAnnounced;
        stream.expires_never();
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
        m_state->connections.at(id).cancel();
    }
}

void HttpServer::closeAll()
{
    for (auto& [id, stream] : m_state->connections) {
        stream.close();
    }
}

std::size_t HttpServer::connectionCount() const { return m_state->connections.size(); }

} // namespace Pollenwind
