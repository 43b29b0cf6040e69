#pragma once

#include "Load/LoadTypes.h"

#include <string>
#include <vector>

namespace Pollenwind {

/// Figures of one target.
struct LoadReport {
    std::string name;
    std::size_t sent = 0;
    std::size_t completed = 0;
    double firstTokenP50 = 0;
    double firstTokenP99 = 0;
    double totalP50 = 0;
    double totalP99 = 0;
};

/// Sums up samples. Times are in milliseconds and count whole answers only.
LoadReport summariseLoad(std::string name, const std::vector<LoadSample>& samples);

/// Processor time that a process has used.
/// @param pid Process id.
/// @return Seconds of user and system time; 0 for a process that does not exist.
double processorSeconds(int pid);

} // namespace Pollenwind
