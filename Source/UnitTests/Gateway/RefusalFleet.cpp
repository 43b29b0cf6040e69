#include "Gateway/RefusalFleet.h"

#include <algorithm>

namespace Pollenwind {

using namespace std::chrono_literals;

namespace {

    constexpr auto networkTime = 1ms;
    constexpr auto reportInterval = 250ms;
    constexpr auto refusalsStart = 2s;
    constexpr auto allowedDelay = 500ms;

} // namespace

/// A simulated runner.
struct RefusalFleet::Runner {
    RunnerEntry entry;
    bool isRefusing = false;
    unsigned running = 0;
    /// Ends of the requests in execution and in the queue.
    std::vector<MonotonicTime> slotFreeAt;
    /// By VM: the last refusal that named a time, its end, and the requests since.
    struct BackOff {
        MonotonicTime from { 0 };
        MonotonicTime until { 0 };
        std::size_t requests = 0;
    };
    std::vector<BackOff> backOffs;

    /// Engines only. Requests with a slot are `running`.
    double speed = 1;
    std::size_t queued = 0;
    MonotonicTime promptsEndAt { 0 };
    bool isCrashed = false;
    /// Requests that wait for a slot, the most urgent and then the oldest first.
    std::multimap<unsigned, asio::steady_timer*> waiting = {};

    void releaseSlot()
    {
        --running;
        if (!waiting.empty()) {
            waiting.begin()->second->cancel();
            waiting.erase(waiting.begin());
            ++running;
        }
    }
};

/// One VM with tables of its own.
struct RefusalFleet::Vm {
    Vm(RefusalFleet& fleet, std::size_t n);

    std::size_t index;
    Timeline timeline;
    MetricTable metrics;
    RoutingTable routing;
    RunnerTable runners;
    FleetQuota quota;
    CacheDirectory directory;
    AffinityPolicy policy;
    RetryBudget retryBudget;
    FixedFreshness freshness;
    RequestLog log;
    std::unique_ptr<Client> client;
    FleetView view;
    PartQuarantine quarantine;
    ScriptedProbe probe;
    CrashDetector crashes;
    RolloutTable rollouts;
    ForwardDispatcher dispatcher;
};

struct RefusalFleet::Request {
    ForwardRequest message;
    RecordingSink sink;
    MonotonicTime arrivedAt { 0 };
};

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

class RefusalFleet::EngineExchange final : public RunnerExchange {
public:
    EngineExchange(RefusalFleet& fleet, Runner& runner, const ForwardRequest& request, unsigned urgency)
        : m_fleet(fleet)
        , m_runner(runner)
        , m_model(*fleet.m_load.engine)
        , m_tokens(request.tokens ? request.tokens->prompt : 0)
        , m_events(static_cast<unsigned>(request.message.body.size()))
        , m_urgency(urgency)
    {
    }
    ~EngineExchange() override { leave(); }
    EngineExchange(const EngineExchange&) = delete;
    EngineExchange& operator=(const EngineExchange&) = delete;

    Task<Outcome<void>> connect(std::chrono::nanoseconds) override
    {
        co_await m_fleet.sleepUntil(m_fleet.m_clock.now() + networkTime);
        co_return m_runner.isCrashed ? fail(ErrorCode::ConnectFailed, "the engine has crashed") : Outcome<void> {};
    }

    Task<Outcome<ReplyHead>> begin(std::chrono::nanoseconds limit) override
    {
        auto& clock = m_fleet.m_clock;
        const auto end = clock.now() + limit;
        co_await m_fleet.sleepUntil(clock.now() + networkTime);
        ReplyHead head;
        head.origin = { .namesRequest = true, .isStamped = true };
        head.status = 200;
        head.kind = ReplyKind::Answer;
        head.isEventStream = true;
        if (m_runner.running + m_runner.waiting.size() >= m_fleet.m_load.slots + m_fleet.m_load.queue) {
            ++m_fleet.m_outcome.engineRefusals;
            head.status = 503;
            head.kind = ReplyKind::NotRun;
            co_return head;
        }
        if (m_runner.running >= m_fleet.m_load.slots) {
            asio::steady_timer timer(m_fleet.m_context, asio::steady_timer::time_point::max());
            m_runner.waiting.emplace(m_urgency, &timer);
            auto& wakeUps = m_fleet.m_wakeUps;
            wakeUps.emplace(end, &timer);
            co_await timer.async_wait(asTuple);
            const auto isOwn = [&timer](const auto& it) { return it.second == &timer; };
            std::erase_if(wakeUps, isOwn);
            // The timer is still in the list if no slot became free.
            if (std::erase_if(m_runner.waiting, isOwn) > 0) {
                co_return fail(ErrorCode::DeadlineExceeded, "no slot in time", RunState::Unknown);
            }
        } else {
            ++m_runner.running;
        }
        m_hasSlot = true;
        const std::chrono::duration<double> compute(m_tokens / (m_model.tokensPerSecond * m_runner.speed));
        const auto time = std::chrono::duration_cast<std::chrono::nanoseconds>(compute);
        const auto queueEnd = std::max(m_runner.promptsEndAt, clock.now());
        m_runner.promptsEndAt = queueEnd + time;
        // The most urgent prompts wait only for the step that runs.
        const auto startAt
            = m_urgency == 0 ? std::min<MonotonicTime>(queueEnd, clock.now() + m_model.promptStep) : queueEnd;
        co_await m_fleet.sleepUntil(startAt + time);
        if (m_runner.isCrashed) {
            co_return fail(ErrorCode::ConnectionLost, "the engine has crashed", RunState::Unknown);
        }
        co_return head;
    }

