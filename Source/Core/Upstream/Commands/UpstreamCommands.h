#pragma once

#include "Common/Error.h"
#include "Upstream/UpstreamTypes.h"

namespace Pollenwind {

/// How work at an upstream ended.
enum class WorkResult {
    Succeeded,
    Failed,
    /// Ended for a reason that is not the upstream's, e.g. because the caller left.
    Abandoned,
};

template <> struct EnumTable<WorkResult> {
    static constexpr std::array rows {
        EnumName { WorkResult::Succeeded, "succeeded" },
        EnumName { WorkResult::Failed, "failed" },
        EnumName { WorkResult::Abandoned, "abandoned" },
    };
};

/// Changes what is known about upstreams.
class UpstreamCommands {
public:
    UpstreamCommands() = default;
    UpstreamCommands(const UpstreamCommands&) = delete;
    UpstreamCommands& operator=(const UpstreamCommands&) = delete;
    virtual ~UpstreamCommands() = default;

    /// Takes over the upstreams of the configuration in force.
    virtual void reconfigure() = 0;

    /// Takes a health report; an error counts as unreachable.
    virtual void recordHealth(const UpstreamId& upstream, const Outcome<HealthReport>& report) = 0;

    /// Notes that work of some tokens was sent to an upstream.
    virtual void recordStarted(const UpstreamId& upstream, double tokens) = 0;

    /// Notes that work ended.
    /// @param tokens As given to recordStarted().
    virtual void recordEnded(const UpstreamId& upstream, double tokens, WorkResult result) = 0;
};

} // namespace Pollenwind
