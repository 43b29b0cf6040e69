#pragma once

#include "Bench/PlacementSimulation.h"

#include <ostream>
#include <string>

namespace Pollenwind::Bench {

struct ReportOptions {
    std::uint64_t seed = 1;
    double seconds = 180;
    /// SVG file to write; empty for none.
    std::string plotFile;
    /// Weight of missed tokens for the cost policy and the oracle.
    double missedWeight = CostPolicyOptions().missedWeight;
    /// Number of routers that the cost policy assumes.
    unsigned routers = CostPolicyOptions().routers;
    bool withAblation = true;
};

/// Runs the comparison of the policies and prints it as a table.
/// @return False when the plot cannot be written.
bool reportPlacement(const ReportOptions& options, std::ostream& out);

} // namespace Pollenwind::Bench
