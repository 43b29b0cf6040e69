#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Placement/PlacementTypes.h"
#include "Upstream/UpstreamTypes.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace Pollenwind {

/// One open stream of an engine's cache events.
class CacheEventStream {
public:
    CacheEventStream() = default;
    CacheEventStream(const CacheEventStream&) = delete;
    CacheEventStream& operator=(const CacheEventStream&) = delete;
    virtual ~CacheEventStream() = default;

    /// Waits for the next events.
    /// @param timeout Longest time to wait for data.
    /// @return The events in order; none for a keep-alive. After an error the stream must not be used again.
    virtual Task<Outcome<std::vector<CacheEvent>>> next(std::chrono::nanoseconds timeout) = 0;
};

/// Opens streams of cache events.
class CacheEventClient {
public:
    CacheEventClient() = default;
    CacheEventClient(const CacheEventClient&) = delete;
    CacheEventClient& operator=(const CacheEventClient&) = delete;
    virtual ~CacheEventClient() = default;

    /// @param from Sequence number of the first event to receive.
    /// @param timeout Longest time until the response head has arrived.
    virtual Task<Outcome<std::unique_ptr<CacheEventStream>>> openCacheEvents(
        Endpoint endpoint, std::uint64_t from, std::chrono::nanoseconds timeout)
        = 0;
};

} // namespace Pollenwind
