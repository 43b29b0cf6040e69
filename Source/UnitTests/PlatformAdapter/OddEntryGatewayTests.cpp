#include "Common/Sleep.h"
#include "Gateway/FleetView.h"
#include "Gateway/Gateway.h"
#include "PlatformAdapter/PlatformStandIns.h"
#include "Timeline/Log.h"
#include "Timeline/Timeline.h"
#include "Transport/HttpClient.h"
#include "platform/KvStoreClient.h"
#include "platform/PlatformRecords.h"
#include "platform/PlatformRequests.h"
#include "platform/RunnerControl.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

#include <array>
#include <cstdio>
#include <unistd.h>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds callTimeout { 5 };
constexpr std::chrono::seconds conditionTimeout { 20 };
constexpr std::uint16_t firstGatewayPort = 7600;
constexpr unsigned checkedCalls = 20;

/// Takes the log of this process, which goes to the standard output.
class LogCapture {
public:
    LogCapture()
        : m_file(std::tmpfile())
    {
        cr_assert(m_file && dup2(fileno(m_file), STDOUT_FILENO) >= 0);
        configureLog(LogLevel::Info);
    }
    LogCapture(const LogCapture&) = delete;
    LogCapture& operator=(const LogCapture&) = delete;
    ~LogCapture() { std::fclose(m_file); }

    /// Number of lines that contain a text.
    std::size_t count(std::string_view text) const
    {
        std::string all;
        std::array<char, 4096> buf {};
        off_t at = 0;
        for (ssize_t n = 0; (n = pread(fileno(m_file), buf.data(), buf.size(), at)) > 0; at += n) {
            all.append(buf.data(), static_cast<std::size_t>(n));
        }
        std::size_t lines = 0;
        for (auto found = all.find(text); found != std::string::npos; found = all.find(text, found + 1)) {
            ++lines;
        }
        return lines;
    }

private:
    std::FILE* m_file;
};

/// A gateway and a store whose list of runners has odd entries between two good ones.
struct OddEntryFixture {
    OddEntryFixture()
    {
        cr_assert(first.listen() && last.listen());
        const auto storeEndpoint = store.listen();
        cr_assert(storeEndpoint.has_value());
        // Loopback address that no other test process uses, so that the gateway's ports are free.
        const auto id = static_cast<unsigned>(getpid());
        const auto address = "127." + std::to_string(64 + (id >> 16) % 128) + "." + std::to_string((id >> 8) % 256)
            + "." + std::to_string(id % 256);
        auto port = firstGatewayPort;
        for (auto* endpoint :
            { &settings.listenCallers, &settings.listenReady, &settings.listenMetrics, &settings.listenReports }) {
            *endpoint = { address, port++ };
        }
        settings.vm = VmId("vm");
        settings.zone = ZoneId("a");
        settings.readyPath = "/api/ready";
        settings.logLevel = LogLevel::Off;
        settings.maxKeyWithdrawalDelay = 60s;
        store.put("op/config", configuration(++version, "/one/"));
        // Pages end between and at odd entries.
        store.pageSize = 2;
        client.emplace(context.get_executor(), *storeEndpoint, KvStoreTimeouts { .watchWait = 200ms }, metrics);
    }

    static std::string configuration(int version, const std::string& prefix)
    {
        return JsonFields::Json {
            { "version", version },
            { "routes",
                JsonFields::Json::array({ { { "name", "s" }, { "host", "h" }, { "prefix", prefix }, { "kind", "safe" },
                    { "service", "app" }, { "timeout_ms", 3000 } } }) },
            { "services", JsonFields::Json::array({ { { "name", "app" } } }) }
        }.dump();
    }

