#include "Transport/HttpServer.h"

#include "Common/MemoryBudget.h"
#include "Common/Sleep.h"
#include "Common/TaskFault.h"
#include "Transport/BufferCapacity.h"
#include "Transport/IdleLimits.h"
#include "Transport/Listener.h"
#include "Transport/ReceivedBody.h"
#include "Transport/RequestMessage.h"
#include "Transport/ServerConnection.h"
#include "Transport/ServerExchange.h"
#include "Transport/SocketOptions.h"
#include "Transport/TimedRead.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace Pollenwind {

using namespace std::chrono_literals;

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using RequestParser = http::request_parser<detail::ReceivedBody>;
using TimePoint = std::chrono::steady_clock::time_point;

namespace {

    // Longest wait after a stop for the first request of a new connection, which may be on its way. Clients allow a
    // second for a new connection.
    constexpr std::chrono::milliseconds firstRequestWait { 1000 };

    // Longest wait after a stop for the request that follows a response which had not announced the close. Clients that
    // were waiting for a stream send it at once.
    constexpr std::chrono::milliseconds nextRequestWait { 200 };

    // Time to look for a request that crosses the close of an idle connection. It covers a round trip to the client.
    constexpr std::chrono::milliseconds crossingWait { 100 };

    // Smallest space for one read.
    constexpr std::size_t minReadBytes = 512;

    // Unparsed bytes of a request beyond the limit of its header: the line that begins a chunk, or a trailer.
    constexpr std::size_t maxChunkLineBytes = 16UL * 1024;

    // Longest time for a client to take a response that was sent before the end of its request.
    constexpr std::chrono::milliseconds refusalReadTime { 2000 };

    // Connections beyond the limit that are being refused or closed. Further ones wait in the listen queue, since each
    // takes a descriptor.
    constexpr std::size_t maxEndingConnections = 32;

    // Longest wait for the request of a connection that is refused. An unsolicited response may confuse its client.
    constexpr std::chrono::milliseconds refusedRequestWait { 1000 };

    // Time after which it is checked again whether a connection has ended.
    constexpr std::chrono::milliseconds acceptPause { 50 };

