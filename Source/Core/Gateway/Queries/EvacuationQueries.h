#pragma once

#include "Common/Ids.h"

#include <chrono>
#include <optional>

namespace Pollenwind {

/// Reads the zones that the operator has taken out of service.
class EvacuationQueries {
public:
    EvacuationQueries() = default;
    EvacuationQueries(const EvacuationQueries&) = delete;
    EvacuationQueries& operator=(const EvacuationQueries&) = delete;
    virtual ~EvacuationQueries() = default;

    /// Whether nothing new may be sent to the runners of a zone.
    virtual bool isEvacuated(const ZoneId& zone) const = 0;
    /// @return Time since the last evacuation of a zone ended; nothing if the zone is evacuated or has not been within
    /// the last minute.
    virtual std::optional<std::chrono::nanoseconds> timeSinceEnd(const ZoneId& zone) const = 0;
};

} // namespace Pollenwind
