#include "Router/Router.h"

#include "Common/Digest.h"
#include "Common/Sleep.h"
#include "Config/ConfigurationTable.h"
#include "Dispatch/AdmissionQueue.h"
#include "Dispatch/CompletionDispatcher.h"
#include "Dispatch/PlainDispatcher.h"
#include "Dispatch/StoreClaims.h"
#include "Http/AdminFrontEnd.h"
#include "Http/CallerFrontEnd.h"
#include "Keys/KeyTable.h"
#include "Limits/LocalLimiter.h"
#include "Metrics/MetricTable.h"
#include "Moves/MoveTable.h"
#include "Placement/RendezvousPolicy.h"
#include "Platform/EtcdGatewayClient.h"
#include "Router/Commands/MoveAdminCommands.h"
#include "Router/Commands/RouterCommands.h"
#include "Router/HealthMonitor.h"
#include "Router/MoveDriver.h"
#include "Router/Queries/MovesQuery.h"
#include "Router/Queries/RouterQueries.h"
#include "Router/StoreSync.h"
#include "Timeline/Timeline.h"
#include "Upstream/HttpOrderClient.h"
#include "Upstream/HttpUpstreamClient.h"
#include "Upstream/UpstreamTable.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Pollenwind {

namespace {

    constexpr std::chrono::milliseconds reconfigureCheck { 50 };
    constexpr std::chrono::milliseconds drainCheck { 20 };

    /// Placement by hashing alone keeps no cache knowledge.
    class NoCacheKnowledge final : public CacheCommands {
    public:
        void notePlaced(const PlacementChoice&, const PrefixChain&) override { }
        void noteCached(const PlacementChoice&, const PrefixChain&, std::uint32_t) override { }
        void noteEvent(const UpstreamId&, const CacheEvent&) override { }
        void noteIncarnation(const UpstreamId&, Incarnation) override { }
    };

    /// The shared records are as fresh as the key table, which is one of them.
    class KeyFreshness final : public RecordFreshness {
    public:
        explicit KeyFreshness(const KeyQueries& keys)
            : m_keys(keys)
        {
        }
        std::chrono::nanoseconds age() const override { return m_keys.confirmationAge(); }

    private:
        const KeyQueries& m_keys;
    };

    DispatchTimeouts toTimeouts(const Settings& settings)
    {
        return { settings.rateWaitLimit, settings.firstTokenTimeout, settings.tokenGapTimeout };
    }

} // namespace

struct Router::Parts {
    Parts(asio::any_io_executor ex, Settings s)
        : executor(std::move(ex))
        , settings(std::move(s))
        , identity { settings.vm, settings.zone, Incarnation(randomBits()) }
        , timeline(clock, settings.vm.value() + "/" + std::to_string(identity.incarnation.value()))
        , configuration(timeline)
        , keys(clock, timeline, settings.keysUnconfirmedLimit)
        , limits(clock, configuration)
        , upstreams(clock, configuration, timeline, cache, metrics)
        , upstreamClient(executor, settings.connectTimeout)
        , store(executor, settings.store, { settings.storeCallTimeout }, metrics)
        , freshness(keys)
        , moves(clock, freshness, judge, timeline)
        , storeSync({ clock, store, configuration, keys, moves, timeline, metrics })
        , health(executor, upstreams, upstreams, upstreamClient, settings.healthInterval)
        , moveDriver({ clock, configuration, store, store, moves, moves, planner, judge, upstreams, orders, timeline,
              settings.vm })
        , retryBudget(clock)
        , admission(clock, upstreams, metrics)
        , dispatch { clock, configuration, keys, limits, placement, cache, upstreams, upstreams, metrics, retryBudget,
            admission, settings.zone, toTimeouts(settings) }
        , completions(dispatch, upstreamClient)
        , claims(clock, store, metrics)
        , plain(dispatch, upstreamClient, claims)
        , callerFrontEnd({ clock, configuration, keys, completions, plain, metrics, settings.requestDeadline })
        , adminFrontEnd(settings.adminToken)
        , callerServer(executor, callerFrontEnd, settings.httpLimits)
        , adminServer(executor, adminFrontEnd, settings.httpLimits)
        , statusQuery(identity, configuration, keys, storeSync, metrics)
        , servicesQuery(configuration, upstreams)
        , keysQuery(keys)
        , limitsQuery(limits)
        , timelineQuery(timeline)
        , applyCommand(store, store, configuration)
        , keyCommand(store, store, keys)
        , movesQuery(moves)
        , moveStartCommand(clock, configuration, store, store, moves)
        , moveCancelCommand(clock, store, store, moves)
        , drainCommand([this] { startShutdown(); })
    {
    }

