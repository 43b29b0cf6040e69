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
    std::map<std::size_t, std::unique_ptr<HttpConnection>> m_connections;
    unsigned m_sent = 0;
};

} // namespace Pollenwind