    Task<Outcome<ReplyHead>> awaitHead(std::chrono::nanoseconds) override
    {
        co_return fail(ErrorCode::ConnectionLost, "the head has arrived", RunState::Unknown);
    }
    bool isRequestSent() const override { return true; }
    Task<Outcome<std::string>> readSome(std::chrono::nanoseconds) override
    {
        if (m_sentEvents == m_events) {
            leave();
            co_return std::string();
        }
        if (m_sentEvents > 0) {
            const auto step = [&] {
                const auto computing = std::clamp<std::chrono::nanoseconds>(
                    m_runner.promptsEndAt - m_fleet.m_clock.now(), 0ns, m_model.promptStep);
                return m_model.batchStep + m_model.stepPerRequest * m_runner.running + computing;
            };
            for (unsigned n = 0; n < m_model.stepsPerEvent; ++n) {
                co_await m_fleet.sleepUntil(m_fleet.m_clock.now() + step());
            }
        }
        if (m_runner.isCrashed) {
            co_return fail(ErrorCode::ConnectionLost, "the engine has crashed", RunState::Unknown);
        }
        co_return "id: " + std::to_string(++m_sentEvents) + "\ndata: x\n\n";
    }
    void cancel() override { leave(); }
    void finish() override { leave(); }

private:
    void leave()
    {
        if (std::exchange(m_hasSlot, false)) {
            m_runner.releaseSlot();
        }
    }

