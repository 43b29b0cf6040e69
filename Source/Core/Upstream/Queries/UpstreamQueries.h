#pragma once

#include "Placement/PlacementTypes.h"
#include "Upstream/UpstreamTypes.h"

#include <optional>
#include <vector>

namespace Pollenwind {

/// State of one upstream, for operators.
struct UpstreamStatus {
    UpstreamId upstream;
    ServiceId service;
    ZoneId zone;
    Endpoint endpoint;
    UpstreamState state = UpstreamState::Unreachable;
    Incarnation incarnation;
    std::vector<VersionId> versions;
    std::string breaker;
    double queuedTokens = 0;
};

/// Reads what is known about upstreams.
class UpstreamQueries {
public:
    UpstreamQueries() = default;
    UpstreamQueries(const UpstreamQueries&) = delete;
    UpstreamQueries& operator=(const UpstreamQueries&) = delete;
    virtual ~UpstreamQueries() = default;

    /// Upstreams that may take new work of a service's version now.
    virtual std::vector<PlacementCandidate> candidates(const ServiceId& service, const VersionId& version) const = 0;

    /// @return The endpoint, or nothing for an upstream that the configuration no longer names.
    virtual std::optional<Endpoint> endpointOf(const UpstreamId& upstream) const = 0;

    /// All upstreams, in order of name.
    virtual std::vector<UpstreamStatus> status() const = 0;
};

} // namespace Pollenwind
