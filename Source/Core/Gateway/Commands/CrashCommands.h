#pragma once

#include "Common/Ids.h"
#include "Gateway/QuarantineTypes.h"
#include "Transport/Endpoint.h"

#include <span>

namespace Pollenwind {

/// Finds out whether a runner that lost requests has crashed.
class CrashCommands {
public:
    CrashCommands() = default;
    CrashCommands(const CrashCommands&) = delete;
    CrashCommands& operator=(const CrashCommands&) = delete;
    virtual ~CrashCommands() = default;

    /// Records that a request lost its connection to a runner after it was sent and before its answer was proven.
    /// @param parts Parts of the request's prompt that other requests may share.
    virtual void recordLoss(
        const UpstreamId& runner, Incarnation incarnation, const Endpoint& endpoint, std::span<const PartId> parts)
        = 0;
};

} // namespace Pollenwind