    RefusalFleet& m_fleet;
    Runner& m_runner;
    const EngineModel& m_model;
    double m_tokens;
    unsigned m_events;
    unsigned m_urgency;
    unsigned m_sentEvents = 0;
    bool m_hasSlot = false;
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
        auto& runners = m_fleet.m_runners;
        const auto it = std::ranges::find_if(runners, [&](const Runner& it) { return it.entry.endpoint == endpoint; });
        if (m_fleet.m_load.engine) {
            return std::make_unique<EngineExchange>(m_fleet, *it, request, terms.urgency);
        }
        return std::make_unique<Exchange>(m_fleet, m_vm, *it);
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
    , policy(ZoneId("a"), directory)
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
{
    RoutingConfiguration configuration;
    configuration.version = 1;
    configuration.routes = { makeRoute("/unsafe/", RequestKind::Unsafe, 2) };
    configuration.organisations = { makeOrganisation("org", 1e9) };
    if (const auto& engine = fleet.m_load.engine) {
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
        runner.speed = load.engine ? load.engine->speeds[n % load.engine->speeds.size()] : 1;
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

RefusalFleet::Vm& RefusalFleet::anyVm()
{
    return m_vms[std::uniform_int_distribution<std::size_t>(0, m_vms.size() - 1)(m_random)];
}

void RefusalFleet::startEngineRequest(const EngineRequests& kind)
{
    auto& request = m_requests.emplace_back();
    request.arrivedAt = m_clock.now();
    const auto id = ++m_outcome.requests;
    request.message.id = RequestId("q" + std::to_string(id));
    request.message.host = "shop.example";
    request.message.message.method = "POST";
    request.message.message.path = kind.prefix + "x";
    request.message.message.body = std::string(kind.events, 'x');
    request.message.keyDigest = sha256("key-of-" + kind.organisation);
    request.message.model = "model";
    request.message.tokens = { kind.promptTokens, kind.events };
    // The simulated engines cache nothing, so the shared part is small. It decides which engine is preferred.
    constexpr std::uint64_t prompts = 40;
    request.message.parts
        = { { kind.part > 0 ? kind.part : 1 + id % prompts, 1 }, { id + prompts, kind.promptTokens } };
    asio::co_spawn(m_context, serveByEngines(request, kind), asio::detached);
}

Task<> RefusalFleet::serveByEngines(Request& request, const EngineRequests& kind)
{
    const auto second = static_cast<std::size_t>((request.arrivedAt - m_startedAt) / 1s);
    auto& outcome = m_outcome.routes[kind.prefix + kind.organisation];
    outcome.arrivedBySecond.resize(std::max(outcome.arrivedBySecond.size(), second + 1));
    outcome.inTimeBySecond.resize(outcome.arrivedBySecond.size());
    ++outcome.requests;
    ++outcome.arrivedBySecond[second];
    const auto deadline = request.arrivedAt + kind.timeout;
    MonotonicTime lastEventAt { 0 };
    bool isInTime = true;
    request.sink.onWrite = [&] {
        const auto pause = m_clock.now() - (lastEventAt.count() == 0 ? request.arrivedAt : lastEventAt);
        const auto limit = lastEventAt.count() == 0 ? kind.objective : m_load.engine->longestPause;
        isInTime = isInTime && pause <= limit;
        lastEventAt = m_clock.now();
    };
    for (;;) {
        const auto sentAt = m_clock.now();
        request.message.timeout = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - sentAt);
        const auto result = co_await anyVm().dispatcher.forward(request.message, sentAt, request.sink);
        const auto now = m_clock.now();
        if (result) {
            ++(isInTime && now <= deadline ? outcome.inTime : outcome.late);
            outcome.inTimeBySecond[second] += isInTime && now <= deadline ? 1 : 0;
            co_return;
        }
        if (result.error().runState == RunState::NotRun && result.error().retryAfter) {
            m_outcome.refusedAfter.push_back(now - sentAt);
            m_outcome.refusedWhileFree += std::ranges::any_of(m_runners,
                [&](const Runner& it) { return it.running < m_load.slots && it.promptsEndAt <= now && !it.isCrashed; });
            // Callers follow the time up to a third of what is left, once.
            if (*result.error().retryAfter <= (deadline - now) / 3 && sentAt == request.arrivedAt) {
                co_await sleepUntil(now + *result.error().retryAfter);
                continue;
            }
        }
        ++outcome.refused;
        co_return;
    }
}

void RefusalFleet::crashEngines()
{
    for (std::size_t n = 0; n < m_load.engine->crashing; ++n) {
        if (!std::exchange(m_runners[n].isCrashed, true)) {
            for (auto& vm : m_vms) {
                vm.runners.markEntryEnded(m_runners[n].entry.id);
            }
        }
    }
}

void RefusalFleet::report()
{
    if (m_load.engine && !m_load.engine->hasReports) {
        return;
    }
    for (auto& from : m_vms) {
        for (auto& to : m_vms) {
            if (&from != &to) {
                to.runners.setRemoteLoad(VmId("vm-" + std::to_string(from.index)), from.runners.ownLoads());
            }
        }
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

RefusalOutcome RefusalFleet::runEngines()
{
    const auto& engine = *m_load.engine;
    std::exponential_distribution<double> gap(1);
    std::vector<MonotonicTime> next(engine.requests.size(), m_startedAt);
    auto nextReport = m_startedAt;
    const auto end = m_startedAt + m_load.duration;
    while (m_clock.now() < end) {
        const auto first = std::ranges::min_element(next);
        advanceTo(std::min(*first, nextReport));
        const auto elapsed = m_clock.now() - m_startedAt;
        const bool isPeak = elapsed >= engine.peakStart && elapsed < engine.peakEnd;
        if (isPeak) {
            crashEngines();
        }
        if (m_clock.now() >= nextReport) {
            report();
            nextReport += reportInterval;
        }
        if (m_clock.now() >= *first) {
            const auto& kind = engine.requests[static_cast<std::size_t>(first - next.begin())];
            startEngineRequest(kind);
            const double rate = kind.rate * (isPeak ? kind.peakFactor : 1);
            *first += std::chrono::nanoseconds(static_cast<std::int64_t>(gap(m_random) / rate * 1e9));
        }
    }
    advanceTo(end + 20s);
    std::ranges::sort(m_outcome.refusedAfter);
    return m_outcome;
}

} // namespace Pollenwind
