#include "Dispatch/CompletionDispatcher.h"

#include "Common/Invariant.h"
#include "Placement/PrefixChain.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    constexpr std::size_t maxAttempts = 4;

} // namespace

/// What has happened to one request so far.
struct CompletionDispatcher::Delivery {
    PlacementRequest placement;
    MonotonicTime startedAt { 0 };
    MonotonicTime lastTokenAt { 0 };
    /// Tokens that the caller was sent, and their text.
    std::uint32_t tokens = 0;
    std::string text;
    std::uint32_t cachedTokens = 0;
    Progress progress = Progress::NotStarted;
    std::set<UpstreamId> tried;
    bool isCallerLost = false;
    bool isKeyWithdrawn = false;
};

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
    Delivery delivery;
    delivery.startedAt = m_context.clock.now();
    delivery.placement.service = request.service;
    delivery.placement.version = service->second.version;
    delivery.placement.ownZone = m_context.ownZone;
    delivery.placement.chain
        = makePrefixChain(chainSalt(request.caller.organisation, request.service, service->second.version),
            request.prompt, service->second.pieceTokens);
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
    auto summary = co_await runReserved(request, sink, delivery);
    if (isMetered) {
        const bool isRun = summary || summary.error().runState != RunState::NotRun;
        m_context.limits.settle(reservation, isRun ? delivery.placement.chain.promptTokens + delivery.tokens : 0);
    }
    co_return summary;
}

std::optional<PlacementChoice> CompletionDispatcher::place(const Delivery& delivery) const
{
    auto candidates = m_context.upstreams.candidates(delivery.placement.service, delivery.placement.version);
    std::erase_if(candidates, [&](const auto& it) { return delivery.tried.contains(it.upstream); });
    return m_context.placement.choose(delivery.placement, candidates);
}

Task<Outcome<CompletionSummary>> CompletionDispatcher::runReserved(
    const CompletionRequest& request, TokenSink& sink, Delivery& delivery)
{
    RunState runState = RunState::NotRun;
    for (;;) {
        const auto choice = place(delivery);
        if (!choice) {
            co_return fail(ErrorCode::Unavailable, "no engine can serve the request now", runState);
        }
        if (m_context.clock.now() >= request.deadline) {
            co_return fail(ErrorCode::DeadlineExceeded, "the deadline passed before the answer was complete", runState);
        }
        delivery.tried.insert(choice->upstream);
        const double tokens = delivery.placement.chain.promptTokens + request.maxTokens;
        m_context.metrics.count(Counter::UpstreamAttempts);
        m_context.upstreamCommands.noteStarted(choice->upstream, tokens);
        auto summary = co_await attempt(request, *choice, sink, delivery);
        const bool isUpstreamFault = !summary && !delivery.isCallerLost && !delivery.isKeyWithdrawn;
        m_context.upstreamCommands.noteEnded(choice->upstream, tokens,
            summary ? WorkResult::Succeeded : (isUpstreamFault ? WorkResult::Failed : WorkResult::Abandoned));
        if (!isUpstreamFault) {
            co_return summary;
        }
        m_context.metrics.count(Counter::UpstreamFailures);
        const auto failure = classifyFailure(summary.error());
        const bool canRepeat = delivery.tried.size() < maxAttempts && place(delivery).has_value();
        const auto action = decideRetry(RetryKind::Generation, delivery.progress, failure, canRepeat);
        if (summary.error().runState != RunState::NotRun) {
            runState = RunState::Unknown;
        }
        if (action == RetryAction::Retry || action == RetryAction::Resume) {
            m_context.metrics.count(action == RetryAction::Retry ? Counter::Retries : Counter::Resumes);
            continue;
        }
        summary.error().runState = runState;
        if (summary.error().code == ErrorCode::ConnectFailed) {
            summary.error().code = ErrorCode::Unavailable;
        }
        co_return summary;
    }
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
    const auto timeout = std::min(m_context.timeouts.firstToken, request.deadline - m_context.clock.now());
    const auto stream = co_await m_engines.start(*endpoint, std::move(call), timeout);
    if (!stream) {
        if (stream.error().runState != RunState::NotRun && delivery.progress == Progress::NotStarted) {
            delivery.progress = Progress::Sent;
        }
        co_return std::unexpected(stream.error());
    }
    if (delivery.progress == Progress::NotStarted) {
        delivery.progress = Progress::Sent;
    }
    m_context.cache.notePlaced(choice, delivery.placement.chain);
    auto summary = co_await relay(request, *stream, sink, delivery);
    m_engines.cancel(*stream);
    if (summary) {
        m_context.cache.noteCached(choice, delivery.placement.chain, summary->cachedTokens);
    }
    co_return summary;
}

Task<Outcome<CompletionSummary>> CompletionDispatcher::relay(
    const CompletionRequest& request, StreamId stream, TokenSink& sink, Delivery& delivery)
{
    for (bool isFirst = true;; isFirst = false) {
        const auto limit = isFirst ? m_context.timeouts.firstToken : m_context.timeouts.tokenGap;
        const auto timeout = std::min(limit, request.deadline - m_context.clock.now());
        auto event = co_await m_engines.next(stream, timeout);
        if (request.caller.keyDigest && m_context.keys.isWithdrawn(*request.caller.keyDigest)) {
            delivery.isKeyWithdrawn = true;
            co_return fail(ErrorCode::KeyWithdrawn, "the key was withdrawn", RunState::Unknown);
        }
        if (!event) {
            if (event.error().code == ErrorCode::Mismatch) {
                m_context.metrics.count(Counter::AnswerMismatches);
            }
            co_return std::unexpected(event.error());
        }
        if (event->kind == GenerationEventKind::Finished) {
            if (event->completionTokens != delivery.tokens) {
                co_return fail(ErrorCode::ProtocolError, "the engine finished with missing tokens", RunState::Unknown);
            }
            co_return CompletionSummary { event->finishReason, event->promptTokens, event->completionTokens,
                event->cachedTokens, delivery.placement.version };
        }
        if (event->index != delivery.tokens) {
            co_return fail(ErrorCode::ProtocolError, "the engine sent a token out of order", RunState::Unknown);
        }
        const auto written = co_await sink.write({ event->index, event->text });
        if (!written) {
            delivery.isCallerLost = true;
            m_context.metrics.count(Counter::CallerDisconnects);
            co_return fail(ErrorCode::Cancelled, "the caller disconnected", RunState::Unknown);
        }
        const auto now = m_context.clock.now();
        m_context.metrics.observe(
            delivery.tokens == 0 ? Distribution::TimeToFirstToken : Distribution::TimeBetweenTokens,
            now - (delivery.tokens == 0 ? delivery.startedAt : delivery.lastTokenAt));
        delivery.lastTokenAt = now;
        checkInvariant(event->index == delivery.tokens, "tokens reach the caller in order, each once");
        ++delivery.tokens;
        delivery.text += event->text;
        delivery.progress = Progress::AnswerBegun;
        m_context.metrics.count(Counter::TokensDelivered);
    }
}

} // namespace Pollenwind
