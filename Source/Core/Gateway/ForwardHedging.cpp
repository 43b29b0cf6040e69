#include "Gateway/ForwardDelivery.h"
#include "Gateway/ForwardDispatcher.h"
#include "Gateway/RunnerRace.h"

#include "Common/TaskFault.h"

#include <algorithm>
#include <utility>

// Copies of requests whose runner has not responded yet: see docs/design/hedged-requests.md.

namespace Pollenwind {

namespace {

    // Time in which two runners work on a stream. The platform allows 400 ms; the rest is for a process that gets
    // little processor time.
    constexpr std::chrono::milliseconds streamRaceTime { 300 };

    // A runner that was silent for this multiple of the route's objective is replaced without hedging, too, and that
    // counts as its failure.
    constexpr int silenceFactor = 3;

    std::string toMilliseconds(std::chrono::nanoseconds time)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
    }

    std::optional<Counter> counterOf(HedgeDecision decision)
    {
        switch (decision) {
        case HedgeDecision::Send:
            break;
        case HedgeDecision::NoAttempt:
            return Counter::HedgesSuppressedAttempts;
        case HedgeDecision::Quarantine:
            return Counter::HedgesSuppressedQuarantine;
        case HedgeDecision::NoRunner:
            return Counter::HedgesSuppressedRunners;
        case HedgeDecision::RunnerLoad:
            return Counter::HedgesSuppressedLoad;
        case HedgeDecision::Rejections:
            return Counter::HedgesSuppressedRejections;
        case HedgeDecision::Share:
            return Counter::HedgesSuppressedShare;
        case HedgeDecision::RetryBudget:
            return Counter::HedgesSuppressedBudget;
        }
        return std::nullopt;
    }

    /// Makes a state the present one of a delivery until the object is destroyed.
    class StateInUse {
    public:
        StateInUse(AttemptState& present, AttemptState& other)
            : m_present(present)
            , m_other(other)
        {
            std::swap(m_present, m_other);
        }
        ~StateInUse() { std::swap(m_present, m_other); }
        StateInUse(const StateInUse&) = delete;
        StateInUse& operator=(const StateInUse&) = delete;

    private:
        AttemptState& m_present;
        AttemptState& m_other;
    };

    /// Error of a lane that has ended without the response of the request.
    Error endOf(const RaceLane& lane)
    {
        if (lane.error) {
            return *lane.error;
        }
        const auto status = lane.head ? lane.head->status : 0;
        const auto text = " with status " + std::to_string(status);
        if (lane.head && (lane.head->kind == ReplyKind::NotRun || lane.head->kind == ReplyKind::Misdirected)) {
            return { ErrorCode::Unavailable, "the runner refused" + text, RunState::NotRun };
        }
        if (!lane.head || lane.head->kind != ReplyKind::Answer) {
            return { ErrorCode::ProtocolError, "the runner sent an invalid response", RunState::Unknown };
        }
        return { ErrorCode::ProtocolError, "the runner answered" + text, RunState::Ran };
    }

} // namespace

bool ForwardDispatcher::mayHedge(const Delivery& delivery) const
{
    const auto& route = *delivery.route;
    const bool isNamedStream = route.kind == RequestKind::Streaming && route.isResumable && !delivery.isBegun
        && m_context.hedgedStreams.contains(route.name);
    // A request on weights that are about to be replaced has a time limit of its own.
    return m_hedging.isOn() && (route.kind == RequestKind::Safe || isNamedStream) && !delivery.isHedged
        && !delivery.silent && !delivery.isTrial && !delivery.runner.beginBy;
}

void ForwardDispatcher::startHedgeTimer(Delivery& delivery)
{
    delivery.sentAt = m_context.clock.now();
    if (!mayHedge(delivery)) {
        return;
    }
    if (const auto delay = m_hedging.delayFor(delivery.route->name, delivery.route->objective)) {
        delivery.hedgeAt = delivery.sentAt + *delay;
    }
}

