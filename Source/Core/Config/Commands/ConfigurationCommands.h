#pragma once

#include "Common/EnumTable.h"
#include "Common/Ids.h"

#include <string>

namespace Pollenwind {

/// What became of a configuration offered to this process.
enum class AdoptResult {
    Adopted,
    /// The revision is not higher than the one in force.
    Stale,
    /// The text has faults. Another release accepted it, or the record was damaged.
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

    /// Puts a configuration in force when its revision is higher than the current one.
    /// @param revision Revision given by the platform's store.
    /// @param text Text of the service document.
    virtual AdoptResult adopt(Revision revision, std::string text) = 0;
};

} // namespace Pollenwind
