#pragma once

#include "Common/Clock.h"
#include "Moves/VersionEvidence.h"

#include <vector>

namespace Pollenwind {

/// Evidence of the whole fleet on one move, in slots of time, so that both versions are compared in the same slot and
/// old evidence does not outvote recent evidence.
///
/// Each VM reports its counts since its start. Counts of a VM that restarted are kept.
class EvidenceHistory {
public:
    /// @param slotLength Time from the end of one slot to the next; it doubles when there are more than maxSlots.
    explicit EvidenceHistory(std::chrono::nanoseconds slotLength = std::chrono::milliseconds(500));

    /// Replaces the counts of one VM.
    /// @param incarnation Start of the VM's process, for example its boot number; a change keeps the counts before it.
    /// @param counts Counts since that start. Fewer counts than known are a late report, which is ignored.
    void report(const VmId& vm, std::uint64_t incarnation, MoveEvidence counts);

    /// Ends the slot when its time is over.
    void advance(MonotonicTime now);

    /// Evidence from the start to the end of each slot, the oldest slot first. The present slot is not among them.
    const std::vector<MoveEvidence>& slotTotals() const { return m_slotTotals; }

    /// Evidence from the start until now.
    MoveEvidence total() const;

    static constexpr std::size_t maxSlots = 64;

private:
    struct Source {
        std::uint64_t incarnation = 0;
        MoveEvidence counts;
    };

    void halveSlots();

    std::chrono::nanoseconds m_slotLength;
    MonotonicTime m_slotEnd { 0 };
    std::map<VmId, Source> m_sources;
    MoveEvidence m_earlierIncarnations;
    std::vector<MoveEvidence> m_slotTotals;
};

} // namespace Pollenwind
