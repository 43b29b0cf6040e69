#include "Upstream/UpstreamCodec.h"

#include "Common/JsonFields.h"
#include "Placement/PrefixChain.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace Pollenwind::UpstreamCodec {

namespace {

    using JsonFields::Json;
    using JsonFields::readCount;
    using JsonFields::readString;

    std::optional<std::uint64_t> readHex(const Json& object, const char* name)
    {
        const auto hex = readString(object, name);
        std::uint64_t value = 0;
        const auto [end, ec] = std::from_chars(hex.data(), hex.data() + hex.size(), value, 16);
        return ec == std::errc() && end == hex.data() + hex.size() ? std::optional(value) : std::nullopt;
    }

    std::unexpected<Error> malformed(std::string_view what)
    {
        return fail(ErrorCode::ProtocolError, "the upstream sent a malformed " + std::string(what), RunState::Unknown);
    }

} // namespace

HttpRequest encodeGeneration(const GenerationCall& call)
{
    Json body = { { "model", call.service.value() }, { "version", call.version.value() }, { "prompt", call.prompt },
        { "max_tokens", call.maxTokens }, { "stream", true }, { "priority", call.priority },
        { "request_id", call.request.value() }, { "cache_salt", cacheSaltFor(call.organisation) } };
    if (call.resumeFrom > 0) {
        body["resume_from"] = call.resumeFrom;
        body["resume_text"] = call.resumeText;
    }
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers = { { "Content-Type", "application/json" }, { "X-Request-Id", call.request.value() } };
    // Replaces invalid UTF-8 instead of throwing: the caller's JSON was valid, but the resume text may end within a
    // multi-byte character.
    request.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
    return request;
}

HttpRequest encodePlain(const PlainCall& call)
{
    HttpRequest request;
    request.method = call.method;
    request.path = call.target;
    request.headers = { { "X-Request-Id", call.request.value() }, { "X-Organisation", call.organisation.value() } };
    if (!call.contentType.empty()) {
        request.headers.emplace_back("Content-Type", call.contentType);
    }
    if (!call.idempotencyKey.empty()) {
        request.headers.emplace_back("Idempotency-Key", call.idempotencyKey);
    }
    request.body = call.body;
    return request;
}

bool carriesNoCredentials(const HttpRequest& request)
{
    constexpr std::array<std::string_view, 4> allowed { "Content-Type", "Idempotency-Key", "X-Request-Id",
        "X-Organisation" };
    return std::ranges::all_of(
        request.headers, [&](const auto& it) { return std::ranges::find(allowed, it.first) != allowed.end(); });
}

Outcome<GenerationEvent> decodeEvent(std::string_view data, const GenerationCall& call)
{
    const auto json = Json::parse(data, nullptr, false);
    if (!json.is_object()) {
        return malformed("event");
    }
    if (readString(json, "id") != call.request.value()) {
        return fail(ErrorCode::Mismatch, "the upstream sent an event of another request", RunState::Unknown);
    }
    GenerationEvent event;
    if (json.contains("finish_reason")) {
        event.kind = GenerationEventKind::Finished;
        event.finishReason = readString(json, "finish_reason");
        const auto found = json.find("usage");
        const auto usage = found != json.end() && found->is_object() ? *found : Json::object();
        event.promptTokens = readCount(usage, "prompt_tokens");
        if (usage.contains("completion_tokens")) {
            event.completionTokens = readCount(usage, "completion_tokens");
        }
        event.cachedTokens = readCount(usage, "cached_tokens");
        return event;
    }
    if (!json.contains("index") || !json["index"].is_number_unsigned()) {
        return malformed("token");
    }
    const auto version = readString(json, "version");
    if (!version.empty() && version != call.version.value()) {
        return fail(ErrorCode::ProtocolError, "the engine responded with another version", RunState::Unknown);
    }
    event.index = json["index"].get<std::uint32_t>();
    event.text = readString(json, "text");
    return event;
}

Outcome<CacheEvent> decodeCacheEvent(std::string_view data)
{
    const auto json = Json::parse(data, nullptr, false);
    if (!json.is_object() || !json.contains("seq") || !json["seq"].is_number_unsigned()) {
        return malformed("cache event");
    }
    const auto kind = fromName<CacheEventKind>(readString(json, "type"));
    const auto incarnation = readHex(json, "incarnation");
    const auto hash = readHex(json, "hash");
    const bool needsHash = kind != CacheEventKind::Cleared;
    if (!kind || !incarnation || (needsHash && !hash)) {
        return malformed("cache event");
    }
    return CacheEvent { json["seq"].get<std::uint64_t>(), Incarnation(*incarnation), *kind, hash.value_or(0) };
}

Outcome<HealthReport> decodeHealth(std::string_view body)
{
    const auto json = Json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return malformed("health report");
    }
    const auto state = fromName<UpstreamState>(readString(json, "state"));
    const auto incarnation = readHex(json, "incarnation");
    if (!state || !incarnation) {
        return malformed("health report");
    }
    HealthReport report;
    report.state = *state;
    report.incarnation = Incarnation(*incarnation);
    for (const auto& version : json.value("versions", Json::array())) {
        if (version.is_string()) {
            report.versions.emplace_back(version.get<std::string>());
        }
    }
    report.running = readCount(json, "running");
    const auto queued = json.find("queued_tokens");
    report.queuedTokens = queued != json.end() && queued->is_number() ? queued->get<double>() : 0;
    return report;
}

} // namespace Pollenwind::UpstreamCodec
