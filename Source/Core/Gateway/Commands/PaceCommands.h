#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace Pollenwind {

/// Records what streams show of the speed of runners.
class PaceCommands {
public:
    PaceCommands() = default;
    PaceCommands(const PaceCommands&) = delete;
    PaceCommands& operator=(const PaceCommands&) = delete;
    virtual ~PaceCommands() = default;

    /// Records the time between two events of a stream.
    /// @param route Name of the stream's route. Only streams of one route are compared with each other.
    /// @param runner Hash of the runner's id.
    virtual void recordPause(const std::string& route, std::uint64_t runner, std::chrono::nanoseconds pause) = 0;
};

} // namespace Pollenwind