std::chrono::nanoseconds ForwardDispatcher::untilHedge(std::chrono::nanoseconds limit, const Delivery& delivery) const
{
    return delivery.hedgeAt ? std::min(limit, *delivery.hedgeAt - m_context.clock.now()) : limit;
}

bool ForwardDispatcher::isHedgeDue(const Error& error, const Delivery& delivery) const
{
    const auto now = m_context.clock.now();
    return error.code == ErrorCode::DeadlineExceeded && delivery.hedgeAt && now >= *delivery.hedgeAt
        && now < delivery.deadline;
}

void ForwardDispatcher::recordBegin(Delivery& delivery)
{
    if (!std::exchange(delivery.isBeginRecorded, true)) {
        m_hedging.recordBegin(delivery.route->name, m_context.clock.now() - delivery.sentAt);
    }
}

std::optional<RunnerChoice> ForwardDispatcher::chooseHedgeRunner(const ForwardRequest& request, Delivery& delivery)
{
    auto candidates = candidatesFor(request, delivery);
    std::erase_if(candidates, [&](const RunnerCandidate& it) {
        return delivery.tried.contains(it.id) || it.beginBy || m_context.runners.needsTrial(it.id);
    });
    HedgeInputs inputs { delivery.service };
    inputs.hasRunner = !candidates.empty();
    std::erase_if(
        candidates, [](const RunnerCandidate& it) { return it.load.requests > HedgePolicy::maxRunnerLoad * it.slots; });
    inputs.hasFreeRunner = !candidates.empty();
    inputs.hasAttempt = delivery.runs + 1 < delivery.route->maxAttempts;
    inputs.isQuarantined = delivery.losses > 0 || m_context.quarantine.isSuspected(delivery.parts)
        || m_context.quarantine.findQuarantined(delivery.parts).has_value();
    inputs.hasRetry = m_context.retryBudget.mayTake(delivery.service);
    const auto decision = m_hedging.decide(inputs);
    if (const auto counter = counterOf(decision)) {
        m_context.metrics.count(*counter);
        m_context.log.record(RequestEvent::HedgeSuppressed, request.id,
            { { "runner", delivery.runner.id.value() }, { "service", delivery.service.value() },
                { "reason", std::string(nameOf(decision)) },
                { "waited_ms", toMilliseconds(m_context.clock.now() - delivery.sentAt) } });
        return std::nullopt;
    }
    return chooseAmong(request, currentCacheSalt(delivery), delivery, candidates);
}

Task<Outcome<ReplyHead>> ForwardDispatcher::sendCopy(const ForwardRequest& request, RunnerExchange& exchange,
    const RunnerRace& race, AttemptState& copy, const Delivery& delivery, std::chrono::nanoseconds limit)
{
    const auto end = m_context.clock.now() + limit;
    if (const auto connected = co_await exchange.connect(limit); !connected) {
        co_return std::unexpected(connected.error());
    }
    if (race.isOver()) {
        co_return fail(ErrorCode::Cancelled, "the first runner has responded", RunState::NotRun);
    }
    if (auto sendable = checkBeforeSend(request, delivery, copy); !sendable) {
        co_return std::unexpected(std::move(sendable.error()));
    }
    // Only now, since a copy that is not sent uses nothing up. Others may have been sent meanwhile.
    if (!m_context.retryBudget.mayTake(delivery.service) || !m_hedging.tryTake(delivery.service)) {
        co_return fail(ErrorCode::Unavailable, "no copy may be sent any more");
    }
    m_context.retryBudget.tryTake(delivery.service);
    copy.phase = AttemptPhase::Sent;
    copy.sentAt = m_context.clock.now();
    m_context.metrics.count(Counter::HedgesSent);
    m_context.log.record(RequestEvent::Hedged, request.id,
        { { "runner", copy.runner.id.value() }, { "first_runner", delivery.runner.id.value() },
            { "service", delivery.service.value() }, { "waited_ms", toMilliseconds(copy.sentAt - delivery.sentAt) } });
    co_return co_await exchange.begin(std::max(end - copy.sentAt, std::chrono::nanoseconds(0)));
}

