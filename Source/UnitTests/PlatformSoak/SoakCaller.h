#pragma once

#include "PlatformSoak/CrashingPart.h"
#include "PlatformSoak/GatewayProcess.h"
#include "PlatformSoak/RequestLedger.h"
#include "Transport/HttpClient.h"

#include <deque>
#include <random>

namespace Pollenwind {

/// One caller: sends requests sequentially over persistent connections and checks each response.
class SoakCaller {
public:
    SoakCaller(asio::any_io_executor executor, std::string name, std::uint64_t seed,
        std::deque<GatewayProcess>& gateways, RequestLedger& ledger, CrashingPart& crashingPart,
        GatewaySoakReport& report);

    /// Makes the caller use one gateway and keep its connection idle between requests, for up to the time that the
    /// gateway announced.
    void pauseBetweenRequests(std::size_t gateway);

    Task<> run(std::chrono::steady_clock::time_point end);

private:
    struct Response {
        bool isSent = false;
        bool isComplete = false;
        /// The caller's deadline passed.
        bool hasTimedOut = false;
        int status = 0;
        std::string body;
        std::optional<std::string> requestId;
        bool isStamped = false;
        std::chrono::milliseconds retryAfter { 100 };
        /// When the connection became idle, if it was kept within the time that the gateway had announced.
        std::optional<std::chrono::steady_clock::time_point> idleSince;
    };

    struct KeptConnection {
        std::unique_ptr<HttpConnection> connection;
        std::chrono::steady_clock::time_point idleSince;
        /// Announced idle time less a margin; 0 if none was announced.
        std::chrono::milliseconds promised { 0 };
    };

    Task<Response> send(std::size_t gateway, HttpRequest request);
    void check(const std::string& id, RequestKind kind, std::size_t gateway, const Response& response);

    asio::any_io_executor m_executor;
    std::string m_name;
    std::mt19937_64 m_random;
    std::deque<GatewayProcess>& m_gateways;
    RequestLedger& m_ledger;
    CrashingPart& m_crashingPart;
    GatewaySoakReport& m_report;
    std::map<std::size_t, KeptConnection> m_connections;
    std::optional<std::size_t> m_pausingAt;
    unsigned m_sent = 0;
};

} // namespace Pollenwind
