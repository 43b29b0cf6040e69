#include "Dispatch/ClaimCodec.h"

#include <nlohmann/json.hpp>

namespace Pollenwind::ClaimCodec {

namespace {

    using Json = nlohmann::json;

    std::optional<std::string> readText(const Json& object, const char* name)
    {
        const auto it = object.find(name);
        return it != object.end() && it->is_string() ? std::optional(it->get<std::string>()) : std::nullopt;
    }

    std::optional<PlainAnswer> readAnswer(const Json& object)
    {
        const auto status = object.find("status");
        const auto type = readText(object, "content_type");
        const auto encoded = readText(object, "body");
        const auto body = encoded ? base64Decode(*encoded) : std::nullopt;
        if (status == object.end() || !status->is_number_integer() || !type || !body) {
            return std::nullopt;
        }
        return PlainAnswer { status->get<int>(), *type, *body };
    }

} // namespace

std::string keyOf(const OrganisationId& organisation, std::string_view idempotencyKey)
{
    return "/pollenwind/once/" + organisation.value() + "/" + toHex(sha256(idempotencyKey));
}

std::string encode(const ClaimRecord& record)
{
    using std::chrono::milliseconds;
    Json json = { { "attempt", record.attempt }, { "call", toHex(record.call) }, { "state", nameOf(record.state) },
        { "runs_until_ms", std::chrono::duration_cast<milliseconds>(record.runsUntil).count() } };
    if (record.state == ClaimState::Done) {
        json["status"] = record.answer.status;
        json["content_type"] = record.answer.contentType;
        json["body"] = base64Encode(record.answer.body);
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<ClaimRecord> decode(std::string_view text)
{
    const auto json = Json::parse(text, nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    const auto attempt = readText(json, "attempt");
    const auto call = digestFromHex(readText(json, "call").value_or(""));
    const auto state = fromName<ClaimState>(readText(json, "state").value_or(""));
    const auto until = json.find("runs_until_ms");
    if (!attempt || !call || !state || until == json.end() || !until->is_number_integer()) {
        return std::nullopt;
    }
    ClaimRecord record { *attempt, *call, *state, std::chrono::milliseconds(until->get<std::int64_t>()), {} };
    if (*state == ClaimState::Done) {
        auto answer = readAnswer(json);
        if (!answer) {
            return std::nullopt;
        }
        record.answer = std::move(*answer);
    }
    return record;
}

} // namespace Pollenwind::ClaimCodec
