#pragma once

#include "Common/Task.h"
#include "Transport/Endpoint.h"

namespace Pollenwind {

/// Tests whether a process still has an address.
class RunnerProbe {
public:
    RunnerProbe() = default;
    RunnerProbe(const RunnerProbe&) = delete;
    RunnerProbe& operator=(const RunnerProbe&) = delete;
    virtual ~RunnerProbe() = default;

    /// Connects once without sending anything.
    /// @return True if the connection was refused, which shows that no process accepts connections there. False also
    /// if there is no response, as across a cut link.
    virtual Task<bool> isRefused(const Endpoint& endpoint) = 0;
};

} // namespace Pollenwind
