#include "Gateway/Gateway.h"

#include "Common/Digest.h"
#include "Common/MemoryBudget.h"
#include "Common/Sleep.h"
#include "Common/TaskFault.h"
#include "Gateway/AffinityPolicy.h"
#include "Gateway/ConfigurationInquiry.h"
#include "Gateway/CrashDetector.h"
#include "Gateway/FeedFrontEnd.h"
#include "Gateway/FleetReporter.h"
#include "Gateway/GatewayFrontEnd.h"
#include "Gateway/GatewaySync.h"
#include "Gateway/HttpRunnerClient.h"
#include "Gateway/MemoryMetrics.h"
#include "Gateway/OrderLease.h"
#include "Gateway/PartQuarantine.h"
#include "Gateway/QuarantineRecords.h"
#include "Gateway/QuotaRecords.h"
#include "Gateway/RolloutDriver.h"
#include "Gateway/RolloutTable.h"
#include "Gateway/RoutingTable.h"
#include "Gateway/RunnerPace.h"
#include "Gateway/RunnerTable.h"
#include "Gateway/StatusFrontEnd.h"
#include "Gateway/TcpRunnerProbe.h"
#include "Gateway/VmRegistration.h"
#include "Gateway/WeightsDriver.h"
#include "Gateway/YieldingRoutes.h"
#include "Gateway/ZoneEvacuations.h"
#include "Timeline/Log.h"
#include "Timeline/Timeline.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace Pollenwind {

namespace {

    // Runners accept a new connection within a few milliseconds. A lost packet is sent again only after a second.
    constexpr std::chrono::milliseconds connectTimeout { 200 };

    constexpr std::chrono::seconds housekeepingInterval { 1 };
    constexpr std::chrono::milliseconds drainPollInterval { 50 };

    constexpr double maxIdleConnections = 32;

    // Time until the load balancer sends no more callers: it checks once a second and removes a VM after two failed
    // checks.
    constexpr std::chrono::milliseconds balancerLag { 2600 };

    // Longest delay of calls to an unavailable store in a large fleet, in percent of the change limit. The rest is for
    // the call itself and for a store that takes 60 times as long as usual.
    constexpr int retryPausePercent = 53;

    // Share of the stop limit in which running requests may end. The rest is for the exit of the process.
    constexpr double stopShare = 0.88;
    // Share of the stop limit for the responses to requests that are still running then.
    constexpr double lastAnswersShare = 0.04;

    // Share of the fleet's retry limit that the VMs use. The rest is a margin, since their windows and their views of
    // the fleet differ.
    constexpr double retryShare = 0.6;

    // Share of the memory limit for bytes of other processes. The rest is for the tables of a large fleet (33 MB, see
    // docs/CAPACITY.md), the program, the sockets, and a buffer that is copied while it grows.
    constexpr std::size_t memoryShare = 4;

    // Margins by which the limits on the use of withdrawn keys and of old weights are shortened, for the time between
    // the check and its effect.
    constexpr std::chrono::milliseconds keyMargin { 600 };
    constexpr std::chrono::milliseconds weightsMargin { 1200 };
    // The pause after a lease may be shorter than the required time between the orders of two VMs, since a holder gives
    // its last order a safety margin before its lease ends.
    constexpr std::chrono::milliseconds handoverMargin { 200 };

    /// The limit minus the margin, but at least half of the limit.
    std::chrono::milliseconds subtractMargin(std::chrono::milliseconds limit, std::chrono::milliseconds margin)
    {
        return std::max(limit - margin, limit / 2);
    }

    /// Time from the begin of a stop until the VM accepts no more connections and closes idle ones.
    std::chrono::milliseconds stopNotice(std::chrono::milliseconds shutdownTimeLimit)
    {
        return std::min(balancerLag, shutdownTimeLimit / 2);
    }

    /// Idle connections that one VM keeps to a runner: its share of half of the connections that the runner accepts.
    /// Above its limit, a runner resets connections together with the requests on them.
    std::size_t idleLimit(const RoutingConfiguration& configuration, std::size_t fleetSize)
    {
        constexpr double idleShare = 0.5;
        double fewest = maxIdleConnections;
        for (const auto& [id, service] : configuration.services) {
            if (service.maxConnections > 0) {
                fewest = std::min(fewest, service.maxConnections * idleShare / static_cast<double>(fleetSize));
            }
        }
        return static_cast<std::size_t>(std::max(1.0, fewest));
    }