void ForwardDispatcher::recordLaneEnd(const ForwardRequest& request, RaceLane& lane, Delivery& delivery)
{
    const auto error = endOf(lane);
    if (lane.head) {
        delivery.phase = AttemptPhase::HeadReceived;
        delivery.status = lane.head->status;
        recordAvailability(request, *lane.head, delivery);
        if (lane.head->kind == ReplyKind::NotRun || lane.head->kind == ReplyKind::Misdirected) {
            recordRefusal(request, *lane.head, delivery);
            ++delivery.refusals;
        } else if (lane.isWhole && lane.head->kind == ReplyKind::Answer) {
            // Sent to the caller only if the other attempt fails, too.
            delivery.failure.emplace(Delivery::Failure { *lane.head, std::move(lane.body), std::move(lane.held) });
        }
    }
    const Outcome<void> result = std::unexpected(error);
    endTrial(delivery, false);
    recordAttemptEnd(delivery.runner, result, std::nullopt, delivery);
    recordVersionResult(result, std::nullopt, delivery);
    if (error.runState != RunState::NotRun) {
        ++delivery.runs;
        delivery.runState = RunState::Unknown;
    }
    recordRepeat(request, delivery.runner, error, delivery);
    recordLoss(error, delivery);
    lane.exchange.cancel();
}

void ForwardDispatcher::recordLaneCancelled(const std::optional<Error>& stopReason, Delivery& delivery)
{
    const bool wasSent = delivery.phase != AttemptPhase::NotSent;
    const bool isSilent = wasSent && !stopReason
        && m_context.clock.now() - delivery.sentAt >= delivery.route->objective * silenceFactor;
    const Outcome<void> result = isSilent
        ? fail(ErrorCode::DeadlineExceeded, "the runner is silent", RunState::Unknown)
        : fail(ErrorCode::Cancelled, "another runner was faster", wasSent ? RunState::Unknown : RunState::NotRun);
    endTrial(delivery, false);
    recordAttemptEnd(delivery.runner, result, stopReason, delivery);
    recordVersionResult(result, stopReason, delivery);
    if (wasSent) {
        ++delivery.runs;
        delivery.runState = RunState::Unknown;
    }
}

Task<Outcome<void>> ForwardDispatcher::finishLane(
    const ForwardRequest& request, RaceLane& lane, ReplySink& sink, Delivery& delivery)
{
    if (lane.error) {
        co_return std::unexpected(*lane.error);
    }
    if (!lane.head) {
        auto head = co_await lane.exchange.awaitHead(delivery.deadline - m_context.clock.now());
        if (!head) {
            co_return std::unexpected(head.error());
        }
        lane.head = std::move(*head);
    }
    if (delivery.phase == AttemptPhase::Sent) {
        delivery.phase = AttemptPhase::HeadReceived;
        recordAvailability(request, *lane.head, delivery);
    }
    PrereadExchange exchange(lane);
    co_return co_await relayAnswer(request, exchange, *lane.head, sink, delivery);
}

