#pragma once

#include "Pollenwindctl/Session.h"

#include <tclap/CmdLine.h>

#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace Pollenwind::Ctl {

/// Changes something: at the routers, in the store, or both.
class Command {
public:
    Command() = default;
    Command(const Command&) = delete;
    Command& operator=(const Command&) = delete;
    virtual ~Command() = default;

    /// Adds the command's own arguments.
    virtual void declare(TCLAP::CmdLine& line) = 0;
    virtual Task<ExitCode> run(Session& session) = 0;
};

/// Answer of a query, independent of the form in which it is printed.
struct QueryResult {
    Json data;
    ExitCode exitCode = ExitCode::Done;
};

/// Reads something and changes nothing.
class Query {
public:
    Query() = default;
    Query(const Query&) = delete;
    Query& operator=(const Query&) = delete;
    virtual ~Query() = default;

    /// Adds the query's own arguments.
    virtual void declare(TCLAP::CmdLine& line) = 0;
    /// False for a query that asks no router.
    virtual bool needsRouters() const { return true; }
    virtual Task<Outcome<QueryResult>> run(Session& session) = 0;
    /// @return The answer as a text for people, with a line end.
    virtual std::string render(const Json& data) const = 0;
};

/// Row of the table of commands.
struct CommandRow {
    /// One or two words, e.g. "key give".
    std::string_view name;
    std::string_view summary;
    std::unique_ptr<Command> (*make)();
    /// False when the routers must be on the command line, since the command would act on every router of the settings.
    bool takesRoutersFromSettings = true;
};

/// Row of the table of queries.
struct QueryRow {
    std::string_view name;
    std::string_view summary;
    std::unique_ptr<Query> (*make)();
};

std::span<const CommandRow> commandTable();
std::span<const QueryRow> queryTable();

} // namespace Pollenwind::Ctl
