#include "Dispatch/PlainDispatcher.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    constexpr std::size_t maxAttempts = 3;

} // namespace

PlainDispatcher::PlainDispatcher(DispatchContext context, PlainClient& client)
    : m_context(std::move(context))
    , m_client(client)
{
}

Task<Outcome<PlainAnswer>> PlainDispatcher::run(PlainRequest request)
{
    if (!request.caller.keyDigest || request.costTokens == 0) {
        co_return co_await runReserved(request);
    }
    const auto latest = std::min(request.deadline, m_context.clock.now() + m_context.timeouts.rateWait);
    const auto reservation = co_await m_context.limits.reserve(request.caller.organisation, request.costTokens, latest);
    if (!reservation) {
        m_context.metrics.count(Counter::RateRefusals);
        co_return std::unexpected(reservation.error());
    }
    auto answer = co_await runReserved(request);
    const bool isRun = answer || answer.error().runState != RunState::NotRun;
    m_context.limits.settle(*reservation, isRun ? request.costTokens : 0);
    co_return answer;
}

Task<Outcome<PlainAnswer>> PlainDispatcher::runReserved(const PlainRequest& request)
{
    const auto configuration = m_context.configuration.current();
    const auto service = configuration->document.services.find(request.service);
    if (service == configuration->document.services.end()) {
        co_return fail(ErrorCode::NoRoute, "no service named \"" + request.service.value() + "\"");
    }
    PlacementRequest placement;
    placement.service = request.service;
    placement.version = service->second.version;
    placement.ownZone = m_context.ownZone;
    PlainCall call { request.id, request.caller.organisation, request.method, request.target, request.contentType,
        request.idempotencyKey, request.body };
    const auto kind = request.kind == CallKind::Idempotent ? RetryKind::IdempotentCall : RetryKind::NonIdempotentCall;
    std::set<UpstreamId> tried;
    RunState runState = RunState::NotRun;
    for (;;) {
        auto candidates = m_context.upstreams.candidates(request.service, placement.version);
        std::erase_if(candidates, [&](const auto& it) { return tried.contains(it.upstream); });
        const auto choice = m_context.placement.choose(placement, candidates);
        const auto endpoint = choice ? m_context.upstreams.endpointOf(choice->upstream) : std::nullopt;
        if (!endpoint) {
            co_return fail(ErrorCode::Unavailable, "no runner can serve the call now", runState);
        }
        tried.insert(choice->upstream);
        m_context.metrics.count(Counter::UpstreamAttempts);
        m_context.upstreamCommands.noteStarted(choice->upstream, 1);
        auto answer = co_await m_client.run(*endpoint, call, request.deadline - m_context.clock.now());
        m_context.upstreamCommands.noteEnded(choice->upstream, 1, answer.has_value());
        if (answer) {
            co_return answer;
        }
        m_context.metrics.count(Counter::UpstreamFailures);
        const auto progress = answer.error().runState == RunState::NotRun ? Progress::NotStarted : Progress::Sent;
        const bool canRepeat
            = tried.size() < maxAttempts && candidates.size() > 1 && m_context.clock.now() < request.deadline;
        const auto action = decideRetry(kind, progress, classifyFailure(answer.error()), canRepeat);
        if (progress == Progress::Sent) {
            runState = RunState::Unknown;
        }
        if (action == RetryAction::Retry) {
            m_context.metrics.count(Counter::Retries);
            continue;
        }
        answer.error().runState = runState;
        if (runState == RunState::Unknown) {
            answer.error().code = ErrorCode::OutcomeUnknown;
        } else if (answer.error().code == ErrorCode::ConnectFailed) {
            answer.error().code = ErrorCode::Unavailable;
        }
        co_return answer;
    }
}

} // namespace Pollenwind
