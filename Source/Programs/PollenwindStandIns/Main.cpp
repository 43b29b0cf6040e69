#include "StandIn/EngineStandIn.h"
#include "StandIn/PlainStandIn.h"
#include "StandIn/StoreStandIn.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "Support/ProgramMain.h"

#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>
#include <list>

namespace {

using namespace Pollenwind;

/// Test doubles that this process serves.
struct StandIns {
    std::list<StoreStandIn> stores;
    std::list<EngineStandIn> engines;
    std::list<PlainStandIn> plain;
};

/// Splits "SERVICE,VERSION,ADDRESS:PORT".
std::vector<std::string> splitFields(const std::string& text)
{
    std::vector<std::string> fields(1);
    for (const char c : text) {
        if (c == ',') {
            fields.emplace_back();
        } else {
            fields.back() += c;
        }
    }
    return fields;
}

template <typename StandIn> void listen(StandIn& standIn, const std::string& address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        throw TCLAP::ArgException(endpoint.error().message, address);
    }
    const auto bound = standIn.listen(*endpoint);
    if (!bound) {
        throw TCLAP::ArgException(bound.error().message, address);
    }
    std::cout << "listening on " << bound->toString() << "\n" << std::flush;
}

int run(int argc, char** argv)
{
    TCLAP::CmdLine line("Stand-ins for the platform's store, engines and plain services.", ' ', "0.1.0");
    line.setExceptionHandling(false);
    TCLAP::MultiArg<std::string> stores("", "store", "Store at this address", false, "ADDRESS:PORT", line);
    TCLAP::MultiArg<std::string> engines("", "engine", "Engine", false, "SERVICE,VERSION,ADDRESS:PORT", line);
    TCLAP::MultiArg<std::string> plain("", "plain", "Runner of a plain service", false, "VERSION,ADDRESS:PORT", line);
    TCLAP::ValueArg<unsigned> cacheBlocks(
        "", "cache-pieces", "Capacity of each engine's cache in blocks", false, 64, "N", line);
    TCLAP::ValueArg<unsigned> prefill(
        "", "prefill-us", "Prefill time of one token in microseconds", false, 20, "N", line);
    TCLAP::ValueArg<unsigned> decode(
        "", "decode-us", "Time of one output token in microseconds", false, 5000, "N", line);
    TCLAP::ValueArg<unsigned> blockTokens("", "piece-tokens", "Tokens in one cache block", false, 2048, "N", line);
    line.parse(argc, argv);

    asio::io_context context(1);
    StandIns standIns;
    for (const auto& address : stores.getValue()) {
        listen(standIns.stores.emplace_back(context.get_executor()), address);
    }
    for (const auto& text : engines.getValue()) {
        const auto fields = splitFields(text);
        if (fields.size() != 3) {
            throw TCLAP::ArgException("expected SERVICE,VERSION,ADDRESS:PORT", "engine");
        }
        EngineStandInOptions options;
        options.service = ServiceId(fields[0]);
        options.version = VersionId(fields[1]);
        options.blockTokens = blockTokens.getValue();
        options.cacheBlocks = cacheBlocks.getValue();
        options.prefillPerToken = std::chrono::microseconds(prefill.getValue());
        options.decodePerToken = std::chrono::microseconds(decode.getValue());
        listen(standIns.engines.emplace_back(context.get_executor(), options), fields[2]);
    }
    for (const auto& text : plain.getValue()) {
        const auto fields = splitFields(text);
        if (fields.size() != 2) {
            throw TCLAP::ArgException("expected VERSION,ADDRESS:PORT", "plain");
        }
        listen(standIns.plain.emplace_back(context.get_executor(), VersionId(fields[0])), fields[1]);
    }
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const auto&, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    return Pollenwind::runProgram("pollenwind-standins", [&] { return run(argc, argv); });
}
