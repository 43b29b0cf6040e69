#pragma once

#include "Common/MemoryBudget.h"
#include "Dispatch/Queries/RetryRule.h"
#include "Dispatch/RetryBudget.h"
#include "Gateway/Commands/CrashCommands.h"
#include "Gateway/Commands/PaceCommands.h"
#include "Gateway/Commands/PrefixCommands.h"
#include "Gateway/Commands/QuarantineCommands.h"
#include "Gateway/Commands/ReplySink.h"
#include "Gateway/Commands/RolloutCommands.h"
#include "Gateway/Commands/RunnerClient.h"
#include "Gateway/Commands/RunnerCommands.h"
#include "Gateway/EngineAdmission.h"
#include "Gateway/ForwardAdmission.h"
#include "Gateway/GatewaySettings.h"
#include "Gateway/HedgePolicy.h"
#include "Gateway/Queries/FreshnessQueries.h"
#include "Gateway/Queries/QuarantineQueries.h"
#include "Gateway/Queries/RolloutQueries.h"
#include "Gateway/Queries/RoutingQueries.h"
#include "Gateway/Queries/RunnerPolicy.h"
#include "Gateway/Queries/RunnerQueries.h"
#include "Gateway/RequestLog.h"
#include "Metrics/Commands/MetricCommands.h"

#include <set>

namespace Pollenwind {

/// Dependencies of the dispatcher.
struct ForwardContext {
    const Clock& clock;
    const RoutingQueries& routing;
    const FreshnessQueries& freshness;
    const RunnerQueries& runners;
    RunnerCommands& runnerCommands;
    const RunnerPolicy& policy;
    PrefixCommands& prefixes;
    QuotaCommands& quota;
    RetryBudget& retryBudget;
    RunnerClient& client;
    MetricCommands& metrics;
    RequestLog& log;
    const QuarantineQueries& quarantine;
    QuarantineCommands& quarantineCommands;
    CrashCommands& crashes;
    const RolloutQueries& rollouts;
    RolloutCommands& rolloutCommands;
    /// See LoadSettings.
    unsigned yieldRanks = LoadSettings {}.yieldRanks;
    /// Null if the speed of runners is not measured.
    PaceCommands* pace = nullptr;
    RegionMap regions = {};
    /// Share of the requests of a service that may be copied to a second runner; 0 for none.
    double hedgeShare = 0;
    /// Names of the resumable routes whose streams may be copied before their first event.
    std::set<std::string> hedgedStreams = {};
};

struct AttemptState;
class RunnerRace;
struct RaceLane;

/// Forwards requests to runners and their responses to the callers: lets them be admitted, chooses a runner, and
/// repeats or resumes a request where its route allows it.
class ForwardDispatcher {
public:
    explicit ForwardDispatcher(ForwardContext context)
        : m_context(std::move(context))
        , m_admission({ m_context.clock, m_context.routing, m_context.freshness, m_context.quota, m_context.metrics,
              m_context.log })
        , m_engines({ m_context.clock, m_context.metrics, m_context.yieldRanks })
        , m_hedging(m_context.clock, m_context.hedgeShare)
    {
    }

    /// Serves one request.
    /// @param receivedAt Time at which the request was received.
    /// @param sink Receives the response; after an error it may have received a part of a streamed one.
    /// @return An error if the request ends without a complete response. Its run state says whether it may have run.
    Task<Outcome<void>> forward(const ForwardRequest& request, MonotonicTime receivedAt, ReplySink& sink);

    /// Lets the requests go on that wait for the first configuration.
    void onConfigurationRead() { m_admission.onConfigurationRead(); }

    /// Sets the share of the fleet, from 0 to 1, whose work at the engines this VM knows.
    void setKnownWorkShare(double share) { m_engines.setKnownWorkShare(share); }

    /// Longest time that a request may take: the caller's own or the route's, whichever is shorter.
    std::chrono::milliseconds timeoutOf(const ForwardRequest& request) const { return m_admission.timeoutOf(request); }

private:
    /// Largest response that is not a stream. A runner in trouble may send bytes without end.
    static constexpr std::size_t maxResponseBytes = 8UL * 1024 * 1024;
    /// Largest event of a stream. A runner in trouble may send bytes without the end of an event.
    static constexpr std::size_t maxEventBytes = 256UL * 1024;

