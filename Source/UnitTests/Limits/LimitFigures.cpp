#include "Limits/FleetSimulation.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

using namespace Pollenwind;

namespace {

/// Sums of several seeds of one scenario.
SimulationResult sumOf(SimulationOptions options, std::uint64_t seeds)
{
    SimulationResult sum;
    sum.excess = -options.burst;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        options.seed = seed;
        const auto result = FleetSimulation(options).run();
        sum.requests += result.requests;
        sum.refused += result.refused;
        sum.messages += result.messages;
        sum.admittedTokens += result.admittedTokens;
        sum.excess = std::max(sum.excess, result.excess);
    }
    return sum;
}

void print(const char* name, const SimulationOptions& options, std::uint64_t seeds)
{
    const auto sum = sumOf(options, seeds);
    std::printf("%-28s %-9s requests %8lu  refused %6.3f%%  messages/s %6.1f  admitted %5.1f%% of rate  excess %.0f\n",
        name, std::string(nameOf(options.shape)).c_str(), sum.requests, sum.refusedPercent(),
        static_cast<double>(sum.messages) / (options.durationSeconds * static_cast<double>(seeds)),
        100 * sum.admittedTokens / (options.rate * options.durationSeconds * static_cast<double>(seeds)), sum.excess);
}

} // namespace

// Prints the figures of docs/measurements.md: POLLENWIND_FIGURE_SEEDS=20 LimitsTests --filter 'LimitFigures/*'.
// Without the variable it runs one seed, which guards against a simulation that no longer runs these scenarios.
Test(LimitFigures, refusalsAndMessages)
{
    const char* text = std::getenv("POLLENWIND_FIGURE_SEEDS");
    const std::uint64_t seeds = text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
    SimulationOptions options;
    options.durationSeconds = text == nullptr ? 12 : 120;
    for (const auto shape : { LoadShape::Even, LoadShape::OneVm, LoadShape::OneZone, LoadShape::Hopping }) {
        options.shape = shape;
        options.restartEvery = 0;
        options.smallestUse = 1;
        print("steady", options, seeds);
        options.restartEvery = 20;
        print("a VM restarts every 20 s", options, seeds);
        options.restartEvery = 0;
        options.smallestUse = 0.2;
        options.longestRequestSeconds = 3;
        print("60% of reservations used", options, seeds);
    }
    options.smallestUse = 1;
    options.isolatedZone = 0;
    options.loadedVm = 0;
    for (const double load : { 0.3, 0.6 }) {
        options.load = load;
        for (const auto shape : { LoadShape::OneVm, LoadShape::OneZone }) {
            options.shape = shape;
            print(load < 0.5 ? "cut-off zone, load 0.3" : "cut-off zone, load 0.6", options, seeds);
        }
    }
    cr_assert(seeds > 0);
}
