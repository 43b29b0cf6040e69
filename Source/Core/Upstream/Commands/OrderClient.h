#pragma once

#include "Common/Error.h"
#include "Common/Ids.h"
#include "Common/Task.h"
#include "Transport/Endpoint.h"

#include <chrono>
#include <cstdint>

namespace Pollenwind {

/// Orders upstreams to load and unload versions.
class OrderClient {
public:
    OrderClient() = default;
    OrderClient(const OrderClient&) = delete;
    OrderClient& operator=(const OrderClient&) = delete;
    virtual ~OrderClient() = default;

    /// Orders an upstream to load a version.
    /// @param fencing Fencing token. Upstreams that check it refuse an older one with Conflict.
    virtual Task<Outcome<void>> load(
        Endpoint endpoint, VersionId version, std::int64_t fencing, std::chrono::nanoseconds timeout)
        = 0;

    /// Orders an upstream to unload a version.
    virtual Task<Outcome<void>> unload(
        Endpoint endpoint, VersionId version, std::int64_t fencing, std::chrono::nanoseconds timeout)
        = 0;
};

} // namespace Pollenwind
