#include "Dispatch/CompletionDispatcher.h"

#include "Common/Invariant.h"
#include "Common/Sleep.h"
#include "Common/TaskFault.h"
#include "Dispatch/Queries/CandidateRule.h"
#include "Placement/PrefixChain.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <set>

namespace Pollenwind {

namespace {

    /// Attempts without a new token after which a request fails.
    constexpr std::size_t maxAttempts = 6;

    // Withdrawing a key must end its responses within 5 s, and a disconnected caller should free the engine soon. At
    // this interval, a node with 700 running requests wakes up 1,400 times per second.
    constexpr std::chrono::milliseconds stopCheckInterval { 500 };

    constexpr std::chrono::milliseconds candidatePollInterval { 20 };

    // Delay before an engine that has just failed is tried again, multiplied by the number of attempts.
    constexpr std::chrono::milliseconds retryDelay { 20 };

} // namespace

/// Delivery state of one request over all of its attempts.
struct CompletionDispatcher::Delivery {
    explicit Delivery(const asio::any_io_executor& executor)
        : watchTimer(executor)
    {
    }

    PlacementRequest placement;
    MonotonicTime startedAt { 0 };
    MonotonicTime admittedAt { 0 };
    MonotonicTime lastTokenAt { 0 };
    /// Number of tokens sent to the caller, and their text.
    std::uint32_t tokens = 0;
    std::string text;
    /// Attempts since the last token, and their upstreams.
    std::size_t attempts = 0;
    std::set<UpstreamId> triedUpstreams;
    std::optional<UpstreamId> lastUpstream;
    /// Number of attempts that an engine may have started.
    std::size_t mayHaveStarted = 0;
    /// Set when the request must end regardless of its engine.
    std::optional<Error> stopReason;
    /// Stream of the current attempt.
    StreamId stream;

    /// State of the watching task, which may resume after the request has ended.
    asio::steady_timer watchTimer;
    bool isEnded = false;
    TokenSink* sink = nullptr;
    std::optional<Digest> keyDigest;

    /// Start and first token of the current attempt, and the number of tokens delivered before it.
    MonotonicTime attemptStartedAt { 0 };
    MonotonicTime firstTokenAt { 0 };
    std::uint32_t tokensBeforeAttempt = 0;

    RunState runState() const { return mayHaveStarted > 0 ? RunState::Unknown : RunState::NotRun; }

    Error finalError(Error error) const
    {
        error.runState = runState();
        if (error.code == ErrorCode::ConnectFailed) {
            error.code = ErrorCode::Unavailable;
        }
        return error;
    }
};

namespace {

