#pragma once

#include "Pollenwindctl/Session.h"

#include <tclap/CmdLine.h>

#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace Pollenwind::Ctl {

/// Subcommand that changes the state of the routers or the store.
class Command {
public:
    Command() = default;
    Command(const Command&) = delete;
    Command& operator=(const Command&) = delete;
    virtual ~Command() = default;

    /// Adds the arguments of the command to the command line.
    virtual void declare(TCLAP::CmdLine& line) = 0;
    virtual Task<ExitCode> run(Session& session) = 0;
};

/// Result of a query, independent of its output format.
struct QueryResult {
    Json data;
    ExitCode exitCode = ExitCode::Done;
};

/// Subcommand that only reads.
class Query {
public:
    Query() = default;
    Query(const Query&) = delete;
    Query& operator=(const Query&) = delete;
    virtual ~Query() = default;

    /// Adds the arguments of the query to the command line.
    virtual void declare(TCLAP::CmdLine& line) = 0;
    /// Returns whether the query contacts a router.
    virtual bool needsRouters() const { return true; }
    virtual Task<Outcome<QueryResult>> run(Session& session) = 0;
    /// @return Human-readable text that ends with a newline.
    virtual std::string render(const Json& data) const = 0;
};

/// Entry of the command table.
struct CommandRow {
    /// One or two words, e.g. "key give".
    std::string_view name;
    std::string_view summary;
    std::unique_ptr<Command> (*make)();
    /// False for a command that acts on the routers themselves: they must be given on the command line, so that it does
    /// not affect every router of the settings by accident.
    bool takesRoutersFromSettings = true;
};

/// Entry of the query table.
struct QueryRow {
    std::string_view name;
    std::string_view summary;
    std::unique_ptr<Query> (*make)();
};

std::span<const CommandRow> commandTable();
std::span<const QueryRow> queryTable();

} // namespace Pollenwind::Ctl
