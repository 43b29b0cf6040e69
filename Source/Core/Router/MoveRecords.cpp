#include "Router/MoveRecords.h"

#include "Common/JsonFields.h"
namespace Pollenwind {

namespace {

    using JsonFields::Json;
    using JsonFields::readNumber;
    using JsonFields::readString;

    std::int64_t toMilliseconds(WallTime time)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    }

    WallTime readTime(const Json& object, const char* name)
    {
        return std::chrono::milliseconds(readNumber(object, name));
    }

    /// Encodes bins as [index, count] pairs and omits empty ones, which are the most.
    Json encodeTimes(const TimeDistribution& times)
    {
        Json pairs = Json::array();
        for (std::size_t i = 0; i < TimeDistribution::binCount; ++i) {
            if (times.bins()[i] > 0) {
                pairs.push_back({ i, times.bins()[i] });
            }
        }
        return pairs;
    }

    TimeDistribution decodeTimes(const Json& object, const char* name)
    {
        TimeDistribution times;
        for (const auto& pair : object.value(name, Json::array())) {
            const bool isPair
                = pair.is_array() && pair.size() == 2 && pair[0].is_number_unsigned() && pair[1].is_number_unsigned();
            if (isPair && pair[0].get<std::size_t>() < TimeDistribution::binCount) {
                times.setBin(pair[0].get<std::size_t>(), pair[1].get<std::uint32_t>());
            }
        }
        return times;
    }

    Json encodeRoutes(const std::map<std::string, RouteEvidence>& routes)
    {
        Json object = Json::object();
        for (const auto& [route, it] : routes) {
            object[route] = { { "requests", it.requests }, { "failures", it.failures },
                { "first_token", encodeTimes(it.firstTokenPerWork) },
                { "between_tokens", encodeTimes(it.timeBetweenTokens) } };
        }
        return object;
    }

    std::map<std::string, RouteEvidence> decodeRoutes(const Json& object, const char* name)
    {
        std::map<std::string, RouteEvidence> routes;
        const auto json = object.value(name, Json::object());
        for (const auto& [route, value] : json.items()) {
            if (!value.is_object()) {
                continue;
            }
            auto& evidence = routes[route];
            evidence.requests = static_cast<std::uint32_t>(readNumber(value, "requests"));
            evidence.failures = static_cast<std::uint32_t>(readNumber(value, "failures"));
            evidence.firstTokenPerWork = decodeTimes(value, "first_token");
            evidence.timeBetweenTokens = decodeTimes(value, "between_tokens");
        }
        return routes;
    }

} // namespace

std::string encodeMoveRecord(const MoveRecord& record)
{
    return Json {
        { "id", record.id.value() }, { "service", record.service.value() }, { "from", record.from.value() },
        { "to", record.to.value() }, { "operator", record.operatorName },
        { "ordered_at_ms", toMilliseconds(record.orderedAt) }, { "deadline_ms", toMilliseconds(record.deadline) },
        { "state", nameOf(record.state) }, { "step", record.step },
        { "step_since_ms", toMilliseconds(record.stepSince) }, { "reason", nameOf(record.reason) },
        { "evidence", record.evidence }
    }.dump();
}

Outcome<MoveRecord> decodeMoveRecord(std::string_view text)
{
    const auto json = Json::parse(text, nullptr, false);
    const auto state = json.is_object() ? fromName<MoveState>(readString(json, "state")) : std::nullopt;
    const auto reason = json.is_object() ? fromName<MoveReason>(readString(json, "reason")) : std::nullopt;
    if (!state || !reason || readString(json, "service").empty()) {
        return fail(ErrorCode::Malformed, "a move record cannot be decoded");
    }
    MoveRecord record;
    record.id = MoveId(readString(json, "id"));
    record.service = ServiceId(readString(json, "service"));
    record.from = VersionId(readString(json, "from"));
    record.to = VersionId(readString(json, "to"));
    record.operatorName = readString(json, "operator");
    record.orderedAt = readTime(json, "ordered_at_ms");
    record.deadline = readTime(json, "deadline_ms");
    record.state = *state;
    record.step = static_cast<std::uint32_t>(readNumber(json, "step"));
    record.stepSince = readTime(json, "step_since_ms");
    record.reason = *reason;
    record.evidence = readString(json, "evidence");
    return record;
}

std::string encodeEvidenceRecord(const EvidenceRecord& record)
{
    return Json {
        { "move", record.move.value() }, { "vm", record.vm.value() },
        { "old", encodeRoutes(record.evidence.oldVersion) }, { "new", encodeRoutes(record.evidence.newVersion) }
    }.dump();
}

Outcome<EvidenceRecord> decodeEvidenceRecord(std::string_view text)
{
    const auto json = Json::parse(text, nullptr, false);
    if (!json.is_object()) {
        return fail(ErrorCode::Malformed, "an evidence record cannot be decoded");
    }
    EvidenceRecord record;
    record.move = MoveId(readString(json, "move"));
    record.vm = VmId(readString(json, "vm"));
    record.evidence.oldVersion = decodeRoutes(json, "old");
    record.evidence.newVersion = decodeRoutes(json, "new");
    return record;
}

} // namespace Pollenwind
