#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Dispatch/FairQueue.h"

#include <chrono>
#include <optional>

namespace Pollenwind {

/// Request for admission to the engines of a service.
struct AdmissionRequest {
    ServiceId service;
    VersionId version;
    QueuedRequest queued;
    MonotonicTime deadline { 0 };
};

/// Queues requests until the engines of their service have capacity for them.
class AdmissionCommands {
public:
    AdmissionCommands() = default;
    AdmissionCommands(const AdmissionCommands&) = delete;
    AdmissionCommands& operator=(const AdmissionCommands&) = delete;
    virtual ~AdmissionCommands() = default;

    /// Waits until the request is admitted. Every success must be followed by leave().
    /// @return Overloaded with a retry time if the request was shed or waited too long, DeadlineExceeded, or
    /// Cancelled after cancel(); all with RunState::NotRun.
    virtual Task<Outcome<void>> enter(AdmissionRequest request) = 0;

    /// Cancels the wait of a request. Does nothing if it is not waiting.
    virtual void cancel(const ServiceId& service, const RequestId& request) = 0;

    /// Records the time from admission to the first token of a request.
    virtual void recordFirstToken(const ServiceId& service, std::chrono::nanoseconds latency) = 0;

    /// Releases the capacity of an admitted request that has ended.
    virtual void leave(const ServiceId& service) = 0;
};

} // namespace Pollenwind
