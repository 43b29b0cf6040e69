#include "Gateway/QuotaRecord.h"

#include "Common/JsonFields.h"

#include <algorithm>
#include <charconv>

namespace Pollenwind::QuotaRecordCodec {

namespace {

    using JsonFields::Json;

    std::optional<std::uint64_t> toHash(std::string_view text)
    {
        std::uint64_t hash = 0;
        const auto result = std::from_chars(text.data(), text.data() + text.size(), hash);
        return result.ec == std::errc() && result.ptr == text.data() + text.size() ? std::optional(hash) : std::nullopt;
    }

} // namespace

std::string encode(const QuotaRecord& record)
{
    auto heavy = Json::array();
    for (const auto hash : record.heavy) {
        heavy.push_back(std::to_string(hash));
    }
    const auto writtenAt = std::chrono::duration_cast<std::chrono::milliseconds>(record.writtenAt);
    return Json {
        { "written_at_ms", writtenAt.count() }, { "era", record.era.value() },
        { "rules", std::to_string(record.rules) }, { "heavy", std::move(heavy) }
    }.dump();
}

Outcome<QuotaRecord> decode(std::string_view value)
{
    const auto json = JsonFields::parseObject(value);
    const auto heavy = json ? json->find("heavy") : Json::const_iterator();
    const auto rules = json ? toHash(JsonFields::readString(*json, "rules")) : std::nullopt;
    const auto writtenAt = json ? JsonFields::readNumber(*json, "written_at_ms") : 0;
    // A year beyond which milliseconds would overflow the time in nanoseconds.
    constexpr std::int64_t maxMilliseconds = 9'000'000'000'000;
    if (!rules || heavy == json->end() || !heavy->is_array() || heavy->size() > maxOrganisations || writtenAt <= 0
        || writtenAt > maxMilliseconds) {
        return fail(ErrorCode::Malformed, "the quota record is unreadable");
    }
    QuotaRecord record { std::chrono::milliseconds(writtenAt), StoreEra(JsonFields::readNumber(*json, "era")), *rules };
    for (const auto& it : *heavy) {
        const auto hash = it.is_string() ? toHash(it.get_ref<const std::string&>()) : std::nullopt;
        if (!hash) {
            return fail(ErrorCode::Malformed, "the quota record names an unreadable organisation");
        }
        record.heavy.push_back(*hash);
    }
    std::ranges::sort(record.heavy);
    return record;
}

} // namespace Pollenwind::QuotaRecordCodec
