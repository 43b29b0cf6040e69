#include "Bench/PlacementReport.h"

#include <tclap/CmdLine.h>

#include <iostream>

namespace {

int run(int argc, char** argv)
{
    TCLAP::CmdLine line("Compares placement policies in virtual time.", ' ', "0.1.0");
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the runs", false, 1, "N", line);
    TCLAP::ValueArg<double> seconds("", "seconds", "Virtual seconds of each run", false, 180, "S", line);
    TCLAP::ValueArg<std::string> plot("", "plot", "SVG file to write", false, "", "FILE", line);
    TCLAP::ValueArg<double> weight("", "missed-weight", "Weight of missed tokens", false,
        Pollenwind::Bench::ReportOptions().missedWeight, "W", line);
    TCLAP::ValueArg<unsigned> routers("", "routers", "Number of routers that the cost policy assumes", false,
        Pollenwind::Bench::ReportOptions().routers, "N", line);
    TCLAP::SwitchArg noAblation("", "no-ablation", "Leaves the ablation out", line);
    line.parse(argc, argv);
    Pollenwind::Bench::ReportOptions options;
    options.seed = seed.getValue();
    options.seconds = seconds.getValue();
    options.plotFile = plot.getValue();
    options.missedWeight = weight.getValue();
    options.routers = routers.getValue();
    options.withAblation = !noAblation.getValue();
    return Pollenwind::Bench::reportPlacement(options, std::cout) ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const TCLAP::ArgException& ex) {
        std::cerr << "pollenwind-bench: " << ex.error() << " " << ex.argId() << "\n";
        return 2;
    } catch (const TCLAP::ExitException& ex) {
        return ex.getExitStatus();
    }
}
