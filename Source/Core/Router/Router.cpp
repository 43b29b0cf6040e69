#include "Router/Router.h"

#include "Common/Digest.h"
#include "Common/Sleep.h"
#include "Common/TaskFault.h"
#include "Config/ConfigurationTable.h"
#include "Dispatch/AdmissionQueue.h"
#include "Dispatch/CompletionDispatcher.h"
#include "Dispatch/PlainDispatcher.h"
#include "Dispatch/StoreClaims.h"
#include "Http/AdminFrontEnd.h"
#include "Http/CallerFrontEnd.h"
#include "Keys/KeyTable.h"
#include "Limits/FleetLimiter.h"
#include "Membership/MembershipTable.h"
#include "Metrics/MetricTable.h"
#include "Moves/MoveTable.h"
#include "Peer/PeerNetwork.h"
#include "Placement/CostPolicy.h"
#include "Placement/PlacementIndex.h"
#include "Router/CacheEventMonitor.h"
#include "Router/Commands/MoveAdminCommands.h"
#include "Router/Commands/RouterCommands.h"
#include "Router/FleetSync.h"
#include "Router/HealthMonitor.h"
#include "Router/MoveDriver.h"
#include "Router/Queries/MembersQuery.h"
#include "Router/Queries/MovesQuery.h"
#include "Router/Queries/RouterQueries.h"
#include "Router/ShareManager.h"
#include "Router/StoreSync.h"
#include "Store/EtcdGatewayClient.h"
#include "Timeline/Log.h"
#include "Timeline/Timeline.h"
#include "Upstream/HttpOrderClient.h"
#include "Upstream/HttpUpstreamClient.h"
#include "Upstream/UpstreamTable.h"

namespace Pollenwind {

namespace {

    constexpr std::chrono::milliseconds reconfigureInterval { 50 };
    constexpr std::chrono::milliseconds drainPollInterval { 20 };

    /// Time after the first valid configuration in which a higher revision may arrive before the router is ready.
    constexpr std::chrono::milliseconds startWait { 500 };

    VmIdentity toVmIdentity(const Settings& settings, const RouterIdentity& identity, WallTime startedAt)
    {
        return { identity.vm, identity.zone, identity.incarnation,
            std::chrono::duration_cast<std::chrono::microseconds>(startedAt).count(), settings.listenPeers,
            settings.listenAdmin };
    }

    PeerOptions toPeerOptions(const Settings& settings)
    {
        PeerOptions options;
        options.secret = settings.clusterSecret;
        return options;
    }

    /// Age of the move records. Peers forward keys and the configuration but not these, so only the store's
    /// confirmation counts.
    class StoreFreshness final : public RecordFreshness {
    public:
        StoreFreshness(const Clock& clock, const StoreSync& store)
            : m_clock(clock)
            , m_store(store)
        {
        }
        std::chrono::nanoseconds age() const override { return m_clock.now() - m_store.confirmedAt(); }

    private:
        const Clock& m_clock;
        const StoreSync& m_store;
    };

    DispatchTimeouts toTimeouts(const Settings& settings)
    {
        return { settings.rateWaitLimit, settings.firstTokenTimeout, settings.tokenGapTimeout };
    }