    beast::error_code noMemory() { return make_error_code(boost::system::errc::not_enough_memory); }

} // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
    using ConnectionId = std::uint64_t;
    using Connection = detail::ServerConnection;
    using Exchange = detail::ServerExchange;

    State(asio::any_io_executor ex, HttpHandler& h, HttpServerLimits l)
        : executor(std::move(ex))
        , handler(h)
        , limits(l)
        , acceptor(executor)
    {
    }

    /// Closes a connection at the end of its task.
    class ConnectionCloser {
    public:
        ConnectionCloser(State& state, ConnectionId id)
            : m_state(state)
            , m_id(id)
        {
        }
        ~ConnectionCloser() { m_state.closeConnection(m_id); }
        ConnectionCloser(const ConnectionCloser&) = delete;
        ConnectionCloser& operator=(const ConnectionCloser&) = delete;

    private:
        State& m_state;
        ConnectionId m_id;
    };

    /// How much of a request to read.
    enum class ReadUntil { Header, Body };

    /// Response to a request that the handler does not get.
    struct Rejection {
        int status;
        std::string reason;
    };

    struct CompleteRequest {
        HttpRequest message;
        bool keepAlive;
    };

    /// The connection ends without a response.
    struct NothingReceived { };

    using Received = std::variant<CompleteRequest, Rejection, NothingReceived>;

    Task<> acceptLoop();
    void addConnection(tcp::socket socket);
    /// Whether no connection may be accepted, not even to refuse it.
    bool isAtBound() const { return connections.size() >= limits.connections + maxEndingConnections; }
    /// Whether the connections that do not end reach the limit.
    bool isFull() const;
    /// Closes the connection that is idle for the longest time among those whose promise has ended.
    /// @return False if there is none.
    bool closeLongestIdle();
    /// Takes over the connections that the kernel has accepted for this server.
    void acceptQueued();
    static Task<> serve(std::shared_ptr<State> state, ConnectionId id);
    /// Refuses the first request of a connection.
    static Task<> refuse(std::shared_ptr<State> state, ConnectionId id);
    Task<> serveRequests(Connection& connection);
    /// Reads the next request of a connection.
    Task<Received> receive(Connection& connection, bool isFirst);
    /// Lets the handler serve a request. A fault of the handler becomes a response if none has begun, and the end of
    /// the connection.
    Task<> handle(Exchange& exchange);
    /// Counts the memory of a connection.
    /// @param bufferBytes Capacity of its buffer.
    /// @return False if there is no memory.
    static bool hold(Connection& connection, std::size_t bufferBytes)
    {
        return connection.held.resize(bufferBytes + connection.requestBytes);
    }
    /// Returns the memory of the present request to the budget.
    static void releaseRequest(Connection& connection)
    {
        connection.requestBytes = connection.headBytes = 0;
        hold(connection, connection.buf.capacity());
    }
    /// Reads and drops what a client goes on to send after a refusal. Closing a connection with unread bytes resets it,
    /// and the client could lose the response.
    Task<> dropRest(Connection& connection);
    /// Rejects a request that the handler does not get.
    Task<> reject(Connection& connection, int status, std::string_view reason);
    void closeConnection(ConnectionId id);
    /// Waits until the first bytes of the next request are in the buffer.
    Task<beast::error_code> waitForRequest(Connection& connection, bool isFirst);
    void setLimits(const HttpServerLimits& newLimits);
    /// Takes over the limits of the source, if there is one.
    void updateLimits();
    /// Longest idle limit that clients may still rely on.
    std::chrono::milliseconds longestIdleLimit();
    /// Reads and parses a request up to the end of its header or body.
    /// @return beast::error::timeout when that has not arrived at the time limit.
    Task<beast::error_code> readRequest(Connection& connection, RequestParser& parser, ReadUntil end, TimePoint until);
    /// Appends what arrives next to the connection's buffer.
    Task<beast::error_code> readSome(Connection& connection, TimePoint until);
    void report(ConnectionEvent event);
    void reportEnd(ConnectionEnd end, const RequestTrace& trace = {});
    void recordReadEnd(const Connection& connection, const beast::error_code& ec, RequestParser& parser);
    /// Reports the end of a connection whose request was not read to its end.
    void reportRead(
        ConnectionEvent event, const Connection& connection, const beast::error_code& ec, RequestParser& parser);
    /// Closes a connection that waits for its next request, and reports a request that crosses the close.
    Task<> closeIdle(Connection& connection);

    asio::any_io_executor executor;
    HttpHandler& handler;
    HttpServerLimits limits;
    tcp::acceptor acceptor;
    std::map<ConnectionId, Connection> connections;
    ConnectionId nextId = 1;
    detail::IdleLimits replacedIdleLimits;
    const HttpLimitSource* limitSource = nullptr;
    /// The tasks of connections may outlive the server, but not its handler and its source of limits.
    bool isDestroyed = false;
    std::optional<TimePoint> stoppedAt;
    /// Each connection is closed after its next response.
    bool isClosing = false;
};

Task<> HttpServer::State::acceptLoop()
{
    // Keeps the state alive while the acceptor is open.
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
        if (isAtBound()) {
            co_await sleepFor(acceptPause);
            continue;
        }
        auto [ec, socket] = co_await acceptor.async_accept(asTuple);
        if (!ec) {
            // Also when the server has stopped meanwhile, since its client may have sent a request.
            addConnection(std::move(socket));
            continue;
        }
        if (ec == asio::error::operation_aborted || !acceptor.is_open()) {
            co_return;
        }
        // For example, no file descriptors are left. The pause lets some connections end.
        co_await sleepFor(acceptPause);
    }
}

void HttpServer::State::addConnection(tcp::socket socket)
{
    setLowLatencyOptions(socket.native_handle(), limits.writeTimeout);
    // Applies to operations without a handler; others never block.
    beast::error_code ec;
    socket.non_blocking(true, ec);
    const bool isRefused = isFull() && !closeLongestIdle();
    const auto id = nextId++;
    connections.try_emplace(id, std::move(socket)).first->second.isEnding = isRefused;
    spawnTask(executor, TaskKind::ServerConnection,
        isRefused ? refuse(shared_from_this(), id) : serve(shared_from_this(), id));
}

bool HttpServer::State::isFull() const
{
    if (connections.size() < limits.connections) {
        return false;
    }
    const auto ending = std::ranges::count_if(connections, [](const auto& it) { return it.second.isEnding; });
    return connections.size() - static_cast<std::size_t>(ending) >= limits.connections;
}

bool HttpServer::State::closeLongestIdle()
{
    const auto now = std::chrono::steady_clock::now();
    Connection* longest = nullptr;
    for (auto& [id, connection] : connections) {
        const bool mayClose = !connection.isEnding && connection.promiseEnd && *connection.promiseEnd <= now;
        if (mayClose && (!longest || connection.idleSince < longest->idleSince)) {
            longest = &connection;
        }
    }
    if (!longest) {
        return false;
    }
    longest->isEnding = true;
    // Its wait goes on with a limit that has passed.
    beast::error_code ec;
    longest->stream.socket().cancel(ec);
    return true;
}

