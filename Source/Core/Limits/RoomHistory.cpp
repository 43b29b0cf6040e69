#include "Limits/RoomHistory.h"

#include <algorithm>
#include <limits>

namespace Pollenwind {

void RoomHistory::note(MonotonicTime now, double room) { push({ now, room }); }

void RoomHistory::push(Entry entry)
{
    while (m_size > 0 && m_entries[m_size - 1].room >= entry.room) {
        --m_size;
    }
    m_entries[m_size++] = entry;
    if (m_size > capacity) {
        mergeClosest();
    }
}

double RoomHistory::smallestSince(MonotonicTime since) const
{
    for (std::size_t i = 0; i < m_size; ++i) {
        if (m_entries[i].at >= since) {
            return m_entries[i].room;
        }
    }
    return std::numeric_limits<double>::infinity();
}

void RoomHistory::lower(MonotonicTime since, double tokens)
{
    const auto entries = m_entries;
    const auto n = m_size;
    m_size = 0;
    for (std::size_t i = 0; i < n; ++i) {
        push({ entries[i].at, entries[i].room - (entries[i].at >= since ? tokens : 0) });
    }
}

void RoomHistory::mergeClosest()
{
    std::size_t best = 0;
    for (std::size_t i = 1; i + 1 < m_size; ++i) {
        if (m_entries[i + 1].room - m_entries[i].room < m_entries[best + 1].room - m_entries[best].room) {
            best = i;
        }
    }
    m_entries[best].at = m_entries[best + 1].at;
    std::copy(m_entries.begin() + static_cast<std::ptrdiff_t>(best) + 2,
        m_entries.begin() + static_cast<std::ptrdiff_t>(m_size),
        m_entries.begin() + static_cast<std::ptrdiff_t>(best) + 1);
    --m_size;
}

} // namespace Pollenwind