    /// Writes odd entries under keys before, between and after those of the good runners.
    void putOddEntries()
    {
        auto json = JsonFields::Json::parse(first.entry("app"));
        std::vector<std::string> values { "", "7", "null", "{", std::string(1, '\0'), "\xff\xfe", "1e400",
            std::string(100'000, '[') + std::string(100'000, ']'), std::string(100'000, '[') };
        for (const auto* text : { "1e400", "99999999999999999999", "-1", "1.5", "\"8\"", "null" }) {
            auto odd = json;
            odd["slots"] = "@";
            auto value = odd.dump();
            values.push_back(value.replace(value.find("\"@\""), 3, text));
        }
        for (const auto* address : { "127.0.0.1:65536", "127.0.0.1:0", "127.0.0.1:80a", ":80", "[::1]:80", "" }) {
            auto odd = json;
            odd["address"] = address;
            values.push_back(odd.dump());
        }
        auto deep = json.dump();
        deep.pop_back();
        std::string levels;
        for (std::size_t i = 0; i < 100'000; ++i) {
            levels += "{\"a\":";
        }
        values.push_back(deep + ",\"more\":" + levels + "1" + std::string(100'000, '}') + "}");
        for (std::size_t i = 0; i < values.size(); ++i) {
            for (const auto* place : { "servers/0-", "servers/i-1-", "servers/z-" }) {
                store.put(place + std::to_string(i), values[i]);
            }
        }
        store.put("servers/", first.entry("app"));
        store.put("servers/z\r\nX-Tenant: other", first.entry("app"));
        store.put("servers/" + std::string(192, 'z'), "{}");
        store.put("", first.entry("app"));
    }

    template <typename Scenario> void run(Scenario scenario)
    {
        Gateway gateway(context.get_executor(), settings, { *client, *client, records, requests, control }, metrics);
        cr_assert(gateway.start().has_value());
        asio::co_spawn(
            context,
            [&]() -> Task<> {
                co_await waitForStatus("/one/x", 200);
                co_await scenario();
                context.stop();
            },
            [](const std::exception_ptr& error) { cr_assert(!error); });
        context.run();
    }

    Task<HttpAnswer> call(std::string path)
    {
        HttpRequest request { "POST", std::move(path), "",
            { { "Host", "h" }, { "X-Request-Id", "q" + std::to_string(++calls) }, { "X-Deadline-Ms", "3000" } },
            "body" };
        const auto answer = co_await fetch(settings.listenCallers, std::move(request), callTimeout);
        co_return answer.value_or(HttpAnswer { 0, "", "", {} });
    }

    Task<> waitForStatus(std::string path, int status)
    {
        const auto limit = std::chrono::steady_clock::now() + conditionTimeout;
        while ((co_await call(path)).status != status) {
            cr_assert(std::chrono::steady_clock::now() < limit, "%s: no status %d in time", path.c_str(), status);
            co_await sleepFor(10ms);
        }
    }

    /// Writes a configuration and waits until it is in force, and with it all changes before it.
    Task<> changeRoute()
    {
        const auto number = std::to_string(++version);
        store.put("op/config", configuration(version, "/v" + number + "/"));
        path = "/v" + number + "/x";
        co_await waitForStatus(path, 200);
    }

    /// Checks that one runner is used and no other: each request that is served names it.
    Task<> checkOnlyRunner(RunnerStandIn& used)
    {
        first.requests.clear();
        last.requests.clear();
        for (unsigned i = 0; i < checkedCalls; ++i) {
            const auto answer = co_await call(path);
            cr_assert_eq(answer.status, 200, "an odd entry was used: status %d", answer.status);
        }
        cr_assert_eq(first.requests.size() + last.requests.size(), checkedCalls);
        for (const auto& request : used.requests) {
            cr_assert_eq(request.header("X-Expect-Instance").value_or(""), std::string_view(used.id));
        }
        cr_assert_eq(used.requests.size(), checkedCalls, "another runner than %s was used", used.id.c_str());
    }

    /// Checks that changes of both good runners are followed.
    Task<> checkRunners()
    {
        for (auto [used, erased] : { std::pair(&first, &last), std::pair(&last, &first) }) {
            store.put("servers/" + used->id, used->entry("app"));
            store.erase("servers/" + erased->id);
            co_await changeRoute();
            co_await checkOnlyRunner(*used);
        }
    }

    asio::io_context context { 1 };
    MetricTable metrics;
    KvStoreStandIn store { context.get_executor() };
    RunnerStandIn first { context.get_executor(), "i-1" };
    RunnerStandIn last { context.get_executor(), "i-2" };
    GatewaySettings settings;
    std::optional<KvStoreClient> client;
    PlatformRecords records;
    PlatformRequests requests;
    RunnerControl control;
    unsigned calls = 0;
    int version = 0;
    /// Path on the newest route.
    std::string path;
};

} // namespace

// Guards against a gateway that ends, or follows the store no longer, after one odd entry appeared in the watched list
// of runners.
Test(OddEntry, isPassedOverInAWatch)
{
    OddEntryFixture fixture;
    fixture.store.put("servers/i-1", fixture.first.entry("app"));
    fixture.run([&]() -> Task<> {
        fixture.putOddEntries();
        co_await fixture.changeRoute();
        co_await fixture.checkOnlyRunner(fixture.first);
        co_await fixture.checkRunners();
        // An entry that becomes odd withdraws its own runner only, and names it again once it is good.
        fixture.store.put("servers/i-1", fixture.first.entry("app"));
        fixture.store.put("servers/i-2", std::string(100'000, '['));
        co_await fixture.changeRoute();
        co_await fixture.checkOnlyRunner(fixture.first);
        co_await fixture.checkRunners();
    });
}

// Guards against a gateway that does not start, or never follows the store, because odd entries are in the list of
// runners when it first reads it; and after the history was compacted.
Test(OddEntry, isPassedOverInAFullRead)
{
    OddEntryFixture fixture;
    fixture.putOddEntries();
    fixture.store.put("servers/i-1", fixture.first.entry("app"));
    fixture.run([&]() -> Task<> {
        co_await fixture.changeRoute();
        co_await fixture.checkOnlyRunner(fixture.first);
        co_await fixture.checkRunners();
        const auto reads = fixture.store.calls["GET /api/kv-range"];
        fixture.store.put("servers/more", "7");
        fixture.store.compact();
        co_await fixture.checkRunners();
        cr_assert_geq(fixture.store.calls["GET /api/kv-range"], reads);
    });
}

// Guards against a log that fills with lines about one odd entry, which its writer repeats with each heartbeat.
Test(OddEntry, isLoggedOncePerChangeOfState)
{
    const LogCapture log;
    OddEntryFixture fixture;
    fixture.store.put("servers/i-1", fixture.first.entry("app"));
    fixture.store.put("servers/odd", "7");
    fixture.run([&]() -> Task<> {
        for (unsigned i = 0; i < 3; ++i) {
            fixture.store.put("servers/odd", "[]");
            co_await fixture.changeRoute();
            fixture.store.put("servers/odd", "{}");
            fixture.store.compact();
            co_await fixture.changeRoute();
        }
        cr_assert_eq(log.count("servers/odd"), 1, "%zu lines", log.count("servers/odd"));
        for (const bool isErased : { true, false }) {
            if (isErased) {
                fixture.store.erase("servers/odd");
            } else {
                fixture.store.put("servers/odd", fixture.first.entry("other"));
            }
            co_await fixture.changeRoute();
            fixture.store.put("servers/odd", "7");
            co_await fixture.changeRoute();
        }
        cr_assert_eq(log.count("servers/odd"), 3, "%zu lines", log.count("servers/odd"));
    });
}

// Guards against a line about an unreadable record of a VM with each read of the store.
Test(OddEntry, ofAVmIsLoggedOncePerChangeOfState)
{
    const LogCapture log;
    const SystemClock clock;
    Timeline timeline(clock, "test");
    FleetView fleet(clock, timeline, VmId("vm"), ZoneId("a"));
    const auto good = FleetView::encodeRecord({ "10.0.0.1", 80 }, ZoneId("a"));
    for (const auto* text : { "7", "{}", R"({"reports":"10.0.0.1:70000"})", R"({"reports":"10.0.0.1:0"})", "\xff" }) {
        fleet.updateRecord(VmId("odd"), text);
    }
    cr_assert_eq(log.count("odd"), 1);
    cr_assert(!fleet.endpointOf(VmId("odd")));
    fleet.updateRecord(VmId("odd"), good);
    fleet.updateRecord(VmId("odd"), "7");
    cr_assert(fleet.endpointOf(VmId("odd")) == (Endpoint { "10.0.0.1", 80 }));
    cr_assert_eq(log.count("vm-record-unreadable"), 2);
}