    Task<> followConfiguration();
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
    LocalLimiter limits;
    RendezvousPolicy placement;
    NoCacheKnowledge cache;
    UpstreamTable upstreams;
    HttpUpstreamClient upstreamClient;
    EtcdGatewayClient store;
    KeyFreshness freshness;
    SequentialJudge judge;
    StepPlanner planner;
    MoveTable moves;
    StoreSync storeSync;
    HealthMonitor health;
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
    bool isStopped = false;
    std::size_t cutRequests = 0;
};

Router::Router(asio::any_io_executor executor, Settings settings)
    : m_parts(std::make_unique<Parts>(std::move(executor), std::move(settings)))
{
}

Router::~Router() = default;

void Router::Parts::registerAdminCalls()
{
    adminFrontEnd.addQuery("status", statusQuery);
    adminFrontEnd.addQuery("services", servicesQuery);
    adminFrontEnd.addQuery("keys", keysQuery);
    adminFrontEnd.addQuery("limits", limitsQuery);
    adminFrontEnd.addQuery("timeline", timelineQuery);
    adminFrontEnd.addCommand("apply", applyCommand);
    adminFrontEnd.addCommand("key", keyCommand);
    adminFrontEnd.addQuery("moves", movesQuery);
    adminFrontEnd.addCommand("move-start", moveStartCommand);
    adminFrontEnd.addCommand("move-cancel", moveCancelCommand);
    adminFrontEnd.addCommand("drain", drainCommand);
    adminFrontEnd.addOpenText(
        "/health", "application/json", [] { return Outcome<std::string>("{\"status\":\"ok\"}\n"); });
    adminFrontEnd.addOpenText("/ready", "application/json", [this]() -> Outcome<std::string> {
        if (configuration.current()->revision.value() == 0 || shutdownRequests > 0) {
            return fail(ErrorCode::Unavailable, "not ready");
        }
        return "{\"status\":\"ready\"}\n";
    });
    adminFrontEnd.addOpenText(
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
    parts.timeline.record(EventKind::ProcessStarted,
        { { "vm", parts.settings.vm.value() }, { "zone", parts.settings.zone.value() },
            { "callers", callers->toString() }, { "admin", admin->toString() } });
    asio::co_spawn(parts.executor, parts.storeSync.followRecords(), asio::detached);
    asio::co_spawn(parts.executor, parts.storeSync.probeRevision(), asio::detached);
    asio::co_spawn(parts.executor, parts.followConfiguration(), asio::detached);
    asio::co_spawn(parts.executor, parts.moveDriver.driveMoves(), asio::detached);
    asio::co_spawn(parts.executor, parts.moveDriver.publishEvidence(), asio::detached);
    return {};
}

Task<> Router::Parts::followConfiguration()
{
    Revision applied;
    for (;;) {
        if (configuration.current()->revision != applied) {
            applied = configuration.current()->revision;
            upstreams.reconfigure();
            health.followUpstreams();
        }
        co_await sleepFor(reconfigureCheck);
    }
}

void Router::Parts::startShutdown()
{
    ++shutdownRequests;
    if (shutdownRequests == 1) {
        timeline.record(EventKind::ProcessStopping, {});
        asio::co_spawn(executor, drain(), asio::detached);
    }
}

Task<> Router::Parts::drain()
{
    const auto isCutShort = [this] { return shutdownRequests > 1; };
    const auto listenUntil = clock.now() + settings.shutdownListen;
    while (clock.now() < listenUntil && !isCutShort()) {
        co_await sleepFor(drainCheck);
    }
    callerServer.stopAccepting();
    const auto limit = clock.now() + settings.shutdownLimit;
    while (callerServer.connectionCount() > 0 && clock.now() < limit && !isCutShort()) {
        co_await sleepFor(drainCheck);
    }
    cutRequests = callerFrontEnd.runningRequests();
    metrics.count(Counter::ShutdownCuts, cutRequests);
    timeline.record(EventKind::ProcessStopped, { { "cut_requests", std::to_string(cutRequests) } });
    isStopped = true;
}

void Router::requestShutdown() { m_parts->startShutdown(); }

Task<std::size_t> Router::waitUntilStopped()
{
    while (!m_parts->isStopped) {
        co_await sleepFor(drainCheck);
    }
    co_return m_parts->cutRequests;
}

} // namespace Pollenwind
