#pragma once

#include "Placement/PlacementTypes.h"
#include "Upstream/UpstreamTypes.h"

#include <optional>
#include <vector>

namespace Pollenwind {

/// State of one upstream as shown to operators.
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

/// Reads the state of upstreams.
class UpstreamQueries {
public:
    UpstreamQueries() = default;
    UpstreamQueries(const UpstreamQueries&) = delete;
    UpstreamQueries& operator=(const UpstreamQueries&) = delete;
    virtual ~UpstreamQueries() = default;

    /// @return The upstreams that may take new requests for a version of a service now.
    virtual std::vector<PlacementCandidate> candidates(const ServiceId& service, const VersionId& version) const = 0;

    /// @return The endpoint, or nothing if the upstream is no longer configured.
    virtual std::optional<Endpoint> endpointOf(const UpstreamId& upstream) const = 0;

    /// @return All upstreams, sorted by name.
    virtual std::vector<UpstreamStatus> status() const = 0;
};

} // namespace Pollenwind
