#pragma once

#include "Timeline/Commands/TimelineCommands.h"
#include "Timeline/Queries/TimelineQueries.h"

#include <cstddef>
#include <deque>

namespace Pollenwind {

/// Bounded in-memory record of this process's state changes, stamped with a hybrid logical clock.
class Timeline final : public TimelineCommands, public TimelineQueries {
public:
    /// @param clock Source of wall time.
    /// @param process Name of this process in the events.
    /// @param capacity Events kept; the oldest are dropped beyond it.
    Timeline(const Clock& clock, std::string process, std::size_t capacity = 4096);

    void record(EventKind kind, EventFields fields) override;
    void observe(HybridTime remote) override { m_clock.observe(remote); }
    HybridTime stamp() override { return m_clock.next(); }
    std::vector<TimelineEvent> events() const override { return { m_events.begin(), m_events.end() }; }

private:
    HybridClock m_clock;
    std::string m_process;
    std::size_t m_capacity;
    std::deque<TimelineEvent> m_events;
};

} // namespace Pollenwind
