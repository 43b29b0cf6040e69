#pragma once

#include "Common/Task.h"
#include "Soak/SoakTypes.h"

#include <cstdint>

namespace Pollenwind {

/// Brings about the faults of a soak run.
class FaultInjector {
public:
    FaultInjector() = default;
    FaultInjector(const FaultInjector&) = delete;
    FaultInjector& operator=(const FaultInjector&) = delete;
    virtual ~FaultInjector() = default;

    /// Brings about a fault and, where it lasts, ends it again.
    /// @param draw Random number that decides where and how hard.
    virtual Task<> inject(SoakFault fault, std::uint64_t draw) = 0;
};

/// Injects faults through the stand-ins' switches and by signals to router processes.
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
