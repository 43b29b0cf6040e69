#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Upstream/UpstreamTypes.h"

#include <chrono>

namespace Pollenwind {

/// Asks upstreams for their health.
class HealthClient {
public:
    HealthClient() = default;
    HealthClient(const HealthClient&) = delete;
    HealthClient& operator=(const HealthClient&) = delete;
    virtual ~HealthClient() = default;

    /// Asks over a fresh connection, which also finds an upstream whose open connections went silent.
    virtual Task<Outcome<HealthReport>> health(Endpoint endpoint, std::chrono::nanoseconds timeout) = 0;
};

} // namespace Pollenwind
