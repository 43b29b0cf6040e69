#include "Common/JsonFields.h"
#include "Gateway/QuarantineRecords.h"
#include "platform/PlatformRecords.h"
#include "platform/PlatformRequests.h"
#include "platform/PlatformSettings.h"

#include <criterion/criterion.h>

#include <functional>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

using JsonFields::Json;

constexpr std::size_t deepLevels = 100'000;

Json goodEntry()
{
    return { { "service", "app" }, { "address", "10.0.0.1:80" }, { "zone", "a" }, { "version", "v1" }, { "slots", 8 },
        { "state", "ready" }, { "cold_left_ms", 0 }, { "seq", 4 }, { "born", 1'796'380'000'123 },
        { "models", Json::array({ { { "name", "m" }, { "version", 3 } } }) } };
}

/// The text of a good entry with one field replaced by other JSON text.
std::string entryWith(const char* field, const std::string& value)
{
    constexpr std::string_view mark = "\"@\"";
    auto json = goodEntry();
    json[field] = "@";
    auto text = json.dump();
    return text.replace(text.find(mark), mark.size(), value);
}

/// Replaces each "@" of a text.
std::string replaceMarks(const std::string& text, const std::string& value)
{
    std::string replaced;
    for (const char c : text) {
        c == '@' ? replaced.append(value) : replaced.append(1, c);
    }
    return replaced;
}

std::string nested(std::size_t levels, const std::string& open, const std::string& close)
{
    std::string text;
    for (std::size_t i = 0; i < levels; ++i) {
        text += open;
    }
    text += "1";
    for (std::size_t i = 0; i < levels; ++i) {
        text += close;
    }
    return text;
}

Outcome<DecodedRecord> decode(const std::string& key, const std::string& value)
{
    return PlatformRecords().decode({ key, value, 1, LeaseId() });
}

} // namespace

