#pragma once

#include "Common/Clock.h"
#include "Placement/PlacementTypes.h"

namespace Pollenwind {

/// Prefill work that this router sent to one engine.
struct SentWork {
    /// Tokens to prefill that were sent since the given time.
    double tokens = 0;
    /// Average rate in tokens a second.
    double rate = 0;
};

/// Reads the work that this router sent to engines.
class LoadQueries {
public:
    LoadQueries() = default;
    LoadQueries(const LoadQueries&) = delete;
    LoadQueries& operator=(const LoadQueries&) = delete;
    virtual ~LoadQueries() = default;

    /// @param since Work sent before this time is contained in the engine's report.
    virtual SentWork sentWork(const UpstreamId& upstream, MonotonicTime since) const = 0;
};

} // namespace Pollenwind
