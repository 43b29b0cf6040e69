#pragma once

#include "Common/Sleep.h"
#include "Gateway/Gateway.h"
#include "PlatformAdapter/PlatformStandIns.h"
#include "Transport/HttpClient.h"
#include "platform/KvStoreClient.h"
#include "platform/PlatformRecords.h"
#include "platform/PlatformRequests.h"
#include "platform/RunnerControl.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

#include <unistd.h>

namespace Pollenwind {

using namespace std::chrono_literals;

inline constexpr std::chrono::seconds callTimeout { 5 };
inline constexpr std::chrono::seconds conditionTimeout { 20 };

// First of the gateway's ports; below the range from which the system takes ports for outgoing connections.
inline constexpr std::uint16_t firstGatewayPort = 7600;
// Nothing listens here.
inline constexpr std::uint16_t unusedPort = 7650;

/// Loopback address that no other test process uses, so that the gateway's ports are free.
inline std::string ownLoopbackAddress()
{
    const auto id = static_cast<unsigned>(getpid());
    return "127." + std::to_string(64 + (id >> 16) % 128) + "." + std::to_string((id >> 8) % 256) + "."
        + std::to_string(id % 256);
}

/// A gateway with stand-ins for the store and two runners, all in one thread.
struct PlatformFixture {
    PlatformFixture()
    {
        cr_assert(first.listen() && second.listen());
        storeEndpoint = *store.listen();
        auto port = firstGatewayPort;
        for (auto* endpoint :
            { &settings.listenCallers, &settings.listenReady, &settings.listenMetrics, &settings.listenReports }) {
            *endpoint = { ownLoopbackAddress(), port++ };
        }
        settings.vm = VmId("vm");
        settings.zone = ZoneId("a");
        settings.readyPath = "/api/ready";
        settings.logLevel = LogLevel::Off;
        // On a busy machine the test's only thread may not run for seconds, after which the gateway rejects keys, as it
        // should, with the default limit.
        settings.maxKeyWithdrawalDelay = 60s;
        store.put("op/config", configuration(1));
        for (const auto* runner : { &first, &second }) {
            store.put("servers/" + runner->id, runner->entry("app"));
        }
        client.emplace(context.get_executor(), storeEndpoint, KvStoreTimeouts { .watchWait = 200ms }, metrics);
    }

    static std::string configuration(int version, const std::string& keys = "\"k1\"")
    {
        return configurationWith(version,
            R"(,"tenants":[{"name":"org","api_keys":[)" + keys + R"(],"rate_per_s":1000000,"burst":1000000}])");
    }

    /// @param organisations The field "tenants" behind a comma, or nothing.
    static std::string configurationWith(int version, const std::string& organisations)
    {
        return R"({"version":)" + std::to_string(version)
            + R"(,"routes":[{"name":"s","host":"h","prefix":"/safe/","kind":"safe","service":"app","max_attempts":2,
            "timeout_ms":3000,"goal_ms":500},{"name":"u","host":"h","prefix":"/unsafe/","kind":"unsafe","service":"app",
            "timeout_ms":3000},{"name":"r","host":"h","prefix":"/stream/","kind":"streaming","service":"app",
            "allow_resume":true,"max_attempts":2,"timeout_ms":3000,"goal_ms":500}],"services":[{"name":"app","max_conns":4}])"
            + organisations + "}";
    }

    /// Runs a scenario with the gateway started.
    template <typename Scenario> void run(Scenario scenario)
    {
        Gateway gateway(context.get_executor(), settings, { *client, *client, records, requests, control }, metrics);
        cr_assert(gateway.start().has_value());
        asio::co_spawn(
            context,
            [&]() -> Task<> {
                co_await waitUntil([&]() -> Task<bool> { co_return co_await isReady(); });
                co_await scenario(gateway);
                context.stop();
            },
            [](const std::exception_ptr& error) { cr_assert(!error); });
        context.run();
    }

    /// Waits until a condition holds; fails the test when it does not within the timeout.
    template <typename Condition> Task<> waitUntil(Condition condition)
    {
        const auto limit = std::chrono::steady_clock::now() + conditionTimeout;
        while (!co_await condition()) {
            cr_assert(std::chrono::steady_clock::now() < limit, "the condition did not hold in time");
            co_await sleepFor(10ms);
        }
    }

    Task<bool> isReady()
    {
        const auto answer = co_await fetch(settings.listenReady, { "GET", "/api/ready", "", {}, "" }, callTimeout);
        co_return answer && answer->status == 200;
    }

    Task<HttpAnswer> call(std::string path, std::string key = "k1", HttpHeaders more = {})
    {
        more.emplace_back("Authorization", "Token " + key);
        co_return co_await callWithoutKey(std::move(path), std::move(more));
    }

    Task<HttpAnswer> callWithoutKey(std::string path, HttpHeaders more = {})
    {
        HttpRequest request { "POST", std::move(path), "",
            { { "Host", "h" }, { "X-Request-Id", "q" + std::to_string(++calls) }, { "X-Deadline-Ms", "3000" } },
            "body" };
        request.headers.insert(request.headers.end(), more.begin(), more.end());
        const auto answer = co_await fetch(settings.listenCallers, std::move(request), callTimeout);
        co_return answer.value_or(HttpAnswer { 0, "", "", {} });
    }

    asio::io_context context { 1 };
    MetricTable metrics;
    KvStoreStandIn store { context.get_executor() };
    RunnerStandIn first { context.get_executor(), "i-1" };
    RunnerStandIn second { context.get_executor(), "i-2" };
    Endpoint storeEndpoint;
    GatewaySettings settings;
    std::optional<KvStoreClient> client;
    PlatformRecords records;
    PlatformRequests requests;
    RunnerControl control;
    unsigned calls = 0;
};

} // namespace Pollenwind
