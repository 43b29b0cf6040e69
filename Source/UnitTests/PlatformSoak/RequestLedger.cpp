#include "PlatformSoak/RequestLedger.h"

namespace Pollenwind {

namespace {

    constexpr std::chrono::milliseconds withdrawalLimit { 5000 };

} // namespace

void RequestLedger::noteSent(
    const std::string& id, RequestKind kind, bool isResumable, std::string body, std::optional<std::size_t> key)
{
    m_requests[id] = { kind, isResumable, std::move(body), key, std::chrono::steady_clock::now() };
    ++m_verdict.requests;
}

void RequestLedger::noteRefused(const std::string& id)
{
    auto& entry = m_requests.at(id);
    entry.isRefused = true;
    m_verdict.note(GatewayPromise::NotRunIsTrue, mayRepeat(entry) || entry.runs == 0, id + " had run");
}

void RequestLedger::noteRun(const HttpRequest& request)
{
    const std::string id(request.header("X-Request-Id").value_or(""));
    const auto it = m_requests.find(id);
    const bool isProper = it != m_requests.end() && it->second.body == request.body && !request.header("Authorization")
        && request.header("X-Tenant").value_or("") == (it->second.key ? "org" : "");
    m_verdict.note(GatewayPromise::RequestsUnchanged, isProper, "request \"" + id + "\" at a runner");
    if (it == m_requests.end()) {
        return;
    }
    auto& entry = it->second;
    ++entry.runs;
    m_verdict.note(GatewayPromise::RunAtMostOnce, mayRepeat(entry) || entry.runs == 1,
        id + " ran " + std::to_string(entry.runs) + " times");
    m_verdict.note(GatewayPromise::NotRunIsTrue, mayRepeat(entry) || !entry.isRefused, id + " ran after its refusal");
    const auto withdrawn = entry.key ? m_withdrawnAt.find(*entry.key) : m_withdrawnAt.end();
    if (withdrawn != m_withdrawnAt.end()) {
        m_verdict.note(GatewayPromise::WithdrawnKeysStop, entry.sentAt <= withdrawn->second + withdrawalLimit,
            id + " ran with " + keyName(*entry.key));
    }
}

void RequestLedger::noteAnswered(const std::string& id)
{
    if (const auto it = m_requests.find(id); it != m_requests.end()) {
        it->second.isAnswered = true;
    }
}

void RequestLedger::replaceKey() { ++m_keys; }

bool RequestLedger::wasAnswered(const std::string& id) const { return m_requests.at(id).isAnswered; }

} // namespace Pollenwind
