#pragma once

#include "Gateway/QuarantineTypes.h"

#include <optional>
#include <span>
#include <vector>

namespace Pollenwind {

/// Reads which parts of prompts crash runners.
class QuarantineQueries {
public:
    QuarantineQueries() = default;
    QuarantineQueries(const QuarantineQueries&) = delete;
    QuarantineQueries& operator=(const QuarantineQueries&) = delete;
    virtual ~QuarantineQueries() = default;

    /// @return The first of a request's parts that is quarantined, or nothing.
    virtual std::optional<QuarantinedPart> findQuarantined(std::span<const PartId> parts) const = 0;

    /// Whether a request with the parts may test a quarantined one now; see QuarantineCommands::startTrial().
    virtual bool isTrialDue(std::span<const PartId> parts) const = 0;

    /// Whether one of the parts was lost in a crash and no answer on it is known.
    virtual bool isSuspected(std::span<const PartId> parts) const = 0;

    /// All quarantined parts.
    virtual std::vector<QuarantinedPart> quarantinedParts() const = 0;
};

} // namespace Pollenwind
