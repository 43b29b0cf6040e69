#include "Pollenwindctl/OperatorSettings.h"
#include "Pollenwindctl/Subcommand.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace {

using namespace Pollenwind;
using namespace Pollenwind::Ctl;

constexpr const char* programVersion = "0.1.0";

std::string environment(const char* name)
{
    const char* value = std::getenv(name);
    return value ? value : "";
}

/// Options that select the routers and the administration token.
struct AccessOptions {
    TCLAP::MultiArg<std::string> routers { "", "router", "Administration address of a router (may be repeated)", false,
        "ADDRESS:PORT" };
    TCLAP::ValueArg<std::string> tokenFile { "", "token-file", "File with the administration token", false, "",
        "FILE" };
    TCLAP::ValueArg<std::string> settings { "", "settings", "Operator settings file (JSON with comments)", false, "",
        "FILE" };

    void declare(TCLAP::CmdLine& line)
    {
        line.add(settings);
        line.add(tokenFile);
        line.add(routers);
    }
};

/// Reads the settings file and overrides its values with those of the environment and the options.
/// @param mayUseSettings False if the routers must be given with --router.
std::expected<OperatorSettings, std::vector<std::string>> resolveAccess(AccessOptions& options, bool mayUseSettings)
{
    const auto fault = [](const Error& error) { return std::unexpected(std::vector { error.message }); };
    OperatorSettings access;
    if (options.settings.isSet()) {
        const auto& path = options.settings.getValue();
        const auto text = readFile(path);
        if (!text) {
            return fault(text.error());
        }
        auto parsed = parseOperatorSettings(*text);
        if (!parsed) {
            std::vector<std::string> lines;
            for (const auto& it : parsed.error()) {
                lines.push_back(formatFault(path, it));
            }
            return std::unexpected(std::move(lines));
        }
        access = std::move(*parsed);
    }
    std::string list = environment("POLLENWIND_ROUTERS");
    if (options.routers.isSet()) {
        list.clear();
        for (const auto& it : options.routers.getValue()) {
            list += (list.empty() ? "" : ",") + it;
        }
    } else if (!mayUseSettings) {
        access.routers.clear();
        list.clear();
    }
    if (!list.empty()) {
        auto routers = parseRouterList(list);
        if (!routers) {
            return fault(routers.error());
        }
        access.routers = std::move(*routers);
    }
    if (const auto token = environment("POLLENWIND_TOKEN"); !token.empty()) {
        access.token = token;
        access.tokenFile.clear();
    }
    if (options.tokenFile.isSet()) {
        access.tokenFile = options.tokenFile.getValue();
    }
    if (!access.tokenFile.empty()) {
        const auto token = readTokenFile(access.tokenFile);
        if (!token) {
            return fault(token.error());
        }
        access.token = *token;
    }
    if (access.routers.empty()) {
        return std::unexpected(std::vector<std::string> {
            mayUseSettings ? "no router: use --router, POLLENWIND_ROUTERS or --settings" : "no router: use --router" });
    }
    if (access.token.empty()) {
        return std::unexpected(
            std::vector<std::string> { "no administration token: use --token-file, POLLENWIND_TOKEN or --settings" });
    }
    return access;
}

/// Runs a task to completion on the calling thread.
template <typename T> T runTask(asio::io_context& context, Task<T> task)
{
    std::optional<T> result;
    asio::co_spawn(context, std::move(task), [&](const std::exception_ptr& ex, T value) {
        if (ex) {
            std::rethrow_exception(ex);
        }
        result = std::move(value);
    });
    context.run();
    return std::move(*result);
}

std::optional<OperatorSettings> resolveAccessOrReport(AccessOptions& options, bool mayUseSettings)
{
    auto access = resolveAccess(options, mayUseSettings);
    if (!access) {
        for (const auto& it : access.error()) {
            std::cerr << (it.starts_with("no ") ? "pollenwindctl: " : "") << it << "\n";
        }
        return std::nullopt;
    }
    return std::move(*access);
}

ExitCode runCommand(const CommandRow& row, std::vector<std::string> arguments)
{
    TCLAP::CmdLine line(std::string(row.summary), ' ', programVersion);
    line.setExceptionHandling(false);
    AccessOptions options;
    TCLAP::ValueArg<double> wait(
        "", "wait", "Maximum time to wait for confirmation by all VMs, in seconds", false, 10, "SECONDS", line);
    options.declare(line);
    const auto command = row.make();
    command->declare(line);
    line.parse(arguments);
    auto access = resolveAccessOrReport(options, row.takesRoutersFromSettings);
    if (!access) {
        return ExitCode::BadInput;
    }
    HttpAdminClient client(access->token);
    Session session { client, access->routers, std::cin, std::cout, std::cerr };
    session.confirmLimit = std::chrono::milliseconds(std::llround(std::clamp(wait.getValue(), 0.0, 3600.0) * 1000));
    asio::io_context context(1);
    return runTask(context, command->run(session));
}

