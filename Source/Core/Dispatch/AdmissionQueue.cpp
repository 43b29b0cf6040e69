#include "Dispatch/AdmissionQueue.h"

#include "Common/Invariant.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace Pollenwind {

namespace {

    constexpr std::chrono::milliseconds retryAfterOverload { 1000 };

    std::unexpected<Error> overloaded(std::string message)
    {
        auto error = fail(ErrorCode::Overloaded, std::move(message));
        error.error().retryAfter = retryAfterOverload;
        return error;
    }

} // namespace

/// A waiting request. Lives in the coroutine frame of enter(); it is removed from ServiceState::waiters when the wait
/// ends.
struct AdmissionQueue::Waiter {
    explicit Waiter(const asio::any_io_executor& executor)
        : timer(executor)
    {
    }

    asio::steady_timer timer;
    AdmissionState state = AdmissionState::Waiting;
};

AdmissionQueue::AdmissionQueue(
    const Clock& clock, const UpstreamQueries& upstreams, MetricCommands& metrics, AdmissionOptions options)
    : m_clock(clock)
    , m_upstreams(upstreams)
    , m_metrics(metrics)
    , m_options(options)
{
}

AdmissionQueue::ServiceState& AdmissionQueue::stateOf(const ServiceId& service)
{
    const auto it = m_services.find(service);
    if (it != m_services.end()) {
        return it->second;
    }
    return m_services.emplace(service, ServiceState { FairQueue(m_options.capacity), ConcurrencyLimit(m_clock) })
        .first->second;
}

std::size_t AdmissionQueue::maxRunningOf(const ServiceId& service, const ServiceState& state) const
{
    double engines = 0;
    for (const auto& candidate : m_upstreams.candidates(service, state.version)) {
        engines += candidate.admission;
    }
    // Without engines, some requests are admitted anyway, so that they are dispatched as soon as one is available.
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::max(1.0, engines) * state.limit.value()));
}

void AdmissionQueue::resolveWaiter(ServiceState& state, const RequestId& request, AdmissionState result)
{
    const auto it = state.waiters.find(request);
    if (it != state.waiters.end()) {
        it->second->state = result;
        it->second->timer.cancel();
        state.waiters.erase(it);
    }
}

void AdmissionQueue::admitWaiting(const ServiceId& service, ServiceState& state)
{
    const auto maxRunning = maxRunningOf(service, state);
    while (state.running < maxRunning) {
        const auto next = state.queue.pop();
        if (!next) {
            return;
        }
        ++state.running;
        resolveWaiter(state, *next, AdmissionState::Admitted);
    }
}

Task<Outcome<void>> AdmissionQueue::enter(AdmissionRequest request)
{
    auto& state = stateOf(request.service);
    state.version = request.version;
    const auto id = request.queued.id;
    Waiter waiter(co_await asio::this_coro::executor);
    const auto remaining = std::min(m_options.longestWait, request.deadline - m_clock.now());
    waiter.timer.expires_after(std::max(remaining, std::chrono::nanoseconds(0)));
    state.waiters.emplace(id, &waiter);
    if (const auto shed = state.queue.push(request.queued)) {
        m_metrics.count(Counter::QueueShed);
        resolveWaiter(state, *shed, AdmissionState::Shed);
    }
    admitWaiting(request.service, state);
    if (waiter.state == AdmissionState::Waiting) {
        co_await waiter.timer.async_wait(asTuple);
    }
    switch (waiter.state) {
    case AdmissionState::Admitted:
        co_return Outcome<void> {};
    case AdmissionState::Shed:
        co_return overloaded("the queue is full and the organisation is over its share");
    case AdmissionState::Cancelled:
        co_return fail(ErrorCode::Cancelled, "the request was cancelled while it was queued");
    case AdmissionState::Waiting:
        break;
    }
    state.waiters.erase(id);
    state.queue.erase(id);
    if (m_clock.now() >= request.deadline) {
        co_return fail(ErrorCode::DeadlineExceeded, "the deadline passed before an engine had capacity");
    }
    m_metrics.count(Counter::QueueShed);
    co_return overloaded("no engine had capacity in time");
}

void AdmissionQueue::cancel(const ServiceId& service, const RequestId& request)
{
    auto& state = stateOf(service);
    state.queue.erase(request);
    resolveWaiter(state, request, AdmissionState::Cancelled);
}

void AdmissionQueue::recordFirstToken(const ServiceId& service, std::chrono::nanoseconds latency)
{
    auto& state = stateOf(service);
    state.limit.recordFirstToken(latency, state.queue.size() > 0);
}

void AdmissionQueue::leave(const ServiceId& service)
{
    auto& state = stateOf(service);
    checkInvariant(state.running > 0, "leave() is called only for an admitted request");
    --state.running;
    admitWaiting(service, state);
}

} // namespace Pollenwind
