#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Transport/ConnectionEnd.h"
#include "Transport/Endpoint.h"
#include "Transport/HttpTypes.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Pollenwind {

/// One request on a server connection and the means to respond to it, with a complete response or a stream of chunks.
class HttpExchange {
public:
    HttpExchange() = default;
    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;
    virtual ~HttpExchange() = default;

    virtual const HttpRequest& request() const = 0;

    /// Names the request in a report of its connection's end.
    virtual void setRequestId(std::string) { }

    /// Takes the request out of the exchange, so that its body is held once. request() must not be used afterwards.
    virtual HttpRequest takeRequest() { return request(); }

    /// Address of the client, or an empty string if the connection is closed.
    virtual std::string remoteAddress() const = 0;

    /// Sends a complete response.
    virtual Task<Outcome<void>> answer(const HttpAnswer& answer) = 0;

    /// Sends the head of a chunked response; the body of the argument is ignored.
    virtual Task<Outcome<void>> beginStream(const HttpAnswer& head) = 0;

    /// Sends one chunk. Completes when the kernel has accepted it, so that a slow reader slows the sender down.
    virtual Task<Outcome<void>> writeChunk(std::string_view chunk) = 0;

    /// Ends a chunked response. Without this call the connection is closed, so that the client sees a truncated
    /// response.
    virtual Task<Outcome<void>> endStream() = 0;

    /// Tells whether the client closed the connection.
    virtual bool isDisconnected() = 0;

    /// Sets a handler that is called once when the client closes or resets the connection during this exchange. It is
    /// not called after the client has sent further bytes (a pipelined request).
    virtual void onDisconnect(std::function<void()> handler) = 0;

    /// Closes the connection at once. Pending operations of the task that serves it fail.
    virtual void abort() = 0;
};

/// Handles the requests of a server.
class HttpHandler {
public:
    HttpHandler() = default;
    HttpHandler(const HttpHandler&) = delete;
    HttpHandler& operator=(const HttpHandler&) = delete;
    virtual ~HttpHandler() = default;

    /// Handles one request. The connection is closed when this returns without a complete response.
    virtual Task<> handle(HttpExchange& exchange) = 0;

    /// Creates the response to a request that the server itself rejects (malformed, too large).
    /// @param status 400, 413, 431, 503 if there is no memory for the request, or 500 unless failure() is overridden.
    /// @param reason Text of the parser, or of the server.
    virtual HttpAnswer refusal(int status, std::string_view reason) const = 0;

    /// Creates the response to a request whose handling ended with an exception. It may have been executed.
    virtual HttpAnswer failure() const { return refusal(500, "the request failed"); }

    /// Reports an event of a connection. A complete response and a close by the client between two requests are none.
    virtual void onConnectionEvent(ConnectionEvent) { }

    /// Reports a connection that ended without a complete response, after its event.
    virtual void onConnectionEnd(const ConnectionEnd&) { }
};

/// Limits of a server.
struct HttpServerLimits {
    std::size_t headerBytes = 16UL * 1024;
    std::size_t bodyBytes = 8UL * 1024 * 1024;
    /// Open connections. A further one takes the place of the longest idle connection whose promise has ended, else its
    /// request is refused with 503. Beyond a small number of refused ones, connections wait in the listen queue.
    std::size_t connections = 10'000;
    /// Longest time until the header of a request is complete, from the begin of the connection for its first request,
    /// else from the first byte.
    std::chrono::milliseconds headerTimeout { 10'000 };
    /// Longest time from the header of a request to the end of its body.
    std::chrono::milliseconds bodyTimeout { 30'000 };
    /// Longest time from a response until the first byte of the next request. Clients may rely on it, so a shorter
    /// limit does not apply to waits that have begun, nor in the first seconds.
    std::chrono::milliseconds idleTimeout { 60'000 };
    /// Longest time for one write; the connection fails after it.
    std::chrono::milliseconds writeTimeout { 10'000 };
    /// Longest time for which a response may promise to keep its connection open while it is idle (Keep-Alive). The
    /// promise is kept at a stop too, so it should be at most the time between announceClose() and stopAccepting().
    /// 0 promises nothing.
    std::chrono::milliseconds maxPromisedIdleTime { 0 };
};

/// Limits of a server that change without a notice to it.
class HttpLimitSource {
public:
    HttpLimitSource() = default;
    HttpLimitSource(const HttpLimitSource&) = delete;
    HttpLimitSource& operator=(const HttpLimitSource&) = delete;
    virtual ~HttpLimitSource() = default;

    /// Limits in force.
    virtual HttpServerLimits limits() const = 0;
};

/// HTTP/1.1 server with one task for each connection.
class HttpServer {
public:
    /// @param executor Runs the tasks.
    /// @param handler Handles requests; must outlive the server.
    HttpServer(asio::any_io_executor executor, HttpHandler& handler, HttpServerLimits limits);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Binds and starts to accept connections.
    /// @param endpoint Local endpoint; port 0 takes a free port.
    /// @return The bound endpoint, or an error when the address cannot be bound.
    Outcome<Endpoint> listen(const Endpoint& endpoint);

    /// Replaces the limits. They apply to requests that begin to arrive from now on, and the write timeout applies from
    /// the next write on.
    void setLimits(const HttpServerLimits& limits);

    /// Sets where the limits come from: they are read when a request begins to arrive.
    /// @param source Must outlive the server.
    void setLimitSource(const HttpLimitSource& source);

    /// Closes each connection after the response to its next request, which announces it ("Connection: close"). New
    /// connections are still accepted.
    void announceClose();

    /// Stops accepting and closes idle connections, those whose last response promised to keep them open when that time
    /// has passed. Requests that have begun to arrive, those on connections that the kernel has accepted included, are
    /// served; then their connections are closed. New connections get some time to send their first request.
    void stopAccepting();

    /// Closes idle and busy connections at once.
    void closeAll();

    std::size_t connectionCount() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Pollenwind
