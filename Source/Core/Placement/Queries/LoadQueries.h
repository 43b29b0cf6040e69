#pragma once

#include "Common/Clock.h"
#include "Placement/PlacementTypes.h"
#include "Placement/PrefixChain.h"

namespace Pollenwind {

/// Prefill work that this router sent to one engine.
struct SentWork {
    /// Tokens to prefill that were sent since the given time.
    double tokens = 0;
    /// Average rate in tokens per second.
    double rate = 0;
};

/// Reads the work that this router sent to engines.
class LoadQueries {
public:
    LoadQueries() = default;
    LoadQueries(const LoadQueries&) = delete;
    LoadQueries& operator=(const LoadQueries&) = delete;
    virtual ~LoadQueries() = default;

    /// @param since Time covered by the engine's last load report; work sent before it is not counted.
    virtual SentWork sentWork(const UpstreamId& upstream, MonotonicTime since) const = 0;

    /// @param prefix First hash of a chain.
    /// @return Average demand of this router's requests with that prefix, in tokens per second that have to be
    /// prefilled even by an engine that has all shared blocks cached.
    virtual double prefixDemand(ChainHash prefix) const = 0;
};

} // namespace Pollenwind
