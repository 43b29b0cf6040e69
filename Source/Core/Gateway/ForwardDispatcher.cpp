#include "Gateway/ForwardDispatcher.h"

#include "Common/Invariant.h"
#include "Common/TaskFault.h"
#include "Gateway/EventSplitter.h"
#include "Gateway/ForwardDelivery.h"
#include "Gateway/Queries/PrefixQueries.h"
#include "Gateway/ReturnTime.h"
#include "Gateway/YieldingRoutes.h"

#include <algorithm>
#include <utility>

namespace Pollenwind {

namespace {

    // Largest number of refusals after which a request is sent again. A refusal costs only a round trip.
    constexpr unsigned maxRefusals = 3;

    // Safe requests are repeated when there is no response after this multiple of the route's objective.
    constexpr int safeAttemptTimeoutFactor = 3;

    // A resumable stream without a response after this multiple of the route's objective is repeated at another runner.
    // Callers disconnect after 4 times the objective.
    constexpr int firstEventTimeoutFactor = 3;

    // Longest pause between events of a resumable stream before it is resumed at another runner. Callers disconnect
    // after a pause of 2 s at the earliest.
    constexpr std::chrono::milliseconds eventPauseLimit { 1500 };

    // Time after which it is checked again whether another runner may take over from a silent one.
    constexpr std::chrono::milliseconds replacementCheckInterval { 250 };

    // Time in which a runner refuses a request. After it, the runner before is cancelled: two runners may not work on a
    // request for more than 400 ms.
    constexpr std::chrono::milliseconds refusalTime { 250 };

    // A runner stops at the deadline that it was given, and its clock began a little earlier or later. A connection
    // that it closes within this time of the deadline is no failure of the runner.
    constexpr std::chrono::milliseconds deadlineTolerance { 15 };

    // Value of Retry-After. Callers follow it up to a third of their remaining time.
    constexpr std::chrono::milliseconds unavailableRetryAfter { 300 };

    // A runner at capacity accepts requests again after a few have ended. An address that another process uses stays
    // wrong until the runner's entry is updated.
    constexpr std::chrono::milliseconds notRunAvoidTime { 150 };
    constexpr std::chrono::milliseconds misdirectedAvoidTime { 1200 };

    // Time that a request which cannot be taken back may wait at a runner with old weights, in objectives of its route.
    constexpr int unrepeatableWaitFactor = 2;

    constexpr unsigned lowestPriority = 9;

    // Longest time to write events to the caller after which the pause until the next event is the runner's.
    constexpr std::chrono::milliseconds longestWriteTime { 2 };

    // Parts of a prompt in one log line.
    constexpr std::size_t maxNamedParts = 8;

    // Runners that a request may lose before its answer is proven. Two crashes by one request are enough evidence.
    constexpr unsigned maxLosses = 2;

    // Time for which a runner goes on with its answer after the first event until the answer counts as proven. A
    // runner that a prompt crashes may have written some events before it ends.
    constexpr std::chrono::milliseconds answerProofTime { 500 };

    RetryKind retryKindOf(const RouteRule& route)
    {
        switch (route.kind) {
        case RequestKind::Safe:
            return RetryKind::IdempotentCall;
        case RequestKind::Streaming:
            return route.isResumable ? RetryKind::Generation : RetryKind::NonIdempotentCall;
        case RequestKind::Unsafe:
            break;
        }
        return RetryKind::NonIdempotentCall;
    }

    /// Parts of the prompt that other requests may share.
    std::vector<PartId> sharedParts(const ForwardRequest& request)
    {
        std::vector<PartId> parts;
        for (std::size_t n = 0; n + 1 < request.parts.size(); ++n) {
            parts.push_back(request.parts[n].id);
        }
        return parts;
    }

    /// Ids of the parts that the request may share with others, as its caller writes them.
    std::string nameParts(const ForwardRequest& request)
    {
        std::string names;
        for (std::size_t n = 0; n + 1 < request.parts.size() && n < maxNamedParts; ++n) {
            names += (n > 0 ? "," : "") + partName(request.parts[n].id);
        }
        return names;
    }

    Error silenceError() { return { ErrorCode::DeadlineExceeded, "the runner is silent", RunState::Unknown }; }

    /// Whether an attempt failed for lack of a resource of this process, such as a descriptor, before a runner received
    /// anything. That is no evidence on the runner or its version.
    bool isLocalShortage(const Error& error)
    {
        return error.code == ErrorCode::Overloaded && error.runState == RunState::NotRun;
    }