void HttpServer::State::acceptQueued()
{
    beast::error_code ec;
    acceptor.non_blocking(true, ec);
    while (!ec) {
        tcp::socket socket(executor);
        acceptor.accept(socket, ec);
        if (!ec) {
            addConnection(std::move(socket));
        }
    }
}

Task<> HttpServer::State::serve(std::shared_ptr<State> state, ConnectionId id)
{
    // Also when this coroutine is destroyed before its end.
    const ConnectionCloser closer(*state, id);
    co_await state->serveRequests(state->connections.at(id));
}

Task<> HttpServer::State::refuse(std::shared_ptr<State> state, ConnectionId id)
{
    const ConnectionCloser closer(*state, id);
    auto& connection = state->connections.at(id);
    state->report(ConnectionEvent::Rejected);
    const auto ec = co_await state->readSome(connection, std::chrono::steady_clock::now() + refusedRequestWait);
    if (!ec && !state->isDestroyed) {
        co_await state->reject(connection, 503, "too many connections");
    }
}

void HttpServer::State::closeConnection(ConnectionId id)
{
    const auto it = connections.find(id);
    beast::error_code ec;
    it->second.stream.socket().shutdown(tcp::socket::shutdown_both, ec);
    connections.erase(it);
}

Task<> HttpServer::State::handle(Exchange& exchange)
{
    const auto handled = co_await withoutExceptions(TaskKind::ServerConnection, handler.handle(exchange));
    if (handled || isDestroyed) {
        co_return;
    }
    exchange.closeAfterAnswer();
    if (!exchange.isBegun()) {
        co_await exchange.answer(handler.failure());
    }
}

Task<> HttpServer::State::reject(Connection& connection, int status, std::string_view reason)
{
    Exchange exchange(connection.stream, {}, limits, false, isClosing);
    if (co_await exchange.answer(handler.refusal(status, reason))) {
        co_await dropRest(connection);
    }
}

Task<> HttpServer::State::dropRest(Connection& connection)
{
    auto& buf = connection.buf;
    beast::error_code ec;
    connection.stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    const auto until = std::chrono::steady_clock::now() + refusalReadTime;
    // A stop does not wait for it.
    connection.isIdle = true;
    for (std::size_t dropped = 0; !ec && !stoppedAt && dropped <= limits.bodyBytes; buf.clear()) {
        dropped += buf.size();
        ec = co_await readSome(connection, until);
    }
}

Task<beast::error_code> HttpServer::State::readSome(Connection& connection, TimePoint until)
{
    auto& socket = connection.stream.socket();
    auto& buf = connection.buf;
    if (buf.size() > limits.headerBytes + maxChunkLineBytes) {
        co_return http::error::header_limit;
    }
    const auto bytes = std::max(minReadBytes, buf.capacity() - buf.size());
    if (!hold(connection, detail::preparedCapacity(buf, bytes))) {
        co_return noMemory();
    }
    const auto read = co_await detail::readUntil(socket, buf.prepare(bytes), until);
    if (read.isLate) {
        report(ConnectionEvent::ReadLate);
    }
    buf.commit(read.bytes);
    connection.trace.add(read.bytes);
    co_return read.error;
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
            const auto before = buf.size();
            const auto& body = parser.get().body();
            const auto bodyBytes = end == ReadUntil::Body ? grownCapacity(body.capacity(), body.size() + before) : 0;
            connection.requestBytes = connection.headBytes + bodyBytes;
            if (!hold(connection, buf.capacity())) {
                co_return noMemory();
            }
            buf.consume(parser.put(buf.data(), ec));
            connection.headBytes += end == ReadUntil::Header ? before - buf.size() : 0;
        }
        if (isDone() || (ec && ec != http::error::need_more)) {
            co_return ec;
        }
        if (const auto failure = co_await readSome(connection, until)) {
            co_return failure;
        }
    }
}

void HttpServer::State::setLimits(const HttpServerLimits& newLimits)
{
    if (newLimits.idleTimeout != limits.idleTimeout) {
        replacedIdleLimits.replace(limits.idleTimeout);
    }
    limits = newLimits;
}

void HttpServer::State::updateLimits()
{
    if (limitSource && !isDestroyed) {
        setLimits(limitSource->limits());
    }
}