// Guards against using a runner whose entry another writer left in the list, or ending the process while reading it.
Test(PlatformRecords, namesNoRunnerInAnOddEntry)
{
    cr_assert(decode("servers/i-1", goodEntry().dump()).has_value());
    struct Case {
        const char* field;
        std::vector<std::string> values;
    };
    const std::string longText = "\"" + std::string(1'000'000, 'x') + "\"";
    const std::vector<std::string> notWhole { "-1", "1.5", "1e3", "1e300", "1e400", "99999999999999999999",
        "18446744073709551615", std::string(40, '9'), "NaN", "\"4\"", "null", "true", "[]", "{}" };
    const std::vector<std::string> notName { "\"\"", "7", "null", "[]", R"("a\r\nb")", R"("a\u0000")", R"("\u001b[2J")",
        "\"\xff\xfe\"", R"("\ud800")", longText };
    const std::vector<Case> cases {
        { "service", notName },
        { "zone", notName },
        { "version", { "7", "null", "{}", R"("v1\n")", "\"\xff\"", longText } },
        { "address",
            { "7", "null", "\"\"", "\":80\"", "\"10.0.0.1\"", "\"10.0.0.1:\"", "\"10.0.0.1:0\"", "\"10.0.0.1:65536\"",
                "\"10.0.0.1:70000\"", "\"10.0.0.1:-1\"", "\"10.0.0.1:80a\"", "\"10.0.0.1: 80\"", "\"10.0.0.1:1e2\"",
                "\"[::1]:80\"", "\"::1:80\"", "\"host:80\"", "\"0.0.0.0:80\"", "\"255.255.255.255:80\"",
                "\"224.0.0.1:80\"", R"("10.0.0.1\u0000:80")", longText } },
        { "slots", notWhole },
        { "slots", { "0", "4294967295", "4294967296", "4294967304" } },
        { "state", { "\"gone\"", "\"Ready\"", "\"\"", "1", "null", longText } },
        { "seq", notWhole },
        { "cold_left_ms", { "-1", "1e400", "\"0\"", "null", "[]" } },
        { "born", notWhole },
        { "models",
            { "7", "{}", "null", "[7]", "[null]", R"([{"version":1}])", R"([{"name":"","version":1}])",
                R"([{"name":7,"version":1}])", R"([{"name":"m"}])", R"([{"name":"m","version":"1"}])",
                R"([{"name":"m","version":-1}])", R"([{"name":"m","version":1e300}])",
                R"([{"name":"m","version":99999999999999999999}])" } },
        { "more",
            { nested(deepLevels, "[", "]"), nested(deepLevels, "{\"a\":", "}"), nested(1000, "[", "]"),
                std::string(deepLevels, '['), "1e400", "\"\xc3\x28\"" } },
        { "service", { nested(deepLevels, "[", "]") } },
        { "models", { nested(deepLevels, "[", "]"), nested(deepLevels, "[{\"name\":", "}]") } },
    };
    unsigned accepted = 0;
    for (const auto& it : cases) {
        for (const auto& value : it.values) {
            if (decode("servers/i-1", entryWith(it.field, value))) {
                ++accepted;
                cr_log_error("accepted: %s: %s", it.field, value.substr(0, 60).c_str());
            }
        }
    }
    for (const auto* key : { "servers/", "servers/a b", "servers/a\r\nX-Hold: 1", "servers/\x7f", "servers/\xff" }) {
        if (decode(key, goodEntry().dump())) {
            ++accepted;
            cr_log_error("accepted: key %s", key);
        }
    }
    for (const auto& text : { nested(deepLevels, "[", "]"), nested(deepLevels, "{\"service\":", "}"),
             std::string(deepLevels, '['), std::string("1e400"), std::string("\0", 1), std::string() }) {
        accepted += decode("servers/i-1", text) ? 1 : 0;
    }
    cr_assert_eq(accepted, 0, "%u odd entries name a runner", accepted);
}

// Guards against rejecting the runners of a deployment whose entries have further fields, and against using those of
// another writer, which lack fields that each runner writes.
Test(PlatformRecords, readsEntriesWithAllFieldsThatEachRunnerWrites)
{
    // Runners of some deployments tell no start time, and only engines have models.
    for (const auto* field : { "born", "models" }) {
        auto json = goodEntry();
        json.erase(field);
        cr_assert(decode("servers/i-1", json.dump()).has_value(), "%s", field);
    }
    for (const auto* field : { "service", "address", "zone", "version", "slots", "state", "cold_left_ms", "seq" }) {
        auto json = goodEntry();
        json.erase(field);
        cr_assert(!decode("servers/i-1", json.dump()), "%s", field);
    }
    cr_assert(decode("servers/i-1", entryWith("stage", "\"warm\"")).has_value());
    cr_assert(decode("servers/i-1", entryWith("more", nested(8, "[", "]"))).has_value());
    cr_assert(decode("servers/i-1", entryWith("cold_left_ms", "12.5")).has_value());
    cr_assert(decode("servers/i-1", entryWith("zone", "\"z\xc3\xbcrich\"")).has_value());
    const auto longKey = "servers/" + std::string(192, 'i');
    cr_assert(decode(longKey, goodEntry().dump()).has_value());
}

// Guards against undefined conversions and overflowing times when a number of the operator's records is out of range.
Test(PlatformRecords, readsRecordsWithNumbersOutOfRange)
{
    for (const auto* number :
        { "1e300", "-1e300", "1e18", "-1", "1.5", "99999999999999999999", "18446744073709551615", "\"7\"", "null" }) {
        const std::string value = number;
        const auto configuration = decode("op/config",
            replaceMarks(R"({"version":@,"routes":[{"name":"r","prefix":"/","service":"a","timeout_ms":@,"goal_ms":@,
                "priority":@,"max_attempts":@}],"services":[{"name":"a","max_conns":@,"engine":{"slots":@,
                "kv_capacity":@}}],"tenants":[{"name":"t","priority":@}],"limits":{"max_header_bytes":@,
                "max_body_bytes":@,"header_timeout_ms":@,"idle_timeout_ms":@}})",
                value));
        cr_assert(configuration.has_value(), "%s", number);
        const auto& routing = std::get<RoutingConfiguration>(*configuration);
        const auto& route = routing.routes.at(0);
        for (const auto time :
            { route.timeout, route.objective, routing.limits.headerTimeout, routing.limits.idleTimeout }) {
            cr_assert(time >= 0ms && time <= 24h * 366, "%s: %lld ms", number, static_cast<long long>(time.count()));
        }
        cr_assert(route.maxAttempts >= 1 && route.maxAttempts <= 1000 && routing.limits.bodyBytes > 0, "%s", number);
        const auto order = decode("op/rollout/a", R"({"service":"a","target":"v2","duration_s":)" + value + "}");
        if (order) {
            const auto duration = std::get<RolloutOrder>(*order).duration;
            cr_assert(duration > 0ms && duration <= 24h * 366, "%s", number);
        }
        cr_assert(
            !decode("op/version/m", R"({"model":"m","version":)" + value + "}") || value == "\"7\"", "%s", number);
    }
    for (const auto* key : { "op/config", "op/version/m", "op/rollout/a" }) {
        cr_assert(!decode(key, nested(deepLevels, "{\"a\":", "}")), "%s", key);
        cr_assert(!decode(key, "\xff"), "%s", key);
    }
}