    struct Delivery;

    /// Runners that may take the next attempt. A request that cannot be taken back from a runner's queue gets none
    /// whose weights expire before it is likely to begin.
    std::vector<RunnerCandidate> candidatesFor(const ForwardRequest& request, const Delivery& delivery);
    /// Home regions of the request under the configuration of its admission and the one in force.
    HomeRegions homeRegionsOf(const ForwardRequest& request, const Delivery& delivery) const;
    /// Salt of the request's cache entries under the configuration in force.
    std::string currentCacheSalt(const Delivery& delivery) const;
    /// Also sets the salt of the attempt.
    Outcome<RunnerChoice> chooseRunner(const ForwardRequest& request, Delivery& delivery);
    /// What the request needs from an engine.
    EngineDemand demandOf(const ForwardRequest& request, const Delivery& delivery) const;
    /// Rejects a yielding request that no engine would start in time.
    Outcome<void> checkLoad(const ForwardRequest& request, const Delivery& delivery);
    /// @param cacheSalt Salt of the request's cache entries.
    std::optional<RunnerChoice> chooseAmong(const ForwardRequest& request, const std::string& cacheSalt,
        const Delivery& delivery, std::span<const RunnerCandidate> candidates) const;
    /// Makes an attempt the current one and records it, before anything is sent.
    std::unique_ptr<RunnerExchange> beginAttempt(
        const ForwardRequest& request, const RunnerChoice& choice, Delivery& delivery);
    /// Sends the request to one runner and relays its response.
    Task<Outcome<void>> attempt(
        const ForwardRequest& request, const RunnerChoice& choice, ReplySink& sink, Delivery& delivery);
    Task<Outcome<void>> exchangeWith(
        RunnerExchange& exchange, const ForwardRequest& request, ReplySink& sink, Delivery& delivery);
    /// Whether another runner may take over the request if the current attempt is given up.
    bool mayReplaceRunner(const ForwardRequest& request, const Delivery& delivery);
    /// Whether an attempt goes on after a read that failed: its runner is only silent, and the request may still end.
    bool isSilence(const Error& error, const Delivery& delivery) const;
    /// Sends a request whose runner is silent to another runner, if one may take over. The silent one goes on until the
    /// other has accepted the request, since a refusal must not end an answer.
    /// @return Result of the other attempt if it took over.
    Task<std::optional<Outcome<void>>> replaceRunner(
        const ForwardRequest& request, RunnerExchange& silent, ReplySink& sink, Delivery& delivery);
    /// Cancels the silent runner of a request that another one has accepted.
    void cancelReplaced(Delivery& delivery);
    Task<Outcome<void>> relayAnswer(const ForwardRequest& request, RunnerExchange& exchange, const ReplyHead& head,
        ReplySink& sink, Delivery& delivery);
    Task<Outcome<void>> relayStream(const ForwardRequest& request, RunnerExchange& exchange, const ReplyHead& head,
        ReplySink& sink, Delivery& delivery);
    /// The limit, or the time until the runner's old weights expire if that is shorter and there is no output yet.
    std::chrono::nanoseconds untilBeginLimit(std::chrono::nanoseconds limit, const Delivery& delivery) const;
    /// Connects to the runner of the attempt and sends the request, unless the runner has become unavailable meanwhile.
    Task<Outcome<ReplyHead>> send(
        const ForwardRequest& request, RunnerExchange& exchange, Delivery& delivery, std::chrono::nanoseconds limit);
    /// Whether an attempt that has its connection may be sent. Others may have heard from the runner meanwhile.
    /// @param attempt Is marked as diverted if not.
    Outcome<void> checkBeforeSend(const ForwardRequest& request, const Delivery& delivery, AttemptState& attempt) const;