    /// Limits for callers in the configuration in use.
    class ConfiguredLimits final : public HttpLimitSource {
    public:
        /// @param stopNotice Time from the begin of a stop until idle connections are closed.
        /// @param connections Connections of callers that the process may keep.
        ConfiguredLimits(const RoutingQueries& routing, std::chrono::milliseconds stopNotice, std::size_t connections)
            : m_routing(routing)
            , m_stopNotice(stopNotice)
            , m_connections(connections)
        {
        }

        HttpServerLimits limits() const override
        {
            const auto configuration = m_routing.current();
            HttpServerLimits server;
            server.headerBytes = configuration->limits.headerBytes;
            server.bodyBytes = configuration->limits.bodyBytes;
            server.headerTimeout = configuration->limits.headerTimeout;
            server.idleTimeout = configuration->limits.idleTimeout;
            server.maxPromisedIdleTime = m_stopNotice;
            server.connections = m_connections;
            return server;
        }

    private:
        const RoutingQueries& m_routing;
        std::chrono::milliseconds m_stopNotice;
        std::size_t m_connections;
    };

} // namespace

struct Gateway::Components {
    Components(asio::any_io_executor ex, GatewaySettings s, GatewayPlatform platform, MetricTable& m)
        : executor(std::move(ex))
        , settings(std::move(s))
        , incarnation(randomBits())
        , metrics(m)
        , timeline(clock, settings.vm.value() + "/" + std::to_string(incarnation.value()))
        , routing(timeline)
        , evacuations(clock, timeline)
        , coldLimit(clock, settings.coldTolerance, std::hash<VmId> {}(settings.vm))
        , runners(clock, timeline,
              { .maxOldWeightsTime = subtractMargin(settings.maxOldWeightsTime, weightsMargin),
                  .spreadSeed = std::hash<VmId> {}(settings.vm) },
              { .evacuations = &evacuations, .routing = &routing, .coldLimit = &coldLimit })
        , fleet(clock, timeline, settings.vm, settings.zone)
        , quota(clock, settings.quotaTolerance)
        , directory(clock)
        , pace(clock)
        , quarantine(clock, timeline, metrics, fleet)
        , quarantineRecords(clock, platform.storeCommands, quarantine, quarantine, fleet)
        , quotaRecords(clock, platform.storeCommands, quota, fleet, metrics)
        , runnerProbe(connectTimeout)
        , crashes(executor, clock, runners, runnerProbe, quarantine)
        , orders(clock, platform.storeCommands, timeline, settings.vm, incarnation,
              { .handoverPause = settings.minOrderHandoverInterval - handoverMargin })
        , feedPolicy(clock, fleet, settings.vm, settings.maxChangeDelay)
        , feeds(executor, platform.storeQueries, feedPolicy, timeline)
        , rollouts(clock, timeline, metrics, { settings.exposure })
        , fleetConfigurations(clock, fleet, settings.listenReports.address)
        , sync({ clock, feeds, changeLog, platform.records, routing, runners, quota, fleet, orders, timeline, metrics,
                   quarantineRecords, rollouts, fleetConfigurations, &evacuations,
                   settings.load.recordsQuota ? &quotaRecords : nullptr },
              { .freshnessGoal = settings.maxKeyWithdrawalDelay * 3 / 5,
                  .keyLimit = subtractMargin(settings.maxKeyWithdrawalDelay, keyMargin),
                  .largeFleetRetryPause = settings.maxChangeDelay * retryPausePercent / 100 })
        , registration(
              platform.storeCommands, settings.vm, FleetView::encodeRecord(settings.listenReports, settings.zone))
        , weights(executor, clock, runners, runners, orders, platform.weights, timeline, settings.vm, {})
        , rolloutDriver(
              { clock, rollouts, rollouts, sync, fleet, orders, platform.storeCommands, platform.records, timeline },
              settings.vm)
        , reporter(executor,
              { fleet, quota, runners, runners, weights, directory, metrics, quarantine, rollouts, rollouts, runners,
                  pace },
              settings.vm, settings.zone, incarnation)
        , policy(settings.zone, directory)
        , retryBudget(clock)
        , client(executor, platform.requests, connectTimeout)
        , log(clock)
        , dispatcher({ clock, routing, sync, runners, runners, policy, directory, quota, retryBudget, client, metrics,
              log, quarantine, quarantine, crashes, rollouts, rollouts, settings.load.yieldRanks,
              settings.load.usesRunnerPace ? &pace : nullptr, settings.regions, settings.load.hedgeShare,
              settings.load.hedgedStreams })
        , frontEnd(clock, platform.requests, dispatcher, metrics, log)
        , status(settings.readyPath, metrics, [this] { return isReady(); })
        , feed(clock, changeLog, sync, fleet)
        , memory(processMemory(), metrics)
        , callerLimits(routing, stopNotice(settings.shutdownTimeLimit), maxCallerConnections(settings.descriptorLimit))
        , callerServer(executor, frontEnd, callerLimits.limits())
        , readyServer(executor, status, {})
        , metricsServer(executor, status, {})
        , feedServer(executor, feed, {})
    {
        callerServer.setLimitSource(callerLimits);
        policy.setStorePlacement(settings.load.storePlacement);
    }

