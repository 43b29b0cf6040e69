#include "PlatformSoak/RequestLedger.h"

namespace Pollenwind {

namespace {

    constexpr std::chrono::milliseconds withdrawalLimit { 5000 };

} // namespace

void RequestLedger::recordSent(const std::string& id, RequestKind kind, bool isResumable, std::string body,
    std::optional<std::size_t> key, std::string process)
{
    m_requests[id] = { kind, isResumable, std::move(body), key, std::chrono::steady_clock::now(), std::move(process) };
    ++m_report.requests;
}

void RequestLedger::recordRefused(const std::string& id)
{
    auto& entry = m_requests.at(id);
    entry.isRefused = true;
    m_report.recordCheck(GatewayGuarantee::NotRunIsTrue, mayRepeat(entry) || entry.runs == 0, id + " had run");
}

void RequestLedger::recordRun(const HttpRequest& request)
{
    const std::string id(request.header("X-Request-Id").value_or(""));
    const auto it = m_requests.find(id);
    const bool isExpected = it != m_requests.end() && it->second.body == request.body
        && !request.header("Authorization") && request.header("X-Tenant").value_or("") == (it->second.key ? "org" : "");
    m_report.recordCheck(GatewayGuarantee::RequestsUnchanged, isExpected, "request \"" + id + "\" at a runner");
    if (it == m_requests.end()) {
        return;
    }
    auto& entry = it->second;
    ++entry.runs;
    m_report.recordCheck(GatewayGuarantee::RunAtMostOnce, mayRepeat(entry) || entry.runs == 1,
        id + " ran " + std::to_string(entry.runs) + " times");
    m_report.recordCheck(
        GatewayGuarantee::NotRunIsTrue, mayRepeat(entry) || !entry.isRefused, id + " ran after its refusal");
    const auto withdrawn = entry.key ? m_withdrawnAt.find(*entry.key) : m_withdrawnAt.end();
    if (withdrawn != m_withdrawnAt.end()) {
        m_report.recordCheck(GatewayGuarantee::WithdrawnKeysStop, entry.sentAt <= withdrawn->second + withdrawalLimit,
            id + " ran with " + keyName(*entry.key));
    }
}

void RequestLedger::recordAnswered(const std::string& id)
{
    if (const auto it = m_requests.find(id); it != m_requests.end()) {
        it->second.isAnswered = true;
    }
}

void RequestLedger::replaceKey() { ++m_keys; }

std::string RequestLedger::processOf(const std::string& id) const
{
    const auto it = m_requests.find(id);
    return it == m_requests.end() ? "" : it->second.process;
}

bool RequestLedger::wasAnswered(const std::string& id) const { return m_requests.at(id).isAnswered; }

} // namespace Pollenwind