    /// Whether an attempt failed before a runner received anything.
    bool reachedNoRunner(const Error& error)
    {
        return error.code == ErrorCode::ConnectFailed || isLocalShortage(error);
    }

} // namespace

std::vector<RunnerCandidate> ForwardDispatcher::candidatesFor(const ForwardRequest& request, const Delivery& delivery)
{
    std::optional<PreviousAttempt> previous;
    if (delivery.lastVersion) {
        previous = { *delivery.lastVersion, delivery.isBegun };
    }
    const bool isRepeatable = retryKindOf(*delivery.route) != RetryKind::NonIdempotentCall;
    const auto latest = m_context.clock.now() + delivery.route->objective * unrepeatableWaitFactor;
    const auto home = homeRegionsOf(request, delivery);
    const auto candidatesOf = [&](const VersionRule& rule) {
        auto candidates = m_context.runners.candidates(delivery.service, request.model, rule, home);
        m_engines.applyPool(*delivery.configuration, delivery.service, delivery.urgency, candidates);
        std::erase_if(
            candidates, [&](const RunnerCandidate& it) { return !isRepeatable && it.beginBy && *it.beginBy < latest; });
        return candidates;
    };
    const auto versions = m_context.rollouts.versionsFor(delivery.service, request.id, previous);
    // Cold runners of one version are used only if no version has a warm one.
    std::vector<RunnerCandidate> cold;
    for (const auto& rule : versions) {
        auto candidates = candidatesOf(rule);
        std::erase_if(candidates, [&](const RunnerCandidate& it) { return delivery.tried.contains(it.id); });
        if (!candidates.empty() && !candidates.front().isCold) {
            return candidates;
        }
        if (cold.empty()) {
            cold = std::move(candidates);
        }
    }
    if (!cold.empty()) {
        return cold;
    }
    // A runner that refused may accept the request now. One that may have run it is not tried again.
    if (delivery.runs == 0 && !delivery.tried.empty()) {
        return candidatesOf(versions.front());
    }
    return {};
}

HomeRegions ForwardDispatcher::homeRegionsOf(const ForwardRequest& request, const Delivery& delivery) const
{
    HomeRegions home(m_context.regions);
    home.restrictTo(delivery.route->homeRegions);
    if (delivery.organisation) {
        home.restrictTo(delivery.organisation->homeRegions);
    }
    // A request may be repeated long after a change of the configuration.
    if (delivery.configuration != m_context.routing.current()) {
        if (const auto* route = m_context.routing.findRoute(request.host, request.message.path)) {
            home.restrictTo(route->homeRegions);
        }
        const auto* organisation = request.keyDigest ? m_context.routing.findOrganisation(*request.keyDigest) : nullptr;
        if (organisation) {
            home.restrictTo(organisation->homeRegions);
        }
    }
    return home;
}

std::string ForwardDispatcher::currentCacheSalt(const Delivery& delivery) const
{
    return m_context.routing.cacheSaltFor(
        delivery.organisation ? std::optional(delivery.organisation->id) : std::nullopt);
}

Outcome<RunnerChoice> ForwardDispatcher::chooseRunner(const ForwardRequest& request, Delivery& delivery)
{
    const auto candidates = candidatesFor(request, delivery);
    // Of the present configuration, which may not be the one under which the request was admitted.
    delivery.cacheSalt = currentCacheSalt(delivery);
    const auto choice = chooseAmong(request, delivery.cacheSalt, delivery, candidates);
    if (!choice) {
        if (m_context.runners.hasOnlyColdRunners(delivery.service)) {
            m_context.metrics.count(Counter::ColdRunnerRefusals);
        }
        return std::unexpected(Error { ErrorCode::Unavailable, "no runner can take the request now", RunState::NotRun,
            returnTime(m_context.runners.timeUntilReturn(delivery.service), request.id) });
    }
    return *choice;
}

EngineDemand ForwardDispatcher::demandOf(const ForwardRequest& request, const Delivery& delivery) const
{
    const auto now = m_context.clock.now();
    // The parts before the last one are usually cached.
    const double tokens
        = !request.parts.empty() ? request.parts.back().tokens : (request.tokens ? request.tokens->prompt : 0);
    return { delivery.urgency, delivery.organisation ? delivery.organisation->id : OrganisationId(), tokens,
        delivery.receivedAt + delivery.route->objective - now, delivery.deadline - now };
}

Outcome<void> ForwardDispatcher::checkLoad(const ForwardRequest& request, const Delivery& delivery)
{
    if (delivery.urgency != RouteUrgency::Yielding) {
        return {};
    }
    auto checked = m_engines.check(*delivery.configuration, delivery.service, request.id, demandOf(request, delivery),
        candidatesFor(request, delivery));
    if (!checked) {
        m_hedging.recordRejection(delivery.service);
    }
    return checked;
}

std::optional<RunnerChoice> ForwardDispatcher::chooseAmong(const ForwardRequest& request, const std::string& cacheSalt,
    const Delivery& delivery, std::span<const RunnerCandidate> candidates) const
{
    const auto& targets = m_context.runners.targetWeights();
    const auto it = targets.find(request.model);
    auto stores = delivery.stores;
    const auto home = homeRegionsOf(request, delivery);
    std::erase_if(stores, [&home](const CacheStore& store) { return !home.permits(store.zone); });
    return m_context.policy.choose(request, cacheSalt, it == targets.end() ? 0 : it->second, stores, candidates);
}

std::chrono::milliseconds ForwardDispatcher::timeLeft(const Delivery& delivery) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(delivery.deadline - m_context.clock.now());
}

AttemptTerms ForwardDispatcher::termsOf(
    const ForwardRequest& request, const RunnerChoice& choice, const Delivery& delivery) const
{
    AttemptTerms terms;
    terms.runner = choice.id;
    if (delivery.organisation) {
        terms.organisation = delivery.organisation->id;
    }
    terms.timeout = timeLeft(delivery);
    terms.urgency = std::min(lowestPriority,
        delivery.organisation ? delivery.organisation->priority.value_or(delivery.route->priority)
                              : delivery.route->priority);
    if (!request.model.empty()) {
        // The weights are part of the salt, so that cache entries computed with other weights are never used.
        terms.cacheSalt = "w" + std::to_string(choice.weights) + "/" + delivery.cacheSalt;
        terms.expectedWeights = choice.weights;
        terms.cacheSource = choice.cacheSource;
        terms.cacheStore = choice.cacheStore;
    }
    terms.lastEventId = delivery.lastEventId ? delivery.lastEventId : request.lastEventId;
    return terms;
}

