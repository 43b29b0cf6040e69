#include "Gateway/RefusalFleetParts.h"

#include <algorithm>

namespace Pollenwind {

using namespace std::chrono_literals;

class RefusalFleet::EngineExchange final : public RunnerExchange {
public:
    EngineExchange(RefusalFleet& fleet, Runner& runner, const ForwardRequest& request, const AttemptTerms& terms)
        : m_fleet(fleet)
        , m_runner(runner)
        , m_model(*fleet.m_load.engine)
        , m_part(request.parts.front())
        , m_tokens(request.tokens ? request.tokens->prompt : 0)
        , m_source(terms.cacheSource)
        , m_events(static_cast<unsigned>(request.message.body.size()))
        , m_urgency(terms.urgency)
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
            m_slotTimer = &timer;
            co_await timer.async_wait(asTuple);
            m_slotTimer = nullptr;
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
        const std::chrono::duration<double> compute(promptSeconds());
        const auto time = std::chrono::duration_cast<std::chrono::nanoseconds>(compute);
        const auto queueEnd = std::max(m_runner.promptsEndAt, clock.now());
        m_runner.promptsEndAt = queueEnd + time;
        // The most urgent prompts wait only for the step that runs.
        const auto startAt
            = m_urgency == 0 ? std::min<MonotonicTime>(queueEnd, clock.now() + m_model.promptStep) : queueEnd;
        co_await m_fleet.sleepUntil(startAt + time);
        if (m_runner.isCrashed || m_isCancelled) {
            co_return fail(ErrorCode::ConnectionLost, "the connection is closed", RunState::Unknown);
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
        if (m_runner.isCrashed || m_isCancelled) {
            co_return fail(ErrorCode::ConnectionLost, "the connection is closed", RunState::Unknown);
        }
        co_return "id: " + std::to_string(++m_sentEvents) + "\ndata: x\n\n";
    }
    void cancel() override
    {
        m_isCancelled = true;
        if (m_slotTimer) {
            m_slotTimer->cancel();
        }
        leave();
    }
    void finish() override { leave(); }

private:
    /// Time to compute the prompt, or to copy its shared part and to compute the rest.
    double promptSeconds()
    {
        const double rate = m_model.tokensPerSecond * m_runner.speed;
        if (m_model.cacheTokens == 0) {
            return m_tokens / rate;
        }
        auto& engines = m_fleet.m_outcome.enginesByPart[m_part.id];
        const auto second = static_cast<std::size_t>((m_fleet.m_clock.now() - m_fleet.m_startedAt) / 1s);
        engines.resize(std::max(engines.size(), second + 1));
        engines[second].insert(m_runner.entry.endpoint.port);
        const bool isCached = m_runner.cache.contains(m_part.id);
        m_runner.cache.recordUse(m_part.id, m_part.tokens);
        const double own = std::max(0.0, m_tokens - m_part.tokens) / rate;
        if (isCached) {
            return own;
        }
        const bool isCopied = m_source && m_fleet.runnerAt(*m_source).cache.contains(m_part.id);
        return own + m_part.tokens * (isCopied ? m_model.copySecondsPerToken : 1 / rate);
    }

    void leave()
    {
        if (std::exchange(m_hasSlot, false)) {
            m_runner.releaseSlot();
        }
    }

    RefusalFleet& m_fleet;
    Runner& m_runner;
    const EngineModel& m_model;
    /// Shared part of the prompt.
    PromptPart m_part;
    double m_tokens;
    std::optional<Endpoint> m_source;
    unsigned m_events;
    unsigned m_urgency;
    unsigned m_sentEvents = 0;
    bool m_hasSlot = false;
    /// Wakes the request that waits for a slot; null if none does.
    asio::steady_timer* m_slotTimer = nullptr;
    bool m_isCancelled = false;
};

std::unique_ptr<RunnerExchange> RefusalFleet::openEngine(
    Runner& runner, const ForwardRequest& request, const AttemptTerms& terms)
{
    return std::make_unique<EngineExchange>(*this, runner, request, terms);
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
    request.message.tokens = { kind.promptTokens + kind.sharedTokens, kind.events };
    // Engines that cache nothing get a small shared part. It decides which engine is preferred.
    constexpr std::uint64_t prompts = 40;
    request.message.parts = { { kind.part > 0 ? kind.part : 1 + id % prompts, std::max(1U, kind.sharedTokens) },
        { id + prompts, kind.promptTokens } };
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
    for (bool hasReturned = false;;) {
        if (m_vmsStartedAt > m_clock.now()) {
            co_await sleepUntil(m_vmsStartedAt);
        }
        const auto sentAt = m_clock.now();
        request.message.timeout = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - sentAt);
        request.isForwarded = true;
        const auto result = co_await anyVm().dispatcher.forward(request.message, sentAt, request.sink);
        request.isForwarded = false;
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
            if (*result.error().retryAfter <= (deadline - now) / 3 && !std::exchange(hasReturned, true)) {
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
        if (engine.restartAt && elapsed >= *engine.restartAt && killedVms() == 0) {
            restartVms();
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
