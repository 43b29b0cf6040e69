#include "Dispatch/PlainDispatcher.h"

#include "Common/Invariant.h"
#include "Dispatch/Queries/CandidateRule.h"

#include <algorithm>
#include <set>

namespace Pollenwind {

namespace {

    constexpr std::size_t maxAttempts = 3;

    Digest digestOf(const PlainRequest& request)
    {
        std::string text;
        for (const auto* part :
            { &request.service.value(), &request.method, &request.target, &request.contentType, &request.body }) {
            // The length prefix makes the encoding unambiguous for arbitrary bytes.
            text += std::to_string(part->size()) + ":" + *part;
        }
        return sha256(text);
    }

    Outcome<PlainAnswer> earlierCallResult(ClaimAnswer claim)
    {
        switch (claim.result) {
        case ClaimResult::Replay:
            return std::move(claim.answer);
        case ClaimResult::InProgress:
            return fail(ErrorCode::InProgress, "a call with this idempotency key is running", RunState::Unknown);
        case ClaimResult::AnswerNotKept:
            return fail(ErrorCode::OutcomeUnknown,
                "a call with this idempotency key ran; its response was too large to store", RunState::Ran);
        case ClaimResult::Conflict:
            return fail(ErrorCode::Conflict, "the idempotency key was used for another call");
        case ClaimResult::Created:
        case ClaimResult::OutcomeUnknown:
            break;
        }
        return fail(ErrorCode::OutcomeUnknown, "the outcome of an earlier call with this idempotency key is unknown",
            RunState::Unknown);
    }

} // namespace

PlainDispatcher::PlainDispatcher(DispatchContext context, PlainClient& client, ClaimCommands& claims)
    : m_context(std::move(context))
    , m_client(client)
    , m_claims(claims)
{
}

Task<Outcome<PlainAnswer>> PlainDispatcher::run(PlainRequest request)
{
    if (!request.caller.keyDigest || request.costTokens == 0) {
        co_return (co_await runOnce(request)).answer;
    }
    const auto latest = std::min(request.deadline, m_context.clock.now() + m_context.timeouts.rateWait);
    const auto reservation = co_await m_context.limits.reserve(request.caller.organisation, request.costTokens, latest);
    if (!reservation) {
        m_context.metrics.count(Counter::RateRefusals);
        co_return std::unexpected(reservation.error());
    }
    auto execution = co_await runOnce(request);
    m_context.limits.settle(*reservation, execution.isStarted ? request.costTokens : 0);
    co_return std::move(execution.answer);
}

Task<PlainDispatcher::Execution> PlainDispatcher::runOnce(const PlainRequest& request)
{
    const bool isClaimed = request.kind == CallKind::NonIdempotent && !request.idempotencyKey.empty();
    ClaimTicket ticket;
    if (isClaimed) {
        auto claimed = co_await m_claims.claim(
            { request.caller.organisation, request.idempotencyKey, digestOf(request), request.deadline });
        if (!claimed) {
            co_return Execution { std::unexpected(claimed.error()) };
        }
        if (claimed->result != ClaimResult::Created) {
            co_return Execution { earlierCallResult(std::move(*claimed)) };
        }
        ticket = std::move(claimed->ticket);
    }
    Execution execution;
    execution.answer = co_await runAttempts(request);
    execution.isStarted = execution.answer || execution.answer.error().runState != RunState::NotRun;
    // The caller gets the response even if the outcome cannot be stored; a repeated request then gets OutcomeUnknown.
    if (isClaimed && execution.isStarted) {
        auto outcome = execution.answer ? std::optional(*execution.answer) : std::nullopt;
        co_await m_claims.complete(std::move(ticket), std::move(outcome));
    } else if (isClaimed) {
        co_await m_claims.release(std::move(ticket));
    }
    co_return execution;
}

Task<Outcome<PlainAnswer>> PlainDispatcher::runAttempts(const PlainRequest& request)
{
    const auto configuration = m_context.configuration.current();
    const auto service = configuration->document.services.find(request.service);
    if (service == configuration->document.services.end()) {
        co_return fail(ErrorCode::NoRoute, "no service named \"" + request.service.value() + "\"");
    }
    PlacementRequest placement;
    placement.service = request.service;
    placement.version = m_context.moveQueries.versionFor(
        request.service, service->second.version, request.id, request.kind == CallKind::Idempotent);
    placement.ownZone = m_context.ownZone;
    PlainCall call { request.id, request.caller.organisation, request.method, request.target, request.contentType,
        request.idempotencyKey, request.body, request.kind == CallKind::NonIdempotent };
    const auto kind = request.kind == CallKind::Idempotent ? RetryKind::IdempotentCall : RetryKind::NonIdempotentCall;
    std::set<UpstreamId> tried;
    std::optional<UpstreamId> last;
    std::size_t attempts = 0;
    RunState runState = RunState::NotRun;
    std::size_t mayHaveStarted = 0;
    m_context.retryBudget.recordRequest(request.service);
    for (;;) {
        auto candidates = m_context.upstreams.candidates(request.service, placement.version);
        preferUntried(candidates, tried, last);
        const auto choice = m_context.placement.choose(placement, candidates);
        const auto endpoint = choice ? m_context.upstreams.endpointOf(choice->upstream) : std::nullopt;
        if (!endpoint) {
            checkInvariant(runState != RunState::NotRun || mayHaveStarted == 0,
                "a call is reported as not run only if no runner may have started it");
            co_return fail(ErrorCode::Unavailable, "no runner can serve the call now", runState);
        }
        checkInvariant(kind != RetryKind::NonIdempotentCall || mayHaveStarted == 0,
            "a non-idempotent call is dispatched at most once");
        tried.insert(choice->upstream);
        last = choice->upstream;
        ++attempts;
        m_context.metrics.count(Counter::UpstreamAttempts);
        m_context.upstreamCommands.recordStarted(choice->upstream, 1);
        auto answer = co_await m_client.run(
            *endpoint, call, std::min(m_context.timeouts.firstToken, request.deadline - m_context.clock.now()));
        m_context.upstreamCommands.recordEnded(
            choice->upstream, 1, answer ? WorkResult::Succeeded : WorkResult::Failed);
        if (answer) {
            co_return answer;
        }
        m_context.metrics.count(Counter::UpstreamFailures);
        const auto progress = answer.error().runState == RunState::NotRun ? Progress::NotStarted : Progress::Sent;
        if (answer.error().code == ErrorCode::Mismatch) {
            m_context.metrics.count(Counter::AnswerMismatches);
        }
        const bool isPossible = attempts < maxAttempts && m_context.clock.now() < request.deadline;
        auto action = decideRetry(kind, progress, classifyFailure(answer.error()), isPossible);
        if (action == RetryAction::Retry && !m_context.retryBudget.tryTake(request.service)) {
            m_context.metrics.count(Counter::RetryBudgetExhausted);
            action = decideRetry(kind, progress, classifyFailure(answer.error()), false);
        }
        if (progress == Progress::Sent) {
            runState = RunState::Unknown;
            ++mayHaveStarted;
        }
        if (action == RetryAction::Retry) {
            m_context.metrics.count(Counter::Retries);
            continue;
        }
        checkInvariant(runState != RunState::NotRun || mayHaveStarted == 0,
            "a call is reported as not run only if no runner may have started it");
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