Task<Outcome<void>> ForwardDispatcher::forward(const ForwardRequest& request, MonotonicTime receivedAt, ReplySink& sink)
{
    co_await m_admission.waitForConfiguration(request);
    if (const auto stopped = sink.stopReason()) {
        co_return std::unexpected(Error { stopped->code, stopped->message, RunState::NotRun });
    }
    auto admitted = m_admission.admit(request);
    if (!admitted) {
        co_return std::unexpected(admitted.error());
    }
    Delivery delivery(std::move(*admitted));
    delivery.receivedAt = receivedAt;
    delivery.deadline = receivedAt + timeoutOf(request);
    delivery.parts = sharedParts(request);
    delivery.urgency = urgencyOf(*delivery.configuration, *delivery.route, delivery.service, m_context.yieldRanks);
    delivery.mayUseReserve
        = delivery.urgency == RouteUrgency::Urgent && m_engines.hasYieldingRoute(*delivery.configuration);
    // Before the tokens are taken, so that these requests use up nothing of their caller's quota.
    if (const auto refused = checkQuarantine(delivery)) {
        co_return std::unexpected(*refused);
    }
    if (auto checked = checkLoad(request, delivery); !checked) {
        co_return checked;
    }
    auto taken = m_admission.takeTokens(request, delivery);
    if (taken) {
        taken = co_await m_admission.waitForTokens(delivery, request, sink);
    }
    if (!taken) {
        m_engines.withdraw(delivery.service, demandOf(request, delivery));
        co_return taken;
    }
    m_engines.recordAdmitted(delivery.service, demandOf(request, delivery));
    m_context.retryBudget.recordRequest(delivery.service);
    if (mayHedge(delivery)) {
        m_hedging.recordRequest(delivery.service);
    }
    for (;;) {
        auto refused = checkQuarantine(delivery);
        // Before a runner is chosen, since a request that is not sent tells nothing about it. In a process that was
        // paused the timer of the deadline may be late.
        if (!refused && timeLeft(delivery).count() <= 0) {
            refused = Error { ErrorCode::DeadlineExceeded, "the deadline passed before the request was sent",
                delivery.runState };
        }
        if (refused) {
            if (delivery.failure) {
                co_return co_await sink.answer(delivery.failure->head, std::move(delivery.failure->body));
            }
            co_return std::unexpected(std::move(*refused));
        }
        const auto choice = chooseRunner(request, delivery);
        if (!choice) {
            if (delivery.failure) {
                co_return co_await sink.answer(delivery.failure->head, std::move(delivery.failure->body));
            }
            auto error = choice.error();
            error.runState = delivery.runState;
            co_return std::unexpected(std::move(error));
        }
        // Only now, since a request that is not sent would use the trial up.
        if (!delivery.isTrial && m_context.quarantine.isTrialDue(delivery.parts)) {
            delivery.isTrial = m_context.quarantineCommands.startTrial(delivery.parts);
        }
        auto result = co_await attempt(request, *choice, sink, delivery);
        if (!std::exchange(delivery.isReplaced, false)) {
            recordAttemptEnd(*choice, result, sink.stopReason(), delivery);
            recordVersionResult(result, sink.stopReason(), delivery);
        }
        if (result) {
            co_return result;
        }
        const bool isNotRun = result.error().runState == RunState::NotRun;
        if (!isNotRun) {
            ++delivery.runs;
            // Applies also if the request is stopped now, since its runner may continue with it.
            delivery.runState = RunState::Unknown;
        }
        if (const auto stopped = sink.stopReason()) {
            auto error = *stopped;
            error.runState = delivery.runState;
            co_return std::unexpected(std::move(error));
        }
        if (result.error().code == ErrorCode::Internal) {
            // Not repeated: a fault of this process would come again, and a part of a response may have been sent.
            result.error().runState = delivery.runState;
            co_return result;
        }
        if (delivery.isDiverted) {
            m_context.metrics.count(Counter::RequestsDiverted);
            m_context.log.record(RequestEvent::Diverted, request.id,
                { { "runner", choice->id.value() }, { "cause", result.error().message } });
            continue;
        }
        recordRepeat(request, delivery.runner, result.error(), delivery);
        recordLoss(result.error(), delivery);
        if (!mayRepeat(request, result.error(), delivery)) {
            if (delivery.failure) {
                co_return co_await sink.answer(delivery.failure->head, std::move(delivery.failure->body));
            }
            result.error().runState = delivery.runState;
            if (delivery.runState == RunState::NotRun) {
                result.error().code = ErrorCode::Unavailable;
                const auto wait = m_context.runners.timeUntilReturn(delivery.service);
                result.error().retryAfter = wait ? returnTime(wait, request.id) : unavailableRetryAfter;
            }
            co_return result;
        }
    }
}

std::optional<Error> ForwardDispatcher::checkQuarantine(Delivery& delivery)
{
    const auto part = m_context.quarantine.findQuarantined(delivery.parts);
    if (!part || delivery.isTrial) {
        return std::nullopt;
    }
    if (delivery.sends == 0 && m_context.quarantine.isTrialDue(delivery.parts)) {
        return std::nullopt;
    }
    m_context.quarantineCommands.recordRefusal(part->part);
    return Error { ErrorCode::Unavailable,
        "part " + partName(part->part) + " of the prompt is quarantined after " + std::to_string(part->crashes)
            + " crashes of runners, for " + std::to_string(part->age.count()) + " ms",
        delivery.runState };
}

void ForwardDispatcher::recordRepeat(
    const ForwardRequest& request, const RunnerChoice& runner, const Error& error, const Delivery& delivery)
{
    m_context.log.record(RequestEvent::Repeated, request.id,
        { { "runner", runner.id.value() }, { "cause", error.message },
            { "run", std::string(nameOf(delivery.runState)) }, { "sends", std::to_string(delivery.sends) },
            { "phase", std::string(nameOf(delivery.phase)) }, { "parts", nameParts(request) } });
}