    bool isReady() const;
    /// Decides again where shared parts of prompts are stored.
    void updateStoreChoice(const RoutingConfiguration& configuration);
    Task<> runHousekeeping();
    /// Updates the relative speeds of the runners, and whether they and the work of all zones are used.
    Task<> runPace();
    void updateSharing(bool isUneven);
    /// @param names Ids of the engines by hash.
    void logPace(const std::map<std::uint64_t, UpstreamId>& names);
    Task<> drain();

    asio::any_io_executor executor;
    GatewaySettings settings;
    SystemClock clock;
    Incarnation incarnation;
    MetricTable& metrics;
    Timeline timeline;
    RoutingTable routing;
    ZoneEvacuations evacuations;
    ColdRunnerLimit coldLimit;
    RunnerTable runners;
    FleetView fleet;
    FleetQuota quota;
    CacheDirectory directory;
    RunnerPace pace;
    PartQuarantine quarantine;
    QuarantineRecords quarantineRecords;
    QuotaRecords quotaRecords;
    TcpRunnerProbe runnerProbe;
    CrashDetector crashes;
    OrderLease orders;
    FeedPolicy feedPolicy;
    ChangeFeeds feeds;
    ChangeLog changeLog;
    RolloutTable rollouts;
    ConfigurationInquiry fleetConfigurations;
    GatewaySync sync;
    VmRegistration registration;
    WeightsDriver weights;
    RolloutDriver rolloutDriver;
    FleetReporter reporter;
    AffinityPolicy policy;
    RetryBudget retryBudget;
    HttpRunnerClient client;
    RequestLog log;
    ForwardDispatcher dispatcher;
    GatewayFrontEnd frontEnd;
    StatusFrontEnd status;
    FeedFrontEnd feed;
    MemoryMetrics memory;
    ConfiguredLimits callerLimits;
    HttpServer callerServer;
    HttpServer readyServer;
    HttpServer metricsServer;
    HttpServer feedServer;

    bool sharesZoneWork = false;
    /// Runners that are logged as slower or faster than the median, by hash.
    std::set<std::uint64_t> loggedSpeeds;
    bool isStopping = false;
    bool isStopped = false;
    std::size_t cutRequests = 0;
};

Gateway::Gateway(
    asio::any_io_executor executor, GatewaySettings settings, GatewayPlatform platform, MetricTable& metrics)
    : m_components(std::make_unique<Components>(std::move(executor), std::move(settings), platform, metrics))
{
}

Gateway::~Gateway() = default;

bool Gateway::Components::isReady() const
{
    return !isStopping && routing.current()->version > 0 && sync.mayAcceptKeys();
}

