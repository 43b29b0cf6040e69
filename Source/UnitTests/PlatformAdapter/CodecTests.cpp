#include "Common/JsonFields.h"
#include "platform/PlatformRecords.h"
#include "platform/PlatformRequests.h"
#include "platform/PlatformSettings.h"

#include <criterion/criterion.h>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

HttpRequest makeMessage(HttpHeaders headers)
{
    HttpRequest message { "POST", "/lepu270/2f", "a=1", std::move(headers), "body" };
    return message;
}

bool hasHeader(const HttpHeaders& headers, std::string_view name) { return findHeader(headers, name).has_value(); }

StoreEntry entry(std::string key, std::string value) { return { std::move(key), std::move(value), 1, LeaseId() }; }

template <typename T> T decode(std::string key, std::string value)
{
    const auto record = PlatformRecords().decode(entry(std::move(key), std::move(value)));
    cr_assert(record && std::holds_alternative<T>(*record));
    return std::get<T>(*record);
}

constexpr auto runnerText = R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"kef-a","version":"v1",
    "slots":64,"state":"ready","cold_left_ms":0,"models":[{"name":"daka510000","version":3}],"seq":4,
    "born":1796380000123})";

} // namespace

// Guards against forwarding a caller's key or hop-by-hop headers to a runner, and against changing the request.
Test(PlatformRequests, forwardsOnlyEndToEndHeaders)
{
    const PlatformRequests codec;
    const auto request = codec.decodeRequest(makeMessage({ { "Host", "jepu9.example:80" }, { "X-Request-Id", "q1" },
        { "Authorization", "Token secret" }, { "X-Deadline-Ms", "6000" }, { "X-Model", "daka510000" },
        { "X-Token-Count", "1460,80" }, { "X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410" }, { "X-Tenant", "forged" },
        { "X-Cache-Salt", "forged" }, { "Kv-From", "forged" }, { "X-Hold", "forged" }, { "Connection", "x-hop" },
        { "X-Hop", "1" }, { "Accept", "a" }, { "Accept", "b" } }));
    cr_assert(request.has_value());
    cr_assert_eq(request->host, "jepu9.example");
    cr_assert(request->keyDigest == sha256("secret"));
    cr_assert(request->timeout == 6000ms);
    cr_assert(request->tokens->prompt == 1460 && request->tokens->maxOutput == 80);
    cr_assert(request->parts.size() == 2 && request->parts[0].id == 0x5c1e07a2 && request->parts[1].tokens == 410);
    AttemptTerms terms;
    terms.runner = UpstreamId("i-1");
    terms.organisation = OrganisationId("sese880");
    terms.timeout = 5900ms;
    const auto message = codec.encodeAttempt(*request, terms);
    cr_assert_eq(message.target(), "/lepu270/2f?a=1");
    cr_assert(message.body.empty(), "a copy that no budget counts");
    cr_assert_eq(request->message.body, "body");
    for (const auto* name : { "Authorization", "Kv-From", "X-Hold", "Connection", "X-Hop", "X-Cache-Salt" }) {
        cr_assert(!hasHeader(message.headers, name), "%s", name);
    }
    cr_assert_eq(*findHeader(message.headers, "X-Tenant"), "sese880");
    cr_assert_eq(*findHeader(message.headers, "X-Deadline-Ms"), "5900");
    cr_assert_eq(*findHeader(message.headers, "X-Expect-Instance"), "i-1");
    cr_assert_eq(std::ranges::count_if(message.headers, [](const auto& it) { return it.first == "Accept"; }), 2);
}

// Guards against malformed optional headers that fail a request or are read as numbers.
Test(PlatformRequests, ignoresMalformedMetadata)
{
    const PlatformRequests codec;
    for (const auto* text : { "", ",", "1", "x,y", "1,", "-1,2", "99999999999,1" }) {
        const auto request = codec.decodeRequest(makeMessage({ { "X-Request-Id", "q" }, { "X-Token-Count", text } }));
        cr_assert(request && !request->tokens, "%s", text);
    }
    for (const auto* text : { "", ":", "zz:1", "1:", "1:2,,", "1:2;3" }) {
        const auto request = codec.decodeRequest(makeMessage({ { "X-Request-Id", "q" }, { "X-Prompt-Prefix", text } }));
        cr_assert(request && request->parts.empty(), "%s", text);
    }
    cr_assert(!codec.decodeRequest(makeMessage({})));
}

