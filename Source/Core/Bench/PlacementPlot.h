#pragma once

#include "Bench/PlacementSimulation.h"

#include <string>
#include <vector>

namespace Pollenwind::Bench {

/// One bar of the comparison.
struct PlotBar {
    std::string group;
    PolicyKind policy = PolicyKind::Cost;
    SimulationResult result;
};

/// Renders hit rate, wasted recomputation and p99 time to first token (logarithmic scale) of each group as SVG.
std::string plotComparison(const std::vector<PlotBar>& bars);

} // namespace Pollenwind::Bench
