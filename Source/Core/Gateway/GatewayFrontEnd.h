#pragma once

#include "Gateway/ForwardDispatcher.h"
#include "Gateway/Queries/ForwardCodec.h"
#include "Transport/HttpServer.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

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

    /// Prepares for the end of the process: refuses further requests that may last longer and may not be repeated, so
    /// that their callers turn to other VMs, and shortens the time of the other ones.
    /// @param routing Must outlive this object.
    /// @param endsAt Time at which stopRunning() will be called.
    void beginShutdown(const RoutingQueries& routing, MonotonicTime endsAt);

    /// Ends the running requests. Those whose response has not begun get an error response.
    /// @return Their number.
    std::size_t stopRunning();

    /// Number of requests that have not ended.
    std::size_t runningRequests() const { return m_running.size(); }

private:
    using RunningId = std::uint64_t;

    /// The end of the process as a limit for a request.
    struct Shutdown {
        const RoutingQueries& routing;
        MonotonicTime endsAt;
    };

    /// Shortens the time of a request to the rest of the process's time.
    /// @return A refusal if that may not be enough and the request may not be repeated.
    Outcome<void> limitToShutdown(ForwardRequest& request, MonotonicTime now) const;
    void recordEnd(const RequestId& request, const Outcome<void>& result, std::chrono::nanoseconds duration);

    const Clock& m_clock;
    const ForwardCodec& m_codec;
    ForwardDispatcher& m_dispatcher;
    MetricCommands& m_metrics;
    RequestLog& m_log;
    std::optional<Shutdown> m_shutdown;
    /// Stops one request each.
    std::map<RunningId, std::function<void()>> m_running;
    RunningId m_nextId = 1;
};

} // namespace Pollenwind
