#include "PlatformSoak/GatewaySoak.h"

#include "Common/JsonFields.h"
#include "Common/Sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <csignal>
#include <sstream>

namespace Pollenwind {

namespace {

    using JsonFields::Json;
    using SteadyClock = std::chrono::steady_clock;

    constexpr std::uint64_t networkCount = 150;
    constexpr std::uint64_t firstNetwork = 70;
    // Not in the range of ports that the gateways use.
    constexpr std::uint16_t networkGuardPort = 7499;

    constexpr std::chrono::milliseconds heartbeatInterval { 1200 };
    constexpr std::chrono::milliseconds entryTimeToLive { 3600 };
    constexpr std::chrono::milliseconds probeInterval { 300 };
    constexpr std::chrono::milliseconds probeTimeout { 400 };
    // On a heavily loaded machine a process may not be scheduled for a second. One that runs but is not ready responds
    // at once.
    constexpr std::chrono::milliseconds readyTimeout { 4000 };
    constexpr std::chrono::milliseconds maxFaultDuration { 2500 };
    // Five crashes, twice the time in which VMs learn of each other's failures, and some time to count requests.
    constexpr std::chrono::seconds crashingPartDuration { 12 };
    // Time from the last fault until full recovery: expiry of a lease, handover to another VM and loading of weights.
    constexpr std::chrono::seconds recoveryTime { 12 };
    constexpr std::chrono::seconds startupTime { 3 };
    // Time from a runner's announcement to its end. It is longer than VMs may go on to send it requests.
    constexpr std::chrono::seconds shutdownTime { 4 };
    // Time without the store, time until the operator writes again, and time by which the gateways serve.
    constexpr std::chrono::milliseconds restoreOutage { 1500 };
    constexpr std::chrono::milliseconds operatorDelay { 700 };
    constexpr std::chrono::milliseconds restoredServiceTime { 2000 };
    constexpr std::chrono::milliseconds minCopyAge { 2000 };
    constexpr std::uint64_t copyAgeRange = 18000;
    constexpr std::chrono::milliseconds shortestRefusalTime { 200 };
    constexpr std::uint64_t refusalTimeRange = 7800;
    constexpr std::size_t maxExamples = 5;
    // The gateways are in the first zone.
    constexpr std::array<std::string_view, 2> zones { "a", "b" };
    // Longer than the time in which an evacuation must take effect.
    constexpr std::chrono::milliseconds minEvacuationTime { 6000 };
    constexpr std::uint64_t evacuationTimeRange = 4000;
    constexpr std::uint64_t evacuationPauseRange = 4000;

    struct LinkRow {
        GatewayFault fault;
        LinkState state;
    };

    constexpr std::array storeLinkRows { LinkRow { GatewayFault::StoreLinkDelayed, LinkState::Delayed },
        LinkRow { GatewayFault::StoreLinkRefusing, LinkState::Refusing },
        LinkRow { GatewayFault::StoreLinkSilent, LinkState::Silent },
        LinkRow { GatewayFault::StoreLinkCutToServer, LinkState::CutToServer },
        LinkRow { GatewayFault::StoreLinkCutToClient, LinkState::CutToClient } };

    constexpr std::array runnerLinkRows { LinkRow { GatewayFault::RunnerLinkDelayed, LinkState::Delayed },
        LinkRow { GatewayFault::RunnerLinkReset, LinkState::Refusing },
        LinkRow { GatewayFault::RunnerLinkSilent, LinkState::Silent },
        LinkRow { GatewayFault::RunnerLinkCutToServer, LinkState::CutToServer },
        LinkRow { GatewayFault::RunnerLinkCutToClient, LinkState::CutToClient } };

    struct RunnerRow {
        GatewayFault fault;
        RunnerFault runnerFault;
    };

    constexpr std::array runnerRows { RunnerRow { GatewayFault::RunnerRefuses, RunnerFault::Refuses },
        RunnerRow { GatewayFault::RunnerRepeatsRefusals, RunnerFault::RepeatsRefusals },
        RunnerRow { GatewayFault::RunnerFails, RunnerFault::Fails },
        RunnerRow { GatewayFault::RunnerLosesAnswers, RunnerFault::LosesAnswers },
        RunnerRow { GatewayFault::RunnerBreaksStreams, RunnerFault::BreaksStreams },
        RunnerRow { GatewayFault::RunnerSlow, RunnerFault::Slow } };