struct ReplyCase {
    int status;
    HttpHeaders headers;
    ReplyKind kind;
};

// Guards against accepting the response to another request, a success without id or stamp, or a refusal as a response.
Test(PlatformRequests, classifiesReplies)
{
    const std::pair<std::string, std::string> id { "X-Request-Id", "q" };
    const std::pair<std::string, std::string> stamp { "X-Server-Stamp", "s" };
    const std::pair<std::string, std::string> notRun { "X-Not-Run", "1" };
    const std::vector<ReplyCase> cases { { 200, { id, stamp }, ReplyKind::Answer },
        { 500, { id, stamp }, ReplyKind::Answer }, { 200, { id }, ReplyKind::Malformed },
        { 200, { stamp }, ReplyKind::Malformed }, { 502, {}, ReplyKind::Malformed },
        { 503, { id, notRun }, ReplyKind::NotRun }, { 503, { notRun }, ReplyKind::NotRun },
        { 421, {}, ReplyKind::Misdirected }, { 503, { id, stamp }, ReplyKind::Answer },
        { 200, { { "X-Request-Id", "p" }, stamp }, ReplyKind::Stray },
        { 503, { { "X-Request-Id", "p" }, notRun }, ReplyKind::Stray } };
    for (const auto& it : cases) {
        const auto reply = PlatformRequests().decodeReply({ it.status, it.headers }, RequestId("q"));
        cr_assert(reply.kind == it.kind, "%d with %zu headers", it.status, it.headers.size());
    }
}

// Guards against taking a sound runner out of use because of a late copy of the response to another request, of a
// response of another process at its address, or of a malformed response that no runner has signed.
Test(PlatformRequests, relatesAnAnnouncedShutdownToItsRunner)
{
    struct Case {
        int status;
        HttpHeaders headers;
        bool isFirstOnConnection;
        bool isOfRunner;
    };
    const std::pair<std::string, std::string> id { "X-Request-Id", "q" };
    const std::pair<std::string, std::string> otherId { "X-Request-Id", "p" };
    const std::pair<std::string, std::string> stamp { "X-Server-Stamp", "s" };
    const std::pair<std::string, std::string> notRun { "X-Not-Run", "1" };
    const std::pair<std::string, std::string> own { "X-Instance-Id", "i-1" };
    const std::pair<std::string, std::string> other { "X-Instance-Id", "i-2" };
    const std::vector<Case> cases {
        { 200, { id, stamp }, false, true },
        { 200, { id, stamp, own }, false, true },
        { 200, { id, stamp, other }, false, false },
        { 200, { otherId, stamp }, true, false },
        { 500, { stamp }, false, true },
        { 503, { id, notRun }, false, true },
        { 503, { notRun }, true, true },
        { 503, { notRun }, false, false },
        { 503, { otherId, notRun }, true, false },
        { 421, { own }, false, true },
        { 421, { other }, true, false },
        { 421, {}, true, false },
        { 200, { stamp }, true, true },
        { 200, { stamp }, false, false },
        { 200, { id }, true, false },
        { 502, {}, true, false },
    };
    for (const auto& it : cases) {
        auto headers = it.headers;
        headers.emplace_back("server-leaving", "1");
        auto reply = PlatformRequests().decodeReply({ it.status, headers }, RequestId("q"));
        cr_assert(reply.isLeaving);
        reply.origin.isFirstOnConnection = it.isFirstOnConnection;
        cr_assert_eq(reply.showsStateOf(UpstreamId("i-1")), it.isOfRunner, "case %td", &it - cases.data());
    }
    for (const auto* value : { "0", "", "yes" }) {
        const HttpHeaders headers { id, stamp, { "Server-Leaving", value } };
        cr_assert(!PlatformRequests().decodeReply({ 200, headers }, RequestId("q")).isLeaving, "%s", value);
    }
}

