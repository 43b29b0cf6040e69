#include "Gateway/RolloutRecords.h"

#include "Common/JsonFields.h"
#include "Gateway/GatewayKeys.h"

namespace Pollenwind::RolloutRecords {

using JsonFields::Json;
using JsonFields::readNumber;
using JsonFields::readString;

std::string keyOf(const ServiceId& service) { return std::string(rolloutRecordPrefix) + service.value(); }

std::string encode(const RolloutRecord& record)
{
    const auto orderedAt = std::chrono::duration_cast<std::chrono::milliseconds>(record.orderedAt);
    return Json {
        { "order", record.order }, { "target", record.target.value() }, { "state", std::string(nameOf(record.state)) },
        { "ordered_at_ms", orderedAt.count() }, { "vm", record.vm.value() }, { "token", record.token },
        { "reason", std::string(nameOf(record.reason)) }, { "evidence", record.evidence }
    }.dump();
}

Outcome<RolloutRecord> decode(const ServiceId& service, std::string_view value)
{
    const auto json = Json::parse(value, nullptr, false);
    const auto state
        = json.is_object() ? fromName<RolloutState>(readString(json, "state")) : std::optional<RolloutState>();
    if (!state) {
        return fail(ErrorCode::Malformed, "the roll-out's record is unreadable");
    }
    RolloutRecord record;
    record.service = service;
    record.order = readNumber(json, "order");
    record.target = VersionId(readString(json, "target"));
    record.state = *state;
    record.orderedAt = std::chrono::milliseconds(readNumber(json, "ordered_at_ms"));
    record.vm = VmId(readString(json, "vm"));
    record.token = readNumber(json, "token");
    record.reason = fromName<MoveReason>(readString(json, "reason")).value_or(MoveReason::None);
    record.evidence = readString(json, "evidence");
    return record;
}

} // namespace Pollenwind::RolloutRecords
