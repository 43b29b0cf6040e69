#include "Store/EtcdCodec.h"

#include "Common/Digest.h"
#include "Common/JsonFields.h"

#include <charconv>

namespace Pollenwind::EtcdCodec {

namespace {

    using JsonFields::Json;
    using JsonFields::readNumber;
    using JsonFields::readString;

    Json parse(std::string_view body) { return Json::parse(body, nullptr, false); }

    std::unexpected<Error> malformed(std::string_view what)
    {
        return fail(ErrorCode::StoreUnavailable, "the store sent a malformed " + std::string(what), RunState::Unknown);
    }

    std::string readBytes(const Json& object, const char* name)
    {
        const auto it = object.find(name);
        if (it == object.end() || !it->is_string()) {
            return {};
        }
        return base64Decode(it->get_ref<const std::string&>()).value_or(std::string());
    }

    const Json& member(const Json& object, const char* name)
    {
        static const Json s_none = Json::object();
        if (!object.is_object()) {
            return s_none;
        }
        const auto it = object.find(name);
        return it == object.end() ? s_none : *it;
    }

    StoreEntry toEntry(const Json& pair)
    {
        StoreEntry entry;
        entry.key = readBytes(pair, "key");
        entry.value = readBytes(pair, "value");
        entry.modRevision = readNumber(pair, "mod_revision");
        entry.lease = LeaseId(readNumber(pair, "lease"));
        return entry;
    }

    Json compareRevision(std::string_view key, std::int64_t expected)
    {
        return { { "key", base64Encode(key) }, { "target", "MOD" }, { "result", "EQUAL" },
            { "mod_revision", std::to_string(expected) } };
    }

    std::string encodeTransaction(std::string_view key, std::int64_t expectedRevision, Json success)
    {
        const Json readBack = { { "request_range", { { "key", base64Encode(key) } } } };
        const Json body = { { "compare", Json::array({ compareRevision(key, expectedRevision) }) },
            { "success", Json::array({ std::move(success) }) }, { "failure", Json::array({ readBack }) } };
        return body.dump();
    }

} // namespace

std::string prefixEnd(std::string prefix)
{
    while (!prefix.empty()) {
        const auto last = static_cast<unsigned char>(prefix.back());
        if (last != 0xff) {
            prefix.back() = static_cast<char>(last + 1);
            return prefix;
        }
        prefix.pop_back();
    }
    return std::string(1, '\0');
}

std::string encodeRange(std::string_view key, bool isPrefix)
{
    Json body = { { "key", base64Encode(key) } };
    if (isPrefix) {
        body["range_end"] = base64Encode(prefixEnd(std::string(key)));
    }
    return body.dump();
}

std::string encodeSwap(std::string_view key, std::int64_t expectedRevision, std::string_view value, LeaseId lease)
{
    Json put = { { "key", base64Encode(key) }, { "value", base64Encode(value) } };
    if (lease.value() != 0) {
        put["lease"] = std::to_string(lease.value());
    }
    return encodeTransaction(key, expectedRevision, { { "request_put", std::move(put) } });
}

std::string encodeErase(std::string_view key, std::int64_t expectedRevision)
{
    return encodeTransaction(key, expectedRevision, { { "request_delete_range", { { "key", base64Encode(key) } } } });
}

std::string encodeWatch(std::string_view prefix, std::int64_t fromRevision)
{
    const Json request
        = { { "key", base64Encode(prefix) }, { "range_end", base64Encode(prefixEnd(std::string(prefix))) },
              { "start_revision", std::to_string(fromRevision) }, { "progress_notify", true } };
    return Json { { "create_request", request } }.dump();
}

std::string encodeLeaseGrant(std::chrono::seconds timeToLive)
{
    return Json { { "TTL", std::to_string(timeToLive.count()) } }.dump();
}

std::string encodeLeaseId(LeaseId lease) { return Json { { "ID", std::to_string(lease.value()) } }.dump(); }

Outcome<StoreRange> decodeRange(std::string_view body)
{
    const auto json = parse(body);
    if (!json.is_object() || !json.contains("header")) {
        return malformed("range");
    }
    StoreRange range;
    range.revision = readNumber(member(json, "header"), "revision");
    for (const auto& pair : member(json, "kvs")) {
        range.entries.push_back(toEntry(pair));
    }
    return range;
}

Outcome<SwapResult> decodeSwap(std::string_view body)
{
    const auto json = parse(body);
    if (!json.is_object() || !json.contains("header")) {
        return malformed("transaction result");
    }
    SwapResult result;
    const auto& succeeded = member(json, "succeeded");
    result.isSwapped = succeeded.is_boolean() && succeeded.get<bool>();
    result.revision = readNumber(member(json, "header"), "revision");
    if (!result.isSwapped) {
        for (const auto& response : member(json, "responses")) {
            for (const auto& pair : member(member(response, "response_range"), "kvs")) {
                result.found = toEntry(pair);
            }
        }
    }
    return result;
}

Outcome<StoreEvents> decodeWatchLine(std::string_view line)
{
    const auto json = parse(line);
    if (!json.is_object()) {
        return malformed("watch event");
    }
    const auto& result = member(json, "result");
    if (!result.is_object() || !result.contains("header") || member(result, "canceled") == Json(true)) {
        return fail(ErrorCode::StoreUnavailable, "the store cancelled the watch", RunState::Unknown);
    }
    StoreEvents events;
    events.revision = readNumber(member(result, "header"), "revision");
    for (const auto& event : member(result, "events")) {
        events.events.push_back({ readString(event, "type") == "DELETE", toEntry(member(event, "kv")) });
    }
    return events;
}

Outcome<LeaseId> decodeLeaseGrant(std::string_view body)
{
    const auto json = parse(body);
    const auto id = json.is_object() ? readNumber(json, "ID") : 0;
    if (id == 0) {
        return malformed("lease");
    }
    return LeaseId(id);
}

Outcome<std::chrono::seconds> decodeKeepAlive(std::string_view body)
{
    const auto json = parse(body);
    if (!json.is_object() || !json.contains("result")) {
        return malformed("lease renewal");
    }
    const auto timeToLive = readNumber(member(json, "result"), "TTL");
    if (timeToLive <= 0) {
        return fail(ErrorCode::NotFound, "the lease has expired");
    }
    return std::chrono::seconds(timeToLive);
}

std::string encodeListedVm(const ListedVm& vm)
{
    return Json {
        { "vm", vm.vm.value() }, { "zone", vm.zone.value() }, { "peers", vm.peers.toString() },
        { "admin", vm.admin.toString() }, { "state", nameOf(vm.state) }
    }.dump();
}

Outcome<VmList> decodeVmList(std::string_view body)
{
    const auto json = parse(body);
    if (!json.is_object() || !member(json, "vms").is_array()) {
        return malformed("VM list");
    }
    VmList list;
    list.revision = readNumber(json, "revision");
    for (const auto& item : member(json, "vms")) {
        const auto peers = parseEndpoint(readString(item, "peers"));
        const auto admin = parseEndpoint(readString(item, "admin"));
        const auto state = fromName<ListedVmState>(readString(item, "state"));
        if (!peers || !admin || !state) {
            return malformed("VM list");
        }
        list.vms.push_back({ VmId(readString(item, "vm")), ZoneId(readString(item, "zone")), *peers, *admin, *state });
    }
    return list;
}

} // namespace Pollenwind::EtcdCodec
