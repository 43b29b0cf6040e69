#pragma once

#include "Common/Clock.h"
#include "Placement/PlacementTypes.h"
#include "Placement/PrefixChain.h"

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

    /// @param prefix First hash of a chain.
    /// @return Average rate of this router's requests with that prefix, in tokens a second that must be prefilled even
    /// by an engine that holds all shared pieces.
    virtual double prefixDemand(ChainHash prefix) const = 0;
};

} // namespace Pollenwind