    /// Stops the watching task when the request ends.
    template <typename Delivery> class WatchGuard {
    public:
        explicit WatchGuard(Delivery& delivery)
            : m_delivery(delivery)
        {
        }
        ~WatchGuard()
        {
            m_delivery.isEnded = true;
            m_delivery.watchTimer.cancel();
        }
        WatchGuard(const WatchGuard&) = delete;
        WatchGuard& operator=(const WatchGuard&) = delete;

    private:
        Delivery& m_delivery;
    };

} // namespace

CompletionDispatcher::CompletionDispatcher(DispatchContext context, EngineClient& engines)
    : m_context(std::move(context))
    , m_engines(engines)
{
}

Task<Outcome<CompletionSummary>> CompletionDispatcher::run(CompletionRequest request, TokenSink& sink)
{
    const auto configuration = m_context.configuration.current();
    const auto service = configuration->document.services.find(request.service);
    if (service == configuration->document.services.end() || service->second.kind != ServiceKind::Model) {
        co_return fail(ErrorCode::NoRoute, "no model named \"" + request.service.value() + "\"");
    }
    const auto executor = co_await asio::this_coro::executor;
    const auto shared = std::make_shared<Delivery>(executor);
    auto& delivery = *shared;
    delivery.startedAt = m_context.clock.now();
    delivery.placement.service = request.service;
    delivery.placement.version = chooseVersion(request, service->second.version);
    delivery.placement.ownZone = m_context.ownZone;
    delivery.placement.chain
        = makePrefixChain(chainSalt(request.caller.organisation, request.service, delivery.placement.version),
            request.prompt, service->second.blockTokens);
    request.maxTokens = std::min(request.maxTokens, service->second.maxOutputTokens);

    const double tokens = delivery.placement.chain.promptTokens + request.maxTokens;
    const bool isMetered = request.caller.keyDigest.has_value();
    ReservationId reservation;
    if (isMetered) {
        const auto latest = std::min(request.deadline, m_context.clock.now() + m_context.timeouts.rateWait);
        const auto reserved = co_await m_context.limits.reserve(request.caller.organisation, tokens, latest);
        if (!reserved) {
            m_context.metrics.count(Counter::RateRefusals);
            co_return std::unexpected(reserved.error());
        }
        reservation = *reserved;
    }
    delivery.sink = &sink;
    delivery.keyDigest = request.caller.keyDigest;
    spawnTask(executor, TaskKind::UpstreamCall, watch(shared, request.id));
    const WatchGuard guard(delivery);
    const auto organisation = configuration->document.organisations.find(request.caller.organisation);
    const double weight = organisation == configuration->document.organisations.end() ? 1 : organisation->second.weight;
    auto summary = co_await runQueued(request, weight, sink, delivery);
    checkInvariant(summary || summary.error().runState != RunState::NotRun || delivery.mayHaveStarted == 0,
        "a request is reported as not run only if no engine may have started it");
    if (isMetered) {
        const bool mayHaveRun = summary || summary.error().runState != RunState::NotRun;
        m_context.limits.settle(reservation, mayHaveRun ? delivery.placement.chain.promptTokens + delivery.tokens : 0);
    }
    co_return summary;
}

Task<Outcome<CompletionSummary>> CompletionDispatcher::runQueued(
    const CompletionRequest& request, double weight, TokenSink& sink, Delivery& delivery)
{
    const double tokens = delivery.placement.chain.promptTokens + request.maxTokens;
    const auto admitted = co_await m_context.admission.enter({ request.service, delivery.placement.version,
        { request.id, request.caller.organisation, weight, tokens }, request.deadline });
    if (!admitted) {
        co_return std::unexpected(delivery.finalError(delivery.stopReason.value_or(admitted.error())));
    }
    delivery.admittedAt = m_context.clock.now();
    // A place in the queue must be given back after an exception, too.
    auto summary = co_await withoutExceptions(TaskKind::Attempt, runAdmitted(request, sink, delivery));
    m_context.admission.leave(request.service);
    co_return summary;
}

std::optional<PlacementChoice> CompletionDispatcher::place(const Delivery& delivery) const
{
    auto candidates = m_context.upstreams.candidates(delivery.placement.service, delivery.placement.version);
    preferUntried(candidates, delivery.triedUpstreams, delivery.lastUpstream);
    return m_context.placement.choose(delivery.placement, candidates);
}

void CompletionDispatcher::checkStop(Delivery& delivery)
{
    if (delivery.stopReason) {
        return;
    }
    if (delivery.keyDigest && m_context.keys.isWithdrawn(*delivery.keyDigest)) {
        delivery.stopReason = Error { ErrorCode::KeyWithdrawn, "the key was withdrawn" };
    } else if (delivery.sink->isCallerGone()) {
        m_context.metrics.count(Counter::CallerDisconnects);
        delivery.stopReason = Error { ErrorCode::Cancelled, "the caller disconnected" };
    }
}

Task<> CompletionDispatcher::watch(std::shared_ptr<Delivery> delivery, RequestId request)
{
    while (!delivery->stopReason) {
        delivery->watchTimer.expires_after(stopCheckInterval);
        co_await delivery->watchTimer.async_wait(asTuple);
        if (delivery->isEnded) {
            co_return;
        }
        checkStop(*delivery);
    }
    // Wakes the request if it waits for admission or for its engine.
    m_context.admission.cancel(delivery->placement.service, request);
    m_engines.cancel(delivery->stream);
}

Task<Outcome<PlacementChoice>> CompletionDispatcher::findEngine(const CompletionRequest& request, Delivery& delivery)
{
    if (delivery.lastUpstream && delivery.triedUpstreams.contains(*delivery.lastUpstream) && delivery.attempts > 1) {
        co_await sleepFor(retryDelay * delivery.attempts);
    }
    const auto giveUpAt = m_context.clock.now() + m_context.timeouts.candidateWait;
    for (;;) {
        checkStop(delivery);
        if (delivery.stopReason) {
            co_return std::unexpected(*delivery.stopReason);
        }
        const auto now = m_context.clock.now();
        if (now >= request.deadline) {
            co_return fail(ErrorCode::DeadlineExceeded, "the deadline passed before the response was complete");
        }
        if (const auto choice = place(delivery)) {
            co_return *choice;
        }
        if (now >= giveUpAt) {
            co_return fail(ErrorCode::Unavailable, "no engine can serve the request now");
        }
        co_await sleepFor(std::min<std::chrono::nanoseconds>(candidatePollInterval, request.deadline - now));
    }
}

Task<Outcome<CompletionSummary>> CompletionDispatcher::runAdmitted(
    const CompletionRequest& request, TokenSink& sink, Delivery& delivery)
{
    m_context.retryBudget.recordRequest(request.service);
    for (;;) {
        const auto choice = co_await findEngine(request, delivery);
        if (!choice) {
            co_return std::unexpected(delivery.finalError(choice.error()));
        }
        auto summary = co_await tryEngine(request, *choice, sink, delivery);
        if (summary) {
            co_return summary;
        }
        if (delivery.stopReason) {
            co_return std::unexpected(delivery.finalError(*delivery.stopReason));
        }
        if (!mayRepeat(request, delivery, summary.error())) {
            co_return std::unexpected(delivery.finalError(summary.error()));
        }
    }
}

bool CompletionDispatcher::mayRepeat(const CompletionRequest& request, Delivery& delivery, const Error& error)
{
    const auto failure = classifyFailure(error);
    const auto progressBeforeAnswer = error.runState == RunState::NotRun ? Progress::NotStarted : Progress::Sent;
    const auto progress = delivery.tokens > 0 ? Progress::AnswerBegun : progressBeforeAnswer;
    const bool isPossible = delivery.attempts < maxAttempts && m_context.clock.now() < request.deadline;
    const auto action = decideRetry(RetryKind::Generation, progress, failure, isPossible);
    if (action == RetryAction::Resume) {
        m_context.retryBudget.takeResume(request.service);
        m_context.metrics.count(Counter::Resumes);
        return true;
    }
    if (action != RetryAction::Retry) {
        return false;
    }
    if (!m_context.retryBudget.tryTake(request.service)) {
        m_context.metrics.count(Counter::RetryBudgetExhausted);
        return false;
    }
    m_context.metrics.count(Counter::Retries);
    return true;
}

Task<Outcome<CompletionSummary>> CompletionDispatcher::tryEngine(
    const CompletionRequest& request, const PlacementChoice& choice, TokenSink& sink, Delivery& delivery)
{
    ++delivery.attempts;
    delivery.attemptStartedAt = m_context.clock.now();
    delivery.tokensBeforeAttempt = delivery.tokens;
    const double tokens = delivery.placement.chain.promptTokens + request.maxTokens;
    m_context.metrics.count(Counter::UpstreamAttempts);
    m_context.upstreamCommands.recordStarted(choice.upstream, tokens);
    auto summary = co_await attempt(request, choice, sink, delivery);
    delivery.triedUpstreams.insert(choice.upstream);
    delivery.lastUpstream = choice.upstream;
    auto result = WorkResult::Succeeded;
    if (!summary) {
        // A disconnected caller or an expired deadline is not a failure of the engine.
        const bool isFault = !delivery.stopReason && m_context.clock.now() < request.deadline;
        result = isFault ? WorkResult::Failed : WorkResult::Abandoned;
        m_context.metrics.count(Counter::UpstreamFailures, isFault ? 1 : 0);
        delivery.mayHaveStarted += summary.error().runState == RunState::NotRun ? 0 : 1;
    }
    if (result != WorkResult::Abandoned) {
        recordVersionOutcome(request, choice, summary, delivery);
    }
    if (!summary && summary.error().code == ErrorCode::Mismatch) {
        m_context.metrics.count(Counter::AnswerMismatches);
    }
    m_context.upstreamCommands.recordEnded(choice.upstream, tokens, result);
    co_return summary;
}

Task<Outcome<CompletionSummary>> CompletionDispatcher::attempt(
    const CompletionRequest& request, const PlacementChoice& choice, TokenSink& sink, Delivery& delivery)
{
    const auto endpoint = m_context.upstreams.endpointOf(choice.upstream);
    if (!endpoint) {
        co_return fail(ErrorCode::ConnectFailed, "the upstream was removed from the configuration");
    }
    GenerationCall call;
    call.request = request.id;
    call.service = request.service;
    call.version = delivery.placement.version;
    call.organisation = request.caller.organisation;
    call.prompt = request.prompt;
    call.maxTokens = request.maxTokens;
    call.priority = request.priority;
    call.resumeFrom = delivery.tokens;
    call.resumeText = delivery.text;
    delivery.stream = m_engines.open(*endpoint, std::move(call));
    // An engine sends the head before the prefill, so a connection without data for the token gap is dead.
    const auto& timeouts = m_context.timeouts;
    const auto limit = std::min(timeouts.firstToken, timeouts.tokenGap);
    const auto begun
        = co_await m_engines.begin(delivery.stream, std::min(limit, request.deadline - m_context.clock.now()));
    if (!begun) {
        co_return std::unexpected(begun.error());
    }
    m_context.cache.recordPlacement(choice, delivery.placement.chain);
    auto summary = co_await relay(request, sink, delivery);
    m_engines.cancel(delivery.stream);
    if (summary) {
        m_context.metrics.count(Counter::PromptTokens, summary->promptTokens);
        m_context.metrics.count(Counter::CachedPromptTokens, summary->cachedTokens);
        m_context.cache.recordCachedTokens(choice, delivery.placement.chain, summary->cachedTokens);
    }
    co_return summary;
}

Task<Outcome<CompletionSummary>> CompletionDispatcher::relay(
    const CompletionRequest& request, TokenSink& sink, Delivery& delivery)
{
    for (bool isFirst = true;; isFirst = false) {
        const auto remaining = request.deadline - m_context.clock.now();
        if (remaining.count() <= 0) {
            co_return fail(
                ErrorCode::DeadlineExceeded, "the deadline passed before the response was complete", RunState::Unknown);
        }
        const auto limit = isFirst ? m_context.timeouts.firstToken : m_context.timeouts.tokenGap;
        const auto event = co_await m_engines.next(delivery.stream, std::min(limit, remaining));
        if (delivery.keyDigest && m_context.keys.isWithdrawn(*delivery.keyDigest)) {
            checkStop(delivery);
        }
        if (delivery.stopReason) {
            co_return fail(ErrorCode::Cancelled, "the request was cancelled", RunState::Unknown);
        }
        if (!event) {
            co_return std::unexpected(event.error());
        }
        if (event->kind == GenerationEventKind::Finished) {
            co_return finish(*event, delivery);
        }
        if (event->index != delivery.tokens) {
            co_return fail(ErrorCode::ProtocolError, "the engine sent a token out of order", RunState::Unknown);
        }
        const auto delivered = co_await deliver(*event, sink, delivery);
        if (!delivered) {
            co_return std::unexpected(delivered.error());
        }
    }
}

VersionId CompletionDispatcher::chooseVersion(const CompletionRequest& request, const VersionId& configured) const
{
    const auto& moves = m_context.moveQueries;
    auto version = moves.versionFor(request.service, configured, request.id, true);
    if (m_context.upstreams.candidates(request.service, version).empty()) {
        // A new version has few engines; if all of them are down, its share of the requests must not fail.
        version = moves.versionFor(request.service, configured, request.id, false);
    }
    return version;
}

void CompletionDispatcher::recordVersionOutcome(const CompletionRequest& request, const PlacementChoice& choice,
    const Outcome<CompletionSummary>& summary, const Delivery& delivery)
{
    VersionOutcome outcome;
    outcome.service = request.service;
    outcome.version = delivery.placement.version;
    outcome.route = request.route;
    outcome.upstream = choice.upstream;
    outcome.isComplete = summary.has_value();
    if (!summary) {
        // A refusal before the request started is not a result of the version.
        if (summary.error().runState == RunState::NotRun) {
            return;
        }
        outcome.isConnectionLost = summary.error().code == ErrorCode::ConnectionLost;
    } else if (delivery.tokens > delivery.tokensBeforeAttempt) {
        const auto tokens = delivery.tokens - delivery.tokensBeforeAttempt;
        outcome.firstToken = delivery.firstTokenAt - delivery.attemptStartedAt;
        outcome.betweenTokens
            = tokens > 1 ? (delivery.lastTokenAt - delivery.firstTokenAt) / (tokens - 1) : std::chrono::nanoseconds(0);
        const auto prompt = delivery.placement.chain.promptTokens;
        outcome.computedTokens = prompt - std::min(prompt, summary->cachedTokens);
    }
    m_context.moveCommands.recordOutcome(outcome);
}

Outcome<CompletionSummary> CompletionDispatcher::finish(const GenerationEvent& event, const Delivery& delivery) const
{
    // An engine may finish before max_tokens and may omit its counts, but a count that it reports must be correct.
    if (event.completionTokens && *event.completionTokens != delivery.tokens) {
        return fail(ErrorCode::ProtocolError, "the engine reported a token count other than the tokens it sent",
            RunState::Unknown);
    }
    return CompletionSummary { event.finishReason, event.promptTokens, delivery.tokens, event.cachedTokens,
        delivery.placement.version };
}

Task<Outcome<void>> CompletionDispatcher::deliver(const GenerationEvent& event, TokenSink& sink, Delivery& delivery)
{
    checkInvariant(event.index == delivery.tokens, "tokens are delivered in order and exactly once");
    const auto written = co_await sink.write({ event.index, event.text });
    if (!written) {
        if (!delivery.stopReason) {
            m_context.metrics.count(Counter::CallerDisconnects);
            delivery.stopReason = Error { ErrorCode::Cancelled, "the caller disconnected" };
        }
        co_return fail(ErrorCode::Cancelled, "the caller disconnected", RunState::Unknown);
    }
    const auto now = m_context.clock.now();
    const bool isFirst = delivery.tokens == 0;
    m_context.metrics.observe(isFirst ? Distribution::TimeToFirstToken : Distribution::TimeBetweenTokens,
        now - (isFirst ? delivery.startedAt : delivery.lastTokenAt));
    m_context.metrics.count(Counter::TokensDelivered);
    if (isFirst) {
        m_context.admission.recordFirstToken(delivery.placement.service, now - delivery.admittedAt);
    }
    if (delivery.tokens == delivery.tokensBeforeAttempt) {
        delivery.firstTokenAt = now;
    }
    delivery.lastTokenAt = now;
    ++delivery.tokens;
    delivery.text += event.text;
    delivery.attempts = 1;
    delivery.triedUpstreams.clear();
    co_return Outcome<void> {};
}

} // namespace Pollenwind
