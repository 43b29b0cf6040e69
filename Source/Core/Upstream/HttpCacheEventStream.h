#pragma once

#include "Transport/HttpClient.h"
#include "Upstream/Queries/CacheEventClient.h"

#include <string>

namespace Pollenwind {

/// Reads cache events from the server-sent events of `GET /cache-events`.
class HttpCacheEventStream final : public CacheEventStream {
public:
    /// @param connection Connection whose response head has been read.
    explicit HttpCacheEventStream(std::unique_ptr<HttpConnection> connection)
        : m_connection(std::move(connection))
    {
    }

    Task<Outcome<std::vector<CacheEvent>>> next(std::chrono::nanoseconds timeout) override;

private:
    std::unique_ptr<HttpConnection> m_connection;
    /// Bytes received after the last complete event.
    std::string m_buffer;
};

} // namespace Pollenwind
