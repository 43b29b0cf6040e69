#pragma once

#include "Gateway/Commands/RunnerProbe.h"

#include <chrono>

namespace Pollenwind {

/// Probe over TCP.
class TcpRunnerProbe final : public RunnerProbe {
public:
    explicit TcpRunnerProbe(std::chrono::milliseconds timeout)
        : m_timeout(timeout)
    {
    }

    Task<bool> isRefused(const Endpoint& endpoint) override;

private:
    std::chrono::milliseconds m_timeout;
};

} // namespace Pollenwind
