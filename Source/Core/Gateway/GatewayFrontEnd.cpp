#include "Gateway/GatewayFrontEnd.h"

#include "Common/TaskFault.h"

#include <boost/asio/steady_timer.hpp>

namespace Pollenwind {

namespace {

    // An error response for the deadline is sent this much earlier, so that it reaches the caller in time. A response
    // that has begun has until the deadline.
    constexpr std::chrono::milliseconds timeoutMargin { 15 };

    // Value of Retry-After of a process that ends. Callers may turn to other VMs at once.
    constexpr std::chrono::milliseconds shutdownRetryAfter { 50 };

    // Value of Retry-After when there is no memory for a request. Requests that hold much of it end within seconds.
    constexpr std::chrono::milliseconds memoryRetryAfter { 300 };

    /// Writes a response to the caller and stops the request when the caller disconnects or the deadline passes.
    class ExchangeSink final : public ReplySink {
    public:
        ExchangeSink(HttpExchange& exchange, const asio::any_io_executor& executor)
            : m_exchange(exchange)
            , m_timer(executor)
        {
            m_exchange.onDisconnect([this] { stop({ ErrorCode::Cancelled, "the caller closed the connection" }); });
        }

        /// @param timeout Time until the deadline.
        void startTimer(std::chrono::nanoseconds timeout)
        {
            const auto margin = timeout > 2 * timeoutMargin ? timeoutMargin : std::chrono::milliseconds(0);
            m_deadline = asio::steady_timer::clock_type::now() + timeout;
            expireAt(m_deadline - margin);
        }

        Task<Outcome<void>> answer(const ReplyHead& head, std::string body) override
        {
            m_isBegun = true;
            HttpAnswer message { head.status, "", std::move(body), head.headers };
            co_return co_await m_exchange.answer(message);
        }

        Task<Outcome<void>> begin(const ReplyHead& head) override
        {
            m_isBegun = true;
            co_return co_await m_exchange.beginStream(HttpAnswer { head.status, "", "", head.headers });
        }

        Task<Outcome<void>> write(std::string_view part) override { return m_exchange.writeChunk(part); }
        Task<Outcome<void>> end() override { return m_exchange.endStream(); }

        void onStop(std::function<void()> handler) override
        {
            m_handler = std::move(handler);
            if (m_handler && m_reason) {
                m_handler();
            }
        }

        std::optional<Error> stopReason() const override { return m_reason; }
        bool isBegun() const { return m_isBegun; }

        void stop(Error reason)
        {
            if (!m_reason) {
                m_reason = std::move(reason);
                if (m_handler) {
                    m_handler();
                }
            }
        }

        /// Stops the request because the process ends. For the runner that is the same as a caller that disconnects.
        void stopForShutdown()
        {
            m_isStoppedForShutdown = !m_reason;
            stop({ ErrorCode::Cancelled, "the process ends" });
        }

        bool isStoppedForShutdown() const { return m_isStoppedForShutdown; }

    private:
        using TimePoint = asio::steady_timer::time_point;

        void expireAt(TimePoint time)
        {
            m_timer.expires_at(time);
            // The handler may run after the sink was destroyed; then the weak pointer has expired.
            m_timer.async_wait([this, time, alive = std::weak_ptr<bool>(m_alive)](const boost::system::error_code& ec) {
                if (ec || !alive.lock()) {
                    return;
                }
                if (m_isBegun && time < m_deadline) {
                    expireAt(m_deadline);
                } else {
                    stop({ ErrorCode::DeadlineExceeded, "the deadline passed" });
                }
            });
        }

        HttpExchange& m_exchange;
        asio::steady_timer m_timer;
        TimePoint m_deadline;
        std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
        std::function<void()> m_handler;
        std::optional<Error> m_reason;
        bool m_isBegun = false;
        bool m_isStoppedForShutdown = false;
    };

    bool mayBeRepeated(const RouteRule& route)
    {
        return route.kind == RequestKind::Safe || (route.kind == RequestKind::Streaming && route.isResumable);
    }

