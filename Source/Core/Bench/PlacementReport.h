#pragma once

#include "Bench/PlacementSimulation.h"

#include <ostream>
#include <string>

namespace Pollenwind::Bench {

/// Options of a comparison of the placement policies.
struct ReportOptions {
    std::uint64_t seed = 1;
    double seconds = 120;
    /// SVG file to write; empty for none.
    std::string plotFile;
    /// Options of the cost policy.
    CostPolicyOptions cost;
    /// Also runs the cost policy with one part disabled at a time.
    bool withAblation = true;
};

/// Runs the comparison of the policies and prints it as a table.
/// @return False if the plot cannot be written.
bool reportPlacement(const ReportOptions& options, std::ostream& out);

} // namespace Pollenwind::Bench
