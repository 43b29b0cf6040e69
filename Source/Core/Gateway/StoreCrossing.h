#pragma once

#include "Timeline/TimelineEvent.h"

#include <cstddef>
#include <cstdint>

namespace Pollenwind {

/// What a VM found when it first read the store after a restore from an older copy.
struct StoreCrossing {
    /// Positions of the local records before and after the read.
    std::int64_t from = 0;
    std::int64_t to = 0;
    std::size_t runners = 0;
    /// Runners in use and VMs whose records are missing.
    std::size_t missingRunners = 0;
    std::size_t missingVms = 0;
    /// Version of the configuration in force before the read, and of the one in the copy; 0 if there is none.
    std::int64_t knownConfiguration = 0;
    std::int64_t copiedConfiguration = 0;

    /// The crossing as an entry of the timeline.
    EventFields fields() const;
};

} // namespace Pollenwind