Outcome<void> Gateway::start()
{
    auto& components = *m_components;
    const auto& settings = components.settings;
    processMemory().setTotal(settings.memoryLimit / memoryShare);
    for (const auto& [server, endpoint] : { std::pair { &components.callerServer, settings.listenCallers },
             std::pair { &components.readyServer, settings.listenReady },
             std::pair { &components.metricsServer, settings.listenMetrics },
             std::pair { &components.feedServer, settings.listenReports } }) {
        if (const auto bound = server->listen(endpoint); !bound) {
            return std::unexpected(bound.error());
        }
    }
    if (const auto bound = components.reporter.listen(settings.listenReports); !bound) {
        return bound;
    }
    components.timeline.record(EventKind::ProcessStarted,
        { { "vm", settings.vm.value() }, { "zone", settings.zone.value() },
            { "callers", settings.listenCallers.toString() } });
    components.sync.onRead([&components] {
        components.coldLimit.setFleet(components.fleet.size(), components.fleet.ownRank());
        components.dispatcher.onConfigurationRead();
    });
    components.sync.onRestored([&components] { components.registration.onStoreRestored(components.fleet.size()); });
    components.weights.onLoadingChanged([&components] { components.reporter.sendSoon(); });
    components.quarantine.onNews([&components] { components.reporter.sendSoon(); });
    components.rolloutDriver.onWritten([&components] { components.reporter.sendSoon(); });
    spawnService(components.executor, TaskKind::StoreSync, [&components] { return components.sync.run(); });
    spawnService(components.executor, TaskKind::StoreSync, [&components] { return components.sync.followOtherVms(); });
    spawnService(
        components.executor, TaskKind::StoreRecord, [&components] { return components.quarantineRecords.run(); });
    if (settings.load.recordsQuota) {
        spawnService(
            components.executor, TaskKind::StoreRecord, [&components] { return components.quotaRecords.run(); });
    }
    spawnService(components.executor, TaskKind::StoreRecord, [&components] { return components.registration.run(); });
    spawnService(components.executor, TaskKind::Orders, [&components] { return components.orders.run(); });
    spawnService(components.executor, TaskKind::Orders, [&components] { return components.weights.run(); });
    spawnService(components.executor, TaskKind::Orders, [&components] { return components.rolloutDriver.run(); });
    spawnService(components.executor, TaskKind::Reports, [&components] { return components.reporter.send(); });
    spawnService(components.executor, TaskKind::Reports, [&components] { return components.reporter.receive(); });
    spawnService(components.executor, TaskKind::Housekeeping, [&components] { return components.runHousekeeping(); });
    spawnService(components.executor, TaskKind::Housekeeping, [&components] { return components.runPace(); });
    return {};
}

void Gateway::Components::updateStoreChoice(const RoutingConfiguration& configuration)
{
    const auto tokens = directory.tokensInUse();
    auto& choice = policy.storeChoice();
    if (choice.update(tokens, configuration.cacheStores())) {
        logStateChange("cache-stores",
            { { "placement", choice.isByPrefix() ? "prefix" : "zone" },
                { "tokens_in_use", std::to_string(std::llround(tokens)) } });
    }
    metrics.set(Gauge::SharedTokensInUse, static_cast<std::uint64_t>(tokens));
    metrics.set(Gauge::CacheStoresByPrefix, choice.isByPrefix() ? 1 : 0);
}

Task<> Gateway::Components::runHousekeeping()
{
    for (;;) {
        co_await sleepFor(housekeepingInterval);
        memory.update();
        client.closeExpired();
        directory.removeExpired();
        crashes.checkReplaced();
        quarantine.removeExpired();
        const auto configuration = routing.current();
        client.setIdleLimit(idleLimit(*configuration, fleet.size()));
        updateStoreChoice(*configuration);
        dispatcher.setKnownWorkShare(fleet.knownWorkShare());
        orders.setFleetSize(fleet.size());
        const auto unwilling = runners.unwillingRunners();
        metrics.set(Gauge::RunnersLeaving, unwilling.leaving);
        metrics.set(Gauge::RunnersInBackOff, unwilling.inBackOff);
        metrics.set(Gauge::RunnersCold, unwilling.cold);
        coldLimit.setFleet(fleet.size(), fleet.ownRank());
        const auto progress = evacuations.update(runners.ownRequestsByZone());
        metrics.set(Gauge::ZonesEvacuated, progress.zones);
        metrics.set(Gauge::EvacuatedZoneRequests, progress.requests);
        const double seconds = std::chrono::duration<double>(settings.retries.window).count();
        const double perVm = settings.retries.perWindow * retryShare / static_cast<double>(fleet.size());
        retryBudget.setOptions({ settings.retries.perRequest * retryShare, perVm / seconds, seconds });
    }
}

Task<> Gateway::Components::runPace()
{
    for (;;) {
        co_await sleepFor(RunnerPace::updateInterval);
        const auto configuration = routing.current();
        std::map<ServiceId, std::vector<std::uint64_t>> engines;
        std::map<std::uint64_t, UpstreamId> names;
        for (const auto& entry : runners.entries()) {
            const auto service = configuration->services.find(entry.service);
            if (service != configuration->services.end() && service->second.engine) {
                const auto hash = runnerHash(entry.id);
                engines[entry.service].push_back(hash);
                names.emplace(hash, entry.id);
            }
        }
        std::vector<std::vector<std::uint64_t>> services;
        for (auto& [id, hashes] : engines) {
            services.push_back(std::move(hashes));
        }
        pace.update(services);
        updateSharing(settings.load.usesRunnerPace && pace.isUneven());
        logPace(names);
    }
}