void ForwardDispatcher::recordLoss(const Error& error, Delivery& delivery)
{
    if (delivery.phase == AttemptPhase::NotSent || delivery.isAnswerProven || error.code != ErrorCode::ConnectionLost
        || delivery.parts.empty()) {
        return;
    }
    ++delivery.losses;
    delivery.wasSuspected = m_context.quarantine.isSuspected(delivery.parts);
    const auto& runner = delivery.runner;
    m_context.crashes.recordLoss(runner.id, runner.incarnation, runner.endpoint, delivery.parts);
}

bool ForwardDispatcher::mayRepeat(const ForwardRequest& request, const Error& error, Delivery& delivery)
{
    const auto kind = retryKindOf(*delivery.route);
    const bool isNotRun = error.runState == RunState::NotRun;
    // A shortage of this process counts as a refusal, since repeats at other runners may fail for it in turn.
    if (isNotRun && error.code != ErrorCode::ConnectFailed) {
        ++delivery.refusals;
    }
    const bool isWithinLimits = delivery.runs < std::max(1U, delivery.route->maxAttempts)
        && delivery.refusals <= maxRefusals && timeLeft(delivery) > deadlineTolerance;
    if (!isWithinLimits) {
        return false;
    }
    if (delivery.isTrial && !reachedNoRunner(error)) {
        return false;
    }
    // A request that crashes its runners must not be sent to one after the other.
    if (delivery.losses >= maxLosses || delivery.wasSuspected) {
        return false;
    }
    const auto progress = delivery.isBegun ? Progress::AnswerBegun : isNotRun ? Progress::NotStarted : Progress::Sent;
    // A runner resumes after an event id. Without one, the next run would send the same events again.
    if (delivery.isBegun && (kind != RetryKind::Generation || !delivery.lastEventId)) {
        return false;
    }
    const auto action = decideRetry(kind, progress, classifyFailure(error), true);
    if (action != RetryAction::Retry && action != RetryAction::Resume) {
        return false;
    }
    // An attempt that did not reach a runner is not charged to the retry budget.
    if (!reachedNoRunner(error) && !m_context.retryBudget.tryTake(delivery.service)) {
        m_context.metrics.count(Counter::RetryBudgetExhausted);
        return false;
    }
    m_context.metrics.count(Counter::Retries);
    if (action == RetryAction::Resume) {
        m_context.metrics.count(Counter::Resumes);
        m_context.log.record(
            RequestEvent::Resumed, request.id, { { "after_event", std::to_string(delivery.lastEventId.value_or(0)) } });
    }
    return true;
}

std::unique_ptr<RunnerExchange> ForwardDispatcher::beginAttempt(
    const ForwardRequest& request, const RunnerChoice& choice, Delivery& delivery)
{
    delivery.runner = choice;
    delivery.tried.insert(choice.id);
    delivery.phase = AttemptPhase::NotSent;
    delivery.isTakenBack = false;
    delivery.isDiverted = false;
    delivery.rolloutAttempt = {};
    delivery.hedgeAt.reset();
    delivery.status = 0;
    delivery.chosenAt = m_context.clock.now();
    delivery.answeringTime = {};
    delivery.isAnswerProven = false;
    delivery.lastVersion = choice.software;
    ++delivery.sends;
    const auto& route = *delivery.route;
    checkInvariant(delivery.runs == 0 || retryKindOf(route) != RetryKind::NonIdempotentCall,
        "a request that must run at most once is not sent again after it may have run");
    const auto terms = termsOf(request, choice, delivery);
    m_context.log.record(RequestEvent::Placed, request.id,
        { { "runner", choice.id.value() }, { "service", delivery.service.value() }, { "route", route.name },
            { "organisation", delivery.organisation ? delivery.organisation->id.value() : "" },
            { "configuration", std::to_string(delivery.configuration->version) },
            { "weights", std::to_string(choice.weights) }, { "software", choice.software.value() },
            { "cache_salt", terms.cacheSalt },
            { "copied_from", choice.cacheSource ? choice.cacheSource->toString() : "" },
            { "computed_tokens", std::to_string(static_cast<long>(choice.computedTokens)) },
            { "parts", nameParts(request) }, { "left_ms", std::to_string(terms.timeout.count()) },
            { "knowledge_age_ms",
                std::to_string(
                    std::chrono::duration_cast<std::chrono::milliseconds>(m_context.freshness.age()).count()) } });
    m_context.metrics.count(Counter::UpstreamAttempts);
    m_context.runnerCommands.recordSent(choice.id, choice.computedTokens, delivery.urgency);
    delivery.isRunnerTrial = m_context.runners.needsTrial(choice.id);
    if (delivery.isRunnerTrial) {
        m_context.metrics.count(Counter::BackOffTrials);
        m_context.runnerCommands.beginTrial(choice.id);
    }
    delivery.rolloutAttempt
        = m_context.rolloutCommands.recordSent(delivery.service, choice.software, route.name, choice.uncachedTokens);
    const bool mayReuse = route.kind != RequestKind::Unsafe;
    return m_context.client.open(choice.endpoint, request, terms, mayReuse);
}