    /// Listens without address reuse, so that no other process can have the port.
    /// @return False if the port is in use.
    bool bindExclusively(asio::ip::tcp::acceptor& acceptor, const asio::ip::tcp::endpoint& address)
    {
        boost::system::error_code ec;
        acceptor.open(address.protocol(), ec);
        if (!ec) {
            acceptor.bind(address, ec);
        }
        if (!ec) {
            acceptor.listen(1, ec);
        }
        if (ec) {
            boost::system::error_code ignored;
            acceptor.close(ignored);
        }
        return !ec;
    }

    std::string versionPrefix(std::int64_t version) { return "/version-" + std::to_string(version) + "/"; }

} // namespace

GatewaySoak::GatewaySoak(asio::any_io_executor executor, GatewaySoakOptions options)
    : m_executor(std::move(executor))
    , m_options(std::move(options))
    , m_ledger(m_report)
    , m_crashingPart(m_gateways, m_report)
    , m_evacuatedZone(m_gateways, m_report)
    , m_store(m_executor)
    , m_storeLink(m_executor)
    , m_networkGuard(m_executor)
{
}

Outcome<std::string> GatewaySoak::reserveNetwork()
{
    for (std::uint64_t n = 0; n < networkCount; ++n) {
        auto net = "127." + std::to_string(firstNetwork + (m_options.seed + n) % networkCount) + ".";
        if (bindExclusively(m_networkGuard, { asio::ip::make_address_v4(net + "0.1"), networkGuardPort })) {
            return net;
        }
    }
    return fail(ErrorCode::Unavailable, "all loopback networks are in use by other runs");
}

Task<Outcome<void>> GatewaySoak::run()
{
    const auto reserved = reserveNetwork();
    if (!reserved) {
        co_return std::unexpected(reserved.error());
    }
    const auto& net = *reserved;
    const auto store = m_store.listen();
    const auto storeLink = store ? m_storeLink.listen(net + "1.1", *store) : store;
    if (!storeLink) {
        co_return std::unexpected(storeLink.error());
    }
    for (std::size_t i = 0; i < m_options.runners; ++i) {
        auto& runner = m_runners.emplace_back(m_executor, "runner-" + std::to_string(i),
            std::string(zones[i % zones.size()]), m_ledger, m_crashingPart, m_evacuatedZone, m_report);
        if (const auto bound = runner.listen(net + "2." + std::to_string(i + 1)); !bound) {
            co_return bound;
        }
        m_store.put("servers/" + runner.id(), runner.entry());
    }
    writeConfiguration();
    for (std::size_t i = 0; i < m_options.gateways; ++i) {
        auto& gateway = m_gateways.emplace_back(m_options.program, m_options.folder, "vm-" + std::to_string(i),
            net + "10." + std::to_string(i + 1), *storeLink);
        asio::co_spawn(m_executor, gateway.supervise(), asio::detached);
    }
    asio::co_spawn(m_executor, sendHeartbeats(), asio::detached);
    co_await sleepFor(startupTime);
    m_end = SteadyClock::now() + m_options.duration;
    // The callers after the others, two for each gateway, keep idle connections.
    const auto callers = m_options.callers + 2 * m_options.gateways;
    for (std::size_t i = 0; i < callers; ++i) {
        auto& caller = m_callers.emplace_back(m_executor, "caller-" + std::to_string(i), m_options.seed * 1000 + i,
            m_gateways, m_ledger, m_crashingPart, m_report);
        if (i >= m_options.callers) {
            caller.pauseBetweenRequests(i % m_options.gateways);
        }
        ++m_activeTasks;
        asio::co_spawn(
            m_executor, caller.run(m_end + recoveryTime), [this](const std::exception_ptr&) { --m_activeTasks; });
    }
    asio::co_spawn(m_executor, watchConfiguration(), asio::detached);
    asio::co_spawn(m_executor, evacuateZones(), asio::detached);
    co_await injectRandomFaults();
    co_await sleepFor(m_end + recoveryTime - SteadyClock::now());
    co_await checkRecovery();
    m_crashingPart.checkSoundRequests();
    m_isOver = true;
    while (m_activeTasks > 0) {
        co_await sleepFor(heartbeatInterval / 10);
    }
    for (auto& gateway : m_gateways) {
        gateway.stop();
    }
    co_return Outcome<void> {};
}

Task<> GatewaySoak::injectRandomFaults()
{
    std::mt19937_64 random(m_options.seed);
    const auto& faults = m_options.faults;
    while (SteadyClock::now() < m_end - maxFaultDuration) {
        const auto mean = static_cast<std::uint64_t>(m_options.faultInterval.count());
        co_await sleepFor(std::chrono::milliseconds(random() % (2 * mean)));
        const auto fault = faults[random() % faults.size()];
        ++m_report.faults[fault];
        // Not awaited, so that faults overlap.
        asio::co_spawn(m_executor, inject(fault, random()), asio::detached);
    }
}

Task<> GatewaySoak::applyLinkFault(FaultProxy& link, LinkState state, std::chrono::milliseconds time)
{
    link.setState(state);
    if (state == LinkState::Refusing) {
        link.resetAll();
    }
    co_await sleepFor(time);
    link.setState(LinkState::Healthy);
}

Task<> GatewaySoak::applyRunnerFault(SoakRunner& runner, RunnerFault fault, std::chrono::milliseconds time)
{
    runner.setFault(fault);
    co_await sleepFor(time);
    runner.setFault(RunnerFault::None);
}

Task<> GatewaySoak::replaceRunner(SoakRunner& runner)
{
    runner.announceShutdown();
    co_await sleepFor(shutdownTime);
    const auto before = runner.id();
    runner.replace();
    m_store.put("servers/" + runner.id(), runner.entry());
    // The entry of the previous incarnation expires only after three heartbeats.
    co_await sleepFor(entryTimeToLive);
    m_endedRunners.push_back(before);
    m_store.erase("servers/" + before);
}

Task<> GatewaySoak::playCrashingPart()
{
    if (!m_crashingPart.begin()) {
        co_return;
    }
    // Ends before the recovery time, in which all weights are loaded.
    co_await sleepFor(std::min<SteadyClock::duration>(crashingPartDuration, m_end - SteadyClock::now()));
    m_crashingPart.end();
}

Task<> GatewaySoak::evacuateZones()
{
    std::mt19937_64 random(m_options.seed * 7919);
    for (;;) {
        co_await sleepFor(std::chrono::milliseconds(random() % evacuationPauseRange));
        const auto time = minEvacuationTime + std::chrono::milliseconds(random() % evacuationTimeRange);
        // The load of the recovery time needs all runners.
        if (SteadyClock::now() + time > m_end) {
            co_return;
        }
        m_evacuatedZone.begin(std::string(zones[random() % zones.size()]));
        writeOperatorRecords();
        co_await sleepFor(time);
        m_evacuatedZone.end();
        writeOperatorRecords();
    }
}

void GatewaySoak::recordStoreDisturbed()
{
    m_storeDisturbedAt = SteadyClock::now();
    m_evacuatedZone.recordStoreDisturbed();
}

Task<> GatewaySoak::pauseGateway(std::size_t index, std::chrono::milliseconds time)
{
    m_gateways[index].signal(SIGSTOP);
    co_await sleepFor(time);
    m_gateways[index].signal(SIGCONT);
    m_report.resumedAt[m_gateways[index].name()] = SteadyClock::now();
}

Task<> GatewaySoak::inject(GatewayFault fault, std::uint64_t draw)
{
    const std::chrono::milliseconds time(300 + static_cast<std::int64_t>(draw / 1000 % 2200));
    const auto gateway = static_cast<std::size_t>(draw % m_gateways.size());
    auto& runner = m_runners[draw % m_runners.size()];
    for (const auto& row : storeLinkRows) {
        if (row.fault == fault) {
            recordStoreDisturbed();
            co_await applyLinkFault(m_storeLink, row.state, time);
            recordStoreDisturbed();
            co_return;
        }
    }
    for (const auto& row : runnerLinkRows) {
        if (row.fault == fault) {
            runner.setLink(row.state);
            co_await applyLinkFault(runner.link(), row.state, time);
            runner.setLink(LinkState::Healthy);
            co_return;
        }
    }
    for (const auto& row : runnerRows) {
        if (row.fault == fault) {
            runner.setRefusalTime(shortestRefusalTime + std::chrono::milliseconds(draw / 7 % refusalTimeRange));
            co_return co_await applyRunnerFault(runner, row.runnerFault, time);
        }
    }
    switch (fault) {
    case GatewayFault::GatewayKilled:
        m_gateways[gateway].signal(SIGKILL);
        break;
    case GatewayFault::GatewayStopped:
        m_gateways[gateway].signal(SIGTERM);
        m_stoppedAt[m_gateways[gateway].name()] = SteadyClock::now();
        break;
    case GatewayFault::GatewayPaused:
        co_await pauseGateway(gateway, time);
        break;
    case GatewayFault::GatewayHerdKilled:
        for (auto& it : m_gateways) {
            it.signal(SIGKILL);
        }
        m_crashingPart.recordAllKilled();
        break;
    case GatewayFault::StoreRefuses:
        recordStoreDisturbed();
        m_store.forcedStatus = 503;
        co_await sleepFor(time);
        m_store.forcedStatus = 0;
        recordStoreDisturbed();
        break;
    case GatewayFault::StoreSlow:
        recordStoreDisturbed();
        m_store.delay = std::chrono::milliseconds(200);
        co_await sleepFor(time);
        m_store.delay = std::chrono::milliseconds(0);
        recordStoreDisturbed();
        break;
    case GatewayFault::StoreLosesAnswer:
        m_store.dropsNextResponse = true;
        m_evacuatedZone.recordStoreDisturbed();
        break;
    case GatewayFault::StoreForgetsHistory:
        m_store.compact();
        break;
    case GatewayFault::StoreEndsLeases:
        m_store.endLeases();
        break;
    case GatewayFault::StoreRestored:
        co_await restoreStore(draw);
        break;
    case GatewayFault::RunnerReplaced:
        co_await replaceRunner(runner);
        break;
    case GatewayFault::CrashingPart:
        co_await playCrashingPart();
        break;
    case GatewayFault::ConfigurationChanged:
        writeConfiguration();
        break;
    case GatewayFault::KeyWithdrawn: {
        const auto withdrawn = m_ledger.keyNumber();
        m_ledger.replaceKey();
        writeConfiguration();
        m_ledger.recordKeyWithdrawn(withdrawn);
        break;
    }
    case GatewayFault::WeightsNamed:
        ++m_weights;
        writeOperatorRecords();
        break;
    default:
        break;
    }
}

void GatewaySoak::writeConfiguration()
{
    ++m_configuration;
    const auto route = [](const std::string& prefix, const char* kind, int attempts, bool isResumable) {
        return Json { { "name", prefix }, { "host", "soak.example" }, { "prefix", prefix }, { "kind", kind },
            { "service", "app" }, { "max_attempts", attempts }, { "timeout_ms", 4000 }, { "goal_ms", 500 },
            { "allow_resume", isResumable } };
    };
    auto routes = Json::array({ route("/safe/", "safe", 2, false), route("/unsafe/", "unsafe", 2, false),
        route("/stream/", "streaming", 2, false), route("/resumable/", "streaming", 2, true) });
    // Each version has its own route, by which probes detect whether the version is in force.
    auto probe = route(versionPrefix(m_configuration), "safe", 1, false);
    probe["skip_auth"] = true;
    routes.push_back(probe);
    const Json organisation { { "name", "org" }, { "api_keys", Json::array({ m_ledger.key() }) },
        { "rate_per_s", 1'000'000 }, { "burst", 1'000'000 } };
    const Json configuration { { "version", m_configuration }, { "routes", routes },
        { "services", Json::array({ Json { { "name", "app" }, { "max_conns", 400 } } }) },
        { "tenants", Json::array({ organisation }) } };
    m_configurationText = configuration.dump();
    writeOperatorRecords();
}

void GatewaySoak::writeOperatorRecords()
{
    // A record is rewritten only when it has changed or is missing.
    const auto write = [this](const std::string& key, const std::string& value) {
        if (m_store.value(key) != value) {
            m_store.put(key, value);
        }
    };
    write("op/config", m_configurationText);
    if (m_weights > 1) {
        write("op/version/m", Json { { "model", "m" }, { "version", m_weights } }.dump());
    }
    for (const auto zone : zones) {
        const auto key = "op/evacuate/" + std::string(zone);
        if (zone == m_evacuatedZone.zone()) {
            write(key, "{}");
        } else if (m_store.value(key)) {
            m_store.erase(key);
        }
    }
}

Task<> GatewaySoak::restoreStore(std::uint64_t draw)
{
    if (std::exchange(m_isRestoring, true)) {
        co_return;
    }
    m_store.copy();
    const std::chrono::milliseconds copyAge = minCopyAge + std::chrono::milliseconds(draw / 7 % copyAgeRange);
    co_await sleepFor(std::min<SteadyClock::duration>(copyAge, m_end - SteadyClock::now() - maxFaultDuration));
    co_await restoreOnce();
    if (draw % 3 == 0) {
        co_await restoreOnce();
    }
    m_isRestoring = false;
}

Task<> GatewaySoak::restoreOnce()
{
    m_evacuatedZone.recordStoreDisturbed();
    m_store.forcedStatus = 503;
    co_await sleepFor(restoreOutage);
    m_store.restore();
    m_store.forcedStatus = 0;
    const auto backAt = SteadyClock::now();
    co_await sleepFor(operatorDelay);
    writeOperatorRecords();
    co_await sleepFor(restoredServiceTime - operatorDelay);
    for (auto& gateway : m_gateways) {
        const auto response = co_await fetch(gateway.ready(), { "GET", "/api/ready", "", {}, "" }, readyTimeout);
        if (wasUndisturbed(gateway, backAt)) {
            m_report.recordCheck(GatewayGuarantee::RestoresEndSoon, response && response->status == 200,
                gateway.name() + " is not ready after a restore of the store");
        }
    }
    co_await sleepFor(entryTimeToLive - restoredServiceTime);
    for (const auto& runner : m_endedRunners) {
        if (m_store.value("servers/" + runner)) {
            m_store.erase("servers/" + runner);
        }
    }
}

bool GatewaySoak::wasUndisturbed(const GatewayProcess& gateway, SteadyClock::time_point since) const
{
    const auto from = since - restoreOutage - startupTime;
    const auto stopped = m_stoppedAt.find(gateway.name());
    const bool isStopping = stopped != m_stoppedAt.end() && stopped->second > gateway.lastDisturbedAt();
    return !isStopping && gateway.lastDisturbedAt() < from && m_storeDisturbedAt < from
        && m_storeLink.state() == LinkState::Healthy && m_store.forcedStatus == 0 && m_store.delay.count() == 0;
}

Task<> GatewaySoak::sendHeartbeats()
{
    while (!m_isOver) {
        co_await sleepFor(heartbeatInterval);
        for (const auto& runner : m_runners) {
            const auto key = "servers/" + runner.id();
            // The entry is rewritten only when it has changed.
            if (m_store.value(key) != runner.entry()) {
                m_store.put(key, runner.entry());
            }
        }
    }
}

Task<> GatewaySoak::watchConfiguration()
{
    std::map<std::string, std::int64_t> newest;
    unsigned probes = 0;
    while (!m_isOver) {
        co_await sleepFor(probeInterval);
        for (auto& gateway : m_gateways) {
            const auto incarnation = gateway.process();
            const auto version = m_configuration;
            for (const auto asked : { version, newest[incarnation] }) {
                if (asked == 0) {
                    continue;
                }
                const auto id = "probe-" + std::to_string(++probes);
                HttpRequest request { "GET", versionPrefix(asked), "",
                    { { "Host", "soak.example" }, { "X-Request-Id", id } }, "" };
                m_ledger.recordSent(id, RequestKind::Safe, false, "", std::nullopt, incarnation);
                const auto response = co_await fetch(gateway.callers(), std::move(request), probeTimeout);
                if (!response || incarnation != gateway.process()) {
                    continue;
                }
                // The next version removes the route of this one, so a missing route is not a violation. A route that
                // exists although a newer version was in force is one.
                if (response->status != 404 && response->status != 401 && response->status != 503) {
                    m_report.recordCheck(GatewayGuarantee::ConfigurationNeverReverts, asked >= newest[incarnation],
                        incarnation + " reverted to version " + std::to_string(asked));
                    newest[incarnation] = std::max(newest[incarnation], asked);
                }
            }
        }
    }
}

Task<> GatewaySoak::checkRecovery()
{
    for (auto& gateway : m_gateways) {
        const auto response = co_await fetch(gateway.ready(), { "GET", "/api/ready", "", {}, "" }, readyTimeout);
        m_report.recordCheck(GatewayGuarantee::Recovers, response && response->status == 200,
            gateway.name() + " is not ready after the faults");
    }
    for (const auto& runner : m_runners) {
        m_report.recordCheck(GatewayGuarantee::Recovers, runner.weights() == m_weights,
            runner.id() + " has weights " + std::to_string(runner.weights()) + " of " + std::to_string(m_weights));
    }
}

std::string formatReport(const GatewaySoakReport& report)
{
    std::ostringstream out;
    for (const auto& row : EnumTable<GatewayGuarantee>::rows) {
        const auto it = report.guarantees.find(row.value);
        const auto tally = it == report.guarantees.end() ? GuaranteeTally {} : it->second;
        out << (tally.violations == 0 ? "held    " : "BROKEN  ") << row.name << ": " << tally.violations << " of "
            << tally.checks << " checks failed\n";
        for (std::size_t i = 0; i < std::min(maxExamples, tally.examples.size()); ++i) {
            out << "        " << tally.examples[i] << "\n";
        }
    }
    out << "faults: ";
    for (const auto& [fault, n] : report.faults) {
        out << nameOf(fault) << " " << n << "  ";
    }
    out << "\nrequests " << report.requests << ", connections lost " << report.connectionsLost << ", answers: ";
    for (const auto& [status, n] : report.responsesByStatus) {
        out << status << " " << n << "  ";
    }
    out << "\n";
    return out.str();
}

} // namespace Pollenwind
