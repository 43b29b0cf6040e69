#pragma once

#include "Common/Task.h"
#include "Soak/Queries/SoakVerdict.h"
#include "Soak/SoakKeys.h"
#include "Transport/HttpClient.h"

#include <random>

namespace Pollenwind {

/// One caller of a soak run: sends requests one after the other and checks each answer.
class SoakClient {
public:
    SoakClient(asio::any_io_executor executor, const SoakOptions& options, SoakKeys& keys, SoakVerdict& verdict,
        std::uint64_t seed);

    /// Sends requests until a time.
    Task<> run(std::chrono::steady_clock::time_point end);

    /// Idempotency keys whose last answer said that the call did not run.
    const std::vector<std::string>& notRunCalls() const { return m_notRunCalls; }

private:
    struct Answer {
        bool isConnected = false;
        bool isComplete = false;
        int status = 0;
        std::string body;
        std::chrono::nanoseconds firstByte { 0 };
    };

    Task<Answer> send(const SoakRouter& router, HttpRequest request);
    Task<> sendCompletion();
    Task<> sendBooking();
    void checkStream(const std::string& prompt, const Answer& answer, const SoakKey& key);
    void checkWholeText(const std::string& prompt, const std::string& text, std::uint32_t tokens);
    void checkKey(const SoakKey& key, const Answer& answer, std::chrono::steady_clock::time_point sentAt);
    void noteRefusal(const Answer& answer);
    void check(SoakPromise promise, bool holds, const std::string& example);
    const SoakRouter& pickRouter();
    std::string makePrompt();

    asio::any_io_executor m_executor;
    const SoakOptions& m_options;
    SoakKeys& m_keys;
    SoakVerdict& m_verdict;
    std::mt19937_64 m_random;
    std::uint64_t m_number = 0;
    std::string m_name;
    std::vector<std::string> m_notRunCalls;
};

} // namespace Pollenwind
