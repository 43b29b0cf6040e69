#pragma once

#include "Gateway/Queries/ChangeFeed.h"
#include "Transport/HttpClient.h"

#include <memory>

namespace Pollenwind {

/// Reads the store's records from another VM, over one connection.
class PeerFeed final : public ChangeFeed {
public:
    /// @param localAddress Address of this VM, by which the other one recognises it; empty for the system's choice.
    PeerFeed(asio::any_io_executor executor, Endpoint endpoint, std::string localAddress = {});

    Task<Outcome<FeedRecords>> readAll() override;
    Task<Outcome<FeedChanges>> changesAfter(std::int64_t revision, std::chrono::milliseconds wait) override;

    /// Reads the configuration in force at the other VM if it is newer than a version.
    /// @return Its record, or no entry; Forbidden if the other VM does not know this one yet.
    Task<Outcome<FeedRecords>> readConfiguration(std::int64_t afterVersion);

private:
    Task<Outcome<FeedChanges>> call(HttpRequest request, std::chrono::nanoseconds timeout);

    asio::any_io_executor m_executor;
    Endpoint m_endpoint;
    std::string m_localAddress;
    std::unique_ptr<HttpConnection> m_connection;
};

} // namespace Pollenwind
