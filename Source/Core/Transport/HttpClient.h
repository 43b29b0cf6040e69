#pragma once

#include "Common/Error.h"
#include "Common/MemoryBudget.h"
#include "Common/Task.h"
#include "Transport/Endpoint.h"
#include "Transport/HttpTypes.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Pollenwind {

/// Largest body that a call reads, and the use for which the budget of the process counts it.
struct BodyLimit {
    MemoryUse use = MemoryUse::OperatorResponse;
    std::size_t bytes = 0;
};

/// Status and header fields of a response.
struct HttpHead {
    int status = 0;
    HttpHeaders headers;
};

/// One HTTP/1.1 client connection. It carries one request at a time; after any error but DeadlineExceeded it must not
/// be used again.
///
/// Errors: ConnectFailed means that no byte of a request was sent, and Overloaded with RunState::NotRun that connecting
/// failed for lack of a resource of this process, such as a descriptor; ConnectionLost and DeadlineExceeded carry
/// RunState::Unknown once a byte may have been sent.
class HttpConnection {
public:
    explicit HttpConnection(asio::any_io_executor executor);
    ~HttpConnection();
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    /// Selects the address from which connect() connects. Without it, or if it is not an address of this machine, the
    /// system chooses one.
    void setLocalAddress(std::string address);

    /// Connects.
    /// @param endpoint The server.
    /// @param timeout Longest time to wait.
    Task<Outcome<void>> connect(const Endpoint& endpoint, std::chrono::nanoseconds timeout);

    /// Sends a request and reads the head of its response. Informational responses (1xx) before it are skipped.
    /// @param request The request; Content-Length is added, and Host where it is missing. It must stay valid as long as
    /// readHead() is called for its response.
    /// @param timeout Longest time until the head has arrived. After it, readHead() goes on, also with the request if
    /// the server has not taken all of it.
    Task<Outcome<HttpHead>> send(const HttpRequest& request, std::chrono::nanoseconds timeout);

    /// The same with a body that is held elsewhere.
    /// @param request The request; its body is ignored.
    /// @param body Must stay valid as long as readHead() is called for the response.
    Task<Outcome<HttpHead>> send(const HttpRequest& request, std::string_view body, std::chrono::nanoseconds timeout);

    /// Reads the head of another response on the connection, after a response that belonged to an earlier request was
    /// read to its end, or goes on with a request or a head that was not complete in time.
    /// @param timeout Longest time until the head has arrived.
    Task<Outcome<HttpHead>> readHead(std::chrono::nanoseconds timeout);

    /// Whether the last request was written completely.
    bool isRequestSent() const;

    /// Reads the next part of the body. May be called again after DeadlineExceeded.
    /// @param timeout Longest time until a byte of the body arrives.
    /// @return The bytes, or an empty string at the end of the body.
    Task<Outcome<std::string>> readSome(std::chrono::nanoseconds timeout);

    /// Largest body that skipBody() reads.
    static constexpr std::size_t maxSkippedBytes = 16UL * 1024 * 1024;

    /// Reads the rest of the body.
    /// @param limit Largest body that a sound server sends to this call.
    /// @param timeout Longest time for the whole body.
    /// @return The bytes; ProtocolError for a longer body, at once if its length is announced; Overloaded if the memory
    /// of the process has no room for it. After these errors the connection is closed.
    Task<Outcome<std::string>> readAll(BodyLimit limit, std::chrono::nanoseconds timeout);

    /// The same for a program that runs for an operator, with operatorBodyLimit.
    Task<Outcome<std::string>> readAll(std::chrono::nanoseconds timeout);

    /// Reads the rest of the body and drops it.
    /// @param timeout Longest time for the whole body.
    /// @return ProtocolError for a body of more than maxSkippedBytes.
    Task<Outcome<void>> skipBody(std::chrono::nanoseconds timeout);

    /// Tells whether the connection may carry another request: the last response was read to its end, nothing followed
    /// it, and the server keeps the connection open. Bytes after a response belong to no request.
    bool isReusable() const;

    /// Time after which the server closes the connection when it is idle, as the last response announced it
    /// in its Keep-Alive header.
    std::optional<std::chrono::milliseconds> announcedIdleTimeout() const;

    /// Closes at once; a pending operation fails.
    void close();

private:
    /// Reads the head of a response whose request was written.
    Task<Outcome<HttpHead>> readResponseHead(std::chrono::steady_clock::time_point until);

    struct State;
    std::unique_ptr<State> m_state;
};

/// Limit of programs that run for an operator.
inline constexpr BodyLimit operatorBodyLimit { MemoryUse::OperatorResponse, 8UL * 1024 * 1024 };

/// Sends one request over a new connection and reads the whole response.
/// @param timeout Longest time from connecting to the end of the body.
Task<Outcome<HttpAnswer>> fetch(
    Endpoint endpoint, HttpRequest request, std::chrono::nanoseconds timeout, BodyLimit limit = operatorBodyLimit);

} // namespace Pollenwind
