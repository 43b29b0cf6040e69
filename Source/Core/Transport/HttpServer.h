#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Transport/Endpoint.h"
#include "Transport/HttpTypes.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace Pollenwind {

/// One request on a server connection and the means to answer it, whole or as a stream.
class HttpExchange {
public:
    HttpExchange() = default;
    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;
    virtual ~HttpExchange() = default;

    virtual const HttpRequest& request() const = 0;

    /// Sends a whole answer.
    virtual Task<Outcome<void>> answer(const HttpAnswer& answer) = 0;

    /// Sends the head of a chunked answer; its body is ignored.
    virtual Task<Outcome<void>> beginStream(const HttpAnswer& head) = 0;

    /// Sends one chunk. Completes when the kernel took it, so that a slow reader slows the sender.
    virtual Task<Outcome<void>> writeChunk(std::string_view chunk) = 0;

    /// Ends a chunked answer. Without it the connection is closed, which tells the reader that the answer is cut.
    virtual Task<Outcome<void>> endStream() = 0;

    /// Tells whether the other side closed the connection.
    virtual bool isDisconnected() = 0;

    /// Calls a handler once when the other side closes or resets the connection while this exchange lives.
    virtual void onDisconnect(std::function<void()> handler) = 0;

    /// Closes the connection at once. The task that serves it then sees a connection error.
    virtual void abort() = 0;
};

/// Handles the requests of a server.
class HttpHandler {
public:
    HttpHandler() = default;
    HttpHandler(const HttpHandler&) = delete;
    HttpHandler& operator=(const HttpHandler&) = delete;
    virtual ~HttpHandler() = default;

    /// Handles one request. An exchange left unanswered closes the connection.
    virtual Task<> handle(HttpExchange& exchange) = 0;

    /// Makes the answer to a request that the server itself refuses (malformed, too large).
    virtual HttpAnswer refusal(int status, std::string_view reason) const = 0;
};

/// Limits of a server.
struct HttpServerLimits {
    std::size_t headerBytes = 16UL * 1024;
    std::size_t bodyBytes = 8UL * 1024 * 1024;
    std::size_t connections = 10'000;
    std::chrono::milliseconds headerTimeout { 10'000 };
    std::chrono::milliseconds bodyTimeout { 30'000 };
    std::chrono::milliseconds idleTimeout { 60'000 };
    /// Longest time that one write may take before the connection counts as dead.
    std::chrono::milliseconds writeTimeout { 10'000 };
};

/// HTTP/1.1 server with one task for each connection.
class HttpServer {
public:
    /// @param executor Where the tasks run.
    /// @param handler Handles requests; must outlive the server.
    HttpServer(asio::any_io_executor executor, HttpHandler& handler, HttpServerLimits limits);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Binds and starts to accept.
    /// @param endpoint Where to listen; port 0 takes a free port.
    /// @return The endpoint bound, or an error when the address cannot be bound.
    Outcome<Endpoint> listen(const Endpoint& endpoint);

    /// Replaces the limits; connections use them from their next request on.
    void setLimits(const HttpServerLimits& limits);

    /// Announces with each further answer that the connection closes after it. New connections are still accepted.
    void announceClose();

    /// Stops accepting. Open connections finish their request and are then closed.
    void stopAccepting();

    /// Closes idle and busy connections at once.
    void closeAll();

    std::size_t connectionCount() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Pollenwind
