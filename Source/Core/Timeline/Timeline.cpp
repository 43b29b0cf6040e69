#include "Timeline/Timeline.h"

#include "Timeline/Log.h"

namespace Pollenwind {

Timeline::Timeline(const Clock& clock, std::string process, std::size_t capacity)
    : m_clock(clock)
    , m_process(std::move(process))
    , m_capacity(capacity)
{
}

void Timeline::record(EventKind kind, EventFields fields)
{
    logStateChange(nameOf(kind), fields);
    m_events.push_back({ m_clock.next(), m_process, kind, std::move(fields) });
    if (m_events.size() > m_capacity) {
        m_events.pop_front();
    }
}

} // namespace Pollenwind
