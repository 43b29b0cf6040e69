#include "Limits/HeadroomHistory.h"

#include <algorithm>
#include <limits>

namespace Pollenwind {

void HeadroomHistory::record(MonotonicTime now, double headroom) { push({ now, headroom }); }

void HeadroomHistory::push(Entry entry)
{
    while (m_size > 0 && m_entries[m_size - 1].headroom >= entry.headroom) {
        --m_size;
    }
    m_entries[m_size++] = entry;
    if (m_size > capacity) {
        mergeClosest();
    }
}

double HeadroomHistory::smallestSince(MonotonicTime since) const
{
    for (std::size_t i = 0; i < m_size; ++i) {
        if (m_entries[i].at >= since) {
            return m_entries[i].headroom;
        }
    }
    return std::numeric_limits<double>::infinity();
}

void HeadroomHistory::lower(MonotonicTime since, double tokens)
{
    const auto entries = m_entries;
    const auto n = m_size;
    m_size = 0;
    for (std::size_t i = 0; i < n; ++i) {
        push({ entries[i].at, entries[i].headroom - (entries[i].at >= since ? tokens : 0) });
    }
}

void HeadroomHistory::mergeClosest()
{
    std::size_t best = 0;
    for (std::size_t i = 1; i + 1 < m_size; ++i) {
        if (m_entries[i + 1].headroom - m_entries[i].headroom
            < m_entries[best + 1].headroom - m_entries[best].headroom) {
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
