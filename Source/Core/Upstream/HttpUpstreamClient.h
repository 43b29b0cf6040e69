#pragma once

#include "Transport/ConnectionPool.h"
#include "Upstream/Commands/EngineClient.h"
#include "Upstream/Commands/PlainClient.h"
#include "Upstream/Queries/CacheEventClient.h"
#include "Upstream/Queries/HealthClient.h"

#include <chrono>
#include <map>
#include <memory>

namespace Pollenwind {

/// Client of the protocol of docs/upstream-protocol.md.
class HttpUpstreamClient final : public EngineClient, public PlainClient, public HealthClient, public CacheEventClient {
public:
    /// @param connectTimeout Longest time to establish a connection.
    HttpUpstreamClient(asio::any_io_executor executor, std::chrono::nanoseconds connectTimeout);
    ~HttpUpstreamClient() override;

    StreamId open(Endpoint endpoint, GenerationCall call) override;
    Task<Outcome<void>> begin(StreamId stream, std::chrono::nanoseconds timeout) override;
    Task<Outcome<GenerationEvent>> next(StreamId stream, std::chrono::nanoseconds timeout) override;
    void cancel(StreamId stream) override;
    Task<Outcome<PlainAnswer>> run(Endpoint endpoint, PlainCall call, std::chrono::nanoseconds timeout) override;
    Task<Outcome<HealthReport>> health(Endpoint endpoint, std::chrono::nanoseconds timeout) override;
    Task<Outcome<std::unique_ptr<CacheEventStream>>> openCacheEvents(
        Endpoint endpoint, std::uint64_t from, std::chrono::nanoseconds timeout) override;

private:
    struct Stream;

    Task<Outcome<HttpHead>> sendGeneration(std::shared_ptr<Stream> stream, std::chrono::nanoseconds timeout);
    Task<Outcome<GenerationEvent>> readEvent(std::shared_ptr<Stream> stream, std::chrono::nanoseconds timeout);
    void dropIdleConnectionsOnTimeout(const Endpoint& endpoint, const Error& error);

    asio::any_io_executor m_executor;
    std::chrono::nanoseconds m_connectTimeout;
    ConnectionPool m_pool;
    std::map<StreamId, std::shared_ptr<Stream>> m_streams;
    std::uint64_t m_nextStream = 1;
};

} // namespace Pollenwind