// Guards against a time of a refusal that is read wrongly: it would keep a sound runner out of use or send requests
// to a runner that wants none.
Test(PlatformRequests, readsTheTimeOfARefusal)
{
    const auto decode = [](int status, const std::string& value) {
        return PlatformRequests().decodeReply(
            { status, { { "X-Request-Id", "q" }, { "X-Not-Run", "1" }, { "Retry-After", value } } }, RequestId("q"));
    };
    const std::vector<std::pair<std::string, std::chrono::milliseconds>> times { { "2", 2000ms }, { "0.2", 200ms },
        { "1.2345", 1235ms }, { "0", 0ms }, { "7.", 7000ms }, { "99999999999", 24h }, { std::string(400, '9'), 24h } };
    for (const auto& [text, time] : times) {
        cr_assert(decode(503, text).unwantedFor == time, "%s", text.c_str());
    }
    for (const auto* text :
        { "", "-1", "+1", "1e3", "inf", "nan", "0x10", "1.2.3", "1 s", ".", "Fri, 04 Dec 2026 18:00:00 GMT" }) {
        const auto reply = decode(503, text);
        cr_assert(!reply.unwantedFor && reply.isUnwantedTimeInvalid, "%s", text);
    }
    cr_assert(!decode(429, "2").unwantedFor && !decode(200, "2").unwantedFor);
}

struct RefusalCase {
    ErrorCode code;
    RunState runState;
    int status;
};

// Guards against a status that guarantees "not executed" for a request that may have been executed.
Test(PlatformRequests, returns503OnlyForRequestsThatDidNotRun)
{
    constexpr std::array cases { RefusalCase { ErrorCode::Unavailable, RunState::NotRun, 503 },
        RefusalCase { ErrorCode::ConnectionLost, RunState::Unknown, 502 },
        RefusalCase { ErrorCode::DeadlineExceeded, RunState::Unknown, 504 },
        RefusalCase { ErrorCode::DeadlineExceeded, RunState::NotRun, 503 },
        RefusalCase { ErrorCode::RateExceeded, RunState::NotRun, 429 },
        RefusalCase { ErrorCode::KeyUnknown, RunState::NotRun, 401 },
        RefusalCase { ErrorCode::KeyUnconfirmed, RunState::NotRun, 503 },
        RefusalCase { ErrorCode::NoRoute, RunState::NotRun, 404 } };
    for (const auto& it : cases) {
        const auto answer = PlatformRequests().encodeRefusal({ it.code, "text", it.runState, 250ms }, RequestId("q"));
        cr_assert_eq(answer.status, it.status);
        cr_assert(!hasHeader(answer.headers, "X-Server-Stamp"));
        cr_assert_eq(hasHeader(answer.headers, "Retry-After"), it.status == 503 || it.status == 429);
    }
}

// Guards against mixing up the fields of a runner's entry.
Test(PlatformRecords, readsARunnersEntry)
{
    const auto runner = decode<RunnerEntry>("servers/i-7f3a91c2", runnerText);
    cr_assert(runner.id == UpstreamId("i-7f3a91c2") && runner.service == ServiceId("huvo11a"));
    cr_assert(runner.endpoint == (Endpoint { "10.128.0.9", 8080 }) && runner.slots == 64);
    cr_assert(runner.state == RunnerState::Ready && runner.incarnation == Incarnation(1796380000123));
    cr_assert(runner.software == VersionId("v1") && runner.weights.at("daka510000") == 3);
}

// Guards against using or crashing on an entry that is truncated, malformed or written by another program.
Test(PlatformRecords, rejectsTruncatedAndMalformedEntries)
{
    const std::string complete = runnerText;
    for (std::size_t n = 0; n < complete.size(); n += 7) {
        cr_assert(!PlatformRecords().decode(entry("servers/i-1", complete.substr(0, n))));
    }
    for (const auto* text :
        { "5", "[]", "null", "{}", R"({"service":"a","address":"10.0.0.1:80","zone":"z","slots":1})",
            R"({"service":"a","address":"10.0.0.1:80","zone":"z","slots":"1","state":"ready"})",
            R"({"service":"a","address":"10.0.0.1:80","zone":"z","slots":1,"state":"new"})",
            R"({"service":"a","address":7,"zone":"z","slots":1,"state":"ready"})", "\xff\xfe" }) {
        cr_assert(!PlatformRecords().decode(entry("servers/i-1", text)), "%s", text);
    }
}

