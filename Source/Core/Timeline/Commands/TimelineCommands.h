#pragma once

#include "Timeline/TimelineEvent.h"

namespace Pollenwind {

/// Records state changes.
class TimelineCommands {
public:
    TimelineCommands() = default;
    TimelineCommands(const TimelineCommands&) = delete;
    TimelineCommands& operator=(const TimelineCommands&) = delete;
    virtual ~TimelineCommands() = default;

    /// Records a state change and logs one line for it.
    /// @param kind What changed.
    /// @param fields Details. They must not contain a caller's key.
    virtual void record(EventKind kind, EventFields fields) = 0;

    /// Takes note of a stamp received from another process.
    virtual void observe(HybridTime remote) = 0;

    /// @return A stamp for a message to another process.
    virtual HybridTime stamp() = 0;
};

} // namespace Pollenwind
