#include "Moves/EvidenceHistory.h"

#include <utility>

namespace Pollenwind {

EvidenceHistory::EvidenceHistory(std::chrono::nanoseconds slotLength)
    : m_slotLength(slotLength)
{
}

void EvidenceHistory::report(const VmId& vm, std::uint64_t incarnation, MoveEvidence counts)
{
    auto& source = m_sources[vm];
    if (source.incarnation != incarnation) {
        m_earlierIncarnations.add(source.counts);
    } else if (counts.requests() < source.counts.requests()) {
        return;
    }
    source = { incarnation, std::move(counts) };
}

void EvidenceHistory::advance(MonotonicTime now)
{
    if (m_slotEnd.count() == 0) {
        m_slotEnd = now + m_slotLength;
    }
    if (now < m_slotEnd) {
        return;
    }
    m_slotEnd = now + m_slotLength;
    m_slotTotals.push_back(total());
    if (m_slotTotals.size() > maxSlots) {
        halveSlots();
    }
}

void EvidenceHistory::halveSlots()
{
    std::vector<MoveEvidence> kept;
    for (std::size_t i = 1; i < m_slotTotals.size(); i += 2) {
        kept.push_back(std::move(m_slotTotals[i]));
    }
    m_slotTotals = std::move(kept);
    m_slotLength *= 2;
}

MoveEvidence EvidenceHistory::total() const
{
    auto sum = m_earlierIncarnations;
    for (const auto& [vm, source] : m_sources) {
        sum.add(source.counts);
    }
    return sum;
}

} // namespace Pollenwind
