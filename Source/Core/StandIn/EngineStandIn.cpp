#include "StandIn/EngineStandIn.h"

#include "Common/Digest.h"
#include "Common/Sleep.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>

namespace Pollenwind {

namespace {

    using Json = nlohmann::json;
    using SteadyClock = std::chrono::steady_clock;

    constexpr std::size_t maxRetainedEvents = 10'000;
    constexpr std::size_t maxRetainedRequestIds = 100'000;
    constexpr std::size_t maxRetainedTexts = 100'000;
    constexpr std::chrono::milliseconds silentPollInterval { 50 };

    std::string hex(std::uint64_t value)
    {
        std::array<char, 17> buf {};
        std::snprintf(buf.data(), buf.size(), "%016lx", static_cast<unsigned long>(value));
        return buf.data();
    }

    std::string encodeServerSentEvent(const Json& json)
    {
        return "data: " + json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n\n";
    }

} // namespace

struct EngineStandIn::Call {
    std::uint64_t number = 0;
    std::string id;
    VersionId version;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    std::uint32_t resumeFrom = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
};

EngineStandIn::EngineStandIn(asio::any_io_executor executor, EngineStandInOptions options)
    : m_options(std::move(options))
    , m_server(std::move(executor), *this, {})
    , m_incarnation(randomBits())
    , m_versions { m_options.version }
{
}

void EngineStandIn::setFault(EngineFault fault, std::int64_t value)
{
    m_faults[fault] = value;
    if (fault == EngineFault::SilentStreams && value != 0) {
        m_silentBeforeCall = m_nextCall;
    }
    if (fault == EngineFault::Down && value != 0) {
        m_server.closeAll();
    }
}

std::int64_t EngineStandIn::faultValue(EngineFault fault) const
{
    const auto it = m_faults.find(fault);
    return it == m_faults.end() ? 0 : it->second;
}

void EngineStandIn::setVersionFault(const VersionId& version, VersionFault fault, std::int64_t value)
{
    m_versionFaults[{ version, fault }] = value;
}

bool EngineStandIn::hasVersionFault(const Call& call, VersionFault fault) const
{
    const auto it = m_versionFaults.find({ call.version, fault });
    return it != m_versionFaults.end() && it->second > 0 && call.number % static_cast<std::uint64_t>(it->second) == 0;
}

bool EngineStandIn::consumeFault(EngineFault fault)
{
    if (faultValue(fault) <= 0) {
        return false;
    }
    --m_faults[fault];
    return true;
}

void EngineStandIn::crash()
{
    m_server.closeAll();
    m_incarnation = Incarnation(randomBits());
    m_leastRecentlyUsed.clear();
    m_cache.clear();
    m_events.clear();
    m_nextEvent = 1;
    m_prefillIdleAt = {};
}

std::string EngineStandIn::tokenText(std::string_view prompt, const VersionId& version, std::uint32_t index)
{
    const auto seed = chainSalt(std::string_view(), ServiceId(std::string(prompt)), version);
    return " w" + std::to_string((seed + index * 7919ULL) % 10'007);
}

bool EngineStandIn::hasSeenText(std::string_view needle) const
{
    return std::any_of(
        m_seenTexts.begin(), m_seenTexts.end(), [&](const auto& it) { return it.find(needle) != std::string::npos; });
}

HttpAnswer EngineStandIn::refusal(int status, std::string_view reason) const
{
    return { .status = status, .body = Json { { "error", reason } }.dump() };
}

Task<> EngineStandIn::handle(HttpExchange& exchange)
{
    const auto& request = exchange.request();
    if (request.path.starts_with("/stand-in/")) {
        co_await exchange.answer({ .body = handleControlRequest(request) });
        co_return;
    }
    if (faultValue(EngineFault::Down)) {
        exchange.abort();
        co_return;
    }
    for (const auto& [name, value] : request.headers) {
        m_seenTexts.emplace_back(name).append(": ").append(value);
    }
    m_seenTexts.push_back(request.body);
    while (m_seenTexts.size() > maxRetainedTexts) {
        m_seenTexts.pop_front();
    }
    if (request.path == "/health") {
        co_await exchange.answer({ .body = healthBody() });
    } else if (request.path == "/v1/completions" && request.method == "POST") {
        co_await generate(exchange);
    } else if (request.path == "/admin/load" || request.path == "/admin/unload") {
        co_await executeOrder(exchange);
    } else if (request.path == "/cache-events") {
        co_await streamEvents(exchange);
    } else {
        co_await exchange.answer(refusal(404, "unknown path"));
    }
}

Task<> EngineStandIn::executeOrder(HttpExchange& exchange)
{
    const auto json = Json::parse(exchange.request().body, nullptr, false);
    const VersionId version(json.is_object() ? json.value("version", "") : "");
    const std::int64_t fencing = json.is_object() ? json.value("fencing", std::int64_t(0)) : 0;
    if (version.value().empty()) {
        co_await exchange.answer(refusal(400, "malformed order"));
        co_return;
    }
    if (m_options.checksFencing && fencing < m_newestFencing) {
        co_await exchange.answer(refusal(409, "old fencing token"));
        co_return;
    }
    m_newestFencing = std::max(m_newestFencing, fencing);
    if (exchange.request().path == "/admin/load") {
        m_isLoading = true;
        co_await sleepFor(m_options.loadTime);
        m_isLoading = false;
        m_versions.insert(version);
    } else {
        m_versions.erase(version);
    }
    HttpAnswer done;
    done.body = healthBody();
    co_await exchange.answer(done);
}

std::string EngineStandIn::healthBody() const
{
    Json versions = Json::array();
    for (const auto& version : m_versions) {
        versions.push_back(version.value());
    }
    const char* state = m_isLeaving ? "leaving" : m_isLoading ? "loading" : "ready";
    return Json {
        { "incarnation", hex(m_incarnation.value()) }, { "state", state }, { "versions", versions },
        { "running", m_running }, { "queued_tokens", m_queuedTokens }
    }.dump();
}

std::string EngineStandIn::handleControlRequest(const HttpRequest& request)
{
    if (request.path == "/stand-in/crash") {
        // Also closes the connection of this request, so its response may be lost.
        crash();
    }
    const auto json = Json::parse(request.body, nullptr, false);
    const auto fault = json.is_object() ? fromName<EngineFault>(json.value("fault", "")) : std::nullopt;
    if (fault) {
        setFault(*fault, json.value("value", 0));
    }
    if (request.path == "/stand-in/seen") {
        return Json { { "seen", hasSeenText(json.is_object() ? json.value("text", "") : "") } }.dump();
    }
    const auto versionFault = json.is_object() ? fromName<VersionFault>(json.value("version_fault", "")) : std::nullopt;
    if (versionFault) {
        setVersionFault(VersionId(json.value("version", "")), *versionFault, json.value("value", 0));
    }
    return Json {
        { "started", m_started }, { "prefilled_tokens", m_prefilled }, { "cached_tokens", m_cachedTotal }
    }.dump();
}

Task<> EngineStandIn::generate(HttpExchange& exchange)
{
    const auto json = Json::parse(exchange.request().body, nullptr, false);
    if (!json.is_object()) {
        co_await exchange.answer(refusal(400, "malformed body"));
        co_return;
    }
    Call call;
    call.version = VersionId(json.value("version", ""));
    const bool isRefused = consumeFault(EngineFault::Refuse) || m_isLeaving || m_isLoading;
    if (isRefused || !m_versions.contains(call.version)) {
        auto answer = refusal(503, "not started");
        answer.headers.emplace_back("X-Not-Started", "1");
        co_await exchange.answer(answer);
        co_return;
    }
    call.number = m_nextCall++;
    call.id = json.value("request_id", "");
    call.prompt = json.value("prompt", "");
    call.maxTokens = json.value("max_tokens", 16U);
    call.resumeFrom = json.value("resume_from", 0U);
    const auto salt = chainSalt(json.value("cache_salt", ""), m_options.service, call.version);
    const auto chain = makePrefixChain(salt, call.prompt, m_options.blockTokens);
    call.promptTokens = chain.promptTokens;

    ++m_started;
    if (m_startedRequests.size() < maxRetainedRequestIds) {
        m_startedRequests.insert(call.id);
    }
    ++m_running;
    m_queuedTokens += call.promptTokens + call.maxTokens;
    HttpAnswer head;
    head.contentType = "text/event-stream";
    head.headers.emplace_back("X-Engine-Incarnation", hex(m_incarnation.value()));
    const auto started = co_await exchange.beginStream(head);
    if (started) {
        // Prompts are prefilled one at a time. The cache is looked up and updated when a request arrives, not when its
        // prefill begins.
        const auto now = SteadyClock::now();
        call.cachedTokens = lookUpAndStore(chain);
        const auto missed = call.promptTokens - call.cachedTokens;
        m_prefilled += missed;
        m_cachedTotal += call.cachedTokens;
        m_prefillIdleAt = std::max(now, m_prefillIdleAt) + missed * m_options.prefillPerToken;
        co_await sleepFor(m_prefillIdleAt - now);
        co_await streamTokens(exchange, call);
    }
    --m_running;
    m_queuedTokens -= call.promptTokens + call.maxTokens;
}

Task<> EngineStandIn::streamTokens(HttpExchange& exchange, const Call& call)
{
    const auto slowVersion = m_versionFaults.find({ call.version, VersionFault::Slow });
    const auto versionSlowness = slowVersion == m_versionFaults.end() ? 1 : slowVersion->second;
    const auto slowness = std::max<std::int64_t>({ 1, faultValue(EngineFault::Slow), versionSlowness });
    if (hasVersionFault(call, VersionFault::Fail)) {
        exchange.abort();
        co_return;
    }
    for (std::uint32_t index = call.resumeFrom; index < call.maxTokens; ++index) {
        co_await sleepFor(m_options.decodePerToken * slowness);
        while (call.number < m_silentBeforeCall && !exchange.isDisconnected()) {
            co_await sleepFor(silentPollInterval);
        }
        if (exchange.isDisconnected()) {
            exchange.abort();
            co_return;
        }
        const auto id = consumeFault(EngineFault::CrossedAnswers) ? "of-another-request" : call.id;
        const Json token = { { "id", id }, { "index", index }, { "text", tokenText(call.prompt, call.version, index) },
            { "version", call.version.value() } };
        if (!co_await exchange.writeChunk(encodeServerSentEvent(token))) {
            co_return;
        }
    }
    if (consumeFault(EngineFault::Truncate) || hasVersionFault(call, VersionFault::Cut)) {
        exchange.abort();
        co_return;
    }
    const Json usage = { { "prompt_tokens", call.promptTokens }, { "completion_tokens", call.maxTokens },
        { "cached_tokens", call.cachedTokens } };
    const Json last = { { "id", call.id }, { "finish_reason", "length" }, { "usage", usage } };
    if (co_await exchange.writeChunk(encodeServerSentEvent(last) + "data: [DONE]\n\n")) {
        co_await exchange.endStream();
    }
}

std::uint32_t EngineStandIn::lookUpAndStore(const PrefixChain& chain)
{
    std::uint32_t cached = 0;
    bool isHit = true;
    for (const auto hash : chain.hashes) {
        const auto it = m_cache.find(hash);
        isHit = isHit && it != m_cache.end();
        if (isHit) {
            cached += chain.blockTokens;
        }
        if (it != m_cache.end()) {
            m_leastRecentlyUsed.splice(m_leastRecentlyUsed.begin(), m_leastRecentlyUsed, it->second);
            continue;
        }
        m_leastRecentlyUsed.push_front(hash);
        m_cache.emplace(hash, m_leastRecentlyUsed.begin());
        emitEvent(CacheEventKind::Stored, hash);
    }
    while (m_cache.size() > m_options.cacheBlocks) {
        const auto oldest = m_leastRecentlyUsed.back();
        m_leastRecentlyUsed.pop_back();
        m_cache.erase(oldest);
        emitEvent(CacheEventKind::Evicted, oldest);
    }
    return cached;
}

void EngineStandIn::emitEvent(CacheEventKind kind, ChainHash hash)
{
    const CacheEvent event { m_nextEvent++, m_incarnation, kind, hash };
    const auto lossInterval = faultValue(EngineFault::LoseEvents);
    if (lossInterval > 0 && event.sequence % static_cast<std::uint64_t>(lossInterval) == 0) {
        return;
    }
    m_events.push_back(event);
    if (m_events.size() > maxRetainedEvents) {
        m_events.pop_front();
    }
}

Task<> EngineStandIn::streamEvents(HttpExchange& exchange)
{
    std::uint64_t next = 1;
    if (const auto from = exchange.request().parameter("from")) {
        next = std::strtoull(std::string(*from).c_str(), nullptr, 10);
    }
    if (!co_await exchange.beginStream({ .contentType = "text/event-stream" })) {
        co_return;
    }
    const auto incarnation = m_incarnation;
    while (incarnation == m_incarnation && !exchange.isDisconnected()) {
        std::string batch;
        for (const auto& event : m_events) {
            if (event.sequence >= next) {
                batch += encodeServerSentEvent(
                    { { "seq", event.sequence }, { "incarnation", hex(event.incarnation.value()) },
                        { "type", nameOf(event.kind) }, { "hash", hex(event.hash) } });
                next = event.sequence + 1;
            }
        }
        if (!co_await exchange.writeChunk(batch.empty() ? ": keep-alive\n\n" : batch)) {
            co_return;
        }
        co_await sleepFor(std::chrono::milliseconds(100));
    }
    exchange.abort();
}

} // namespace Pollenwind
