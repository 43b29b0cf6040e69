#pragma once

#include "Common/Task.h"
#include "Soak/Queries/SoakReport.h"
#include "Soak/SoakKeys.h"
#include "Transport/HttpClient.h"

#include <random>

namespace Pollenwind {

/// One caller of a soak run: sends requests sequentially and checks each response.
class SoakClient {
public:
    SoakClient(asio::any_io_executor executor, const SoakOptions& options, SoakKeys& keys, SoakReport& report,
        std::uint64_t seed);

    /// Sends requests until a point in time.
    Task<> run(std::chrono::steady_clock::time_point end);

    /// Idempotency keys of calls whose every attempt was refused as not run.
    const std::vector<std::string>& notRunCalls() const { return m_notRunCalls; }

private:
    struct Response {
        bool isConnected = false;
        bool isComplete = false;
        int status = 0;
        std::string body;
        std::chrono::nanoseconds firstByte { 0 };
    };

    Task<Response> send(const SoakRouter& router, HttpRequest request);
    Task<> sendCompletion();
    Task<> sendBooking();
    void checkStream(const std::string& prompt, const Response& response, const SoakKey& key);
    void checkCompleteText(const std::string& prompt, const std::string& text, std::uint32_t tokens);
    void checkKey(const SoakKey& key, const Response& response, std::chrono::steady_clock::time_point sentAt);
    void recordRefusal(const Response& response);
    void check(SoakGuarantee guarantee, bool holds, const std::string& example);
    const SoakRouter& pickRouter();
    std::string makePrompt();

    asio::any_io_executor m_executor;
    const SoakOptions& m_options;
    SoakKeys& m_keys;
    SoakReport& m_report;
    std::mt19937_64 m_random;
    std::uint64_t m_number = 0;
    std::string m_name;
    std::vector<std::string> m_notRunCalls;
};

} // namespace Pollenwind
