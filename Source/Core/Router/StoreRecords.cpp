#include "Router/StoreRecords.h"

#include "Common/JsonFields.h"
namespace Pollenwind {

namespace {

    using JsonFields::Json;
    using JsonFields::readString;

} // namespace

std::string encodeConfigurationRecord(const ConfigurationRecord& record)
{
    return Json {
        { "change", record.change }, { "operator", record.operatorName }, { "recent", record.recentChanges },
        { "document", record.document }
    }.dump();
}

Outcome<ConfigurationRecord> decodeConfigurationRecord(std::string_view text)
{
    const auto json = Json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("document")) {
        return fail(ErrorCode::Malformed, "the configuration record cannot be decoded");
    }
    ConfigurationRecord record;
    record.change = readString(json, "change");
    record.operatorName = readString(json, "operator");
    record.document = readString(json, "document");
    for (const auto& id : json.value("recent", Json::array())) {
        if (id.is_string()) {
            record.recentChanges.push_back(id.get<std::string>());
        }
    }
    return record;
}

std::string encodeKeyRecord(const KeyRecord& record)
{
    return Json { { "organisation", record.organisation.value() }, { "state", nameOf(record.state) } }.dump();
}

Outcome<KeyRecord> decodeKeyRecord(std::string_view digestHex, std::string_view text)
{
    const auto digest = digestFromHex(digestHex);
    const auto json = Json::parse(text, nullptr, false);
    const auto state = json.is_object() ? fromName<KeyState>(readString(json, "state")) : std::nullopt;
    if (!digest || !state) {
        return fail(ErrorCode::Malformed, "a key record cannot be decoded");
    }
    return KeyRecord { *digest, OrganisationId(readString(json, "organisation")), *state };
}

std::string encodeShareRecord(const ShareRecord& record)
{
    Json zones = Json::array();
    for (const auto& zone : record.layout.zones) {
        zones.push_back(zone.value());
    }
    Json slots = Json::array();
    for (const auto& [slot, holder] : record.holders) {
        slots.push_back({ { "zone", slot.zone.value() }, { "group", slot.group }, { "index", slot.index },
            { "vm", holder.vm.value() }, { "incarnation", holder.incarnation.value() },
            { "peers", holder.peers.toString() }, { "since_ns", holder.since.count() } });
    }
    return Json {
        { "layout", { { "number", record.layout.number }, { "zones", zones }, { "groups", record.layout.groups } } },
        { "slots", slots }
    }.dump();
}

Outcome<ShareRecord> decodeShareRecord(std::string_view text)
{
    // Fields that are missing or of a wrong type throw nlohmann exceptions, which are caught here.
    try {
        const auto json = Json::parse(text);
        ShareRecord record;
        const auto& layout = json.at("layout");
        record.layout.number = layout.at("number").get<std::uint32_t>();
        record.layout.groups = layout.at("groups").get<std::uint32_t>();
        for (const auto& zone : layout.at("zones")) {
            record.layout.zones.emplace_back(zone.get<std::string>());
        }
        for (const auto& it : json.at("slots")) {
            const ShareSlotId slot { ZoneId(it.at("zone").get<std::string>()), it.at("group").get<std::uint32_t>(),
                it.at("index").get<std::uint32_t>() };
            auto peers = parseEndpoint(it.at("peers").get<std::string>());
            if (!peers || slot.group >= record.layout.groups || slot.index >= ShareLayout::slotsPerGroup) {
                return fail(ErrorCode::Malformed, "the allocation record cannot be decoded");
            }
            record.holders.emplace(slot,
                ShareHolder { VmId(it.at("vm").get<std::string>()),
                    Incarnation(it.at("incarnation").get<std::uint64_t>()), std::move(*peers),
                    WallTime(it.at("since_ns").get<std::int64_t>()) });
        }
        return record;
    } catch (const Json::exception&) {
        return fail(ErrorCode::Malformed, "the allocation record cannot be decoded");
    }
}

} // namespace Pollenwind