// Guards against an exception that ends the task which writes the records, when the store returns a record whose key is
// shorter than the prefix.
Test(QuarantineRecords, rejectsARecordWithAShortKey)
{
    for (const auto* key : { "", "p", "pollenwind/quarantine", "pollenwind/quarantine/", "servers/a" }) {
        cr_assert(!QuarantineRecords::decode(key, "3 1 quarantined"), "%s", key);
    }
    cr_assert(QuarantineRecords::decode("pollenwind/quarantine/a", "3 1 quarantined").has_value());
}

// Guards against a caller's time limit that overflows in nanoseconds and then counts as exceeded.
Test(PlatformRequests, cutsTimeLimitsThatOverflow)
{
    const std::vector<std::pair<std::string, std::chrono::milliseconds>> cases { { "9223372036854775807", 24h },
        { "9223372036855", 24h }, { "-9223372036854775808", 0ms }, { "86400001", 24h }, { "6000", 6000ms } };
    for (const auto& [text, time] : cases) {
        const auto request = PlatformRequests().decodeRequest(
            { "GET", "/", "", { { "X-Request-Id", "q" }, { "X-Deadline-Ms", text } }, "" });
        cr_assert(request && request->timeout == time, "%s", text.c_str());
    }
}

// Guards against listening on other ports than those of the settings, and against bounds that overflow.
Test(PlatformSettings, rejectsPortsOutOfRange)
{
    const auto parse = [](const std::string& ports, const std::string& bound) {
        const std::string text = R"({"node":"e","zone":"a","listen":{"front":"10.1.0.2:80","ready":"10.1.0.2:81"},
            "provider":{"address":"10.1.0.3:80"},"bounds":{"grace_s":@,"quota_window_s":@,"retry_window_s":@,
            "drain_ms":@},"port_range":)";
        return parsePlatformSettings(replaceMarks(text, bound) + ports + "}");
    };
    cr_assert(parse("[7600,7609]", "6").has_value());
    for (const auto* ports : { "[0,9]", "[65535,65536]", "[70000,70009]", "[-1,5]", "[7600,7600]", "[7600,7599]",
             "[7600,70000]", "[7600,\"7601\"]", "[7600.5,7602]", "[7600]", "[4294974896,4294974897]", "7600" }) {
        cr_assert(!parse(ports, "6"), "%s", ports);
    }
    for (const auto* bound : { "1e300", "-1e300", "99999999999999999999", "1e18" }) {
        const auto settings = parse("[7600,7609]", bound);
        cr_assert(settings.has_value(), "%s", bound);
        cr_assert(settings->gateway.shutdownTimeLimit >= 0ms && settings->gateway.shutdownTimeLimit <= 24h * 366);
        cr_assert(settings->gateway.retries.window >= 1s && settings->gateway.retries.window <= 24h * 366);
    }
}
