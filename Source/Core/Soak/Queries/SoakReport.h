#pragma once

#include "Soak/SoakTypes.h"

#include <map>
#include <string>
#include <vector>

namespace Pollenwind {

/// Checks and violations of one promise.
struct GuaranteeTally {
    std::uint64_t checks = 0;
    std::uint64_t violations = 0;
    /// The first few violations.
    std::vector<std::string> examples;
};

/// What a soak run saw.
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

    /// Counts one check of a promise.
    /// @param example Describes the violation when the promise does not hold.
    void recordCheck(SoakGuarantee guarantee, bool holds, const std::string& example);

    bool hasPassed() const;
};

/// Prints one line for each promise, the faults drawn and the measures.
std::string formatReport(SoakReport report);

} // namespace Pollenwind
