#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Dispatch/FairQueue.h"

#include <chrono>
#include <optional>

namespace Pollenwind {

/// Request for a place at the engines of a service.
struct AdmissionRequest {
    ServiceId service;
    VersionId version;
    QueuedRequest queued;
    MonotonicTime deadline { 0 };
};

/// Keeps requests in front of the engines of a service until an engine has room.
class AdmissionCommands {
public:
    AdmissionCommands() = default;
    AdmissionCommands(const AdmissionCommands&) = delete;
    AdmissionCommands& operator=(const AdmissionCommands&) = delete;
    virtual ~AdmissionCommands() = default;

    /// Waits for a place. Every success must be followed by leave().
    /// @return Overloaded with a retry time when the request was shed or waited too long, DeadlineExceeded, or
    /// Cancelled after cancel(); all with RunState::NotRun.
    virtual Task<Outcome<void>> enter(AdmissionRequest request) = 0;

    /// Ends the wait of a request, if it waits.
    virtual void cancel(const ServiceId& service, const RequestId& request) = 0;

    /// Notes the time from dispatch to the first token of an admitted request.
    virtual void recordFirstToken(const ServiceId& service, std::chrono::nanoseconds latency) = 0;

    /// Gives a place back.
    virtual void leave(const ServiceId& service) = 0;
};

} // namespace Pollenwind
