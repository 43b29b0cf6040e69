#pragma once

#include "Common/EnumTable.h"
#include "Gateway/RoutingTypes.h"

#include <string>
#include <vector>

namespace Pollenwind {

/// Kind of a finding about a configuration.
enum class FindingKind {
    /// A value that no gateway can use as it is meant.
    Error,
    /// An entry that never takes effect.
    NeverMatches,
    /// Limits that contradict each other.
    Contradiction,
    /// A difference from the configuration in force.
    Difference,
};

template <> struct EnumTable<FindingKind> {
    static constexpr std::array rows {
        EnumName { FindingKind::Error, "error" },
        EnumName { FindingKind::NeverMatches, "never matches" },
        EnumName { FindingKind::Contradiction, "contradiction" },
        EnumName { FindingKind::Difference, "difference" },
    };
};

/// One finding about a configuration.
struct ConfigurationFinding {
    FindingKind kind = FindingKind::Error;
    /// Entry that it is about, such as "route a".
    std::string subject;
    std::string text;

    bool operator==(const ConfigurationFinding&) const = default;
};

/// Checks a configuration before it is deployed.
/// @return Errors, entries that never match and contradictions, in the order of the document.
std::vector<ConfigurationFinding> checkConfiguration(const RoutingConfiguration& configuration);

/// Compares a configuration with the one in force. Keys are only counted.
/// @return Differences, and an error if the version does not increase.
std::vector<ConfigurationFinding> compareConfigurations(
    const RoutingConfiguration& inForce, const RoutingConfiguration& next);

} // namespace Pollenwind
