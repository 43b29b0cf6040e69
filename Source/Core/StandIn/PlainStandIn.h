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

/// Fault switch of the plain-service stand-in.
enum class PlainFault {
    /// Connections are closed without an answer; nothing runs.
    Down,
    /// The next calls run but their answers are lost; the value is how many.
    LoseAnswers,
    /// The next calls are refused as not started; the value is how many.
    Refuse,
    /// The next answers carry the id of another request; the value is how many.
    CrossedAnswers,
    /// Every call takes longer; the value is milliseconds.
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

/// Stand-in for one runner of a plain service. It counts how often each call ran, by the caller's idempotency key or
/// by the request id.
class PlainStandIn final : public HttpHandler {
public:
    PlainStandIn(asio::any_io_executor executor, VersionId version);

    Outcome<Endpoint> listen(const Endpoint& endpoint) { return m_server.listen(endpoint); }
    void setFault(PlainFault fault, std::int64_t value) { m_faults[fault] = value; }

    /// Tells whether a recent request held a text in a header or its body. Lets a test show that no key arrives.
    bool hasSeenText(std::string_view needle) const;

    /// How often each call ran.
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
