#include "Common/Sleep.h"
#include "Common/TaskFault.h"
#include "Config/Settings.h"
#include "Programs/Support/ProgramMain.h"
#include "Router/Router.h"
#include "Timeline/Log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace Pollenwind;

constexpr int exitDone = 0;
constexpr int exitFailed = 1;
constexpr int exitBadInput = 2;

std::expected<Settings, int> loadSettings(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": cannot be read\n";
        return std::unexpected(exitBadInput);
    }
    std::ostringstream text;
    text << file.rdbuf();
    auto settings = parseSettings(text.str());
    if (!settings) {
        for (const auto& fault : settings.error()) {
            std::cerr << formatFault(path, fault) << "\n";
        }
        return std::unexpected(exitBadInput);
    }
    return std::move(*settings);
}

Task<> forwardSignals(Router& router)
{
    asio::signal_set signals(co_await asio::this_coro::executor, SIGTERM, SIGINT);
    for (;;) {
        const auto [ec, signal] = co_await signals.async_wait(asTuple);
        if (ec) {
            co_return;
        }
        router.requestShutdown();
    }
}

Task<> runUntilStopped(Router& router, asio::io_context& context)
{
    const auto cut = co_await router.waitUntilStopped();
    std::cerr << "stopped; requests cut: " << cut << "\n";
    context.stop();
}

int run(const std::string& path)
{
    auto settings = loadSettings(path);
    if (!settings) {
        return settings.error();
    }
    configureLog(settings->logLevel);
    asio::io_context context(1);
    Router router(context.get_executor(), std::move(*settings));
    setTaskFaultHandler([&router](TaskKind task, std::string_view cause) { router.recordTaskFault(task, cause); });
    const auto started = router.start();
    if (!started) {
        std::cerr << "pollenwindd: " << started.error().message << "\n";
        return exitFailed;
    }
    spawnTask(context.get_executor(), TaskKind::Shutdown, forwardSignals(router));
    spawnTask(context.get_executor(), TaskKind::Shutdown, runUntilStopped(router, context));
    runContext(context);
    setTaskFaultHandler({});
    return exitDone;
}

} // namespace

int main(int argc, char** argv)
{
    return runProgram("pollenwindd", [argc, argv] {
        TCLAP::CmdLine line("Router for language-model traffic with long shared prompts.", ' ', "0.1.0");
        TCLAP::ValueArg<std::string> settings(
            "s", "settings", "Settings file of this router (JSON with comments)", true, "", "FILE", line);
        TCLAP::SwitchArg check("c", "check", "Check the settings file and exit", line);
        line.setExceptionHandling(false);
        line.parse(argc, argv);
        if (check.getValue()) {
            const auto loaded = loadSettings(settings.getValue());
            return loaded ? exitDone : loaded.error();
        }
        return run(settings.getValue());
    });
}
