#pragma once

#include "Common/EnumTable.h"
#include "Common/Ids.h"

#include <string>

namespace Pollenwind {

/// Result of an attempt to adopt a configuration.
enum class AdoptResult {
    Adopted,
    /// The revision is not higher than the one in force.
    Stale,
    /// The text has faults: another release accepted it, or the stored record is damaged.
    Invalid,
};

template <> struct EnumTable<AdoptResult> {
    static constexpr std::array rows {
        EnumName { AdoptResult::Adopted, "adopted" },
        EnumName { AdoptResult::Stale, "stale" },
        EnumName { AdoptResult::Invalid, "invalid" },
    };
};

/// Changes the configuration in force.
class ConfigurationCommands {
public:
    ConfigurationCommands() = default;
    ConfigurationCommands(const ConfigurationCommands&) = delete;
    ConfigurationCommands& operator=(const ConfigurationCommands&) = delete;
    virtual ~ConfigurationCommands() = default;

    /// Puts a valid configuration in force when its revision is higher than the current one.
    /// @param revision Revision assigned by the platform's store.
    /// @param text Text of the service document.
    virtual AdoptResult adopt(Revision revision, std::string text) = 0;
};

} // namespace Pollenwind
