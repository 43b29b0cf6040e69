#pragma once

#include "Common/Error.h"
#include "Common/Ids.h"
#include "Common/Task.h"
#include "Transport/Endpoint.h"

#include <chrono>
#include <cstdint>

namespace Pollenwind {

/// Sends orders, which are commands to an upstream to load or unload a version.
class OrderClient {
public:
    OrderClient() = default;
    OrderClient(const OrderClient&) = delete;
    OrderClient& operator=(const OrderClient&) = delete;
    virtual ~OrderClient() = default;

    /// Orders an upstream to load a version.
    /// @param fencing Fencing token. Upstreams that check it refuse an order with an older one.
    /// @return Conflict if the upstream has seen a newer fencing token.
    virtual Task<Outcome<void>> load(
        Endpoint endpoint, VersionId version, std::int64_t fencing, std::chrono::nanoseconds timeout)
        = 0;

    /// Orders an upstream to unload a version.
    virtual Task<Outcome<void>> unload(
        Endpoint endpoint, VersionId version, std::int64_t fencing, std::chrono::nanoseconds timeout)
        = 0;
};

} // namespace Pollenwind