// Guards against losing a part of the configuration.
Test(PlatformRecords, readsTheConfiguration)
{
    const auto configuration = decode<RoutingConfiguration>("op/config",
        R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","kind":"streaming","timeout_ms":6000,
        "goal_ms":800,"priority":1,"traffic_split":[{"service":"a","weight":90},{"service":"b","weight":10}],
        "max_attempts":2,"skip_auth":false,"allow_resume":true},{"name":"q","host":"h","prefix":"/q/","kind":"safe",
        "service":"b","skip_auth":true}],"services":[{"name":"a","health_path":"/health","max_conns":370,
        "engine":{"slots":64,"kv_capacity":101147,"models":[{"name":"m"}]}},
        {"name":"k","kv_store_addr":"172.20.0.2:8604","zone":"z"}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
        "tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1,"uncached_tokens":200,"isolated":true,
        "rate_per_s":96644,"burst":5}]})");
    cr_assert_eq(configuration.version, 7);
    const auto& route = configuration.routes.at(0);
    cr_assert(route.kind == RequestKind::Streaming && route.timeout == 6000ms && route.objective == 800ms);
    cr_assert(route.shares.size() == 2 && route.maxAttempts == 2 && route.isResumable && !route.isPublic);
    cr_assert(configuration.routes.at(1).isPublic && configuration.routes.at(1).shares.at(0).service == ServiceId("b"));
    cr_assert_eq(configuration.services.at(ServiceId("a")).engine->slots, 64);
    cr_assert(configuration.services.at(ServiceId("k")).cacheStore->endpoint == (Endpoint { "172.20.0.2", 8604 }));
    const auto& organisation = configuration.organisations.at(0);
    cr_assert(organisation.keyDigests.size() == 2 && organisation.isIsolated && organisation.priority == 1U);
    cr_assert_float_eq(organisation.rate, 96644, 1e-6);
    cr_assert(configuration.limits.idleTimeout == 15s && configuration.limits.bodyBytes == 4194304);
}

// Guards against routes that an empty list of organisations opens, or one that cannot be read.
Test(PlatformRecords, requiresKeysUnlessTheListOfOrganisationsIsMissing)
{
    const auto read = [](const std::string& organisations) {
        return decode<RoutingConfiguration>("op/config", R"({"version":1)" + organisations + "}");
    };
    cr_assert(!read("").requiresKeys);
    for (const auto* list : { "[]", "null", "{}", "7", "\"\"", "false", "[7]", R"([{"name":"org"}])" }) {
        cr_assert(read(std::string(R"(,"tenants":)") + list).requiresKeys, "%s", list);
    }
}

// Guards against an organisation that is admitted although a restriction of it cannot be read: without its name in the
// request, without its rate, or with access to the cache entries of others.
Test(PlatformRecords, leavesOutOrganisationsThatCannotBeRead)
{
    const auto read = [](const std::string& organisation) {
        return decode<RoutingConfiguration>(
            "op/config", R"({"version":1,"tenants":[)" + organisation + R"(,{"name":"good","api_keys":["k2"]}]})")
            .organisations;
    };
    const std::string sound = R"("name":"org","api_keys":["k1"],"rate_per_s":10,"burst":20,"uncached_tokens":200)";
    cr_assert_eq(read("{" + sound + R"(,"isolated":true,"priority":"first","later":{}})").size(), 2);
    struct Case {
        const char* field;
        std::vector<std::string> values;
    };
    const std::vector<std::string> notAmount { "-1", "\"10\"", "null", "true", "[]", "{}" };
    const std::vector<Case> cases {
        { R"("name":"org")",
            { R"("name":7)", R"("name":"")", R"("name":null)", R"("name":"a\r\nX-Hold: 1")", R"("id":1)" } },
        { R"("rate_per_s":10)", {} },
        { R"("burst":20)", {} },
        { R"("uncached_tokens":200)", {} },
    };
    for (const auto& it : cases) {
        auto values = it.values;
        for (const auto& value : values.empty() ? notAmount : std::vector<std::string>()) {
            const std::string field = it.field;
            values.push_back(field.substr(0, field.find(':') + 1) + value);
        }
        for (const auto& value : values) {
            auto odd = sound;
            odd.replace(odd.find(it.field), std::string_view(it.field).size(), value);
            const auto organisations = read("{" + odd + "}");
            cr_assert(
                organisations.size() == 1 && organisations.front().id == OrganisationId("good"), "%s", value.c_str());
        }
    }
    for (const auto* isolated : { "\"true\"", "1", "null", "[]" }) {
        cr_assert_eq(read("{" + sound + R"(,"isolated":)" + isolated + "}").size(), 1, "%s", isolated);
    }
    for (const auto* entry : { "7", "null", "[]", "\"org\"" }) {
        cr_assert_eq(read(entry).size(), 1, "%s", entry);
    }
    cr_assert(read(R"({"name":"org","api_keys":["",7,null]})").front().keyDigests.empty());
}

