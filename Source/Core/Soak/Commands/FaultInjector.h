#pragma once

#include "Common/Task.h"
#include "Soak/SoakTypes.h"

#include <cstdint>

namespace Pollenwind {

/// Injects the faults of a soak run.
class FaultInjector {
public:
    FaultInjector() = default;
    FaultInjector(const FaultInjector&) = delete;
    FaultInjector& operator=(const FaultInjector&) = delete;
    virtual ~FaultInjector() = default;

    /// Injects a fault and, if it has a duration, ends it afterwards.
    /// @param draw Random number that selects the target and, for a pause, its duration.
    virtual Task<> inject(SoakFault fault, std::uint64_t draw) = 0;
};

/// Injects faults through the control endpoints of the stand-ins and by signals to router processes.
class ProcessFaultInjector final : public FaultInjector {
public:
    explicit ProcessFaultInjector(const SoakOptions& options);

    Task<> inject(SoakFault fault, std::uint64_t draw) override;

private:
    Task<> switchFault(Endpoint standIn, std::string fault, std::int64_t value);
    Task<> switchForDuration(Endpoint standIn, std::string fault, std::int64_t value, std::chrono::milliseconds length);
    void signalRouter(std::size_t index, int signal) const;

    const SoakOptions& m_options;
};

} // namespace Pollenwind
