#pragma once

#include "Common/Clock.h"
#include "Config/Queries/ConfigurationQueries.h"
#include "Dispatch/Commands/AdmissionCommands.h"
#include "Dispatch/Commands/CompletionCommands.h"
#include "Dispatch/Queries/RetryRule.h"
#include "Dispatch/RetryBudget.h"
#include "Keys/Queries/KeyQueries.h"
#include "Limits/Commands/LimitCommands.h"
#include "Metrics/Commands/MetricCommands.h"
#include "Moves/Commands/MoveCommands.h"
#include "Moves/Queries/MoveQueries.h"
#include "Placement/Commands/CacheCommands.h"
#include "Placement/Queries/PlacementPolicy.h"
#include "Upstream/Commands/EngineClient.h"
#include "Upstream/Commands/UpstreamCommands.h"
#include "Upstream/Queries/UpstreamQueries.h"

#include <memory>
#include <optional>

namespace Pollenwind {

/// Time limits of a dispatcher.
struct DispatchTimeouts {
    /// Longest time to wait for the organisation's rate limit.
    std::chrono::nanoseconds rateWait { std::chrono::seconds(1) };
    std::chrono::nanoseconds firstToken { std::chrono::seconds(30) };
    std::chrono::nanoseconds tokenGap { std::chrono::seconds(5) };
    /// Longest time to wait until an upstream can take the request, e.g. while the only one restarts.
    std::chrono::nanoseconds candidateWait { std::chrono::seconds(2) };
};

/// Dependencies of a dispatcher. All references must outlive it.
struct DispatchContext {
    const Clock& clock;
    const ConfigurationQueries& configuration;
    const KeyQueries& keys;
    LimitCommands& limits;
    const PlacementPolicy& placement;
    CacheCommands& cache;
    UpstreamCommands& upstreamCommands;
    const UpstreamQueries& upstreams;
    MetricCommands& metrics;
    RetryBudget& retryBudget;
    AdmissionCommands& admission;
    MoveCommands& moveCommands;
    const MoveQueries& moveQueries;
    ZoneId ownZone;
    DispatchTimeouts timeouts;
};

/// Runs generation requests: applies the rate limit, waits for admission, chooses an engine, retries failed attempts
/// and resumes interrupted streams at another engine.
class CompletionDispatcher final : public CompletionCommands {
public:
    CompletionDispatcher(DispatchContext context, EngineClient& engines);

    Task<Outcome<CompletionSummary>> run(CompletionRequest request, TokenSink& sink) override;

private:
    struct Delivery;

    /// Waits for admission, runs the request and releases its capacity.
    Task<Outcome<CompletionSummary>> runQueued(
        const CompletionRequest& request, double weight, TokenSink& sink, Delivery& delivery);
    /// Runs attempts until one succeeds or the retry rule ends the request.
    Task<Outcome<CompletionSummary>> runAdmitted(const CompletionRequest& request, TokenSink& sink, Delivery& delivery);
    /// Waits until an engine can take the request.
    Task<Outcome<PlacementChoice>> findEngine(const CompletionRequest& request, Delivery& delivery);
    /// Runs one attempt and records its result for the upstream, the version and the metrics.
    Task<Outcome<CompletionSummary>> tryEngine(
        const CompletionRequest& request, const PlacementChoice& choice, TokenSink& sink, Delivery& delivery);
    /// Sends the call to the chosen engine and relays its stream.
    Task<Outcome<CompletionSummary>> attempt(
        const CompletionRequest& request, const PlacementChoice& choice, TokenSink& sink, Delivery& delivery);
    /// Relays tokens from the engine to the caller until the stream finishes.
    Task<Outcome<CompletionSummary>> relay(const CompletionRequest& request, TokenSink& sink, Delivery& delivery);
    VersionId chooseVersion(const CompletionRequest& request, const VersionId& configured) const;
    void recordVersionOutcome(const CompletionRequest& request, const PlacementChoice& choice,
        const Outcome<CompletionSummary>& summary, const Delivery& delivery);
    Outcome<CompletionSummary> finish(const GenerationEvent& event, const Delivery& delivery) const;
    Task<Outcome<void>> deliver(const GenerationEvent& event, TokenSink& sink, Delivery& delivery);
    /// Cancels the request when its key is withdrawn or its caller disconnects.
    Task<> watch(std::shared_ptr<Delivery> delivery, RequestId request);
    void checkStop(Delivery& delivery);
    /// Applies the retry rule to a failed attempt and takes a retry or a resume from the retry budget.
    bool mayRepeat(const CompletionRequest& request, Delivery& delivery, const Error& error);
    std::optional<PlacementChoice> place(const Delivery& delivery) const;

    DispatchContext m_context;
    EngineClient& m_engines;
};

} // namespace Pollenwind
