#pragma once

#include "Config/Commands/ConfigurationCommands.h"
#include "Config/Queries/ConfigurationQueries.h"
#include "Http/AdminFrontEnd.h"
#include "Keys/Commands/KeyCommands.h"
#include "Keys/Queries/KeyQueries.h"
#include "Router/Commands/WithdrawalCommands.h"
#include "Store/Commands/StoreCommands.h"
#include "Store/Queries/StoreQueries.h"

#include <functional>

namespace Pollenwind {

/// Writes a service document to the store. Body: {"change", "operator", "base_revision", "document"}; base_revision
/// defaults to the revision in the store.
class ApplyCommand final : public AdminCommand {
public:
    ApplyCommand(StoreCommands& storeCommands, StoreQueries& storeQueries, ConfigurationCommands& configuration);
    Task<Outcome<std::string>> run(const HttpRequest& request) override;

private:
    StoreCommands& m_storeCommands;
    StoreQueries& m_storeQueries;
    ConfigurationCommands& m_configuration;
};

/// Writes a key record to the store and applies it to this router's key table. A withdrawal is also sent to all
/// routers, and the response reports which of them confirmed it. While the store is down, a withdrawal is accepted when
/// it has reached a majority of the zones. Body: {"digest", "organisation", "state"}; for a withdrawal the first digits
/// of a known digest suffice and the organisation is not needed.
class KeyCommand final : public AdminCommand {
public:
    KeyCommand(StoreCommands& storeCommands, StoreQueries& storeQueries, KeyCommands& keys,
        const KeyQueries& keyQueries, const ConfigurationQueries& configuration, WithdrawalCommands& withdrawals);
    Task<Outcome<std::string>> run(const HttpRequest& request) override;

private:
    struct StoreResult {
        std::int64_t revision = 0;
        bool isRepeated = false;
        KeyRecord record;
    };

    Task<Outcome<StoreResult>> writeStore(KeyRecord record);
    Task<Outcome<std::string>> withdrawWithoutStore(KeyRecord record, Error storeError);

    StoreCommands& m_storeCommands;
    StoreQueries& m_storeQueries;
    KeyCommands& m_keys;
    const KeyQueries& m_keyQueries;
    const ConfigurationQueries& m_configuration;
    WithdrawalCommands& m_withdrawals;
};

/// Starts the graceful shutdown of this router.
class DrainCommand final : public AdminCommand {
public:
    explicit DrainCommand(std::function<void()> drain);
    Task<Outcome<std::string>> run(const HttpRequest& request) override;

private:
    std::function<void()> m_drain;
};

} // namespace Pollenwind
