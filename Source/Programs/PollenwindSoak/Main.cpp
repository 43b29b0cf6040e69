#include "Common/TaskFault.h"
#include "Soak/SoakRun.h"

#include <boost/asio/io_context.hpp>

#include "Support/ProgramMain.h"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>

namespace {

using namespace Pollenwind;

Endpoint toEndpoint(const std::string& text)
{
    const auto endpoint = parseEndpoint(text);
    if (!endpoint) {
        throw TCLAP::ArgException(endpoint.error().message, text);
    }
    return *endpoint;
}

/// Parses CALLERS,ADMIN,PIDFILE,LOGFILE.
SoakRouter toRouter(const std::string& text)
{
    std::vector<std::string> fields(1);
    for (const char c : text) {
        if (c == ',') {
            fields.emplace_back();
        } else {
            fields.back() += c;
        }
    }
    if (fields.size() != 4) {
        throw TCLAP::ArgException("expected CALLERS,ADMIN,PIDFILE,LOGFILE", text);
    }
    return { toEndpoint(fields[0]), toEndpoint(fields[1]), fields[2], fields[3] };
}

Task<> runAndStop(SoakRun& run, asio::io_context& context)
{
    co_await run.run();
    context.stop();
}

int run(int argc, char** argv)
{
    TCLAP::CmdLine line("Sends requests to routers, injects faults and checks the guarantees.", ' ', "0.1.0");
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of requests and faults", false, 1, "N", line);
    TCLAP::ValueArg<unsigned> duration("", "seconds", "Length of the run", false, 60, "N", line);
    TCLAP::MultiArg<std::string> routers("", "router", "Router", true, "CALLERS,ADMIN,PIDFILE,LOGFILE", line);
    TCLAP::MultiArg<std::string> engines("", "engine", "Engine stand-in", true, "ADDRESS:PORT", line);
    TCLAP::MultiArg<std::string> plain("", "plain", "Plain-service stand-in", true, "ADDRESS:PORT", line);
    TCLAP::ValueArg<std::string> store("", "store", "Store stand-in", true, "", "ADDRESS:PORT", line);
    TCLAP::ValueArg<std::string> model("", "model", "Model service", true, "", "NAME", line);
    TCLAP::ValueArg<std::string> version("", "version-id", "Version of the model", false, "v1", "NAME", line);
    TCLAP::MultiArg<std::string> organisations("", "organisation", "Organisation", true, "NAME", line);
    TCLAP::ValueArg<unsigned> clients("", "clients", "Number of concurrent callers", false, 24, "N", line);
    TCLAP::ValueArg<unsigned> interval(
        "", "fault-ms", "Mean time between faults in milliseconds", false, 700, "N", line);
    line.parse(argc, argv);

    SoakOptions options;
    options.seed = seed.getValue();
    options.duration = std::chrono::seconds(duration.getValue());
    for (const auto& it : routers.getValue()) {
        options.routers.push_back(toRouter(it));
    }
    for (const auto& it : engines.getValue()) {
        options.engines.push_back(toEndpoint(it));
    }
    for (const auto& it : plain.getValue()) {
        options.plain.push_back(toEndpoint(it));
    }
    options.store = toEndpoint(store.getValue());
    options.model = model.getValue();
    options.version = version.getValue();
    options.organisations = organisations.getValue();
    options.clients = clients.getValue();
    options.faultInterval = std::chrono::milliseconds(interval.getValue());
    const char* token = std::getenv("POLLENWIND_TOKEN");
    options.adminToken = token ? token : "";

    asio::io_context context(1);
    ProcessFaultInjector faults(options);
    SoakRun soak(context.get_executor(), options, faults);
    spawnTask(context.get_executor(), TaskKind::Load, runAndStop(soak, context));
    runContext(context);
    std::cout << formatReport(soak.report());
    return soak.report().hasPassed() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    return Pollenwind::runProgram("pollenwind-soak", [&] { return run(argc, argv); });
}