Task<Outcome<void>> ForwardDispatcher::attempt(
    const ForwardRequest& request, const RunnerChoice& choice, ReplySink& sink, Delivery& delivery)
{
    const auto exchange = beginAttempt(request, choice, delivery);
    sink.onStop([&exchange] { exchange->cancel(); });
    auto result = co_await withoutExceptions(TaskKind::Attempt, exchangeWith(*exchange, request, sink, delivery));
    if (!result && result.error().code == ErrorCode::Internal && delivery.phase == AttemptPhase::NotSent) {
        result.error().runState = RunState::NotRun;
    }
    const bool isLate = !delivery.isReplaced && choice.beginBy && delivery.phase != AttemptPhase::Answering
        && m_context.clock.now() >= *choice.beginBy;
    if (isLate && !result && result.error().code == ErrorCode::DeadlineExceeded) {
        result.error().message = "the request had not begun when the limit of the runner's old weights passed";
        delivery.isTakenBack = true;
        m_context.metrics.count(Counter::OldWeightsRecalls);
    }
    if (!result && result.error().code == ErrorCode::ConnectionLost && timeLeft(delivery) <= deadlineTolerance) {
        result.error().code = ErrorCode::DeadlineExceeded;
    }
    endTrial(delivery, false);
    sink.onStop({});
    if (result && !delivery.isReplaced) {
        exchange->finish();
    } else if (!delivery.isReplaced) {
        exchange->cancel();
    }
    co_return result;
}

Task<Outcome<void>> ForwardDispatcher::exchangeWith(
    RunnerExchange& exchange, const ForwardRequest& request, ReplySink& sink, Delivery& delivery)
{
    const auto& route = *delivery.route;
    std::chrono::nanoseconds limit = timeLeft(delivery);
    const bool mayRunAgain = delivery.runs + 1 < route.maxAttempts;
    if (route.kind == RequestKind::Safe && mayRunAgain) {
        limit = std::min<std::chrono::nanoseconds>(limit, route.objective * safeAttemptTimeoutFactor);
    } else if (route.kind == RequestKind::Streaming && route.isResumable && mayRunAgain) {
        limit = std::min<std::chrono::nanoseconds>(limit, route.objective * firstEventTimeoutFactor);
    }
    const auto end = m_context.clock.now() + limit;
    auto head = co_await send(request, exchange, delivery, untilBeginLimit(limit, delivery));
    if (!head && isHedgeDue(head.error(), delivery) && m_context.clock.now() < end) {
        if (auto result = co_await hedge(request, exchange, std::nullopt, sink, delivery)) {
            co_return std::move(*result);
        }
        head = co_await exchange.awaitHead(end - m_context.clock.now());
    }
    while (!head && isSilence(head.error(), delivery) && !sink.stopReason()) {
        if (auto result = co_await replaceRunner(request, exchange, sink, delivery)) {
            co_return std::move(*result);
        }
        const auto wait
            = std::min<std::chrono::nanoseconds>(delivery.deadline - m_context.clock.now(), replacementCheckInterval);
        head = co_await exchange.awaitHead(untilBeginLimit(wait, delivery));
    }
    if (!head) {
        co_return std::unexpected(head.error());
    }
    delivery.phase = AttemptPhase::HeadReceived;
    recordAvailability(request, *head, delivery);
    if (route.kind == RequestKind::Safe) {
        delivery.hedgeAt.reset();
        if (head->kind == ReplyKind::Answer && head->isSuccess()) {
            recordBegin(delivery);
        }
    }
    co_return co_await relayAnswer(request, exchange, *head, sink, delivery);
}

std::chrono::nanoseconds ForwardDispatcher::untilBeginLimit(
    std::chrono::nanoseconds limit, const Delivery& delivery) const
{
    const auto& beginBy = delivery.runner.beginBy;
    if (!beginBy || delivery.phase == AttemptPhase::Answering) {
        return limit;
    }
    return std::min<std::chrono::nanoseconds>(limit, *beginBy - m_context.clock.now());
}

bool ForwardDispatcher::mayReplaceRunner(const ForwardRequest& request, const Delivery& delivery)
{
    const auto& route = *delivery.route;
    const bool isRepeatable = retryKindOf(route) != RetryKind::NonIdempotentCall && !delivery.isTrial
        && delivery.losses < maxLosses && !delivery.wasSuspected && (!delivery.isBegun || delivery.lastEventId);
    if (!isRepeatable || delivery.silent || delivery.refusals > maxRefusals || delivery.runs + 1 >= route.maxAttempts
        || !m_context.retryBudget.mayTake(delivery.service)) {
        return false;
    }
    return std::ranges::any_of(
        candidatesFor(request, delivery), [&](const RunnerCandidate& it) { return !delivery.tried.contains(it.id); });
}

bool ForwardDispatcher::isSilence(const Error& error, const Delivery& delivery) const
{
    const auto now = m_context.clock.now();
    const auto& beginBy = delivery.runner.beginBy;
    const bool isTooLateToBegin = beginBy && delivery.phase != AttemptPhase::Answering && now >= *beginBy;
    return error.code == ErrorCode::DeadlineExceeded && now < delivery.deadline && !isTooLateToBegin;
}

Task<std::optional<Outcome<void>>> ForwardDispatcher::replaceRunner(
    const ForwardRequest& request, RunnerExchange& silent, ReplySink& sink, Delivery& delivery)
{
    if (!mayReplaceRunner(request, delivery)) {
        co_return std::nullopt;
    }
    SilentAttempt replaced { silent, delivery };
    ++delivery.runs;
    const auto choice = chooseRunner(request, delivery);
    if (!choice || !mayRepeat(request, silenceError(), delivery)) {
        --delivery.runs;
        static_cast<AttemptState&>(delivery) = replaced.state;
        co_return std::nullopt;
    }
    recordRepeat(request, replaced.state.runner, silenceError(), delivery);
    delivery.silent = &replaced;
    auto result = co_await attempt(request, *choice, sink, delivery);
    if (result) {
        cancelReplaced(delivery);
    }
    if (!std::exchange(delivery.isReplaced, false)) {
        recordAttemptEnd(*choice, result, sink.stopReason(), delivery);
        recordVersionResult(result, sink.stopReason(), delivery);
    }
    if (!delivery.silent) {
        delivery.isReplaced = true;
        co_return result;
    }
    recordRepeat(request, *choice, result.error(), delivery);
    recordLoss(result.error(), delivery);
    if (result.error().runState == RunState::NotRun) {
        --delivery.runs;
        delivery.refusals += result.error().code != ErrorCode::ConnectFailed ? 1 : 0;
    } else {
        delivery.runState = RunState::Unknown;
    }
    static_cast<AttemptState&>(delivery) = replaced.state;
    delivery.silent = nullptr;
    sink.onStop([&silent] { silent.cancel(); });
    co_return std::nullopt;
}