    /// Whether the request may be copied to a second runner.
    bool mayHedge(const Delivery& delivery) const;
    /// Sets the time at which the request is copied, if it may be. Called when it is sent.
    void startHedgeTimer(Delivery& delivery);
    /// The limit, or the time until the request is copied if that is shorter.
    std::chrono::nanoseconds untilHedge(std::chrono::nanoseconds limit, const Delivery& delivery) const;
    /// Whether a read failed because it is time to copy the request.
    bool isHedgeDue(const Error& error, const Delivery& delivery) const;
    /// Records, once for each request, that its response has begun.
    void recordBegin(Delivery& delivery);
    /// Sends a copy of the request to another runner, if that is allowed now, and relays the first response.
    /// @param exchange The first attempt.
    /// @param head Head of its response, if that has arrived.
    /// @return Result of the request, or nothing if the first attempt goes on alone and its response has not begun.
    Task<std::optional<Outcome<void>>> hedge(const ForwardRequest& request, RunnerExchange& exchange,
        std::optional<ReplyHead> head, ReplySink& sink, Delivery& delivery);
    /// Decides whether the request is copied now, and records why it is not.
    std::optional<RunnerChoice> chooseHedgeRunner(const ForwardRequest& request, Delivery& delivery);
    /// Connects to the runner of the copy and sends it, unless the race is over or a limit is reached meanwhile.
    Task<Outcome<ReplyHead>> sendCopy(const ForwardRequest& request, RunnerExchange& exchange, const RunnerRace& race,
        AttemptState& copy, const Delivery& delivery, std::chrono::nanoseconds limit);
    /// Records the end of the current attempt of two while the other one goes on.
    void recordLaneEnd(const ForwardRequest& request, RaceLane& lane, Delivery& delivery);
    /// Records that the current attempt of two was cancelled.
    /// @param stopReason Why the request was stopped, if it was.
    void recordLaneCancelled(const std::optional<Error>& stopReason, Delivery& delivery);
    /// Relays the response of the attempt that goes on.
    Task<Outcome<void>> finishLane(const ForwardRequest& request, RaceLane& lane, ReplySink& sink, Delivery& delivery);
    /// Makes the copy the current attempt and relays its response. Its end is recorded.
    Task<Outcome<void>> finishCopy(
        const ForwardRequest& request, RaceLane& lane, const AttemptState& state, ReplySink& sink, Delivery& delivery);

    /// Refuses a request because of a quarantined part, unless it is to test the part.
    std::optional<Error> checkQuarantine(Delivery& delivery);
    /// Logs an attempt after which the request is sent elsewhere or ends.
    /// @param runner Runner of the attempt.
    void recordRepeat(
        const ForwardRequest& request, const RunnerChoice& runner, const Error& error, const Delivery& delivery);
    /// Reports a request that lost its runner before its answer was proven.
    void recordLoss(const Error& error, Delivery& delivery);
    /// Whether the request may be sent again after an attempt failed. Counts the refusal or the retry.
    bool mayRepeat(const ForwardRequest& request, const Error& error, Delivery& delivery);
    /// Time until the request's deadline, in the whole milliseconds that runners are told.
    std::chrono::milliseconds timeLeft(const Delivery& delivery) const;
    /// Values that an attempt adds to the request.
    AttemptTerms termsOf(const ForwardRequest& request, const RunnerChoice& choice, const Delivery& delivery) const;
    /// Records what the head of a response says about the runner's further availability.
    void recordAvailability(const ForwardRequest& request, const ReplyHead& head, Delivery& delivery);
    /// Ends the attempt's trial after a back-off, if it is one.
    void endTrial(Delivery& delivery, bool isAccepted);
    void recordRefusal(const ForwardRequest& request, const ReplyHead& head, Delivery& delivery);
    void recordFirstOutput(const ForwardRequest& request, Delivery& delivery);
    /// Records, once for each attempt, that the request's answer is whole or goes on long enough to show that its
    /// prompt does not crash the runner.
    void recordProvenAnswer(Delivery& delivery);
    /// Records the end of an attempt as evidence on its runner.
    /// @param stopReason Why the request was stopped during the attempt, if it was.
    void recordAttemptEnd(const RunnerChoice& choice, const Outcome<void>& result,
        const std::optional<Error>& stopReason, const Delivery& delivery);
    /// Records the end of an attempt as evidence on the version of its runner.
    /// @param stopReason Why the request was stopped during the attempt, if it was.
    void recordVersionResult(
        const Outcome<void>& result, const std::optional<Error>& stopReason, const Delivery& delivery);

    ForwardContext m_context;
    ForwardAdmission m_admission;
    EngineAdmission m_engines;
    HedgePolicy m_hedging;
};

} // namespace Pollenwind
