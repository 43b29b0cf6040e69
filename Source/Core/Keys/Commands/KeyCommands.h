#pragma once

#include "Common/Clock.h"
#include "Keys/KeyTypes.h"

namespace Pollenwind {

/// Changes the key table.
class KeyCommands {
public:
    KeyCommands() = default;
    KeyCommands(const KeyCommands&) = delete;
    KeyCommands& operator=(const KeyCommands&) = delete;
    virtual ~KeyCommands() = default;

    /// Merges a record. Withdrawn wins over valid, whatever the order of arrival.
    /// @return True when the table changed.
    virtual bool merge(const KeyRecord& record) = 0;

    /// Records that the table contained every withdrawal that had been accepted by a given time.
    /// @param at Time by this process's clock. Times before the latest recorded one have no effect.
    virtual void confirm(MonotonicTime at) = 0;
};

} // namespace Pollenwind