void ForwardDispatcher::cancelReplaced(Delivery& delivery)
{
    auto* replaced = std::exchange(delivery.silent, nullptr);
    if (!replaced) {
        return;
    }
    replaced->exchange.cancel();
    auto& state = static_cast<AttemptState&>(delivery);
    std::swap(state, replaced->state);
    const Outcome<void> result = std::unexpected(silenceError());
    endTrial(delivery, false);
    recordAttemptEnd(delivery.runner, result, std::nullopt, delivery);
    recordVersionResult(result, std::nullopt, delivery);
    std::swap(state, replaced->state);
    delivery.runState = RunState::Unknown;
}

Outcome<void> ForwardDispatcher::checkBeforeSend(
    const ForwardRequest& request, const Delivery& delivery, AttemptState& attempt) const
{
    // Others may have heard from the runner while this request waited for its connection.
    if (!m_context.runners.mayStillSend(attempt.runner.id, attempt.runner.incarnation)) {
        attempt.isDiverted = true;
        return fail(ErrorCode::Unavailable, "the runner became unavailable before the request was sent");
    }
    if (const auto home = homeRegionsOf(request, delivery); home.isRestricted()) {
        const auto entry = m_context.runners.find(attempt.runner.id);
        if (!entry || !home.permits(entry->zone)) {
            attempt.isDiverted = true;
            return fail(ErrorCode::Unavailable, "the home regions changed before the request was sent");
        }
    }
    if (currentCacheSalt(delivery) != attempt.cacheSalt) {
        attempt.isDiverted = true;
        return fail(ErrorCode::Unavailable, "the cache salt changed before the request was sent");
    }
    return {};
}

Task<Outcome<ReplyHead>> ForwardDispatcher::send(
    const ForwardRequest& request, RunnerExchange& exchange, Delivery& delivery, std::chrono::nanoseconds limit)
{
    const auto end = m_context.clock.now() + limit;
    if (const auto connected = co_await exchange.connect(limit); !connected) {
        co_return std::unexpected(connected.error());
    }
    if (auto checked = checkBeforeSend(request, delivery, delivery); !checked) {
        co_return std::unexpected(std::move(checked.error()));
    }
    const auto left = end - m_context.clock.now();
    if (left.count() <= 0) {
        // Unavailable, since the runner has not received the request: it is no evidence on the runner or its version.
        co_return fail(ErrorCode::Unavailable, "the time of the attempt passed before the request was sent");
    }
    delivery.phase = AttemptPhase::Sent;
    startHedgeTimer(delivery);
    if (!delivery.silent) {
        co_return co_await exchange.begin(untilHedge(left, delivery));
    }
    auto head = co_await exchange.begin(std::min<std::chrono::nanoseconds>(left, refusalTime));
    if (!head && head.error().code == ErrorCode::DeadlineExceeded && !exchange.isRequestSent()) {
        // It is silent itself, and the one before may still go on. Unavailable, since that is no crash.
        co_return fail(ErrorCode::Unavailable, "the runner that was to take over does not read", RunState::Unknown);
    }
    // A shorter limit is that of the other runner's old weights, after which the silent one is still wanted.
    if (!head && head.error().code == ErrorCode::DeadlineExceeded && left > refusalTime) {
        cancelReplaced(delivery);
        head = co_await exchange.awaitHead(end - m_context.clock.now());
    }
    co_return head;
}

void ForwardDispatcher::recordAvailability(const ForwardRequest& request, const ReplyHead& head, Delivery& delivery)
{
    const auto& runner = delivery.runner;
    if (head.kind == ReplyKind::Answer && head.status != 503) {
        endTrial(delivery, true);
    }
    if (!head.showsStateOf(runner.id)) {
        return;
    }
    if (head.isLeaving) {
        m_context.runnerCommands.recordLeaving(runner.id, runner.incarnation, LeavingSource::Response, request.id);
    }
    if (head.unwantedFor) {
        m_context.metrics.count(Counter::BackOffs);
        m_context.runnerCommands.recordBackOff(runner.id, runner.incarnation, *head.unwantedFor, request.id);
    }
    if (head.isUnwantedTimeInvalid) {
        m_context.metrics.count(Counter::InvalidBackOffs);
    }
}

void ForwardDispatcher::endTrial(Delivery& delivery, bool isAccepted)
{
    if (std::exchange(delivery.isRunnerTrial, false)) {
        m_context.runnerCommands.endTrial(delivery.runner.id, isAccepted);
    }
}