std::chrono::milliseconds HttpServer::State::longestIdleLimit()
{
    updateLimits();
    return replacedIdleLimits.longest(limits.idleTimeout);
}

Task<beast::error_code> HttpServer::State::waitForRequest(Connection& connection, bool isFirst)
{
    const auto since = std::chrono::steady_clock::now();
    const std::chrono::milliseconds promised = connection.promisedIdleTime;
    const auto promiseEnd = promised.count() > 0 ? promised + detail::promisedIdleMargin : promised;
    auto limit = isFirst ? limits.headerTimeout : std::max(longestIdleLimit(), promiseEnd);
    const auto until = [&] {
        if (connection.isEnding) {
            return since;
        }
        if (!stoppedAt) {
            return since + limit;
        }
        return std::min(
            since + limit, isFirst ? *stoppedAt + firstRequestWait : since + std::max(nextRequestWait, promiseEnd));
    };
    beast::error_code ec;
    connection.isIdle = true;
    connection.idleSince = since;
    if (!isFirst && promised.count() > 0) {
        connection.promiseEnd = since + promiseEnd;
    }
    for (;;) {
        ec = co_await readSome(connection, until());
        if (ec == beast::error::timeout && !isFirst && !stoppedAt && !connection.isEnding) {
            // A limit that has become longer applies at once.
            const auto longest = std::max(limit, longestIdleLimit());
            if (std::exchange(limit, longest) < longest) {
                continue;
            }
        }
        // A stop cancels the wait, which then goes on with a shorter limit.
        if (ec != asio::error::operation_aborted || !connection.stream.socket().is_open()) {
            break;
        }
    }
    connection.isIdle = false;
    connection.promiseEnd.reset();
    const auto end = std::chrono::steady_clock::now();
    connection.wait = { std::chrono::duration_cast<std::chrono::milliseconds>(end - since),
        std::chrono::duration_cast<std::chrono::milliseconds>(until() - since), promised };
    co_return ec;
}

Task<HttpServer::State::Received> HttpServer::State::receive(Connection& connection, bool isFirst)
{
    beast::error_code ec;
    auto headerBegin = std::chrono::steady_clock::now();
    connection.trace.begin(connection.buf.size());
    if (connection.buf.size() == 0) {
        ec = co_await waitForRequest(connection, isFirst);
        headerBegin = isFirst ? headerBegin : std::chrono::steady_clock::now();
    }
    // Only now, since the limits may have been replaced during the wait.
    updateLimits();
    connection.requestBytes = connection.headBytes = 0;
    RequestParser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    parser.body_limit(limits.bodyBytes);
    if (!ec) {
        ec = co_await readRequest(connection, parser, ReadUntil::Header, headerBegin + limits.headerTimeout);
    }
    if (!ec) {
        ec = co_await readRequest(
            connection, parser, ReadUntil::Body, std::chrono::steady_clock::now() + limits.bodyTimeout);
    }
    if (ec == http::error::body_limit || ec == http::error::header_limit) {
        co_return Rejection { ec == http::error::body_limit ? 413 : 431, ec.message() };
    }
    if (ec == noMemory()) {
        co_return Rejection { 503, "there is no memory for the request" };
    }
    if (ec && ec.category() == make_error_code(http::error::bad_method).category()) {
        co_return Rejection { 400, ec.message() };
    }
    if (ec) {
        recordReadEnd(connection, ec, parser);
        if (connection.trace.bytes() == 0 && !isCloseByClient(ec)) {
            co_await closeIdle(connection);
        }
        co_return NothingReceived {};
    }
    if (parser.get().method() == http::verb::trace && !parser.get().body().empty()) {
        // Cannot be forwarded: clients must not send content in a TRACE request (RFC 9110, 9.3.8).
        co_return Rejection { 400, "a TRACE request must not have a body" };
    }
    const bool keepAlive = parser.get().keep_alive();
    co_return CompleteRequest { detail::toRequest(parser.release()), keepAlive };
}

