#pragma once

#include "Common/Error.h"
#include "Common/Ids.h"
#include "Common/Task.h"
#include "Transport/Endpoint.h"

#include <chrono>
#include <cstdint>

namespace Pollenwind {

/// Sends orders to upstreams. An order tells an upstream to load or unload a version of the weights.
class OrderClient {
public:
    OrderClient() = default;
    OrderClient(const OrderClient&) = delete;
    OrderClient& operator=(const OrderClient&) = delete;
    virtual ~OrderClient() = default;

    /// Orders an upstream to load a version of the weights.
    /// @param fencing Fencing token. Upstreams that check it refuse an order with an older one.
    /// @return Conflict if the upstream has seen a newer fencing token.
    virtual Task<Outcome<void>> load(
        Endpoint endpoint, VersionId version, std::int64_t fencing, std::chrono::nanoseconds timeout)
        = 0;

    /// Orders an upstream to unload a version of the weights.
    virtual Task<Outcome<void>> unload(
        Endpoint endpoint, VersionId version, std::int64_t fencing, std::chrono::nanoseconds timeout)
        = 0;
};

} // namespace Pollenwind
