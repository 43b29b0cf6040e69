#include "Common/TaskFault.h"
#include "Load/LoadRun.h"
#include "Load/Queries/LoadReport.h"

#include <boost/asio/io_context.hpp>

#include "Support/ProgramMain.h"

#include <tclap/CmdLine.h>

#include <cstdio>
#include <iostream>

namespace {

using namespace Pollenwind;

LoadTargetOptions parseTarget(LoadProtocol protocol, const std::string& address, const std::string& model,
    const std::string& version, const std::string& key)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        throw TCLAP::ArgException(endpoint.error().message, address);
    }
    return { std::string(nameOf(protocol)) + " " + address, protocol, *endpoint, model, version, key };
}

void printReport(const LoadReport& report)
{
    std::printf("%-28s sent %zu complete %zu  first token ms p50 %.3f p99 %.3f  total ms p50 %.2f p99 %.2f\n",
        report.name.c_str(), report.sent, report.completed, report.firstTokenP50, report.firstTokenP99, report.totalP50,
        report.totalP99);
}

int run(int argc, char** argv)
{
    TCLAP::CmdLine line("Sends completions at a constant rate to routers and engines alternately.", ' ', "0.1.0");
    line.setExceptionHandling(false);
    TCLAP::MultiArg<std::string> routers("", "router", "Router's caller address", false, "ADDRESS:PORT", line);
    TCLAP::MultiArg<std::string> engines("", "engine", "Engine called directly", false, "ADDRESS:PORT", line);
    TCLAP::ValueArg<std::string> model("", "model", "Model service", true, "", "NAME", line);
    TCLAP::ValueArg<std::string> version("", "version-id", "Version for engines", false, "v1", "NAME", line);
    TCLAP::ValueArg<double> rate("", "rate", "Requests per second to each target", false, 50, "N", line);
    TCLAP::ValueArg<unsigned> duration("", "seconds", "Length of the run", false, 10, "N", line);
    TCLAP::ValueArg<unsigned> promptTokens("", "prompt-tokens", "Tokens in a prompt", false, 256, "N", line);
    TCLAP::ValueArg<unsigned> maxTokens("", "max-tokens", "Tokens in a response", false, 16, "N", line);
    TCLAP::ValueArg<unsigned> prompts("", "prompts", "Number of distinct prompts", false, 64, "N", line);
    TCLAP::ValueArg<int> pid("", "pid", "Process whose CPU time is reported", false, 0, "PID", line);
    line.parse(argc, argv);

    // Read from the environment, since the command line is visible to other users.
    const char* key = std::getenv("POLLENWIND_KEY");
    std::vector<LoadTargetOptions> targets;
    for (const auto& it : routers.getValue()) {
        targets.push_back(parseTarget(LoadProtocol::Router, it, model.getValue(), version.getValue(), key ? key : ""));
    }
    for (const auto& it : engines.getValue()) {
        targets.push_back(parseTarget(LoadProtocol::Engine, it, model.getValue(), version.getValue(), ""));
    }
    if (targets.empty()) {
        throw TCLAP::ArgException("at least one --router or --engine is needed", "router");
    }
    LoadOptions options;
    options.rate = rate.getValue();
    options.duration = std::chrono::seconds(duration.getValue());
    options.promptTokens = promptTokens.getValue();
    options.maxTokens = maxTokens.getValue();
    options.distinctPrompts = prompts.getValue();

    asio::io_context context(1);
    LoadRun load(context.get_executor(), options, targets);
    spawnTask(context.get_executor(), TaskKind::Load, load.run());
    const double before = processorSeconds(pid.getValue());
    runContext(context);
    const double used = processorSeconds(pid.getValue()) - before;
    std::size_t completed = 0;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const auto report = summariseLoad(targets[i].name, load.samples()[i]);
        printReport(report);
        completed += targets[i].protocol == LoadProtocol::Router ? report.completed : 0;
    }
    if (pid.getValue() != 0) {
        std::printf("process %d used %.2f s of CPU time for %zu routed requests: %.0f requests per second per core\n",
            pid.getValue(), used, completed, used > 0 ? static_cast<double>(completed) / used : 0);
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    return Pollenwind::runProgram("pollenwind-load", [&] { return run(argc, argv); });
}