Task<> HttpServer::State::serveRequests(Connection& connection)
{
    for (bool isFirst = true;; isFirst = false) {
        // The memory of a request that is not returned has been freed, so its share of the budget can be returned too.
        auto received = co_await receive(connection, isFirst);
        if (const auto* rejection = std::get_if<Rejection>(&received)) {
            releaseRequest(connection);
            co_await reject(connection, rejection->status, rejection->reason);
            co_return;
        }
        auto* request = std::get_if<CompleteRequest>(&received);
        if (!request) {
            co_return;
        }
        Exchange exchange(connection.stream, std::move(request->message), limits,
            request->keepAlive && !connection.isEnding, isClosing);
        co_await handle(exchange);
        releaseRequest(connection);
        connection.promisedIdleTime = exchange.promisedIdleTime();
        if (!exchange.isComplete()) {
            reportEnd(exchange.end(), connection.trace);
            co_return;
        }
        // The client may have sent a request in reliance on a response that was sent before a stop.
        if (!exchange.keepAlive()) {
            co_return;
        }
    }
}

void HttpServer::State::report(ConnectionEvent event)
{
    if (!isDestroyed) {
        handler.onConnectionEvent(event);
    }
}

void HttpServer::State::reportEnd(ConnectionEnd end, const RequestTrace& trace)
{
    end.trace = trace;
    end.isStopping = isClosing;
    report(end.event);
    if (!isDestroyed) {
        handler.onConnectionEnd(end);
    }
}

void HttpServer::State::recordReadEnd(const Connection& connection, const beast::error_code& ec, RequestParser& parser)
{
    auto event = stoppedAt ? ConnectionEvent::RequestStopped : ConnectionEvent::RequestCutOff;
    if (ec == beast::error::timeout) {
        event = ConnectionEvent::RequestTimedOut;
    }
    if (connection.trace.bytes() > 0) {
        reportRead(event, connection, ec, parser);
    } else if (ec == beast::error::timeout) {
        report(ConnectionEvent::IdleClosed);
    }
}

void HttpServer::State::reportRead(
    ConnectionEvent event, const Connection& connection, const beast::error_code& ec, RequestParser& parser)
{
    // The handler takes a copy of the request, whose body no budget would count.
    std::string().swap(parser.get().body());
    const auto request = parser.is_header_done() ? detail::toRequest(parser.release()) : HttpRequest();
    reportEnd({ .event = event,
                  .request = request.headers.empty() ? nullptr : &request,
                  .isClosedByClient = isCloseByClient(ec),
                  .cause = ec ? ec.message() : "" },
        connection.trace);
}

Task<> HttpServer::State::closeIdle(Connection& connection)
{
    auto& socket = connection.stream.socket();
    beast::error_code ec;
    socket.shutdown(tcp::socket::shutdown_send, ec);
    if (ec) {
        co_return;
    }
    co_await detail::waitUntilReadable(socket, std::chrono::steady_clock::now() + crossingWait);
    // The request is not looked at: its client gets a reset and may send it again, whatever it asks for.
    const auto n = socket.available(ec);
    if (!ec && n > 0) {
        connection.trace.add(n);
        reportEnd({ .event = ConnectionEvent::CrossedClose, .wait = connection.wait }, connection.trace);
    }
}

HttpServer::HttpServer(asio::any_io_executor executor, HttpHandler& handler, HttpServerLimits limits)
    : m_state(std::make_shared<State>(std::move(executor), handler, limits))
{
}

HttpServer::~HttpServer()
{
    m_state->isDestroyed = true;
    beast::error_code ec;
    m_state->acceptor.close(ec);
    closeAll();
}

Outcome<Endpoint> HttpServer::listen(const Endpoint& endpoint)
{
    auto& acceptor = m_state->acceptor;
    const auto ec = detail::openListener(acceptor, endpoint);
    if (ec) {
        return fail(ErrorCode::Unavailable, "cannot listen on " + endpoint.toString() + ": " + ec.message());
    }
    spawnService(m_state->executor, TaskKind::Listener, [state = m_state] { return state->acceptLoop(); });
    return Endpoint { endpoint.address, acceptor.local_endpoint().port() };
}

void HttpServer::setLimits(const HttpServerLimits& limits) { m_state->setLimits(limits); }

void HttpServer::setLimitSource(const HttpLimitSource& source) { m_state->limitSource = &source; }

void HttpServer::announceClose() { m_state->isClosing = true; }

void HttpServer::stopAccepting()
{
    auto& state = *m_state;
    if (state.stoppedAt) {
        return;
    }
    state.stoppedAt = std::chrono::steady_clock::now();
    state.isClosing = true;
    // Closing the acceptor resets the connections that are still in its queue.
    state.acceptQueued();
    beast::error_code ec;
    state.acceptor.close(ec);
    // Connections that wait for their next request have nothing to finish and would delay the shutdown.
    for (auto& [id, connection] : state.connections) {
        if (connection.isIdle) {
            connection.stream.socket().cancel(ec);
        }
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
