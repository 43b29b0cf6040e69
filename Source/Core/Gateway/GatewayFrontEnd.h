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
    HttpAnswer failure() const override;
    void onConnectionEvent(ConnectionEvent event) override;
    void onConnectionEnd(const ConnectionEnd& end) override;

    /// Prepares for the end of the process: requests that it would cut are refused, so that their callers turn to other
    /// VMs, and the time of those that may be repeated is shortened.
    /// @param routing Must outlive this object.
    /// @param lateFrom Time from which callers no longer have to come to this VM.
    /// @param endsAt Time at which stopRunning() will be called.
    void beginShutdown(const RoutingQueries& routing, MonotonicTime lateFrom, MonotonicTime endsAt);

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
        MonotonicTime lateFrom;
        MonotonicTime endsAt;
    };

    /// Shortens the time of a request that may be repeated to the rest of the process's time.
    /// @return A refusal if the process is about to end, or if the request comes late and could be cut.
    Outcome<void> limitToShutdown(ForwardRequest& request, MonotonicTime now) const;
    /// @param timeout Time that the request had.
    void recordEnd(const RequestId& request, const Outcome<void>& result, std::chrono::nanoseconds duration,
        std::chrono::milliseconds timeout);

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
