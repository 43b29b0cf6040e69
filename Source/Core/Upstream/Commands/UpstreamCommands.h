#pragma once

#include "Common/Error.h"
#include "Upstream/UpstreamTypes.h"

namespace Pollenwind {

/// Result of a request at an upstream.
enum class WorkResult {
    Succeeded,
    Failed,
    /// Ended for a reason unrelated to the upstream, e.g. because the caller disconnected.
    Abandoned,
};

template <> struct EnumTable<WorkResult> {
    static constexpr std::array rows {
        EnumName { WorkResult::Succeeded, "succeeded" },
        EnumName { WorkResult::Failed, "failed" },
        EnumName { WorkResult::Abandoned, "abandoned" },
    };
};

/// Updates the state of upstreams.
class UpstreamCommands {
public:
    UpstreamCommands() = default;
    UpstreamCommands(const UpstreamCommands&) = delete;
    UpstreamCommands& operator=(const UpstreamCommands&) = delete;
    virtual ~UpstreamCommands() = default;

    /// Adopts the upstreams of the current configuration.
    virtual void reconfigure() = 0;

    /// Records a health report; an error means that the upstream is unreachable.
    virtual void recordHealth(const UpstreamId& upstream, const Outcome<HealthReport>& report) = 0;

    /// Records that a request was sent to an upstream.
    /// @param tokens Size of the request in tokens.
    virtual void recordStarted(const UpstreamId& upstream, double tokens) = 0;

    /// Records that a request ended.
    /// @param tokens As passed to recordStarted().
    virtual void recordEnded(const UpstreamId& upstream, double tokens, WorkResult result) = 0;
};

} // namespace Pollenwind