ExitCode runQuery(const QueryRow& row, std::vector<std::string> arguments)
{
    TCLAP::CmdLine line(std::string(row.summary), ' ', programVersion);
    line.setExceptionHandling(false);
    AccessOptions options;
    const auto query = row.make();
    TCLAP::SwitchArg json("", "json", "Print JSON", line);
    if (query->needsRouters()) {
        options.declare(line);
    }
    query->declare(line);
    line.parse(arguments);
    OperatorSettings access;
    if (query->needsRouters()) {
        auto resolved = resolveAccessOrReport(options, true);
        if (!resolved) {
            return ExitCode::BadInput;
        }
        access = std::move(*resolved);
    }
    HttpAdminClient client(access.token);
    Session session { client, access.routers, std::cin, std::cout, std::cerr };
    asio::io_context context(1);
    const auto result = runTask(context, query->run(session));
    if (!result) {
        printError(session, row.name, result.error());
        return ExitCode::Failed;
    }
    auto& out = result->exitCode == ExitCode::BadInput && !json.getValue() ? std::cerr : std::cout;
    out << (json.getValue() ? result->data.dump(2) + "\n" : query->render(result->data));
    return result->exitCode;
}

template <typename Row> void printRows(std::ostream& out, std::span<const Row> rows)
{
    constexpr std::size_t nameWidth = 14;
    for (const auto& row : rows) {
        out << "  " << row.name << std::string(nameWidth - row.name.size(), ' ') << row.summary << "\n";
    }
}

void printHelp(std::ostream& out)
{
    out << "Usage: pollenwindctl COMMAND|QUERY [ARGUMENT...]\n\nCommands:\n";
    printRows(out, commandTable());
    out << "\nQueries (--json prints JSON):\n";
    printRows(out, queryTable());
    out << "\nRouters and token: --router ADDRESS:PORT (repeatable) or POLLENWIND_ROUTERS; --token-file FILE or\n"
           "POLLENWIND_TOKEN; or --settings FILE. `pollenwindctl COMMAND --help` lists the arguments.\n"
           "Exit codes: 0 done, 1 refused or failed, 2 invalid command line or input.\n";
}

/// Finds the subcommand whose one- or two-word name begins the arguments.
template <typename Row> const Row* findRow(std::span<const Row> rows, const std::vector<std::string>& arguments)
{
    for (const auto& row : rows) {
        const bool isPair = row.name.find(' ') != std::string_view::npos && arguments.size() > 1;
        const auto words = isPair ? arguments[0] + " " + arguments[1] : arguments[0];
        if (words == row.name) {
            return &row;
        }
    }
    return nullptr;
}

/// Returns the arguments after the name of a subcommand, preceded by the full program name for the usage text.
std::vector<std::string> argumentsAfterName(std::string_view name, const std::vector<std::string>& arguments)
{
    const auto words = name.find(' ') == std::string_view::npos ? 1 : 2;
    std::vector<std::string> result { "pollenwindctl " + std::string(name) };
    result.insert(result.end(), arguments.begin() + words, arguments.end());
    return result;
}

ExitCode runArguments(const std::vector<std::string>& arguments)
{
    if (arguments.empty()) {
        printHelp(std::cerr);
        return ExitCode::BadInput;
    }
    if (arguments[0] == "--help" || arguments[0] == "-h" || arguments[0] == "help") {
        printHelp(std::cout);
        return ExitCode::Done;
    }
    if (const auto* row = findRow(commandTable(), arguments)) {
        return runCommand(*row, argumentsAfterName(row->name, arguments));
    }
    if (const auto* row = findRow(queryTable(), arguments)) {
        return runQuery(*row, argumentsAfterName(row->name, arguments));
    }
    std::cerr << "pollenwindctl: no command or query \"" << arguments[0] << "\"; see pollenwindctl --help\n";
    return ExitCode::BadInput;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return static_cast<int>(runArguments({ argv + 1, argv + argc }));
    } catch (const TCLAP::ArgException& ex) {
        std::cerr << "pollenwindctl: " << ex.error() << " " << ex.argId() << "\n";
        return static_cast<int>(ExitCode::BadInput);
    } catch (const TCLAP::ExitException& ex) {
        return ex.getExitStatus();
    } catch (const std::exception& ex) {
        std::cerr << "pollenwindctl: " << ex.what() << "\n";
        return static_cast<int>(ExitCode::Failed);
    }
}
