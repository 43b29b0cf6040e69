#pragma once

#include "Gateway/RolloutTypes.h"

namespace Pollenwind {

/// Previous attempt of a request.
struct PreviousAttempt {
    /// Version of the runner's software.
    VersionId version;
    /// Whether the caller has received a part of the response.
    bool isBegun = false;
};

/// Reads the state of roll-outs.
class RolloutQueries {
public:
    RolloutQueries() = default;
    RolloutQueries(const RolloutQueries&) = delete;
    RolloutQueries& operator=(const RolloutQueries&) = delete;
    virtual ~RolloutQueries() = default;

    /// Versions that the next attempt of a request may use.
    /// @param previous The attempt before, if any. A stream that has begun stays on its version if it can; other
    /// repeated requests go to the version that was in use before.
    /// @return Rules in order of preference; a later one applies when no runner is left under those before.
    virtual std::vector<VersionRule> versionsFor(
        const ServiceId& service, const RequestId& request, const std::optional<PreviousAttempt>& previous) const
        = 0;

    /// Changes that are due. Each takes effect when it has been written to the store.
    virtual std::vector<RolloutChange> dueChanges() const = 0;

    /// What to report to the other VMs.
    virtual std::vector<RolloutReport> reports() const = 0;
    /// What a relay reports to the other zones.
    /// @param zone VMs of its zone.
    virtual std::vector<RolloutReport> reportsOfZone(const std::vector<VmId>& zone) const = 0;
};

} // namespace Pollenwind
