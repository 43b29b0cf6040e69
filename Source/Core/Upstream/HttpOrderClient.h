#pragma once

#include "Upstream/Commands/OrderClient.h"

#include <string>

namespace Pollenwind {

/// Sends the orders of docs/upstream-protocol.md, each over a new connection.
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
