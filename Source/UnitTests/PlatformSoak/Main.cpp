#include "PlatformSoak/GatewaySoak.h"

#include "Support/ProgramMain.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <iostream>
#include <sstream>

namespace {

using namespace Pollenwind;

/// All faults except those whose guarantees the gateway does not keep yet, or has not been shown to keep beside all
/// others.
std::vector<GatewayFault> defaultFaults()
{
    std::vector<GatewayFault> faults;
    for (const auto& row : EnumTable<GatewayFault>::rows) {
        if (row.value != GatewayFault::CrashingPart && row.value != GatewayFault::StoreRestored) {
            faults.push_back(row.value);
        }
    }
    return faults;
}

std::vector<GatewayFault> parseFaults(const std::string& names)
{
    std::vector<GatewayFault> faults;
    std::istringstream in(names);
    for (std::string name; std::getline(in, name, ',');) {
        const auto fault = fromName<GatewayFault>(name);
        if (!fault) {
            throw TCLAP::ArgException("no fault is called \"" + name + "\"", "faults");
        }
        faults.push_back(*fault);
    }
    if (faults.empty()) {
        throw TCLAP::ArgException("names no fault", "faults");
    }
    return faults;
}

int run(int argc, char** argv)
{
    TCLAP::CmdLine line(
        "Runs gateways as processes, injects faults from outside and checks the guarantees.", ' ', "0.1.0");
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of requests and faults", false, 1, "N", line);
    TCLAP::ValueArg<unsigned> duration(
        "", "seconds", "Time during which faults are injected, in seconds", false, 40, "N", line);
    TCLAP::ValueArg<std::string> program("", "program", "Path of pollenwind-gateway", true, "", "FILE", line);
    TCLAP::ValueArg<std::string> folder("", "folder", "Folder for settings and log files", true, "", "DIR", line);
    TCLAP::ValueArg<unsigned> gateways("", "gateways", "Number of gateways", false, 5, "N", line);
    TCLAP::ValueArg<unsigned> runners("", "runners", "Number of runners", false, 6, "N", line);
    TCLAP::ValueArg<unsigned> callers("", "callers", "Number of concurrent callers", false, 24, "N", line);
    TCLAP::ValueArg<unsigned> interval(
        "", "fault-ms", "Mean time between faults in milliseconds", false, 600, "N", line);
    TCLAP::ValueArg<std::string> faults("", "faults",
        "Faults to inject, separated by commas; by default all except crashing-part and store-restored", false, "",
        "NAMES", line);
    line.parse(argc, argv);
    for (const auto* count : { &gateways, &runners, &callers, &interval, &duration }) {
        if (count->getValue() == 0 || (count != &interval && count->getValue() > 250 && count != &duration)) {
            throw TCLAP::ArgException("must be from 1 to 250", count->getName());
        }
    }

    GatewaySoakOptions options;
    options.seed = seed.getValue();
    options.duration = std::chrono::seconds(duration.getValue());
    options.program = program.getValue();
    options.folder = folder.getValue();
    options.gateways = gateways.getValue();
    options.runners = runners.getValue();
    options.callers = callers.getValue();
    options.faultInterval = std::chrono::milliseconds(interval.getValue());
    options.faults = faults.isSet() ? parseFaults(faults.getValue()) : defaultFaults();

    asio::io_context context(1);
    GatewaySoak soak(context.get_executor(), options);
    Outcome<void> result;
    asio::co_spawn(context, soak.run(), [&](const std::exception_ptr& error, Outcome<void> outcome) {
        result = error ? fail(ErrorCode::Unavailable, "the run ended with an exception") : std::move(outcome);
        context.stop();
    });
    context.run();
    if (!result) {
        std::cerr << "gateway-soak: " << result.error().message << "\n";
        return 2;
    }
    std::cout << formatReport(soak.report());
    return std::ranges::all_of(soak.report().guarantees, [](const auto& it) { return it.second.violations == 0; }) ? 0
                                                                                                                   : 1;
}

} // namespace

int main(int argc, char** argv)
{
    return runProgram("gateway-soak", [&] { return run(argc, argv); });
}
