#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Upstream/UpstreamTypes.h"

#include <chrono>

namespace Pollenwind {

/// Runs calls at runners, the upstreams of plain services. Errors as for EngineClient.
class PlainClient {
public:
    PlainClient() = default;
    PlainClient(const PlainClient&) = delete;
    PlainClient& operator=(const PlainClient&) = delete;
    virtual ~PlainClient() = default;

    /// Runs one call.
    /// @param timeout Longest time for the whole call.
    virtual Task<Outcome<PlainAnswer>> run(Endpoint endpoint, PlainCall call, std::chrono::nanoseconds timeout) = 0;
};

} // namespace Pollenwind
