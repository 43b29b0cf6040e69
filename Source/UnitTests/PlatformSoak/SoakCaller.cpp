#include "PlatformSoak/SoakCaller.h"

#include "Common/Sleep.h"
#include "PlatformSoak/SoakRunner.h"

#include <array>

namespace Pollenwind {

namespace {

    constexpr std::chrono::milliseconds requestTimeout { 4000 };
    constexpr std::chrono::milliseconds requestInterval { 20 };
    // While a part crashes runners, one streamed request in this many has it.
    constexpr std::uint64_t requestsPerCrashingOne = 8;

    struct KindRow {
        RequestKind kind;
        bool isResumable;
        const char* prefix;
    };

    constexpr std::array kinds { KindRow { RequestKind::Safe, false, "/safe/" },
        KindRow { RequestKind::Unsafe, false, "/unsafe/" }, KindRow { RequestKind::Streaming, false, "/stream/" },
        KindRow { RequestKind::Streaming, true, "/resumable/" } };

    /// Returns whether a status guarantees that the request did not run and never will.
    bool guaranteesNotRun(int status) { return status == 429 || status == 503 || status == 408 || status == 421; }

} // namespace

SoakCaller::SoakCaller(asio::any_io_executor executor, std::string name, std::uint64_t seed,
    std::deque<GatewayProcess>& gateways, RequestLedger& ledger, CrashingPart& crashingPart, GatewaySoakReport& report)
    : m_executor(std::move(executor))
    , m_name(std::move(name))
    , m_random(seed)
    , m_gateways(gateways)
    , m_ledger(ledger)
    , m_crashingPart(crashingPart)
    , m_report(report)
{
}

Task<> SoakCaller::run(std::chrono::steady_clock::time_point end)
{
    while (std::chrono::steady_clock::now() < end) {
        const auto& row = kinds[m_random() % kinds.size()];
        const auto gateway = static_cast<std::size_t>(m_random() % m_gateways.size());
        const auto id = m_name + "-" + std::to_string(++m_sent);
        // One request in four uses the previous key, which may have been withdrawn.
        const auto key = m_random() % 4 == 0 ? m_ledger.previousKeyNumber() : m_ledger.keyNumber();
        HttpRequest request { "POST", row.prefix + id, "",
            { { "Host", "soak.example" }, { "X-Request-Id", id },
                { "Authorization", "Token " + RequestLedger::keyName(key) },
                { "X-Deadline-Ms", std::to_string(requestTimeout.count()) } },
            "body of " + id };
        const bool isCrashing = row.kind == RequestKind::Streaming && m_crashingPart.isActive()
            && m_random() % requestsPerCrashingOne == 0;
        if (row.kind == RequestKind::Streaming) {
            request.headers.emplace_back("X-Model", "m");
            request.headers.emplace_back("X-Token-Count", "100,20");
            // The last part belongs to the request alone if there is a part that crashes runners.
            const auto last = isCrashing
                ? m_crashingPart.id() + ":50," + std::to_string(1000 + m_random() % 1'000'000'000)
                : std::to_string(m_random() % 9);
            request.headers.emplace_back("X-Prompt-Prefix", "a1:50," + last + ":50");
        }
        if (isCrashing) {
            m_crashingPart.recordSent(id, gateway);
        }
        m_ledger.recordSent(id, row.kind, row.isResumable, request.body, key, m_gateways[gateway].process());
        const auto response = co_await send(gateway, std::move(request));
        check(id, row.kind, gateway, response);
        if (row.kind == RequestKind::Streaming && !isCrashing && response.isSent) {
            m_crashingPart.recordSound(m_ledger.sentAt(id), gateway, response.status == 200);
        }
        co_await sleepFor(response.isComplete && response.status == 200 ? requestInterval : response.retryAfter);
    }
}

Task<SoakCaller::Response> SoakCaller::send(std::size_t gateway, HttpRequest request)
{
    const auto end = std::chrono::steady_clock::now() + requestTimeout;
    auto& connection = m_connections[gateway];
    Response response;
    if (!connection || !connection->isReusable()) {
        connection = std::make_unique<HttpConnection>(m_executor);
        if (!co_await connection->connect(m_gateways[gateway].callers(), requestTimeout)) {
            connection.reset();
            co_return response;
        }
    }
    response.isSent = true;
    const auto head = co_await connection->send(request, end - std::chrono::steady_clock::now());
    if (!head) {
        response.hasTimedOut = head.error().code == ErrorCode::DeadlineExceeded;
        connection.reset();
        co_return response;
    }
    response.status = head->status;
    if (const auto id = findHeader(head->headers, "X-Request-Id")) {
        response.requestId = std::string(*id);
    }
    response.isStamped = findHeader(head->headers, "X-Server-Stamp").has_value();
    for (;;) {
        const auto part = co_await connection->readSome(end - std::chrono::steady_clock::now());
        if (!part) {
            response.hasTimedOut = part.error().code == ErrorCode::DeadlineExceeded;
            connection.reset();
            co_return response;
        }
        if (part->empty()) {
            response.isComplete = true;
            co_return response;
        }
        response.body += *part;
    }
}

void SoakCaller::check(const std::string& id, RequestKind kind, std::size_t gateway, const Response& response)
{
    ++m_report.responsesByStatus[response.isComplete ? response.status : 0];
    if (response.status != 0) {
        m_report.recordCheck(GatewayGuarantee::ResponsesMatchRequests, response.requestId == id,
            id + " received the response to another request");
    }
    if (guaranteesNotRun(response.status)) {
        m_ledger.recordRefused(id);
    }
    if (kind == RequestKind::Streaming && response.status == 200) {
        std::string expected;
        for (unsigned number = 1; number <= SoakRunner::streamEvents; ++number) {
            expected += SoakRunner::eventText(id, number);
        }
        const bool isCorrect = response.isComplete ? response.body == expected : expected.starts_with(response.body);
        m_report.recordCheck(GatewayGuarantee::StreamsComplete, isCorrect,
            id + (response.isComplete ? " complete: " : " truncated: ") + std::to_string(response.body.size())
                + " bytes");
    } else if (response.status == 200 && response.isComplete) {
        m_report.recordCheck(GatewayGuarantee::ResponsesMatchRequests,
            response.isStamped && response.body == SoakRunner::responseText(id), id + ": " + response.body);
    }
    if (response.isComplete || !response.isSent) {
        return;
    }
    ++m_report.connectionsLost;
    // A response may be lost when the process was killed or paused, or may arrive after the deadline of the caller.
    const bool wasUndisturbed = m_gateways[gateway].lastDisturbedAt() < m_ledger.sentAt(id);
    if (kind != RequestKind::Streaming && wasUndisturbed && !response.hasTimedOut) {
        m_report.recordCheck(GatewayGuarantee::ResponsesAreDelivered, !m_ledger.wasAnswered(id),
            id + " lost at " + m_gateways[gateway].name());
    }
}

} // namespace Pollenwind
