#include "PlatformSoak/SoakCaller.h"

#include "Common/Sleep.h"
#include "PlatformSoak/SoakRunner.h"

#include <array>

namespace Pollenwind {

namespace {

    constexpr std::chrono::milliseconds requestTimeout { 4000 };
    constexpr std::chrono::milliseconds requestInterval { 20 };
    // An idle connection is used until this long before the end of the time in Keep-Alive, as the gateway's client
    // does.
    constexpr std::chrono::milliseconds idleMargin { 500 };
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

void SoakCaller::pauseBetweenRequests(std::size_t gateway) { m_pausingAt = gateway; }

Task<> SoakCaller::run(std::chrono::steady_clock::time_point end)
{
    while (std::chrono::steady_clock::now() < end) {
        const auto& row = kinds[m_random() % kinds.size()];
        const auto gateway = m_pausingAt.value_or(static_cast<std::size_t>(m_random() % m_gateways.size()));
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
        if (m_pausingAt) {
            const auto& idle = m_connections[gateway];
            co_await sleepFor(idle.promised * static_cast<int>(m_random() % 100) / 100);
        }
    }
}

Task<SoakCaller::Response> SoakCaller::send(std::size_t gateway, HttpRequest request)
{
    const auto end = std::chrono::steady_clock::now() + requestTimeout;
    auto& [connection, idleSince, promised] = m_connections[gateway];
    Response response;
    const auto idleTime = std::chrono::steady_clock::now() - idleSince;
    const bool isPromised = promised.count() > 0;
    if (connection && isPromised && idleTime < promised && m_gateways[gateway].lastSignalledAt() < idleSince) {
        // A request would cross the close. On loopback it is seen before, so the close itself is checked too.
        m_report.recordCheck(GatewayGuarantee::IdlePromisesAreKept, connection->isReusable(),
            m_gateways[gateway].name() + " closed an idle connection before the time that it had announced");
    }
    if (connection && connection->isReusable() && (!isPromised || idleTime < promised)) {
        response.idleSince = isPromised ? std::optional(idleSince) : std::nullopt;
    } else {
        connection = std::make_unique<HttpConnection>(m_executor);
        if (!co_await connection->connect(m_gateways[gateway].callers(), requestTimeout)) {
            connection.reset();
            co_return response;
        }
    }
    response.isSent = true;
    const auto sentAt = std::chrono::steady_clock::now();
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
            idleSince = std::chrono::steady_clock::now();
            const auto announced = connection->announcedIdleTimeout();
            // A response may be read just after its process was killed, and that process keeps no promise.
            const bool wasKilled = m_gateways[gateway].lastKilledAt() >= sentAt;
            promised = announced && !wasKilled ? *announced - idleMargin : std::chrono::milliseconds(0);
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
    // A stop or an end of its own does not excuse a VM.
    if (response.idleSince && m_gateways[gateway].lastSignalledAt() < *response.idleSince) {
        m_report.recordCheck(GatewayGuarantee::IdlePromisesAreKept, response.status != 0 || response.hasTimedOut,
            id + " got no answer on an idle connection to " + m_gateways[gateway].name());
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