    HttpServerLimits toCallerLimits(const Settings& settings)
    {
        auto limits = settings.httpLimits;
        // A stop closes idle connections after this time, so callers are promised no more.
        limits.maxPromisedIdleTime = settings.shutdownListenTime;
        return limits;
    }

} // namespace

struct Router::Parts {
    Parts(asio::any_io_executor ex, Settings s, const LinkFaults* faults)
        : executor(std::move(ex))
        , settings(std::move(s))
        , identity { settings.vm, settings.zone, Incarnation(randomBits()) }
        , timeline(clock, settings.vm.value() + "/" + std::to_string(identity.incarnation.value()))
        , configuration(timeline)
        , keys(clock, timeline, settings.keysUnconfirmedLimit)
        , limitTable(clock, configuration, settings.vm, settings.zone)
        , limits(executor, clock, limitTable, grants, metrics)
        , cache(clock)
        , placement(clock, cache, cache, { .seed = randomBits() })
        , upstreams(clock, configuration, timeline, cache, metrics)
        , upstreamClient(executor, settings.connectTimeout)
        , store(executor, settings.store, { settings.storeCallTimeout }, metrics)
        , vm(toVmIdentity(settings, identity, clock.wallNow()))
        , members(clock, timeline, vm.vm)
        , peers(executor, { clock, metrics, timeline, faults ? *faults : noFaults, fleetSync }, vm,
              toPeerOptions(settings))
        , repair(store, store, keys)
        , keyPropagator(
              { executor, clock, vm.vm, vm.zone, configuration, keys, keys, keys, members, repair }, peers, peers)
        , confirmation(clock, vm.zone, configuration, members, keys)
        , grants(executor, clock, peers, members)
        , fleetSync({ clock, configuration, configuration, keys, keys, members, members, keyPropagator, confirmation,
                        grants, limitTable, store, store, timeline, peers, peers },
              { settings.seedPeers, settings.storeStartJitter })
        , freshness(clock, storeSync)
        , moves(clock, freshness, evaluator, timeline)
        , storeSync({ clock, store, configuration, keyPropagator, moves, timeline, metrics, repair,
              settings.storeStartJitter })
        , shareManager({ clock, store, store, configuration, limitTable, timeline },
              { settings.vm, settings.zone, identity.incarnation, settings.listenPeers, clock.wallNow() })
        , health(executor, upstreams, upstreams, upstreamClient, settings.healthInterval)
        , cacheEvents(executor, cache, cache, upstreams, configuration, upstreamClient)
        , moveDriver({ clock, configuration, store, store, moves, moves, planner, evaluator, upstreams, orders,
              timeline, settings.vm })
        , retryBudget(clock)
        , admission(clock, upstreams, metrics)
        , dispatch { clock, configuration, keys, limits, placement, cache, upstreams, upstreams, metrics, retryBudget,
            admission, moves, moves, settings.zone, toTimeouts(settings) }
        , completions(dispatch, upstreamClient)
        , claims(clock, store, metrics)
        , plain(dispatch, upstreamClient, claims)
        , callerFrontEnd({ clock, configuration, keys, completions, plain, metrics, settings.requestDeadline })
        , adminFrontEnd(settings.adminToken)
        , callerServer(executor, callerFrontEnd, toCallerLimits(settings))
        , adminServer(executor, adminFrontEnd, settings.httpLimits)
        , statusQuery(identity, configuration, keys, storeSync, metrics)
        , servicesQuery(configuration, upstreams)
        , membersQuery(vm, configuration, members, peers)
        , keysQuery(keys)
        , limitsQuery(limitTable)
        , timelineQuery(timeline)
        , applyCommand(store, store, configuration)
        , keyCommand(store, store, keyPropagator, keys, configuration, keyPropagator)
        , movesQuery(moves)
        , moveStartCommand(clock, configuration, store, store, moves)
        , moveCancelCommand(clock, store, store, moves)
        , drainCommand([this] { startShutdown(); })
    {
    }

    Task<> followConfiguration();
    Task<> becomeReady();
    Task<> drain();
    void startShutdown();
    void registerAdminCalls();

