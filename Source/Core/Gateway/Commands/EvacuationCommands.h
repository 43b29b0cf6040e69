#pragma once

#include "Common/Ids.h"

#include <set>

namespace Pollenwind {

/// Updates the zones that the operator has taken out of service.
class EvacuationCommands {
public:
    EvacuationCommands() = default;
    EvacuationCommands(const EvacuationCommands&) = delete;
    EvacuationCommands& operator=(const EvacuationCommands&) = delete;
    virtual ~EvacuationCommands() = default;

    /// Records that the store has the key of a zone's evacuation.
    virtual void begin(const ZoneId& zone) = 0;
    /// Records that the operator has deleted the key.
    virtual void end(const ZoneId& zone) = 0;
    /// Records the result of a read of all records.
    /// @param zones Zones whose keys the store has.
    /// @param isRestored Whether the store was restored from an older copy, which may have lost keys.
    virtual void replaceAll(const std::set<ZoneId>& zones, bool isRestored) = 0;
};

} // namespace Pollenwind