void Gateway::Components::updateSharing(bool isUneven)
{
    // With yielding routes the engines of the prompt pool have other work than the rest, so their paces do not compare,
    // and the work of other zones would move prompts away from their cached prefixes.
    const bool hasYielding = hasYieldingRoute(*routing.current(), settings.load.yieldRanks);
    const bool shares = isUneven && !hasYielding;
    if (shares != std::exchange(sharesZoneWork, shares)) {
        logStateChange("zone-work-sharing",
            { { "shared", shares ? "yes" : "no" }, { "yielding_routes", hasYielding ? "yes" : "no" },
                { "uneven_runners", isUneven ? "yes" : "no" } });
    }
    reporter.setSharesZoneWork(shares);
    policy.setPace(shares ? &pace : nullptr);
    policy.setOtherZoneLoadUnknown(fleet.isLarge() && !(shares && reporter.zonesWithKnownWork() > 0));
}

void Gateway::Components::logPace(const std::map<std::uint64_t, UpstreamId>& names)
{
    const auto log = [&names](std::uint64_t runner, double speed, std::chrono::nanoseconds age) {
        const auto name = names.find(runner);
        const auto ageMs = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
        logStateChange("runner-pace",
            { { "runner", name == names.end() ? "" : name->second.value() }, { "speed", std::to_string(speed) },
                { "age_ms", std::to_string(ageMs) } });
    };
    std::set<std::uint64_t> present;
    std::size_t slow = 0;
    std::size_t fast = 0;
    for (const auto& it : pace.speeds()) {
        ++(it.speed < 1 ? slow : fast);
        // Runners that are slow for a moment would fill the log; the gauges show them.
        if (it.duration >= RunnerPace::unevenDelay) {
            present.insert(it.runner);
            if (!loggedSpeeds.contains(it.runner)) {
                log(it.runner, it.speed, it.age);
            }
        }
    }
    for (const auto runner : loggedSpeeds) {
        if (!present.contains(runner)) {
            log(runner, pace.speedOf(runner), {});
        }
    }
    metrics.set(Gauge::RunnersSlow, slow);
    metrics.set(Gauge::RunnersFast, fast);
    metrics.set(Gauge::ZonesReportingWork, reporter.zonesWithKnownWork());
    loggedSpeeds = std::move(present);
}

void Gateway::requestShutdown()
{
    auto& components = *m_components;
    if (!std::exchange(components.isStopping, true)) {
        components.timeline.record(EventKind::ProcessStopping, {});
        spawnTask(components.executor, TaskKind::Shutdown, components.drain());
    }
}

Task<> Gateway::Components::drain()
{
    const auto startedAt = clock.now();
    const auto limit = std::chrono::duration_cast<std::chrono::nanoseconds>(settings.shutdownTimeLimit * stopShare);
    const auto exitLimit
        = limit + std::chrono::duration_cast<std::chrono::nanoseconds>(settings.shutdownTimeLimit * lastAnswersShare);
    const std::chrono::nanoseconds lag = stopNotice(settings.shutdownTimeLimit);
    frontEnd.beginShutdown(routing, startedAt + lag, startedAt + limit);
    callerServer.announceClose();
    // Not awaited, since a slow store must not reduce the time for running requests.
    spawnTask(executor, TaskKind::Shutdown, orders.release());
    spawnTask(executor, TaskKind::Shutdown, registration.release());
    while (clock.now() - startedAt < lag) {
        co_await sleepFor(drainPollInterval);
    }
    callerServer.stopAccepting();
    while (callerServer.connectionCount() > 0 && clock.now() - startedAt < limit) {
        co_await sleepFor(drainPollInterval);
    }
    cutRequests = frontEnd.stopRunning();
    while (callerServer.connectionCount() > 0 && clock.now() - startedAt < exitLimit) {
        co_await sleepFor(drainPollInterval);
    }
    metrics.count(Counter::ShutdownCuts, cutRequests);
    timeline.record(EventKind::ProcessStopped, { { "cut_requests", std::to_string(cutRequests) } });
    isStopped = true;
}

Task<std::size_t> Gateway::waitUntilStopped()
{
    while (!m_components->isStopped) {
        co_await sleepFor(drainPollInterval);
    }
    co_return m_components->cutRequests;
}

} // namespace Pollenwind
