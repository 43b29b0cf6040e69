#pragma once

#include "Common/Clock.h"
#include "Config/Queries/ConfigurationQueries.h"
#include "Placement/Commands/CacheCommands.h"
#include "Timeline/Commands/TimelineCommands.h"
#include "Upstream/Commands/UpstreamCommands.h"
#include "Upstream/Queries/UpstreamQueries.h"

#include <map>

namespace Pollenwind {

/// Owner of the upstreams' state.
class UpstreamTable final : public UpstreamCommands, public UpstreamQueries {
public:
    UpstreamTable(const Clock& clock, const ConfigurationQueries& configuration, TimelineCommands& timeline,
        CacheCommands& cache);

    void reconfigure() override;
    void noteHealth(const UpstreamId& upstream, const Outcome<HealthReport>& report) override;
    void noteStarted(const UpstreamId& upstream, double tokens) override;
    void noteEnded(const UpstreamId& upstream, double tokens, bool isSuccess) override;

    std::vector<PlacementCandidate> candidates(const ServiceId& service, const VersionId& version) const override;
    std::optional<Endpoint> endpointOf(const UpstreamId& upstream) const override;
    std::vector<UpstreamStatus> status() const override;

private:
    struct Entry {
        ServiceId service;
        UpstreamSpec spec;
        HealthReport report;
        MonotonicTime reportedAt { 0 };
        /// Tokens of running work of this router.
        double ownTokens = 0;
    };

    const Clock& m_clock;
    const ConfigurationQueries& m_configuration;
    TimelineCommands& m_timeline;
    CacheCommands& m_cache;
    std::map<UpstreamId, Entry> m_entries;
};

} // namespace Pollenwind
