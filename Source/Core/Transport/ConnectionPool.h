#pragma once

#include "Transport/HttpClient.h"

#include <chrono>
#include <map>
#include <memory>
#include <vector>

namespace Pollenwind {

/// Idle client connections by endpoint. The most recently used one is taken first.
class ConnectionPool {
public:
    /// Takes an idle connection out of the pool.
    /// @return The connection, or nullptr when none can carry another request.
    std::unique_ptr<HttpConnection> take(const Endpoint& endpoint);

    /// Returns a connection to the pool. It is closed instead when it cannot carry another request, when the idle limit
    /// of its endpoint is reached, or when the server is about to close it.
    void release(const Endpoint& endpoint, std::unique_ptr<HttpConnection> connection);

    /// Sets the largest number of idle connections per endpoint.
    void setIdleLimit(std::size_t limit) { m_idleLimit = limit; }

    /// Closes the idle connections to an endpoint.
    void drop(const Endpoint& endpoint);

    /// Closes the connections that were idle for too long or that the server has closed.
    void closeExpired();

private:
    struct Idle {
        std::unique_ptr<HttpConnection> connection;
        std::chrono::steady_clock::time_point until;
    };

    static constexpr std::size_t defaultIdleLimit = 32;

    std::size_t m_idleLimit = defaultIdleLimit;
    std::map<Endpoint, std::vector<Idle>> m_idle;
};

} // namespace Pollenwind
