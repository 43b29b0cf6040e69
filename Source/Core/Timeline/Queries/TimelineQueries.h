#pragma once

#include "Timeline/TimelineEvent.h"

#include <vector>

namespace Pollenwind {

/// Reads recent state changes.
class TimelineQueries {
public:
    TimelineQueries() = default;
    TimelineQueries(const TimelineQueries&) = delete;
    TimelineQueries& operator=(const TimelineQueries&) = delete;
    virtual ~TimelineQueries() = default;

    /// @return The recorded events, oldest first.
    virtual std::vector<TimelineEvent> events() const = 0;
};

} // namespace Pollenwind
