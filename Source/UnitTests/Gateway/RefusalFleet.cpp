#include "Gateway/RefusalFleetParts.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <ranges>

namespace Pollenwind {

using namespace std::chrono_literals;

namespace {

    constexpr auto refusalsStart = 2s;
    constexpr auto allowedDelay = 500ms;

} // namespace

class RefusalFleet::Exchange final : public RunnerExchange {
public:
    Exchange(RefusalFleet& fleet, std::size_t vm, Runner& runner)
        : m_fleet(fleet)
        , m_vm(vm)
        , m_runner(runner)
    {
    }

    Task<Outcome<void>> connect(std::chrono::nanoseconds) override
    {
        co_await m_fleet.sleepUntil(m_fleet.m_clock.now() + networkTime);
        co_return Outcome<void> {};
    }

    Task<Outcome<ReplyHead>> begin(std::chrono::nanoseconds) override
    {
        co_await m_fleet.sleepUntil(m_fleet.m_clock.now() + networkTime);
        auto head = m_fleet.accept(m_vm, m_runner);
        if (head.kind == ReplyKind::Answer) {
            const auto slot = std::ranges::min_element(m_runner.slotFreeAt);
            *slot = std::max(*slot, m_fleet.m_clock.now()) + m_fleet.m_load.serviceTime;
            ++m_runner.running;
            co_await m_fleet.sleepUntil(*slot);
            --m_runner.running;
        }
        co_return head;
    }

    Task<Outcome<ReplyHead>> awaitHead(std::chrono::nanoseconds) override
    {
        co_return fail(ErrorCode::ConnectionLost, "the head has arrived", RunState::Unknown);
    }
    bool isRequestSent() const override { return true; }
    Task<Outcome<std::string>> readSome(std::chrono::nanoseconds) override { co_return std::exchange(m_body, {}); }
    void cancel() override { }
    void finish() override { }

private:
    RefusalFleet& m_fleet;
    std::size_t m_vm;
    Runner& m_runner;
    std::string m_body = "body";
};

class RefusalFleet::Client final : public RunnerClient {
public:
    Client(RefusalFleet& fleet, std::size_t vm)
        : m_fleet(fleet)
        , m_vm(vm)
    {
    }

