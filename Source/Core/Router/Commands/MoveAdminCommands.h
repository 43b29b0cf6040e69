#pragma once

#include "Common/Clock.h"
#include "Config/Queries/ConfigurationQueries.h"
#include "Http/AdminFrontEnd.h"
#include "Moves/Commands/MoveCommands.h"
#include "Store/Commands/StoreCommands.h"
#include "Store/Queries/StoreQueries.h"

namespace Pollenwind {

/// Starts a move. Body: {"change", "service", "to", "deadline_ms", "operator"}; deadline_ms is Unix time.
class MoveStartCommand final : public AdminCommand {
public:
    MoveStartCommand(const Clock& clock, const ConfigurationQueries& configuration, StoreCommands& storeCommands,
        StoreQueries& storeQueries, MoveCommands& moves);
    Task<Outcome<std::string>> run(const HttpRequest& request) override;

private:
    Outcome<MoveRecord> parse(const HttpRequest& request) const;

    const Clock& m_clock;
    const ConfigurationQueries& m_configuration;
    StoreCommands& m_storeCommands;
    StoreQueries& m_storeQueries;
    MoveCommands& m_moves;
};

/// Cancels a running move, which rolls it back. Body: {"service"}.
class MoveCancelCommand final : public AdminCommand {
public:
    MoveCancelCommand(
        const Clock& clock, StoreCommands& storeCommands, StoreQueries& storeQueries, MoveCommands& moves);
    Task<Outcome<std::string>> run(const HttpRequest& request) override;

private:
    const Clock& m_clock;
    StoreCommands& m_storeCommands;
    StoreQueries& m_storeQueries;
    MoveCommands& m_moves;
};

} // namespace Pollenwind
