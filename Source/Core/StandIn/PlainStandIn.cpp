#include "StandIn/PlainStandIn.h"

#include "Common/Digest.h"
#include "Common/Sleep.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Pollenwind {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t maxRetainedTexts = 1'000;

} // namespace

PlainStandIn::PlainStandIn(asio::any_io_executor executor, VersionId version)
    : m_server(std::move(executor), *this, {})
    , m_version(std::move(version))
    , m_incarnation(randomBits())
{
}

std::int64_t PlainStandIn::faultValue(PlainFault fault) const
{
    const auto it = m_faults.find(fault);
    return it == m_faults.end() ? 0 : it->second;
}

bool PlainStandIn::consumeFault(PlainFault fault)
{
    if (faultValue(fault) <= 0) {
        return false;
    }
    --m_faults[fault];
    return true;
}

bool PlainStandIn::hasSeenText(std::string_view needle) const
{
    return std::ranges::any_of(m_seenTexts, [&](const auto& it) { return it.find(needle) != std::string::npos; });
}

HttpAnswer PlainStandIn::refusal(int status, std::string_view reason) const
{
    return { .status = status, .body = Json { { "error", reason } }.dump() };
}

std::string PlainStandIn::handleControlRequest(const HttpRequest& request)
{
    const auto json = Json::parse(request.body, nullptr, false);
    const auto fault = json.is_object() ? fromName<PlainFault>(json.value("fault", "")) : std::nullopt;
    if (fault) {
        setFault(*fault, json.value("value", 0));
    }
    return Json { { "runs", m_runs } }.dump();
}

Task<> PlainStandIn::handle(HttpExchange& exchange)
{
    const auto& request = exchange.request();
    if (request.path.starts_with("/stand-in/")) {
        co_await exchange.answer({ .body = handleControlRequest(request) });
        co_return;
    }
    if (faultValue(PlainFault::Down)) {
        exchange.abort();
        co_return;
    }
    if (request.path == "/health") {
        const Json health = { { "incarnation", "1" }, { "state", "ready" },
            { "versions", Json::array({ m_version.value() }) }, { "running", 0U }, { "queued_tokens", 0 } };
        co_await exchange.answer({ .body = health.dump() });
        co_return;
    }
    const std::string id(request.header("X-Request-Id").value_or(""));
    std::string text = request.target() + "\n" + request.body;
    for (const auto& [name, value] : request.headers) {
        text.append("\n").append(name).append(": ").append(value);
    }
    m_seenTexts.push_back(std::move(text));
    if (m_seenTexts.size() > maxRetainedTexts) {
        m_seenTexts.pop_front();
    }
    if (consumeFault(PlainFault::Refuse)) {
        auto answer = refusal(503, "not started");
        answer.headers = { { "X-Not-Started", "1" }, { "X-Request-Id", id } };
        co_await exchange.answer(answer);
        co_return;
    }
    const std::string key(request.header("Idempotency-Key").value_or(id));
    const auto n = ++m_runs[key];
    if (const auto wait = faultValue(PlainFault::Slow)) {
        co_await sleepFor(std::chrono::milliseconds(wait));
    }
    if (consumeFault(PlainFault::LoseAnswers)) {
        exchange.abort();
        co_return;
    }
    HttpAnswer answer;
    answer.body = Json { { "accepted", true }, { "run", n }, { "path", request.path } }.dump() + "\n";
    answer.headers = { { "X-Request-Id", consumeFault(PlainFault::CrossedAnswers) ? "of-another-request" : id } };
    co_await exchange.answer(answer);
}

} // namespace Pollenwind
