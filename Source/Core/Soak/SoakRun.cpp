#include "Soak/SoakRun.h"

#include "Common/Sleep.h"
#include "Common/TaskFault.h"
#include "Transport/HttpClient.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>

namespace Pollenwind {

namespace {

    using Json = nlohmann::json;
    using SteadyClock = std::chrono::steady_clock;

    constexpr std::chrono::seconds checkTimeout { 5 };
    constexpr std::chrono::milliseconds revisionInterval { 500 };
    // No faults are injected at the start, until keys and configuration are in force, nor at the end, so that faults
    // with a duration and restarts are over before the final checks.
    constexpr std::chrono::seconds startupDelay { 4 };
    constexpr std::chrono::seconds settleTime { 6 };

    std::string findLine(const std::string& text, std::string_view marker)
    {
        const auto at = text.find(marker);
        return at == std::string::npos ? "" : text.substr(at, text.find('\n', at) - at);
    }

} // namespace

SoakRun::SoakRun(asio::any_io_executor executor, SoakOptions options, FaultInjector& faults)
    : m_executor(std::move(executor))
    , m_options(std::move(options))
    , m_faults(faults)
    , m_keys(m_options)
{
}

Task<> SoakRun::run()
{
    for (const auto& organisation : m_options.organisations) {
        check(SoakGuarantee::WithdrawnKeysStop, co_await m_keys.give(organisation), "no key could be created");
    }
    co_await sleepFor(startupDelay);
    m_end = SteadyClock::now() + m_options.duration;
    for (std::uint32_t i = 0; i < m_options.clients; ++i) {
        m_clients.emplace_back(m_executor, m_options, m_keys, m_report, m_options.seed * 1000 + i);
        spawnTask(m_executor, TaskKind::Load, runClient(m_clients.back()));
    }
    spawnTask(m_executor, TaskKind::Load, watchRevisions());
    co_await injectRandomFaults();
    while (m_running > 0) {
        co_await sleepFor(std::chrono::milliseconds(20));
    }
    co_await sleepFor(std::chrono::seconds(2));
    co_await checkPlainRuns();
    co_await checkKeysUpstream();
    checkShutdowns();
}

Task<> SoakRun::runClient(SoakClient& client)
{
    ++m_running;
    co_await client.run(m_end);
    --m_running;
}

Task<> SoakRun::injectRandomFaults()
{
    std::mt19937_64 random(m_options.seed);
    const auto& rows = EnumTable<SoakFault>::rows;
    // Injects each fault once in random order before it draws at random, so that every sufficiently long run covers
    // all.
    std::vector<SoakFault> first;
    for (const auto& row : rows) {
        first.push_back(row.value);
    }
    std::ranges::shuffle(first, random);
    while (SteadyClock::now() < m_end - settleTime) {
        const auto mean = static_cast<std::uint64_t>(m_options.faultInterval.count());
        co_await sleepFor(std::chrono::milliseconds(random() % (2 * mean + 1)));
        const auto fault = first.empty() ? rows[random() % rows.size()].value : first.back();
        if (!first.empty()) {
            first.pop_back();
        }
        ++m_report.faults[fault];
        const auto draw = random();
        if (fault == SoakFault::KeyWithdrawn) {
            spawnTask(m_executor, TaskKind::Load, m_keys.rotate(draw % m_keys.keys().size()));
        } else {
            // Not awaited, so that faults overlap.
            spawnTask(m_executor, TaskKind::Load, m_faults.inject(fault, draw));
        }
    }
    co_await sleepFor(m_end - SteadyClock::now());
}

Task<> SoakRun::watchRevisions()
{
    while (SteadyClock::now() < m_end) {
        for (const auto& router : m_options.routers) {
            HttpRequest request;
            request.method = "GET";
            request.path = "/admin/queries/status";
            request.headers.emplace_back("Authorization", "Bearer " + m_options.adminToken);
            const auto response = co_await fetch(router.admin, std::move(request), std::chrono::milliseconds(500));
            const auto json = response ? Json::parse(response->body, nullptr, false) : Json();
            if (!json.is_object() || !json.contains("revision")) {
                continue;
            }
            const auto incarnation
                = json.value("vm", "") + "/" + std::to_string(json.value("incarnation", std::uint64_t(0)));
            const auto revision = json.value("revision", std::int64_t(0));
            auto& highest = m_revisions[incarnation];
            check(SoakGuarantee::RevisionsNeverRevert, revision >= highest,
                incarnation + " reverted to an older revision");
            highest = std::max(highest, revision);
        }
        co_await sleepFor(revisionInterval);
    }
}

Task<> SoakRun::checkPlainRuns()
{
    std::map<std::string, std::uint32_t> runs;
    for (const auto& plain : m_options.plain) {
        HttpRequest request;
        request.method = "GET";
        request.path = "/stand-in/state";
        const auto response = co_await fetch(plain, std::move(request), checkTimeout);
        const auto json = response ? Json::parse(response->body, nullptr, false) : Json();
        check(SoakGuarantee::CallsRunAtMostOnce, json.is_object(), "a runner did not report its executions");
        if (json.is_object()) {
            for (const auto& [id, n] : json["runs"].items()) {
                runs[id] += n.get<std::uint32_t>();
            }
        }
    }
    for (const auto& [id, n] : runs) {
        check(SoakGuarantee::CallsRunAtMostOnce, n <= 1, id + " ran " + std::to_string(n) + " times");
    }
    for (const auto& client : m_clients) {
        for (const auto& id : client.notRunCalls()) {
            check(SoakGuarantee::NotRunIsTrue, !runs.contains(id), id + " was refused as not-run but ran");
        }
    }
}

Task<> SoakRun::checkKeysUpstream()
{
    for (const auto& engine : m_options.engines) {
        HttpRequest request;
        request.method = "POST";
        request.path = "/stand-in/seen";
        request.body = R"({"text":"soak-key-"})";
        const auto response = co_await fetch(engine, std::move(request), checkTimeout);
        const auto json = response ? Json::parse(response->body, nullptr, false) : Json();
        check(SoakGuarantee::NoKeyUpstream, json.is_object() && json.value("seen", true) == false,
            "engine " + engine.toString() + " received a key");
    }
}

void SoakRun::checkShutdowns()
{
    for (const auto& router : m_options.routers) {
        std::ifstream file(router.logFile);
        const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
        std::string_view rest = text;
        constexpr std::string_view marker = "requests cut: ";
        for (auto at = rest.find(marker); at != std::string_view::npos; at = rest.find(marker)) {
            rest = rest.substr(at + marker.size());
            check(SoakGuarantee::GracefulStopsCutNothing, rest.starts_with("0"), "a shutdown terminated requests");
        }
        const auto violated = findLine(text, "invariant violated");
        if (!violated.empty()) {
            check(SoakGuarantee::StreamsComplete, false, router.callers.toString() + " stopped: " + violated);
        }
    }
}

void SoakRun::check(SoakGuarantee guarantee, bool holds, const std::string& example)
{
    m_report.recordCheck(guarantee, holds, example);
}

} // namespace Pollenwind
