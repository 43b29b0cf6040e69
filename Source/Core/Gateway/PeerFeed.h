#pragma once

#include "Gateway/Queries/ChangeFeed.h"
#include "Transport/HttpClient.h"

#include <memory>

namespace Pollenwind {

/// Reads the store's records from another VM, over one connection.
class PeerFeed final : public ChangeFeed {
public:
    PeerFeed(asio::any_io_executor executor, Endpoint endpoint);

    Task<Outcome<FeedRecords>> readAll() override;
    Task<Outcome<FeedChanges>> changesAfter(std::int64_t revision, std::chrono::milliseconds wait) override;

private:
    Task<Outcome<FeedChanges>> call(HttpRequest request, std::chrono::nanoseconds timeout);

    asio::any_io_executor m_executor;
    Endpoint m_endpoint;
    std::unique_ptr<HttpConnection> m_connection;
};

} // namespace Pollenwind