    asio::any_io_executor executor;
    Settings settings;
    SystemClock clock;
    RouterIdentity identity;
    MetricTable metrics;
    Timeline timeline;
    ConfigurationTable configuration;
    KeyTable keys;
    LimitTable limitTable;
    FleetLimiter limits;
    PlacementIndex cache;
    CostPolicy placement;
    UpstreamTable upstreams;
    HttpUpstreamClient upstreamClient;
    EtcdGatewayClient store;
    VmIdentity vm;
    NoLinkFaults noFaults;
    MembershipTable members;
    PeerNetwork peers;
    WithdrawalRepair repair;
    KeyPropagator keyPropagator;
    KeyConfirmation confirmation;
    GrantExchange grants;
    FleetSync fleetSync;
    StoreFreshness freshness;
    SequentialEvaluator evaluator;
    StepPlanner planner;
    MoveTable moves;
    StoreSync storeSync;
    ShareManager shareManager;
    HealthMonitor health;
    CacheEventMonitor cacheEvents;
    HttpOrderClient orders;
    MoveDriver moveDriver;
    RetryBudget retryBudget;
    AdmissionQueue admission;
    DispatchContext dispatch;
    CompletionDispatcher completions;
    StoreClaims claims;
    PlainDispatcher plain;
    CallerFrontEnd callerFrontEnd;
    AdminFrontEnd adminFrontEnd;
    HttpServer callerServer;
    HttpServer adminServer;

    StatusQuery statusQuery;
    ServicesQuery servicesQuery;
    MembersQuery membersQuery;
    KeysQuery keysQuery;
    LimitsQuery limitsQuery;
    TimelineQuery timelineQuery;
    ApplyCommand applyCommand;
    KeyCommand keyCommand;
    MovesQuery movesQuery;
    MoveStartCommand moveStartCommand;
    MoveCancelCommand moveCancelCommand;
    DrainCommand drainCommand;

