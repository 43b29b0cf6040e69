#pragma once

#include "Gateway/GatewayFixture.h"

#include <algorithm>
#include <list>
#include <memory>

namespace Pollenwind {

/// Runners that respond as scripted, in the order in which requests arrive, several at the same time. The time is
/// virtual: it advances to the next event when no task can go on.
class TimedRunners final : public RunnerClient {
public:
    TimedRunners(asio::io_context& context, ManualClock& clock)
        : m_context(context)
        , m_clock(clock)
    {
    }

    /// Request that was sent to a runner.
    struct Attempt {
        Endpoint endpoint;
        std::optional<MonotonicTime> sentAt;
        std::optional<MonotonicTime> cancelledAt;
        bool isFinished = false;
    };

    std::unique_ptr<RunnerExchange> open(
        const Endpoint& endpoint, const ForwardRequest&, const AttemptTerms&, bool) override
    {
        cr_assert(!script.empty(), "a request arrived that the script does not expect");
        auto scripted = std::move(script.front());
        script.pop_front();
        return std::make_unique<Exchange>(*this, attempts.emplace_back(Attempt { endpoint, {}, {}, false }), scripted);
    }

    /// Runs until a task has its result.
    template <typename T> T run(Task<T> task)
    {
        std::optional<T> result;
        asio::co_spawn(m_context, std::move(task), [&result](const std::exception_ptr& error, T value) {
            cr_assert(!error);
            result = std::move(value);
        });
        while (!result) {
            m_context.restart();
            if (m_context.poll() == 0) {
                cr_assert(!m_sleepers.empty(), "no task can go on");
                const auto next = std::ranges::min_element(m_sleepers, {}, &Sleeper::until);
                m_clock.advance(std::max(next->until - m_clock.now(), std::chrono::nanoseconds(0)));
                next->timer.cancel();
            }
        }
        return std::move(*result);
    }

    std::deque<ScriptedAttempt> script;
    std::list<Attempt> attempts;

private:
    struct Sleeper {
        asio::steady_timer timer;
        MonotonicTime until;
    };

    class Exchange final : public RunnerExchange {
    public:
        Exchange(TimedRunners& owner, Attempt& attempt, ScriptedAttempt scripted)
            : m_owner(owner)
            , m_attempt(attempt)
            , m_scripted(std::move(scripted))
        {
        }

        Task<Outcome<void>> connect(std::chrono::nanoseconds) override
        {
            if (m_scripted.onConnect) {
                m_scripted.onConnect();
            }
            co_return Outcome<void> {};
        }
        Task<Outcome<ReplyHead>> begin(std::chrono::nanoseconds timeout) override
        {
            m_attempt.sentAt = m_owner.m_clock.now();
            m_silence = m_scripted.headSilence;
            if (m_scripted.onArrival) {
                m_scripted.onArrival();
            }
            return awaitHead(timeout);
        }
        Task<Outcome<ReplyHead>> awaitHead(std::chrono::nanoseconds timeout) override
        {
            if (const auto waited = co_await waitOut(timeout); !waited) {
                co_return std::unexpected(waited.error());
            }
            if (m_scripted.beginError) {
                co_return std::unexpected(*m_scripted.beginError);
            }
            m_silence = m_scripted.partInterval;
            ReplyHead head;
            head.kind = m_scripted.kind;
            head.status = m_scripted.status;
            head.isEventStream = m_scripted.isEventStream;
            head.origin = m_scripted.origin;
            co_return head;
        }
        bool isRequestSent() const override { return true; }
        Task<Outcome<std::string>> readSome(std::chrono::nanoseconds timeout) override
        {
            if (const auto waited = co_await waitOut(timeout); !waited) {
                co_return std::unexpected(waited.error());
            }
            m_silence = m_scripted.partInterval;
            if (m_next < m_scripted.parts.size()) {
                co_return m_scripted.parts[m_next++];
            }
            if (m_scripted.endError) {
                co_return std::unexpected(*m_scripted.endError);
            }
            co_return std::string();
        }
        void cancel() override
        {
            m_attempt.cancelledAt = m_attempt.cancelledAt.value_or(m_owner.m_clock.now());
            if (m_sleeper) {
                m_sleeper->timer.cancel();
            }
        }
        void finish() override { m_attempt.isFinished = true; }

    private:
        Task<Outcome<void>> waitOut(std::chrono::nanoseconds timeout)
        {
            auto& clock = m_owner.m_clock;
            const auto begunAt = clock.now();
            const auto wait = std::min(m_silence, std::max(timeout, std::chrono::nanoseconds(0)));
            if (wait.count() > 0 && !m_attempt.cancelledAt) {
                const auto sleeper = m_owner.m_sleepers.insert(m_owner.m_sleepers.end(),
                    { asio::steady_timer(m_owner.m_context, asio::steady_timer::time_point::max()), begunAt + wait });
                m_sleeper = &*sleeper;
                co_await sleeper->timer.async_wait(asTuple);
                m_sleeper = nullptr;
                m_owner.m_sleepers.erase(sleeper);
            }
            if (m_attempt.cancelledAt) {
                co_return fail(ErrorCode::ConnectionLost, "cancelled", RunState::Unknown);
            }
            m_silence -= clock.now() - begunAt;
            if (m_silence.count() > 0) {
                co_return fail(ErrorCode::DeadlineExceeded, "nothing in time", RunState::Unknown);
            }
            co_return Outcome<void> {};
        }

        TimedRunners& m_owner;
        Attempt& m_attempt;
        ScriptedAttempt m_scripted;
        std::chrono::nanoseconds m_silence { 0 };
        std::size_t m_next = 0;
        Sleeper* m_sleeper = nullptr;
    };

    asio::io_context& m_context;
    ManualClock& m_clock;
    std::list<Sleeper> m_sleepers;
};

} // namespace Pollenwind