// The placement over cache stores needs their capacity, and must know when it is missing or absurd.
Test(PlatformRecords, readsTheCapacityOfACacheStore)
{
    const auto capacityOf = [](const std::string& field) {
        const auto configuration = decode<RoutingConfiguration>("op/config",
            R"({"version":1,"services":[{"name":"k","kv_store_addr":"172.20.0.2:8604","zone":"z")" + field + "}]}");
        return configuration.services.at(ServiceId("k")).cacheStore->capacityTokens;
    };
    cr_assert_eq(capacityOf(R"(,"kv_capacity":3067866,"link_mbps":120000)"), 3'067'866);
    for (const auto* field :
        { "", R"(,"kv_capacity":0)", R"(,"kv_capacity":-1)", R"(,"kv_capacity":"1")", R"(,"kv_capacity":1e300)" }) {
        cr_assert_eq(capacityOf(field), 0, "%s", field);
    }
}

// Guards against decoding keys of other writers, such as the routers themselves, as the operator's records.
Test(PlatformRecords, ignoresOtherKeys)
{
    for (const auto* key : { "pollenwind/vms/a", "op/rollouts/a", "op/", "status/rollout/a" }) {
        decode<std::monostate>(key, "no JSON");
    }
    cr_assert(decode<TargetWeights>("op/version/m", R"({"model":"m","version":2})").version == 2);
    cr_assert(!PlatformRecords().decode(entry("op/version/m", R"({"model":"m"})")));
}

// Guards against an evacuation that the operator has written and that is passed over because of its value, which means
// nothing.
Test(PlatformRecords, readsAnEvacuationWithAnyValue)
{
    for (const auto* value : { "{}", "", "{", "[1]", "\xff" }) {
        cr_assert(decode<ZoneEvacuation>("op/evacuate/kef-a", value).zone == ZoneId("kef-a"), "%s", value);
    }
    cr_assert(PlatformRecords().evacuationOf("op/evacuate/kef-b") == ZoneId("kef-b"));
    cr_assert(!PlatformRecords().evacuationOf("op/config"));
}

// Guards against a cold time that is lost, and against numbers that no runner can mean: they must neither overflow nor
// take the runner out of use.
Test(PlatformRecords, readsColdTimes)
{
    const auto read = [](const std::string& fields) {
        return decode<RunnerEntry>("servers/i-1",
            R"({"service":"s","address":"10.128.0.9:80","zone":"a","version":"v1","state":"ready","slots":4,"seq":1)"
                + fields + "}");
    };
    const std::string warm = R"(,"cold_left_ms":0)";
    cr_assert(read(R"(,"cold_left_ms":2500.5)").coldTime == 2501ms);
    cr_assert(read(warm).coldTime == 0ms && !read(warm).startedAt);
    cr_assert(read(R"(,"cold_left_ms":1e300)").coldTime > 24h);
    cr_assert(read(warm + R"(,"born":1796380000123)").startedAt == 1796380000123ms);
    cr_assert(!read(warm + R"(,"born":9223372036854775807)").startedAt);
    const auto configuration = decode<RoutingConfiguration>("op/config",
        R"({"version":1,"services":[{"name":"s","cold_s":8,"cold_per_s":7.7},{"name":"t","cold_s":-1,"cold_per_s":-2},
            {"name":"u","cold_s":1e300}]})");
    const auto& services = configuration.services;
    cr_assert(services.at(ServiceId("s")).coldTime == 8s);
    cr_assert_eq(services.at(ServiceId("s")).coldRequestsPerSecond, 7.7);
    cr_assert(services.at(ServiceId("t")).coldTime == 0s);
    cr_assert_eq(services.at(ServiceId("t")).coldRequestsPerSecond, 0);
    cr_assert(services.at(ServiceId("u")).coldTime > 24h);
}

