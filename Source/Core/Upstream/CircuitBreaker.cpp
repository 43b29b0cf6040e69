#include "Upstream/CircuitBreaker.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <algorithm>

namespace Pollenwind {

namespace {

    namespace msm = boost::msm;
    namespace msmFront = boost::msm::front;

    // Initial fraction of a slow start, so that the upstream gets enough requests to show whether it has recovered.
    constexpr double minAdmission = 0.1;

    struct Succeeded { };
    struct Failed { };
    struct Abandoned { };
    struct TimePassed { };
    struct Restarted { };

    struct BreakerFront : msmFront::state_machine_def<BreakerFront> {
        struct Closed : msmFront::state<> {
            template <typename Event, typename Fsm> void on_entry(const Event&, Fsm& fsm)
            {
                fsm.failures = 0;
                fsm.current = BreakerState::Closed;
                fsm.openDuration = fsm.options.openTime;
            }
        };
        struct Open : msmFront::state<> {
            template <typename Event, typename Fsm> void on_entry(const Event&, Fsm& fsm)
            {
                fsm.current = BreakerState::Open;
                fsm.stateEndsAt = fsm.clock->now() + fsm.openDuration;
                fsm.openDuration = std::min(fsm.openDuration * 2, fsm.options.longestOpenTime);
            }
        };
        struct HalfOpen : msmFront::state<> {
            template <typename Event, typename Fsm> void on_entry(const Event&, Fsm& fsm)
            {
                fsm.current = BreakerState::HalfOpen;
                fsm.isProbing = false;
            }
        };
        struct SlowStart : msmFront::state<> {
            template <typename Event, typename Fsm> void on_entry(const Event&, Fsm& fsm)
            {
                fsm.current = BreakerState::SlowStart;
                fsm.stateEndsAt = fsm.clock->now() + fsm.options.slowStartTime;
            }
        };

        struct CountFailure {
            template <typename Event, typename Fsm, typename Source, typename Target>
            void operator()(const Event&, Fsm& fsm, Source&, Target&)
            {
                ++fsm.failures;
            }
        };
        struct ForgetFailures {
            template <typename Event, typename Fsm, typename Source, typename Target>
            void operator()(const Event&, Fsm& fsm, Source&, Target&)
            {
                fsm.failures = 0;
            }
        };
        struct EndProbe {
            template <typename Event, typename Fsm, typename Source, typename Target>
            void operator()(const Event&, Fsm& fsm, Source&, Target&)
            {
                fsm.isProbing = false;
            }
        };
        struct HasReachedFailureLimit {
            template <typename Event, typename Fsm, typename Source, typename Target>
            bool operator()(const Event&, Fsm& fsm, Source&, Target&)
            {
                return fsm.failures + 1 >= fsm.options.failuresToOpen;
            }
        };
        struct HasStateTimeElapsed {
            template <typename Event, typename Fsm, typename Source, typename Target>
            bool operator()(const Event&, Fsm& fsm, Source&, Target&)
            {
                return fsm.clock->now() >= fsm.stateEndsAt;
            }
        };

        using None = msmFront::none;
        template <typename... Parts> using Row = msmFront::Row<Parts...>;
        using initial_state = Closed;
        // MSM tries the rows of one state and event from the last to the first.
        struct transition_table
            : boost::mpl::vector<
                  // clang-format off
            Row<Closed,    Failed,     None,      CountFailure,   None>,
            Row<Closed,    Failed,     Open,      None,           HasReachedFailureLimit>,
            Row<Closed,    Succeeded,  None,      ForgetFailures, None>,
            Row<Open,      TimePassed, HalfOpen,  None,           HasStateTimeElapsed>,
            Row<Open,      Restarted,  HalfOpen,  None,           None>,
            Row<HalfOpen,  Failed,     Open,      None,           None>,
            Row<HalfOpen,  Succeeded,  SlowStart, None,           None>,
            Row<HalfOpen,  Abandoned,  None,      EndProbe,       None>,
            Row<SlowStart, Failed,     Open,      None,           None>,
            Row<SlowStart, TimePassed, Closed,    None,           HasStateTimeElapsed>
                  // clang-format on
                  > { };

        template <typename Event, typename Fsm> void no_transition(const Event&, Fsm&, int) { }

        const Clock* clock = nullptr;
        BreakerOptions options;
        BreakerState current = BreakerState::Closed;
        std::uint32_t failures = 0;
        std::chrono::nanoseconds openDuration { 0 };
        MonotonicTime stateEndsAt { 0 };
        bool isProbing = false;
    };

} // namespace

struct CircuitBreaker::BreakerStateMachine : msm::back::state_machine<BreakerFront> { };

CircuitBreaker::CircuitBreaker(const Clock& clock, BreakerOptions options)
    : m_breakerStateMachine(std::make_unique<BreakerStateMachine>())
{
    m_breakerStateMachine->clock = &clock;
    m_breakerStateMachine->options = options;
    m_breakerStateMachine->start();
}

CircuitBreaker::~CircuitBreaker() = default;
CircuitBreaker::CircuitBreaker(CircuitBreaker&&) noexcept = default;
CircuitBreaker& CircuitBreaker::operator=(CircuitBreaker&&) noexcept = default;

BreakerState CircuitBreaker::state() const { return m_breakerStateMachine->current; }

double CircuitBreaker::admissionAfterFailures() const
{
    switch (m_breakerStateMachine->current) {
    case BreakerState::Closed:
        return 1;
    case BreakerState::Open:
        // The next request makes the breaker half-open and is its probe.
        return m_breakerStateMachine->clock->now() >= m_breakerStateMachine->stateEndsAt ? minAdmission : 0;
    case BreakerState::HalfOpen:
        return m_breakerStateMachine->isProbing ? 0 : minAdmission;
    case BreakerState::SlowStart:
        break;
    }
    using Seconds = std::chrono::duration<double>;
    const auto remaining = Seconds(m_breakerStateMachine->stateEndsAt - m_breakerStateMachine->clock->now())
        / Seconds(m_breakerStateMachine->options.slowStartTime);
    return std::clamp(1 - remaining, minAdmission, 1.0);
}

template <typename Event> void CircuitBreaker::process(const Event& event)
{
    m_breakerStateMachine->process_event(event);
    m_isClosed = m_breakerStateMachine->current == BreakerState::Closed;
}

void CircuitBreaker::refreshAfterFailures() { process(TimePassed {}); }

void CircuitBreaker::recordStarted()
{
    refresh();
    m_breakerStateMachine->isProbing = m_breakerStateMachine->current == BreakerState::HalfOpen;
}

void CircuitBreaker::recordSuccess() { process(Succeeded {}); }
void CircuitBreaker::recordFailure() { process(Failed {}); }
void CircuitBreaker::recordAbandoned() { process(Abandoned {}); }
void CircuitBreaker::recordRestart() { process(Restarted {}); }

} // namespace Pollenwind
