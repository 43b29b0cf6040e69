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

    /// Advances the clock beyond a timestamp received from another process, so that later events are ordered after it.
    virtual void observe(HybridTime remote) = 0;

    /// @return A timestamp for a message to another process.
    virtual HybridTime stamp() = 0;
};

} // namespace Pollenwind