// Guards against home regions that are not applied since a mistake in the list is passed over: data would leave its
// region.
Test(PlatformRecords, readsHomeRegions)
{
    const auto read = [](const std::string& list) {
        return decode<RoutingConfiguration>("op/config",
            R"({"version":1,"routes":[{"name":"r","allowed_regions":)" + list
                + R"(}],"tenants":[{"name":"o","allowed_regions":)" + list + "}]}");
    };
    const std::vector<std::pair<std::string, std::vector<RegionId>>> lists { { "[]", {} }, { "null", {} },
        { R"(["is-south","is-north"])", { RegionId("is-south"), RegionId("is-north") } },
        { R"("is-south")", { RegionId("is-south") } }, { "[7]", { RegionId() } }, { "{}", { RegionId() } },
        { "true", { RegionId() } } };
    for (const auto& [list, regions] : lists) {
        const auto configuration = read(list);
        cr_assert(configuration.routes.front().homeRegions == regions, "%s", list.c_str());
        cr_assert(configuration.organisations.front().homeRegions == regions, "%s", list.c_str());
    }
}

// Guards against requests for a service whose share of a route cannot be read.
Test(PlatformRecords, givesNothingToSharesThatCannotBeRead)
{
    const auto read = [](const std::string& fields) {
        return decode<RoutingConfiguration>("op/config", R"({"version":1,"routes":[{"name":"r")" + fields + "}]}")
            .routes.front()
            .shares;
    };
    for (const auto* weight : { "\"90\"", "-1", "null", "true", "[]" }) {
        const auto shares = read(std::string(R"(,"traffic_split":[{"service":"a","weight":)") + weight + "}]");
        cr_assert(shares.size() == 1 && shares.front().weight == 0, "%s", weight);
    }
    cr_assert_eq(read(R"(,"traffic_split":[{"service":"a"}])").front().weight, 1);
    for (const auto* split : { "{}", "7", "true", R"("a")" }) {
        cr_assert(read(std::string(R"(,"service":"b","traffic_split":)") + split).empty(), "%s", split);
    }
    for (const auto* split : { "[]", "null" }) {
        cr_assert_eq(read(std::string(R"(,"service":"b","traffic_split":)") + split).size(), 1, "%s", split);
    }
}

// Guards against a roll-out that is not started because its order cannot be read, or whose state the operator cannot
// read.
Test(PlatformRecords, readsOrdersOfRolloutsAndWritesTheirState)
{
    const PlatformRecords records;
    auto stored = entry("op/rollout/a", R"({"service":"a","target":"v2","duration_s":12.5})");
    stored.modRevision = 77;
    const auto order = std::get<RolloutOrder>(records.decode(stored).value());
    cr_assert(order.service == ServiceId("a") && order.target == VersionId("v2"));
    cr_assert(order.duration == 12500ms && order.revision == 77);
    cr_assert(records.rolloutOrderOf("op/rollout/a") == ServiceId("a") && !records.rolloutOrderOf("op/config"));
    for (const auto* text : { "5", "{}", R"({"service":"a","target":"v2"})", R"({"service":"a","duration_s":3})" }) {
        cr_assert(!records.decode(entry("op/rollout/a", text)), "%s", text);
    }
    const auto write = records.encodeStatus({ ServiceId("a"), VersionId("v2"), RolloutState::RolledBack });
    const auto json = JsonFields::Json::parse(write.value);
    cr_assert_eq(write.key, std::string("status/rollout/a"));
    cr_assert(json.at("state") == "rolled_back" && json.at("target") == "v2");
}