    Counter counterOf(ConnectionEvent event)
    {
        switch (event) {
        case ConnectionEvent::ReadLate:
            return Counter::CallerLateReads;
        case ConnectionEvent::IdleClosed:
            return Counter::CallerIdleCloses;
        case ConnectionEvent::RequestTimedOut:
            return Counter::CallerRequestTimeouts;
        case ConnectionEvent::RequestCutOff:
            return Counter::CallerRequestsCutOff;
        case ConnectionEvent::RequestStopped:
            return Counter::CallerRequestsStopped;
        case ConnectionEvent::Rejected:
            return Counter::CallerConnectionsRejected;
        case ConnectionEvent::CrossedClose:
            return Counter::CallerRequestsCrossed;
        case ConnectionEvent::Unanswered:
            break;
        }
        return Counter::CallerRequestsUnanswered;
    }

} // namespace

GatewayFrontEnd::GatewayFrontEnd(const Clock& clock, const ForwardCodec& codec, ForwardDispatcher& dispatcher,
    MetricCommands& metrics, RequestLog& log)
    : m_clock(clock)
    , m_codec(codec)
    , m_dispatcher(dispatcher)
    , m_metrics(metrics)
    , m_log(log)
{
}

HttpAnswer GatewayFrontEnd::refusal(int status, std::string_view reason) const
{
    auto code = ErrorCode::Malformed;
    std::optional<std::chrono::milliseconds> retryAfter;
    if (status == 413 || status == 431) {
        code = ErrorCode::TooLarge;
    } else if (status == 503) {
        code = ErrorCode::Overloaded;
        retryAfter = memoryRetryAfter;
    }
    auto answer = m_codec.encodeRefusal(Error { code, std::string(reason), RunState::NotRun, retryAfter }, {});
    answer.status = status;
    m_metrics.count(Counter::RequestsRefused);
    m_log.record(RequestEvent::Refused, {}, { { "status", std::to_string(status) }, { "cause", std::string(reason) } });
    return answer;
}

HttpAnswer GatewayFrontEnd::failure() const
{
    m_metrics.count(Counter::RequestsFailed);
    return m_codec.encodeRefusal(Error { ErrorCode::Internal, "the request failed", RunState::Unknown }, {});
}

void GatewayFrontEnd::onConnectionEvent(ConnectionEvent event) { m_metrics.count(counterOf(event)); }

void GatewayFrontEnd::onConnectionEnd(const ConnectionEnd& end)
{
    RequestId id(end.requestId);
    if (end.request) {
        if (const auto request = m_codec.decodeRequest(*end.request)) {
            id = request->id;
        }
    }
    EventFields fields { { "end", std::string(nameOf(end.event)) }, { "bytes", std::to_string(end.trace.bytes()) },
        { "since_first_byte_ms", std::to_string(end.trace.sinceFirstByte().count()) },
        { "stopping", end.isStopping ? "true" : "false" }, { "cause", end.cause } };
    if (end.event == ConnectionEvent::CrossedClose) {
        fields.emplace_back("idle_ms", std::to_string(end.wait.time.count()));
        fields.emplace_back("idle_limit_ms", std::to_string(end.wait.limit.count()));
        fields.emplace_back("promised_ms", std::to_string(end.wait.promised.count()));
    }
    m_log.record(
        end.isClosedByClient ? RequestEvent::ConnectionLeft : RequestEvent::ConnectionClosed, id, std::move(fields));
}

Task<> GatewayFrontEnd::handle(HttpExchange& exchange)
{
    const auto receivedAt = m_clock.now();
    m_metrics.count(Counter::Requests);
    auto request = m_codec.decodeRequest(exchange.takeRequest());
    auto accepted = request ? limitToShutdown(*request, receivedAt) : std::unexpected(request.error());
    if (!accepted) {
        const auto id = request ? request->id : RequestId();
        m_metrics.count(Counter::RequestsRefused);
        m_log.record(RequestEvent::Refused, id, { { "cause", accepted.error().message } });
        co_await exchange.answer(m_codec.encodeRefusal(accepted.error(), id));
        co_return;
    }
    exchange.setRequestId(request->id.value());
    ExchangeSink sink(exchange, co_await asio::this_coro::executor);
    const auto timeout = m_dispatcher.timeoutOf(*request);
    sink.startTimer(timeout);
    const auto running = m_running.emplace(m_nextId++, [&sink] { sink.stopForShutdown(); }).first;
    auto result
        = co_await withoutExceptions(TaskKind::ServerConnection, m_dispatcher.forward(*request, receivedAt, sink));
    // After an exception its handler may refer to what has gone.
    sink.onStop({});
    m_running.erase(running);
    if (!result && sink.isStoppedForShutdown()) {
        result.error().code = ErrorCode::ShuttingDown;
    }
    recordEnd(request->id, result, m_clock.now() - receivedAt, timeout);
    if (result) {
        co_return;
    }
    if (sink.isBegun()) {
        // Closing the connection shows the caller that the response is incomplete.
        exchange.abort();
        co_return;
    }
    co_await exchange.answer(m_codec.encodeRefusal(result.error(), request->id));
}

void GatewayFrontEnd::beginShutdown(const RoutingQueries& routing, MonotonicTime lateFrom, MonotonicTime endsAt)
{
    m_shutdown.emplace(Shutdown { routing, lateFrom, endsAt });
}

Outcome<void> GatewayFrontEnd::limitToShutdown(ForwardRequest& request, MonotonicTime now) const
{
    if (!m_shutdown) {
        return {};
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_shutdown->endsAt - now);
    if (left >= m_dispatcher.timeoutOf(request)) {
        return {};
    }
    const auto* route = m_shutdown->routing.findRoute(request.host, request.message.path);
    // Most requests end long before their time limit, and until the load balancer has left this VM callers may not find
    // another one. A late request must not be cut: only one that gets a whole response at its time limit is taken.
    const bool isHopeless = left.count() <= 0 || (route && left < route->objective);
    const bool isLate = now >= m_shutdown->lateFrom;
    if (isHopeless || (isLate && route && route->kind != RequestKind::Safe)) {
        return std::unexpected(Error { ErrorCode::ShuttingDown,
            "the process ends in " + std::to_string(left.count()) + " ms, before the request must", RunState::NotRun,
            shutdownRetryAfter });
    }
    if (!route || mayBeRepeated(*route)) {
        request.timeout = left;
    }
    return {};
}

std::size_t GatewayFrontEnd::stopRunning()
{
    const auto count = m_running.size();
    for (const auto& [id, stop] : m_running) {
        stop();
    }
    return count;
}

void GatewayFrontEnd::recordEnd(const RequestId& request, const Outcome<void>& result,
    std::chrono::nanoseconds duration, std::chrono::milliseconds timeout)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    EventFields fields { { "ms", std::to_string(milliseconds) }, { "timeout_ms", std::to_string(timeout.count()) } };
    m_metrics.observe(Distribution::RequestDuration, duration);
    if (result) {
        m_metrics.count(Counter::RequestsCompleted);
        m_log.record(RequestEvent::Finished, request, std::move(fields));
        return;
    }
    const auto& error = result.error();
    fields.emplace_back("code", nameOf(error.code));
    fields.emplace_back("run", nameOf(error.runState));
    fields.emplace_back("cause", error.message);
    if (error.code == ErrorCode::Cancelled) {
        m_metrics.count(Counter::CallerDisconnects);
        m_log.record(RequestEvent::Stopped, request, std::move(fields));
    } else if (error.runState == RunState::NotRun) {
        m_metrics.count(Counter::RequestsRefused);
        m_log.record(RequestEvent::Refused, request, std::move(fields));
    } else {
        m_metrics.count(Counter::RequestsFailed);
        m_log.record(RequestEvent::Failed, request, std::move(fields));
    }
}

} // namespace Pollenwind
