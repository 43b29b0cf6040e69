#pragma once

#include "PlatformSoak/FaultProxy.h"
#include "PlatformSoak/RequestLedger.h"
#include "Transport/HttpServer.h"

namespace Pollenwind {

/// What a runner does wrong for a while.
enum class RunnerFault {
    None,
    /// Refuses requests and says so.
    Refuses,
    /// Runs requests and answers 500.
    Fails,
    /// Runs requests and closes the connection without an answer.
    LosesAnswers,
    /// Closes the connection in the middle of a stream's event.
    BreaksStreams,
    Slow,
};

/// Runner behind a proxy that all gateways reach it through. It checks what it gets.
class SoakRunner final : public HttpHandler {
public:
    SoakRunner(asio::any_io_executor executor, std::string id, RequestLedger& ledger, GatewaySoakReport& report);

    Task<> handle(HttpExchange& exchange) override;
    HttpAnswer refusal(int status, std::string_view) const override { return { status, "", "", {} }; }

    /// Listens behind a proxy on an address.
    Outcome<void> listen(const std::string& address);
    /// Ends this start of the runner and begins another under a new id.
    void replace();
    /// Text of the runner's entry in the store.
    std::string entry() const;

    const std::string& id() const { return m_id; }
    std::int64_t weights() const { return m_weights; }
    FaultProxy& link() { return m_link; }
    /// Changes the state of the link and notes when.
    void setLink(LinkState state);
    void setFault(RunnerFault fault) { m_fault = fault; }

    /// Text of a runner's answer to a request, and of one event of a stream.
    static std::string responseText(const std::string& request);
    static std::string eventText(const std::string& request, unsigned number);
    static constexpr unsigned streamEvents = 8;

private:
    struct Order {
        std::string holder;
        std::int64_t token = 0;
        std::chrono::steady_clock::time_point at;
    };

    Task<> handleOrder(HttpExchange& exchange);
    Task<> serveRequest(HttpExchange& exchange);
    Task<> serveStream(HttpExchange& exchange, const HttpHeaders& headers);

    asio::any_io_executor m_executor;
    std::string m_name;
    std::string m_id;
    RequestLedger& m_ledger;
    GatewaySoakReport& m_report;
    HttpServer m_server;
    FaultProxy m_link;
    Endpoint m_endpoint;
    unsigned m_starts = 1;
    std::int64_t m_weights = 1;
    std::int64_t m_orders = 0;
    bool m_isLoading = false;
    std::optional<Order> m_lastOrder;
    RunnerFault m_fault = RunnerFault::None;
    std::chrono::steady_clock::time_point m_linkChangedAt;
};

} // namespace Pollenwind