    int shutdownRequests = 0;
    bool isReady = false;
    bool isStopped = false;
    std::size_t cutRequests = 0;
};

Router::Router(asio::any_io_executor executor, Settings settings, const LinkFaults* faults)
    : m_parts(std::make_unique<Parts>(std::move(executor), std::move(settings), faults))
{
}

Router::~Router() = default;

void Router::Parts::registerAdminCalls()
{
    adminFrontEnd.addQuery("status", statusQuery);
    adminFrontEnd.addQuery("services", servicesQuery);
    adminFrontEnd.addQuery("members", membersQuery);
    adminFrontEnd.addQuery("keys", keysQuery);
    adminFrontEnd.addQuery("limits", limitsQuery);
    adminFrontEnd.addQuery("timeline", timelineQuery);
    adminFrontEnd.addCommand("apply", applyCommand);
    adminFrontEnd.addCommand("key", keyCommand);
    adminFrontEnd.addQuery("moves", movesQuery);
    adminFrontEnd.addCommand("move-start", moveStartCommand);
    adminFrontEnd.addCommand("move-cancel", moveCancelCommand);
    adminFrontEnd.addCommand("drain", drainCommand);
    adminFrontEnd.addPublicText(
        "/health", "application/json", [] { return Outcome<std::string>("{\"status\":\"ok\"}\n"); });
    adminFrontEnd.addPublicText("/ready", "application/json", [this]() -> Outcome<std::string> {
        if (!isReady || shutdownRequests > 0) {
            return fail(ErrorCode::Unavailable, "not ready");
        }
        return "{\"status\":\"ready\"}\n";
    });
    adminFrontEnd.addPublicText(
        "/metrics", "text/plain; version=0.0.4", [this] { return Outcome<std::string>(metrics.prometheusText()); });
}

Outcome<void> Router::start()
{
    auto& parts = *m_parts;
    parts.registerAdminCalls();
    const auto admin = parts.adminServer.listen(parts.settings.listenAdmin);
    if (!admin) {
        return std::unexpected(admin.error());
    }
    const auto callers = parts.callerServer.listen(parts.settings.listenCallers);
    if (!callers) {
        return std::unexpected(callers.error());
    }
    const auto peers = parts.peers.listen(parts.settings.listenPeers);
    if (!peers) {
        return std::unexpected(peers.error());
    }
    parts.vm.peers = *peers;
    parts.fleetSync.setIdentity(parts.vm);
    parts.timeline.record(EventKind::ProcessStarted,
        { { "vm", parts.settings.vm.value() }, { "zone", parts.settings.zone.value() },
            { "callers", callers->toString() }, { "admin", admin->toString() }, { "peers", peers->toString() } });
    spawnService(parts.executor, TaskKind::PeerLink, [&parts] { return parts.fleetSync.maintainPeers(); });
    spawnService(parts.executor, TaskKind::StoreSync, [&parts] { return parts.fleetSync.followList(); });
    spawnService(parts.executor, TaskKind::PeerCall, [&parts] { return parts.repair.run(); });
    spawnService(parts.executor, TaskKind::Housekeeping, [&parts] { return parts.becomeReady(); });
    spawnService(parts.executor, TaskKind::StoreSync, [&parts] { return parts.storeSync.followRecords(); });
    spawnService(parts.executor, TaskKind::StoreSync, [&parts] { return parts.storeSync.probeRevision(); });
    spawnService(parts.executor, TaskKind::StoreSync, [&parts] { return parts.followConfiguration(); });
    spawnService(parts.executor, TaskKind::StoreRecord, [&parts] { return parts.shareManager.run(); });
    spawnService(parts.executor, TaskKind::Housekeeping, [&parts] { return parts.limits.sweepAccounts(); });
    spawnService(parts.executor, TaskKind::Orders, [&parts] { return parts.moveDriver.driveMoves(); });
    spawnService(parts.executor, TaskKind::Reports, [&parts] { return parts.moveDriver.publishEvidence(); });
    return {};
}

Task<> Router::Parts::becomeReady()
{
    while (configuration.current()->revision.value() == 0) {
        keys.recordConfirmation();
        co_await sleepFor(reconfigureInterval);
    }
    co_await sleepFor(startWait);
    isReady = true;
}

Task<> Router::Parts::followConfiguration()
{
    Revision applied;
    for (;;) {
        if (configuration.current()->revision != applied) {
            applied = configuration.current()->revision;
            upstreams.reconfigure();
            health.followUpstreams();
            cacheEvents.followEngines();
        }
        co_await sleepFor(reconfigureInterval);
    }
}

void Router::Parts::startShutdown()
{
    ++shutdownRequests;
    if (shutdownRequests == 1) {
        timeline.record(EventKind::ProcessStopping, {});
        callerServer.announceClose();
        spawnTask(executor, TaskKind::Shutdown, fleetSync.leave());
        spawnTask(executor, TaskKind::Shutdown, drain());
    }
}

Task<> Router::Parts::drain()
{
    const auto isShutdownForced = [this] { return shutdownRequests > 1; };
    const auto listenUntil = clock.now() + settings.shutdownListenTime;
    while (clock.now() < listenUntil && !isShutdownForced()) {
        co_await sleepFor(drainPollInterval);
    }
    callerServer.stopAccepting();
    const auto limit = clock.now() + settings.shutdownLimit;
    while (callerServer.connectionCount() > 0 && clock.now() < limit && !isShutdownForced()) {
        co_await sleepFor(drainPollInterval);
    }
    cutRequests = callerFrontEnd.runningRequests();
    co_await shareManager.release();
    metrics.count(Counter::ShutdownCuts, cutRequests);
    timeline.record(EventKind::ProcessStopped, { { "cut_requests", std::to_string(cutRequests) } });
    peers.stop();
    isStopped = true;
}

void Router::recordTaskFault(TaskKind task, std::string_view cause)
{
    m_parts->metrics.count(Counter::TaskFaults);
    logStateChange("task-failed", { { "task", std::string(nameOf(task)) }, { "cause", std::string(cause) } });
}

void Router::requestShutdown() { m_parts->startShutdown(); }

Task<std::size_t> Router::waitUntilStopped()
{
    while (!m_parts->isStopped) {
        co_await sleepFor(drainPollInterval);
    }
    co_return m_parts->cutRequests;
}

} // namespace Pollenwind
