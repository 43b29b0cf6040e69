#pragma once

#include "Load/LoadTypes.h"

#include <string>
#include <vector>

namespace Pollenwind {

/// Summary of the samples of one target. Times are in milliseconds.
struct LoadReport {
    std::string name;
    std::size_t sent = 0;
    std::size_t completed = 0;
    double firstTokenP50 = 0;
    double firstTokenP99 = 0;
    double totalP50 = 0;
    double totalP99 = 0;
};

/// Summarises samples. The quantiles include complete responses only.
LoadReport summariseLoad(std::string name, const std::vector<LoadSample>& samples);

/// Returns the CPU time that a process has used.
/// @param pid Process id.
/// @return User and system time in seconds; 0 if the process does not exist.
double processorSeconds(int pid);

} // namespace Pollenwind