    std::unique_ptr<RunnerExchange> open(
        const Endpoint& endpoint, const ForwardRequest& request, const AttemptTerms& terms, bool) override
    {
        auto& runner = m_fleet.runnerAt(endpoint);
        if (m_fleet.m_load.engine) {
            return m_fleet.openEngine(runner, request, terms);
        }
        return std::make_unique<Exchange>(m_fleet, m_vm, runner);
    }

private:
    RefusalFleet& m_fleet;
    std::size_t m_vm;
};

RefusalFleet::Vm::Vm(RefusalFleet& fleet, std::size_t n)
    : index(n)
    , timeline(fleet.m_clock, "test")
    , routing(timeline)
    , runners(fleet.m_clock, timeline, { .spreadSeed = n })
    , quota(fleet.m_clock)
    , directory(fleet.m_clock)
    , policy(ZoneId(fleet.m_load.engine ? fleet.m_load.engine->zoneOf(n) : "a"), directory)
    , retryBudget(fleet.m_clock)
    , log(fleet.m_clock)
    , client(std::make_unique<Client>(fleet, n))
    , view(fleet.m_clock, timeline, VmId("vm"), ZoneId("a"))
    , quarantine(fleet.m_clock, timeline, metrics, view)
    , crashes(fleet.m_context.get_executor(), fleet.m_clock, runners, probe, quarantine)
    , rollouts(fleet.m_clock, timeline, metrics, { { 0.1, 50 } })
    , dispatcher({ fleet.m_clock, routing, freshness, runners, runners, policy, directory, quota, retryBudget, *client,
          metrics, log, quarantine, quarantine, crashes, rollouts, rollouts,
          fleet.m_load.engine ? fleet.m_load.engine->yieldRanks : LoadSettings {}.yieldRanks })
    , zone(fleet.m_load.engine ? fleet.m_load.engine->zoneOf(n) : "a")
{
    RoutingConfiguration configuration;
    configuration.version = 1;
    configuration.routes = { makeRoute("/unsafe/", RequestKind::Unsafe, 2) };
    configuration.organisations = { makeOrganisation("org", 1e9) };
    if (const auto& engine = fleet.m_load.engine) {
        policy.setOtherZoneLoadUnknown(engine->zones.size() > 1 && !engine->sharesZoneWork);
        configuration.routes.clear();
        configuration.services[ServiceId("app")] = { .id = ServiceId("app"), .engine = EngineProfile {} };
        for (const auto& kind : engine->requests) {
            auto& route = configuration.routes.emplace_back(makeRoute(kind.prefix, RequestKind::Streaming, 1));
            route.priority = kind.priority;
            route.objective = kind.objective;
            route.timeout = kind.timeout;
            configuration.organisations.push_back(makeOrganisation(kind.organisation, 1e9));
        }
    }
    routing.adopt(configuration);
    for (const auto& it : fleet.m_runners) {
        runners.updateEntry(it.entry);
    }
}

RefusalFleet::RefusalFleet(const RefusalLoad& load, unsigned seed)
    : m_load(load)
    , m_random(seed)
    , m_startedAt(m_clock.now())
{
    for (std::size_t n = 0; n < load.runners; ++n) {
        auto& runner = m_runners.emplace_back();
        runner.entry = makeRunner("r" + std::to_string(n));
        runner.entry.endpoint.port = static_cast<std::uint16_t>(10'000 + n);
        runner.entry.slots = load.slots;
        runner.slotFreeAt.resize(load.slots);
        runner.backOffs.resize(load.vms);
        if (const auto& engine = load.engine) {
            runner.speed = engine->speeds[n % engine->speeds.size()];
            runner.entry.zone = ZoneId(engine->zoneOf(n));
            runner.cache = EnginePromptCache(engine->cacheTokens);
        }
    }
    for (std::size_t n = 0; n < load.vms; ++n) {
        m_vms.emplace_back(*this, n);
    }
}

RefusalFleet::~RefusalFleet() = default;

std::chrono::nanoseconds RefusalOutcome::refusalTime(double quantile) const
{
    return refusedAfter.empty()
        ? 0ns
        : refusedAfter[static_cast<std::size_t>(quantile * static_cast<double>(refusedAfter.size() - 1))];
}

Task<> RefusalFleet::sleepUntil(MonotonicTime time)
{
    asio::steady_timer timer(m_context, asio::steady_timer::time_point::max());
    m_wakeUps.emplace(time, &timer);
    co_await timer.async_wait(asTuple);
}

RefusalFleet::Runner& RefusalFleet::runnerAt(const Endpoint& endpoint)
{
    return *std::ranges::find_if(m_runners, [&](const Runner& it) { return it.entry.endpoint == endpoint; });
}

void RefusalFleet::poll()
{
    m_context.restart();
    while (m_context.poll() > 0) { }
}

void RefusalFleet::advanceTo(MonotonicTime end)
{
    poll();
    while (!m_wakeUps.empty() && m_wakeUps.begin()->first <= end) {
        const auto it = m_wakeUps.begin();
        m_clock.advance(std::max(0ns, it->first - m_clock.now()));
        auto* timer = it->second;
        m_wakeUps.erase(it);
        timer->cancel();
        poll();
    }
    m_clock.advance(std::max(0ns, end - m_clock.now()));
}

ReplyHead RefusalFleet::accept(std::size_t vm, Runner& runner)
{
    const auto now = m_clock.now();
    auto& backOff = runner.backOffs[vm];
    if (now >= backOff.from && now < backOff.until) {
        m_outcome.mostInBackOff = std::max(m_outcome.mostInBackOff, ++backOff.requests);
    }
    ReplyHead head;
    head.origin = { .namesRequest = true, .isStamped = true };
    head.status = 200;
    head.kind = ReplyKind::Answer;
    const bool isFull = runner.running >= m_load.slots + m_load.queue;
    if (runner.isRefusing || isFull) {
        head.status = 503;
        head.kind = ReplyKind::NotRun;
    }
    if (runner.isRefusing) {
        ++m_outcome.atRefusing;
        const auto named = m_load.unwantedFor.value_or(2s);
        if (now >= backOff.until) {
            backOff = { now + allowedDelay, now + named, 0 };
        }
        head.unwantedFor = m_load.unwantedFor;
    }
    return head;
}

Task<> RefusalFleet::serve(Vm& vm, Request& request)
{
    const auto result = co_await vm.dispatcher.forward(request.message, request.arrivedAt, request.sink);
    if (result) {
        ++m_outcome.served;
    } else {
        m_outcome.refusedAfter.push_back(m_clock.now() - request.arrivedAt);
    }
}

void RefusalFleet::startRequest()
{
    auto& request = m_requests.emplace_back();
    request.arrivedAt = m_clock.now();
    request.message.id = RequestId("q" + std::to_string(++m_outcome.requests));
    request.message.host = "shop.example";
    request.message.message.method = "POST";
    request.message.message.path = "/unsafe/x";
    request.message.keyDigest = sha256("key-of-org");
    request.message.timeout = 5000ms;
    auto& vm = m_vms[std::uniform_int_distribution<std::size_t>(0, m_vms.size() - 1)(m_random)];
    asio::co_spawn(m_context, serve(vm, request), asio::detached);
}

std::size_t RefusalFleet::killedVms() const { return m_vms.size() - m_load.vms; }

RefusalFleet::Vm& RefusalFleet::anyVm()
{
    if (m_load.engine && m_load.engine->demandSwing > 0) {
        const auto& engine = *m_load.engine;
        const auto zones = static_cast<double>(engine.zones.size());
        std::vector<double> demand(m_load.vms);
        for (std::size_t n = 0; n < demand.size(); ++n) {
            const double turn = (m_clock.now() - m_startedAt) / std::chrono::duration<double>(engine.demandPeriod)
                + static_cast<double>(n % engine.zones.size()) / zones;
            demand[n] = 1 + engine.demandSwing * std::sin(2 * std::numbers::pi * turn);
        }
        return m_vms[killedVms() + std::discrete_distribution<std::size_t>(demand.begin(), demand.end())(m_random)];
    }
    return m_vms[std::uniform_int_distribution<std::size_t>(killedVms(), m_vms.size() - 1)(m_random)];
}

void RefusalFleet::restartVms()
{
    for (auto& it : m_requests) {
        if (it.isForwarded) {
            it.sink.stop(ErrorCode::ConnectionLost);
        }
    }
    // Engines drop the prompts whose connections are lost.
    for (auto& it : m_runners) {
        it.promptsEndAt = m_clock.now();
    }
    for (std::size_t n = 0; n < m_load.vms; ++n) {
        m_vms.emplace_back(*this, n);
    }
    m_vmsStartedAt = m_clock.now() + m_load.engine->restartTime;
}

void RefusalFleet::report()
{
    if (m_load.engine && !m_load.engine->hasReports) {
        return;
    }
    const bool hasCaches = m_load.engine && m_load.engine->cacheTokens > 0;
    for (auto& from : m_vms | std::views::drop(killedVms())) {
        const auto prefixes = hasCaches ? from.directory.takeUpdates() : std::vector<CachedPrefix>();
        for (auto& to : m_vms | std::views::drop(killedVms())) {
            const bool isOwnZone = from.zone == to.zone;
            if (&from != &to && (isOwnZone || m_load.engine->sharesZoneWork)) {
                to.runners.setRemoteLoad(
                    VmId("vm-" + std::to_string(from.index)), isOwnZone ? from.runners.ownLoads() : from.relayedLoads);
            }
            if (&from != &to) {
                to.directory.recordRemoteRead(prefixes, isOwnZone);
            }
        }
        from.relayedLoads = from.runners.ownLoads();
    }
}

RefusalOutcome RefusalFleet::run()
{
    if (m_load.engine) {
        return runEngines();
    }
    std::exponential_distribution<double> gap(m_load.rate);
    auto nextRequest = m_startedAt;
    auto nextReport = m_startedAt;
    const auto end = m_startedAt + m_load.duration;
    while (m_clock.now() < end) {
        advanceTo(std::min(nextRequest, nextReport));
        const auto elapsed = m_clock.now() - m_startedAt;
        for (std::size_t n = 0; n < m_load.refusing; ++n) {
            m_runners[n].isRefusing = elapsed >= refusalsStart && elapsed < m_load.refusalsEnd;
        }
        if (m_clock.now() >= nextReport) {
            report();
            nextReport += reportInterval;
        }
        if (m_clock.now() >= nextRequest) {
            startRequest();
            nextRequest += std::chrono::nanoseconds(static_cast<std::int64_t>(gap(m_random) * 1e9));
        }
    }
    advanceTo(end + 10s);
    std::ranges::sort(m_outcome.refusedAfter);
    return m_outcome;
}

} // namespace Pollenwind
