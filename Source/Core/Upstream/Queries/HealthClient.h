#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Upstream/UpstreamTypes.h"

#include <chrono>

namespace Pollenwind {

/// Queries the health of upstreams.
class HealthClient {
public:
    HealthClient() = default;
    HealthClient(const HealthClient&) = delete;
    HealthClient& operator=(const HealthClient&) = delete;
    virtual ~HealthClient() = default;

    /// Queries over a new connection, which also detects an upstream whose open connections no longer respond.
    virtual Task<Outcome<HealthReport>> health(Endpoint endpoint, std::chrono::nanoseconds timeout) = 0;
};

} // namespace Pollenwind
