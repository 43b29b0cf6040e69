#include "Router/StoreRecords.h"

#include <nlohmann/json.hpp>

namespace Pollenwind {

namespace {

    using Json = nlohmann::json;

    std::string readString(const Json& object, const char* name)
    {
        const auto it = object.find(name);
        return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
    }

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
        return fail(ErrorCode::Malformed, "the configuration record is damaged");
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
        return fail(ErrorCode::Malformed, "a key record is damaged");
    }
    return KeyRecord { *digest, OrganisationId(readString(json, "organisation")), *state };
}

} // namespace Pollenwind
