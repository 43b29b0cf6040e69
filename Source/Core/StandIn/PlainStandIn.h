#pragma once

#include "Common/EnumTable.h"
#include "Common/Ids.h"
#include "Transport/HttpServer.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace Pollenwind {

/// Faults that can be injected into the plain-service stand-in.
enum class PlainFault {
    /// Connections are closed without a response; no call is executed.
    Down,
    /// The next calls are executed but their connections are closed without a response; the value is their number.
    LoseAnswers,
    /// The next calls are refused with X-Not-Started; the value is their number.
    Refuse,
    /// The next responses carry the id of another request; the value is their number.
    CrossedAnswers,
    /// Every call is delayed; the value is the delay in milliseconds.
    Slow,
};

template <> struct EnumTable<PlainFault> {
    static constexpr std::array rows {
        EnumName { PlainFault::Down, "down" },
        EnumName { PlainFault::LoseAnswers, "lose-answers" },
        EnumName { PlainFault::Refuse, "refuse" },
        EnumName { PlainFault::CrossedAnswers, "crossed-answers" },
        EnumName { PlainFault::Slow, "slow" },
    };
};

/// Test double of one runner of a plain service. Counts the executions of each call by the caller's idempotency key, or
/// by the request id where there is none.
class PlainStandIn final : public HttpHandler {
public:
    PlainStandIn(asio::any_io_executor executor, VersionId version);

    Outcome<Endpoint> listen(const Endpoint& endpoint) { return m_server.listen(endpoint); }
    void setFault(PlainFault fault, std::int64_t value) { m_faults[fault] = value; }

    /// Returns whether one of the last 1,000 requests contains a text in its target, headers or body. Tests use it to
    /// verify that no caller key reaches an upstream.
    bool hasSeenText(std::string_view needle) const;

    /// Number of executions by idempotency key or request id.
    const std::map<std::string, std::uint32_t>& runs() const { return m_runs; }

    Task<> handle(HttpExchange& exchange) override;
    HttpAnswer refusal(int status, std::string_view reason) const override;

private:
    std::int64_t faultValue(PlainFault fault) const;
    bool consumeFault(PlainFault fault);
    std::string handleControlRequest(const HttpRequest& request);

    HttpServer m_server;
    VersionId m_version;
    Incarnation m_incarnation;
    std::map<PlainFault, std::int64_t> m_faults;
    std::map<std::string, std::uint32_t> m_runs;
    std::deque<std::string> m_seenTexts;
};

} // namespace Pollenwind