Task<Outcome<void>> ForwardDispatcher::relayAnswer(
    const ForwardRequest& request, RunnerExchange& exchange, const ReplyHead& head, ReplySink& sink, Delivery& delivery)
{
    delivery.status = head.status;
    switch (head.kind) {
    case ReplyKind::NotRun:
    case ReplyKind::Misdirected:
        recordRefusal(request, head, delivery);
        co_return fail(ErrorCode::Unavailable,
            "the runner refused with status " + std::to_string(head.status) + " (" + std::string(nameOf(head.kind))
                + (head.answeredBy ? ", answered by " + head.answeredBy->value() : "") + ")");
    case ReplyKind::Stray:
    case ReplyKind::Malformed:
        co_return fail(ErrorCode::ProtocolError, "the runner sent an invalid response", RunState::Unknown);
    case ReplyKind::Answer:
        break;
    }
    if (delivery.silent && !head.isSuccess()) {
        co_return fail(ErrorCode::ProtocolError,
            "the runner that was to take over answered with status " + std::to_string(head.status), RunState::Ran);
    }
    cancelReplaced(delivery);
    if (head.isEventStream && head.isSuccess()) {
        co_return co_await relayStream(request, exchange, head, sink, delivery);
    }
    if (delivery.isBegun) {
        co_return fail(ErrorCode::ProtocolError, "the runner did not resume the stream", RunState::Unknown);
    }
    std::string body;
    MemoryBudget::Share held(processMemory(), MemoryUse::RunnerResponse);
    for (;;) {
        auto part = co_await exchange.readSome(delivery.deadline - m_context.clock.now());
        if (!part) {
            co_return std::unexpected(part.error());
        }
        if (part->empty()) {
            break;
        }
        if (body.size() + part->size() > maxResponseBytes || !appendWithin(body, *part, held)) {
            co_return fail(ErrorCode::ProtocolError,
                "the runner's response is too large after " + std::to_string(body.size()) + " bytes",
                RunState::Unknown);
        }
    }
    if (head.status >= 500 && delivery.route->kind == RequestKind::Safe) {
        // Sent to the caller only if no other attempt succeeds.
        delivery.failure.emplace(Delivery::Failure { head, std::move(body), std::move(held) });
        co_return fail(
            ErrorCode::ProtocolError, "the runner answered with status " + std::to_string(head.status), RunState::Ran);
    }
    if (head.isSuccess()) {
        recordProvenAnswer(delivery);
    }
    co_return co_await sink.answer(head, std::move(body));
}

Task<Outcome<void>> ForwardDispatcher::relayStream(
    const ForwardRequest& request, RunnerExchange& exchange, const ReplyHead& head, ReplySink& sink, Delivery& delivery)
{
    // Only a resumed stream may repeat events. The events of a first attempt are forwarded with any ids.
    EventSplitter events(delivery.isBegun ? delivery.lastEventId : std::nullopt);
    MemoryBudget::Share held(processMemory(), MemoryUse::RunnerStream);
    const bool mayResume = delivery.route->isResumable && delivery.runs + 1 < delivery.route->maxAttempts;
    auto pauseEnd = m_context.clock.now() + eventPauseLimit;
    std::optional<MonotonicTime> eventAt;
    for (;;) {
        // Bytes of an incomplete event do not extend the pause, since the caller gets whole events.
        const auto until = mayResume ? std::min(delivery.deadline, pauseEnd) : delivery.deadline;
        const auto readAt = m_context.clock.now();
        const auto part = co_await exchange.readSome(untilHedge(untilBeginLimit(until - readAt, delivery), delivery));
        if (delivery.phase == AttemptPhase::Answering) {
            delivery.answeringTime += m_context.clock.now() - readAt;
        }
        if (!part && isHedgeDue(part.error(), delivery)) {
            delivery.hedgeAt.reset();
            // An event that has begun to arrive is a begun response.
            std::optional<Outcome<void>> result;
            if (!events.hasPartialEvent()) {
                result = co_await hedge(request, exchange, head, sink, delivery);
            }
            if (result) {
                co_return std::move(*result);
            }
            continue;
        }
        if (!part && isSilence(part.error(), delivery) && !sink.stopReason()) {
            if (auto result = co_await replaceRunner(request, exchange, sink, delivery)) {
                co_return std::move(*result);
            }
            pauseEnd = m_context.clock.now() + replacementCheckInterval;
            continue;
        }
        if (!part) {
            co_return std::unexpected(part.error());
        }
        if (part->empty()) {
            break;
        }
        const auto unfinishedBytes = events.partialBytes() + part->size();
        events.append(*part);
        const auto complete = events.takeCompleteEvents();
        if (events.partialBytes() < unfinishedBytes) {
            // Also for events that a resumed runner repeats, which the caller does not get.
            pauseEnd = m_context.clock.now() + eventPauseLimit;
        }
        if (events.partialBytes() > maxEventBytes) {
            co_return fail(ErrorCode::ProtocolError, "the runner sent an event without an end", RunState::Unknown);
        }
        if (!held.resize(part->capacity() + complete.capacity() + events.heldBytes())) {
            co_return fail(ErrorCode::ProtocolError, "there is no memory for the events", RunState::Unknown);
        }
        if (complete.empty()) {
            continue;
        }
        m_context.rolloutCommands.recordOutput(delivery.rolloutAttempt);
        if (!delivery.isBegun) {
            m_context.metrics.observe(Distribution::TimeToFirstToken, m_context.clock.now() - delivery.receivedAt);
            if (auto begun = co_await sink.begin(head); !begun) {
                co_return begun;
            }
            delivery.isBegun = true;
            // An error response to an earlier attempt can no longer be sent.
            delivery.failure.reset();
        }
        if (std::exchange(delivery.phase, AttemptPhase::Answering) != AttemptPhase::Answering) {
            recordFirstOutput(request, delivery);
        } else if (delivery.answeringTime >= answerProofTime) {
            recordProvenAnswer(delivery);
        }
        const auto receivedAt = m_context.clock.now();
        // Not after a slow caller, for whom events waited that the runner had sent before.
        if (m_context.pace && eventAt && delivery.lastOutputAt - *eventAt < longestWriteTime) {
            m_context.pace->recordPause(delivery.route->name, runnerHash(delivery.runner.id), receivedAt - *eventAt);
        }
        eventAt = receivedAt;
        if (auto written = co_await sink.write(complete); !written) {
            co_return written;
        }
        delivery.lastEventId = events.lastId();
        delivery.lastOutputAt = m_context.clock.now();
        // A slow caller delays the next read. That is no pause of the runner.
        pauseEnd = m_context.clock.now() + eventPauseLimit;
    }
    if (events.hasPartialEvent() || !delivery.isBegun) {
        co_return fail(ErrorCode::ConnectionLost, "the stream ended within an event", RunState::Unknown);
    }
    recordProvenAnswer(delivery);
    co_return co_await sink.end();
}

