#pragma once

#include "Gateway/Commands/RunnerClient.h"
#include "Gateway/Queries/ForwardCodec.h"
#include "Transport/ConnectionPool.h"

namespace Pollenwind {

/// Sends requests to runners over HTTP/1.1, with pooled connections.
class HttpRunnerClient final : public RunnerClient {
public:
    /// @param codec Must outlive the client.
    /// @param connectTimeout Longest time to connect.
    HttpRunnerClient(
        asio::any_io_executor executor, const ForwardCodec& codec, std::chrono::nanoseconds connectTimeout);

    std::unique_ptr<RunnerExchange> open(
        const Endpoint& endpoint, const ForwardRequest& request, const AttemptTerms& terms, bool mayReuse) override;

    /// Sets the largest number of idle connections to each runner.
    void setIdleLimit(std::size_t limit) { m_pool.setIdleLimit(limit); }

    /// Closes connections that have been idle for too long.
    void closeExpired() { m_pool.closeExpired(); }

private:
    asio::any_io_executor m_executor;
    const ForwardCodec& m_codec;
    std::chrono::nanoseconds m_connectTimeout;
    ConnectionPool m_pool;
};

} // namespace Pollenwind
