#pragma once

#include "Soak/SoakTypes.h"

#include <map>
#include <string>
#include <vector>

namespace Pollenwind {

/// Number of checks and violations of one guarantee.
struct GuaranteeTally {
    std::uint64_t checks = 0;
    std::uint64_t violations = 0;
    /// Descriptions of the first five violations; a gateway soak records all and prints five.
    std::vector<std::string> examples;
};

/// Checks, faults and measurements of a soak run.
struct SoakReport {
    std::map<SoakGuarantee, GuaranteeTally> guarantees;
    std::map<SoakFault, std::uint64_t> faults;
    std::uint64_t requests = 0;
    std::uint64_t completed = 0;
    std::uint64_t refused = 0;
    std::uint64_t errorEvents = 0;
    std::uint64_t connectionsLost = 0;
    std::map<std::string, std::uint64_t> codes;
    std::vector<double> firstTokenMilliseconds;
    std::map<std::string, std::uint64_t> requestsByOrganisation;
    std::map<std::string, std::uint64_t> completedByOrganisation;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;

    /// Records one check of a guarantee.
    /// @param example Description of the violation, recorded if the check failed.
    void recordCheck(SoakGuarantee guarantee, bool holds, const std::string& example);

    /// Returns whether no check failed.
    bool hasPassed() const;
};

/// Formats one line for each guarantee, the number of injected faults and the measurements.
std::string formatReport(SoakReport report);

} // namespace Pollenwind
