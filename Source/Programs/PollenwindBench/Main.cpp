#include "Bench/PlacementReport.h"

#include "Support/ProgramMain.h"

#include <tclap/CmdLine.h>

#include <iostream>

namespace {

int run(int argc, char** argv)
{
    TCLAP::CmdLine line("Compares placement policies in virtual time.", ' ', "0.1.0");
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the runs", false, 1, "N", line);
    TCLAP::ValueArg<double> seconds("", "seconds", "Virtual seconds of each run", false, 120, "S", line);
    TCLAP::ValueArg<std::string> plot("", "plot", "SVG file to write", false, "", "FILE", line);
    const Pollenwind::CostPolicyOptions cost;
    TCLAP::ValueArg<double> weight(
        "", "missed-weight", "Weight of prompt tokens that are not cached", false, cost.missedWeight, "W", line);
    TCLAP::ValueArg<double> share(
        "", "engine-share", "Largest share of an engine's prefill for one prefix", false, cost.engineShare, "S", line);
    TCLAP::ValueArg<unsigned> minEngines("", "homes", "Minimum number of engines for a prefix", false, 2, "N", line);
    TCLAP::SwitchArg noAblation("", "no-ablation", "Skip the runs with parts of the cost policy disabled", line);
    line.parse(argc, argv);
    Pollenwind::Bench::ReportOptions options;
    options.seed = seed.getValue();
    options.seconds = seconds.getValue();
    options.plotFile = plot.getValue();
    options.cost.missedWeight = weight.getValue();
    options.cost.engineShare = share.getValue();
    options.cost.minPreferredEngines = minEngines.getValue();
    options.withAblation = !noAblation.getValue();
    return Pollenwind::Bench::reportPlacement(options, std::cout) ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    return Pollenwind::runProgram("pollenwind-bench", [&] { return run(argc, argv); });
}