Task<std::optional<Outcome<void>>> ForwardDispatcher::hedge(const ForwardRequest& request, RunnerExchange& exchange,
    std::optional<ReplyHead> head, ReplySink& sink, Delivery& delivery)
{
    delivery.hedgeAt.reset();
    if (sink.stopReason() || !mayHedge(delivery)) {
        co_return std::nullopt;
    }
    const auto choice = chooseHedgeRunner(request, delivery);
    if (!choice) {
        co_return std::nullopt;
    }
    delivery.isHedged = true;
    const auto firstSentAt = delivery.sentAt;
    // The delivery keeps the state of the first attempt; that of the copy is put in its place where it is recorded.
    AttemptState copy = delivery;
    std::unique_ptr<RunnerExchange> copyExchange;
    {
        const StateInUse used(delivery, copy);
        delivery.cacheSalt = currentCacheSalt(delivery);
        copyExchange = beginAttempt(request, *choice, delivery);
    }
    RaceLane firstLane(exchange);
    firstLane.head = std::move(head);
    RaceLane copyLane(*copyExchange);
    const bool isStream = delivery.route->kind == RequestKind::Streaming;
    const auto until
        = isStream ? std::min(delivery.deadline, m_context.clock.now() + streamRaceTime) : delivery.deadline;
    const RaceLane* recorded = nullptr;
    const auto recordEnd = [&](RaceLane& lane) {
        recorded = &lane;
        if (&lane == &firstLane) {
            recordLaneEnd(request, lane, delivery);
            return;
        }
        const StateInUse used(delivery, copy);
        recordLaneEnd(request, lane, delivery);
    };
    RunnerRace race(m_context.clock, firstLane, copyLane, { until, maxResponseBytes, maxEventBytes }, recordEnd);
    copyLane.start
        = [&](std::chrono::nanoseconds limit) { return sendCopy(request, *copyExchange, race, copy, delivery, limit); };
    sink.onStop([&race] { race.cancel(); });
    const auto* winner = co_await race.run();
    sink.onStop([&exchange] { exchange.cancel(); });

    const bool wasCopySent = copy.phase != AttemptPhase::NotSent;
    if (wasCopySent) {
        m_context.log.record(RequestEvent::HedgeEnded, request.id,
            { { "runner", choice->id.value() }, { "first_runner", delivery.runner.id.value() },
                { "winner",
                    winner == &copyLane ? "copy"
                        : winner        ? "first"
                                        : "none" },
                { "ms", toMilliseconds(m_context.clock.now() - copy.sentAt) } });
    }
    if (winner && !std::exchange(delivery.isBeginRecorded, true)) {
        m_hedging.recordBegin(delivery.route->name, m_context.clock.now() - firstSentAt);
    }
    const bool isStopped = sink.stopReason().has_value();
    const bool hasFirstEnded = firstLane.state == RaceLane::State::Ended && !winner && !isStopped;
    const bool hasCopyEnded = copyLane.state == RaceLane::State::Ended && !winner && !isStopped;
    if (winner == &copyLane || (hasFirstEnded && recorded != &copyLane)) {
        if (hasFirstEnded && !recorded) {
            recordEnd(firstLane);
        } else if (!hasFirstEnded) {
            recordLaneCancelled(std::nullopt, delivery);
        }
        auto result = co_await finishCopy(request, copyLane, copy, sink, delivery);
        if (wasCopySent) {
            m_context.metrics.count(result ? Counter::HedgesWon : Counter::HedgesLost);
        }
        co_return result;
    }
    if (wasCopySent) {
        m_context.metrics.count(Counter::HedgesLost);
    }
    if (hasCopyEnded && !recorded) {
        recordEnd(copyLane);
    } else if (recorded != &copyLane) {
        copyExchange->cancel();
        const StateInUse used(delivery, copy);
        recordLaneCancelled(sink.stopReason(), delivery);
    }
    if (!firstLane.error && !firstLane.head) {
        co_return std::nullopt;
    }
    co_return co_await finishLane(request, firstLane, sink, delivery);
}

Task<Outcome<void>> ForwardDispatcher::finishCopy(
    const ForwardRequest& request, RaceLane& lane, const AttemptState& state, ReplySink& sink, Delivery& delivery)
{
    static_cast<AttemptState&>(delivery) = state;
    const auto runner = delivery.runner;
    sink.onStop([&lane] { lane.exchange.cancel(); });
    auto result = co_await withoutExceptions(TaskKind::Attempt, finishLane(request, lane, sink, delivery));
    sink.onStop({});
    if (!std::exchange(delivery.isReplaced, false)) {
        if (result) {
            lane.exchange.finish();
        } else {
            lane.exchange.cancel();
        }
        endTrial(delivery, false);
        recordAttemptEnd(runner, result, sink.stopReason(), delivery);
        recordVersionResult(result, sink.stopReason(), delivery);
    }
    delivery.isReplaced = true;
    co_return result;
}

} // namespace Pollenwind
