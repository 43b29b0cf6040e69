#pragma once

#include "Gateway/ForwardDispatcher.h"
#include "Gateway/Queries/ForwardCodec.h"
#include "Transport/HttpServer.h"

#include <cstddef>

namespace Pollenwind {

/// HTTP handler for callers, whose requests are forwarded unchanged.
class GatewayFrontEnd final : public HttpHandler {
public:
    /// @param codec Encoding of requests and refusals.
    /// @param log Receives the end of each request.
    GatewayFrontEnd(const Clock& clock, const ForwardCodec& codec, ForwardDispatcher& dispatcher,
        MetricCommands& metrics, RequestLog& log);

    Task<> handle(HttpExchange& exchange) override;
    HttpAnswer refusal(int status, std::string_view reason) const override;
    void onConnectionEvent(ConnectionEvent event) override;

    /// Number of requests that are being forwarded.
    std::size_t runningRequests() const { return m_running; }

private:
    void recordEnd(const RequestId& request, const Outcome<void>& result, std::chrono::nanoseconds duration);

    const Clock& m_clock;
    const ForwardCodec& m_codec;
    ForwardDispatcher& m_dispatcher;
    MetricCommands& m_metrics;
    RequestLog& m_log;
    std::size_t m_running = 0;
};

} // namespace Pollenwind
