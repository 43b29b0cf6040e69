#pragma once

#include "PlatformSoak/CrashingPart.h"
#include "PlatformSoak/EvacuatedZone.h"
#include "PlatformSoak/FaultProxy.h"
#include "PlatformSoak/RequestLedger.h"
#include "Transport/HttpServer.h"

namespace Pollenwind {

/// Faults of a simulated runner.
enum class RunnerFault {
    None,
    /// Refuses requests with X-Not-Run.
    Refuses,
    /// Refuses some requests, and writes copies of refusals after the responses to others.
    RepeatsRefusals,
    /// Runs requests and responds with status 500.
    Fails,
    /// Runs requests and closes the connection without a response.
    LosesAnswers,
    /// Closes the connection in the middle of an event of a stream.
    BreaksStreams,
    Slow,
};

/// Simulated runner behind a fault proxy. Checks the requests and orders that it receives.
class SoakRunner final : public HttpHandler {
public:
    SoakRunner(asio::any_io_executor executor, std::string id, std::string zone, RequestLedger& ledger,
        CrashingPart& crashingPart, EvacuatedZone& evacuatedZone, GatewaySoakReport& report);

    Task<> handle(HttpExchange& exchange) override;
    HttpAnswer refusal(int status, std::string_view) const override { return { status, "", "", {} }; }

    /// Starts the server and the proxy through which the gateways reach it.
    /// @param address Loopback address of the proxy.
    Outcome<void> listen(const std::string& address);
    /// States in all further responses that the runner shuts down, until it is replaced.
    void announceShutdown() { m_isLeaving = true; }
    /// Sets the time that refusals name by a fault.
    void setRefusalTime(std::chrono::milliseconds time) { m_refusalTime = time; }
    /// Simulates the replacement of the runner: changes its id and resets its connections.
    void replace();
    /// Value of the runner's entry in the store.
    std::string entry() const;

    const std::string& id() const { return m_id; }
    std::int64_t weights() const { return m_weights; }
    FaultProxy& link() { return m_link; }
    /// Sets the state of the link and records the time of the change.
    void setLink(LinkState state);
    void setFault(RunnerFault fault) { m_fault = fault; }

    /// Text of the response to a request.
    static std::string responseText(const std::string& request);
    /// Text of one event of the stream that responds to a request.
    static std::string eventText(const std::string& request, unsigned number);
    static constexpr unsigned streamEvents = 8;

private:
    struct Order {
        std::string holder;
        std::int64_t token = 0;
        std::chrono::steady_clock::time_point at;
    };

    /// Responds that another runner was expected, or other weights.
    Task<> answerMisdirected(HttpExchange& exchange);
    /// What a process of a gateway was told by this start of the runner.
    struct Notice {
        std::optional<std::chrono::steady_clock::time_point> leavingAt;
        /// Time of the last refusal that named a time, its end and the requests since half a second after it.
        std::chrono::steady_clock::time_point refusedAt;
        std::chrono::steady_clock::time_point refusedUntil;
        unsigned requests = 0;
    };

    /// Checks a request against what its sender was told, unless a fault may have delayed the request or the notice.
    void checkSender(const std::string& request);
    /// Records that a response reached the sender of a request.
    void recordNotice(const std::string& request, bool isRefusal);
    /// Whether the link or the process was disturbed since a time.
    bool isDisturbedSince(const std::string& process, std::chrono::steady_clock::time_point time) const;
    Task<> refuse(HttpExchange& exchange, const std::string& requestId);
    Task<> handleOrder(HttpExchange& exchange);
    Task<> serveRequest(HttpExchange& exchange);
    /// Writes a copy of the last refusal while the connection is idle or the next request on it is running.
    Task<> repeatRefusal(HttpExchange& exchange);
    /// Resets the connections and is unreachable until it starts again under the same id.
    Task<> crash();
    Task<> serveStream(HttpExchange& exchange, const HttpHeaders& headers);

    asio::any_io_executor m_executor;
    std::string m_name;
    std::string m_id;
    std::string m_zone;
    RequestLedger& m_ledger;
    CrashingPart& m_crashingPart;
    EvacuatedZone& m_evacuatedZone;
    GatewaySoakReport& m_report;
    HttpServer m_server;
    FaultProxy m_link;
    Endpoint m_endpoint;
    unsigned m_starts = 1;
    std::int64_t m_weights = 1;
    std::int64_t m_orders = 0;
    bool m_isLoading = false;
    bool m_isCrashed = false;
    bool m_isLeaving = false;
    std::chrono::milliseconds m_refusalTime { 0 };
    /// Notices by process; see RequestLedger::processOf().
    std::map<std::string, Notice> m_notices;
    std::optional<Order> m_lastOrder;
    /// Id of the request that was refused last.
    std::string m_refused;
    unsigned m_requests = 0;
    RunnerFault m_fault = RunnerFault::None;
    std::chrono::steady_clock::time_point m_linkChangedAt;
};

} // namespace Pollenwind
