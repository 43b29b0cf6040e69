#pragma once

#include "Transport/HttpClient.h"

#include <chrono>
#include <map>
#include <memory>
#include <vector>

namespace Pollenwind {

/// Idle client connections by endpoint. The one that was used last is taken first.
class ConnectionPool {
public:
    /// Takes an idle connection.
    /// @return The connection, or nothing when none can carry a request.
    std::unique_ptr<HttpConnection> take(const Endpoint& endpoint);

    /// Keeps a connection for later use, or closes it when it cannot carry another request.
    void release(const Endpoint& endpoint, std::unique_ptr<HttpConnection> connection);

    /// Sets how many idle connections to one endpoint are kept.
    void setIdleLimit(std::size_t limit) { m_idleLimit = limit; }

    /// Closes the idle connections to an endpoint.
    void drop(const Endpoint& endpoint);

    /// Closes the connections that were idle for too long.
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
