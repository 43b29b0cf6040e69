#pragma once

#include "Upstream/Commands/OrderClient.h"

#include <string>

namespace Pollenwind {

/// Sends orders to load or unload a version of the weights as HTTP requests, as docs/upstream-protocol.md describes.
/// Each order uses a new connection.
class HttpOrderClient final : public OrderClient {
public:
    Task<Outcome<void>> load(
        Endpoint endpoint, VersionId version, std::int64_t fencing, std::chrono::nanoseconds timeout) override;
    Task<Outcome<void>> unload(
        Endpoint endpoint, VersionId version, std::int64_t fencing, std::chrono::nanoseconds timeout) override;

private:
    static Task<Outcome<void>> send(
        Endpoint endpoint, std::string path, VersionId version, std::int64_t fencing, std::chrono::nanoseconds timeout);
};

} // namespace Pollenwind