void ForwardDispatcher::recordProvenAnswer(Delivery& delivery)
{
    if (!std::exchange(delivery.isAnswerProven, true)) {
        m_context.quarantineCommands.recordAnswer(delivery.parts);
    }
}

void ForwardDispatcher::recordRefusal(const ForwardRequest& request, const ReplyHead& head, Delivery& delivery)
{
    const auto& runner = delivery.runner;
    if (head.kind == ReplyKind::NotRun) {
        m_hedging.recordRejection(delivery.service);
    }
    if (head.kind == ReplyKind::Misdirected && head.answeredBy == runner.id && runner.weights > 0) {
        m_context.runnerCommands.onWeightsMismatch(runner.id, request.model, runner.weights);
        delivery.tried.erase(runner.id);
        return;
    }
    if (head.kind == ReplyKind::Misdirected && head.answeredBy) {
        m_context.runnerCommands.markReplaced(runner.id);
        return;
    }
    m_context.runnerCommands.recordRefusal(
        runner.id, head.kind == ReplyKind::NotRun ? notRunAvoidTime : misdirectedAvoidTime);
}

void ForwardDispatcher::recordFirstOutput(const ForwardRequest& request, Delivery& delivery)
{
    const auto& runner = delivery.runner;
    delivery.hedgeAt.reset();
    recordBegin(delivery);
    if (delivery.urgency == RouteUrgency::Yielding) {
        m_engines.recordFirstOutput(delivery.service, runner, m_context.clock.now() - delivery.chosenAt);
    }
    m_context.runnerCommands.recordFirstOutput(runner.id, runner.computedTokens, delivery.urgency);
    std::vector<CachedPrefix> cachedPrefixes;
    const auto holder = holderHash(runner.id, runner.incarnation);
    double tokensBefore = 0;
    for (const auto& prefix : sharedPrefixes(request, delivery.cacheSalt, runner.weights)) {
        const double ownTokens = prefix.tokens - std::exchange(tokensBefore, prefix.tokens);
        cachedPrefixes.push_back({ prefix.hash, holder, ownTokens });
        if (runner.cacheStore) {
            cachedPrefixes.push_back({ prefix.hash, storeHash(*runner.cacheStore) });
        }
    }
    m_context.prefixes.recordRead(cachedPrefixes);
}

void ForwardDispatcher::recordAttemptEnd(const RunnerChoice& choice, const Outcome<void>& result,
    const std::optional<Error>& stopReason, const Delivery& delivery)
{
    // A stream whose events were arriving and that ends with its time or its caller shows no fault of its runner.
    const bool isStopped = stopReason || (!result && result.error().code == ErrorCode::DeadlineExceeded);
    const bool isSoundStream = isStopped && delivery.phase == AttemptPhase::Answering
        && m_context.clock.now() - delivery.lastOutputAt < eventPauseLimit;
    auto outcome = RunnerResult::Succeeded;
    if (!result) {
        switch (result.error().code) {
        case ErrorCode::ConnectFailed:
            m_context.runnerCommands.recordConnectFailure(choice.id);
            outcome = RunnerResult::Failed;
            break;
        case ErrorCode::Unavailable:
            outcome = RunnerResult::Refused;
            break;
        case ErrorCode::Cancelled:
        case ErrorCode::Internal:
            outcome = RunnerResult::Abandoned;
            break;
        default: {
            // An error response is more often caused by the request than by the runner.
            const bool isNoEvidence = result.error().runState == RunState::Ran || delivery.isTakenBack || isSoundStream
                || isLocalShortage(result.error());
            outcome = isNoEvidence ? RunnerResult::Abandoned : RunnerResult::Failed;
        }
        }
        m_context.metrics.count(Counter::UpstreamFailures);
    }
    m_context.runnerCommands.recordEnded(
        choice.id, delivery.phase == AttemptPhase::Answering ? 0 : choice.computedTokens, outcome, delivery.urgency);
}

void ForwardDispatcher::recordVersionResult(
    const Outcome<void>& result, const std::optional<Error>& stopReason, const Delivery& delivery)
{
    constexpr int firstErrorStatus = 500;
    constexpr int timeoutStatus = 504;
    auto outcome = VersionResult::Succeeded;
    if (delivery.isTakenBack || (!result && isLocalShortage(result.error()))) {
        outcome = VersionResult::Inconclusive;
    } else if (delivery.status == timeoutStatus) {
        outcome = VersionResult::TimedOut;
    } else if (result) {
        outcome = delivery.status >= firstErrorStatus ? VersionResult::Failed : VersionResult::Succeeded;
    } else {
        // An attempt that was stopped ends with the error of its connection.
        switch (stopReason ? stopReason->code : result.error().code) {
        case ErrorCode::DeadlineExceeded:
            outcome = VersionResult::TimedOut;
            break;
        case ErrorCode::ConnectFailed:
        case ErrorCode::Unavailable:
        case ErrorCode::Cancelled:
        case ErrorCode::Internal:
            outcome = VersionResult::Inconclusive;
            break;
        default:
            outcome = VersionResult::Failed;
        }
    }
    m_context.rolloutCommands.recordEnded(delivery.rolloutAttempt, outcome);
}

} // namespace Pollenwind
