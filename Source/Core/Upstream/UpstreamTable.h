#pragma once

#include "Common/Clock.h"
#include "Config/Queries/ConfigurationQueries.h"
#include "Metrics/Commands/MetricCommands.h"
#include "Placement/Commands/CacheCommands.h"
#include "Timeline/Commands/TimelineCommands.h"
#include "Upstream/CircuitBreaker.h"
#include "Upstream/Commands/UpstreamCommands.h"
#include "Upstream/Queries/UpstreamQueries.h"

#include <map>

namespace Pollenwind {

/// Keeps the health and the circuit breaker of each configured upstream.
class UpstreamTable final : public UpstreamCommands, public UpstreamQueries {
public:
    UpstreamTable(const Clock& clock, const ConfigurationQueries& configuration, TimelineCommands& timeline,
        CacheCommands& cache, MetricCommands& metrics);

    void reconfigure() override;
    void recordHealth(const UpstreamId& upstream, const Outcome<HealthReport>& report) override;
    void recordStarted(const UpstreamId& upstream, double tokens) override;
    void recordEnded(const UpstreamId& upstream, double tokens, WorkResult result) override;

    std::vector<PlacementCandidate> candidates(const ServiceId& service, const VersionId& version) const override;
    std::optional<Endpoint> endpointOf(const UpstreamId& upstream) const override;
    std::vector<UpstreamStatus> status() const override;

private:
    struct Entry {
        ServiceId service;
        UpstreamSpec spec;
        HealthReport report;
        MonotonicTime reportedAt { 0 };
        CircuitBreaker breaker;
        /// Breaker state that was last recorded in the timeline.
        BreakerState recordedBreakerState = BreakerState::Closed;
        /// Tokens of this router's running requests.
        double ownTokens = 0;
    };

    /// Records a change of the breaker state in the timeline and the metrics.
    void recordBreakerState(const UpstreamId& upstream, Entry& entry);

    const Clock& m_clock;
    const ConfigurationQueries& m_configuration;
    TimelineCommands& m_timeline;
    CacheCommands& m_cache;
    MetricCommands& m_metrics;
    std::map<UpstreamId, Entry> m_entries;
};

} // namespace Pollenwind