constexpr auto settingsText = R"({"node":"edge-1","zone":"a","listen":{"front":"10.1.0.24:8606",
    "ready":"10.1.0.24:8605"},"port_range":[7600,7615],"provider":{"address":"10.200.1.7:8601"},"later":1,"limits":{"memory_mb":110,"max_fds":2200},
    "bounds":{"revoke_ms":4000,"grace_s":6,"retry_ratio":0.3,"retry_slack":58,"retry_window_s":10,"version_ms":9000,
    "config_apply_ms":3500,"drain_ms":3000,"exposure_share":0.2,"exposure_slack":40}})";

// Guards against ignoring a bound that the platform sets.
Test(PlatformSettings, readsAddressesAndBounds)
{
    const auto settings = parsePlatformSettings(settingsText);
    cr_assert(settings.has_value());
    cr_assert(settings->store == (Endpoint { "10.200.1.7", 8601 }));
    const auto& gateway = settings->gateway;
    cr_assert(gateway.listenReports == (Endpoint { "10.1.0.24", 7600 }));
    cr_assert(gateway.maxKeyWithdrawalDelay == 4000ms && gateway.shutdownTimeLimit == 6000ms
        && gateway.maxOldWeightsTime == 9000ms);
    cr_assert(gateway.maxChangeDelay == 3000ms);
    cr_assert_eq(gateway.memoryLimit, 110UL * 1024 * 1024);
    cr_assert_eq(gateway.descriptorLimit, 2200);
    cr_assert_float_eq(gateway.exposure.share, 0.2, 1e-9);
    cr_assert_float_eq(gateway.exposure.slack, 40, 1e-9);
    cr_assert_float_eq(gateway.retries.perRequest, 0.3, 1e-9);
}

// Guards against bounds and regions of the platform that are not applied, and against a change where there are none.
Test(PlatformSettings, readsRegionsAndColdBounds)
{
    const std::string start
        = R"({"node":"n","zone":"a","port_range":[1000,1009],"listen":{"front":"127.0.0.1:80","ready":"127.0.0.1:81"},
            "provider":{"address":"127.0.0.1:82"})";
    const auto plain = parsePlatformSettings(start + "}");
    cr_assert(plain.has_value() && plain->gateway.regions.empty());
    cr_assert(plain->gateway.coldTolerance.overage == 1.5 && plain->gateway.coldTolerance.slack == 5);
    cr_assert(plain->gateway.maxChangeDelay == 2000ms);
    const auto full = parsePlatformSettings(start
        + R"(,"region":"south","zones":{"b":"north","c":7},"bounds":{"evacuate_ms":1500,"cold_overage":2,"cold_slack":3}})");
    cr_assert(full.has_value());
    const RegionMap regions { { ZoneId("a"), RegionId("south") }, { ZoneId("b"), RegionId("north") } };
    cr_assert(full->gateway.regions == regions);
    cr_assert(full->gateway.coldTolerance.overage == 2 && full->gateway.coldTolerance.slack == 3);
    cr_assert(full->gateway.maxChangeDelay == 1500ms);
}

// Guards against callers' connections that leave no descriptor for the connections to runners: 792 connects failed.
Test(PlatformSettings, leavesDescriptorsForRunners)
{
    cr_assert_eq(maxCallerConnections(4100), 1750);
    for (const std::size_t limit : { 400UL, 1024UL, 4100UL, 65'536UL }) {
        const auto callers = maxCallerConnections(limit);
        cr_assert(callers > 0 && 2 * callers + 200 < limit, "%zu of %zu", callers, limit);
    }
    cr_assert_gt(maxCallerConnections(0), 0);
}

// Guards against starting with unusable settings, and against an error message without the name of the field.
Test(PlatformSettings, reportsTheInvalidField)
{
    for (const auto* field : { "node", "zone", "front", "ready", "port_range", "address" }) {
        std::string text = settingsText;
        const auto at = text.find(std::string("\"") + field + "\"");
        text.replace(at, 1, "\"x");
        const auto settings = parsePlatformSettings(text);
        cr_assert(!settings && settings.error().message.find(field) != std::string::npos, "%s", field);
    }
    cr_assert(!parsePlatformSettings("[]"));
    cr_assert(!parsePlatformSettings("{"));
}
